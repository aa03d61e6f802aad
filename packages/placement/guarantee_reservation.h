// Witnesses: for every guaranteed shape a concrete set of targets on which it
// can be assembled now. No two witnesses use the same capacity.
#ifndef FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H
#define FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H

#include "configuration/configuration.h"
#include "placement/fleet.h"

namespace fireflydrift::placement {

// Names one guaranteed shape.
struct GuaranteeKey {
  core::WorkspaceId m_Workspace;
  std::string m_Name;

  friend bool operator==(const GuaranteeKey &, const GuaranteeKey &) = default;
  friend auto operator<=>(const GuaranteeKey &, const GuaranteeKey &) = default;
};

// Where one guaranteed shape can be assembled.
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

// All witnesses, and the shapes that have none.
struct GuaranteeReservations {
  std::map<GuaranteeKey, GuaranteeReservation> m_ByGuarantee;
  std::vector<GuaranteeKey> m_Unsatisfied;

  friend bool operator==(const GuaranteeReservations &,
                         const GuaranteeReservations &) = default;
};

// True when work that can't be stopped is expected to end well within the
// time by which the guarantee must be honoured.
[[nodiscard]] bool endsWithin(core::Duration RunTime,
                              core::Duration ReclaimWithin) noexcept;

// Capacity of a target that the witness of this owner could have: all but what
// other workspaces hold there for longer than the guarantee allows.
[[nodiscard]] core::Capacity reclaimable(const TargetUsage &Value,
                                         const core::WorkspaceId &Owner,
                                         core::Duration ReclaimWithin,
                                         core::Time Now);

// Keeps every previous witness that still holds and finds new ones for the
// other shapes, the largest first.
[[nodiscard]] GuaranteeReservations
reserveGuarantees(const Fleet &Value,
                  const configuration::Configuration &Current,
                  const GuaranteeReservations &Previous, core::Time Now);

// Capacity on each target that witnesses of other workspaces than Owner claim
// against work of this run time that can't be stopped.
[[nodiscard]] std::map<core::TargetId, core::Capacity>
claimsAgainst(const GuaranteeReservations &Value,
              const core::WorkspaceId &Owner, core::Duration RunTime);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_GUARANTEE_RESERVATION_H
