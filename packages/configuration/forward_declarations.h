// Forward declarations of the configuration aggregate's types.
#ifndef FIREFLYDRIFT_CONFIGURATION_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_CONFIGURATION_FORWARD_DECLARATIONS_H

namespace fireflydrift::configuration {

class Configuration;
struct ConfigurationFields;
struct Proposal;

} // namespace fireflydrift::configuration

#endif // FIREFLYDRIFT_CONFIGURATION_FORWARD_DECLARATIONS_H
