#include "control/runs.h"

#include <algorithm>

namespace fireflydrift::control::impl {

using workflow::TaskKey;

const workflow::Task *findTask(const State &Current, const TaskKey &Key) {
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

bool isOut(const State &Current, const TaskKey &Key, std::uint32_t Run,
           const workflow::TargetLife &On) {
  const workflow::Task *Found = findTask(Current, Key);
  return Found && Found->m_Phase == workflow::TaskPhase::Assigned &&
         Found->m_Run == Run && Found->m_Where == On;
}

bool isWanted(const Polling &Self, const State &Current, const TaskKey &Key,
              std::uint32_t Run) {
  auto Displaced = Self.m_Displaced.find(Key);
  if (Displaced != Self.m_Displaced.end() && Displaced->second == Run)
    return false;
  const workflow::Workflow *Found = findWorkflow(Current, Key.m_Workflow);
  return Found && Found->isWanted(Key.m_Step, Key.m_Index);
}

const std::set<TaskKey> &assignedTo(const State &Current,
                                    const core::TargetId &Id) {
  static const std::set<TaskKey> None;
  auto Found = Current.m_Indexes.m_Assigned.find(Id);
  return Found == Current.m_Indexes.m_Assigned.end() ? None : Found->second;
}

bool isReported(const roster::Report &Value, const TaskKey &Key,
                std::uint32_t Run) {
  auto Same = [&](const auto &Each) {
    return Each.m_Task == Key && Each.m_Run == Run;
  };
  return std::any_of(Value.m_Running.begin(), Value.m_Running.end(), Same) ||
         std::any_of(Value.m_Ended.begin(), Value.m_Ended.end(), Same);
}

bool isWithdrawn(const Polling &Self, const State &Current,
                 const roster::Member &From, const TaskKey &Key,
                 const workflow::Task &Value) {
  bool Unseen = Value.m_Where == From.life() &&
                !isReported(From.m_Last, Key, Value.m_Run);
  bool Wanted =
      isWanted(Self, Current, Key, Value.m_Run) && !From.m_Last.m_Draining;
  return Unseen && !Wanted;
}

} // namespace fireflydrift::control::impl
