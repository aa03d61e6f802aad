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

const Member *Roster::ownerOf(const std::string &Address) const {
  auto Owner = m_Addresses.find(Address);
  return Owner == m_Addresses.end() ? nullptr : find(Owner->second);
}

// ---- Verdicts --------------------------------------------------------------

// A sequence number that lies further behind the newest one can't be that of a
// delayed report: the newest one was not the target's.
static constexpr std::uint64_t MaxSequenceLag = std::uint64_t{1} << 40U;

static bool hasLostItsLeases(const Member &Value, const RosterOptions &Options,
                             core::Time Now) {
  return Now >= std::max(Value.m_LeaseUntil,
                         Value.m_LastReportAt + longestLease(Options));
}

// True when the report comes from the target's own host, and those that were
// accepted so far did not: they may have been another writer's, so nothing that
// they say counts against it.
static bool isFirstFromOwnHost(const Member &Known, const Report &Value) {
  return isFromOwnHost(Value) && !isFromOwnHost(Known.m_LastReport);
}

// The verdict on another report of the instance.
static ReportVerdict judgeSameInstance(const Member &Known, const Report &Value,
                                       const RosterOptions &Options,
                                       core::Time Now) {
  const Report &Last = Known.m_LastReport;
  bool FromElsewhere = isFromOwnHost(Last) && !isFromOwnHost(Value);
  if (Value.m_Address != Last.m_Address || Value.m_Pool != Last.m_Pool ||
      FromElsewhere)
    return ReportVerdict::Mismatched;
  bool LastWasOdd = Last.m_Sequence > Value.m_Sequence &&
                    (Last.m_Sequence - Value.m_Sequence > MaxSequenceLag ||
                     hasLostItsLeases(Known, Options, Now));
  bool IsNext = Value.m_Sequence > Last.m_Sequence || LastWasOdd;
  return IsNext ? ReportVerdict::Accepted : ReportVerdict::Outdated;
}

// True when a newer instance on the same host shows that the holder has ended.
static bool hasEndedBefore(const Member &Holder, const Report &Claim,
                           const RosterOptions &Options, core::Time Now) {
  return Claim.m_Incarnation >= Holder.m_LastReport.m_Incarnation &&
         isFromOwnHost(Claim) && isFromOwnHost(Holder.m_LastReport) &&
         Now - Holder.m_LastReportAt >= Options.m_TakeoverAfter;
}

// The verdict on a report of another instance than the one that holds the id or
// the address. An instance that reports from its own host goes before one that
// does not, and a confirmed one before one that has reported once.
static ReportVerdict judgeClaim(const Member &Holder, const Report &Claim,
                                const RosterOptions &Options, core::Time Now) {
  if (hasLostItsLeases(Holder, Options, Now) ||
      hasEndedBefore(Holder, Claim, Options, Now))
    return ReportVerdict::Accepted;
  bool HolderIsHome = isFromOwnHost(Holder.m_LastReport);
  bool ClaimIsHome = isFromOwnHost(Claim);
  if (HolderIsHome != ClaimIsHome)
    return ClaimIsHome ? ReportVerdict::Accepted : ReportVerdict::Contested;
  if (!HolderIsHome && !Holder.m_Confirmed)
    return ReportVerdict::Accepted;
  return Claim.m_Incarnation < Holder.m_LastReport.m_Incarnation
             ? ReportVerdict::Outdated
             : ReportVerdict::Contested;
}

ReportVerdict Roster::judge(const Report &Value, const RosterOptions &Options,
                            core::Time Now) const {
  auto Ended = m_EndedIncarnations.find(Value.m_Target);
  if (Ended != m_EndedIncarnations.end() &&
      Value.m_Incarnation <= Ended->second)
    return ReportVerdict::Outdated;
  const Member *Known = find(Value.m_Target);
  bool IsSameInstance =
      Known && Known->m_LastReport.m_Incarnation == Value.m_Incarnation;
  if (IsSameInstance && !isFirstFromOwnHost(*Known, Value))
    return judgeSameInstance(*Known, Value, Options, Now);
  if (Known && !IsSameInstance) {
    ReportVerdict Verdict = judgeClaim(*Known, Value, Options, Now);
    if (Verdict != ReportVerdict::Accepted)
      return Verdict;
  }
  const Member *Owner = ownerOf(Value.m_Address);
  return Owner && Owner != Known ? judgeClaim(*Owner, Value, Options, Now)
                                 : ReportVerdict::Accepted;
}

bool Roster::isExpired(const workflow::TargetInstance &Instance,
                       const RosterOptions &Options, core::Time Now) const {
  auto Ended = m_EndedIncarnations.find(Instance.m_Target);
  if (Ended != m_EndedIncarnations.end() &&
      Instance.m_Incarnation <= Ended->second)
    return true;
  auto Displaced = m_Displaced.find(Instance);
  if (Displaced != m_Displaced.end())
    return Now >= Displaced->second;
  const Member *Known = find(Instance.m_Target);
  // While the target reports, the instance is not expired even without a lease:
  // its reports say which runs have ended.
  if (Known && Known->m_LastReport.m_Incarnation == Instance.m_Incarnation)
    return hasLostItsLeases(*Known, Options, Now);
  // This leader has never heard from the instance, or not for a long time. A
  // newer instance that reports from its own host shows that it has ended,
  // unless it might still be heard.
  bool HasSuccessor =
      Known && Known->m_LastReport.m_Incarnation > Instance.m_Incarnation &&
      isFromOwnHost(Known->m_LastReport) &&
      Now >= m_LeaderSince + Options.m_TakeoverAfter;
  return HasSuccessor || Now >= m_LeaderSince + longestLease(Options);
}

std::vector<core::TargetId> Roster::forgettable(const RosterOptions &Options,
                                                core::Time Now) const {
  std::vector<core::TargetId> Found;
  for (const auto &[Id, Each] : m_Members)
    if (Now - Each.m_LastReportAt >= Options.m_ForgetAfter &&
        hasLostItsLeases(Each, Options, Now))
      Found.push_back(Id);
  return Found;
}

bool Roster::isSchedulable(const Member &Value, const RosterOptions &Options,
                           core::Time Now) const noexcept {
  return Value.m_Confirmed && !Value.m_LastReport.m_Draining &&
         Now - Value.m_LastReportAt < Options.m_SilentAfter;
}

// ---- Updates ---------------------------------------------------------------

void Roster::removeMember(const core::TargetId &Id) {
  auto Known = m_Members.find(Id);
  if (Known == m_Members.end())
    return;
  m_Addresses.erase(Known->second.m_LastReport.m_Address);
  m_Members.erase(Known);
}

void Roster::endInstance(const core::TargetId &Id, std::uint64_t Incarnation) {
  std::uint64_t &Ended = m_EndedIncarnations[Id];
  Ended = std::max(Ended, Incarnation);
  removeMember(Id);
}

// Removes the instance that holds the id or the address of an accepted claim.
// Its runs count as over at once only if it has certainly ended.
void Roster::replaceHolder(const core::TargetId &Id, const Report &Claim,
                           const RosterOptions &Options, core::Time Now) {
  const Member Holder = m_Members.at(Id);
  if (hasEndedBefore(Holder, Claim, Options, Now))
    return endInstance(Id, Holder.m_LastReport.m_Incarnation);
  std::erase_if(m_Displaced,
                [&](const auto &Each) { return Each.second <= Now; });
  if (!hasLostItsLeases(Holder, Options, Now))
    m_Displaced[Holder.instance()] = std::max(
        Holder.m_LeaseUntil, Holder.m_LastReportAt + longestLease(Options));
  removeMember(Id);
}

Roster Roster::withReport(Report Value, const RosterOptions &Options,
                          core::Time Now) && {
  if (judge(Value, Options, Now) != ReportVerdict::Accepted)
    return std::move(*this);
  const Member *Known = find(Value.m_Target);
  bool IsSameInstance =
      Known && Known->m_LastReport.m_Incarnation == Value.m_Incarnation;
  bool ReplacesMember = !IsSameInstance || isFirstFromOwnHost(*Known, Value);
  core::Time LeaseUntil = m_LeaderSince + longestLease(Options);
  if (ReplacesMember) {
    if (IsSameInstance) {
      // A lease that was granted on foreign reports of the same instance may
      // have reached the target.
      LeaseUntil = std::max(LeaseUntil, Known->m_LeaseUntil);
      removeMember(core::TargetId(Value.m_Target));
    } else if (Known) {
      replaceHolder(Value.m_Target, Value, Options, Now);
    }
    if (const Member *Owner = ownerOf(Value.m_Address))
      replaceHolder(core::TargetId(Owner->m_LastReport.m_Target), Value,
                    Options, Now);
    // An instance that was displaced and reports again is not displaced.
    m_Displaced.erase(
        {.m_Target = Value.m_Target, .m_Incarnation = Value.m_Incarnation});
  }
  Member &Current = m_Members[Value.m_Target];
  if (ReplacesMember) {
    Current.m_FirstReportAt = Now;
    Current.m_LeaseUntil = LeaseUntil;
  }
  Current.m_Confirmed = Current.m_Confirmed || Current.m_Answered;
  Current.m_LastReportAt = Now;
  m_Addresses[Value.m_Address] = Value.m_Target;
  Current.m_LastReport = std::move(Value);
  return std::move(*this);
}

Roster Roster::withExtendedLease(const core::TargetId &Id,
                                 const RosterOptions &Options,
                                 core::Time ReportedAt) && {
  auto Found = m_Members.find(Id);
  if (Found == m_Members.end())
    return std::move(*this);
  Found->second.m_Answered = true;
  Found->second.m_LeaseUntil =
      std::max(Found->second.m_LeaseUntil, ReportedAt + longestLease(Options));
  return std::move(*this);
}

Roster Roster::withDeparture(const Departure &Value) && {
  auto Found = m_Members.find(Value.m_Target);
  if (Found == m_Members.end())
    return std::move(*this);
  Report &Last = Found->second.m_LastReport;
  if (Value.m_Incarnation && *Value.m_Incarnation != Last.m_Incarnation)
    return std::move(*this);
  Report Sender = Last;
  Sender.m_SourceHost = Value.m_SourceHost;
  bool IsCredible = Last.m_Draining || isFromOwnHost(Sender);
  if (Value.m_Incarnation && IsCredible)
    endInstance(Value.m_Target, *Value.m_Incarnation);
  else
    Last.m_Draining = true;
  return std::move(*this);
}

Roster Roster::without(const std::vector<core::TargetId> &Ids) && {
  for (const core::TargetId &Id : Ids)
    removeMember(Id);
  return std::move(*this);
}

const char *toString(ReportVerdict Value) noexcept {
  switch (Value) {
  case ReportVerdict::Accepted:
    return "accepted";
  case ReportVerdict::Outdated:
    return "outdated";
  case ReportVerdict::Mismatched:
    return "mismatched";
  case ReportVerdict::Contested:
    return "contested";
  }
  return "accepted";
}

} // namespace fireflydrift::roster
