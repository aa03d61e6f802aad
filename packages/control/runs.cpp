#include "control/runs.h"

#include <algorithm>

namespace fireflydrift::control::impl {

using workflow::TaskKey;

const workflow::Task *findTask(const State &Current, const TaskKey &Key) {
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

bool isAssignedRun(const State &Current, const TaskKey &Key, std::uint32_t Run,
                   const workflow::TargetInstance &Instance) {
  const workflow::Task *Found = findTask(Current, Key);
  return Found && Found->m_Phase == workflow::TaskPhase::Assigned &&
         Found->m_Run == Run && Found->m_Instance == Instance;
}

bool shouldRun(const PollingState &Polling, const State &Current,
               const TaskKey &Key, std::uint32_t Run) {
  auto Preempted = Polling.m_Preempted.find(Key);
  if (Preempted != Polling.m_Preempted.end() && Preempted->second == Run)
    return false;
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found && Found->shouldRun(Key.m_Step, Key.m_Index);
}

bool isEndProposed(const PollingState &Polling, const TaskKey &Key,
                   std::uint32_t Run) {
  auto Proposed = Polling.m_ProposedEnds.find(Key);
  return Proposed != Polling.m_ProposedEnds.end() && Proposed->second >= Run;
}

const std::set<TaskKey> &assignedTo(const State &Current,
                                    const core::TargetId &Id) {
  static const std::set<TaskKey> None;
  auto Found = Current.m_Indexes.m_Assigned.find(Id);
  return Found == Current.m_Indexes.m_Assigned.end() ? None : Found->second;
}

const roster::RunningTask *reportedRun(const roster::Report &Value,
                                       const TaskKey &Key, std::uint32_t Run) {
  for (const roster::RunningTask &Each : Value.m_Running)
    if (Each.m_Task == Key && Each.m_Run == Run)
      return &Each;
  return nullptr;
}

bool isUnreported(const State &Current, const roster::Member &Target,
                  const TaskKey &Key, std::uint32_t Run) {
  const std::vector<roster::EndedTask> &Ended = Target.m_LastReport.m_Ended;
  auto IsSameRun = [&](const roster::EndedTask &Each) {
    return Each.m_Task == Key && Each.m_Run == Run;
  };
  return isAssignedRun(Current, Key, Run, Target.instance()) &&
         !reportedRun(Target.m_LastReport, Key, Run) &&
         std::none_of(Ended.begin(), Ended.end(), IsSameRun);
}

core::Duration departureLead(const PollingOptions &Options) {
  return Options.m_StopWithin + Options.m_StopTransit;
}

bool acceptsNoRuns(const State &Current, const roster::Member &Target) {
  const roster::Report &Last = Target.m_LastReport;
  return Last.m_Draining ||
         Current.m_Tables.m_Evacuations.isEvacuated(Last.m_FailureDomain);
}

bool isUnreportedAndStopped(const PollingState &Polling, const State &Current,
                            const roster::Member &Target, const TaskKey &Key,
                            const workflow::Task &Value) {
  bool ShouldRun = shouldRun(Polling, Current, Key, Value.m_Run) &&
                   !acceptsNoRuns(Current, Target);
  return !ShouldRun && isUnreported(Current, Target, Key, Value.m_Run);
}

} // namespace fireflydrift::control::impl
