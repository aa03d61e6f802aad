#include "control/polling.h"

#include "control/view.h"

#include <algorithm>

namespace fireflydrift::control {

using workflow::TaskKey;
using namespace impl;

PollingState beginPolling(core::Time Now) {
  return {.m_Roster = roster::Roster(Now),
          .m_LeaderSince = Now,
          .m_LastPassAt = Now,
          .m_LastLossCheckAt = Now,
          .m_LastWithdrawAt = Now,
          .m_LastForgottenAt = Now};
}

static void proposeEnd(PollingStep &Out, const TaskKey &Key, std::uint32_t Run,
                       workflow::RunOutcome Outcome,
                       const std::string &Checkpoint) {
  std::uint32_t &Proposed = Out.m_Polling.m_ProposedEnds[Key];
  if (Proposed >= Run)
    return;
  Proposed = Run;
  Out.m_Commands.push_back(EndRun{.m_Workflow = Key.m_Workflow,
                                  .m_End = {.m_Step = Key.m_Step,
                                            .m_Index = Key.m_Index,
                                            .m_Run = Run,
                                            .m_Outcome = Outcome,
                                            .m_Checkpoint = Checkpoint}});
}

// ---- Reports ---------------------------------------------------------------

// Ends runs that are missing from the newest report and whose stop was ordered
// at least m_MinStopOrders times, the first time m_StopTimeout ago or earlier.
// They can't start any more, because a target refuses a run that it has been
// ordered to stop.
static void endStoppedRuns(PollingStep &Out, const State &Current,
                           const roster::Member &Target,
                           const PollingOptions &Options, core::Time Now) {
  for (const TaskKey &Key : assignedTo(Current, Target.m_LastReport.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    auto Known = Out.m_Polling.m_UnconfirmedStops.find(Key);
    bool NeverStarted =
        Known != Out.m_Polling.m_UnconfirmedStops.end() &&
        Known->second.m_Run == Value.m_Run &&
        Known->second.m_TimesSent >= Options.m_MinStopOrders &&
        Now - Known->second.m_FirstSentAt >= Options.m_StopTimeout;
    if (NeverStarted &&
        isUnreportedAndStopped(Out.m_Polling, Current, Target, Key, Value))
      proposeEnd(Out, Key, Value.m_Run, workflow::RunOutcome::Interrupted, {});
  }
}

// The task must exist.
static bool isLongRunning(const State &Current, const TaskKey &Key) {
  return findWorkflow(Current, Key.m_Workflow)
      ->spec()
      .m_Steps[Key.m_Step]
      .m_LongRunning;
}

// Records how runs ended and stops stalled runs, except those of long-running
// steps. A stalled run's checkpoint is kept, so the task can continue from it
// on another target.
static void updateHealth(PollingStep &Out, const State &Current,
                         const roster::Member &Target,
                         const PollingOptions &Options, core::Time Now) {
  PollingState &Polling = Out.m_Polling;
  const roster::Report &Last = Target.m_LastReport;
  for (const roster::EndedTask &Each : Last.m_Ended)
    if (isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()) &&
        !Polling.m_ProposedEnds.contains(Each.m_Task))
      Polling.m_Health = std::move(Polling.m_Health)
                             .withRunEnd(Last.m_Target, Each.m_Cause, Now);
  Polling.m_Health = std::move(Polling.m_Health).withReport(Last, Now);
  for (roster::RunningTask &Each :
       Polling.m_Health.stalled(Last, Options.m_Health, Now)) {
    bool ShouldRun =
        isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()) &&
        shouldRun(Polling, Current, Each.m_Task, Each.m_Run);
    if (!ShouldRun || isLongRunning(Current, Each.m_Task))
      continue;
    Polling.m_Preempted[Each.m_Task] = Each.m_Run;
    Polling.m_Health =
        std::move(Polling.m_Health)
            .withStalledRun(Last.m_Target, Options.m_Health, Now);
    Out.m_Stalled.push_back(std::move(Each));
  }
}

static void withdraw(PollingStep &Out, const TaskKey &Key, std::uint32_t Run,
                     WithdrawalCause Cause) {
  auto [Known, Added] = Out.m_Polling.m_Preempted.try_emplace(Key, Run);
  if (!Added && Known->second == Run)
    return;
  Known->second = Run;
  Out.m_Withdrawn.push_back({.m_Task = Key, .m_Run = Run, .m_Cause = Cause});
}

// Stops the runs on a target that is about to leave, while it can still report
// their ends. An end that it can't report any more is not known to the leader,
// which would run the task a second time.
static void stopBeforeDeparture(PollingStep &Out, const State &Current,
                                const roster::Member &Target,
                                const PollingOptions &Options) {
  const roster::Report &Last = Target.m_LastReport;
  bool Departs = Last.m_Draining && Last.m_Remaining &&
                 *Last.m_Remaining <= departureLead(Options);
  if (!Departs)
    return;
  for (const TaskKey &Key : assignedTo(Current, Last.m_Target)) {
    std::uint32_t Run = findTask(Current, Key)->m_Run;
    bool MustStop = isAssignedRun(Current, Key, Run, Target.instance()) &&
                    shouldRun(Out.m_Polling, Current, Key, Run) &&
                    !isEndProposed(Out.m_Polling, Key, Run);
    if (MustStop)
      withdraw(Out, Key, Run, WithdrawalCause::Departing);
  }
}

// True when a report shows anything that an assignment pass depends on other
// than the progress of runs.
static bool changesFleet(const roster::Member *Known,
                         const roster::Report &Next,
                         const PollingOptions &Options, core::Time Now) {
  if (!Known || !Known->m_Confirmed ||
      Now - Known->m_LastReportAt >= Options.m_Roster.m_SilentAfter)
    return true;
  const roster::Report &Last = Known->m_LastReport;
  bool SameTarget = Last.m_Incarnation == Next.m_Incarnation &&
                    Last.m_Draining == Next.m_Draining &&
                    Last.m_Capacity == Next.m_Capacity &&
                    Last.m_Labels == Next.m_Labels;
  auto IsSameRun = [](const roster::RunningTask &A,
                      const roster::RunningTask &B) {
    return A.m_Run == B.m_Run && A.m_Task == B.m_Task;
  };
  return !SameTarget ||
         !std::equal(Last.m_Running.begin(), Last.m_Running.end(),
                     Next.m_Running.begin(), Next.m_Running.end(), IsSameRun);
}

PollingStep handleReport(PollingState Before, const State &Current,
                         roster::Report Value, const PollingOptions &Options,
                         core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  roster::Roster &Roster = Out.m_Polling.m_Roster;
  if (Roster.judge(Value, Options.m_Roster, Now) !=
      roster::ReportVerdict::Accepted)
    return Out;
  core::TargetId Id = Value.m_Target;
  Out.m_Polling.m_PassNeeded =
      Out.m_Polling.m_PassNeeded ||
      changesFleet(Roster.find(Id), Value, Options, Now);
  Roster =
      std::move(Roster).withReport(std::move(Value), Options.m_Roster, Now);
  const roster::Member &Target = *Out.m_Polling.m_Roster.find(Id);
  updateHealth(Out, Current, Target, Options, Now);
  for (const roster::EndedTask &Each : Target.m_LastReport.m_Ended)
    if (isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()))
      proposeEnd(Out, Each.m_Task, Each.m_Run,
                 roster::runOutcomeOf(Each.m_Cause), Each.m_Checkpoint);
  endStoppedRuns(Out, Current, Target, Options, Now);
  stopBeforeDeparture(Out, Current, Target, Options);
  return Out;
}

PollingState handleLeave(PollingState Before, const roster::Departure &Value) {
  Before.m_Roster = std::move(Before.m_Roster).withDeparture(Value);
  return Before;
}

PollingState afterApplied(PollingState Before, const State &Current,
                          const ApplyResult &Result) {
  if (Result.m_WorkflowChanges.empty() && !Result.m_FleetChanged)
    return Before;
  Before.m_PassNeeded = true;
  auto IsOver = [&](const auto &Each) {
    const workflow::Task *Found = findTask(Current, Each.first);
    return !Found || Found->m_Run != Each.second ||
           Found->m_Phase != workflow::TaskPhase::Assigned;
  };
  std::erase_if(Before.m_Preempted, IsOver);
  std::erase_if(Before.m_ProposedEnds, IsOver);
  auto IsOrderOver = [&](const auto &Each) {
    return IsOver(std::pair(Each.first, Each.second.m_Run));
  };
  std::erase_if(Before.m_UnconfirmedStarts, IsOrderOver);
  std::erase_if(Before.m_UnconfirmedStops, IsOrderOver);
  return Before;
}

// ---- Lost targets -----------------------------------------------------------

static std::string lastCheckpoint(const PollingState &Polling,
                                  const TaskKey &Key,
                                  const workflow::Task &Value) {
  const roster::Member *Known =
      Polling.m_Roster.find(Value.m_Instance.m_Target);
  if (!Known || Known->instance() != Value.m_Instance)
    return {};
  const roster::RunningTask *Seen =
      reportedRun(Known->m_LastReport, Key, Value.m_Run);
  return Seen ? Seen->m_Checkpoint : std::string();
}

// Ends the runs of target instances whose leases have expired: nothing can be
// running there any more.
static void endLostRuns(PollingStep &Out, const State &Current,
                        const PollingOptions &Options, core::Time Now) {
  PollingState &Polling = Out.m_Polling;
  if (Now - Polling.m_LastLossCheckAt < Options.m_LossCheckInterval)
    return;
  Polling.m_LastLossCheckAt = Now;
  for (const auto &[Target, Tasks] : Current.m_Indexes.m_Assigned)
    for (const TaskKey &Key : Tasks) {
      const workflow::Task &Value = *findTask(Current, Key);
      if (Polling.m_Roster.isExpired(Value.m_Instance, Options.m_Roster, Now))
        proposeEnd(Out, Key, Value.m_Run, workflow::RunOutcome::Interrupted,
                   lastCheckpoint(Polling, Key, Value));
    }
}

// ---- Evacuated failure domains --------------------------------------------

// Withdraws the run, and those of its whole gang: a gang with a member that may
// not start can't work.
static void withdrawUnit(PollingStep &Out, const State &Current,
                         const TaskKey &Key) {
  const workflow::Workflow &Owner = *findWorkflow(Current, Key.m_Workflow);
  std::uint32_t Run = Owner.find(Key.m_Step, Key.m_Index)->m_Run;
  if (!Owner.spec().m_Steps[Key.m_Step].m_Gang)
    return withdraw(Out, Key, Run, WithdrawalCause::Evacuated);
  const auto &Members = Owner.fields().m_Steps[Key.m_Step].m_Tasks;
  for (std::uint32_t I = 0; I < Members.size(); ++I)
    if (Members[I].m_Phase == workflow::TaskPhase::Assigned &&
        Members[I].m_Run == Run)
      withdraw(Out, {Key.m_Workflow, Key.m_Step, I}, Run,
               WithdrawalCause::Evacuated);
}

// Withdraws the runs that were assigned to targets of evacuated domains and
// have not started there.
static void withdrawUnstartedRuns(PollingStep &Out, const State &Current,
                                  const PollingOptions &Options,
                                  core::Time Now) {
  if (!Current.m_Tables.m_Evacuations.hasEvacuatedDomain() ||
      Now - Out.m_Polling.m_LastWithdrawAt < Options.m_WithdrawInterval)
    return;
  Out.m_Polling.m_LastWithdrawAt = Now;
  for (const auto &[Id, Tasks] : Current.m_Indexes.m_Assigned) {
    const roster::Member *Known = Out.m_Polling.m_Roster.find(Id);
    bool IsEvacuated = Known && Current.m_Tables.m_Evacuations.isEvacuated(
                                    Known->m_LastReport.m_FailureDomain);
    if (!IsEvacuated)
      continue;
    for (const TaskKey &Key : Tasks)
      if (isUnreported(Current, *Known, Key, findTask(Current, Key)->m_Run))
        withdrawUnit(Out, Current, Key);
  }
}

// Bounds the memory that targets take which never report again.
static void forgetSilentTargets(PollingState &Polling,
                                const PollingOptions &Options, core::Time Now) {
  if (Now - Polling.m_LastForgottenAt < Options.m_ForgetInterval)
    return;
  Polling.m_LastForgottenAt = Now;
  std::vector<core::TargetId> Silent =
      Polling.m_Roster.forgettable(Options.m_Roster, Now);
  Polling.m_Roster = std::move(Polling.m_Roster).without(Silent);
  Polling.m_Health = std::move(Polling.m_Health).without(Silent);
}

// ---- Assignment passes ------------------------------------------------------

static void runAssignmentPass(PollingStep &Out, const State &Current,
                              const PollingOptions &Options, core::Time Now) {
  PollingState &Polling = Out.m_Polling;
  Polling.m_PassNeeded = false;
  Polling.m_LastPassAt = Now;
  impl::PassInput View = impl::makePassInput(Polling, Current, Options, Now);
  if (View.m_PendingSteps.empty())
    return;
  assignment::PassOptions Pass = Options.m_Pass;
  Pass.m_FleetIsKnown = Pass.m_FleetIsKnown && Now - Polling.m_LeaderSince >=
                                                   Options.m_FleetKnownAfter;
  assignment::PassResult Result = assignment::runPass(
      std::move(View.m_Targets), std::move(View.m_PendingSteps), Pass, Now);
  for (assignment::Assignment &Each : Result.m_Assignments)
    Out.m_Commands.push_back(
        AssignTasks{.m_Workflow = std::move(Each.m_Workflow),
                    .m_Assign = std::move(Each.m_Assign)});
  for (const assignment::Preemption &Each : Result.m_Preemptions)
    Polling.m_Preempted[Each.m_Task] = Each.m_Run;
  Out.m_Preemptions = std::move(Result.m_Preemptions);
}

PollingStep tick(PollingState Before, const State &Current,
                 const PollingOptions &Options, bool MayPass, core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  endLostRuns(Out, Current, Options, Now);
  withdrawUnstartedRuns(Out, Current, Options, Now);
  forgetSilentTargets(Out.m_Polling, Options, Now);
  core::Duration Since = Now - Out.m_Polling.m_LastPassAt;
  bool Due = Out.m_Polling.m_PassNeeded ? Since >= Options.m_MinPassInterval
                                        : Since >= Options.m_MaxPassInterval;
  if (MayPass && Due)
    runAssignmentPass(Out, Current, Options, Now);
  return Out;
}

// ---- Failure domains --------------------------------------------------------

static bool isKnown(const PollingState &Polling, const State &Current,
                    const std::string &FailureDomain) {
  const Tables &Stored = Current.m_Tables;
  const auto &Reporting = Polling.m_Roster.members();
  return Stored.m_Evacuations.revisionOf(FailureDomain) != 0 ||
         std::any_of(Stored.m_Targets.begin(), Stored.m_Targets.end(),
                     [&](const auto &Each) {
                       return Each.second.announcement().m_FailureDomain ==
                              FailureDomain;
                     }) ||
         std::any_of(Reporting.begin(), Reporting.end(), [&](const auto &Each) {
           return Each.second.m_LastReport.m_FailureDomain == FailureDomain;
         });
}

core::Reason checkFailureDomain(const PollingState &Polling,
                                const State &Current,
                                const std::string &FailureDomain,
                                const PollingOptions &Options, core::Time Now) {
  if (isKnown(Polling, Current, FailureDomain))
    return {};
  if (Now - Polling.m_LeaderSince < Options.m_FleetKnownAfter)
    return {core::ReasonCode::Unavailable, "failure_domain",
            "the targets have not reported to this leader yet"};
  return {core::ReasonCode::NotFound, "failure_domain",
          "no target of this failure domain is known"};
}

const char *toString(WithdrawalCause Value) noexcept {
  switch (Value) {
  case WithdrawalCause::Evacuated:
    return "evacuated";
  case WithdrawalCause::Departing:
    return "departing";
  }
  return "evacuated";
}

} // namespace fireflydrift::control
