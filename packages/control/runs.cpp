#include "control/runs.h"

#include <algorithm>

namespace fireflydrift::control::impl {

using workflow::TaskKey;

const workflow::Task *findTask(const State &Current, const TaskKey &Key) {
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

bool isOut(const State &Current, const TaskKey &Key, std::uint32_t Run,
           const workflow::TargetInstance &On) {
  const workflow::Task *Found = findTask(Current, Key);
  return Found && Found->m_Phase == workflow::TaskPhase::Assigned &&
         Found->m_Run == Run && Found->m_Instance == On;
}

bool isWanted(const PollingState &Self, const State &Current,
              const TaskKey &Key, std::uint32_t Run) {
  auto Displaced = Self.m_Displaced.find(Key);
  if (Displaced != Self.m_Displaced.end() && Displaced->second == Run)
    return false;
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found && Found->shouldRun(Key.m_Step, Key.m_Index);
}

bool isEnding(const PollingState &Self, const TaskKey &Key, std::uint32_t Run) {
  auto Proposed = Self.m_EndProposed.find(Key);
  return Proposed != Self.m_EndProposed.end() && Proposed->second >= Run;
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

bool isUnseen(const State &Current, const roster::Member &On,
              const TaskKey &Key, std::uint32_t Run) {
  const std::vector<roster::EndedTask> &Ended = On.m_LastReport.m_Ended;
  auto Same = [&](const roster::EndedTask &Each) {
    return Each.m_Task == Key && Each.m_Run == Run;
  };
  return isOut(Current, Key, Run, On.instance()) &&
         !reportedRun(On.m_LastReport, Key, Run) &&
         std::none_of(Ended.begin(), Ended.end(), Same);
}

bool isWithdrawn(const PollingState &Self, const State &Current,
                 const roster::Member &From, const TaskKey &Key,
                 const workflow::Task &Value) {
  bool Wanted = isWanted(Self, Current, Key, Value.m_Run) &&
                !From.m_LastReport.m_Draining;
  return !Wanted && isUnseen(Current, From, Key, Value.m_Run);
}

} // namespace fireflydrift::control::impl
