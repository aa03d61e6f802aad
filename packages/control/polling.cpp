#include "control/polling.h"

#include "control/view.h"

namespace fireflydrift::control {

using workflow::TaskKey;
using namespace impl;

PollingState beginPolling(core::Time Now) {
  return {
      .m_Roster = roster::Roster(Now), .m_LastPassAt = Now, .m_LossAt = Now};
}

static void proposeEnd(PollingStep &Out, const TaskKey &Key, std::uint32_t Run,
                       workflow::RunOutcome How, const std::string &Saved) {
  std::uint32_t &Proposed = Out.m_Polling.m_EndProposed[Key];
  if (Proposed >= Run)
    return;
  Proposed = Run;
  Out.m_Commands.push_back(EndRun{.m_Workflow = Key.m_Workflow,
                                  .m_End = {.m_Step = Key.m_Step,
                                            .m_Index = Key.m_Index,
                                            .m_Run = Run,
                                            .m_Outcome = How,
                                            .m_Checkpoint = Saved}});
}

// ---- Reports ---------------------------------------------------------------

// Ends withdrawn runs that can't begin any more: a target refuses a run whose
// stop it has been ordered.
static void endWithdrawn(PollingStep &Out, const State &Current,
                         const roster::Member &From,
                         const PollingOptions &Options, core::Time Now) {
  for (const TaskKey &Key : assignedTo(Current, From.m_LastReport.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    auto Known = Out.m_Polling.m_Withdrawals.find(Key);
    bool Settled = Known != Out.m_Polling.m_Withdrawals.end() &&
                   Known->second.m_Run == Value.m_Run &&
                   Known->second.m_Answers >= Options.m_WithdrawAnswers &&
                   Now - Known->second.m_Since >= Options.m_WithdrawAfter;
    if (Settled && isWithdrawn(Out.m_Polling, Current, From, Key, Value))
      proposeEnd(Out, Key, Value.m_Run, workflow::RunOutcome::Interrupted, {});
  }
}

// For a task that is known to exist.
static bool isLasting(const State &Current, const TaskKey &Key) {
  return findWorkflow(Current, Key.m_Workflow)
      ->spec()
      .m_Steps[Key.m_Step]
      .m_LongRunning;
}

// Remembers how runs ended, and gives up those that stand still: what they
// have saved is not lost, and elsewhere they get on.
static void noticeHealth(PollingStep &Out, const State &Current,
                         const roster::Member &From,
                         const PollingOptions &Options, core::Time Now) {
  PollingState &Self = Out.m_Polling;
  const roster::Report &Last = From.m_LastReport;
  for (const roster::EndedTask &Each : Last.m_Ended)
    if (isOut(Current, Each.m_Task, Each.m_Run, From.instance()) &&
        !Self.m_EndProposed.contains(Each.m_Task))
      Self.m_Health =
          std::move(Self.m_Health).withRunEnd(Last.m_Target, Each.m_Cause, Now);
  Self.m_Health = std::move(Self.m_Health).withReport(Last, Now);
  for (roster::RunningTask &Each :
       Self.m_Health.stalled(Last, Options.m_Health, Now)) {
    bool Wanted = isOut(Current, Each.m_Task, Each.m_Run, From.instance()) &&
                  isWanted(Self, Current, Each.m_Task, Each.m_Run);
    if (!Wanted || isLasting(Current, Each.m_Task))
      continue;
    Self.m_Displaced[Each.m_Task] = Each.m_Run;
    Self.m_Health = std::move(Self.m_Health)
                        .withStalledRun(Last.m_Target, Options.m_Health, Now);
    Out.m_Stalled.push_back(std::move(Each));
  }
}

PollingStep handleReport(PollingState Before, const State &Current,
                         roster::Report Value, const PollingOptions &Options,
                         core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  roster::Roster &Roster = Out.m_Polling.m_Roster;
  if (!Roster.isNewer(Value))
    return Out;
  core::TargetId Id = Value.m_Target;
  Roster =
      std::move(Roster).withReport(std::move(Value), Options.m_Roster, Now);
  const roster::Member From = *Out.m_Polling.m_Roster.find(Id);
  noticeHealth(Out, Current, From, Options, Now);
  for (const roster::EndedTask &Each : From.m_LastReport.m_Ended)
    if (isOut(Current, Each.m_Task, Each.m_Run, From.instance()))
      proposeEnd(Out, Each.m_Task, Each.m_Run, roster::runEndOf(Each.m_Cause),
                 Each.m_Checkpoint);
  endWithdrawn(Out, Current, From, Options, Now);
  Out.m_Polling.m_PassNeeded = true;
  return Out;
}

PollingState handleLeave(PollingState Before, const core::TargetId &Id,
                         std::optional<std::uint64_t> Incarnation) {
  Before.m_Roster = std::move(Before.m_Roster).withDeparture(Id, Incarnation);
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
  std::erase_if(Before.m_Displaced, IsOver);
  std::erase_if(Before.m_EndProposed, IsOver);
  auto IsOrderOver = [&](const auto &Each) {
    return IsOver(std::pair(Each.first, Each.second.m_Run));
  };
  std::erase_if(Before.m_Starts, IsOrderOver);
  std::erase_if(Before.m_Withdrawals, IsOrderOver);
  return Before;
}

// ---- Losses ----------------------------------------------------------------

static std::string lastSaved(const PollingState &Self, const TaskKey &Key,
                             const workflow::Task &Value) {
  const roster::Member *Known = Self.m_Roster.find(Value.m_Instance.m_Target);
  if (!Known || Known->instance() != Value.m_Instance)
    return {};
  const roster::RunningTask *Seen =
      reportedRun(Known->m_LastReport, Key, Value.m_Run);
  return Seen ? Seen->m_Checkpoint : std::string();
}

// Ends the runs of targets that can't be running anything any more.
static void noticeLosses(PollingStep &Out, const State &Current,
                         const PollingOptions &Options, core::Time Now) {
  PollingState &Self = Out.m_Polling;
  if (Now - Self.m_LossAt < Options.m_LossEvery)
    return;
  Self.m_LossAt = Now;
  for (const auto &[Target, Tasks] : Current.m_Indexes.m_Assigned)
    for (const TaskKey &Key : Tasks) {
      const workflow::Task &Value = *findTask(Current, Key);
      if (Self.m_Roster.isExpired(Value.m_Instance, Options.m_Roster, Now))
        proposeEnd(Out, Key, Value.m_Run, workflow::RunOutcome::Interrupted,
                   lastSaved(Self, Key, Value));
    }
}

// ---- Passes ----------------------------------------------------------------

static void pass(PollingStep &Out, const State &Current,
                 const PollingOptions &Options, core::Time Now) {
  PollingState &Self = Out.m_Polling;
  Self.m_PassNeeded = false;
  Self.m_LastPassAt = Now;
  impl::PassView View = impl::viewOf(Self, Current, Options, Now);
  if (View.m_Demands.empty())
    return;
  assignment::PassResult Result = assignment::runPass(
      std::move(View.m_Rooms), std::move(View.m_Demands), Options.m_Pass, Now);
  for (assignment::Assignment &Each : Result.m_Assignments)
    Out.m_Commands.push_back(
        AssignTasks{.m_Workflow = std::move(Each.m_Workflow),
                    .m_Assign = std::move(Each.m_Assign)});
  for (const assignment::Preemption &Each : Result.m_Preemptions)
    Self.m_Displaced[Each.m_Task] = Each.m_Run;
  Out.m_Preemptions = std::move(Result.m_Preemptions);
}

PollingStep tick(PollingState Before, const State &Current,
                 const PollingOptions &Options, bool MayPass, core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  noticeLosses(Out, Current, Options, Now);
  core::Duration Since = Now - Out.m_Polling.m_LastPassAt;
  bool Due = Out.m_Polling.m_PassNeeded ? Since >= Options.m_MinPassInterval
                                        : Since >= Options.m_PassAgain;
  if (MayPass && Due)
    pass(Out, Current, Options, Now);
  return Out;
}

} // namespace fireflydrift::control
