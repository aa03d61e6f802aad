// The health of each target as seen by the leader, from how runs end there and
// whether they make progress. Never stored; a new leader assumes that all
// targets are healthy.
#ifndef FIREFLYDRIFT_ROSTER_HEALTH_H
#define FIREFLYDRIFT_ROSTER_HEALTH_H

#include "roster/report.h"

#include <map>
#include <set>

namespace fireflydrift::roster {

struct HealthOptions {
  // Consecutive failed runs after which a target is suspect and chosen last.
  std::uint32_t m_SuspectAfter = 2;
  // How long it stays suspect after the last failure, unless a run succeeds.
  core::Duration m_SuspectFor{8000};
  // A run without progress for this long is stalled. Longer than a gang may
  // take to assemble.
  core::Duration m_StalledAfter{3500};

  friend bool operator==(const HealthOptions &,
                         const HealthOptions &) = default;
};

// The failures of runs on one target since a run there last succeeded.
struct FailureHistory {
  // A stalled run counts as HealthOptions::m_SuspectAfter failures.
  std::uint32_t m_ConsecutiveFailures = 0;
  core::Time m_LastFailure;

  friend bool operator==(const FailureHistory &,
                         const FailureHistory &) = default;
};

// The last reported progress of one run.
struct Progress {
  std::uint32_t m_Run = 0;
  std::int32_t m_Percent = 0;
  // When this percentage was first reported.
  core::Time m_Since;

  friend bool operator==(const Progress &, const Progress &) = default;
};

class Health {
public:
  // True when the target should be chosen after all others.
  [[nodiscard]] bool isSuspect(const core::TargetId &Id,
                               const HealthOptions &Options,
                               core::Time Now) const;
  // Runs of the report that made no progress for too long.
  [[nodiscard]] std::vector<RunningTask> stalled(const Report &Value,
                                                 const HealthOptions &Options,
                                                 core::Time Now) const;

  // These return the changed value and consume this one to avoid a copy.
  // After a run ended: only the causes Done and Failed affect the health.
  [[nodiscard]] Health withRunEnd(const core::TargetId &Id, EndCause Cause,
                                  core::Time Now) &&;
  // After a run was found to be stalled, or a target ignored the orders to
  // start one: the target becomes suspect, like one on which runs fail.
  [[nodiscard]] Health withStalledRun(const core::TargetId &Id,
                                      const HealthOptions &Options,
                                      core::Time Now) &&;
  // After a report: records which of its runs made progress.
  [[nodiscard]] Health withReport(const Report &Value, core::Time Now) &&;
  [[nodiscard]] Health without(const std::vector<core::TargetId> &Ids) &&;

  friend bool operator==(const Health &, const Health &) = default;

private:
  std::map<core::TargetId, FailureHistory> m_Failures;
  std::map<core::TargetId, std::map<workflow::TaskKey, Progress>> m_Progress;
};

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_HEALTH_H
