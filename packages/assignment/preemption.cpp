#include "assignment/preemption.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace fireflydrift::assignment {

std::vector<Victim> findVictims(const std::vector<TargetInfo> &Targets) {
  // The running members of a gang share workflow and step, so they form one
  // victim; single tasks are distinguished by their index.
  std::map<std::tuple<core::RequestId, std::uint32_t, std::uint32_t>, Victim>
      Units;
  constexpr std::uint32_t WholeGang = 0;
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    for (const TaskAllocation &Each : Targets[Index].m_Allocations) {
      if (!Each.m_Preemptible || Each.m_Reserved)
        continue;
      std::uint32_t UnitIndex =
          Each.m_Gang ? WholeGang : Each.m_Task.m_Index + 1;
      Victim &Unit =
          Units[{Each.m_Task.m_Workflow, Each.m_Task.m_Step, UnitIndex}];
      Unit.m_Run = Each.m_Run;
      Unit.m_BeyondReservation = Each.m_Priority == 0;
      Unit.m_Tasks.push_back(Each.m_Task);
      Unit.m_Allocated.emplace_back(Index, Each.m_Capacity);
      auto Lost = static_cast<double>(
          Each.m_UnsavedRunTime.count() *
          std::max<std::int64_t>(Each.m_Capacity.m_Accelerators, 1));
      Unit.m_Cost += static_cast<std::int64_t>(Lost * Each.m_ResultValue);
    }
  std::vector<Victim> Found;
  Found.reserve(Units.size());
  for (auto &[Key, Unit] : Units)
    Found.push_back(std::move(Unit));
  return Found;
}

namespace {

struct Plan {
  std::vector<std::size_t> m_Victims;
  std::int64_t m_Cost = 0;
};

} // namespace

// Accelerators in the group that the preemption frees; a task without
// accelerators counts as one.
static std::int64_t freedAccelerators(const TargetIndexes &Group,
                                      const Victim &Value) {
  std::int64_t Freed = 0;
  for (const auto &[Target, Capacity] : Value.m_Allocated)
    if (std::binary_search(Group.begin(), Group.end(), Target))
      Freed += std::max<std::int64_t>(Capacity.m_Accelerators, 1);
  return Freed;
}

static bool fitsAfterPreempting(const std::vector<TargetInfo> &Targets,
                                const std::vector<Victim> &Victims,
                                const std::vector<std::size_t> &Chosen,
                                const TargetIndexes &Group,
                                const PendingStep &Pending) {
  std::map<std::size_t, core::Capacity> Freed;
  for (std::size_t Each : Chosen)
    for (const auto &[Target, Capacity] : Victims[Each].m_Allocated)
      Freed[Target] = Freed[Target] + Capacity;
  std::uint64_t Fits = 0;
  for (std::size_t Target : Group) {
    core::Capacity Free = freeAfterRelease(Targets[Target]);
    if (auto Released = Freed.find(Target); Released != Freed.end())
      Free = Free + Released->second;
    Fits += countFits(Free, Pending.spec());
  }
  return Fits >= Pending.m_Waiting.size();
}

// Removes victims that are not needed, those with the highest cost first.
static void removeUnneeded(const std::vector<TargetInfo> &Targets,
                           const std::vector<Victim> &Victims,
                           const TargetIndexes &Group,
                           const PendingStep &Pending,
                           std::vector<std::size_t> &Chosen) {
  std::stable_sort(Chosen.begin(), Chosen.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Victims[A].m_Cost > Victims[B].m_Cost;
                   });
  for (std::size_t I = 0; I < Chosen.size();) {
    std::vector<std::size_t> Without = Chosen;
    Without.erase(Without.begin() + static_cast<std::ptrdiff_t>(I));
    if (fitsAfterPreempting(Targets, Victims, Without, Group, Pending))
      Chosen = std::move(Without);
    else
      ++I;
  }
}

// Adds victims by increasing cost per freed accelerator until the step fits,
// then removes those that are not needed.
static Plan planWithin(const std::vector<TargetInfo> &Targets,
                       const std::vector<Victim> &Victims,
                       const TargetIndexes &Group, const PendingStep &Pending) {
  bool MayPreemptUrgent =
      Pending.m_Reserved && Pending.m_Waited >= MinWaitToPreemptUrgent;
  // Urgent victims come after all others.
  std::vector<std::tuple<bool, double, std::size_t>> Ranked;
  for (std::size_t I = 0; I < Victims.size(); ++I) {
    if (Victims[I].m_BeyondReservation && !MayPreemptUrgent)
      continue;
    if (std::int64_t Freed = freedAccelerators(Group, Victims[I]); Freed > 0)
      Ranked.emplace_back(Victims[I].m_BeyondReservation,
                          static_cast<double>(Victims[I].m_Cost) /
                              static_cast<double>(Freed),
                          I);
  }
  std::sort(Ranked.begin(), Ranked.end());
  Plan Result;
  for (const auto &[Urgent, CostPerAccelerator, Index] : Ranked) {
    Result.m_Victims.push_back(Index);
    if (!fitsAfterPreempting(Targets, Victims, Result.m_Victims, Group,
                             Pending))
      continue;
    removeUnneeded(Targets, Victims, Group, Pending, Result.m_Victims);
    for (std::size_t Each : Result.m_Victims)
      Result.m_Cost += Victims[Each].m_Cost;
    return Result;
  }
  return {};
}

std::vector<std::size_t> chooseVictims(const std::vector<TargetInfo> &Targets,
                                       const std::vector<Victim> &Victims,
                                       const TargetIndexes &Eligible,
                                       const PendingStep &Pending) {
  Plan Best;
  for (const TargetIndexes &Group :
       placementGroups(Targets, Eligible, Pending)) {
    Plan GroupPlan = planWithin(Targets, Victims, Group, Pending);
    bool Better = !GroupPlan.m_Victims.empty() &&
                  (Best.m_Victims.empty() || GroupPlan.m_Cost < Best.m_Cost);
    if (Better)
      Best = std::move(GroupPlan);
  }
  return Best.m_Victims;
}

} // namespace fireflydrift::assignment
