#include "placement/guarantee_reservation.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace fireflydrift::placement {

// A job that can't be stopped may use reserved capacity only when this many
// times its expected run time fits into the reclaim time of the guarantee.
static constexpr int ReclaimTimeMargin = 4;

bool finishesBeforeReclaim(core::Duration RunTime,
                           core::Duration ReclaimWithin) noexcept {
  return RunTime * ReclaimTimeMargin <= ReclaimWithin;
}

core::Capacity reclaimable(const TargetUsage &Value,
                           const core::WorkspaceId &Owner,
                           core::Duration ReclaimWithin, core::Time Now) {
  core::Capacity Amount = Value.m_Target.announcement().m_Capacity;
  for (const JobAllocation &Each : Value.m_Allocations) {
    bool OutlastsReclaim = Each.m_Job.m_Workspace != Owner &&
                           !Each.m_Reclaimable &&
                           Each.m_ExpectedEnd > Now + ReclaimWithin;
    if (OutlastsReclaim)
      Amount = Amount - Each.m_Capacity;
  }
  return Amount;
}

namespace {

using ReservedCapacity = std::map<core::TargetId, core::Capacity>;

struct ReservationRequest {
  GuaranteeKey m_Key;
  const workspace::Guarantee *m_Guarantee = nullptr;
};

// A target and the number of tasks of the shape that fit on it.
struct Candidate {
  const TargetUsage *m_Usage = nullptr;
  std::uint32_t m_Tasks = 0;
  // Index in the list of candidates; breaks ties deterministically.
  std::size_t m_Index = 0;
};

} // namespace

static void addReserved(ReservedCapacity &Total,
                        const GuaranteeReservation &Value) {
  for (const auto &[Id, Tasks] : Value.m_Tasks)
    Total[Id] = Total[Id] + Value.m_PerTask * Tasks;
}

static core::Capacity reclaimable(const TargetUsage &Value,
                                  const ReservationRequest &Request,
                                  core::Time Now) {
  return reclaimable(Value, Request.m_Key.m_Workspace,
                     Request.m_Guarantee->m_ReclaimWithin, Now);
}

static core::Capacity availableOn(const TargetUsage &Value,
                                  const ReservationRequest &Request,
                                  const ReservedCapacity &Reserved,
                                  core::Time Now) {
  core::Capacity Amount = reclaimable(Value, Request, Now);
  auto ReservedHere = Reserved.find(Value.m_Target.id());
  return ReservedHere == Reserved.end() ? Amount
                                        : Amount - ReservedHere->second;
}

static bool isStillValid(const GuaranteeReservation &Value,
                         const ReservationRequest &Request,
                         const Fleet &CurrentFleet,
                         const ReservedCapacity &Reserved, core::Time Now) {
  std::uint32_t Total = 0;
  for (const auto &[Id, Tasks] : Value.m_Tasks) {
    const TargetUsage *Found = CurrentFleet.find(Id);
    bool IsValid = Found && Found->isSchedulable(Now) &&
                   Request.m_Guarantee->m_Selector.matches(
                       Found->m_Target.announcement().m_Labels) &&
                   availableOn(*Found, Request, Reserved, Now)
                       .covers(Value.m_PerTask * Tasks);
    if (!IsValid)
      return false;
    Total += Tasks;
  }
  return Total == Request.m_Guarantee->m_Shape.m_Tasks &&
         Value.m_PerTask == Request.m_Guarantee->m_Shape.m_PerTask;
}

// Targets that fit the most tasks first, so that few targets are used.
static std::map<core::TargetId, std::uint32_t>
selectTargets(std::vector<Candidate> Candidates, std::uint32_t Tasks) {
  // At most one target for each task is needed.
  auto Needed =
      Candidates.begin() + static_cast<std::ptrdiff_t>(
                               std::min<std::size_t>(Candidates.size(), Tasks));
  std::partial_sort(Candidates.begin(), Needed, Candidates.end(),
                    [](const Candidate &A, const Candidate &B) {
                      return std::tie(B.m_Tasks, A.m_Index) <
                             std::tie(A.m_Tasks, B.m_Index);
                    });
  std::map<core::TargetId, std::uint32_t> Selected;
  for (const Candidate &Each : Candidates) {
    std::uint32_t Here = std::min(Each.m_Tasks, Tasks);
    if (Here == 0)
      break;
    Selected[Each.m_Usage->m_Target.id()] = Here;
    Tasks -= Here;
  }
  if (Tasks > 0)
    Selected.clear();
  return Selected;
}

static std::uint32_t totalTasks(const std::vector<Candidate> &Candidates) {
  std::uint64_t Total = 0;
  for (const Candidate &Each : Candidates)
    Total += Each.m_Tasks;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Total, core::MaxGangTasks));
}

// All targets that could hold a task of the shape.
static std::vector<Candidate> findCandidates(const ReservationRequest &Request,
                                             const Fleet &CurrentFleet,
                                             const ReservedCapacity &Reserved,
                                             core::Time Now) {
  const workspace::Guarantee &Guarantee = *Request.m_Guarantee;
  std::vector<Candidate> Candidates;
  // Both maps are sorted by target id, so they are traversed in parallel.
  auto ReservedHere = Reserved.begin();
  for (const auto &[Id, Value] : CurrentFleet.targets()) {
    while (ReservedHere != Reserved.end() && ReservedHere->first < Id)
      ++ReservedHere;
    const target::Announcement &Announced = Value.m_Target.announcement();
    if (!Value.isSchedulable(Now) ||
        !Guarantee.m_Selector.matches(Announced.m_Labels))
      continue;
    core::Capacity Amount = reclaimable(Value, Request, Now);
    if (ReservedHere != Reserved.end() && ReservedHere->first == Id)
      Amount = Amount - ReservedHere->second;
    std::uint32_t Tasks = Amount.count(Guarantee.m_Shape.m_PerTask);
    if (Tasks > 0)
      Candidates.push_back({.m_Usage = &Value,
                            .m_Tasks = std::min(Tasks, core::MaxGangTasks),
                            .m_Index = Candidates.size()});
  }
  return Candidates;
}

// The candidates of the rack that fits the shape and has the fewest candidates;
// empty if no rack fits it.
static std::vector<Candidate> bestRack(const std::vector<Candidate> &Candidates,
                                       std::uint32_t Tasks) {
  std::map<std::string_view, std::vector<Candidate>> Racks;
  for (const Candidate &Each : Candidates)
    Racks[Each.m_Usage->m_Target.announcement().m_Rack].push_back(Each);
  const std::vector<Candidate> *Best = nullptr;
  for (const auto &[Rack, Here] : Racks)
    if (totalTasks(Here) >= Tasks && (!Best || Here.size() < Best->size()))
      Best = &Here;
  return Best ? *Best : std::vector<Candidate>();
}

static std::map<core::TargetId, std::uint32_t>
findTargets(const ReservationRequest &Request, const Fleet &CurrentFleet,
            const ReservedCapacity &Reserved, core::Time Now) {
  const core::Shape &Shape = Request.m_Guarantee->m_Shape;
  std::vector<Candidate> Candidates =
      findCandidates(Request, CurrentFleet, Reserved, Now);
  if (Shape.m_Adjacency == core::Adjacency::None)
    return selectTargets(std::move(Candidates), Shape.m_Tasks);
  std::vector<Candidate> Rack = bestRack(Candidates, Shape.m_Tasks);
  if (!Rack.empty())
    return selectTargets(std::move(Rack), Shape.m_Tasks);
  if (Shape.m_Adjacency == core::Adjacency::Required)
    return {};
  return selectTargets(std::move(Candidates), Shape.m_Tasks);
}

static std::vector<ReservationRequest>
requestsBySize(const configuration::Configuration &Current) {
  std::vector<ReservationRequest> Requests;
  for (const auto &[Id, Value] : Current.workspaces())
    for (const workspace::Guarantee &Each : Value.spec().m_Guarantees)
      Requests.push_back({.m_Key = {.m_Workspace = Id, .m_Name = Each.m_Name},
                          .m_Guarantee = &Each});
  auto Size = [](const ReservationRequest &Value) {
    const core::Shape &Shape = Value.m_Guarantee->m_Shape;
    return std::pair(Shape.m_Adjacency, Shape.total().m_Accelerators);
  };
  std::stable_sort(
      Requests.begin(), Requests.end(),
      [&](const ReservationRequest &A, const ReservationRequest &B) {
        return Size(A) > Size(B);
      });
  return Requests;
}

GuaranteeReservations
reserveGuarantees(const Fleet &Value,
                  const configuration::Configuration &Current,
                  const GuaranteeReservations &Previous, core::Time Now) {
  GuaranteeReservations Next;
  ReservedCapacity Reserved;
  std::vector<ReservationRequest> Pending;
  std::vector<ReservationRequest> Requests = requestsBySize(Current);
  for (const ReservationRequest &Each : Requests) {
    auto Old = Previous.m_ByGuarantee.find(Each.m_Key);
    if (Old == Previous.m_ByGuarantee.end() ||
        !isStillValid(Old->second, Each, Value, Reserved, Now)) {
      Pending.push_back(Each);
      continue;
    }
    GuaranteeReservation Kept = Old->second;
    Kept.m_ReclaimWithin = Each.m_Guarantee->m_ReclaimWithin;
    addReserved(Reserved, Kept);
    Next.m_ByGuarantee.emplace(Each.m_Key, std::move(Kept));
  }
  for (const ReservationRequest &Each : Pending) {
    GuaranteeReservation Found{
        .m_Guarantee = Each.m_Key,
        .m_Tasks = findTargets(Each, Value, Reserved, Now),
        .m_PerTask = Each.m_Guarantee->m_Shape.m_PerTask,
        .m_ReclaimWithin = Each.m_Guarantee->m_ReclaimWithin};
    if (Found.m_Tasks.empty()) {
      Next.m_Unsatisfied.push_back(Each.m_Key);
      continue;
    }
    addReserved(Reserved, Found);
    Next.m_ByGuarantee.emplace(Each.m_Key, std::move(Found));
  }
  // Kept reservations may block a shape that would fit without them.
  if (!Next.m_Unsatisfied.empty() && !Previous.m_ByGuarantee.empty()) {
    GuaranteeReservations Fresh = reserveGuarantees(Value, Current, {}, Now);
    if (Fresh.m_Unsatisfied.size() < Next.m_Unsatisfied.size())
      return Fresh;
  }
  return Next;
}

std::map<core::TargetId, core::Capacity>
reservedAgainst(const GuaranteeReservations &Value,
                const core::WorkspaceId &Owner, core::Duration RunTime) {
  ReservedCapacity Reserved;
  for (const auto &[Key, Each] : Value.m_ByGuarantee)
    if (Key.m_Workspace != Owner &&
        !finishesBeforeReclaim(RunTime, Each.m_ReclaimWithin))
      addReserved(Reserved, Each);
  return Reserved;
}

} // namespace fireflydrift::placement
