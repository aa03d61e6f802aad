// Backfill reservations for gangs that do not fit yet.
#ifndef FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H
#define FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H

#include "assignment/fit.h"

#include <optional>

namespace fireflydrift::assignment {

// Targets on which a gang is expected to fit at m_Until. Other work may be
// backfilled onto them if it is expected to end by that time.
struct BackfillReservation {
  std::set<std::size_t> m_Targets;
  core::Time m_Until;

  friend bool operator==(const BackfillReservation &,
                         const BackfillReservation &) = default;
};

// Reserves the placement group in which the gang fits soonest if running tasks
// end as expected: one rack, or all eligible targets. Returns nothing when the
// gang does not fit into any group even after all running tasks have ended.
[[nodiscard]] std::optional<BackfillReservation>
reservationFor(const std::vector<TargetInfo> &Targets,
               const TargetIndexes &Eligible, const PendingStep &Pending,
               core::Time Now);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H
