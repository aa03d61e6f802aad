// Reports of targets that fetch their orders, and the orders in reply.
#ifndef FIREFLYDRIFT_ROSTER_REPORT_H
#define FIREFLYDRIFT_ROSTER_REPORT_H

#include "workflow/workflow.h"

#include <optional>

namespace fireflydrift::roster {

// ---- Reports ---------------------------------------------------------------

struct RunningTask {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  // Newest checkpoint; empty for none.
  std::string m_Checkpoint;
  // Work done, in percent of the declared run time; 100 once that has passed.
  std::int32_t m_Percent = 0;

  friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

// How a run ended, as reported by its target.
enum class EndCause : std::uint8_t {
  Done,
  Failed,
  // Stopped by a stop order.
  Stopped,
  // Its lease ran out.
  LeaseExpired,
  // Another member of its gang ended.
  GangBroken,
  // Not all members of its gang were ready in time.
  GangIncomplete,
  // It was never started.
  Refused,
};

struct EndedTask {
  // Sequence number of the end within one instance of the target, from 1.
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
  // Start time of this instance, in milliseconds; higher for later instances.
  std::uint64_t m_Incarnation = 0;
  // Increases with each report of one instance.
  std::uint64_t m_Sequence = 0;
  std::string m_Pool;
  // Host and port at which the target serves.
  std::string m_Address;
  // The host from which the report arrived; empty when unknown.
  std::string m_SourceHost;
  std::string m_FailureDomain;
  std::string m_Rack;
  std::vector<std::string> m_Labels;
  core::Capacity m_Capacity;
  bool m_Draining = false;
  // While draining: the minimum time until the target leaves, if it says so.
  std::optional<core::Duration> m_Remaining;
  std::vector<RunningTask> m_Running;
  std::vector<EndedTask> m_Ended;

  friend bool operator==(const Report &, const Report &) = default;
};

// ---- Orders ----------------------------------------------------------------

struct StartOrder {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  std::string m_Body;
  // Checkpoint to resume from; empty to start from the beginning.
  std::string m_Checkpoint;

  friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

struct StopOrder {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;

  friend bool operator==(const StopOrder &, const StopOrder &) = default;
};

// The reply to one report.
struct Orders {
  // Increases with each leader; a target ignores orders with a lower token.
  std::uint64_t m_FencingToken = 0;
  // Duration of the leases, counted from when the report was sent. Zero extends
  // no lease and starts nothing.
  core::Duration m_Lease{0};
  // Ends up to this sequence number are durable and need not be repeated.
  std::uint64_t m_AcknowledgedThrough = 0;
  // Delay until the next report is wanted; zero leaves it to the target.
  core::Duration m_ReportAfter{0};
  std::vector<StartOrder> m_Starts;
  std::vector<StopOrder> m_Stops;

  friend bool operator==(const Orders &, const Orders &) = default;
};

// Limits that every genuine report keeps.
struct ReportLimits {
  // How far the start time of an instance may lie ahead of this VM's clock. A
  // clock that is set to another time zone is off by less.
  core::Duration m_MaxClockDifference{std::chrono::hours(24)};
  // More reports than one instance can send, and exact in every JSON library.
  std::uint64_t m_MaxSequence = std::uint64_t{1} << 53U;

  friend bool operator==(const ReportLimits &, const ReportLimits &) = default;
};

// Returns why no target can have sent the report, whatever is known of it; code
// None when one can. Now is the wall-clock time.
[[nodiscard]] core::Reason
checkReport(const Report &Value, const ReportLimits &Limits, core::Time Now);

// True when the report came from the host that it names as the target's: only a
// program on that host can have sent it. False says nothing where addresses are
// translated on the way.
[[nodiscard]] bool isFromOwnHost(const Report &Value);

[[nodiscard]] const char *toString(EndCause Value) noexcept;
// The outcome of the run for the workflow.
[[nodiscard]] workflow::RunOutcome runOutcomeOf(EndCause Value) noexcept;

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_REPORT_H
