#include "placement/candidates.h"

#include <algorithm>
#include <limits>

namespace fireflydrift::placement::impl {

// ---- Finding candidates ----------------------------------------------------

std::string exclusionReason(const View &Context, const TargetUsage &Value,
                            const job::Job &Job, core::Time Now) {
  const target::Target &Target = Value.m_Target;
  if (Target.presence() == target::Presence::Leaving)
    return "leaving";
  if (Target.presence() == target::Presence::Lost)
    return "lost";
  if (Value.m_Evacuated)
    return "evacuated";
  if (Target.isQuarantined(Now))
    return "quarantined";
  if (Context.m_Unresponsive.contains(Target.id()))
    return "silent";
  const core::Selector &Selector = Job.spec().m_Selector;
  if (Job.fields().m_FailedTargets.contains(Target.id()))
    return "failed there before";
  if (!Selector.matches(Target.announcement().m_Labels))
    return "selector " + Selector.firstUnmet(Target.announcement().m_Labels);
  return {};
}

const BackfillReservation *blockingReservation(const View &Context,
                                               const core::TargetId &Id,
                                               const job::Job &Job,
                                               core::Time ExpectedEnd) {
  for (const BackfillReservation &Each : Context.m_BackfillReservations)
    if (Each.m_Job != Job.key() && Each.m_Targets.contains(Id) &&
        ExpectedEnd > Each.m_Until)
      return &Each;
  return nullptr;
}

std::map<core::TargetId, core::Capacity>
capacityReservedByOthers(const View &Context, const job::Job &Job) {
  if (Job.isReclaimable())
    return {};
  return reservedAgainst(*Context.m_Reservations, Job.key().m_Workspace,
                         Context.m_Estimates->runTime(Job.spec()));
}

Candidates findCandidates(const View &Context, const job::Job &Job,
                          core::Time Now, bool UseReservations,
                          Decision &Result) {
  const core::Shape &Shape = Job.spec().m_Shape;
  core::Duration RunTime = Context.m_Estimates->runTime(Job.spec());
  std::map<core::TargetId, core::Capacity> Reserved;
  if (UseReservations)
    Reserved = capacityReservedByOthers(Context, Job);

  Candidates Found;
  for (const auto &[Id, Value] : Context.m_Fleet->targets()) {
    ++Result.m_Considered;
    std::string Rule = exclusionReason(Context, Value, Job, Now);
    if (Rule.empty() && UseReservations)
      if (const BackfillReservation *Other =
              blockingReservation(Context, Id, Job, Now + RunTime))
        Rule = "held for " + core::toString(Other->m_Job);
    core::Capacity Available = Value.free();
    if (auto ReservedHere = Reserved.find(Id); ReservedHere != Reserved.end()) {
      Available = Available - ReservedHere->second;
      if (Rule.empty() && Available.count(Shape.m_PerTask) == 0 &&
          Value.free().count(Shape.m_PerTask) > 0)
        Rule = "guaranteed to others";
    }
    std::uint32_t Tasks = Available.count(Shape.m_PerTask);
    if (Rule.empty() && Tasks == 0)
      Rule = "full";
    if (!Rule.empty()) {
      ++Result.m_RuledOut[Rule];
      continue;
    }
    Found.push_back({.m_Usage = &Value,
                     .m_Available = Available,
                     .m_Tasks = std::min(Tasks, Shape.m_Tasks)});
  }
  return Found;
}
Racks byRack(const Candidates &Found) {
  Racks Grouped;
  for (const Candidate &Each : Found)
    Grouped[Each.m_Usage->m_Target.announcement().m_Rack].push_back(Each);
  return Grouped;
}

static std::uint64_t totalTasks(const Candidates &Found) {
  std::uint64_t Total = 0;
  for (const Candidate &Each : Found)
    Total += Each.m_Tasks;
  return Total;
}

static std::int64_t freeAccelerators(const Candidates &Found) {
  std::int64_t Free = 0;
  for (const Candidate &Each : Found)
    Free += Each.m_Available.m_Accelerators;
  return Free;
}
// ---- Filling ---------------------------------------------------------------

bool leastFreeFirst(const Candidate &A, const Candidate &B) {
  return A.m_Available.m_Accelerators < B.m_Available.m_Accelerators;
}

// Targets that fit the most tasks first, so that a large gang uses few targets.
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
      Chosen.push_back(Each.m_Usage->m_Target.id());
    if (Chosen.size() == Tasks)
      return Chosen;
  }
  return {};
}

// The target with the fewest free accelerators that fits the whole gang.
static std::vector<core::TargetId> fillOneTarget(const Candidates &Found,
                                                 std::uint32_t Tasks) {
  const Candidate *Best = nullptr;
  for (const Candidate &Each : Found)
    if (Each.m_Tasks >= Tasks && (!Best || leastFreeFirst(Each, *Best)))
      Best = &Each;
  if (!Best)
    return {};
  return std::vector<core::TargetId>(Tasks, Best->m_Usage->m_Target.id());
}

// The rack with the fewest free accelerators that fits the gang.
static const Candidates *tightestRack(const Racks &Grouped,
                                      std::uint32_t Tasks) {
  const Candidates *Best = nullptr;
  std::int64_t BestFree = std::numeric_limits<std::int64_t>::max();
  for (const auto &[Rack, Found] : Grouped) {
    if (totalTasks(Found) < Tasks)
      continue;
    std::int64_t Free = freeAccelerators(Found);
    if (Free < BestFree) {
      Best = &Found;
      BestFree = Free;
    }
  }
  return Best;
}

// As few racks as possible, those that fit the most tasks first.
static std::vector<core::TargetId> fillFewRacks(const Racks &Grouped,
                                                std::uint32_t Tasks) {
  std::vector<const Candidates *> Order;
  for (const auto &[Rack, Found] : Grouped)
    Order.push_back(&Found);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Candidates *A, const Candidates *B) {
                     return totalTasks(*A) > totalTasks(*B);
                   });
  Candidates Ordered;
  for (const Candidates *Each : Order) {
    Candidates Sorted = *Each;
    std::stable_sort(Sorted.begin(), Sorted.end(), mostTasksFirst);
    Ordered.insert(Ordered.end(), Sorted.begin(), Sorted.end());
  }
  return fill(std::move(Ordered), Tasks, inGivenOrder);
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
