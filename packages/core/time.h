// Time points and durations, in milliseconds. Nothing in the decision packages
// reads a clock; the present time is always an argument.
#ifndef FIREFLYDRIFT_CORE_TIME_H
#define FIREFLYDRIFT_CORE_TIME_H

#include <chrono>

namespace fireflydrift::core {

// Clock type of time points that come from the runtime or from a virtual clock.
struct Clock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = false;
};

using Duration = std::chrono::milliseconds;
using Time = Clock::time_point;

// Returns the time point at this many milliseconds since the clock's epoch.
[[nodiscard]] constexpr Time timeFromMs(Duration::rep Ms) noexcept {
  return Time(Duration(Ms));
}

// Returns the milliseconds since the clock's epoch.
[[nodiscard]] constexpr Duration::rep toMs(Time At) noexcept {
  return At.time_since_epoch().count();
}

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_TIME_H
