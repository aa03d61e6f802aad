// Forward declarations of the routing types.
#ifndef FIREFLYDRIFT_ROUTING_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_ROUTING_FORWARD_DECLARATIONS_H

namespace fireflydrift::routing {

struct Admission;
struct ClosedConnection;
struct ConnectionLoad;
struct EntryHeartbeats;
struct Forwarding;
struct LeaderHeartbeats;
struct ListenerLimits;
struct MemoryBudgetOptions;
struct RetryBudget;

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_FORWARD_DECLARATIONS_H
