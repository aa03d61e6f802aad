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

// The first rule that excludes the target for the job, regardless of its free
// capacity; empty when none does.
[[nodiscard]] std::string exclusionReason(const View &Context,
                                          const TargetUsage &Value,
                                          const job::Job &Job, core::Time Now);

// A backfill reservation of another job on the target whose m_Until is earlier
// than ExpectedEnd, or nullptr.
[[nodiscard]] const BackfillReservation *
blockingReservation(const View &Context, const core::TargetId &Id,
                    const job::Job &Job, core::Time ExpectedEnd);

// Capacity that the job may not use because it is reserved for guarantees of
// other workspaces; empty for a job that can be stopped and run again.
[[nodiscard]] std::map<core::TargetId, core::Capacity>
capacityReservedByOthers(const View &Context, const job::Job &Job);

// Targets with capacity for at least one task. Result counts the targets
// considered and ruled out. Reservations, both backfill and guarantee, apply
// only if UseReservations is set.
[[nodiscard]] Candidates findCandidates(const View &Context,
                                        const job::Job &Job, core::Time Now,
                                        bool UseReservations, Decision &Result);

[[nodiscard]] Racks byRack(const Candidates &Found);

// ---- Filling ---------------------------------------------------------------

// Whether the first target is filled before the second.
using FillOrder = bool (*)(const Candidate &, const Candidate &);

// The fullest targets first, so that whole targets stay free.
[[nodiscard]] bool leastFreeFirst(const Candidate &A, const Candidate &B);
[[nodiscard]] bool inGivenOrder(const Candidate &A, const Candidate &B);

// The target of each task; empty when the tasks do not fit.
[[nodiscard]] std::vector<core::TargetId>
fill(Candidates Found, std::uint32_t Tasks, FillOrder Order);

// The target of each task: all on one target if possible, else on one rack,
// else on few racks unless the shape requires one rack. Sets Rule to which of
// them was chosen, or to why the gang does not fit.
[[nodiscard]] std::vector<core::TargetId>
chooseTargets(const Candidates &Found, const core::Shape &Shape,
              std::string &Rule);

} // namespace fireflydrift::placement::impl

#endif // FIREFLYDRIFT_PLACEMENT_CANDIDATES_H
