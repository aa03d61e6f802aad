// Retry budgets and back-off.
#ifndef FIREFLYDRIFT_ROUTING_RETRY_H
#define FIREFLYDRIFT_ROUTING_RETRY_H

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace fireflydrift::routing {

struct RetryOptions {
  core::Duration m_FirstDelay{500};
  core::Duration m_LongestDelay{4000};
  // Retries allowed for each hundred first tries.
  std::int64_t m_PercentOfFirstTries = 20;
  // Retries that are always allowed in a burst, and how many are kept at most.
  std::int64_t m_Reserve = 32;
  std::uint64_t m_Seed = 0;

  friend bool operator==(const RetryOptions &, const RetryOptions &) = default;
  friend auto operator<=>(const RetryOptions &, const RetryOptions &) = default;
};

// Bounds how much retries add to the load. Kept in hundredths of a retry.
struct RetryBudget {
  std::int64_t m_Hundredths = 0;

  friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
  friend auto operator<=>(const RetryBudget &, const RetryBudget &) = default;
};

[[nodiscard]] RetryBudget fullBudget(const RetryOptions &Options);
// The budget after a first try, which earns part of a retry.
[[nodiscard]] RetryBudget afterFirstTry(RetryBudget Before,
                                        const RetryOptions &Options);
// The budget after one more retry, or nothing when it does not cover one.
[[nodiscard]] std::optional<RetryBudget> afterRetry(RetryBudget Before);

// The wait before retry number Tries of the request Id: doubling from the
// first delay, spread by a draw that depends only on the arguments.
[[nodiscard]] core::Duration backOff(const RetryOptions &Options,
                                     std::uint64_t Id, std::uint32_t Tries);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_RETRY_H
