// One assignment pass: assigns waiting tasks to targets and selects the runs
// that are preempted for urgent work.
#ifndef FIREFLYDRIFT_ASSIGNMENT_PASS_H
#define FIREFLYDRIFT_ASSIGNMENT_PASS_H

#include "assignment/backfill_reservation.h"
#include "assignment/preemption.h"
#include "assignment/rank.h"

namespace fireflydrift::assignment {

// Options of a pass. The defaults are the policy of the product.
struct PassOptions {
  Order m_Order = orderByUrgency;
  // Whether preemption weights the work that is lost by the value of its
  // result.
  bool m_WeightLossByValue = false;
  // Whether urgent work may preempt other work.
  bool m_AllowPreemption = true;
  // False while the list of targets may be incomplete. Then nothing is done
  // that only a lack of free capacity justifies: no work is preempted, and no
  // gang is spread over several racks.
  bool m_FleetIsKnown = true;
  // Maximum number of gangs that have a backfill reservation in one pass.
  std::size_t m_MaxReservations = 3;
  // Maximum number of steps decided in one pass; the rest wait for the next.
  std::size_t m_MaxSteps = 400;
  // Time since acceptance of its workflow after which a gang that asks for one
  // rack is placed on several, if more than half of the accelerators of the
  // eligible targets are free. It runs more slowly there, but it does run.
  core::Duration m_MultipleRacksAfter{2000};
  // Maximum number of urgent steps that preempt other work in one pass.
  std::size_t m_MaxPreemptingSteps = 4;

  friend bool operator==(const PassOptions &, const PassOptions &) = default;
};

struct Assignment {
  core::RequestId m_Workflow;
  workflow::Assign m_Assign;

  friend bool operator==(const Assignment &, const Assignment &) = default;
};

// A task whose run is preempted so that an urgent step of workflow m_Preemptor
// can start.
struct Preemption {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  core::RequestId m_Preemptor;

  friend bool operator==(const Preemption &, const Preemption &) = default;
};

struct PassResult {
  std::vector<Assignment> m_Assignments;
  std::vector<Preemption> m_Preemptions;
  // Number of steps with tasks that could not be assigned.
  std::size_t m_Waiting = 0;

  friend bool operator==(const PassResult &, const PassResult &) = default;
};

// Runs a pass at Now. Capacity that one step takes is gone for later steps.
[[nodiscard]] PassResult runPass(std::vector<TargetInfo> Targets,
                                 std::vector<PendingStep> Steps,
                                 const PassOptions &Options, core::Time Now);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_PASS_H
