#include "control/view.h"

#include <algorithm>

namespace fireflydrift::control::impl {

using workflow::TaskKey;

// ---- Runs ------------------------------------------------------------------

static core::Time expectedEnd(const workflow::StepSpec &Step,
                              const workflow::Task &Value) {
  return Value.m_AssignedAt + Step.m_RunTime;
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
    if (Each->spec().m_Policy.m_Priority == 0)
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

static assignment::TaskAllocation
occupantOf(const State &Current, const roster::Member &On, const TaskKey &Key,
           const WorkflowIds &Reserved, core::Time Now) {
  const workflow::Workflow &Of = *findWorkflow(Current, Key.m_Workflow);
  const workflow::StepSpec &Step = Of.spec().m_Steps[Key.m_Step];
  const workflow::Task &Value = *Of.find(Key.m_Step, Key.m_Index);
  // Saved progress is lost back to its newest point only.
  constexpr core::Duration SavedEvery{500};
  core::Duration Ran = Now - Value.m_AssignedAt;
  const roster::RunningTask *Seen =
      reportedRun(On.m_LastReport, Key, Value.m_Run);
  bool Saves = Step.m_Checkpoints && Seen && !Seen->m_Checkpoint.empty();
  return {.m_Task = Key,
          .m_Run = Value.m_Run,
          .m_Capacity = Step.m_PerTask,
          .m_Priority = Of.spec().m_Policy.m_Priority,
          .m_ExpectedEnd = expectedEnd(Step, Value),
          .m_UnsavedRunTime = Saves ? std::min(Ran, SavedEvery) : Ran,
          .m_Gang = Step.m_Gang,
          .m_Reserved = Reserved.contains(Key.m_Workflow),
          .m_Preemptible = !Step.m_LongRunning};
}

static void addLeaving(assignment::TargetInfo &Into, const TaskKey &Key,
                       const core::Capacity &Held) {
  Into.m_Free = Into.m_Free - Held;
  Into.m_Releasing = Into.m_Releasing + Held;
  Into.m_Stopping.push_back(Key);
}

// Runs that the target still reports though they are not assigned there any
// more: stopped ones, and members of gangs that are done.
static void addLeftovers(assignment::TargetInfo &Into, const State &Current,
                         const roster::Member &On) {
  for (const roster::RunningTask &Each : On.m_LastReport.m_Running) {
    if (isOut(Current, Each.m_Task, Each.m_Run, On.instance()))
      continue;
    const workflow::Workflow *Of =
        findWorkflow(Current, Each.m_Task.m_Workflow);
    if (Of && Each.m_Task.m_Step < Of->spec().m_Steps.size())
      addLeaving(Into, Each.m_Task,
                 Of->spec().m_Steps[Each.m_Task.m_Step].m_PerTask);
  }
}

static assignment::TargetInfo
roomOf(const PollingState &Self, const State &Current, const roster::Member &On,
       const WorkflowIds &Reserved, const roster::HealthOptions &Options,
       core::Time Now) {
  const roster::Report &Last = On.m_LastReport;
  assignment::TargetInfo Value{
      .m_Instance = On.instance(),
      .m_Pool = Last.m_Pool,
      .m_Rack = Last.m_Rack,
      .m_Labels = Last.m_Labels,
      .m_Total = Last.m_Capacity,
      .m_Free = Last.m_Capacity,
      .m_Suspect = Self.m_Health.isSuspect(Last.m_Target, Options, Now)};
  addLeftovers(Value, Current, On);
  for (const TaskKey &Key : assignedTo(Current, Last.m_Target)) {
    const workflow::Task &Task = *findTask(Current, Key);
    if (Task.m_Instance != On.instance())
      continue;
    assignment::TaskAllocation Each =
        occupantOf(Current, On, Key, Reserved, Now);
    if (!isWanted(Self, Current, Key, Task.m_Run)) {
      addLeaving(Value, Key, Each.m_Capacity);
      continue;
    }
    Value.m_Free = Value.m_Free - Each.m_Capacity;
    Value.m_Allocations.push_back(std::move(Each));
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
    for (std::uint32_t Earlier : Spec.m_Steps[I].m_Dependencies)
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
                       std::vector<assignment::PendingStep> &Into) {
  for (std::uint32_t I = 0; I < Value.fields().m_Steps.size(); ++I) {
    if (!Value.isReady(I))
      continue;
    assignment::PendingStep Wanted{.m_Workflow = &Value,
                                   .m_Step = I,
                                   .m_Reserved = Reserved.contains(Value.id()),
                                   .m_Waited =
                                       Now - Value.fields().m_AcceptedAt};
    const auto &Tasks = Value.fields().m_Steps[I].m_Tasks;
    for (std::uint32_t T = 0; T < Tasks.size(); ++T) {
      if (Tasks[T].m_Phase != workflow::TaskPhase::Waiting)
        continue;
      Wanted.m_Waiting.push_back(T);
      if (Tasks[T].m_Failures > 0)
        Wanted.m_FailedOn.insert(Tasks[T].m_Instance.m_Target);
    }
    if (Wanted.m_Waiting.empty())
      continue;
    Wanted.m_RunTime = Value.spec().m_Steps[I].m_RunTime;
    Wanted.m_Remaining = remaining(Value, Now);
    Into.push_back(std::move(Wanted));
  }
}

PassView viewOf(const PollingState &Self, const State &Current,
                const PollingOptions &Options, core::Time Now) {
  PassView Out;
  WorkflowIds Reserved = reservedWorkflows(Current);
  for (const core::RequestId &Id : Current.m_Indexes.m_ActiveWorkflows)
    addDemands(*findWorkflow(Current, Id), Reserved, Now, Out.m_Demands);
  if (Out.m_Demands.empty())
    return Out;
  for (const auto &[Id, Each] : Self.m_Roster.members())
    if (Self.m_Roster.isSchedulable(Each, Options.m_Roster, Now))
      Out.m_Rooms.push_back(
          roomOf(Self, Current, Each, Reserved, Options.m_Health, Now));
  return Out;
}

} // namespace fireflydrift::control::impl
