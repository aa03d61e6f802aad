// Forward declarations of the control types.
#ifndef FIREFLYDRIFT_CONTROL_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_CONTROL_FORWARD_DECLARATIONS_H

namespace fireflydrift::control {

struct Batch;
struct Dispatcher;
struct State;

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_FORWARD_DECLARATIONS_H
