// Replays a recorded trace in virtual time: the leader's production code
// decides, and simulated targets behave as the trace says.
#ifndef FIREFLYDRIFT_CONTROL_REPLAY_H
#define FIREFLYDRIFT_CONTROL_REPLAY_H

#include "control/leader.h"

#include <map>

namespace fireflydrift::control {

// ---- Traces ----------------------------------------------------------------

// A request and its actual run time.
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
// The target stops responding permanently.
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

// A measure and the range in which it is expected.
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
  // Virtual time after which the replay ends even if jobs are unfinished.
  core::Duration m_MaxVirtualTime{30LL * 24 * 3600 * 1000};
  // Interval between samples of fragmentation.
  core::Duration m_SampleInterval{60000};

  friend bool operator==(const ReplayOptions &,
                         const ReplayOptions &) = default;
};

// The course of one request, in virtual time.
struct ReplayedJob {
  job::Phase m_Phase = job::Phase::Queued;
  bool m_Short = false;
  bool m_Urgent = false;
  core::Duration m_RunTime{0};
  core::Time m_SubmittedAt;
  core::Time m_FirstStartAt;
  core::Time m_EndedAt;
  std::uint32_t m_Starts = 0;
  friend bool operator==(const ReplayedJob &, const ReplayedJob &) = default;
};

struct ReplayResult {
  std::map<core::JobKey, ReplayedJob> m_Jobs;
  // Integers by name: counts, milliseconds or thousandths.
  std::map<std::string, std::int64_t> m_Measures;
  // Invariants that were violated at any time; empty in a correct run.
  std::vector<std::string> m_Violations;
  friend bool operator==(const ReplayResult &, const ReplayResult &) = default;
};

[[nodiscard]] ReplayResult replay(const Trace &Value,
                                  const ReplayOptions &Options);

// The expectations that the result does not meet and its violations, one line
// each.
[[nodiscard]] std::vector<std::string>
unmetExpectations(const Trace &Value, const ReplayResult &Result);

// The violations of invariants that hold in every state: no target is
// over-committed, no gang is partially placed, no workspace exceeds its quota.
[[nodiscard]] std::vector<std::string> violatedInvariants(const State &Value);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_REPLAY_H
