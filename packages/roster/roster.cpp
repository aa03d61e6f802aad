#include "roster/roster.h"

#include <algorithm>

namespace fireflydrift::roster {

static core::Duration longestLease(const RosterOptions &Options) {
  constexpr int Percent = 100;
  return Options.m_Lease * (Percent + Options.m_ClockDriftPercent) / Percent +
         Options.m_LeaseMargin;
}

// ---- Queries ---------------------------------------------------------------

const Member *Roster::find(const core::TargetId &Id) const {
  auto Found = m_Members.find(Id);
  return Found == m_Members.end() ? nullptr : &Found->second;
}

bool Roster::isNewer(const Report &Value) const {
  auto Ended = m_EndedIncarnations.find(Value.m_Target);
  if (Ended != m_EndedIncarnations.end() &&
      Value.m_Incarnation <= Ended->second)
    return false;
  const Member *Known = find(Value.m_Target);
  if (!Known || Value.m_Incarnation > Known->m_LastReport.m_Incarnation) {
    // A delayed report of an older instance may arrive from an address that a
    // newer instance uses by now.
    auto AddressOwner = m_Addresses.find(Value.m_Address);
    const Member *Other = AddressOwner == m_Addresses.end()
                              ? nullptr
                              : find(AddressOwner->second);
    return !Other || Other->m_LastReport.m_Target == Value.m_Target ||
           Value.m_Incarnation >= Other->m_LastReport.m_Incarnation;
  }
  return Value.m_Incarnation == Known->m_LastReport.m_Incarnation &&
         Value.m_Sequence > Known->m_LastReport.m_Sequence;
}

bool Roster::isExpired(const workflow::TargetInstance &Instance,
                       const RosterOptions &Options, core::Time Now) const {
  auto Ended = m_EndedIncarnations.find(Instance.m_Target);
  if (Ended != m_EndedIncarnations.end() &&
      Instance.m_Incarnation <= Ended->second)
    return true;
  const Member *Known = find(Instance.m_Target);
  if (Known && Known->m_LastReport.m_Incarnation > Instance.m_Incarnation)
    return true;
  // While the target reports, the instance is not expired even without a lease:
  // its reports say which runs have ended.
  if (Known && Known->m_LastReport.m_Incarnation == Instance.m_Incarnation)
    return Now >= std::max(Known->m_LeaseUntil,
                           Known->m_LastReportAt + longestLease(Options));
  return Now >= m_LeaderSince + longestLease(Options);
}

bool Roster::isSchedulable(const Member &Value, const RosterOptions &Options,
                           core::Time Now) const noexcept {
  return !Value.m_LastReport.m_Draining &&
         Now - Value.m_LastReportAt < Options.m_SilentAfter;
}

// ---- Updates ---------------------------------------------------------------

void Roster::endInstance(const core::TargetId &Id, std::uint64_t Incarnation) {
  std::uint64_t &Ended = m_EndedIncarnations[Id];
  Ended = std::max(Ended, Incarnation);
  auto Known = m_Members.find(Id);
  if (Known == m_Members.end() ||
      Known->second.m_LastReport.m_Incarnation > Incarnation)
    return;
  auto Address = m_Addresses.find(Known->second.m_LastReport.m_Address);
  if (Address != m_Addresses.end() && Address->second == Id)
    m_Addresses.erase(Address);
  m_Members.erase(Known);
}

Roster Roster::withReport(Report Value, const RosterOptions &Options,
                          core::Time Now) && {
  if (!isNewer(Value))
    return std::move(*this);
  const Member *Known = find(Value.m_Target);
  bool IsNewInstance =
      !Known || Known->m_LastReport.m_Incarnation != Value.m_Incarnation;
  if (IsNewInstance && Known)
    endInstance(Value.m_Target, Known->m_LastReport.m_Incarnation);
  auto AddressOwner = m_Addresses.find(Value.m_Address);
  if (AddressOwner != m_Addresses.end() &&
      AddressOwner->second != Value.m_Target) {
    core::TargetId Earlier = AddressOwner->second;
    endInstance(Earlier, m_Members.at(Earlier).m_LastReport.m_Incarnation);
  }
  Member &Current = m_Members[Value.m_Target];
  if (IsNewInstance) {
    Current.m_FirstReportAt = Now;
    Current.m_LeaseUntil = m_LeaderSince + longestLease(Options);
  }
  Current.m_LastReportAt = Now;
  m_Addresses[Value.m_Address] = Value.m_Target;
  Current.m_LastReport = std::move(Value);
  return std::move(*this);
}

Roster Roster::withExtendedLease(const core::TargetId &Id,
                                 const RosterOptions &Options,
                                 core::Time ReportedAt) && {
  auto Found = m_Members.find(Id);
  if (Found != m_Members.end())
    Found->second.m_LeaseUntil = std::max(Found->second.m_LeaseUntil,
                                          ReportedAt + longestLease(Options));
  return std::move(*this);
}

Roster Roster::withDeparture(const core::TargetId &Id,
                             std::optional<std::uint64_t> Incarnation) && {
  auto Found = m_Members.find(Id);
  if (Found == m_Members.end())
    return std::move(*this);
  std::uint64_t CurrentIncarnation = Found->second.m_LastReport.m_Incarnation;
  if (Incarnation == CurrentIncarnation)
    endInstance(Id, CurrentIncarnation);
  else if (!Incarnation)
    Found->second.m_LastReport.m_Draining = true;
  return std::move(*this);
}

} // namespace fireflydrift::roster
