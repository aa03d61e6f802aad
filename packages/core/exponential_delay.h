// Exponential delays with an upper bound.
#ifndef FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H
#define FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H

#include "core/time.h"

#include <algorithm>
#include <cstdint>

namespace fireflydrift::core {

// Returns FirstDelay doubled Doublings times, but at most MaxDelay.
[[nodiscard]] constexpr Duration
exponentialDelay(Duration FirstDelay, Duration MaxDelay,
                 std::uint32_t Doublings) noexcept {
  Duration Delay = FirstDelay;
  for (std::uint32_t I = 0; I < Doublings && Delay < MaxDelay; ++I)
    Delay *= 2;
  return std::min(Delay, MaxDelay);
}

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H
