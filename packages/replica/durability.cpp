#include "replica/durability.h"

namespace fireflydrift::replica {

static std::uint32_t majority(std::size_t Voters) {
  return static_cast<std::uint32_t>(Voters / 2 + 1);
}

bool isDurable(const DurabilityRule &Rule, const Members &All,
               const std::set<core::VmId> &Synced) {
  std::uint32_t Copies = 0;
  std::set<std::string> Domains;
  for (const core::VmId &Vm : Synced) {
    const Member *Found = All.find(Vm);
    if (!Found || !Found->m_Voter)
      continue;
    ++Copies;
    Domains.insert(Found->m_FailureDomain);
  }
  std::uint32_t Needed =
      Rule.m_Copies == 0 ? majority(All.voters().size()) : Rule.m_Copies;
  return Copies >= Needed && Domains.size() >= Rule.m_Domains;
}

bool isElectionQuorum(const DurabilityRule &Rule, const Members &All,
                      const std::set<core::VmId> &Votes) {
  std::set<core::VmId> Missing;
  std::size_t Granted = 0;
  for (const core::VmId &Vm : All.voters()) {
    if (Votes.contains(Vm))
      ++Granted;
    else
      Missing.insert(Vm);
  }
  return Granted >= majority(All.voters().size()) &&
         !isDurable(Rule, All, Missing);
}

bool hasQuorum(const DurabilityRule &Rule, const Members &All,
               const std::set<core::VmId> &Up) {
  return isElectionQuorum(Rule, All, Up) && isDurable(Rule, All, Up);
}

} // namespace fireflydrift::replica
