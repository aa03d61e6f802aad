// Sort orders of queued jobs.
#ifndef FIREFLYDRIFT_PLACEMENT_ORDER_H
#define FIREFLYDRIFT_PLACEMENT_ORDER_H

#include "placement/place.h"

namespace fireflydrift::placement {

// Time in the queue after which a job goes before younger ones, whatever
// capacity its workspace uses.
inline constexpr core::Duration AgingThreshold{600000};

// Sorts queued jobs into the sequence in which a pass decides them.
using Order = std::vector<const job::Job *> (*)(const View &,
                                                std::vector<const job::Job *>,
                                                core::Time);

// The product's order: claims on guarantees, then urgent jobs, then aged jobs,
// then short jobs, then the workspace with the least usage for its weight.
[[nodiscard]] std::vector<const job::Job *>
orderByPriority(const View &Context, std::vector<const job::Job *> Queued,
                core::Time Now);
// Baseline: order of arrival.
[[nodiscard]] std::vector<const job::Job *>
orderByArrival(const View &Context, std::vector<const job::Job *> Queued,
               core::Time Now);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_ORDER_H
