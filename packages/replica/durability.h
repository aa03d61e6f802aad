// The durability rule: which replicas must have synced an entry before it is
// acknowledged, and which votes elect a leader.
#ifndef FIREFLYDRIFT_REPLICA_DURABILITY_H
#define FIREFLYDRIFT_REPLICA_DURABILITY_H

#include "replica/members.h"

namespace fireflydrift::replica {

// An entry is durable once m_Copies voters in at least m_Domains failure
// domains have synced it. Zero copies means a majority of the voters.
struct DurabilityRule {
  std::uint32_t m_Copies = 0;
  std::uint32_t m_Domains = 1;

  friend bool operator==(const DurabilityRule &,
                         const DurabilityRule &) = default;
  friend auto operator<=>(const DurabilityRule &,
                          const DurabilityRule &) = default;
};

// Returns true if an entry synced by these replicas is durable. Non-voting
// replicas are ignored.
[[nodiscard]] bool isDurable(const DurabilityRule &Rule, const Members &All,
                             const std::set<core::VmId> &Synced);

// Returns true if these votes elect a leader: they are a majority and include a
// replica of every durable set, so that no acknowledged entry can be missed.
[[nodiscard]] bool isElectionQuorum(const DurabilityRule &Rule,
                                    const Members &All,
                                    const std::set<core::VmId> &Votes);

// Returns true if these replicas alone can elect a leader and make entries
// durable.
[[nodiscard]] bool hasQuorum(const DurabilityRule &Rule, const Members &All,
                             const std::set<core::VmId> &Up);

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_DURABILITY_H
