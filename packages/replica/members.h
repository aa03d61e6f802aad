// The replicas that hold the log, and which of them vote.
#ifndef FIREFLYDRIFT_REPLICA_MEMBERS_H
#define FIREFLYDRIFT_REPLICA_MEMBERS_H

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fireflydrift::replica {

// A member of the replica set. The incarnation identifies its data folder: a
// replica that restarts with an empty folder has a new incarnation, and its
// earlier votes and acknowledgements no longer count.
struct Member {
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  bool m_Voter = false;

  friend bool operator==(const Member &, const Member &) = default;
  friend auto operator<=>(const Member &, const Member &) = default;
};

// An immutable set of replicas.
class Members {
public:
  Members() = default;
  explicit Members(std::map<core::VmId, Member> All) noexcept
      : m_All(std::move(All)) {}

  [[nodiscard]] const std::map<core::VmId, Member> &all() const noexcept {
    return m_All;
  }
  [[nodiscard]] const Member *find(const core::VmId &Vm) const;
  [[nodiscard]] bool isVoter(const core::VmId &Vm) const;
  [[nodiscard]] std::set<core::VmId> voters() const;

  // Returns a copy with Vm added or replaced.
  [[nodiscard]] Members with(const core::VmId &Vm, Member Value) const;
  [[nodiscard]] Members without(const core::VmId &Vm) const;

  friend bool operator==(const Members &, const Members &) = default;
  friend auto operator<=>(const Members &, const Members &) = default;

private:
  std::map<core::VmId, Member> m_All;
};

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_MEMBERS_H
