// Forward declarations of the target aggregate's types.
#ifndef FIREFLYDRIFT_TARGET_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_TARGET_FORWARD_DECLARATIONS_H

namespace fireflydrift::target {

class Target;
struct Announcement;
struct TargetFields;

} // namespace fireflydrift::target

#endif // FIREFLYDRIFT_TARGET_FORWARD_DECLARATIONS_H
