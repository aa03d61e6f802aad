// Operations on their way from an entry VM to the leader.
#ifndef FIREFLYDRIFT_ROUTING_FORWARDING_H
#define FIREFLYDRIFT_ROUTING_FORWARDING_H

#include "core/ids.h"
#include "routing/retry.h"

#include <map>
#include <vector>

namespace fireflydrift::routing {

// One operation that has no reply yet. Every operation is idempotent, so it
// may be sent again to the same leader or to another.
struct Pending {
  core::Time m_Deadline;
  core::Time m_NextAt;
  std::uint32_t m_Tries = 0;
  core::VmId m_SentTo;

  friend bool operator==(const Pending &, const Pending &) = default;
  friend auto operator<=>(const Pending &, const Pending &) = default;
};

struct Forwarding {
  std::map<std::uint64_t, Pending> m_Pending;
  RetryBudget m_Budget;

  friend bool operator==(const Forwarding &, const Forwarding &) = default;
};

// An operation whose deadline is over.
struct Expired {
  std::uint64_t m_Id = 0;
  // False when it was never sent, so that it can't have taken effect.
  bool m_WasSent = false;

  friend bool operator==(const Expired &, const Expired &) = default;
  friend auto operator<=>(const Expired &, const Expired &) = default;
};

// What to do now: operations to send to the leader, and operations whose
// deadline is over.
struct ForwardingStep {
  Forwarding m_Forwarding;
  std::vector<std::uint64_t> m_Send;
  std::vector<Expired> m_Expired;

  friend bool operator==(const ForwardingStep &,
                         const ForwardingStep &) = default;
};

// True when the operation was sent more than once. An earlier try that was not
// answered may have been decided, so a refusal of a later one says nothing
// about whether the operation takes effect.
[[nodiscard]] bool wasRetried(const Forwarding &Value, std::uint64_t Id);

[[nodiscard]] Forwarding added(Forwarding Before, std::uint64_t Id,
                               core::Time Deadline, core::Time Now);
[[nodiscard]] Forwarding removed(Forwarding Before, std::uint64_t Id);
// The receiver does not lead; the operation waits for a leader to be known.
[[nodiscard]] Forwarding rejectedByNonLeader(Forwarding Before,
                                             std::uint64_t Id,
                                             const RetryOptions &Options,
                                             core::Time Now);
// Leader is empty while none is known.
[[nodiscard]] ForwardingStep dispatchDue(Forwarding Before,
                                         const core::VmId &Leader,
                                         const RetryOptions &Options,
                                         core::Time Now);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_FORWARDING_H
