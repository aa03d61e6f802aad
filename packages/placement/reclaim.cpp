#include "placement/reclaim.h"

#include "placement/candidates.h"

#include <algorithm>
#include <functional>

namespace fireflydrift::placement::impl {

// ---- Claiming a guarantee --------------------------------------------------

namespace {

struct Victim {
  core::JobKey m_Job;
  std::int64_t m_LostWork = 0;
  core::Capacity m_Here;
};

} // namespace

// A checkpoint loses this part of the work, the other parts are saved.
static constexpr std::int64_t CheckpointParts = 8;

// Accelerator milliseconds that are lost when the occupant is stopped now.
static std::int64_t lostWork(const JobAllocation &Value, core::Time Now) {
  std::int64_t Ran =
      std::max<std::int64_t>((Now - Value.m_StartedAt).count(), 0);
  std::int64_t Lost =
      Ran * std::max<std::int64_t>(Value.m_Capacity.m_Accelerators, 1);
  // A job that was stopped before is spared.
  if (Value.m_Checkpoints)
    Lost /= CheckpointParts;
  return Lost * (1 + Value.m_Reclaims);
}

// True when the job's gang fits into the guaranteed shape, and into what the
// workspace does not use of its guarantees yet.
static bool isClaimOn(const workspace::Guarantee &Value, const job::Job &For,
                      std::int64_t Used, std::int64_t Guaranteed) {
  const core::Shape &Asked = For.spec().m_Shape;
  return Asked.m_Tasks <= Value.m_Shape.m_Tasks &&
         Value.m_Shape.m_PerTask.covers(Asked.m_PerTask) &&
         Used + Asked.total().m_Accelerators <= Guaranteed;
}

static const GuaranteeReservation *witnessFor(const View &All,
                                              const job::Job &For) {
  const core::WorkspaceId &Id = For.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  if (!Owner)
    return nullptr;
  for (const workspace::Guarantee &Each : Owner->spec().m_Guarantees) {
    if (!isClaimOn(Each, For, All.m_Fleet->used(Id),
                   Owner->guaranteedAccelerators()))
      continue;
    auto Found = All.m_Reservations->m_ByGuarantee.find(
        {.m_Workspace = Id, .m_Name = Each.m_Name});
    if (Found != All.m_Reservations->m_ByGuarantee.end())
      return &Found->second;
  }
  return nullptr;
}

// Whether an occupant may be stopped for the job.
using MayStop = std::function<bool(const JobAllocation &)>;

// Jobs to stop on one target until Needed is free there.
static bool addVictims(const TargetUsage &Value, const core::Capacity &Needed,
                       const MayStop &Allowed, core::Time Now,
                       std::set<core::JobKey> &Chosen) {
  core::Capacity Free = Value.free();
  std::vector<Victim> Open;
  for (const JobAllocation &Each : Value.m_Allocations) {
    if (Each.m_Stopping || Chosen.contains(Each.m_Job))
      Free = Free + Each.m_Capacity;
    else if (Each.m_Reclaimable && Allowed(Each))
      Open.push_back({.m_Job = Each.m_Job,
                      .m_LostWork = lostWork(Each, Now),
                      .m_Here = Each.m_Capacity});
  }
  std::sort(Open.begin(), Open.end(), [](const Victim &A, const Victim &B) {
    return A.m_LostWork < B.m_LostWork;
  });
  for (const Victim &Each : Open) {
    if (Free.covers(Needed))
      break;
    Free = Free + Each.m_Here;
    Chosen.insert(Each.m_Job);
  }
  return Free.covers(Needed);
}

bool planReclaim(const View &All, const job::Job &For, core::Time Now,
                 Decision &Said) {
  const GuaranteeReservation *Plan = witnessFor(All, For);
  if (!Plan)
    return false;
  MayStop Foreign = [&](const JobAllocation &Each) {
    return Each.m_Job.m_Workspace != For.key().m_Workspace;
  };
  std::set<core::JobKey> Victims;
  std::vector<core::TargetId> Targets;
  std::uint32_t Open = For.spec().m_Shape.m_Tasks;
  for (const auto &[Id, Tasks] : Plan->m_Tasks) {
    if (Open == 0)
      break;
    const TargetUsage *Found = All.m_Fleet->find(Id);
    std::uint32_t Here = std::min(Tasks, Open);
    bool Fits = Found && unmetRule(All, *Found, For, Now).empty() &&
                addVictims(*Found, For.spec().m_Shape.m_PerTask * Here, Foreign,
                           Now, Victims);
    if (!Fits)
      continue;
    Targets.insert(Targets.end(), Here, Id);
    Open -= Here;
  }
  if (Open > 0)
    return false;
  Said.m_Verdict = Verdict::Reclaiming;
  Said.m_Targets = std::move(Targets);
  Said.m_Victims.assign(Victims.begin(), Victims.end());
  Said.m_Rule = "claims guarantee " + Plan->m_Guarantee.m_Name;
  return true;
}

// ---- Taking back what was borrowed -----------------------------------------

// Work within its quota waits this long before borrowers are stopped for it;
// urgent work does not wait.
static constexpr core::Duration ReclaimPatience{60000};

static bool mayTakeBack(const View &All, const job::Job &For, core::Time Now) {
  const core::WorkspaceId &Id = For.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  std::int64_t More = For.spec().m_Shape.total().m_Accelerators;
  bool Patient =
      For.isUrgent() || Now - For.fields().m_AcceptedAt >= ReclaimPatience;
  return Owner && Patient &&
         Owner->quotaStatus(All.m_Fleet->used(Id), More) ==
             workspace::QuotaStatus::WithinQuota;
}

// True for work of workspaces that use more than their quota.
static bool isBorrower(const View &All, const JobAllocation &Each) {
  const core::WorkspaceId &Id = Each.m_Job.m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  return !Owner || Owner->quotaStatus(All.m_Fleet->used(Id), 0) !=
                       workspace::QuotaStatus::WithinQuota;
}

// Targets as they would be once the allowed occupants were stopped. Without
// UseFree only what the stops give back counts.
static Candidates findReclaimable(const View &All, const job::Job &For,
                                  core::Time Now, const MayStop &Allowed,
                                  bool UseFree) {
  const core::Shape &Shape = For.spec().m_Shape;
  core::Time End = Now + All.m_Estimates->runTime(For.spec());
  std::map<core::TargetId, core::Capacity> Claims = claimsOfOthers(All, For);
  Candidates Found;
  for (const auto &[Id, Value] : All.m_Fleet->targets()) {
    if (!unmetRule(All, Value, For, Now).empty() ||
        heldAgainst(All, Id, For, End))
      continue;
    core::Capacity Available = UseFree ? Value.free() : core::Capacity();
    for (const JobAllocation &Each : Value.m_Allocations)
      if (Each.m_Stopping || (Each.m_Reclaimable && Allowed(Each)))
        Available = Available + Each.m_Capacity;
    if (auto Claimed = Claims.find(Id); Claimed != Claims.end())
      Available = Available - Claimed->second;
    std::uint32_t Tasks =
        std::min(Available.count(Shape.m_PerTask), Shape.m_Tasks);
    if (Tasks > 0)
      Found.push_back(
          {.m_Slot = &Value, .m_Available = Available, .m_Tasks = Tasks});
  }
  return Found;
}

static bool isStoppingOn(const View &All,
                         const std::vector<core::TargetId> &Targets) {
  return std::any_of(
      Targets.begin(), Targets.end(), [&](const core::TargetId &Id) {
        const auto &Occupants = All.m_Fleet->find(Id)->m_Allocations;
        return std::any_of(
            Occupants.begin(), Occupants.end(),
            [](const JobAllocation &Each) { return Each.m_Stopping; });
      });
}

bool planTakeBack(const View &All, const job::Job &For, core::Time Now,
                  bool HeldByReserve, Decision &Said) {
  bool ReserveIsFree = All.m_Fleet->freeAccelerators() >=
                       All.m_Configuration->limits().m_ShortReserve;
  if (!mayTakeBack(All, For, Now) || (HeldByReserve && !ReserveIsFree))
    return false;
  MayStop Borrowed = [&](const JobAllocation &Each) {
    return Each.m_Job.m_Workspace != For.key().m_Workspace &&
           isBorrower(All, Each);
  };
  const core::Shape &Shape = For.spec().m_Shape;
  std::string Ignored;
  std::vector<core::TargetId> Chosen = chooseTargets(
      findReclaimable(All, For, Now, Borrowed, !HeldByReserve), Shape, Ignored);
  std::set<core::JobKey> Victims;
  for (const auto &[Id, Tasks] : tasksByTarget(Chosen))
    if (!addVictims(*All.m_Fleet->find(Id), Shape.m_PerTask * Tasks, Borrowed,
                    Now, Victims))
      return false;
  // Room that needs no stop is kept from the job by another rule.
  if (Victims.empty() && !isStoppingOn(All, Chosen))
    return false;
  Said.m_Verdict = Verdict::Reclaiming;
  Said.m_Targets = std::move(Chosen);
  Said.m_Victims.assign(Victims.begin(), Victims.end());
  Said.m_Rule = "takes back what others borrowed";
  return true;
}

} // namespace fireflydrift::placement::impl
