#include "control/view.h"

#include "assignment/delay_cost.h"

#include <algorithm>

namespace fireflydrift::control::impl {

using workflow::TaskKey;

// ---- Runs ------------------------------------------------------------------

static core::Time expectedEnd(const workflow::StepSpec &Step,
                              const workflow::Task &Value) {
  return Value.m_AssignedAt + Step.m_RunTime;
}

// ---- Reserved accelerators --------------------------------------------------

// The most accelerators that any one step of the workflow uses.
static std::int64_t maxAccelerators(const workflow::WorkflowSpec &Spec) {
  std::int64_t Max = 0;
  for (const workflow::StepSpec &Each : Spec.m_Steps)
    Max = std::max(Max, Each.m_PerTask.m_Accelerators * Each.m_Tasks);
  return Max;
}

using WorkflowIds = std::set<core::RequestId>;

// Urgent workflows (priority 0) that are covered by their workspace's reserved
// accelerators. They are taken oldest first; one whose need exceeds what the
// earlier ones leave is skipped.
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
  WorkflowIds Covered;
  for (const workflow::Workflow *Each : Urgent) {
    const core::WorkspaceId &Owner = Each->spec().m_Workspace;
    const workspace::Workspace *Found =
        Current.m_Tables.m_Configuration.find(Owner);
    std::int64_t Needed = maxAccelerators(Each->spec());
    if (!Found || Used[Owner] + Needed > Found->spec().m_ReservedAccelerators)
      continue;
    Used[Owner] += Needed;
    Covered.insert(Each->id());
  }
  return Covered;
}

// ---- Targets and pending steps ----------------------------------------------

static assignment::TaskAllocation
allocationOf(const State &Current, const roster::Member &Target,
             const TaskKey &Key, const WorkflowIds &Reserved,
             const PollingOptions &Options, core::Time Now) {
  const workflow::Workflow &Workflow = *findWorkflow(Current, Key.m_Workflow);
  const workflow::StepSpec &Step = Workflow.spec().m_Steps[Key.m_Step];
  const workflow::Task &Value = *Workflow.find(Key.m_Step, Key.m_Index);
  core::Duration Ran = Now - Value.m_AssignedAt;
  const roster::RunningTask *Seen =
      reportedRun(Target.m_LastReport, Key, Value.m_Run);
  bool Saves = Step.m_Checkpoints && Seen && !Seen->m_Checkpoint.empty();
  return {.m_Task = Key,
          .m_Run = Value.m_Run,
          .m_Capacity = Step.m_PerTask,
          .m_Priority = Workflow.spec().m_Policy.m_Priority,
          .m_ExpectedEnd = expectedEnd(Step, Value),
          // A run that saves checkpoints loses only the work since its newest
          // one.
          .m_UnsavedRunTime =
              Saves ? std::min(Ran, Options.m_CheckpointInterval) : Ran,
          .m_Gang = Step.m_Gang,
          .m_Reserved = Reserved.contains(Key.m_Workflow),
          .m_Preemptible = !Step.m_LongRunning};
}

static void addStoppingRun(assignment::TargetInfo &Info, const TaskKey &Key,
                           const core::Capacity &Held) {
  Info.m_Free = Info.m_Free - Held;
  Info.m_Releasing = Info.m_Releasing + Held;
  Info.m_Stopping.push_back(Key);
}

// Adds, as stopping, the runs that the target still reports although they are
// no longer assigned to it: stopped runs, and members of gangs that are done.
static void addUnassignedRuns(assignment::TargetInfo &Info,
                              const State &Current,
                              const roster::Member &Target) {
  for (const roster::RunningTask &Each : Target.m_LastReport.m_Running) {
    if (isAssignedRun(Current, Each.m_Task, Each.m_Run, Target.instance()))
      continue;
    const workflow::Workflow *Workflow =
        findWorkflow(Current, Each.m_Task.m_Workflow);
    if (Workflow && Each.m_Task.m_Step < Workflow->spec().m_Steps.size())
      addStoppingRun(Info, Each.m_Task,
                     Workflow->spec().m_Steps[Each.m_Task.m_Step].m_PerTask);
  }
}

static assignment::TargetInfo
targetInfoOf(const PollingState &Polling, const State &Current,
             const roster::Member &Target, const WorkflowIds &Reserved,
             const PollingOptions &Options, core::Time Now) {
  const roster::Report &Last = Target.m_LastReport;
  assignment::TargetInfo Value{.m_Instance = Target.instance(),
                               .m_Pool = Last.m_Pool,
                               .m_Rack = Last.m_Rack,
                               .m_Labels = Last.m_Labels,
                               .m_Total = Last.m_Capacity,
                               .m_Free = Last.m_Capacity,
                               .m_Suspect = Polling.m_Health.isSuspect(
                                   Last.m_Target, Options.m_Health, Now)};
  addUnassignedRuns(Value, Current, Target);
  for (const TaskKey &Key : assignedTo(Current, Last.m_Target)) {
    const workflow::Task &Task = *findTask(Current, Key);
    if (Task.m_Instance != Target.instance())
      continue;
    assignment::TaskAllocation Each =
        allocationOf(Current, Target, Key, Reserved, Options, Now);
    if (!shouldRun(Polling, Current, Key, Task.m_Run)) {
      addStoppingRun(Value, Key, Each.m_Capacity);
      continue;
    }
    Value.m_Free = Value.m_Free - Each.m_Capacity;
    Value.m_Allocations.push_back(std::move(Each));
  }
  return Value;
}

// Time from now until the workflow ends if its remaining tasks never wait.
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

// Sets the work of the workflow, in accelerator-milliseconds.
static void setWork(assignment::PendingStep &Pending,
                    const workflow::Workflow &Value, core::Time Now) {
  for (std::size_t I = 0; I < Value.spec().m_Steps.size(); ++I) {
    const workflow::StepSpec &Step = Value.spec().m_Steps[I];
    std::int64_t Accelerators =
        std::max<std::int64_t>(Step.m_PerTask.m_Accelerators, 1);
    for (const workflow::Task &Each : Value.fields().m_Steps[I].m_Tasks) {
      core::Duration Left{0};
      if (Each.m_Phase == workflow::TaskPhase::Waiting)
        Left = Step.m_RunTime;
      else if (Each.m_Phase == workflow::TaskPhase::Assigned)
        Left = std::max(expectedEnd(Step, Each) - Now, core::Duration(0));
      Pending.m_TotalWork += Step.m_RunTime.count() * Accelerators;
      Pending.m_RemainingWork += Left.count() * Accelerators;
    }
  }
}

static void addPendingSteps(const workflow::Workflow &Value,
                            const WorkflowIds &Reserved, core::Time Now,
                            std::vector<assignment::PendingStep> &Steps) {
  for (std::uint32_t I = 0; I < Value.fields().m_Steps.size(); ++I) {
    if (!Value.isReady(I))
      continue;
    assignment::PendingStep Pending{.m_Workflow = &Value,
                                    .m_Step = I,
                                    .m_Reserved = Reserved.contains(Value.id()),
                                    .m_Waited =
                                        Now - Value.fields().m_AcceptedAt};
    const auto &Tasks = Value.fields().m_Steps[I].m_Tasks;
    for (std::uint32_t T = 0; T < Tasks.size(); ++T) {
      if (Tasks[T].m_Phase != workflow::TaskPhase::Waiting)
        continue;
      Pending.m_Waiting.push_back(T);
      if (Tasks[T].m_Failures > 0)
        Pending.m_FailedTargets.insert(Tasks[T].m_Instance.m_Target);
    }
    if (Pending.m_Waiting.empty())
      continue;
    Pending.m_RunTime = Value.spec().m_Steps[I].m_RunTime;
    Pending.m_Remaining = remaining(Value, Now);
    setWork(Pending, Value, Now);
    Steps.push_back(std::move(Pending));
  }
}

// Lower bound of the weight, so that among runs whose results are worthless the
// one that loses less work is preempted.
static constexpr double MinValue = 0.05;

// Weights each allocation by the value that its workflow's result will have if
// nothing of it is preempted.
static void weightAllocations(const State &Current, core::Time Now,
                              std::vector<assignment::TargetInfo> &Targets) {
  std::map<core::RequestId, double> Values;
  for (assignment::TargetInfo &Target : Targets)
    for (assignment::TaskAllocation &Each : Target.m_Allocations) {
      auto [Known, Added] = Values.try_emplace(Each.m_Task.m_Workflow, 0);
      if (Added) {
        const auto &Owner = *findWorkflow(Current, Each.m_Task.m_Workflow);
        Known->second = std::max(
            assignment::resultValue(Owner, Now + remaining(Owner, Now)),
            MinValue);
      }
      Each.m_ResultValue = Known->second;
    }
}

PassInput makePassInput(const PollingState &Polling, const State &Current,
                        const PollingOptions &Options, core::Time Now) {
  PassInput Out;
  WorkflowIds Reserved = reservedWorkflows(Current);
  for (const core::RequestId &Id : Current.m_Indexes.m_ActiveWorkflows)
    addPendingSteps(*findWorkflow(Current, Id), Reserved, Now,
                    Out.m_PendingSteps);
  if (Out.m_PendingSteps.empty())
    return Out;
  for (const auto &[Id, Each] : Polling.m_Roster.members())
    if (Polling.m_Roster.isSchedulable(Each, Options.m_Roster, Now) &&
        !acceptsNoRuns(Current, Each))
      Out.m_Targets.push_back(
          targetInfoOf(Polling, Current, Each, Reserved, Options, Now));
  if (Options.m_Pass.m_WeightLossByValue)
    weightAllocations(Current, Now, Out.m_Targets);
  return Out;
}

} // namespace fireflydrift::control::impl
