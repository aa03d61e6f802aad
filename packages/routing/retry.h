// Retry budget and exponential backoff.
#ifndef FIREFLYDRIFT_ROUTING_RETRY_H
#define FIREFLYDRIFT_ROUTING_RETRY_H

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace fireflydrift::routing {

struct RetryOptions {
  core::Duration m_FirstDelay{500};
  core::Duration m_LongestDelay{4000};
  // Retries allowed for each hundred first attempts.
  std::int64_t m_PercentOfFirstTries = 20;
  // Retries that are available as a burst at the start, and the maximum that
  // the budget can hold.
  std::int64_t m_MaxBurst = 32;
  std::uint64_t m_Seed = 0;

  friend bool operator==(const RetryOptions &, const RetryOptions &) = default;
  friend auto operator<=>(const RetryOptions &, const RetryOptions &) = default;
};

// Limits the load that retries add. Counted in hundredths of a retry.
struct RetryBudget {
  std::int64_t m_Hundredths = 0;

  friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
  friend auto operator<=>(const RetryBudget &, const RetryBudget &) = default;
};

[[nodiscard]] RetryBudget fullBudget(const RetryOptions &Options);
// Returns the budget after a first attempt, which earns a fraction of a retry.
[[nodiscard]] RetryBudget afterFirstTry(RetryBudget Before,
                                        const RetryOptions &Options);
// Returns the budget after one more retry, or nothing if it does not cover one.
[[nodiscard]] std::optional<RetryBudget> afterRetry(RetryBudget Before);

// Returns the delay before retry number Tries of the request Id: half to all of
// an exponential delay that starts at the first delay, with jitter that depends
// only on the arguments.
[[nodiscard]] core::Duration retryDelay(const RetryOptions &Options,
                                        std::uint64_t Id, std::uint32_t Tries);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_RETRY_H
