// The leader's side of targets that fetch their orders: what each report means
// for the workflows, what each target is told, and when work is given up.
//
// Orders follow from state: whatever is assigned to a target and not reported
// by it is started, whatever it reports and is not wanted is stopped. An order
// that was lost is given again with the next report.
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
  roster::HealthOptions m_Health;
  assignment::PassOptions m_Pass;
  // Longest time for which a report of an idle target waits for orders. The
  // target drops an answer that takes longer than a second.
  core::Duration m_HoldIdle{700};
  // Longest time for which a report waits until its ends are durable.
  core::Duration m_HoldEnds{400};
  // When a target with tasks and free room is asked to report again.
  core::Duration m_ReportAgain{300};
  // Shortest time between two passes.
  core::Duration m_MinPassInterval{15};
  // Time after which waiting steps are looked at again without a change.
  core::Duration m_PassAgain{250};
  core::Duration m_LossEvery{100};
  // A run that no report shows counts as never started once its stop was
  // ordered so often and for so long. A target may carry out an order late.
  std::uint32_t m_WithdrawAnswers = 2;
  core::Duration m_WithdrawAfter{2000};
  // A start that was ordered so often and for so long without a sign of it is
  // given up, and the run is withdrawn.
  std::uint32_t m_StartAnswers = 3;
  core::Duration m_StartWithin{4000};

  friend bool operator==(const PollingOptions &,
                         const PollingOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// Orders about a run that its target has not shown yet.
struct Unseen {
  std::uint32_t m_Run = 0;
  // Answers that held the order, and when the first of them left.
  std::uint32_t m_Answers = 0;
  core::Time m_Since;

  friend bool operator==(const Unseen &, const Unseen &) = default;
};

// The leader's working state; a new leader starts with an empty one.
struct PollingState {
  roster::Roster m_Roster;
  roster::Health m_Health;
  // Runs that are being stopped for others.
  std::map<workflow::TaskKey, std::uint32_t> m_Displaced;
  // Runs whose end was proposed and is not durable yet.
  std::map<workflow::TaskKey, std::uint32_t> m_EndProposed;
  // Starts and stops of runs that no report has shown.
  std::map<workflow::TaskKey, Unseen> m_Starts;
  std::map<workflow::TaskKey, Unseen> m_Withdrawals;
  bool m_PassNeeded = true;
  core::Time m_LastPassAt;
  core::Time m_LossAt;

  friend bool operator==(const PollingState &, const PollingState &) = default;
};

[[nodiscard]] PollingState beginPolling(core::Time Now);

// ---- Steps -----------------------------------------------------------------

struct PollingStep {
  PollingState m_Polling;
  std::vector<Command> m_Commands;
  // What the pass decided, for the log.
  std::vector<assignment::Preemption> m_Preemptions;
  // Runs that are stopped because they stand still.
  std::vector<roster::RunningTask> m_Stalled;

  friend bool operator==(const PollingStep &, const PollingStep &) = default;
};

// After a report. A stale one changes nothing.
[[nodiscard]] PollingStep
handleReport(PollingState Before, const State &Current, roster::Report Value,
             const PollingOptions &Options, core::Time Now);

// After the target said that it leaves now. Without an incarnation it may be
// an old message, and the target merely gets no new work.
[[nodiscard]] PollingState
handleLeave(PollingState Before, const core::TargetId &Id,
            std::optional<std::uint64_t> Incarnation);

// After commands were applied.
[[nodiscard]] PollingState afterApplied(PollingState Before,
                                        const State &Current,
                                        const ApplyResult &Result);

// What is due at Now: runs lost with their targets, and a pass over waiting
// steps unless MayPass is false because an earlier one is not applied yet.
[[nodiscard]] PollingStep tick(PollingState Before, const State &Current,
                               const PollingOptions &Options, bool MayPass,
                               core::Time Now);

// ---- Answers ---------------------------------------------------------------

// What a target's newest report is answered, as of now.
struct ReportResponse {
  roster::Orders m_Orders;
  // True when the answer should leave at once.
  bool m_SendNow = false;
  // Otherwise how long it may wait for something to tell.
  core::Duration m_MaxDelay{0};

  friend bool operator==(const ReportResponse &,
                         const ReportResponse &) = default;
};

// After a target's report, heard at ReportedAt, was answered with the orders.
[[nodiscard]] PollingState
recordOrdersSent(PollingState Before, const State &Current,
                 const core::TargetId &Id, const roster::Orders &Orders,
                 const PollingOptions &Options, core::Time ReportedAt,
                 core::Time Now);

[[nodiscard]] ReportResponse ordersFor(const PollingState &Current,
                                       const State &State,
                                       const roster::Member &To,
                                       const PollingOptions &Options,
                                       std::uint64_t Fence);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_POLLING_H
