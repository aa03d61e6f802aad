#include "placement/reclaim.h"

#include "placement/candidates.h"

#include <algorithm>
#include <functional>

namespace fireflydrift::placement::impl {

// ---- Reclaim for a guarantee -----------------------------------------------

namespace {

struct Victim {
  core::JobKey m_Job;
  std::int64_t m_LostWork = 0;
  core::Capacity m_Allocated;
};

} // namespace

// A stopped job that saves checkpoints is assumed to lose one part in this many
// of its work.
static constexpr std::int64_t CheckpointParts = 8;

// Accelerator-milliseconds of work on this target that are lost if the job is
// stopped now, raised for each earlier reclaim.
static std::int64_t lostWork(const JobAllocation &Value, core::Time Now) {
  std::int64_t Ran =
      std::max<std::int64_t>((Now - Value.m_StartedAt).count(), 0);
  std::int64_t Lost =
      Ran * std::max<std::int64_t>(Value.m_Capacity.m_Accelerators, 1);
  if (Value.m_Checkpoints)
    Lost /= CheckpointParts;
  // Each earlier reclaim raises the cost, so that a job that was stopped before
  // is spared.
  return Lost * (1 + Value.m_ReclaimCount);
}

// True when the job's gang fits into the guaranteed shape and into the part of
// its workspace's guarantees that is not in use yet.
static bool isCoveredBy(const workspace::Guarantee &Value, const job::Job &Job,
                        std::int64_t Used, std::int64_t Guaranteed) {
  const core::Shape &Asked = Job.spec().m_Shape;
  return Asked.m_Tasks <= Value.m_Shape.m_Tasks &&
         Value.m_Shape.m_PerTask.covers(Asked.m_PerTask) &&
         Used + Asked.total().m_Accelerators <= Guaranteed;
}

static const GuaranteeReservation *
guaranteeReservationFor(const View &Context, const job::Job &Job) {
  const core::WorkspaceId &Id = Job.key().m_Workspace;
  const workspace::Workspace *Owner = Context.m_Configuration->find(Id);
  if (!Owner)
    return nullptr;
  for (const workspace::Guarantee &Each : Owner->spec().m_Guarantees) {
    if (!isCoveredBy(Each, Job, Context.m_Fleet->used(Id),
                     Owner->guaranteedAccelerators()))
      continue;
    auto Found = Context.m_Reservations->m_ByGuarantee.find(
        {.m_Workspace = Id, .m_Name = Each.m_Name});
    if (Found != Context.m_Reservations->m_ByGuarantee.end())
      return &Found->second;
  }
  return nullptr;
}

// True when the job of this allocation may be stopped.
using VictimFilter = std::function<bool(const JobAllocation &)>;

// Adds jobs to stop on one target, least lost work first, until Needed is free
// there. Returns false and adds none when that does not suffice.
static bool addVictims(const TargetUsage &Value, const core::Capacity &Needed,
                       const VictimFilter &Allowed, core::Time Now,
                       std::set<core::JobKey> &Chosen) {
  core::Capacity Free = Value.free();
  std::vector<Victim> Eligible;
  for (const JobAllocation &Each : Value.m_Allocations) {
    if (Each.m_Stopping || Chosen.contains(Each.m_Job))
      Free = Free + Each.m_Capacity;
    else if (Each.m_Reclaimable && Allowed(Each))
      Eligible.push_back({.m_Job = Each.m_Job,
                          .m_LostWork = lostWork(Each, Now),
                          .m_Allocated = Each.m_Capacity});
  }
  std::sort(Eligible.begin(), Eligible.end(),
            [](const Victim &A, const Victim &B) {
              return A.m_LostWork < B.m_LostWork;
            });
  std::vector<core::JobKey> Added;
  for (const Victim &Each : Eligible) {
    if (Free.covers(Needed))
      break;
    Free = Free + Each.m_Allocated;
    Added.push_back(Each.m_Job);
  }
  if (!Free.covers(Needed))
    return false;
  Chosen.insert(Added.begin(), Added.end());
  return true;
}

bool planGuaranteeReclaim(const View &Context, const job::Job &Job,
                          core::Time Now, Decision &Result) {
  const GuaranteeReservation *Reservation =
      guaranteeReservationFor(Context, Job);
  if (!Reservation)
    return false;
  VictimFilter InOtherWorkspace = [&](const JobAllocation &Each) {
    return Each.m_Job.m_Workspace != Job.key().m_Workspace;
  };
  std::set<core::JobKey> Victims;
  std::vector<core::TargetId> Targets;
  std::uint32_t Remaining = Job.spec().m_Shape.m_Tasks;
  for (const auto &[Id, Tasks] : Reservation->m_Tasks) {
    if (Remaining == 0)
      break;
    const TargetUsage *Found = Context.m_Fleet->find(Id);
    std::uint32_t Count = std::min(Tasks, Remaining);
    bool Fits = Found && exclusionReason(Context, *Found, Job, Now).empty() &&
                addVictims(*Found, Job.spec().m_Shape.m_PerTask * Count,
                           InOtherWorkspace, Now, Victims);
    if (!Fits)
      continue;
    Targets.insert(Targets.end(), Count, Id);
    Remaining -= Count;
  }
  if (Remaining > 0)
    return false;
  Result.m_Verdict = Verdict::Reclaiming;
  Result.m_Targets = std::move(Targets);
  Result.m_Victims.assign(Victims.begin(), Victims.end());
  Result.m_Rule = "claims guarantee " + Reservation->m_Guarantee.m_Name;
  return true;
}

// ---- Reclaim of borrowed capacity ------------------------------------------

// A job within its quota waits this long before borrowers are stopped for it;
// an urgent job does not wait.
static constexpr core::Duration QuotaReclaimDelay{60000};

static bool mayReclaimQuota(const View &Context, const job::Job &Job,
                            core::Time Now) {
  const core::WorkspaceId &Id = Job.key().m_Workspace;
  const workspace::Workspace *Owner = Context.m_Configuration->find(Id);
  std::int64_t Requested = Job.spec().m_Shape.total().m_Accelerators;
  bool HasWaited =
      Job.isUrgent() || Now - Job.fields().m_AcceptedAt >= QuotaReclaimDelay;
  return Owner && HasWaited &&
         Owner->quotaStatus(Context.m_Fleet->used(Id), Requested) ==
             workspace::QuotaStatus::WithinQuota;
}

// True for jobs of workspaces that use more than their quota or are no longer
// configured.
static bool isBorrower(const View &Context, const JobAllocation &Each) {
  const core::WorkspaceId &Id = Each.m_Job.m_Workspace;
  const workspace::Workspace *Owner = Context.m_Configuration->find(Id);
  return !Owner || Owner->quotaStatus(Context.m_Fleet->used(Id), 0) !=
                       workspace::QuotaStatus::WithinQuota;
}

// Candidates as they would be once all allowed jobs were stopped. Unless
// UseFree is set, only the capacity of these jobs and of jobs already being
// stopped counts.
static Candidates findReclaimable(const View &Context, const job::Job &Job,
                                  core::Time Now, const VictimFilter &Allowed,
                                  bool UseFree) {
  const core::Shape &Shape = Job.spec().m_Shape;
  core::Time End = Now + Context.m_Estimates->runTime(Job.spec());
  std::map<core::TargetId, core::Capacity> Reserved =
      capacityReservedByOthers(Context, Job);
  Candidates Found;
  for (const auto &[Id, Value] : Context.m_Fleet->targets()) {
    if (!exclusionReason(Context, Value, Job, Now).empty() ||
        blockingReservation(Context, Id, Job, End))
      continue;
    core::Capacity Available = UseFree ? Value.free() : core::Capacity();
    for (const JobAllocation &Each : Value.m_Allocations)
      if (Each.m_Stopping || (Each.m_Reclaimable && Allowed(Each)))
        Available = Available + Each.m_Capacity;
    if (auto ReservedHere = Reserved.find(Id); ReservedHere != Reserved.end())
      Available = Available - ReservedHere->second;
    std::uint32_t Tasks =
        std::min(Available.count(Shape.m_PerTask), Shape.m_Tasks);
    if (Tasks > 0)
      Found.push_back(
          {.m_Usage = &Value, .m_Available = Available, .m_Tasks = Tasks});
  }
  return Found;
}

static bool isStoppingOn(const View &Context,
                         const std::vector<core::TargetId> &Targets) {
  return std::any_of(
      Targets.begin(), Targets.end(), [&](const core::TargetId &Id) {
        const auto &Allocations = Context.m_Fleet->find(Id)->m_Allocations;
        return std::any_of(
            Allocations.begin(), Allocations.end(),
            [](const JobAllocation &Each) { return Each.m_Stopping; });
      });
}

bool planQuotaReclaim(const View &Context, const job::Job &Job, core::Time Now,
                      bool HeldByReserve, Decision &Result) {
  bool ReserveIsFree = Context.m_Fleet->freeAccelerators() >=
                       Context.m_Configuration->limits().m_ShortReserve;
  if (!mayReclaimQuota(Context, Job, Now) || (HeldByReserve && !ReserveIsFree))
    return false;
  VictimFilter IsBorrowed = [&](const JobAllocation &Each) {
    return Each.m_Job.m_Workspace != Job.key().m_Workspace &&
           isBorrower(Context, Each);
  };
  const core::Shape &Shape = Job.spec().m_Shape;
  std::string UnusedRule;
  std::vector<core::TargetId> Chosen = chooseTargets(
      findReclaimable(Context, Job, Now, IsBorrowed, !HeldByReserve), Shape,
      UnusedRule);
  std::set<core::JobKey> Victims;
  for (const auto &[Id, Tasks] : tasksByTarget(Chosen))
    if (!addVictims(*Context.m_Fleet->find(Id), Shape.m_PerTask * Tasks,
                    IsBorrowed, Now, Victims))
      return false;
  // Nothing was chosen, or the chosen targets need no stops: then another rule
  // keeps the job off this capacity.
  if (Victims.empty() && !isStoppingOn(Context, Chosen))
    return false;
  Result.m_Verdict = Verdict::Reclaiming;
  Result.m_Targets = std::move(Chosen);
  Result.m_Victims.assign(Victims.begin(), Victims.end());
  Result.m_Rule = "takes back what others borrowed";
  return true;
}

} // namespace fireflydrift::placement::impl
