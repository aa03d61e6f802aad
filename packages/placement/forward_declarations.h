// Names of the placement types.
#ifndef FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H

namespace fireflydrift::placement {

class Estimates;
class Fleet;
struct Decision;
struct Hold;
struct Slot;
struct View;
struct Witness;

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H
