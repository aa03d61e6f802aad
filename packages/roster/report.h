// What a target that fetches its orders says, and what it is told.
#ifndef FIREFLYDRIFT_ROSTER_REPORT_H
#define FIREFLYDRIFT_ROSTER_REPORT_H

#include "workflow/workflow.h"

namespace fireflydrift::roster {

// ---- Reports ---------------------------------------------------------------

struct RunningTask {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  // Newest saved progress; empty for none.
  std::string m_Checkpoint;
  // Work done, in hundredths of the declared run time; 100 from then on.
  std::int32_t m_Percent = 0;

  friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

// How a run ended, as its target tells it.
enum class EndCause : std::uint8_t {
  Done,
  Failed,
  // Stopped on order.
  Stopped,
  // Its lease ran out.
  LeaseExpired,
  // Another member of its gang ended.
  GangBroken,
  // It waited in vain for the other members of its gang.
  GangIncomplete,
  // It was never started.
  Refused,
};

struct EndedTask {
  // Counts the ends in one life of the target, from 1.
  std::uint64_t m_Number = 0;
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  EndCause m_Cause = EndCause::Done;
  std::string m_Checkpoint;

  friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

// One report. A target repeats each end until it is acknowledged.
struct Report {
  core::TargetId m_Target;
  // When this life began, in milliseconds; a later life has a higher one.
  std::uint64_t m_Incarnation = 0;
  // Rises with each report of one life.
  std::uint64_t m_Sequence = 0;
  std::string m_Pool;
  std::string m_Address;
  std::string m_FailureDomain;
  std::string m_Rack;
  std::vector<std::string> m_Labels;
  core::Capacity m_Capacity;
  bool m_Draining = false;
  // While draining: the time that is left at least.
  core::Duration m_Remaining{0};
  std::vector<RunningTask> m_Running;
  std::vector<EndedTask> m_Ended;

  friend bool operator==(const Report &, const Report &) = default;
};

// ---- Orders ----------------------------------------------------------------

struct StartOrder {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  std::string m_Body;
  // Progress to go on from; empty to begin anew.
  std::string m_Checkpoint;

  friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

struct StopOrder {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;

  friend bool operator==(const StopOrder &, const StopOrder &) = default;
};

// The answer to one report.
struct Orders {
  // Rises with each leader; a target ignores orders under a lower one.
  std::uint64_t m_FencingToken = 0;
  // How long leases go on, counted from when the report was sent. Zero extends
  // none and starts nothing.
  core::Duration m_Lease{0};
  // Ends up to this number are durable and need not be repeated.
  std::uint64_t m_AcknowledgedThrough = 0;
  // When the next report is wanted; zero leaves it to the target.
  core::Duration m_ReportAfter{0};
  std::vector<StartOrder> m_Starts;
  std::vector<StopOrder> m_Stops;

  friend bool operator==(const Orders &, const Orders &) = default;
};

[[nodiscard]] const char *toString(EndCause Value) noexcept;
// What the end means for the workflow.
[[nodiscard]] workflow::RunOutcome runEndOf(EndCause Value) noexcept;

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_REPORT_H
