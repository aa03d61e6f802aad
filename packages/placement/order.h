// The order in which queued jobs are considered.
#ifndef FIREFLYDRIFT_PLACEMENT_ORDER_H
#define FIREFLYDRIFT_PLACEMENT_ORDER_H

#include "placement/place.h"

namespace fireflydrift::placement {

// Time in the queue after which a job goes before younger ones whatever its
// workspace uses.
inline constexpr core::Duration AgedAfter{600000};

// An order puts queued jobs into the sequence in which they are decided.
using Order = std::vector<const job::Job *> (*)(const View &,
                                                std::vector<const job::Job *>,
                                                core::Time);

// The product's order: claims on guarantees, then urgent work, then aged work,
// then short work, then the workspace that uses least for its weight.
[[nodiscard]] std::vector<const job::Job *>
orderByService(const View &All, std::vector<const job::Job *> Queued,
               core::Time Now);
// Baseline: order of arrival.
[[nodiscard]] std::vector<const job::Job *>
orderByArrival(const View &All, std::vector<const job::Job *> Queued,
               core::Time Now);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_ORDER_H
