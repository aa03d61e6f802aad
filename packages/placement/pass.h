// One placement pass over the queued jobs.
#ifndef FIREFLYDRIFT_PLACEMENT_PASS_H
#define FIREFLYDRIFT_PLACEMENT_PASS_H

#include "placement/order.h"

namespace fireflydrift::placement {

// Options in which the product's policy differs from the baselines.
struct PassOptions {
  Policy m_Policy = placeWithReservations;
  Order m_Order = orderByPriority;
  // Whether the oldest job that lacks capacity gets a backfill reservation.
  bool m_ReserveForOldest = true;
  // Maximum number of jobs decided in one pass; the rest wait for the next.
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

// Decides the queued jobs at Now. The fleet of the view is not changed, but
// capacity that one job takes is gone for later jobs of the pass.
[[nodiscard]] PassResult runPass(const View &Context,
                                 const std::vector<const job::Job *> &Queued,
                                 const PassOptions &Options, core::Time Now);

} // namespace fireflydrift::placement

#endif // FIREFLYDRIFT_PLACEMENT_PASS_H
