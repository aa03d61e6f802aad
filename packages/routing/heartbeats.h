// Signs of life of targets: collected at entry VMs, told to the leader as
// changes only, so that the leader's load does not grow with every beat.
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
  // A target that the entry VM did not hear for this long is reported gone.
  core::Duration m_GoneAfter{2000};
  // Time between two summaries to the leader.
  core::Duration m_SummaryEvery{500};
  // The leader places nothing on a target after this long without a sign.
  core::Duration m_SilentAfter{2000};
  // The leader gives a target up after this long without a sign.
  core::Duration m_LostAfter{6000};

  friend bool operator==(const HeartbeatOptions &,
                         const HeartbeatOptions &) = default;
  friend auto operator<=>(const HeartbeatOptions &,
                          const HeartbeatOptions &) = default;
};

// What an entry VM tells the leader.
struct HeartbeatSummary {
  // Counts summaries; a gap makes the leader ask for everything.
  std::uint64_t m_Sequence = 0;
  // True when m_Appeared lists every target that the entry VM hears.
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
  std::map<core::TargetId, core::Time> m_HeardAt;
  std::set<core::TargetId> m_Told;
  std::uint64_t m_Sequence = 0;
  core::Time m_SummaryAt;

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
// The changes since the last summary, or everything when Full.
[[nodiscard]] SummaryStep summarise(EntryHeartbeats Before,
                                    const HeartbeatOptions &Options, bool Full,
                                    core::Time Now);

// ---- At the leader ---------------------------------------------------------

// One entry VM as the leader knows it.
struct EntryRecord {
  std::uint64_t m_Sequence = 0;
  core::Time m_HeardAt;
  std::set<core::TargetId> m_Targets;

  friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

struct LeaderHeartbeats {
  // Start of leading: earlier signs are unknown and count as of now.
  core::Time m_Since;
  std::map<core::VmId, EntryRecord> m_Entries;
  // Last sign of targets that no entry VM hears any more.
  std::map<core::TargetId, core::Time> m_LastSign;

  friend bool operator==(const LeaderHeartbeats &,
                         const LeaderHeartbeats &) = default;
};

struct SummaryResult {
  LeaderHeartbeats m_Heartbeats;
  // True when the entry VM must send a full summary.
  bool m_NeedsFull = false;

  friend bool operator==(const SummaryResult &,
                         const SummaryResult &) = default;
};

[[nodiscard]] SummaryResult applySummary(LeaderHeartbeats Before,
                                         const core::VmId &Entry,
                                         const HeartbeatSummary &Value,
                                         const HeartbeatOptions &Options,
                                         core::Time Now);
// The newest sign of the target that reached the leader.
[[nodiscard]] core::Time lastHeartbeat(const LeaderHeartbeats &Current,
                                       const core::TargetId &Id);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_HEARTBEATS_H
