// Candidate targets for the tasks of a job, and the layout of a gang on them.
// Shared by the policies; internal to this package.
#ifndef FIREFLYDRIFT_PLACEMENT_CANDIDATES_H
#define FIREFLYDRIFT_PLACEMENT_CANDIDATES_H

#include "placement/place.h"

namespace fireflydrift::placement::impl {

// A target with capacity for tasks of the job.
struct Candidate {
  const TargetUsage *m_Usage = nullptr;
  core::Capacity m_Available;
  std::uint32_t m_Tasks = 0;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

using Candidates = std::vector<Candidate>;
using Racks = std::map<std::string, Candidates>;

// ---- Finding candidates ----------------------------------------------------

// The first rule that excludes the target for the job, whatever is free there;
// empty when none does.
[[nodiscard]] std::string exclusionReason(const View &Context,
                                          const TargetUsage &Value,
                                          const job::Job &Job, core::Time Now);

// The backfill reservation of another job that blocks this one, or nullptr.
[[nodiscard]] const BackfillReservation *
blockingReservation(const View &Context, const core::TargetId &Id,
                    const job::Job &Job, core::Time ExpectedEnd);

// Capacity that guarantee reservations of other workspaces deny to the job.
[[nodiscard]] std::map<core::TargetId, core::Capacity>
capacityReservedByOthers(const View &Context, const job::Job &Job);

// Targets with capacity for at least one task. Result counts the targets ruled
// out. Reservations, both backfill and guarantee, apply only if UseReservations
// is set.
[[nodiscard]] Candidates findCandidates(const View &Context,
                                        const job::Job &Job, core::Time Now,
                                        bool UseReservations, Decision &Result);

[[nodiscard]] Racks byRack(const Candidates &Found);

// ---- Filling ---------------------------------------------------------------

// The order in which targets of one group are filled.
using FillOrder = bool (*)(const Candidate &, const Candidate &);

// The fullest targets first, so that whole targets stay free.
[[nodiscard]] bool leastFreeFirst(const Candidate &A, const Candidate &B);
[[nodiscard]] bool inGivenOrder(const Candidate &A, const Candidate &B);

// The target of each task; empty when the tasks do not fit.
[[nodiscard]] std::vector<core::TargetId>
fill(Candidates Found, std::uint32_t Tasks, FillOrder Order);

// The product's layout: one target, one rack, or few racks. Sets Rule to which
// of them was chosen, or to why the gang does not fit.
[[nodiscard]] std::vector<core::TargetId>
chooseTargets(const Candidates &Found, const core::Shape &Shape,
              std::string &Rule);

} // namespace fireflydrift::placement::impl

#endif // FIREFLYDRIFT_PLACEMENT_CANDIDATES_H
