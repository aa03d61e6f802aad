// Forward declarations of the roster types.
#ifndef FIREFLYDRIFT_ROSTER_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_ROSTER_FORWARD_DECLARATIONS_H

namespace fireflydrift::roster {

class Roster;
struct Orders;
struct Report;

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_FORWARD_DECLARATIONS_H
