// Guarantee reservations: for every guaranteed shape, a concrete set of targets
// on which it can be placed within its reclaim time, if there is one. No two
// reservations use the same capacity.
#ifndef FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H
#define FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H

#include "configuration/configuration.h"
#include "placement/fleet.h"

namespace fireflydrift::placement {

// Identifies one guaranteed shape.
struct GuaranteeKey {
  core::WorkspaceId m_Workspace;
  std::string m_Name;

  friend bool operator==(const GuaranteeKey &, const GuaranteeKey &) = default;
  friend auto operator<=>(const GuaranteeKey &, const GuaranteeKey &) = default;
};

// The targets reserved for one guaranteed shape.
struct GuaranteeReservation {
  GuaranteeKey m_Guarantee;
  // Tasks of the shape on each target.
  std::map<core::TargetId, std::uint32_t> m_Tasks;
  core::Capacity m_PerTask;
  core::Duration m_ReclaimWithin;

  friend bool operator==(const GuaranteeReservation &,
                         const GuaranteeReservation &) = default;
  friend auto operator<=>(const GuaranteeReservation &,
                          const GuaranteeReservation &) = default;
};

// All guarantee reservations, and the guarantees without one.
struct GuaranteeReservations {
  std::map<GuaranteeKey, GuaranteeReservation> m_ByGuarantee;
  std::vector<GuaranteeKey> m_Unsatisfied;

  friend bool operator==(const GuaranteeReservations &,
                         const GuaranteeReservations &) = default;
};

// True when a job that can't be stopped is expected to end well within the time
// in which the guaranteed capacity must be reclaimed.
[[nodiscard]] bool finishesBeforeReclaim(core::Duration RunTime,
                                         core::Duration ReclaimWithin) noexcept;

// Capacity of a target that a reservation of this owner could use: all of it
// except what is allocated to jobs of other workspaces that can't be stopped
// and are expected to end later than ReclaimWithin from now.
[[nodiscard]] core::Capacity reclaimable(const TargetUsage &Value,
                                         const core::WorkspaceId &Owner,
                                         core::Duration ReclaimWithin,
                                         core::Time Now);

// Keeps every previous reservation that is still valid and finds new ones for
// the other shapes: those with the strictest adjacency first, then the largest.
// Replaces all reservations if that satisfies more guarantees.
[[nodiscard]] GuaranteeReservations
reserveGuarantees(const Fleet &Value,
                  const configuration::Configuration &Current,
                  const GuaranteeReservations &Previous, core::Time Now);

// Capacity on each target that jobs of Owner with this run time that can't be
// stopped may not use, because it is reserved for guarantees of other
// workspaces.
[[nodiscard]] std::map<core::TargetId, core::Capacity>
reservedAgainst(const GuaranteeReservations &Value,
                const core::WorkspaceId &Owner, core::Duration RunTime);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H
