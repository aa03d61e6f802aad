// The durability rule: which replicas must have synced an entry before it is
// acknowledged, and which votes make a leader.
#ifndef FIREFLYDRIFT_REPLICA_DURABILITY_H
#define FIREFLYDRIFT_REPLICA_DURABILITY_H

#include "replica/members.h"

namespace fireflydrift::replica {

// An entry is durable once m_Copies voters in m_Domains failure domains have
// synced it. Zero copies stands for a majority of the voters.
struct DurabilityRule {
  std::uint32_t m_Copies = 0;
  std::uint32_t m_Domains = 1;

  friend bool operator==(const DurabilityRule &,
                         const DurabilityRule &) = default;
  friend auto operator<=>(const DurabilityRule &,
                          const DurabilityRule &) = default;
};

// True when these replicas together make an entry durable. Replicas that do
// not vote are ignored.
[[nodiscard]] bool isDurable(const DurabilityRule &Rule, const Members &All,
                             const std::set<core::VmId> &Synced);

// True when these votes make a leader: they are a majority, and every durable
// set has a replica among them, so that no acknowledged entry can be missed.
[[nodiscard]] bool canElect(const DurabilityRule &Rule, const Members &All,
                            const std::set<core::VmId> &Votes);

// True when, with only these replicas up, a leader can be elected and can make
// entries durable.
[[nodiscard]] bool hasQuorum(const DurabilityRule &Rule, const Members &All,
                             const std::set<core::VmId> &Up);

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_DURABILITY_H
