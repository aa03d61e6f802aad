#include "routing/retry.h"

#include <algorithm>
#include <random>

namespace fireflydrift::routing {

static constexpr std::int64_t WholeRetry = 100;

RetryBudget fullBudget(const RetryOptions &Options) {
  return {.m_Hundredths = Options.m_Reserve * WholeRetry};
}

RetryBudget afterFirstTry(RetryBudget Before, const RetryOptions &Options) {
  std::int64_t Most = Options.m_Reserve * WholeRetry;
  return {.m_Hundredths = std::min(Most, Before.m_Hundredths +
                                             Options.m_PercentOfFirstTries)};
}

std::optional<RetryBudget> afterRetry(RetryBudget Before) {
  if (Before.m_Hundredths < WholeRetry)
    return std::nullopt;
  return RetryBudget{.m_Hundredths = Before.m_Hundredths - WholeRetry};
}

core::Duration backOff(const RetryOptions &Options, std::uint64_t Id,
                       std::uint32_t Tries) {
  core::Duration Delay = Options.m_FirstDelay;
  for (std::uint32_t I = 1; I < Tries && Delay < Options.m_LongestDelay; ++I)
    Delay *= 2;
  Delay = std::min(Delay, Options.m_LongestDelay);
  std::seed_seq Seed{static_cast<std::uint32_t>(Options.m_Seed),
                     static_cast<std::uint32_t>(Id), Tries};
  std::minstd_rand Random(Seed);
  std::uniform_int_distribution<core::Duration::rep> Part(Delay.count() / 2,
                                                          Delay.count());
  return core::Duration(Part(Random));
}

} // namespace fireflydrift::routing
