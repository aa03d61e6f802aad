#include "assignment/backfill_reservation.h"

#include <algorithm>
#include <map>

namespace fireflydrift::assignment {

// A task that has outlived its estimate is expected to go on for this long.
static constexpr core::Duration OverdueEndsIn{500};

namespace {

struct Release {
  core::Time m_At;
  std::size_t m_Room = 0;
  core::Capacity m_Capacity;

  friend bool operator<(const Release &A, const Release &B) {
    return A.m_At < B.m_At;
  }
};

} // namespace

// The time at which so many tasks fit in these rooms, if they ever do.
static std::optional<core::Time> fitsAt(const std::vector<TargetInfo> &All,
                                        const RoomIndexes &Rooms,
                                        const PendingStep &For,
                                        core::Time Now) {
  const workflow::StepSpec &Step = For.spec();
  std::map<std::size_t, core::Capacity> Free;
  std::vector<Release> Releases;
  std::uint64_t Fits = 0;
  for (std::size_t Index : Rooms) {
    const TargetInfo &Each = All[Index];
    Free[Index] = freeSoon(Each);
    Fits += countFits(Free[Index], Step);
    for (const TaskAllocation &Other : Each.m_Allocations)
      Releases.push_back(
          {.m_At = std::max(Other.m_ExpectedEnd, Now + OverdueEndsIn),
           .m_Room = Index,
           .m_Capacity = Other.m_Capacity});
  }
  if (Fits >= Step.m_Tasks)
    return Now;
  std::sort(Releases.begin(), Releases.end());
  for (const Release &Each : Releases) {
    core::Capacity &Here = Free[Each.m_Room];
    Fits -= countFits(Here, Step);
    Here = Here + Each.m_Capacity;
    Fits += countFits(Here, Step);
    if (Fits >= Step.m_Tasks)
      return Each.m_At;
  }
  return std::nullopt;
}

std::optional<BackfillReservation> holdFor(const std::vector<TargetInfo> &All,
                                           const RoomIndexes &Suitable,
                                           const PendingStep &For,
                                           core::Time Now) {
  std::optional<BackfillReservation> Best;
  for (const RoomIndexes &Rooms : groupsFor(All, Suitable, For)) {
    auto At = fitsAt(All, Rooms, For, Now);
    if (At && (!Best || *At < Best->m_Until))
      Best = BackfillReservation{.m_Rooms = {Rooms.begin(), Rooms.end()},
                                 .m_Until = *At};
  }
  return Best;
}

} // namespace fireflydrift::assignment
