// Where a job goes: placement policies as free functions over one view.
#ifndef FIREFLYDRIFT_PLACEMENT_PLACE_H
#define FIREFLYDRIFT_PLACEMENT_PLACE_H

#include "placement/decision.h"
#include "placement/estimate.h"
#include "placement/guarantee_reservation.h"

#include <optional>
#include <set>

namespace fireflydrift::placement {

// Targets kept for a job that waits for them. Others may use them only for
// work that is expected to end before Until.
struct BackfillReservation {
  core::JobKey m_Job;
  std::set<core::TargetId> m_Targets;
  core::Time m_Until;

  friend bool operator==(const BackfillReservation &,
                         const BackfillReservation &) = default;
  friend auto operator<=>(const BackfillReservation &,
                          const BackfillReservation &) = default;
};

// Everything a placement policy may look at.
struct View {
  const Fleet *m_Fleet = nullptr;
  const configuration::Configuration *m_Configuration = nullptr;
  const GuaranteeReservations *m_Reservations = nullptr;
  const Estimates *m_Estimates = nullptr;
  std::vector<BackfillReservation> m_BackfillReservations;
  // Targets that have given no sign of life lately.
  std::set<core::TargetId> m_Unresponsive;

  friend bool operator==(const View &, const View &) = default;
};

// A policy decides where a queued job goes at Now, or why it waits.
using Policy = Decision (*)(const View &, const job::Job &, core::Time);

// The product's policy. Keeps every witness, whole racks and whole targets
// free; places on targets that other jobs hold only what ends in time; claims
// a guarantee by stopping the least work that stands on its witness.
[[nodiscard]] Decision
placeWithReservations(const View &All, const job::Job &Value, core::Time Now);
// Baseline: the first targets in order of their names.
[[nodiscard]] Decision placeFirstFit(const View &All, const job::Job &Value,
                                     core::Time Now);
// Baseline: the fullest targets first, without holds or witnesses.
[[nodiscard]] Decision placeBestFit(const View &All, const job::Job &Value,
                                    core::Time Now);

// The targets on which a job that can't be placed now is expected to fit
// soonest, and when. Nothing when no set of targets could ever hold it.
[[nodiscard]] std::optional<BackfillReservation>
holdFor(const View &All, const job::Job &Value, core::Time Now);

// Why no set of targets could hold the job even if all were empty; a reason
// with code None when one could.
[[nodiscard]] core::Reason checkPlaceable(const View &All,
                                          const job::Job &Value);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_PLACE_H
