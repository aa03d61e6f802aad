// What the leader thinks of each target's health, from how runs end there and
// whether they get on. Never stored; a new leader starts with a good opinion.
#ifndef FIREFLYDRIFT_ROSTER_HEALTH_H
#define FIREFLYDRIFT_ROSTER_HEALTH_H

#include "roster/report.h"

#include <map>
#include <set>

namespace fireflydrift::roster {

struct HealthOptions {
  // Failed runs in a row after which a target is used last.
  std::uint32_t m_SuspectAfter = 2;
  // How long that lasts since the last failure, unless a run succeeds before.
  core::Duration m_SuspectFor{8000};
  // A run that shows no progress for this long stands still. Longer than a
  // gang may take to assemble.
  core::Duration m_StalledAfter{3500};

  friend bool operator==(const HealthOptions &,
                         const HealthOptions &) = default;
};

// How runs on one target ended lately.
struct Record {
  std::uint32_t m_FailuresInARow = 0;
  core::Time m_LastFailure;

  friend bool operator==(const Record &, const Record &) = default;
};

// The last progress of one run.
struct Progress {
  std::uint32_t m_Run = 0;
  std::int32_t m_Percent = 0;
  core::Time m_Since;

  friend bool operator==(const Progress &, const Progress &) = default;
};

class Health {
public:
  // True when the target should be used after all others.
  [[nodiscard]] bool isSuspect(const core::TargetId &Id,
                               const HealthOptions &Options,
                               core::Time Now) const;
  // Runs of the report that have stood still for too long.
  [[nodiscard]] std::vector<RunningTask> stalled(const Report &Value,
                                                 const HealthOptions &Options,
                                                 core::Time Now) const;

  // These return the changed value; they consume it so nothing is copied.
  [[nodiscard]] Health withRunEnd(const core::TargetId &Id, EndCause Why,
                                  core::Time Now) &&;
  // After a run was found to stand still: its target is no better than one
  // where runs fail.
  [[nodiscard]] Health withStalledRun(const core::TargetId &Id,
                                      const HealthOptions &Options,
                                      core::Time Now) &&;
  // After a report: notes which of its runs got on.
  [[nodiscard]] Health withReport(const Report &Value, core::Time Now) &&;

  friend bool operator==(const Health &, const Health &) = default;

private:
  std::map<core::TargetId, Record> m_Records;
  std::map<core::TargetId, std::map<workflow::TaskKey, Progress>> m_Progress;
};

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_HEALTH_H
