#include "placement/place.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace fireflydrift::placement {

namespace {

// A target that may take tasks of the job.
struct Candidate {
  const Slot *m_Slot = nullptr;
  core::Capacity m_Available;
  std::uint32_t m_Tasks = 0;
};

using Candidates = std::vector<Candidate>;
using Racks = std::map<std::string, Candidates>;
using RuledOut = std::map<std::string, std::uint32_t>;

} // namespace

// ---- Finding candidates ----------------------------------------------------

static std::string unmetRule(const View &All, const Slot &Value,
                             const job::Job &For, core::Time Now) {
  const target::Target &Target = Value.m_Target;
  if (Target.presence() == target::Presence::Leaving)
    return "leaving";
  if (Target.presence() == target::Presence::Lost)
    return "lost";
  if (Target.isQuarantined(Now))
    return "quarantined";
  if (All.m_Silent.contains(Target.id()))
    return "silent";
  const core::Selector &Selector = For.spec().m_Selector;
  if (For.fields().m_FailedOn.contains(Target.id()))
    return "failed there before";
  if (!Selector.matches(Target.announcement().m_Labels))
    return "selector " + Selector.firstUnmet(Target.announcement().m_Labels);
  return {};
}

static const Hold *heldAgainst(const View &All, const core::TargetId &Id,
                               const job::Job &For, core::Time ExpectedEnd) {
  for (const Hold &Each : All.m_Holds)
    if (Each.m_Job != For.key() && Each.m_Targets.contains(Id) &&
        ExpectedEnd > Each.m_Until)
      return &Each;
  return nullptr;
}

// Capacity that witnesses of other workspaces keep from the job.
static std::map<core::TargetId, core::Capacity>
claimsOfOthers(const View &All, const job::Job &For) {
  if (For.isReclaimable())
    return {};
  return claimsAgainst(*All.m_Witnesses, For.key().m_Workspace,
                       All.m_Estimates->runTime(For.spec()));
}

static Candidates findCandidates(const View &All, const job::Job &For,
                                 core::Time Now, bool Guarded, Decision &Said) {
  const core::Shape &Shape = For.spec().m_Shape;
  core::Duration RunTime = All.m_Estimates->runTime(For.spec());
  std::map<core::TargetId, core::Capacity> Claims;
  if (Guarded)
    Claims = claimsOfOthers(All, For);

  Candidates Found;
  for (const auto &[Id, Value] : All.m_Fleet->slots()) {
    ++Said.m_Considered;
    std::string Rule = unmetRule(All, Value, For, Now);
    if (Rule.empty() && Guarded)
      if (const Hold *Other = heldAgainst(All, Id, For, Now + RunTime))
        Rule = "held for " + core::toString(Other->m_Job);
    core::Capacity Available = Value.free();
    if (auto Claimed = Claims.find(Id); Claimed != Claims.end()) {
      Available = Available - Claimed->second;
      if (Rule.empty() && Available.count(Shape.m_PerTask) == 0 &&
          Value.free().count(Shape.m_PerTask) > 0)
        Rule = "guaranteed to others";
    }
    std::uint32_t Tasks = Available.count(Shape.m_PerTask);
    if (Rule.empty() && Tasks == 0)
      Rule = "full";
    if (!Rule.empty()) {
      ++Said.m_RuledOut[Rule];
      continue;
    }
    Found.push_back({.m_Slot = &Value,
                     .m_Available = Available,
                     .m_Tasks = std::min(Tasks, Shape.m_Tasks)});
  }
  return Found;
}

static Racks byRack(const Candidates &Found) {
  Racks Grouped;
  for (const Candidate &Each : Found)
    Grouped[Each.m_Slot->m_Target.announcement().m_Rack].push_back(Each);
  return Grouped;
}

static std::uint64_t roomIn(const Candidates &Found) {
  std::uint64_t Room = 0;
  for (const Candidate &Each : Found)
    Room += Each.m_Tasks;
  return Room;
}

static std::int64_t freeIn(const Candidates &Found) {
  std::int64_t Free = 0;
  for (const Candidate &Each : Found)
    Free += Each.m_Available.m_Accelerators;
  return Free;
}

// ---- Filling ---------------------------------------------------------------

// The order in which targets of one group are filled.
using FillOrder = bool (*)(const Candidate &, const Candidate &);

// The fullest targets first, so that whole targets stay free.
static bool leastFreeFirst(const Candidate &A, const Candidate &B) {
  return A.m_Available.m_Accelerators < B.m_Available.m_Accelerators;
}

// The emptiest targets first, so that a large gang takes few whole targets.
static bool mostTasksFirst(const Candidate &A, const Candidate &B) {
  return A.m_Tasks > B.m_Tasks;
}

static bool inGivenOrder(const Candidate &, const Candidate &) { return false; }

static std::vector<core::TargetId> fill(Candidates Found, std::uint32_t Tasks,
                                        FillOrder Order) {
  std::stable_sort(Found.begin(), Found.end(), Order);
  std::vector<core::TargetId> Chosen;
  for (const Candidate &Each : Found) {
    for (std::uint32_t I = 0; I < Each.m_Tasks && Chosen.size() < Tasks; ++I)
      Chosen.push_back(Each.m_Slot->m_Target.id());
    if (Chosen.size() == Tasks)
      return Chosen;
  }
  return {};
}

// A single target that takes the whole gang and has least left over.
static std::vector<core::TargetId> fillOneTarget(const Candidates &Found,
                                                 std::uint32_t Tasks) {
  const Candidate *Best = nullptr;
  for (const Candidate &Each : Found)
    if (Each.m_Tasks >= Tasks && (!Best || leastFreeFirst(Each, *Best)))
      Best = &Each;
  if (!Best)
    return {};
  return std::vector<core::TargetId>(Tasks, Best->m_Slot->m_Target.id());
}

// The rack that fits the gang and has least left over.
static const Candidates *tightestRack(const Racks &Grouped,
                                      std::uint32_t Tasks) {
  const Candidates *Best = nullptr;
  std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
  for (const auto &[Rack, Found] : Grouped) {
    if (roomIn(Found) < Tasks)
      continue;
    std::int64_t Free = freeIn(Found);
    if (Free < BestFree) {
      Best = &Found;
      BestFree = Free;
    }
  }
  return Best;
}

// As few racks as possible, those with most room first.
static std::vector<core::TargetId> fillFewRacks(const Racks &Grouped,
                                                std::uint32_t Tasks) {
  std::vector<const Candidates *> Order;
  for (const auto &[Rack, Found] : Grouped)
    Order.push_back(&Found);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Candidates *A, const Candidates *B) {
                     return roomIn(*A) > roomIn(*B);
                   });
  Candidates Joined;
  for (const Candidates *Each : Order) {
    Candidates Sorted = *Each;
    std::stable_sort(Sorted.begin(), Sorted.end(), mostTasksFirst);
    Joined.insert(Joined.end(), Sorted.begin(), Sorted.end());
  }
  return fill(std::move(Joined), Tasks, inGivenOrder);
}

static std::vector<core::TargetId> chooseTargets(const Candidates &Found,
                                                 const core::Shape &Shape,
                                                 std::string &Rule) {
  std::vector<core::TargetId> Chosen = fillOneTarget(Found, Shape.m_Tasks);
  if (!Chosen.empty()) {
    Rule = "one target with least left over";
    return Chosen;
  }
  Racks Grouped = byRack(Found);
  if (const Candidates *Rack = tightestRack(Grouped, Shape.m_Tasks)) {
    Rule = "one rack with least left over";
    return fill(*Rack, Shape.m_Tasks, mostTasksFirst);
  }
  if (Shape.m_Adjacency == core::Adjacency::Required) {
    Rule = "no single rack has room";
    return {};
  }
  Chosen = fillFewRacks(Grouped, Shape.m_Tasks);
  Rule = Chosen.empty() ? "not enough room" : "fewest racks";
  return Chosen;
}

// ---- Claiming a guarantee --------------------------------------------------

namespace {

struct Victim {
  core::JobKey m_Job;
  std::int64_t m_LostWork = 0;
  core::Capacity m_Here;
};

} // namespace

// Accelerator milliseconds that are lost when the occupant is stopped now.
static std::int64_t lostWork(const Occupant &Value, core::Time Now) {
  std::int64_t Ran =
      std::max<std::int64_t>((Now - Value.m_StartedAt).count(), 0);
  std::int64_t Lost =
      Ran * std::max<std::int64_t>(Value.m_Capacity.m_Accelerators, 1);
  // A checkpoint saves nearly all; a job stopped before is spared.
  if (Value.m_Checkpoints)
    Lost /= 8;
  return Lost * (1 + Value.m_Reclaims);
}

// Fits the job into the guarantee: shape, selector and what is left of it.
static bool isClaimOn(const workspace::Guarantee &Value, const job::Job &For,
                      std::int64_t Used, std::int64_t Guaranteed) {
  const core::Shape &Asked = For.spec().m_Shape;
  return Asked.m_Tasks <= Value.m_Shape.m_Tasks &&
         Value.m_Shape.m_PerTask.covers(Asked.m_PerTask) &&
         Used + Asked.total().m_Accelerators <= Guaranteed;
}

static const Witness *witnessFor(const View &All, const job::Job &For) {
  const core::WorkspaceId &Id = For.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  if (!Owner)
    return nullptr;
  for (const workspace::Guarantee &Each : Owner->spec().m_Guarantees) {
    if (!isClaimOn(Each, For, All.m_Fleet->used(Id),
                   Owner->guaranteedAccelerators()))
      continue;
    auto Found = All.m_Witnesses->m_Found.find(
        {.m_Workspace = Id, .m_Name = Each.m_Name});
    if (Found != All.m_Witnesses->m_Found.end())
      return &Found->second;
  }
  return nullptr;
}

// Whether an occupant may be stopped for the job.
using MayStop = std::function<bool(const Occupant &)>;

// Jobs to stop on one target until Needed is free there.
static bool addVictims(const Slot &Value, const core::Capacity &Needed,
                       const MayStop &Allowed, core::Time Now,
                       std::set<core::JobKey> &Chosen) {
  core::Capacity Free = Value.free();
  std::vector<Victim> Open;
  for (const Occupant &Each : Value.m_Occupants) {
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

// A plan that stops the least work on the guarantee's witness.
static bool planReclaim(const View &All, const job::Job &For, core::Time Now,
                        Decision &Said) {
  const Witness *Plan = witnessFor(All, For);
  if (!Plan)
    return false;
  MayStop Foreign = [&](const Occupant &Each) {
    return Each.m_Job.m_Workspace != For.key().m_Workspace;
  };
  std::set<core::JobKey> Victims;
  std::vector<core::TargetId> Targets;
  std::uint32_t Open = For.spec().m_Shape.m_Tasks;
  for (const auto &[Id, Tasks] : Plan->m_Tasks) {
    if (Open == 0)
      break;
    const Slot *Found = All.m_Fleet->find(Id);
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
         Owner->standing(All.m_Fleet->used(Id), More) ==
             workspace::Standing::WithinQuota;
}

// True for work of workspaces that use more than their quota.
static bool isBorrower(const View &All, const Occupant &Each) {
  const core::WorkspaceId &Id = Each.m_Job.m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  return !Owner || Owner->standing(All.m_Fleet->used(Id), 0) !=
                       workspace::Standing::WithinQuota;
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
  for (const auto &[Id, Value] : All.m_Fleet->slots()) {
    if (!unmetRule(All, Value, For, Now).empty() ||
        heldAgainst(All, Id, For, End))
      continue;
    core::Capacity Available = UseFree ? Value.free() : core::Capacity();
    for (const Occupant &Each : Value.m_Occupants)
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
        const auto &Occupants = All.m_Fleet->find(Id)->m_Occupants;
        return std::any_of(
            Occupants.begin(), Occupants.end(),
            [](const Occupant &Each) { return Each.m_Stopping; });
      });
}

// A plan that stops work of borrowers for a job within its own quota. Long
// work that the short reserve holds back may only have what the stops give,
// and only while the reserve itself is free.
static bool planTakeBack(const View &All, const job::Job &For, core::Time Now,
                         bool HeldByReserve, Decision &Said) {
  bool ReserveIsFree = All.m_Fleet->freeAccelerators() >=
                       All.m_Configuration->limits().m_ShortReserve;
  if (!mayTakeBack(All, For, Now) || (HeldByReserve && !ReserveIsFree))
    return false;
  MayStop Borrowed = [&](const Occupant &Each) {
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

// ---- Policies --------------------------------------------------------------

static Decision startDecision(const job::Job &Value, core::Time Now) {
  return {.m_Job = Value.key(), .m_At = Now};
}

static bool breaksQuota(const View &All, const job::Job &Value,
                        Decision &Said) {
  const core::WorkspaceId &Id = Value.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  std::int64_t More = Value.spec().m_Shape.total().m_Accelerators;
  if (!Owner) {
    Said.m_Rule = "the workspace is not configured any more";
    return true;
  }
  workspace::Standing Stands = Owner->standing(All.m_Fleet->used(Id), More);
  if (Stands == workspace::Standing::Exceeded)
    Said.m_Rule = "over quota";
  // Borrowed capacity must come back, so what can't be stopped must fit into
  // the quota by itself; the workspace's other work counts as the borrower.
  else if (!Value.isReclaimable() &&
           Owner->standing(All.m_Fleet->usedFixed(Id), More) !=
               workspace::Standing::WithinQuota)
    Said.m_Rule = "work that must run once does not borrow";
  return !Said.m_Rule.empty();
}

static bool breaksShortReserve(const View &All, const job::Job &Value,
                               Decision &Said) {
  const configuration::Limits &Limits = All.m_Configuration->limits();
  bool Short = All.m_Estimates->runTime(Value.spec()) <= Limits.m_ShortRunTime;
  if (Short || Value.isUrgent() || Limits.m_ShortReserve == 0)
    return false;
  std::int64_t Left = All.m_Fleet->freeAccelerators() -
                      Value.spec().m_Shape.total().m_Accelerators;
  if (Left >= Limits.m_ShortReserve)
    return false;
  Said.m_Rule = "the rest is reserved for short work";
  return true;
}

Decision placeGuarded(const View &All, const job::Job &Value, core::Time Now) {
  Decision Said = startDecision(Value, Now);
  if (breaksQuota(All, Value, Said))
    return Said;
  bool Reserved = breaksShortReserve(All, Value, Said);
  if (!Reserved) {
    Candidates Found = findCandidates(All, Value, Now, true, Said);
    Said.m_Targets = chooseTargets(Found, Value.spec().m_Shape, Said.m_Rule);
  }
  if (!Said.m_Targets.empty())
    Said.m_Verdict = Verdict::Placed;
  else if (!planReclaim(All, Value, Now, Said))
    (void)planTakeBack(All, Value, Now, Reserved, Said);
  return Said;
}

static Decision placeUnguarded(const View &All, const job::Job &Value,
                               core::Time Now, FillOrder Order,
                               const char *Rule) {
  Decision Said = startDecision(Value, Now);
  if (breaksQuota(All, Value, Said))
    return Said;
  const core::Shape &Shape = Value.spec().m_Shape;
  Candidates Found = findCandidates(All, Value, Now, false, Said);
  if (Shape.m_Adjacency == core::Adjacency::Required) {
    for (const auto &[Rack, Here] : byRack(Found))
      if (Said.m_Targets.empty())
        Said.m_Targets = fill(Here, Shape.m_Tasks, Order);
  } else {
    Said.m_Targets = fill(std::move(Found), Shape.m_Tasks, Order);
  }
  bool Placed = !Said.m_Targets.empty();
  Said.m_Verdict = Placed ? Verdict::Placed : Verdict::Waiting;
  Said.m_Rule = Placed ? Rule : "not enough room";
  return Said;
}

Decision placeFirstFit(const View &All, const job::Job &Value, core::Time Now) {
  return placeUnguarded(All, Value, Now, inGivenOrder, "first fit");
}

Decision placeBestFit(const View &All, const job::Job &Value, core::Time Now) {
  return placeUnguarded(All, Value, Now, leastFreeFirst, "best fit");
}

// ---- Holds -----------------------------------------------------------------

namespace {

// Capacity of one target that comes free at some time.
struct Release {
  core::Time m_At;
  const Slot *m_Slot = nullptr;
  core::Capacity m_Capacity;
};

// Targets among which a gang may be placed, and how much is free on each.
struct Pool {
  std::map<const Slot *, core::Capacity> m_Free;
  std::vector<Release> m_Releases;
};

} // namespace

static std::uint64_t roomIn(const Pool &Value, const core::Capacity &PerTask) {
  std::uint64_t Room = 0;
  for (const auto &[Slot, Free] : Value.m_Free)
    Room += std::min(Free.count(PerTask), core::MaxGangTasks);
  return Room;
}

// The targets with most room that together fit the gang.
static std::set<core::TargetId> roomiest(const Pool &Value,
                                         const core::Shape &Shape) {
  std::vector<std::pair<std::uint32_t, core::TargetId>> Order;
  for (const auto &[Slot, Free] : Value.m_Free)
    Order.emplace_back(Free.count(Shape.m_PerTask), Slot->m_Target.id());
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return std::tie(B.first, A.second) < std::tie(A.first, B.second);
  });
  std::set<core::TargetId> Chosen;
  std::uint64_t Room = 0;
  for (const auto &[Tasks, Id] : Order) {
    if (Room >= Shape.m_Tasks)
      break;
    Room += Tasks;
    Chosen.insert(Id);
  }
  return Chosen;
}

// When and where the gang fits into the pool as its work ends, if ever.
static std::optional<Hold> fitsLater(Pool Value, const job::Job &For,
                                     core::Time Now) {
  const core::Shape &Shape = For.spec().m_Shape;
  auto Found = [&](core::Time At) {
    return Hold{.m_Job = For.key(),
                .m_Targets = roomiest(Value, Shape),
                .m_Until = std::max(At, Now)};
  };
  std::uint64_t Room = roomIn(Value, Shape.m_PerTask);
  if (Room >= Shape.m_Tasks)
    return Found(Now);
  std::sort(Value.m_Releases.begin(), Value.m_Releases.end(),
            [](const Release &A, const Release &B) { return A.m_At < B.m_At; });
  for (const Release &Each : Value.m_Releases) {
    core::Capacity &Free = Value.m_Free[Each.m_Slot];
    Room -= std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    Free = Free + Each.m_Capacity;
    Room += std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    if (Room >= Shape.m_Tasks)
      return Found(Each.m_At);
  }
  return std::nullopt;
}

std::optional<Hold> holdFor(const View &All, const job::Job &Value,
                            core::Time Now) {
  const core::Shape &Shape = Value.spec().m_Shape;
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  std::map<std::string, Pool> Pools;
  for (const auto &[Id, Each] : All.m_Fleet->slots()) {
    bool Usable =
        unmetRule(All, Each, Value, Now).empty() &&
        Each.m_Target.announcement().m_Capacity.covers(Shape.m_PerTask);
    if (!Usable)
      continue;
    Pool &Into = Pools[OneRack ? Each.m_Target.announcement().m_Rack : ""];
    Into.m_Free[&Each] = Each.free();
    for (const Occupant &Other : Each.m_Occupants)
      Into.m_Releases.push_back({.m_At = Other.m_ExpectedEnd,
                                 .m_Slot = &Each,
                                 .m_Capacity = Other.m_Capacity});
  }
  std::optional<Hold> Best;
  for (auto &[Rack, Each] : Pools) {
    auto Found = fitsLater(std::move(Each), Value, Now);
    if (Found && (!Best || Found->m_Until < Best->m_Until))
      Best = std::move(Found);
  }
  return Best;
}

// ---- Jobs that can never run -----------------------------------------------

core::Reason checkPlaceable(const View &All, const job::Job &Value) {
  const job::JobSpec &Spec = Value.spec();
  const core::Shape &Shape = Spec.m_Shape;
  const workspace::Workspace *Owner =
      All.m_Configuration->find(Value.key().m_Workspace);
  if (Owner && Owner->standing(0, Shape.total().m_Accelerators) ==
                   workspace::Standing::Exceeded)
    return {.m_Code = core::ReasonCode::QuotaExceeded,
            .m_Field = "tasks",
            .m_Rule = "asks for more than the quota and all it may borrow"};
  std::map<std::string, std::uint64_t> RoomByRack;
  std::uint64_t Room = 0;
  bool AnyTarget = false;
  for (const auto &[Id, Each] : All.m_Fleet->slots()) {
    const target::Announcement &Said = Each.m_Target.announcement();
    AnyTarget = true;
    if (!Spec.m_Selector.matches(Said.m_Labels))
      continue;
    std::uint64_t Here =
        std::min(Said.m_Capacity.count(Shape.m_PerTask), core::MaxGangTasks);
    Room += Here;
    RoomByRack[Said.m_Rack] += Here;
  }
  // Before any target has announced itself nothing is known to be impossible.
  if (!AnyTarget)
    return {};
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  bool Fits = !OneRack && Room >= Shape.m_Tasks;
  for (const auto &[Rack, Here] : RoomByRack)
    Fits = Fits || Here >= Shape.m_Tasks;
  if (Fits)
    return {};
  return {.m_Code = core::ReasonCode::Unplaceable,
          .m_Field = Room == 0 ? "selector" : "tasks",
          .m_Rule = OneRack ? "no rack could hold the gang even if empty"
                            : "no targets could hold the gang even if empty"};
}

} // namespace fireflydrift::placement
