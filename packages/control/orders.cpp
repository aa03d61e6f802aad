// Computes the responses to the reports of polling targets.
#include "control/runs.h"

#include <algorithm>

namespace fireflydrift::control {

using workflow::TaskKey;
using namespace impl;

// The sequence number up to which all reported run ends are durable; zero if
// none is.
static std::uint64_t acknowledgedThrough(const State &Current,
                                         const roster::Member &Target) {
  std::uint64_t Through = 0;
  for (const roster::EndedTask &Each : Target.m_LastReport.m_Ended) {
    if (isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()))
      break;
    Through = Each.m_Number;
  }
  return Through;
}

static void addStarts(const PollingState &Polling, const State &Current,
                      const roster::Member &Target, roster::Orders &Orders) {
  if (acceptsNoRuns(Current, Target))
    return;
  for (const TaskKey &Key : assignedTo(Current, Target.m_LastReport.m_Target)) {
    const workflow::Workflow &Workflow = *findWorkflow(Current, Key.m_Workflow);
    const workflow::Task &Value = *Workflow.find(Key.m_Step, Key.m_Index);
    bool MustStart = isUnreported(Current, Target, Key, Value.m_Run) &&
                     shouldRun(Polling, Current, Key, Value.m_Run) &&
                     !isEndProposed(Polling, Key, Value.m_Run);
    if (MustStart)
      Orders.m_Starts.push_back({.m_Task = Key,
                                 .m_Run = Value.m_Run,
                                 .m_Body = Workflow.spec().m_Body,
                                 .m_Checkpoint = Value.m_Checkpoint});
  }
}

static void addStops(const PollingState &Polling, const State &Current,
                     const roster::Member &Target, roster::Orders &Orders) {
  for (const roster::RunningTask &Each : Target.m_LastReport.m_Running)
    if (!isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()) ||
        !shouldRun(Polling, Current, Each.m_Task, Each.m_Run))
      Orders.m_Stops.push_back({.m_Task = Each.m_Task, .m_Run = Each.m_Run});
  for (const TaskKey &Key : assignedTo(Current, Target.m_LastReport.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    if (isUnreportedAndStopped(Polling, Current, Target, Key, Value))
      Orders.m_Stops.push_back({.m_Task = Key, .m_Run = Value.m_Run});
  }
}

static UnconfirmedOrder recordOrderSent(UnconfirmedOrder &Known,
                                        std::uint32_t Run, core::Time Now) {
  if (Known.m_Run != Run)
    Known = {.m_Run = Run, .m_FirstSentAt = Now};
  ++Known.m_TimesSent;
  return Known;
}

PollingState recordOrdersSent(PollingState Before, const State &Current,
                              const core::TargetId &Id,
                              const roster::Orders &Orders,
                              const PollingOptions &Options,
                              core::Time ReportedAt, core::Time Now) {
  Before.m_Roster = std::move(Before.m_Roster)
                        .withExtendedLease(Id, Options.m_Roster, ReportedAt);
  const roster::Member *Target = Before.m_Roster.find(Id);
  if (!Target)
    return Before;
  for (const roster::StopOrder &Each : Orders.m_Stops)
    if (isUnreported(Current, *Target, Each.m_Task, Each.m_Run))
      (void)recordOrderSent(Before.m_UnconfirmedStops[Each.m_Task], Each.m_Run,
                            Now);
  for (const roster::StartOrder &Each : Orders.m_Starts) {
    UnconfirmedOrder Known = recordOrderSent(
        Before.m_UnconfirmedStarts[Each.m_Task], Each.m_Run, Now);
    // The target ignores the order, so the run is stopped and the task can be
    // assigned again.
    if (Known.m_TimesSent >= Options.m_MinStartOrders &&
        Now - Known.m_FirstSentAt >= Options.m_StartTimeout) {
      Before.m_Preempted[Each.m_Task] = Each.m_Run;
      Before.m_Health =
          std::move(Before.m_Health).withStalledRun(Id, Options.m_Health, Now);
    }
  }
  return Before;
}

static core::Duration timeFor(std::size_t Reports, std::uint32_t PerSecond) {
  constexpr std::size_t MsPerSecond = 1000;
  return core::Duration(static_cast<core::Duration::rep>(
      Reports * MsPerSecond / std::max(PerSecond, 1U)));
}

core::Duration reportInterval(const PollingOptions &Options,
                              std::size_t Targets) {
  return std::clamp(timeFor(Targets, Options.m_MaxReportsPerSecond),
                    Options.m_ReportInterval, Options.m_MaxReportInterval);
}

core::Duration confirmationDelay(const PollingOptions &Options,
                                 std::size_t Targets) {
  return std::clamp(timeFor(Targets, Options.m_MaxConfirmationsPerSecond),
                    core::Duration(1), Options.m_MaxReportInterval);
}

// Time until the runs on a draining target are stopped, so that its next report
// arrives by then.
static core::Duration timeUntilStops(const roster::Report &Last,
                                     const PollingOptions &Options) {
  if (!Last.m_Draining || !Last.m_Remaining)
    return Options.m_MaxReportInterval;
  core::Duration Left = *Last.m_Remaining - departureLead(Options);
  bool StopsLater = Left > core::Duration::zero();
  return StopsLater ? Left : Options.m_ReportInterval;
}

ReportResponse ordersFor(const PollingState &Current, const State &State,
                         const roster::Member &Target,
                         const PollingOptions &Options,
                         std::uint64_t FencingToken) {
  ReportResponse Out;
  roster::Orders &Orders = Out.m_Orders;
  Orders.m_FencingToken = FencingToken;
  Orders.m_Lease = Options.m_Roster.m_Lease;
  Orders.m_AcknowledgedThrough = acknowledgedThrough(State, Target);
  addStarts(Current, State, Target, Orders);
  addStops(Current, State, Target, Orders);
  const roster::Report &Last = Target.m_LastReport;
  bool HasUnacknowledgedEnds =
      !Last.m_Ended.empty() &&
      Last.m_Ended.back().m_Number > Orders.m_AcknowledgedThrough;
  // A target is confirmed by its next report.
  Out.m_SendNow = !Target.m_Confirmed || !Orders.m_Starts.empty() ||
                  !Orders.m_Stops.empty() ||
                  (!Last.m_Ended.empty() && !HasUnacknowledgedEnds);
  bool Idle = Last.m_Running.empty() && !Last.m_Draining;
  // Unless reported ends are not durable yet, a target that runs tasks gets its
  // response at once: it can't report that a task has ended while the response
  // to its previous report is held.
  Out.m_MaxDelay = HasUnacknowledgedEnds ? Options.m_MaxCommitHold
                   : Idle                ? Options.m_MaxIdleHold
                                         : core::Duration(0);
  std::size_t Targets = Current.m_Roster.members().size();
  if (!Target.m_Confirmed)
    Orders.m_ReportAfter = confirmationDelay(Options, Targets);
  else
    Orders.m_ReportAfter = Idle ? core::Duration(1)
                                : std::min(reportInterval(Options, Targets),
                                           timeUntilStops(Last, Options));
  return Out;
}

} // namespace fireflydrift::control
