#include "placement/candidates.h"

#include <algorithm>
#include <limits>

namespace fireflydrift::placement::impl {

// ---- Finding candidates ----------------------------------------------------

std::string unmetRule(const View &All, const TargetUsage &Value,
                      const job::Job &For, core::Time Now) {
  const target::Target &Target = Value.m_Target;
  if (Target.presence() == target::Presence::Leaving)
    return "leaving";
  if (Target.presence() == target::Presence::Lost)
    return "lost";
  if (Target.isQuarantined(Now))
    return "quarantined";
  if (All.m_Unresponsive.contains(Target.id()))
    return "silent";
  const core::Selector &Selector = For.spec().m_Selector;
  if (For.fields().m_FailedTargets.contains(Target.id()))
    return "failed there before";
  if (!Selector.matches(Target.announcement().m_Labels))
    return "selector " + Selector.firstUnmet(Target.announcement().m_Labels);
  return {};
}

const BackfillReservation *heldAgainst(const View &All,
                                       const core::TargetId &Id,
                                       const job::Job &For,
                                       core::Time ExpectedEnd) {
  for (const BackfillReservation &Each : All.m_BackfillReservations)
    if (Each.m_Job != For.key() && Each.m_Targets.contains(Id) &&
        ExpectedEnd > Each.m_Until)
      return &Each;
  return nullptr;
}

std::map<core::TargetId, core::Capacity> claimsOfOthers(const View &All,
                                                        const job::Job &For) {
  if (For.isReclaimable())
    return {};
  return claimsAgainst(*All.m_Reservations, For.key().m_Workspace,
                       All.m_Estimates->runTime(For.spec()));
}

Candidates findCandidates(const View &All, const job::Job &For, core::Time Now,
                          bool Guarded, Decision &Said) {
  const core::Shape &Shape = For.spec().m_Shape;
  core::Duration RunTime = All.m_Estimates->runTime(For.spec());
  std::map<core::TargetId, core::Capacity> Claims;
  if (Guarded)
    Claims = claimsOfOthers(All, For);

  Candidates Found;
  for (const auto &[Id, Value] : All.m_Fleet->targets()) {
    ++Said.m_Considered;
    std::string Rule = unmetRule(All, Value, For, Now);
    if (Rule.empty() && Guarded)
      if (const BackfillReservation *Other =
              heldAgainst(All, Id, For, Now + RunTime))
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
Racks byRack(const Candidates &Found) {
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

bool leastFreeFirst(const Candidate &A, const Candidate &B) {
  return A.m_Available.m_Accelerators < B.m_Available.m_Accelerators;
}

// The emptiest targets first, so that a large gang takes few whole targets.
static bool mostTasksFirst(const Candidate &A, const Candidate &B) {
  return A.m_Tasks > B.m_Tasks;
}

bool inGivenOrder(const Candidate &, const Candidate &) { return false; }

std::vector<core::TargetId> fill(Candidates Found, std::uint32_t Tasks,
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

std::vector<core::TargetId> chooseTargets(const Candidates &Found,
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
} // namespace fireflydrift::placement::impl
