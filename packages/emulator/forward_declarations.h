// Forward declarations of the emulator's types.
#ifndef FIREFLYDRIFT_EMULATOR_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_EMULATOR_FORWARD_DECLARATIONS_H

namespace fireflydrift::emulator {

class Target;
struct Scenario;
struct ScenarioResult;

} // namespace fireflydrift::emulator

#endif // FIREFLYDRIFT_EMULATOR_FORWARD_DECLARATIONS_H
