// Plans that stop running work of other workspaces so that a job can be placed.
// Shared by the policies; not for use outside this package.
#ifndef FIREFLYDRIFT_PLACEMENT_RECLAIM_H
#define FIREFLYDRIFT_PLACEMENT_RECLAIM_H

#include "placement/place.h"

namespace fireflydrift::placement::impl {

// A plan that stops the least work on the witness of the job's guarantee.
// Returns false, with Said unchanged, when the job claims none.
[[nodiscard]] bool planReclaim(const View &All, const job::Job &For,
                               core::Time Now, Decision &Said);

// A plan that stops work of borrowers for a job within its own quota. Long
// work that the short reserve holds back may only have what the stops give,
// and only while the reserve itself is free. Returns false, with Said
// unchanged, when there is no such plan.
[[nodiscard]] bool planTakeBack(const View &All, const job::Job &For,
                                core::Time Now, bool HeldByReserve,
                                Decision &Said);

} // namespace fireflydrift::placement::impl

#endif // FIREFLYDRIFT_PLACEMENT_RECLAIM_H
