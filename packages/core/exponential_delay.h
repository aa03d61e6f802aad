// Times that double with each repetition, up to a longest one.
#ifndef FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H
#define FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H

#include "core/time.h"

#include <algorithm>
#include <cstdint>

namespace fireflydrift::core {

// First, doubled so many times, but at most Longest.
[[nodiscard]] constexpr Duration
exponentialDelay(Duration First, Duration Longest,
                 std::uint32_t Times) noexcept {
  Duration Length = First;
  for (std::uint32_t I = 0; I < Times && Length < Longest; ++I)
    Length *= 2;
  return std::min(Length, Longest);
}

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_EXPONENTIAL_DELAY_H
