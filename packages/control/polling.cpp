#include "control/polling.h"

#include <algorithm>

namespace fireflydrift::control {

using workflow::TaskKey;

Polling beginPolling(core::Time Now) {
  return {.m_Roster = roster::Roster(Now), .m_PassAt = Now, .m_LossAt = Now};
}

// ---- Tasks -----------------------------------------------------------------

static const workflow::Task *findTask(const State &Current,
                                      const TaskKey &Key) {
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

// True when this very run is assigned to this life and has not ended.
static bool isOut(const State &Current, const TaskKey &Key, std::uint32_t Run,
                  const workflow::TargetLife &On) {
  const workflow::Task *Found = findTask(Current, Key);
  return Found && Found->m_Phase == workflow::TaskPhase::Assigned &&
         Found->m_Run == Run && Found->m_Where == On;
}

// True when the run, which is out, should go on.
static bool isWanted(const Polling &Self, const State &Current,
                     const TaskKey &Key, std::uint32_t Run) {
  auto Displaced = Self.m_Displaced.find(Key);
  if (Displaced != Self.m_Displaced.end() && Displaced->second == Run)
    return false;
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found && Found->isWanted(Key.m_Step, Key.m_Index);
}

static const std::set<TaskKey> &assignedTo(const State &Current,
                                           const core::TargetId &Id) {
  static const std::set<TaskKey> None;
  auto Found = Current.m_Indexes.m_Assigned.find(Id);
  return Found == Current.m_Indexes.m_Assigned.end() ? None : Found->second;
}

static bool isReported(const roster::Report &Value, const TaskKey &Key,
                       std::uint32_t Run) {
  auto Same = [&](const auto &Each) {
    return Each.m_Task == Key && Each.m_Run == Run;
  };
  return std::any_of(Value.m_Running.begin(), Value.m_Running.end(), Same) ||
         std::any_of(Value.m_Ended.begin(), Value.m_Ended.end(), Same);
}

static void proposeEnd(PollingStep &Out, const TaskKey &Key, std::uint32_t Run,
                       workflow::RunEnd How, const std::string &Saved) {
  std::uint32_t &Proposed = Out.m_Polling.m_EndProposed[Key];
  if (Proposed >= Run)
    return;
  Proposed = Run;
  Out.m_Commands.push_back(EndRun{.m_Workflow = Key.m_Workflow,
                                  .m_End = {.m_Step = Key.m_Step,
                                            .m_Index = Key.m_Index,
                                            .m_Run = Run,
                                            .m_How = How,
                                            .m_Saved = Saved}});
}

// ---- Reports ---------------------------------------------------------------

// True when the run is assigned to this life, and neither shown by the newest
// report nor wanted there any more.
static bool isWithdrawn(const Polling &Self, const State &Current,
                        const roster::Member &From, const TaskKey &Key,
                        const workflow::Task &Value) {
  bool Unseen = Value.m_Where == From.life() &&
                !isReported(From.m_Last, Key, Value.m_Run);
  bool Wanted =
      isWanted(Self, Current, Key, Value.m_Run) && !From.m_Last.m_Draining;
  return Unseen && !Wanted;
}

// Ends withdrawn runs that can't begin any more: a target refuses a run whose
// stop it has been ordered.
static void endWithdrawn(PollingStep &Out, const State &Current,
                         const roster::Member &From,
                         const PollingOptions &Options, core::Time Now) {
  for (const TaskKey &Key : assignedTo(Current, From.m_Last.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    auto Known = Out.m_Polling.m_Withdrawals.find(Key);
    bool Settled = Known != Out.m_Polling.m_Withdrawals.end() &&
                   Known->second.m_Run == Value.m_Run &&
                   Known->second.m_Answers >= Options.m_WithdrawAnswers &&
                   Now - Known->second.m_Since >= Options.m_WithdrawAfter;
    if (Settled && isWithdrawn(Out.m_Polling, Current, From, Key, Value))
      proposeEnd(Out, Key, Value.m_Run, workflow::RunEnd::Interrupted, {});
  }
}

// Remembers how runs ended, and gives up those that stand still: what they
// have saved is not lost, and elsewhere they get on.
static void noticeHealth(PollingStep &Out, const State &Current,
                         const roster::Member &From,
                         const PollingOptions &Options, core::Time Now) {
  Polling &Self = Out.m_Polling;
  const roster::Report &Last = From.m_Last;
  for (const roster::EndedTask &Each : Last.m_Ended)
    if (isOut(Current, Each.m_Task, Each.m_Run, From.life()) &&
        !Self.m_EndProposed.contains(Each.m_Task))
      Self.m_Health =
          std::move(Self.m_Health).ended(Last.m_Target, Each.m_Cause, Now);
  Self.m_Health = std::move(Self.m_Health).reported(Last, Now);
  for (roster::RunningTask &Each :
       Self.m_Health.stalled(Last, Options.m_Health, Now)) {
    const workflow::Workflow *Of =
        findWorkflow(Current, Each.m_Task.m_Workflow);
    bool Lasting = Of && Of->spec().m_Steps[Each.m_Task.m_Step].m_Lasting;
    bool Wanted = isOut(Current, Each.m_Task, Each.m_Run, From.life()) &&
                  isWanted(Self, Current, Each.m_Task, Each.m_Run);
    if (!Wanted || Lasting)
      continue;
    Self.m_Displaced[Each.m_Task] = Each.m_Run;
    // A target where runs stand still is no better than one where they fail.
    for (std::uint32_t I = 0; I < Options.m_Health.m_SuspectAfter; ++I)
      Self.m_Health = std::move(Self.m_Health)
                          .ended(Last.m_Target, roster::EndCause::Failed, Now);
    Out.m_Stalled.push_back(std::move(Each));
  }
}

PollingStep polled(Polling Before, const State &Current, roster::Report Value,
                   const PollingOptions &Options, core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  roster::Roster &Roster = Out.m_Polling.m_Roster;
  if (!Roster.isFresh(Value))
    return Out;
  core::TargetId Id = Value.m_Target;
  Roster = std::move(Roster).heard(std::move(Value), Options.m_Roster, Now);
  const roster::Member From = *Out.m_Polling.m_Roster.find(Id);
  noticeHealth(Out, Current, From, Options, Now);
  for (const roster::EndedTask &Each : From.m_Last.m_Ended)
    if (isOut(Current, Each.m_Task, Each.m_Run, From.life()))
      proposeEnd(Out, Each.m_Task, Each.m_Run, roster::runEndOf(Each.m_Cause),
                 Each.m_Saved);
  endWithdrawn(Out, Current, From, Options, Now);
  Out.m_Polling.m_PassNeeded = true;
  return Out;
}

Polling leaves(Polling Before, const core::TargetId &Id,
               std::optional<std::uint64_t> Incarnation) {
  Before.m_Roster = std::move(Before.m_Roster).left(Id, Incarnation);
  return Before;
}

Polling afterApplied(Polling Before, const State &Current,
                     const Applied &Result) {
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

// ---- Answers ---------------------------------------------------------------

// The highest number through which no end is still to be made durable.
static std::uint64_t settledThrough(const State &Current,
                                    const roster::Member &To) {
  std::uint64_t Through = 0;
  for (const roster::EndedTask &Each : To.m_Last.m_Ended) {
    if (isOut(Current, Each.m_Task, Each.m_Run, To.life()))
      break;
    Through = Each.m_Number;
  }
  return Through;
}

static void addStarts(const Polling &Self, const State &Current,
                      const roster::Member &To, roster::Orders &Into) {
  if (To.m_Last.m_Draining)
    return;
  for (const TaskKey &Key : assignedTo(Current, To.m_Last.m_Target)) {
    const workflow::Workflow &Of = *findWorkflow(Current, Key.m_Workflow);
    const workflow::Task &Value = *Of.find(Key.m_Step, Key.m_Index);
    bool Due = Value.m_Where == To.life() &&
               !isReported(To.m_Last, Key, Value.m_Run) &&
               isWanted(Self, Current, Key, Value.m_Run);
    if (Due)
      Into.m_Starts.push_back({.m_Task = Key,
                               .m_Run = Value.m_Run,
                               .m_Body = Of.spec().m_Body,
                               .m_Saved = Value.m_Saved});
  }
}

static void addStops(const Polling &Self, const State &Current,
                     const roster::Member &To, roster::Orders &Into) {
  for (const roster::RunningTask &Each : To.m_Last.m_Running)
    if (!isOut(Current, Each.m_Task, Each.m_Run, To.life()) ||
        !isWanted(Self, Current, Each.m_Task, Each.m_Run))
      Into.m_Stops.push_back({.m_Task = Each.m_Task, .m_Run = Each.m_Run});
  for (const TaskKey &Key : assignedTo(Current, To.m_Last.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    if (isWithdrawn(Self, Current, To, Key, Value))
      Into.m_Stops.push_back({.m_Task = Key, .m_Run = Value.m_Run});
  }
}

// True when the run is assigned to this life and its newest report does not
// show it.
static bool isUnseen(const State &Current, const roster::Member &On,
                     const TaskKey &Key, std::uint32_t Run) {
  return isOut(Current, Key, Run, On.life()) &&
         !isReported(On.m_Last, Key, Run);
}

static Unseen countOrder(Unseen &Known, std::uint32_t Run, core::Time Now) {
  if (Known.m_Run != Run)
    Known = {.m_Run = Run, .m_Since = Now};
  ++Known.m_Answers;
  return Known;
}

Polling answered(Polling Before, const State &Current, const core::TargetId &Id,
                 const roster::Orders &Orders, const PollingOptions &Options,
                 core::Time ReportedAt, core::Time Now) {
  Before.m_Roster =
      std::move(Before.m_Roster).extended(Id, Options.m_Roster, ReportedAt);
  const roster::Member *To = Before.m_Roster.find(Id);
  if (!To)
    return Before;
  for (const roster::StopOrder &Each : Orders.m_Stops)
    if (isUnseen(Current, *To, Each.m_Task, Each.m_Run))
      (void)countOrder(Before.m_Withdrawals[Each.m_Task], Each.m_Run, Now);
  for (const roster::StartOrder &Each : Orders.m_Starts) {
    Unseen Known = countOrder(Before.m_Starts[Each.m_Task], Each.m_Run, Now);
    // The target swallows the order; the run goes elsewhere.
    if (Known.m_Answers >= Options.m_StartAnswers &&
        Now - Known.m_Since >= Options.m_StartWithin)
      Before.m_Displaced[Each.m_Task] = Each.m_Run;
  }
  return Before;
}

OrdersNow ordersFor(const Polling &Current, const State &State,
                    const roster::Member &To, const PollingOptions &Options,
                    std::uint64_t Fence) {
  OrdersNow Out;
  roster::Orders &Orders = Out.m_Orders;
  Orders.m_Fence = Fence;
  Orders.m_Lease = Options.m_Roster.m_Lease;
  Orders.m_AcknowledgedThrough = settledThrough(State, To);
  addStarts(Current, State, To, Orders);
  addStops(Current, State, To, Orders);
  const roster::Report &Last = To.m_Last;
  bool Unsettled = !Last.m_Ended.empty() &&
                   Last.m_Ended.back().m_Number > Orders.m_AcknowledgedThrough;
  Out.m_IsUrgent = !Orders.m_Starts.empty() || !Orders.m_Stops.empty() ||
                   (!Last.m_Ended.empty() && !Unsettled);
  bool Idle = Last.m_Running.empty() && !Last.m_Draining;
  // A target whose tasks may end soon can't tell while its report waits.
  Out.m_MayWait = Unsettled ? Options.m_HoldEnds
                  : Idle    ? Options.m_HoldIdle
                            : core::Duration(0);
  Orders.m_ReportAfter = Idle ? core::Duration(1) : Options.m_ReportAgain;
  return Out;
}

// ---- Losses ----------------------------------------------------------------

static std::string lastSaved(const Polling &Self, const TaskKey &Key,
                             const workflow::Task &Value) {
  const roster::Member *Known = Self.m_Roster.find(Value.m_Where.m_Target);
  if (!Known || Known->life() != Value.m_Where)
    return {};
  for (const roster::RunningTask &Each : Known->m_Last.m_Running)
    if (Each.m_Task == Key && Each.m_Run == Value.m_Run)
      return Each.m_Saved;
  return {};
}

// Ends the runs of targets that can't be running anything any more.
static void noticeLosses(PollingStep &Out, const State &Current,
                         const PollingOptions &Options, core::Time Now) {
  Polling &Self = Out.m_Polling;
  if (Now - Self.m_LossAt < Options.m_LossEvery)
    return;
  Self.m_LossAt = Now;
  for (const auto &[Target, Tasks] : Current.m_Indexes.m_Assigned)
    for (const TaskKey &Key : Tasks) {
      const workflow::Task &Value = *findTask(Current, Key);
      if (Self.m_Roster.isOver(Value.m_Where, Options.m_Roster, Now))
        proposeEnd(Out, Key, Value.m_Run, workflow::RunEnd::Interrupted,
                   lastSaved(Self, Key, Value));
    }
}

// ---- Passes ----------------------------------------------------------------

static core::Time expectedEnd(const workflow::StepSpec &Step,
                              const workflow::Task &Value) {
  return Value.m_AssignedAt + Step.m_RunTime;
}

// The progress of a run that its target reported last.
static const roster::RunningTask *
reportedRun(const roster::Member &From, const TaskKey &Key, std::uint32_t Run) {
  for (const roster::RunningTask &Each : From.m_Last.m_Running)
    if (Each.m_Task == Key && Each.m_Run == Run)
      return &Each;
  return nullptr;
}

// ---- Reserves --------------------------------------------------------------

// Accelerators that the workflow needs at once, at most.
static std::int64_t acceleratorsOf(const workflow::WorkflowSpec &Spec) {
  std::int64_t Most = 0;
  for (const workflow::StepSpec &Each : Spec.m_Steps)
    Most = std::max(Most, Each.m_PerTask.m_Accelerators * Each.m_Tasks);
  return Most;
}

using WorkflowIds = std::set<core::RequestId>;

// Urgent workflows within what their workspaces have reserved: the oldest ones
// that fit the reserve together.
static WorkflowIds reservedWorkflows(const State &Current) {
  std::vector<const workflow::Workflow *> Urgent;
  for (const core::RequestId &Id : Current.m_Indexes.m_ActiveWorkflows) {
    const workflow::Workflow *Each = findWorkflow(Current, Id);
    if (Each->spec().m_Terms.m_Priority == 0)
      Urgent.push_back(Each);
  }
  std::sort(Urgent.begin(), Urgent.end(), [](const auto *A, const auto *B) {
    return std::pair(A->fields().m_AcceptedAt, A->id()) <
           std::pair(B->fields().m_AcceptedAt, B->id());
  });
  std::map<core::WorkspaceId, std::int64_t> Used;
  WorkflowIds Within;
  for (const workflow::Workflow *Each : Urgent) {
    const core::WorkspaceId &Owner = Each->spec().m_Workspace;
    const workspace::Workspace *Found =
        Current.m_Tables.m_Configuration.find(Owner);
    std::int64_t Needed = acceleratorsOf(Each->spec());
    if (!Found || Used[Owner] + Needed > Found->spec().m_ReservedAccelerators)
      continue;
    Used[Owner] += Needed;
    Within.insert(Each->id());
  }
  return Within;
}

// ---- Rooms and demands -----------------------------------------------------

static assignment::Occupant
occupantOf(const State &Current, const roster::Member &On, const TaskKey &Key,
           const WorkflowIds &Reserved, core::Time Now) {
  const workflow::Workflow &Of = *findWorkflow(Current, Key.m_Workflow);
  const workflow::StepSpec &Step = Of.spec().m_Steps[Key.m_Step];
  const workflow::Task &Value = *Of.find(Key.m_Step, Key.m_Index);
  // Saved progress is lost back to its newest point only.
  constexpr core::Duration SavedEvery{500};
  core::Duration Ran = Now - Value.m_AssignedAt;
  const roster::RunningTask *Seen = reportedRun(On, Key, Value.m_Run);
  bool Saves = Step.m_Checkpoints && Seen && !Seen->m_Saved.empty();
  return {.m_Task = Key,
          .m_Run = Value.m_Run,
          .m_Capacity = Step.m_PerTask,
          .m_Priority = Of.spec().m_Terms.m_Priority,
          .m_ExpectedEnd = expectedEnd(Step, Value),
          .m_Unsaved = Saves ? std::min(Ran, SavedEvery) : Ran,
          .m_Gang = Step.m_Gang,
          .m_Reserved = Reserved.contains(Key.m_Workflow),
          .m_Displaceable = !Step.m_Lasting};
}

// Capacity of runs that the target still reports though they are not assigned
// there any more: stopped ones, and members of gangs that are done.
static core::Capacity leftovers(const State &Current,
                                const roster::Member &On) {
  core::Capacity Sum;
  for (const roster::RunningTask &Each : On.m_Last.m_Running) {
    if (isOut(Current, Each.m_Task, Each.m_Run, On.life()))
      continue;
    const workflow::Workflow *Of =
        findWorkflow(Current, Each.m_Task.m_Workflow);
    if (Of && Each.m_Task.m_Step < Of->spec().m_Steps.size())
      Sum = Sum + Of->spec().m_Steps[Each.m_Task.m_Step].m_PerTask;
  }
  return Sum;
}

static assignment::Room roomOf(const Polling &Self, const State &Current,
                               const roster::Member &On,
                               const WorkflowIds &Reserved,
                               const roster::HealthOptions &Options,
                               core::Time Now) {
  const roster::Report &Last = On.m_Last;
  core::Capacity Leftover = leftovers(Current, On);
  assignment::Room Value{
      .m_Life = On.life(),
      .m_Pool = Last.m_Pool,
      .m_Rack = Last.m_Rack,
      .m_Labels = Last.m_Labels,
      .m_Total = Last.m_Capacity,
      .m_Free = Last.m_Capacity - Leftover,
      .m_Coming = Leftover,
      .m_Suspect = Self.m_Health.isSuspect(Last.m_Target, Options, Now)};
  for (const TaskKey &Key : assignedTo(Current, Last.m_Target)) {
    const workflow::Task &Task = *findTask(Current, Key);
    if (Task.m_Where != On.life())
      continue;
    assignment::Occupant Each = occupantOf(Current, On, Key, Reserved, Now);
    Value.m_Free = Value.m_Free - Each.m_Capacity;
    if (isWanted(Self, Current, Key, Task.m_Run))
      Value.m_Occupants.push_back(std::move(Each));
    else
      Value.m_Coming = Value.m_Coming + Each.m_Capacity;
  }
  return Value;
}

// Time from now to the end of the workflow if the rest ran without waiting.
static core::Duration remaining(const workflow::Workflow &Value,
                                core::Time Now) {
  std::vector<core::Duration> Ends;
  core::Duration Longest{0};
  const workflow::WorkflowSpec &Spec = Value.spec();
  for (std::size_t I = 0; I < Spec.m_Steps.size(); ++I) {
    core::Duration Start{0};
    for (std::uint32_t Earlier : Spec.m_Steps[I].m_After)
      Start = std::max(Start, Ends[Earlier]);
    core::Duration Left{0};
    for (const workflow::Task &Each : Value.fields().m_Steps[I].m_Tasks) {
      if (Each.m_Phase == workflow::TaskPhase::Waiting)
        Left = std::max(Left, Spec.m_Steps[I].m_RunTime);
      else if (Each.m_Phase == workflow::TaskPhase::Assigned)
        Left = std::max(Left, expectedEnd(Spec.m_Steps[I], Each) - Now);
    }
    Ends.push_back(Start + Left);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

static void addDemands(const workflow::Workflow &Value,
                       const WorkflowIds &Reserved, core::Time Now,
                       std::vector<assignment::Demand> &Into) {
  for (std::uint32_t I = 0; I < Value.fields().m_Steps.size(); ++I) {
    if (!Value.isReady(I))
      continue;
    assignment::Demand Wanted{.m_Workflow = &Value,
                              .m_Step = I,
                              .m_Reserved = Reserved.contains(Value.id()),
                              .m_Waited = Now - Value.fields().m_AcceptedAt};
    const auto &Tasks = Value.fields().m_Steps[I].m_Tasks;
    for (std::uint32_t T = 0; T < Tasks.size(); ++T) {
      if (Tasks[T].m_Phase != workflow::TaskPhase::Waiting)
        continue;
      Wanted.m_Waiting.push_back(T);
      if (Tasks[T].m_Failures > 0)
        Wanted.m_FailedOn.insert(Tasks[T].m_Where.m_Target);
    }
    if (Wanted.m_Waiting.empty())
      continue;
    Wanted.m_RunTime = Value.spec().m_Steps[I].m_RunTime;
    Wanted.m_Remaining = remaining(Value, Now);
    Into.push_back(std::move(Wanted));
  }
}

static void pass(PollingStep &Out, const State &Current,
                 const PollingOptions &Options, core::Time Now) {
  Polling &Self = Out.m_Polling;
  Self.m_PassNeeded = false;
  Self.m_PassAt = Now;
  WorkflowIds Reserved = reservedWorkflows(Current);
  std::vector<assignment::Demand> Demands;
  for (const core::RequestId &Id : Current.m_Indexes.m_ActiveWorkflows)
    addDemands(*findWorkflow(Current, Id), Reserved, Now, Demands);
  if (Demands.empty())
    return;
  std::vector<assignment::Room> Rooms;
  for (const auto &[Id, Each] : Self.m_Roster.members())
    if (Self.m_Roster.isOpen(Each, Options.m_Roster, Now))
      Rooms.push_back(
          roomOf(Self, Current, Each, Reserved, Options.m_Health, Now));
  assignment::PassResult Result = assignment::runPass(
      std::move(Rooms), std::move(Demands), Options.m_Pass, Now);
  for (assignment::Assignment &Each : Result.m_Assignments)
    Out.m_Commands.push_back(
        AssignTasks{.m_Workflow = std::move(Each.m_Workflow),
                    .m_Assign = std::move(Each.m_Assign)});
  for (const assignment::Displacement &Each : Result.m_Displacements)
    Self.m_Displaced[Each.m_Task] = Each.m_Run;
  Out.m_Displacements = std::move(Result.m_Displacements);
}

PollingStep lead(Polling Before, const State &Current,
                 const PollingOptions &Options, bool MayPass, core::Time Now) {
  PollingStep Out{.m_Polling = std::move(Before)};
  noticeLosses(Out, Current, Options, Now);
  core::Duration Since = Now - Out.m_Polling.m_PassAt;
  bool Due = Out.m_Polling.m_PassNeeded ? Since >= Options.m_PassEvery
                                        : Since >= Options.m_PassAgain;
  if (MayPass && Due)
    pass(Out, Current, Options, Now);
  return Out;
}

} // namespace fireflydrift::control
