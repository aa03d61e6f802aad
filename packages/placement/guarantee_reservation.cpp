#include "placement/guarantee_reservation.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace fireflydrift::placement {

// Work that can't be stopped may stay on a witness only when this many times
// its expected run time fits into the guarantee's deadline.
static constexpr int EndMargin = 4;

bool endsWithin(core::Duration RunTime, core::Duration ReclaimWithin) noexcept {
  return RunTime * EndMargin <= ReclaimWithin;
}

core::Capacity reclaimable(const TargetUsage &Value,
                           const core::WorkspaceId &Owner,
                           core::Duration ReclaimWithin, core::Time Now) {
  core::Capacity Amount = Value.m_Target.announcement().m_Capacity;
  for (const JobAllocation &Each : Value.m_Allocations) {
    bool Fixed = Each.m_Job.m_Workspace != Owner && !Each.m_Reclaimable &&
                 Each.m_ExpectedEnd > Now + ReclaimWithin;
    if (Fixed)
      Amount = Amount - Each.m_Capacity;
  }
  return Amount;
}

namespace {

using Claims = std::map<core::TargetId, core::Capacity>;

struct Need {
  GuaranteeKey m_Key;
  const workspace::Guarantee *m_Guarantee = nullptr;
};

// How often the shape's task fits on one target.
struct Room {
  const TargetUsage *m_Slot = nullptr;
  std::uint32_t m_Tasks = 0;
  // Place among the rooms, to choose the same ones each time.
  std::size_t m_Order = 0;
};

} // namespace

static void addClaims(Claims &All, const GuaranteeReservation &Value) {
  for (const auto &[Id, Tasks] : Value.m_Tasks)
    All[Id] = All[Id] + Value.m_PerTask * Tasks;
}

static core::Capacity reclaimable(const TargetUsage &Value, const Need &For,
                                  core::Time Now) {
  return reclaimable(Value, For.m_Key.m_Workspace,
                     For.m_Guarantee->m_ReclaimWithin, Now);
}

static core::Capacity roomOn(const TargetUsage &Value, const Need &For,
                             const Claims &Taken, core::Time Now) {
  core::Capacity Amount = reclaimable(Value, For, Now);
  auto Claimed = Taken.find(Value.m_Target.id());
  return Claimed == Taken.end() ? Amount : Amount - Claimed->second;
}

static bool stillHolds(const GuaranteeReservation &Value, const Need &For,
                       const Fleet &All, const Claims &Taken, core::Time Now) {
  std::uint32_t Total = 0;
  for (const auto &[Id, Tasks] : Value.m_Tasks) {
    const TargetUsage *Found = All.find(Id);
    bool Holds =
        Found && Found->m_Target.isSchedulable(Now) &&
        For.m_Guarantee->m_Selector.matches(
            Found->m_Target.announcement().m_Labels) &&
        roomOn(*Found, For, Taken, Now).covers(Value.m_PerTask * Tasks);
    if (!Holds)
      return false;
    Total += Tasks;
  }
  return Total == For.m_Guarantee->m_Shape.m_Tasks &&
         Value.m_PerTask == For.m_Guarantee->m_Shape.m_PerTask;
}

// Takes tasks from the fullest rooms first, so that few targets are used.
static std::map<core::TargetId, std::uint32_t> take(std::vector<Room> Rooms,
                                                    std::uint32_t Tasks) {
  // No more rooms than tasks are ever taken.
  auto Enough = Rooms.begin() + static_cast<std::ptrdiff_t>(
                                    std::min<std::size_t>(Rooms.size(), Tasks));
  std::partial_sort(
      Rooms.begin(), Enough, Rooms.end(), [](const Room &A, const Room &B) {
        return std::tie(B.m_Tasks, A.m_Order) < std::tie(A.m_Tasks, B.m_Order);
      });
  std::map<core::TargetId, std::uint32_t> Taken;
  for (const Room &Each : Rooms) {
    std::uint32_t Here = std::min(Each.m_Tasks, Tasks);
    if (Here == 0)
      break;
    Taken[Each.m_Slot->m_Target.id()] = Here;
    Tasks -= Here;
  }
  if (Tasks > 0)
    Taken.clear();
  return Taken;
}

static std::uint32_t totalTasks(const std::vector<Room> &Rooms) {
  std::uint64_t Total = 0;
  for (const Room &Each : Rooms)
    Total += Each.m_Tasks;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Total, core::MaxGangTasks));
}

// Every target that could hold a task of the shape.
static std::vector<Room> findRooms(const Need &For, const Fleet &All,
                                   const Claims &Taken, core::Time Now) {
  const workspace::Guarantee &Wanted = *For.m_Guarantee;
  std::vector<Room> Rooms;
  // Both tables are in the order of ids, so they are walked side by side.
  auto Claimed = Taken.begin();
  for (const auto &[Id, Value] : All.targets()) {
    while (Claimed != Taken.end() && Claimed->first < Id)
      ++Claimed;
    const target::Announcement &Said = Value.m_Target.announcement();
    if (!Value.m_Target.isSchedulable(Now) ||
        !Wanted.m_Selector.matches(Said.m_Labels))
      continue;
    core::Capacity Amount = reclaimable(Value, For, Now);
    if (Claimed != Taken.end() && Claimed->first == Id)
      Amount = Amount - Claimed->second;
    std::uint32_t Tasks = Amount.count(Wanted.m_Shape.m_PerTask);
    if (Tasks > 0)
      Rooms.push_back({.m_Slot = &Value,
                       .m_Tasks = std::min(Tasks, core::MaxGangTasks),
                       .m_Order = Rooms.size()});
  }
  return Rooms;
}

// The rooms of the rack that holds the shape on fewest targets; empty if no
// rack does.
static std::vector<Room> bestRack(const std::vector<Room> &Rooms,
                                  std::uint32_t Tasks) {
  std::map<std::string_view, std::vector<Room>> Racks;
  for (const Room &Each : Rooms)
    Racks[Each.m_Slot->m_Target.announcement().m_Rack].push_back(Each);
  const std::vector<Room> *Best = nullptr;
  for (const auto &[Rack, Here] : Racks)
    if (totalTasks(Here) >= Tasks && (!Best || Here.size() < Best->size()))
      Best = &Here;
  return Best ? *Best : std::vector<Room>();
}

static std::map<core::TargetId, std::uint32_t> findPlace(const Need &For,
                                                         const Fleet &All,
                                                         const Claims &Taken,
                                                         core::Time Now) {
  const core::Shape &Shape = For.m_Guarantee->m_Shape;
  std::vector<Room> Rooms = findRooms(For, All, Taken, Now);
  if (Shape.m_Adjacency == core::Adjacency::None)
    return take(std::move(Rooms), Shape.m_Tasks);
  std::vector<Room> Rack = bestRack(Rooms, Shape.m_Tasks);
  if (!Rack.empty())
    return take(std::move(Rack), Shape.m_Tasks);
  if (Shape.m_Adjacency == core::Adjacency::Required)
    return {};
  return take(std::move(Rooms), Shape.m_Tasks);
}

static std::vector<Need>
needsBySize(const configuration::Configuration &Current) {
  std::vector<Need> Needs;
  for (const auto &[Id, Value] : Current.workspaces())
    for (const workspace::Guarantee &Each : Value.spec().m_Guarantees)
      Needs.push_back({.m_Key = {.m_Workspace = Id, .m_Name = Each.m_Name},
                       .m_Guarantee = &Each});
  auto Size = [](const Need &Value) {
    const core::Shape &Shape = Value.m_Guarantee->m_Shape;
    return std::pair(Shape.m_Adjacency, Shape.total().m_Accelerators);
  };
  std::stable_sort(
      Needs.begin(), Needs.end(),
      [&](const Need &A, const Need &B) { return Size(A) > Size(B); });
  return Needs;
}

GuaranteeReservations
reserveGuarantees(const Fleet &Value,
                  const configuration::Configuration &Current,
                  const GuaranteeReservations &Previous, core::Time Now) {
  GuaranteeReservations Next;
  Claims Taken;
  std::vector<Need> Open;
  std::vector<Need> Needs = needsBySize(Current);
  for (const Need &Each : Needs) {
    auto Old = Previous.m_ByGuarantee.find(Each.m_Key);
    if (Old == Previous.m_ByGuarantee.end() ||
        !stillHolds(Old->second, Each, Value, Taken, Now)) {
      Open.push_back(Each);
      continue;
    }
    GuaranteeReservation Kept = Old->second;
    Kept.m_ReclaimWithin = Each.m_Guarantee->m_ReclaimWithin;
    addClaims(Taken, Kept);
    Next.m_ByGuarantee.emplace(Each.m_Key, std::move(Kept));
  }
  for (const Need &Each : Open) {
    GuaranteeReservation Found{.m_Guarantee = Each.m_Key,
                               .m_Tasks = findPlace(Each, Value, Taken, Now),
                               .m_PerTask = Each.m_Guarantee->m_Shape.m_PerTask,
                               .m_ReclaimWithin =
                                   Each.m_Guarantee->m_ReclaimWithin};
    if (Found.m_Tasks.empty()) {
      Next.m_Unsatisfied.push_back(Each.m_Key);
      continue;
    }
    addClaims(Taken, Found);
    Next.m_ByGuarantee.emplace(Each.m_Key, std::move(Found));
  }
  // Kept witnesses may stand in the way of a shape that fits otherwise.
  if (!Next.m_Unsatisfied.empty() && !Previous.m_ByGuarantee.empty()) {
    GuaranteeReservations Fresh = reserveGuarantees(Value, Current, {}, Now);
    if (Fresh.m_Unsatisfied.size() < Next.m_Unsatisfied.size())
      return Fresh;
  }
  return Next;
}

std::map<core::TargetId, core::Capacity>
claimsAgainst(const GuaranteeReservations &Value,
              const core::WorkspaceId &Owner, core::Duration RunTime) {
  Claims Against;
  for (const auto &[Key, Each] : Value.m_ByGuarantee)
    if (Key.m_Workspace != Owner && !endsWithin(RunTime, Each.m_ReclaimWithin))
      addClaims(Against, Each);
  return Against;
}

} // namespace fireflydrift::placement
