// One placement pass over the queued jobs.
#ifndef FIREFLYDRIFT_PLACEMENT_PASS_H
#define FIREFLYDRIFT_PLACEMENT_PASS_H

#include "placement/order.h"

namespace fireflydrift::placement {

// Options of a pass. The defaults are the policy of the product; the baselines
// override some of them.
struct PassOptions {
  Policy m_Policy = placeWithReservations;
  Order m_Order = orderByPriority;
  // Whether the oldest queued job gets a backfill reservation if it lacks only
  // capacity.
  bool m_ReserveForOldest = true;
  // Maximum number of jobs decided in one pass; the rest wait for the next.
  std::size_t m_MaxDecisions = 256;

  friend bool operator==(const PassOptions &, const PassOptions &) = default;
};

// The decisions of one pass, in order, and the reason for each job that can
// never run. A job that is equivalent to one that has to wait gets no decision.
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
