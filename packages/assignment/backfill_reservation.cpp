#include "assignment/backfill_reservation.h"

#include <algorithm>
#include <map>

namespace fireflydrift::assignment {

// Least remaining run time assumed for a running task, in particular for one
// that has exceeded its estimate.
static constexpr core::Duration MinRemainingRunTime{500};

namespace {

struct Release {
  core::Time m_At;
  std::size_t m_Target = 0;
  core::Capacity m_Capacity;

  friend bool operator<(const Release &A, const Release &B) {
    return A.m_At < B.m_At;
  }
};

} // namespace

// The time at which all tasks of the step fit on these targets, if ever.
static std::optional<core::Time> fitsAt(const std::vector<TargetInfo> &Targets,
                                        const TargetIndexes &Group,
                                        const PendingStep &Pending,
                                        core::Time Now) {
  const workflow::StepSpec &Step = Pending.spec();
  std::map<std::size_t, core::Capacity> Free;
  std::vector<Release> Releases;
  std::uint64_t Fits = 0;
  for (std::size_t Index : Group) {
    const TargetInfo &Each = Targets[Index];
    Free[Index] = freeAfterRelease(Each);
    Fits += countFits(Free[Index], Step);
    for (const TaskAllocation &Other : Each.m_Allocations)
      Releases.push_back(
          {.m_At = std::max(Other.m_ExpectedEnd, Now + MinRemainingRunTime),
           .m_Target = Index,
           .m_Capacity = Other.m_Capacity});
  }
  if (Fits >= Step.m_Tasks)
    return Now;
  std::sort(Releases.begin(), Releases.end());
  for (const Release &Each : Releases) {
    core::Capacity &Here = Free[Each.m_Target];
    Fits -= countFits(Here, Step);
    Here = Here + Each.m_Capacity;
    Fits += countFits(Here, Step);
    if (Fits >= Step.m_Tasks)
      return Each.m_At;
  }
  return std::nullopt;
}

std::optional<BackfillReservation>
reservationFor(const std::vector<TargetInfo> &Targets,
               const TargetIndexes &Eligible, const PendingStep &Pending,
               core::Time Now) {
  std::optional<BackfillReservation> Best;
  for (const TargetIndexes &Group :
       placementGroups(Targets, Eligible, Pending)) {
    auto At = fitsAt(Targets, Group, Pending, Now);
    if (At && (!Best || *At < Best->m_Until))
      Best = BackfillReservation{.m_Targets = {Group.begin(), Group.end()},
                                 .m_Until = *At};
  }
  return Best;
}

} // namespace fireflydrift::assignment
