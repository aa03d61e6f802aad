// Runs a recorded trace through the leader's own decisions in virtual time,
// with targets that do what the trace says.
#ifndef FIREFLYDRIFT_CONTROL_REPLAY_H
#define FIREFLYDRIFT_CONTROL_REPLAY_H

#include "control/leader.h"

#include <map>

namespace fireflydrift::control {

// ---- Traces ----------------------------------------------------------------

// A request, and how long it really runs.
struct TraceSubmit {
  job::JobSpec m_Spec;
  core::Duration m_RunTime;
  friend bool operator==(const TraceSubmit &, const TraceSubmit &) = default;
};
struct TraceCancel {
  core::JobKey m_Job;
  friend bool operator==(const TraceCancel &, const TraceCancel &) = default;
};
struct TraceAnnounce {
  target::Announcement m_Announcement;
  friend bool operator==(const TraceAnnounce &,
                         const TraceAnnounce &) = default;
};
struct TraceConfigure {
  configuration::Proposal m_Proposal;
  friend bool operator==(const TraceConfigure &,
                         const TraceConfigure &) = default;
};
// The target goes silent for good.
struct TraceTargetLost {
  core::TargetId m_Target;
  friend bool operator==(const TraceTargetLost &,
                         const TraceTargetLost &) = default;
};
// From now on the target fails every task that it starts.
struct TraceTargetFails {
  core::TargetId m_Target;
  friend bool operator==(const TraceTargetFails &,
                         const TraceTargetFails &) = default;
};

using TraceEvent =
    std::variant<TraceSubmit, TraceCancel, TraceAnnounce, TraceConfigure,
                 TraceTargetLost, TraceTargetFails>;

struct TimedEvent {
  core::Time m_At;
  TraceEvent m_Event;
  friend bool operator==(const TimedEvent &, const TimedEvent &) = default;
};

// A stated outcome: a measure and the range that it must stay in.
struct Expectation {
  std::string m_Measure;
  std::int64_t m_AtLeast = 0;
  std::int64_t m_AtMost = 0;
  friend bool operator==(const Expectation &, const Expectation &) = default;
};

struct Trace {
  std::string m_Name;
  std::vector<TimedEvent> m_Events;
  std::vector<Expectation> m_Expectations;
  friend bool operator==(const Trace &, const Trace &) = default;
};

// ---- Replaying -------------------------------------------------------------

struct ReplayOptions {
  LeaderOptions m_Leader;
  // Virtual time after which the replay ends whatever is still open.
  core::Duration m_Longest{30LL * 24 * 3600 * 1000};
  // Time between two samples of fragmentation.
  core::Duration m_SampleEvery{60000};

  friend bool operator==(const ReplayOptions &,
                         const ReplayOptions &) = default;
};

// What became of one request, in virtual time.
struct ReplayedJob {
  job::Phase m_Phase = job::Phase::Queued;
  bool m_Short = false;
  bool m_Urgent = false;
  core::Duration m_Runs{0};
  core::Time m_SubmittedAt;
  core::Time m_FirstStartAt;
  core::Time m_EndedAt;
  std::uint32_t m_Starts = 0;
  friend bool operator==(const ReplayedJob &, const ReplayedJob &) = default;
};

struct ReplayResult {
  std::map<core::JobKey, ReplayedJob> m_Jobs;
  // Named whole numbers: counts, milliseconds, or parts of a thousand.
  std::map<std::string, std::int64_t> m_Measures;
  // Rules that were broken at any time; empty when all is well.
  std::vector<std::string> m_Violations;
  friend bool operator==(const ReplayResult &, const ReplayResult &) = default;
};

[[nodiscard]] ReplayResult replay(const Trace &Value,
                                  const ReplayOptions &Options);

// The stated outcomes that the result does not meet, one line each.
[[nodiscard]] std::vector<std::string>
unmetExpectations(const Trace &Value, const ReplayResult &Result);

// Rules that must hold in every state: no target over-committed, every gang
// whole, quotas kept, indexes equal to what the tables give.
[[nodiscard]] std::vector<std::string> brokenRules(const State &Value);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_REPLAY_H
