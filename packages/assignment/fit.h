// How the tasks of one step are laid over the room that there is.
#ifndef FIREFLYDRIFT_ASSIGNMENT_FIT_H
#define FIREFLYDRIFT_ASSIGNMENT_FIT_H

#include "assignment/view.h"

namespace fireflydrift::assignment {

// Capacity that counts as available in a room.
using Available = core::Capacity (*)(const TargetInfo &);

[[nodiscard]] core::Capacity freeNow(const TargetInfo &Value);
// With what comes back soon.
[[nodiscard]] core::Capacity freeSoon(const TargetInfo &Value);
// With nothing on it at all.
[[nodiscard]] core::Capacity freeWhenEmpty(const TargetInfo &Value);

// A room that may be used, by its place in the list of all.
using RoomIndexes = std::vector<std::size_t>;

// Rooms that the step's tasks may run in, whatever is free there.
[[nodiscard]] RoomIndexes suitableRooms(const std::vector<TargetInfo> &All,
                                        const PendingStep &For);

// The room for each task of a gang, or nothing when the gang does not fit. A
// gang that asks for one rack gets the tightest rack that holds it.
[[nodiscard]] RoomIndexes fitGang(const std::vector<TargetInfo> &All,
                                  const RoomIndexes &Suitable,
                                  const PendingStep &For, Available Capacity);

// The room for each of the first waiting tasks, as many as fit.
[[nodiscard]] RoomIndexes fitSingles(const std::vector<TargetInfo> &All,
                                     const RoomIndexes &Suitable,
                                     const PendingStep &For,
                                     Available Capacity);

// The room for the demand's tasks: of a gang all or none, else as many as fit.
[[nodiscard]] RoomIndexes fit(const std::vector<TargetInfo> &All,
                              const RoomIndexes &Suitable,
                              const PendingStep &For, Available Capacity);

// The groups of rooms, each of which could hold the whole demand: the racks
// for a gang that needs one, else all rooms together.
[[nodiscard]] std::vector<RoomIndexes>
groupsFor(const std::vector<TargetInfo> &All, const RoomIndexes &Suitable,
          const PendingStep &For);

// True when the gang wants one rack and some rack is large enough.
[[nodiscard]] bool needsOneRack(const std::vector<TargetInfo> &All,
                                const RoomIndexes &Suitable,
                                const PendingStep &For);

// How many tasks of the step fit in the room with so much available.
[[nodiscard]] std::uint32_t countFits(const core::Capacity &Available,
                                      const workflow::StepSpec &Step) noexcept;

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_FIT_H
