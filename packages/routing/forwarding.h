// Operations that an entry VM forwards to the leader.
#ifndef FIREFLYDRIFT_ROUTING_FORWARDING_H
#define FIREFLYDRIFT_ROUTING_FORWARDING_H

#include "core/ids.h"
#include "routing/retry.h"

#include <map>
#include <vector>

namespace fireflydrift::routing {

// An operation without a reply. Operations are idempotent, so one may be resent
// to the same leader or sent to another.
struct Pending {
  core::Time m_Deadline;
  // Time of the next attempt. An operation that was last sent to another leader
  // is due at once.
  core::Time m_NextAt;
  std::uint32_t m_Tries = 0;
  // The leader that it was last sent to; empty before the first attempt and
  // after the receiver rejected it as non-leader.
  core::VmId m_SentTo;

  friend bool operator==(const Pending &, const Pending &) = default;
  friend auto operator<=>(const Pending &, const Pending &) = default;
};

struct Forwarding {
  std::map<std::uint64_t, Pending> m_Pending;
  RetryBudget m_Budget;

  friend bool operator==(const Forwarding &, const Forwarding &) = default;
};

// An operation whose deadline has passed.
struct Expired {
  std::uint64_t m_Id = 0;
  // False if it was never sent and therefore cannot have taken effect.
  bool m_WasSent = false;

  friend bool operator==(const Expired &, const Expired &) = default;
  friend auto operator<=>(const Expired &, const Expired &) = default;
};

// The new state, the operations to send to the leader now, and the operations
// whose deadline has passed.
struct ForwardingStep {
  Forwarding m_Forwarding;
  std::vector<std::uint64_t> m_Send;
  std::vector<Expired> m_Expired;

  friend bool operator==(const ForwardingStep &,
                         const ForwardingStep &) = default;
};

// Returns true if the operation was sent more than once. An earlier attempt
// without a reply may have been committed, so the rejection of a later one does
// not tell whether the operation takes effect.
[[nodiscard]] bool wasRetried(const Forwarding &Value, std::uint64_t Id);

[[nodiscard]] Forwarding added(Forwarding Before, std::uint64_t Id,
                               core::Time Deadline, core::Time Now);
[[nodiscard]] Forwarding removed(Forwarding Before, std::uint64_t Id);
// Reschedules an operation whose receiver is not the leader. It is sent again
// once a leader is known and the first retry delay has passed.
[[nodiscard]] Forwarding rejectedByNonLeader(Forwarding Before,
                                             std::uint64_t Id,
                                             const RetryOptions &Options,
                                             core::Time Now);
// Makes an operation due of which the only copy was sent to this VM over a
// connection that broke before the VM acknowledged it. The VM may have received
// it all the same, so the next attempt counts as a retry, but the retry budget
// doesn't limit it. A later copy is followed by the usual retries.
[[nodiscard]] Forwarding unacknowledged(Forwarding Before, std::uint64_t Id,
                                        const core::VmId &To, core::Time Now);
// Selects the operations to send or to expire at Now. Leader is empty while
// none is known.
[[nodiscard]] ForwardingStep dispatchDue(Forwarding Before,
                                         const core::VmId &Leader,
                                         const RetryOptions &Options,
                                         core::Time Now);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_FORWARDING_H
