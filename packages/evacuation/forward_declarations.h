// Forward declarations of the evacuation types.
#ifndef FIREFLYDRIFT_EVACUATION_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_EVACUATION_FORWARD_DECLARATIONS_H

namespace fireflydrift::evacuation {

class Evacuations;
struct Change;

} // namespace fireflydrift::evacuation

#endif // FIREFLYDRIFT_EVACUATION_FORWARD_DECLARATIONS_H
