// Forward declarations of the assignment types.
#ifndef FIREFLYDRIFT_ASSIGNMENT_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_ASSIGNMENT_FORWARD_DECLARATIONS_H

namespace fireflydrift::assignment {

struct PassResult;
struct PendingStep;
struct TargetInfo;

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_FORWARD_DECLARATIONS_H
