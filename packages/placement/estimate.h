// Run time estimates from finished jobs, by workspace and kind of job.
#ifndef FIREFLYDRIFT_PLACEMENT_ESTIMATE_H
#define FIREFLYDRIFT_PLACEMENT_ESTIMATE_H

#include "job/job.h"

#include <map>
#include <vector>

namespace fireflydrift::placement {

// Number of most recent finished runs kept for each class of jobs.
inline constexpr std::size_t MaxRunsPerClass = 32;
// The declared run time counts as this many finished runs.
inline constexpr std::size_t DeclarationWeight = 4;
// Runs of further classes are not recorded.
inline constexpr std::size_t MaxClasses = 4096;

// Jobs with similar expected run times: one workspace, one "kind" label.
struct WorkClass {
  core::WorkspaceId m_Workspace;
  std::string m_Kind;

  friend bool operator==(const WorkClass &, const WorkClass &) = default;
  friend auto operator<=>(const WorkClass &, const WorkClass &) = default;
};

[[nodiscard]] WorkClass classOf(const job::JobSpec &Spec);

// Observed run times of each class, newest last.
class Estimates {
public:
  Estimates() = default;
  explicit Estimates(
      std::map<WorkClass, std::vector<core::Duration>> Runs) noexcept
      : m_Runs(std::move(Runs)) {}

  [[nodiscard]] const std::map<WorkClass, std::vector<core::Duration>> &
  runs() const noexcept {
    return m_Runs;
  }
  // The run time that nine in ten such jobs do not exceed. The declared run
  // time counts as DeclarationWeight finished runs, so its weight falls as runs
  // finish, to zero at MaxRunsPerClass.
  [[nodiscard]] core::Duration runTime(const job::JobSpec &Spec) const;

  // The estimates with the run time of one more finished job.
  [[nodiscard]] Estimates withObservation(const job::JobSpec &Spec,
                                          core::Duration Ran) &&;

  friend bool operator==(const Estimates &, const Estimates &) = default;

private:
  std::map<WorkClass, std::vector<core::Duration>> m_Runs;
};

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_ESTIMATE_H
