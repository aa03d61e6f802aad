// Selects the running tasks to preempt so that an urgent step (priority zero)
// fits once they have stopped.
#ifndef FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H
#define FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H

#include "assignment/fit.h"

namespace fireflydrift::assignment {

// A gang or a single task that can be preempted, always as a whole.
struct Victim {
  // Unused; m_Tasks identifies the victim.
  workflow::TaskKey m_Unit;
  std::uint32_t m_Run = 0;
  // Work lost by the preemption, in accelerator-milliseconds weighted by the
  // value of its result; a task without accelerators is charged as if it used
  // one.
  std::int64_t m_Cost = 0;
  // True for urgent work beyond the capacity reserved for its workspace.
  bool m_BeyondReservation = false;
  // Capacity allocated to it, by target index.
  std::vector<std::pair<std::size_t, core::Capacity>> m_Allocated;
  std::vector<workflow::TaskKey> m_Tasks;

  friend bool operator==(const Victim &, const Victim &) = default;
};

// An urgent step within its workspace's reserved capacity may preempt urgent
// work beyond the reserved capacity of that work's own workspace, but only this
// long after the step's workflow was accepted.
inline constexpr core::Duration MinWaitToPreemptUrgent{2000};

// All running work that may be preempted for urgent work.
[[nodiscard]] std::vector<Victim>
findVictims(const std::vector<TargetInfo> &Targets);

// The indexes of victims whose preemption lets the step fit, selected greedily
// for low cost; empty when no preemption makes it fit.
[[nodiscard]] std::vector<std::size_t>
chooseVictims(const std::vector<TargetInfo> &Targets,
              const std::vector<Victim> &Victims, const TargetIndexes &Eligible,
              const PendingStep &Pending);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H
