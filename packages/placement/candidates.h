// Targets that may take tasks of a job, and how a gang is laid over them.
// Shared by the policies; not for use outside this package.
#ifndef FIREFLYDRIFT_PLACEMENT_CANDIDATES_H
#define FIREFLYDRIFT_PLACEMENT_CANDIDATES_H

#include "placement/place.h"

namespace fireflydrift::placement::impl {

// A target that may take tasks of the job.
struct Candidate {
  const TargetUsage *m_Slot = nullptr;
  core::Capacity m_Available;
  std::uint32_t m_Tasks = 0;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

using Candidates = std::vector<Candidate>;
using Racks = std::map<std::string, Candidates>;

// ---- Finding candidates ----------------------------------------------------

// The first rule that keeps the job off the target whatever is free there;
// empty when none does.
[[nodiscard]] std::string unmetRule(const View &All, const TargetUsage &Value,
                                    const job::Job &For, core::Time Now);

// The hold of another job that keeps this one off the target, or nullptr.
[[nodiscard]] const BackfillReservation *heldAgainst(const View &All,
                                                     const core::TargetId &Id,
                                                     const job::Job &For,
                                                     core::Time ExpectedEnd);

// Capacity that witnesses of other workspaces keep from the job.
[[nodiscard]] std::map<core::TargetId, core::Capacity>
claimsOfOthers(const View &All, const job::Job &For);

// Targets with room for at least one task. Said counts those ruled out. Only a
// guarded policy minds holds and witnesses.
[[nodiscard]] Candidates findCandidates(const View &All, const job::Job &For,
                                        core::Time Now, bool Guarded,
                                        Decision &Said);

[[nodiscard]] Racks byRack(const Candidates &Found);

// ---- Filling ---------------------------------------------------------------

// The order in which targets of one group are filled.
using FillOrder = bool (*)(const Candidate &, const Candidate &);

// The fullest targets first, so that whole targets stay free.
[[nodiscard]] bool leastFreeFirst(const Candidate &A, const Candidate &B);
[[nodiscard]] bool inGivenOrder(const Candidate &A, const Candidate &B);

// One target for each task; empty when the tasks do not fit.
[[nodiscard]] std::vector<core::TargetId>
fill(Candidates Found, std::uint32_t Tasks, FillOrder Order);

// The product's layout: one target, one rack, or few racks. Rule says which,
// or why the gang does not fit.
[[nodiscard]] std::vector<core::TargetId>
chooseTargets(const Candidates &Found, const core::Shape &Shape,
              std::string &Rule);

} // namespace fireflydrift::placement::impl

#endif // FIREFLYDRIFT_PLACEMENT_CANDIDATES_H
