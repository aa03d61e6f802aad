// Forward declarations of the placement types.
#ifndef FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H

namespace fireflydrift::placement {

class Estimates;
class Fleet;
struct BackfillReservation;
struct Decision;
struct GuaranteeReservation;
struct TargetUsage;
struct View;

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_FORWARD_DECLARATIONS_H
