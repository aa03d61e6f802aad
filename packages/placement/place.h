// Placement policies, as free functions over one view of the fleet.
#ifndef FIREFLYDRIFT_PLACEMENT_PLACE_H
#define FIREFLYDRIFT_PLACEMENT_PLACE_H

#include "placement/decision.h"
#include "placement/estimate.h"
#include "placement/guarantee_reservation.h"

#include <optional>
#include <set>

namespace fireflydrift::placement {

// Targets reserved for a waiting job. Other jobs may be backfilled onto them
// only if they are expected to end by m_Until.
struct BackfillReservation {
  core::JobKey m_Job;
  std::set<core::TargetId> m_Targets;
  core::Time m_Until;

  friend bool operator==(const BackfillReservation &,
                         const BackfillReservation &) = default;
  friend auto operator<=>(const BackfillReservation &,
                          const BackfillReservation &) = default;
};

// All input of a placement policy.
struct View {
  const Fleet *m_Fleet = nullptr;
  const configuration::Configuration *m_Configuration = nullptr;
  const GuaranteeReservations *m_Reservations = nullptr;
  const Estimates *m_Estimates = nullptr;
  std::vector<BackfillReservation> m_BackfillReservations;
  // Targets without recent heartbeats.
  std::set<core::TargetId> m_Unresponsive;

  friend bool operator==(const View &, const View &) = default;
};

// Decides at the given time where a queued job runs, or why it waits.
using Policy = Decision (*)(const View &, const job::Job &, core::Time);

// The product's policy. Enforces the quota and the reserve for short work;
// keeps long jobs that can't be stopped off capacity reserved for guarantees;
// keeps whole racks and targets free where it can; places jobs on targets with
// another job's backfill reservation only if they are expected to end in time.
// A job that does not fit may claim a guarantee of its workspace or reclaim
// borrowed capacity, which stops other jobs, those that lose the least work
// first.
[[nodiscard]] Decision placeWithReservations(const View &Context,
                                             const job::Job &Value,
                                             core::Time Now);
// Baseline: the first targets that fit, in order of their ids.
[[nodiscard]] Decision placeFirstFit(const View &Context, const job::Job &Value,
                                     core::Time Now);
// Baseline: the fullest targets first, without reservations.
[[nodiscard]] Decision placeBestFit(const View &Context, const job::Job &Value,
                                    core::Time Now);

// The targets on which a job that can't be placed now is expected to fit
// soonest, and the time; nothing when no set of targets could ever hold it.
[[nodiscard]] std::optional<BackfillReservation>
reservationFor(const View &Context, const job::Job &Value, core::Time Now);

// The reason why the job can never be placed: it exceeds the quota and
// borrowing limit of its workspace by itself, or no set of targets could hold
// it even if all were empty. Its code is None otherwise.
[[nodiscard]] core::Reason checkPlaceable(const View &Context,
                                          const job::Job &Value);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_PLACE_H
