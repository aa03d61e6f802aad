// The fleet as placement sees it: every target with the work that occupies it.
// Derived from the tables of targets and jobs, and never stored.
#ifndef FIREFLYDRIFT_PLACEMENT_FLEET_H
#define FIREFLYDRIFT_PLACEMENT_FLEET_H

#include "job/job.h"
#include "target/target.h"

#include <map>
#include <vector>

namespace fireflydrift::placement {

// One job's tasks on one target.
struct JobAllocation {
  core::JobKey m_Job;
  core::Capacity m_Capacity;
  bool m_Reclaimable = false;
  // True while the occupant is being stopped; its capacity comes back soon.
  bool m_Stopping = false;
  bool m_Checkpoints = false;
  std::uint32_t m_Reclaims = 0;
  core::Time m_StartedAt;
  core::Time m_ExpectedEnd;

  friend bool operator==(const JobAllocation &,
                         const JobAllocation &) = default;
  friend auto operator<=>(const JobAllocation &,
                          const JobAllocation &) = default;
};

// One target and its occupants.
struct TargetUsage {
  target::Target m_Target;
  core::Capacity m_Used;
  std::vector<JobAllocation> m_Allocations;

  [[nodiscard]] core::Capacity free() const noexcept {
    return m_Target.announcement().m_Capacity - m_Used;
  }

  friend bool operator==(const TargetUsage &, const TargetUsage &) = default;
};

// All targets, and the accelerators that each workspace uses.
class Fleet {
public:
  [[nodiscard]] const std::map<core::TargetId, TargetUsage> &
  targets() const noexcept {
    return m_Slots;
  }
  [[nodiscard]] const TargetUsage *find(const core::TargetId &Id) const;
  // Accelerators in use by the workspace.
  [[nodiscard]] std::int64_t used(const core::WorkspaceId &Id) const;
  // The part of it that can't be stopped and run again.
  [[nodiscard]] std::int64_t usedFixed(const core::WorkspaceId &Id) const;
  // Accelerators free on active targets.
  [[nodiscard]] std::int64_t freeAccelerators() const noexcept;

  // These return the changed fleet; they consume it so nothing is copied.
  [[nodiscard]] Fleet withTarget(const target::Target &Value) &&;
  [[nodiscard]] Fleet withoutTarget(const core::TargetId &Id) &&;
  // With the job's members on their targets, expected to end at ExpectedEnd.
  [[nodiscard]] Fleet withAllocated(const job::Job &Value,
                                    core::Time ExpectedEnd) &&;
  // Without the job's members.
  [[nodiscard]] Fleet withReleased(const job::Job &Value) &&;

  friend bool operator==(const Fleet &, const Fleet &) = default;

private:
  std::map<core::TargetId, TargetUsage> m_Slots;
  std::map<core::WorkspaceId, std::int64_t> m_Used;
  std::map<core::WorkspaceId, std::int64_t> m_UsedFixed;
};

// Tasks of the job on each target.
[[nodiscard]] std::map<core::TargetId, std::uint32_t>
tasksByTarget(const std::vector<core::TargetId> &Targets);
[[nodiscard]] std::vector<core::TargetId> targetsOf(const job::Job &Value);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_FLEET_H
