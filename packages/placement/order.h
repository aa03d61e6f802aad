// Sort orders of queued jobs.
#ifndef FIREFLYDRIFT_PLACEMENT_ORDER_H
#define FIREFLYDRIFT_PLACEMENT_ORDER_H

#include "placement/place.h"

namespace fireflydrift::placement {

// Time since acceptance after which a job is aged: except for guarantee claims
// and urgent jobs, it goes before jobs that are not aged, whatever its run time
// and the usage of its workspace.
inline constexpr core::Duration AgingThreshold{600000};

// Sorts queued jobs into the sequence in which a pass decides them.
using Order = std::vector<const job::Job *> (*)(const View &,
                                                std::vector<const job::Job *>,
                                                core::Time);

// The product's order: claims on guarantees, then urgent jobs, then aged jobs,
// then short jobs, then the workspace with the least usage for its weight, then
// the oldest job.
[[nodiscard]] std::vector<const job::Job *>
orderByPriority(const View &Context, std::vector<const job::Job *> Queued,
                core::Time Now);
// Baseline: order of arrival.
[[nodiscard]] std::vector<const job::Job *>
orderByArrival(const View &Context, std::vector<const job::Job *> Queued,
               core::Time Now);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_ORDER_H
