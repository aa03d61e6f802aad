// Run times learned from finished work, by workspace and kind of work.
#ifndef FIREFLYDRIFT_PLACEMENT_ESTIMATE_H
#define FIREFLYDRIFT_PLACEMENT_ESTIMATE_H

#include "job/job.h"

#include <map>
#include <vector>

namespace fireflydrift::placement {

// Finished runs that are remembered for each class of work.
inline constexpr std::size_t RememberedRuns = 32;
// How many finished runs the caller's declaration weighs as much as.
inline constexpr std::size_t DeclarationWeight = 4;
inline constexpr std::size_t MaxClasses = 4096;

// Work that is expected to behave alike: one workspace, one "kind" label.
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
  // The run time that nine in ten such jobs stay within. The declaration
  // counts as a few observations, so it fades as runs are seen.
  [[nodiscard]] core::Duration runTime(const job::JobSpec &Spec) const;

  // The estimates after a job of this kind ran for so long.
  [[nodiscard]] Estimates withObservation(const job::JobSpec &Spec,
                                          core::Duration Ran) &&;

  friend bool operator==(const Estimates &, const Estimates &) = default;

private:
  std::map<WorkClass, std::vector<core::Duration>> m_Runs;
};

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_ESTIMATE_H
