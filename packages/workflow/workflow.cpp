#include "workflow/workflow.h"

#include <algorithm>

namespace fireflydrift::workflow {

std::string toString(const TaskKey &Key) {
  return Key.m_Workflow.text() + "/" + std::to_string(Key.m_Step) + "/" +
         std::to_string(Key.m_Index);
}

// ---- Construction and accessors --------------------------------------------

core::Outcome<Workflow> Workflow::create(WorkflowSpec Spec, core::Time Now) {
  core::Reason Reason = check(Spec);
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  WorkflowFields Fields{.m_AcceptedAt = Now};
  for (const StepSpec &Each : Spec.m_Steps)
    Fields.m_Steps.push_back({.m_Tasks = std::vector<Task>(Each.m_Tasks)});
  Fields.m_Spec = std::move(Spec);
  return Workflow(std::move(Fields));
}

Workflow Workflow::restore(WorkflowFields Fields) {
  return Workflow(std::move(Fields));
}

const Task *Workflow::find(std::uint32_t Step,
                           std::uint32_t Index) const noexcept {
  if (Step >= m_Fields.m_Steps.size())
    return nullptr;
  const std::vector<Task> &Tasks = m_Fields.m_Steps[Step].m_Tasks;
  return Index < Tasks.size() ? &Tasks[Index] : nullptr;
}

static bool isDone(const Step &Value) {
  return std::all_of(
      Value.m_Tasks.begin(), Value.m_Tasks.end(),
      [](const Task &Each) { return Each.m_Phase == TaskPhase::Done; });
}

static bool anyAssigned(const Step &Value) {
  return std::any_of(
      Value.m_Tasks.begin(), Value.m_Tasks.end(),
      [](const Task &Each) { return Each.m_Phase == TaskPhase::Assigned; });
}

bool Workflow::isReady(std::uint32_t Step) const noexcept {
  if (m_Fields.m_Phase != Phase::Active || Step >= m_Fields.m_Steps.size())
    return false;
  const StepSpec &Spec = m_Fields.m_Spec.m_Steps[Step];
  bool DependenciesDone = std::all_of(
      Spec.m_Dependencies.begin(), Spec.m_Dependencies.end(),
      [&](std::uint32_t Each) { return isDone(m_Fields.m_Steps[Each]); });
  return DependenciesDone &&
         !(Spec.m_Gang && anyAssigned(m_Fields.m_Steps[Step]));
}

bool Workflow::shouldRun(std::uint32_t Step,
                         std::uint32_t Index) const noexcept {
  const Task *Found = find(Step, Index);
  if (!Found || Found->m_Phase != TaskPhase::Assigned ||
      m_Fields.m_Phase != Phase::Active)
    return false;
  if (!m_Fields.m_Spec.m_Steps[Step].m_Gang)
    return true;
  const std::vector<Task> &Members = m_Fields.m_Steps[Step].m_Tasks;
  return std::all_of(Members.begin(), Members.end(), [&](const Task &Each) {
    return Each.m_Phase == TaskPhase::Assigned && Each.m_Run == Found->m_Run;
  });
}

std::uint32_t Workflow::nextRun(std::uint32_t Step,
                                std::uint32_t Index) const noexcept {
  const Task *Found = find(Step, Index);
  if (!Found)
    return 1;
  if (!m_Fields.m_Spec.m_Steps[Step].m_Gang)
    return Found->m_Run + 1;
  std::uint32_t Highest = 0;
  for (const Task &Each : m_Fields.m_Steps[Step].m_Tasks)
    Highest = std::max(Highest, Each.m_Run);
  return Highest + 1;
}

// ---- Input validation ------------------------------------------------------

static core::Reason illegalTransition(const char *Field, const char *Message) {
  return {core::ReasonCode::IllegalTransition, Field, Message};
}

static core::Reason validate(const Workflow &Current, const Assign &Value) {
  if (!Current.isReady(Value.m_Step))
    return illegalTransition("step", "is not ready to be assigned");
  const StepSpec &Spec = Current.spec().m_Steps[Value.m_Step];
  if (Spec.m_Gang && Value.m_Placements.size() != Spec.m_Tasks)
    return illegalTransition("places", "must cover all tasks of the gang");
  for (const Assign::TaskPlacement &Each : Value.m_Placements) {
    const Task *Found = Current.find(Value.m_Step, Each.m_Index);
    if (!Found || Found->m_Phase != TaskPhase::Waiting)
      return illegalTransition("places", "the task is not waiting");
    if (Value.m_Run <= Found->m_Run)
      return illegalTransition("run", "must be higher than every earlier run");
  }
  return {};
}

static core::Reason validate(const Workflow &Current, const RunEnded &Value) {
  if (!Current.find(Value.m_Step, Value.m_Index))
    return illegalTransition("task", "does not exist");
  return {};
}

static core::Reason validate(const Workflow &, const Cancel &) { return {}; }

core::Reason validateInput(const Workflow &Current, const Input &Value) {
  return std::visit([&](const auto &Typed) { return validate(Current, Typed); },
                    Value);
}

// ---- State transitions -----------------------------------------------------

static void finish(WorkflowFields &Fields, Phase NewPhase, core::Time Now) {
  Fields.m_Phase = NewPhase;
  Fields.m_FinishedAt = Now;
}

static void apply(WorkflowFields &Fields, const Assign &Value, core::Time Now) {
  Fields.m_Started = true;
  for (const Assign::TaskPlacement &Each : Value.m_Placements) {
    Task &Placed = Fields.m_Steps[Value.m_Step].m_Tasks[Each.m_Index];
    Placed.m_Phase = TaskPhase::Assigned;
    Placed.m_Run = Value.m_Run;
    Placed.m_Instance = Each.m_Instance;
    Placed.m_AssignedAt = Now;
  }
}

// Keeps the newest checkpoint. Progress only grows, and targets name
// checkpoints in ascending order of progress. The members of a gang report the
// same progress at different times, so the greater value is the newer one. A
// value of another length also counts as newer.
static void saveCheckpoint(Step &State, const StepSpec &Spec,
                           std::uint32_t Index, const std::string &Checkpoint) {
  auto KeepNewest = [&](Task &Each) {
    bool Newer = Checkpoint.size() != Each.m_Checkpoint.size() ||
                 Checkpoint > Each.m_Checkpoint;
    if (Newer)
      Each.m_Checkpoint = Checkpoint;
  };
  if (!Spec.m_Checkpoints || Checkpoint.empty())
    return;
  if (!Spec.m_Gang)
    return KeepNewest(State.m_Tasks[Index]);
  for (Task &Each : State.m_Tasks)
    KeepNewest(Each);
}

static void succeed(WorkflowFields &Fields, const RunEnded &Value,
                    core::Time Now) {
  Step &State = Fields.m_Steps[Value.m_Step];
  // The successful end of one member completes the whole gang.
  if (Fields.m_Spec.m_Steps[Value.m_Step].m_Gang)
    for (Task &Each : State.m_Tasks)
      Each.m_Phase = TaskPhase::Done;
  else
    State.m_Tasks[Value.m_Index].m_Phase = TaskPhase::Done;
  bool All = std::all_of(Fields.m_Steps.begin(), Fields.m_Steps.end(), isDone);
  if (All && Fields.m_Phase == Phase::Active)
    finish(Fields, Phase::Completed, Now);
}

static void countFailure(WorkflowFields &Fields, const RunEnded &Value,
                         core::Time Now) {
  Step &State = Fields.m_Steps[Value.m_Step];
  const StepSpec &Spec = Fields.m_Spec.m_Steps[Value.m_Step];
  if (Spec.m_LongRunning)
    return;
  std::uint32_t Failures = 0;
  if (Spec.m_Gang) {
    if (State.m_LastFailedRun < Value.m_Run)
      ++State.m_GangFailures;
    State.m_LastFailedRun = std::max(State.m_LastFailedRun, Value.m_Run);
    Failures = State.m_GangFailures;
  } else {
    Failures = ++State.m_Tasks[Value.m_Index].m_Failures;
  }
  if (Failures >= Fields.m_Spec.m_Policy.m_MaxAttempts &&
      Fields.m_Phase == Phase::Active)
    finish(Fields, Phase::Failed, Now);
}

static void apply(WorkflowFields &Fields, const RunEnded &Value,
                  core::Time Now) {
  Step &State = Fields.m_Steps[Value.m_Step];
  Task &Ended = State.m_Tasks[Value.m_Index];
  // Ends of earlier runs and repeated ends are ignored.
  if (Ended.m_Phase != TaskPhase::Assigned || Ended.m_Run != Value.m_Run)
    return;
  const StepSpec &Spec = Fields.m_Spec.m_Steps[Value.m_Step];
  Ended.m_Phase = TaskPhase::Waiting;
  saveCheckpoint(State, Spec, Value.m_Index, Value.m_Checkpoint);
  if (Value.m_Outcome == RunOutcome::Done && !Spec.m_LongRunning)
    succeed(Fields, Value, Now);
  else if (Value.m_Outcome == RunOutcome::Failed)
    countFailure(Fields, Value, Now);
}

static void apply(WorkflowFields &Fields, const Cancel &, core::Time Now) {
  if (Fields.m_Phase == Phase::Active)
    finish(Fields, Phase::Cancelled, Now);
}

Workflow applyInput(Workflow Before, const Input &Value, core::Time Now) {
  WorkflowFields Fields = std::move(Before).fields();
  std::visit([&](const auto &Typed) { apply(Fields, Typed, Now); }, Value);
  return Workflow::restore(std::move(Fields));
}

const char *toString(Phase Value) noexcept {
  switch (Value) {
  case Phase::Active:
    return "active";
  case Phase::Completed:
    return "completed";
  case Phase::Failed:
    return "failed";
  case Phase::Cancelled:
    return "cancelled";
  }
  return "active";
}

const char *toString(RunOutcome Value) noexcept {
  switch (Value) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Interrupted:
    return "interrupted";
  }
  return "interrupted";
}

} // namespace fireflydrift::workflow
