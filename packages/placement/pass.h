// One placement pass over the queue.
#ifndef FIREFLYDRIFT_PLACEMENT_PASS_H
#define FIREFLYDRIFT_PLACEMENT_PASS_H

#include "placement/order.h"

namespace fireflydrift::placement {

// What varies between the product and its baselines.
struct PassOptions {
  Policy m_Policy = placeWithReservations;
  Order m_Order = orderByService;
  // Whether the oldest job that lacks room keeps targets for itself.
  bool m_ReserveForOldest = true;
  // Most jobs decided in one pass; the rest wait for the next.
  std::size_t m_MaxDecisions = 256;

  friend bool operator==(const PassOptions &, const PassOptions &) = default;
};

// The decisions of one pass, in order, and the reason for each job that can
// never run.
struct PassResult {
  std::vector<Decision> m_Decisions;
  std::map<core::JobKey, core::Reason> m_Refused;

  friend bool operator==(const PassResult &, const PassResult &) = default;
};

// Decides about the queued jobs at Now. The view's fleet is not changed; later
// jobs of the pass see the room that earlier ones took.
[[nodiscard]] PassResult runPass(const View &All,
                                 const std::vector<const job::Job *> &Queued,
                                 const PassOptions &Options, core::Time Now);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_PASS_H
