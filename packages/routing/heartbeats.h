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

struct SignsOptions {
  // A target that the entry VM did not hear for this long is reported gone.
  core::Duration m_GoneAfter{2000};
  // Time between two summaries to the leader.
  core::Duration m_SummaryEvery{500};
  // The leader places nothing on a target after this long without a sign.
  core::Duration m_SilentAfter{2000};
  // The leader gives a target up after this long without a sign.
  core::Duration m_LostAfter{6000};

  friend bool operator==(const SignsOptions &, const SignsOptions &) = default;
  friend auto operator<=>(const SignsOptions &, const SignsOptions &) = default;
};

// What an entry VM tells the leader.
struct SignsSummary {
  // Counts summaries; a gap makes the leader ask for everything.
  std::uint64_t m_Sequence = 0;
  // True when m_Appeared lists every target that the entry VM hears.
  bool m_Full = false;
  std::vector<core::TargetId> m_Appeared;
  std::vector<core::TargetId> m_Vanished;

  friend bool operator==(const SignsSummary &, const SignsSummary &) = default;
  friend auto operator<=>(const SignsSummary &, const SignsSummary &) = default;
};

// ---- At the entry VM -------------------------------------------------------

struct EntrySigns {
  std::map<core::TargetId, core::Time> m_HeardAt;
  std::set<core::TargetId> m_Told;
  std::uint64_t m_Sequence = 0;
  core::Time m_SummaryAt;

  friend bool operator==(const EntrySigns &, const EntrySigns &) = default;
};

struct Summarised {
  EntrySigns m_Signs;
  SignsSummary m_Summary;

  friend bool operator==(const Summarised &, const Summarised &) = default;
};

[[nodiscard]] EntrySigns heard(EntrySigns Before, const core::TargetId &Id,
                               core::Time Now);
[[nodiscard]] bool summaryIsDue(const EntrySigns &Current,
                                const SignsOptions &Options, core::Time Now);
// The changes since the last summary, or everything when Full.
[[nodiscard]] Summarised summarise(EntrySigns Before,
                                   const SignsOptions &Options, bool Full,
                                   core::Time Now);

// ---- At the leader ---------------------------------------------------------

// One entry VM as the leader knows it.
struct EntryRecord {
  std::uint64_t m_Sequence = 0;
  core::Time m_HeardAt;
  std::set<core::TargetId> m_Targets;

  friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

struct LeaderSigns {
  // Start of leading: earlier signs are unknown and count as of now.
  core::Time m_Since;
  std::map<core::VmId, EntryRecord> m_Entries;
  // Last sign of targets that no entry VM hears any more.
  std::map<core::TargetId, core::Time> m_LastSign;

  friend bool operator==(const LeaderSigns &, const LeaderSigns &) = default;
};

struct Told {
  LeaderSigns m_Signs;
  // True when the entry VM must send a full summary.
  bool m_NeedsFull = false;

  friend bool operator==(const Told &, const Told &) = default;
};

[[nodiscard]] Told told(LeaderSigns Before, const core::VmId &Entry,
                        const SignsSummary &Value, const SignsOptions &Options,
                        core::Time Now);
// The newest sign of the target that reached the leader.
[[nodiscard]] core::Time lastSign(const LeaderSigns &Current,
                                  const core::TargetId &Id);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_HEARTBEATS_H
