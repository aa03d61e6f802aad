// Which running work is stopped so that urgent work can start at once.
#ifndef FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H
#define FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H

#include "assignment/fit.h"

namespace fireflydrift::assignment {

// A gang, or a single task, that can be stopped as a whole.
struct Victim {
  // The step; with the index of its one task where it is not a gang.
  workflow::TaskKey m_Unit;
  std::uint32_t m_Run = 0;
  // Work that is lost by it, in accelerator-milliseconds.
  std::int64_t m_Cost = 0;
  // Urgent itself, but beyond what its workspace has reserved.
  bool m_Urgent = false;
  // What it occupies, by room.
  std::vector<std::pair<std::size_t, core::Capacity>> m_Occupies;
  std::vector<workflow::TaskKey> m_Tasks;

  friend bool operator==(const Victim &, const Victim &) = default;
};

// Urgent work beyond a reserve is stopped only for work within one that has
// waited for so long.
inline constexpr core::Duration PreemptsUrgentAfter{2000};

// Everything that could be stopped for urgent work.
[[nodiscard]] std::vector<Victim> victimsIn(const std::vector<TargetInfo> &All);

// The victims whose stop lets the demand fit at least cost, by their places
// in the list; empty when no stop helps.
[[nodiscard]] std::vector<std::size_t>
chooseVictims(const std::vector<TargetInfo> &All,
              const std::vector<Victim> &Victims, const RoomIndexes &Suitable,
              const PendingStep &For);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_PREEMPTION_H
