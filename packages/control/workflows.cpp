// Applies the commands that concern workflows.
#include "control/apply.h"

namespace fireflydrift::control {

// Limit on finished workflows; the oldest are removed even within their
// retention period.
static constexpr std::size_t MaxFinishedWorkflows = 20000;

const workflow::Workflow *findWorkflow(const State &Value,
                                       const core::RequestId &Id) {
  auto Found = Value.m_Tables.m_Workflows.find(Id);
  return Found == Value.m_Tables.m_Workflows.end() ? nullptr : &Found->second;
}

namespace impl {

// ---- Indexes ---------------------------------------------------------------

static void indexTask(Indexes &Index, const workflow::TaskKey &Key,
                      const workflow::Task &Value) {
  if (Value.m_Phase == workflow::TaskPhase::Assigned)
    Index.m_Assigned[Value.m_Instance.m_Target].insert(Key);
}

static void unindexTask(Indexes &Index, const workflow::TaskKey &Key,
                        const workflow::Task &Value) {
  if (Value.m_Phase != workflow::TaskPhase::Assigned)
    return;
  auto Found = Index.m_Assigned.find(Value.m_Instance.m_Target);
  Found->second.erase(Key);
  if (Found->second.empty())
    Index.m_Assigned.erase(Found);
}

// Calls Visit for each task of one step.
template <class Visitor>
static void forStep(const workflow::Workflow &Value, std::uint32_t Step,
                    const Visitor &Visit) {
  const auto &Tasks = Value.fields().m_Steps[Step].m_Tasks;
  for (std::uint32_t I = 0; I < Tasks.size(); ++I)
    Visit(workflow::TaskKey{.m_Workflow = Value.id(),
                            .m_Step = Step,
                            .m_Index = I},
          Tasks[I]);
}

static void indexPhase(Indexes &Index, const workflow::Workflow &Value) {
  if (Value.phase() == workflow::Phase::Active)
    Index.m_ActiveWorkflows.insert(Value.id());
  else
    Index.m_FinishedWorkflows.emplace(Value.fields().m_FinishedAt, Value.id());
}

void addToIndexes(Indexes &Index, const workflow::Workflow &Value) {
  indexPhase(Index, Value);
  for (std::uint32_t I = 0; I < Value.fields().m_Steps.size(); ++I)
    forStep(Value, I, [&](const auto &Key, const auto &Task) {
      indexTask(Index, Key, Task);
    });
}

// ---- Commands --------------------------------------------------------------

// Applies an input to one workflow. Only tasks of Step may change.
static core::Reason change(ApplyContext &W, const core::RequestId &Id,
                           std::optional<std::uint32_t> Step,
                           const workflow::Input &Value) {
  auto Found = W.tables().m_Workflows.find(Id);
  if (Found == W.tables().m_Workflows.end())
    return {core::ReasonCode::NotFound, "id", "no such workflow"};
  core::Reason Reason = workflow::validateInput(Found->second, Value);
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  Indexes &Index = W.indexes();
  workflow::Phase From = Found->second.phase();
  bool HadStarted = Found->second.fields().m_Started;
  if (Step)
    forStep(Found->second, *Step, [&](const auto &Key, const auto &Task) {
      unindexTask(Index, Key, Task);
    });
  Found->second =
      workflow::applyInput(std::move(Found->second), Value, W.now());
  if (Step)
    forStep(Found->second, *Step, [&](const auto &Key, const auto &Task) {
      indexTask(Index, Key, Task);
    });
  if (Found->second.phase() != From) {
    Index.m_ActiveWorkflows.erase(Id);
    indexPhase(Index, Found->second);
  }
  W.m_Result.m_WorkflowChanges.push_back(
      {.m_Workflow = Id,
       .m_From = From,
       .m_To = Found->second.phase(),
       .m_Started = !HadStarted && Found->second.fields().m_Started});
  return {};
}

core::Reason applyOne(ApplyContext &W, const AcceptWorkflow &Value) {
  // A repeated request refers to the same workflow.
  if (W.tables().m_Workflows.contains(Value.m_Spec.m_Id))
    return {};
  auto Created = workflow::Workflow::create(Value.m_Spec, W.now());
  if (!Created)
    return Created.reason();
  addToIndexes(W.indexes(), *Created);
  W.m_Result.m_WorkflowChanges.push_back(
      {.m_Workflow = Value.m_Spec.m_Id, .m_Accepted = true});
  W.tables().m_Workflows.emplace(Value.m_Spec.m_Id, *std::move(Created));
  return {};
}

core::Reason applyOne(ApplyContext &W, const CancelWorkflow &Value) {
  return change(W, Value.m_Workflow, std::nullopt, workflow::Cancel{});
}

core::Reason applyOne(ApplyContext &W, const AssignTasks &Value) {
  return change(W, Value.m_Workflow, Value.m_Assign.m_Step, Value.m_Assign);
}

core::Reason applyOne(ApplyContext &W, const EndRun &Value) {
  return change(W, Value.m_Workflow, Value.m_End.m_Step, Value.m_End);
}

void expireWorkflows(ApplyContext &W) {
  core::Duration Retention = W.tables().m_Configuration.limits().m_Retention;
  auto &Finished = W.indexes().m_FinishedWorkflows;
  while (!Finished.empty() && (Finished.begin()->first + Retention <= W.now() ||
                               Finished.size() > MaxFinishedWorkflows)) {
    core::RequestId Id = Finished.begin()->second;
    // A run that is still assigned must be stopped: once it is out of the
    // index, the next report that lists it is answered with a stop order.
    const workflow::Workflow &Value = W.tables().m_Workflows.at(Id);
    for (std::uint32_t I = 0; I < Value.fields().m_Steps.size(); ++I)
      forStep(Value, I, [&](const auto &Key, const auto &Task) {
        unindexTask(W.indexes(), Key, Task);
      });
    Finished.erase(Finished.begin());
    W.tables().m_Workflows.erase(Id);
  }
}

} // namespace impl
} // namespace fireflydrift::control
