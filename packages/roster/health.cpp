#include "roster/health.h"

namespace fireflydrift::roster {

static constexpr std::int32_t WholePercent = 100;

bool Health::isSuspect(const core::TargetId &Id, const HealthOptions &Options,
                       core::Time Now) const {
  auto Found = m_Failures.find(Id);
  return Found != m_Failures.end() &&
         Found->second.m_ConsecutiveFailures >= Options.m_SuspectAfter &&
         Now - Found->second.m_LastFailure < Options.m_SuspectFor;
}

std::vector<RunningTask> Health::stalled(const Report &Value,
                                         const HealthOptions &Options,
                                         core::Time Now) const {
  std::vector<RunningTask> Found;
  auto Known = m_Progress.find(Value.m_Target);
  if (Known == m_Progress.end())
    return Found;
  for (const RunningTask &Each : Value.m_Running) {
    auto Last = Known->second.find(Each.m_Task);
    // A run that exceeds its estimate reports no further progress.
    bool Stalled = Each.m_Percent < WholePercent &&
                   Last != Known->second.end() &&
                   Last->second.m_Run == Each.m_Run &&
                   Now - Last->second.m_Since >= Options.m_StalledAfter;
    if (Stalled)
      Found.push_back(Each);
  }
  return Found;
}

Health Health::withRunEnd(const core::TargetId &Id, EndCause Cause,
                          core::Time Now) && {
  if (Cause == EndCause::Done) {
    m_Failures.erase(Id);
  } else if (Cause == EndCause::Failed) {
    FailureHistory &Known = m_Failures[Id];
    ++Known.m_ConsecutiveFailures;
    Known.m_LastFailure = Now;
  }
  return std::move(*this);
}

Health Health::withStalledRun(const core::TargetId &Id,
                              const HealthOptions &Options, core::Time Now) && {
  FailureHistory &Known = m_Failures[Id];
  Known.m_ConsecutiveFailures += Options.m_SuspectAfter;
  Known.m_LastFailure = Now;
  return std::move(*this);
}

Health Health::without(const std::vector<core::TargetId> &Ids) && {
  for (const core::TargetId &Id : Ids) {
    m_Failures.erase(Id);
    m_Progress.erase(Id);
  }
  return std::move(*this);
}

Health Health::withReport(const Report &Value, core::Time Now) && {
  std::map<workflow::TaskKey, Progress> Next;
  std::map<workflow::TaskKey, Progress> &Known = m_Progress[Value.m_Target];
  for (const RunningTask &Each : Value.m_Running) {
    auto Last = Known.find(Each.m_Task);
    bool Same = Last != Known.end() && Last->second.m_Run == Each.m_Run &&
                Last->second.m_Percent == Each.m_Percent;
    Next.emplace(Each.m_Task, Same ? Last->second
                                   : Progress{.m_Run = Each.m_Run,
                                              .m_Percent = Each.m_Percent,
                                              .m_Since = Now});
  }
  Known = std::move(Next);
  return std::move(*this);
}

} // namespace fireflydrift::roster
