#include "assignment/preemption.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace fireflydrift::assignment {

std::vector<Victim> victimsIn(const std::vector<TargetInfo> &All) {
  // Members of a gang share workflow, step and run; single tasks are told
  // apart by their index.
  std::map<std::tuple<core::RequestId, std::uint32_t, std::uint32_t>, Victim>
      Units;
  constexpr std::uint32_t WholeGang = 0;
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    for (const TaskAllocation &Each : All[Index].m_Allocations) {
      if (!Each.m_Preemptible || Each.m_Reserved)
        continue;
      std::uint32_t Part = Each.m_Gang ? WholeGang : Each.m_Task.m_Index + 1;
      Victim &Unit = Units[{Each.m_Task.m_Workflow, Each.m_Task.m_Step, Part}];
      Unit.m_Run = Each.m_Run;
      Unit.m_Urgent = Each.m_Priority == 0;
      Unit.m_Tasks.push_back(Each.m_Task);
      Unit.m_Occupies.emplace_back(Index, Each.m_Capacity);
      Unit.m_Cost += Each.m_UnsavedRunTime.count() *
                     std::max<std::int64_t>(Each.m_Capacity.m_Accelerators, 1);
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

static std::int64_t freedIn(const RoomIndexes &Where, const Victim &Value) {
  std::int64_t Freed = 0;
  for (const auto &[Room, Capacity] : Value.m_Occupies)
    if (std::binary_search(Where.begin(), Where.end(), Room))
      Freed += std::max<std::int64_t>(Capacity.m_Accelerators, 1);
  return Freed;
}

static bool fitsWith(const std::vector<TargetInfo> &All,
                     const std::vector<Victim> &Victims,
                     const std::vector<std::size_t> &Chosen,
                     const RoomIndexes &Where, const PendingStep &For) {
  std::map<std::size_t, core::Capacity> Freed;
  for (std::size_t Each : Chosen)
    for (const auto &[Room, Capacity] : Victims[Each].m_Occupies)
      Freed[Room] = Freed[Room] + Capacity;
  std::uint64_t Fits = 0;
  for (std::size_t Room : Where) {
    core::Capacity Free = freeSoon(All[Room]);
    if (auto More = Freed.find(Room); More != Freed.end())
      Free = Free + More->second;
    Fits += countFits(Free, For.spec());
  }
  return Fits >= For.m_Waiting.size();
}

// Drops victims that turn out not to be needed, the dearest first.
static void prune(const std::vector<TargetInfo> &All,
                  const std::vector<Victim> &Victims, const RoomIndexes &Where,
                  const PendingStep &For, std::vector<std::size_t> &Chosen) {
  std::stable_sort(Chosen.begin(), Chosen.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Victims[A].m_Cost > Victims[B].m_Cost;
                   });
  for (std::size_t I = 0; I < Chosen.size();) {
    std::vector<std::size_t> Without = Chosen;
    Without.erase(Without.begin() + static_cast<std::ptrdiff_t>(I));
    if (fitsWith(All, Victims, Without, Where, For))
      Chosen = std::move(Without);
    else
      ++I;
  }
}

// Adds the cheapest victims by what they free until the demand fits.
static Plan planIn(const std::vector<TargetInfo> &All,
                   const std::vector<Victim> &Victims, const RoomIndexes &Where,
                   const PendingStep &For) {
  bool MayStopUrgent = For.m_Reserved && For.m_Waited >= PreemptsUrgentAfter;
  // Urgent work goes last of all.
  std::vector<std::tuple<bool, double, std::size_t>> Order;
  for (std::size_t I = 0; I < Victims.size(); ++I) {
    if (Victims[I].m_Urgent && !MayStopUrgent)
      continue;
    if (std::int64_t Freed = freedIn(Where, Victims[I]); Freed > 0)
      Order.emplace_back(Victims[I].m_Urgent,
                         static_cast<double>(Victims[I].m_Cost) /
                             static_cast<double>(Freed),
                         I);
  }
  std::sort(Order.begin(), Order.end());
  Plan Out;
  for (const auto &[Urgent, Price, Index] : Order) {
    Out.m_Victims.push_back(Index);
    if (!fitsWith(All, Victims, Out.m_Victims, Where, For))
      continue;
    prune(All, Victims, Where, For, Out.m_Victims);
    for (std::size_t Each : Out.m_Victims)
      Out.m_Cost += Victims[Each].m_Cost;
    return Out;
  }
  return {};
}

std::vector<std::size_t> chooseVictims(const std::vector<TargetInfo> &All,
                                       const std::vector<Victim> &Victims,
                                       const RoomIndexes &Suitable,
                                       const PendingStep &For) {
  Plan Best;
  for (const RoomIndexes &Where : groupsFor(All, Suitable, For)) {
    Plan Here = planIn(All, Victims, Where, For);
    bool Better = !Here.m_Victims.empty() &&
                  (Best.m_Victims.empty() || Here.m_Cost < Best.m_Cost);
    if (Better)
      Best = std::move(Here);
  }
  return Best.m_Victims;
}

} // namespace fireflydrift::assignment
