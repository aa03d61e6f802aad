// One assignment pass: who of the waiting steps gets which room, and what is
// stopped for urgent work.
#ifndef FIREFLYDRIFT_ASSIGNMENT_PASS_H
#define FIREFLYDRIFT_ASSIGNMENT_PASS_H

#include "assignment/backfill_reservation.h"
#include "assignment/preemption.h"
#include "assignment/rank.h"

namespace fireflydrift::assignment {

// What varies between the product and its baselines.
struct PassOptions {
  Order m_Order = orderByUrgency;
  // Whether urgent work may stop other work.
  bool m_AllowPreemption = true;
  // Gangs for which room is kept at once.
  std::size_t m_MaxReservations = 3;
  // Steps that may be decided in one pass; the rest wait for the next.
  std::size_t m_MaxDemands = 400;
  // While most accelerators are idle, a gang that has waited for so long for
  // one rack runs over several: slower, but it runs.
  core::Duration m_SpreadAfter{2000};
  // Urgent steps for which work is stopped in one pass.
  std::size_t m_MaxPreemptingSteps = 4;

  friend bool operator==(const PassOptions &, const PassOptions &) = default;
};

struct Assignment {
  core::RequestId m_Workflow;
  workflow::Assign m_Assign;

  friend bool operator==(const Assignment &, const Assignment &) = default;
};

// A run that is stopped so that an urgent step can start.
struct Preemption {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  core::RequestId m_For;

  friend bool operator==(const Preemption &, const Preemption &) = default;
};

struct PassResult {
  std::vector<Assignment> m_Assignments;
  std::vector<Preemption> m_Preemptions;
  // Steps that did not get all the room that they asked for.
  std::size_t m_Waiting = 0;

  friend bool operator==(const PassResult &, const PassResult &) = default;
};

// Decides at Now. Later demands see the room that earlier ones took.
[[nodiscard]] PassResult runPass(std::vector<TargetInfo> Rooms,
                                 std::vector<PendingStep> Demands,
                                 const PassOptions &Options, core::Time Now);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_PASS_H
