#include "replica/members.h"

namespace fireflydrift::replica {

const Member *Members::find(const core::VmId &Vm) const {
  auto Found = m_All.find(Vm);
  return Found == m_All.end() ? nullptr : &Found->second;
}

bool Members::isVoter(const core::VmId &Vm) const {
  const Member *Found = find(Vm);
  return Found && Found->m_Voter;
}

std::set<core::VmId> Members::voters() const {
  std::set<core::VmId> Voters;
  for (const auto &[Vm, Value] : m_All)
    if (Value.m_Voter)
      Voters.insert(Vm);
  return Voters;
}

Members Members::with(const core::VmId &Vm, Member Value) const {
  std::map<core::VmId, Member> Next = m_All;
  Next.insert_or_assign(Vm, std::move(Value));
  return Members(std::move(Next));
}

Members Members::without(const core::VmId &Vm) const {
  std::map<core::VmId, Member> Next = m_All;
  Next.erase(Vm);
  return Members(std::move(Next));
}

} // namespace fireflydrift::replica
