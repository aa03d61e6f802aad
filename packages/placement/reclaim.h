// Plans that stop running jobs of other workspaces so that a job can be placed.
// Shared by the policies; internal to this package.
#ifndef FIREFLYDRIFT_PLACEMENT_RECLAIM_H
#define FIREFLYDRIFT_PLACEMENT_RECLAIM_H

#include "placement/place.h"

namespace fireflydrift::placement::impl {

// Plans to stop the least work on the targets reserved for the job's guarantee.
// Returns false, with Result unchanged, when the job claims no guarantee or the
// targets can't be cleared for it.
[[nodiscard]] bool planGuaranteeReclaim(const View &Context,
                                        const job::Job &Job, core::Time Now,
                                        Decision &Result);

// Plans to stop jobs of workspaces that exceed their quota, for a job within
// its own quota. HeldByReserve is set for a long job that the reserve for short
// work keeps waiting. Such a job gets only targets on which the capacity
// released by stopped jobs would suffice, and only while the reserve itself is
// free. Returns false, with Result unchanged, when there is no such plan.
[[nodiscard]] bool planQuotaReclaim(const View &Context, const job::Job &Job,
                                    core::Time Now, bool HeldByReserve,
                                    Decision &Result);

} // namespace fireflydrift::placement::impl

#endif // FIREFLYDRIFT_PLACEMENT_RECLAIM_H
