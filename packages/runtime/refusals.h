// Messages that were refused because their content is invalid or not credible.
// Their senders may repeat them any number of times, so each is counted, but at
// most one a second is logged.
#ifndef FIREFLYDRIFT_RUNTIME_REFUSALS_H
#define FIREFLYDRIFT_RUNTIME_REFUSALS_H

#include "core/outcome.h"
#include "core/time.h"
#include "runtime/counters.h"

namespace fireflydrift::runtime {

struct Refusal {
  // "report", "frame" or "heartbeat".
  const char *m_Kind = "";
  // The host that sent the message.
  std::string m_Source;
  // What the message is about, such as the id of a target; may be empty.
  std::string m_Subject;
  core::Reason m_Reason;

  friend bool operator==(const Refusal &, const Refusal &) = default;
};

struct RefusalLimiter {
  core::Time m_LastLoggedAt;
  // Refusals since then.
  std::uint64_t m_Unlogged = 0;

  friend bool operator==(const RefusalLimiter &,
                         const RefusalLimiter &) = default;
};

// Counts the refusal, and logs it unless another one was logged less than a
// second ago.
[[nodiscard]] RefusalLimiter recordRefusal(RefusalLimiter Before,
                                           Counters &Metrics,
                                           const Refusal &Value,
                                           core::Time Now);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_REFUSALS_H
