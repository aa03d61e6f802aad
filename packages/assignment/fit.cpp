#include "assignment/fit.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>

namespace fireflydrift::assignment {

core::Capacity freeNow(const TargetInfo &Value) { return Value.m_Free; }
core::Capacity freeSoon(const TargetInfo &Value) {
  return Value.m_Free + Value.m_Releasing;
}
core::Capacity freeWhenEmpty(const TargetInfo &Value) { return Value.m_Total; }

std::uint32_t countFits(const core::Capacity &Available,
                        const workflow::StepSpec &Step) noexcept {
  std::uint32_t Fits = Available.count(Step.m_PerTask);
  return Step.m_MaxPerTarget == 0 ? Fits : std::min(Fits, Step.m_MaxPerTarget);
}

RoomIndexes suitableRooms(const std::vector<TargetInfo> &All,
                          const PendingStep &For) {
  const workflow::StepSpec &Step = For.spec();
  RoomIndexes Found;
  for (std::size_t I = 0; I < All.size(); ++I) {
    const TargetInfo &Each = All[I];
    bool Labelled = Step.m_RequiredLabel.empty() ||
                    std::find(Each.m_Labels.begin(), Each.m_Labels.end(),
                              Step.m_RequiredLabel) != Each.m_Labels.end();
    if (Each.m_Pool == For.terms().m_Pool && Labelled)
      Found.push_back(I);
  }
  return Found;
}

namespace {

// One room with what can be put there.
struct Place {
  std::size_t m_Room = 0;
  std::uint32_t m_Tasks = 0;
  // Used after all others.
  bool m_Avoid = false;
  bool m_FarFromData = false;
  std::int64_t m_FreeAccelerators = 0;
  std::int64_t m_FreeMemory = 0;

  // Sound rooms near the data first, then the fullest, so that whole targets
  // stay free.
  friend bool operator<(const Place &A, const Place &B) {
    auto Key = [](const Place &Value) {
      return std::tie(Value.m_Avoid, Value.m_FarFromData,
                      Value.m_FreeAccelerators, Value.m_FreeMemory);
    };
    return Key(A) < Key(B);
  }
};

using Places = std::vector<Place>;

} // namespace

// Tasks of the same step that run in the room already, up to the limit. What is
// being stopped counts until its end is known.
static std::uint32_t presentIn(const TargetInfo &Value,
                               const PendingStep &For) {
  auto Same = [&](const workflow::TaskKey &Each) {
    return Each.m_Workflow == For.m_Workflow->id() && Each.m_Step == For.m_Step;
  };
  auto Present =
      std::count_if(
          Value.m_Allocations.begin(), Value.m_Allocations.end(),
          [&](const TaskAllocation &Each) { return Same(Each.m_Task); }) +
      std::count_if(Value.m_Stopping.begin(), Value.m_Stopping.end(), Same);
  return std::min(static_cast<std::uint32_t>(Present),
                  For.spec().m_MaxPerTarget);
}

static Places placesIn(const std::vector<TargetInfo> &All,
                       const RoomIndexes &Suitable, const PendingStep &For,
                       Available Capacity) {
  const workflow::StepSpec &Step = For.spec();
  Places Found;
  for (std::size_t Index : Suitable) {
    const TargetInfo &Each = All[Index];
    core::Capacity Free = Capacity(Each);
    std::uint32_t Tasks = countFits(Free, Step);
    if (Step.m_MaxPerTarget > 0)
      Tasks = std::min(Tasks, Step.m_MaxPerTarget - presentIn(Each, For));
    if (Tasks == 0)
      continue;
    Found.push_back({.m_Room = Index,
                     .m_Tasks = Tasks,
                     .m_Avoid = Each.m_Suspect || For.m_FailedOn.contains(
                                                      Each.m_Instance.m_Target),
                     .m_FarFromData = !Step.m_DataRack.empty() &&
                                      Step.m_DataRack != Each.m_Rack,
                     .m_FreeAccelerators = Free.m_Accelerators,
                     .m_FreeMemory = Free.m_MemoryMb});
  }
  return Found;
}

static std::uint64_t tasksIn(const Places &Found) {
  return std::accumulate(
      Found.begin(), Found.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const Place &Each) { return Sum + Each.m_Tasks; });
}

// The first rooms in order of preference, until every task has one.
static RoomIndexes take(Places Found, std::size_t Tasks) {
  std::stable_sort(Found.begin(), Found.end());
  RoomIndexes Chosen;
  for (const Place &Each : Found)
    for (std::uint32_t I = 0; I < Each.m_Tasks && Chosen.size() < Tasks; ++I)
      Chosen.push_back(Each.m_Room);
  return Chosen.size() == Tasks ? Chosen : RoomIndexes();
}

static std::map<std::string, Places> byRack(const std::vector<TargetInfo> &All,
                                            const Places &Found) {
  std::map<std::string, Places> Racks;
  for (const Place &Each : Found)
    Racks[All[Each.m_Room].m_Rack].push_back(Each);
  return Racks;
}

// The rack that holds the gang: without rooms to avoid if possible, near the
// data if possible, then with least left over.
static RoomIndexes takeOneRack(const std::vector<TargetInfo> &All,
                               const Places &Found, std::size_t Tasks) {
  RoomIndexes Best;
  auto BestKey =
      std::tuple(true, true, std::numeric_limits<std::int64_t>::max());
  for (const auto &[Rack, Inside] : byRack(All, Found)) {
    if (tasksIn(Inside) < Tasks)
      continue;
    RoomIndexes Chosen = take(Inside, Tasks);
    bool Avoid = false;
    bool Far = false;
    std::int64_t Free = 0;
    for (const Place &Each : Inside) {
      bool Used =
          std::find(Chosen.begin(), Chosen.end(), Each.m_Room) != Chosen.end();
      Avoid = Avoid || (Used && Each.m_Avoid);
      Far = Far || Each.m_FarFromData;
      Free += Each.m_FreeAccelerators;
    }
    auto Key = std::tuple(Avoid, Far, Free);
    if (Best.empty() || Key < BestKey) {
      Best = std::move(Chosen);
      BestKey = Key;
    }
  }
  return Best;
}

bool needsOneRack(const std::vector<TargetInfo> &All,
                  const RoomIndexes &Suitable, const PendingStep &For) {
  const workflow::StepSpec &Step = For.spec();
  if (!Step.m_Gang || !Step.m_RackAffinity || For.m_Spread)
    return false;
  Places Empty = placesIn(All, Suitable, For, freeWhenEmpty);
  std::map<std::string, Places> Racks = byRack(All, Empty);
  return std::any_of(Racks.begin(), Racks.end(), [&](const auto &Each) {
    return tasksIn(Each.second) >= Step.m_Tasks;
  });
}

RoomIndexes fitGang(const std::vector<TargetInfo> &All,
                    const RoomIndexes &Suitable, const PendingStep &For,
                    Available Capacity) {
  Places Found = placesIn(All, Suitable, For, Capacity);
  std::size_t Tasks = For.spec().m_Tasks;
  if (tasksIn(Found) < Tasks)
    return {};
  if (needsOneRack(All, Suitable, For))
    return takeOneRack(All, Found, Tasks);
  return take(std::move(Found), Tasks);
}

RoomIndexes fitSingles(const std::vector<TargetInfo> &All,
                       const RoomIndexes &Suitable, const PendingStep &For,
                       Available Capacity) {
  Places Found = placesIn(All, Suitable, For, Capacity);
  std::size_t Fits =
      std::min<std::uint64_t>(tasksIn(Found), For.m_Waiting.size());
  return take(std::move(Found), Fits);
}

RoomIndexes fit(const std::vector<TargetInfo> &All, const RoomIndexes &Suitable,
                const PendingStep &For, Available Capacity) {
  return For.spec().m_Gang ? fitGang(All, Suitable, For, Capacity)
                           : fitSingles(All, Suitable, For, Capacity);
}

std::vector<RoomIndexes> groupsFor(const std::vector<TargetInfo> &All,
                                   const RoomIndexes &Suitable,
                                   const PendingStep &For) {
  if (!needsOneRack(All, Suitable, For))
    return {Suitable};
  std::map<std::string, RoomIndexes> Racks;
  for (std::size_t Index : Suitable)
    Racks[All[Index].m_Rack].push_back(Index);
  std::vector<RoomIndexes> Groups;
  Groups.reserve(Racks.size());
  for (auto &[Rack, Rooms] : Racks)
    Groups.push_back(std::move(Rooms));
  return Groups;
}

} // namespace fireflydrift::assignment
