// Forward declarations of the replica aggregate's types.
#ifndef FIREFLYDRIFT_REPLICA_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_REPLICA_FORWARD_DECLARATIONS_H

namespace fireflydrift::replica {

class Log;
class Members;
struct DurabilityRule;
struct Entry;
struct Replica;

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_FORWARD_DECLARATIONS_H
