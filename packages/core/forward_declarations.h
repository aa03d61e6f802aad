// Forward declarations of the core value types.
#ifndef FIREFLYDRIFT_CORE_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_CORE_FORWARD_DECLARATIONS_H

namespace fireflydrift::core {

template <class Tag> class Id;
template <class T> class Outcome;
class Labels;
class Selector;
struct Capacity;
struct JobKey;
struct Reason;
struct Shape;

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_FORWARD_DECLARATIONS_H
