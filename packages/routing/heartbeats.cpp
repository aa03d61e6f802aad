#include "routing/heartbeats.h"

#include <algorithm>

namespace fireflydrift::routing {

// ---- At the entry VM -------------------------------------------------------

EntryHeartbeats recordHeartbeat(EntryHeartbeats Before,
                                const core::TargetId &Id, core::Time Now) {
  core::Time &At = Before.m_LastHeartbeatAt[Id];
  At = std::max(At, Now);
  return Before;
}

bool summaryIsDue(const EntryHeartbeats &Current,
                  const HeartbeatOptions &Options, core::Time Now) {
  return Now - Current.m_LastSummaryAt >= Options.m_SummaryEvery;
}

SummaryStep summarise(EntryHeartbeats Before, const HeartbeatOptions &Options,
                      bool Full, core::Time Now) {
  SummaryStep Out;
  std::erase_if(Before.m_LastHeartbeatAt, [&](const auto &Each) {
    return Now - Each.second >= Options.m_GoneAfter;
  });
  if (Full)
    Before.m_Reported.clear();
  for (const auto &[Id, At] : Before.m_LastHeartbeatAt)
    if (Before.m_Reported.insert(Id).second)
      Out.m_Summary.m_Appeared.push_back(Id);
  std::erase_if(Before.m_Reported, [&](const core::TargetId &Id) {
    bool Gone = !Before.m_LastHeartbeatAt.contains(Id);
    if (Gone)
      Out.m_Summary.m_Vanished.push_back(Id);
    return Gone;
  });
  Out.m_Summary.m_Full = Full;
  Out.m_Summary.m_Sequence = ++Before.m_Sequence;
  Before.m_LastSummaryAt = Now;
  Out.m_Heartbeats = std::move(Before);
  return Out;
}

// ---- At the leader ---------------------------------------------------------

SummaryResult applySummary(LeaderHeartbeats Before, const core::VmId &Entry,
                           const HeartbeatSummary &Value,
                           const HeartbeatOptions &Options, core::Time Now) {
  EntryTargets &Known = Before.m_Entries[Entry];
  bool InOrder = Value.m_Full || Value.m_Sequence == Known.m_Sequence + 1;
  if (!InOrder)
    return {.m_Heartbeats = std::move(Before), .m_NeedsFull = true};
  auto RecordLast = [&](const core::TargetId &Id, core::Time HeartbeatAt) {
    core::Time &At = Before.m_LastHeartbeat[Id];
    At = std::max(At, HeartbeatAt);
  };
  if (Value.m_Full) {
    for (const core::TargetId &Id : Known.m_Targets)
      RecordLast(Id, Known.m_LastSummaryAt);
    Known.m_Targets.clear();
  }
  // The entry VM has already waited for m_GoneAfter before it reported the
  // target as vanished.
  for (const core::TargetId &Id : Value.m_Vanished)
    if (Known.m_Targets.erase(Id) > 0)
      RecordLast(Id, Now - Options.m_GoneAfter);
  for (const core::TargetId &Id : Value.m_Appeared) {
    Known.m_Targets.insert(Id);
    Before.m_LastHeartbeat.erase(Id);
  }
  Known.m_Sequence = Value.m_Sequence;
  Known.m_LastSummaryAt = Now;
  return {.m_Heartbeats = std::move(Before)};
}

core::Time lastHeartbeat(const LeaderHeartbeats &Current,
                         const core::TargetId &Id) {
  core::Time Newest = Current.m_Since;
  for (const auto &[Vm, Known] : Current.m_Entries)
    if (Known.m_Targets.contains(Id))
      Newest = std::max(Newest, Known.m_LastSummaryAt);
  auto Last = Current.m_LastHeartbeat.find(Id);
  if (Last != Current.m_LastHeartbeat.end())
    Newest = std::max(Newest, Last->second);
  return Newest;
}

} // namespace fireflydrift::routing
