// The leader's side of the polling protocol, in which a target sends reports
// and gets its orders in the responses: records the run ends in reports,
// assigns waiting steps, computes the orders, and ends the runs of lost
// targets.
//
// Orders are derived from the state each time. A run that is assigned to a
// target but not in its report is started; a run that is in the report but
// should not be running is stopped. A lost order is therefore repeated in the
// response to the next report.
#ifndef FIREFLYDRIFT_CONTROL_POLLING_H
#define FIREFLYDRIFT_CONTROL_POLLING_H

#include "assignment/pass.h"
#include "control/state.h"
#include "roster/health.h"
#include "roster/roster.h"

namespace fireflydrift::control {

// ---- Options ---------------------------------------------------------------

struct PollingOptions {
  roster::RosterOptions m_Roster;
  roster::ReportLimits m_ReportLimits;
  roster::HealthOptions m_Health;
  assignment::PassOptions m_Pass;
  // Longest time to hold the response to an idle target's report until there
  // are orders (long polling). The target drops a response that takes longer
  // than a second.
  core::Duration m_MaxIdleHold{700};
  // Longest time to hold a response until the run ends in the report are
  // durable.
  core::Duration m_MaxCommitHold{400};
  // Report interval of a target that has running tasks or is draining, while
  // the fleet is small.
  core::Duration m_ReportInterval{300};
  // Longest report interval in a large fleet. Targets report the end of a run
  // at once, so the interval delays only starts on targets that run other
  // tasks.
  core::Duration m_MaxReportInterval{1000};
  // Reports a second from targets with running tasks above which the interval
  // grows with the fleet, so that the leader's load does not.
  std::uint32_t m_MaxReportsPerSecond = 3000;
  // First answers a second after which targets are asked to report again. They
  // all arrive at once when a leader takes over.
  std::uint32_t m_MaxConfirmationsPerSecond = 5000;
  // Minimum interval between two assignment passes.
  core::Duration m_MinPassInterval{15};
  // Interval between assignment passes while nothing has changed.
  core::Duration m_MaxPassInterval{250};
  // Time after the start of a leadership within which the targets have
  // reported. Until then the leader takes its list of targets for incomplete.
  core::Duration m_FleetKnownAfter{1500};
  core::Duration m_LossCheckInterval{100};
  // Time of work between two checkpoints of a run that writes them.
  core::Duration m_CheckpointInterval{500};
  // Longest time that a target takes to stop a run.
  core::Duration m_StopWithin{1000};
  // Added to m_StopWithin: the time in which a draining target's report, the
  // stop order and the report of the end travel.
  core::Duration m_StopTransit{250};
  // Interval between two looks for runs to withdraw from evacuated domains.
  core::Duration m_WithdrawInterval{100};
  // Interval between removals of targets that have been silent for too long.
  core::Duration m_ForgetInterval{5000};
  // An assigned run that is missing from the reports counts as never started
  // once its stop has been ordered m_MinStopOrders times and m_StopTimeout has
  // passed since the first order. One order is not enough because a target may
  // carry out an order late.
  std::uint32_t m_MinStopOrders = 2;
  core::Duration m_StopTimeout{2000};
  // A run that is missing from the reports is stopped once its start has been
  // ordered m_MinStartOrders times and m_StartTimeout has passed since the
  // first order.
  std::uint32_t m_MinStartOrders = 3;
  core::Duration m_StartTimeout{4000};

  friend bool operator==(const PollingOptions &,
                         const PollingOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// An order for a run that is missing from its target's reports so far.
struct UnconfirmedOrder {
  std::uint32_t m_Run = 0;
  // Responses that contained the order, and when the first of them was sent.
  std::uint32_t m_TimesSent = 0;
  core::Time m_FirstSentAt;

  friend bool operator==(const UnconfirmedOrder &,
                         const UnconfirmedOrder &) = default;
};

// Volatile state of the leader. It is not replicated: a new leader starts with
// an empty one.
struct PollingState {
  roster::Roster m_Roster;
  roster::Health m_Health;
  // Numbers of the runs that are being stopped because they were preempted,
  // stalled, never started, or withdrawn.
  std::map<workflow::TaskKey, std::uint32_t> m_Preempted;
  // The highest run of each task whose end was proposed and is not durable yet.
  std::map<workflow::TaskKey, std::uint32_t> m_ProposedEnds;
  // Start and stop orders for runs that are missing from the reports.
  std::map<workflow::TaskKey, UnconfirmedOrder> m_UnconfirmedStarts;
  std::map<workflow::TaskKey, UnconfirmedOrder> m_UnconfirmedStops;
  core::Time m_LeaderSince;
  bool m_PassNeeded = true;
  core::Time m_LastPassAt;
  core::Time m_LastLossCheckAt;
  core::Time m_LastWithdrawAt;
  core::Time m_LastForgottenAt;

  friend bool operator==(const PollingState &, const PollingState &) = default;
};

[[nodiscard]] PollingState beginPolling(core::Time Now);

// ---- Steps -----------------------------------------------------------------

// Why a run is withdrawn.
enum class WithdrawalCause : std::uint8_t {
  // It, or another member of its gang, has not started in a failure domain that
  // is evacuated.
  Evacuated,
  // Its target leaves before it could report the end of the run.
  Departing,
};

// A run that is stopped so that its task can run on another target.
struct Withdrawal {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  WithdrawalCause m_Cause = WithdrawalCause::Evacuated;

  friend bool operator==(const Withdrawal &, const Withdrawal &) = default;
};

struct PollingStep {
  PollingState m_Polling;
  std::vector<Command> m_Commands;
  // The preemptions that the pass decided, for the log.
  std::vector<assignment::Preemption> m_Preemptions;
  // Runs that are stopped because they make no progress.
  std::vector<roster::RunningTask> m_Stalled;
  std::vector<Withdrawal> m_Withdrawn;

  friend bool operator==(const PollingStep &, const PollingStep &) = default;
};

// Handles a report. It has no effect unless the roster accepts it.
[[nodiscard]] PollingStep
handleReport(PollingState Before, const State &Current, roster::Report Value,
             const PollingOptions &Options, core::Time Now);

// Handles a target's message that it is leaving.
[[nodiscard]] PollingState handleLeave(PollingState Before,
                                       const roster::Departure &Value);

// Updates the polling state after commands were applied.
[[nodiscard]] PollingState afterApplied(PollingState Before,
                                        const State &Current,
                                        const ApplyResult &Result);

// Does the work that is due at Now: ends the runs of lost targets and runs an
// assignment pass over waiting steps. MayPass is false, and the pass is
// skipped, while commands of an earlier pass have not been applied.
[[nodiscard]] PollingStep tick(PollingState Before, const State &Current,
                               const PollingOptions &Options, bool MayPass,
                               core::Time Now);

// ---- Failure domains --------------------------------------------------------

// Why the leader knows no such failure domain: no target there has announced
// itself or reported, and no evacuation of it is recorded. NotFound, or
// Unavailable while the targets have not reported to this leader yet; code None
// when it knows the domain.
[[nodiscard]] core::Reason checkFailureDomain(const PollingState &Polling,
                                              const State &Current,
                                              const std::string &FailureDomain,
                                              const PollingOptions &Options,
                                              core::Time Now);

// ---- Responses --------------------------------------------------------------

// The response to a target's newest report, as of now.
struct ReportResponse {
  roster::Orders m_Orders;
  // True when the response should be sent at once.
  bool m_SendNow = false;
  // Otherwise how long the response may be held while there is nothing to tell
  // the target.
  core::Duration m_MaxDelay{0};

  friend bool operator==(const ReportResponse &,
                         const ReportResponse &) = default;
};

// Extends the target's lease and counts unconfirmed orders after Orders were
// sent in response to the report received at ReportedAt.
[[nodiscard]] PollingState
recordOrdersSent(PollingState Before, const State &Current,
                 const core::TargetId &Id, const roster::Orders &Orders,
                 const PollingOptions &Options, core::Time ReportedAt,
                 core::Time Now);

// The report interval of targets with running tasks in a fleet of this size.
[[nodiscard]] core::Duration reportInterval(const PollingOptions &Options,
                                            std::size_t Targets);
// The delay of the second report of an instance when this many targets have
// reported to the leader so far.
[[nodiscard]] core::Duration confirmationDelay(const PollingOptions &Options,
                                               std::size_t Targets);

[[nodiscard]] ReportResponse ordersFor(const PollingState &Current,
                                       const State &State,
                                       const roster::Member &Target,
                                       const PollingOptions &Options,
                                       std::uint64_t FencingToken);

[[nodiscard]] const char *toString(WithdrawalCause Value) noexcept;

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_POLLING_H
