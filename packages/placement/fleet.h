// The fleet: every target with the jobs that have capacity allocated on it.
// Derived from the tables of targets and jobs, and never stored.
#ifndef FIREFLYDRIFT_PLACEMENT_FLEET_H
#define FIREFLYDRIFT_PLACEMENT_FLEET_H

#include "evacuation/evacuation.h"
#include "job/job.h"
#include "target/target.h"

#include <map>
#include <vector>

namespace fireflydrift::placement {

// The capacity allocated to one job on one target.
struct JobAllocation {
  core::JobKey m_Job;
  core::Capacity m_Capacity;
  bool m_Reclaimable = false;
  // True while the job is being stopped; its capacity is released soon.
  bool m_Stopping = false;
  bool m_Checkpoints = false;
  std::uint32_t m_ReclaimCount = 0;
  core::Time m_StartedAt;
  core::Time m_ExpectedEnd;

  friend bool operator==(const JobAllocation &,
                         const JobAllocation &) = default;
  friend auto operator<=>(const JobAllocation &,
                          const JobAllocation &) = default;
};

// One target and the allocations on it.
struct TargetUsage {
  target::Target m_Target;
  core::Capacity m_Used;
  std::vector<JobAllocation> m_Allocations;
  // True while the target's failure domain is evacuated.
  bool m_Evacuated = false;

  // True when new work may be placed here.
  [[nodiscard]] bool isSchedulable(core::Time Now) const noexcept {
    return !m_Evacuated && m_Target.isSchedulable(Now);
  }
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
    return m_Targets;
  }
  [[nodiscard]] const TargetUsage *find(const core::TargetId &Id) const;
  // Accelerators in use by the workspace.
  [[nodiscard]] std::int64_t used(const core::WorkspaceId &Id) const;
  // The part of used() that belongs to work that can't be stopped and run
  // again.
  [[nodiscard]] std::int64_t
  usedNonReclaimable(const core::WorkspaceId &Id) const;
  // Accelerators free on active targets outside of evacuated failure domains.
  [[nodiscard]] std::int64_t freeAccelerators() const noexcept;

  // These return the changed fleet and consume this one to avoid a copy.
  [[nodiscard]] Fleet withTarget(const target::Target &Value) &&;
  [[nodiscard]] Fleet withoutTarget(const core::TargetId &Id) &&;
  // With the given failure domains evacuated, and no others.
  [[nodiscard]] Fleet withEvacuations(evacuation::Evacuations Value) &&;
  // With the job's gang allocated; it is expected to end at ExpectedEnd.
  [[nodiscard]] Fleet withAllocated(const job::Job &Value,
                                    core::Time ExpectedEnd) &&;
  // With the capacity of the job's gang released.
  [[nodiscard]] Fleet withReleased(const job::Job &Value) &&;

  friend bool operator==(const Fleet &, const Fleet &) = default;

private:
  std::map<core::TargetId, TargetUsage> m_Targets;
  evacuation::Evacuations m_Evacuations;
  std::map<core::WorkspaceId, std::int64_t> m_Used;
  std::map<core::WorkspaceId, std::int64_t> m_UsedNonReclaimable;
};

// Number of tasks on each target.
[[nodiscard]] std::map<core::TargetId, std::uint32_t>
tasksByTarget(const std::vector<core::TargetId> &Targets);
[[nodiscard]] std::vector<core::TargetId> targetsOf(const job::Job &Value);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_FLEET_H
