#include "routing/retry.h"

#include "core/exponential_delay.h"

#include <algorithm>
#include <random>

namespace fireflydrift::routing {

static constexpr std::int64_t HundredthsPerRetry = 100;

RetryBudget fullBudget(const RetryOptions &Options) {
  return {.m_Hundredths = Options.m_MaxBurst * HundredthsPerRetry};
}

RetryBudget afterFirstTry(RetryBudget Before, const RetryOptions &Options) {
  std::int64_t MaxHundredths = Options.m_MaxBurst * HundredthsPerRetry;
  return {.m_Hundredths =
              std::min(MaxHundredths,
                       Before.m_Hundredths + Options.m_PercentOfFirstTries)};
}

std::optional<RetryBudget> afterRetry(RetryBudget Before) {
  if (Before.m_Hundredths < HundredthsPerRetry)
    return std::nullopt;
  return RetryBudget{.m_Hundredths = Before.m_Hundredths - HundredthsPerRetry};
}

core::Duration retryDelay(const RetryOptions &Options, std::uint64_t Id,
                          std::uint32_t Tries) {
  // Zero attempts and one attempt both give the first delay.
  std::uint32_t Doublings = Tries == 0 ? 0 : Tries - 1;
  core::Duration Delay = core::exponentialDelay(
      Options.m_FirstDelay, Options.m_LongestDelay, Doublings);
  std::seed_seq Seed{static_cast<std::uint32_t>(Options.m_Seed),
                     static_cast<std::uint32_t>(Id), Tries};
  std::minstd_rand Random(Seed);
  std::uniform_int_distribution<core::Duration::rep> Distribution(
      Delay.count() / 2, Delay.count());
  return core::Duration(Distribution(Random));
}

} // namespace fireflydrift::routing
