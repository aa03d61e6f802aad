// Room that is kept for a gang that does not fit yet.
#ifndef FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H
#define FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H

#include "assignment/fit.h"

#include <optional>

namespace fireflydrift::assignment {

// Rooms in which a gang is expected to fit at Until. Others may use them for
// tasks that are expected to end before.
struct BackfillReservation {
  std::set<std::size_t> m_Rooms;
  core::Time m_Until;

  friend bool operator==(const BackfillReservation &,
                         const BackfillReservation &) = default;
};

// Where the gang fits soonest if the present tasks end as expected; nothing
// when no set of rooms could ever hold it.
[[nodiscard]] std::optional<BackfillReservation>
holdFor(const std::vector<TargetInfo> &All, const RoomIndexes &Suitable,
        const PendingStep &For, core::Time Now);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_BACKFILL_RESERVATION_H
