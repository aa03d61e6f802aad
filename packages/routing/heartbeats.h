// Heartbeats of targets. Entry VMs collect them and report only changes to the
// leader, so that the leader's load does not grow with every heartbeat.
#ifndef FIREFLYDRIFT_ROUTING_HEARTBEATS_H
#define FIREFLYDRIFT_ROUTING_HEARTBEATS_H

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fireflydrift::routing {

struct HeartbeatOptions {
  // An entry VM reports a target as vanished after this long without a
  // heartbeat.
  core::Duration m_GoneAfter{2000};
  // Interval between summaries to the leader.
  core::Duration m_SummaryEvery{500};
  // The leader places nothing on a target after this long without a heartbeat.
  core::Duration m_SilentAfter{2000};
  // The leader declares a target lost after this long without a heartbeat.
  core::Duration m_LostAfter{6000};

  friend bool operator==(const HeartbeatOptions &,
                         const HeartbeatOptions &) = default;
  friend auto operator<=>(const HeartbeatOptions &,
                          const HeartbeatOptions &) = default;
};

// Changes in the set of targets whose heartbeats an entry VM receives, as
// reported to the leader.
struct HeartbeatSummary {
  // Number of the summary. After a gap the leader requests a full summary.
  std::uint64_t m_Sequence = 0;
  // True if m_Appeared lists every target whose heartbeats the entry VM
  // receives.
  bool m_Full = false;
  std::vector<core::TargetId> m_Appeared;
  std::vector<core::TargetId> m_Vanished;

  friend bool operator==(const HeartbeatSummary &,
                         const HeartbeatSummary &) = default;
  friend auto operator<=>(const HeartbeatSummary &,
                          const HeartbeatSummary &) = default;
};

// ---- At the entry VM -------------------------------------------------------

struct EntryHeartbeats {
  std::map<core::TargetId, core::Time> m_LastHeartbeatAt;
  std::set<core::TargetId> m_Reported;
  std::uint64_t m_Sequence = 0;
  core::Time m_LastSummaryAt;

  friend bool operator==(const EntryHeartbeats &,
                         const EntryHeartbeats &) = default;
};

struct SummaryStep {
  EntryHeartbeats m_Heartbeats;
  HeartbeatSummary m_Summary;

  friend bool operator==(const SummaryStep &, const SummaryStep &) = default;
};

[[nodiscard]] EntryHeartbeats recordHeartbeat(EntryHeartbeats Before,
                                              const core::TargetId &Id,
                                              core::Time Now);
[[nodiscard]] bool summaryIsDue(const EntryHeartbeats &Current,
                                const HeartbeatOptions &Options,
                                core::Time Now);
// Builds the next summary: the changes since the last one, or all targets if
// Full.
[[nodiscard]] SummaryStep summarise(EntryHeartbeats Before,
                                    const HeartbeatOptions &Options, bool Full,
                                    core::Time Now);

// ---- At the leader ---------------------------------------------------------

// The last summary and the targets of one entry VM, as known to the leader.
struct EntryTargets {
  std::uint64_t m_Sequence = 0;
  core::Time m_LastSummaryAt;
  std::set<core::TargetId> m_Targets;

  friend bool operator==(const EntryTargets &, const EntryTargets &) = default;
};

struct LeaderHeartbeats {
  // Start of leadership. Earlier heartbeats are unknown and are taken to be
  // from this time.
  core::Time m_Since;
  std::map<core::VmId, EntryTargets> m_Entries;
  // Last heartbeats of targets that an entry VM has stopped reporting. A target
  // is removed once an entry VM reports it as appeared.
  std::map<core::TargetId, core::Time> m_LastHeartbeat;

  friend bool operator==(const LeaderHeartbeats &,
                         const LeaderHeartbeats &) = default;
};

struct SummaryResult {
  LeaderHeartbeats m_Heartbeats;
  // True if the entry VM must send a full summary.
  bool m_NeedsFull = false;

  friend bool operator==(const SummaryResult &,
                         const SummaryResult &) = default;
};

[[nodiscard]] SummaryResult applySummary(LeaderHeartbeats Before,
                                         const core::VmId &Entry,
                                         const HeartbeatSummary &Value,
                                         const HeartbeatOptions &Options,
                                         core::Time Now);
// Returns the time of the target's last heartbeat, as far as the leader knows.
// Each summary of an entry VM counts as a heartbeat of every target whose
// heartbeats the entry VM still receives.
[[nodiscard]] core::Time lastHeartbeat(const LeaderHeartbeats &Current,
                                       const core::TargetId &Id);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_HEARTBEATS_H
