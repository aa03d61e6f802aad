// Time points and durations, in milliseconds. Functions that make decisions
// never read a clock; they take the present time as an argument.
#ifndef FIREFLYDRIFT_CORE_TIME_H
#define FIREFLYDRIFT_CORE_TIME_H

#include <chrono>

namespace fireflydrift::core {

// Tag type for time points. It has no now(): the event loop or a simulation
// supplies the time.
struct Clock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = false;
};

using Duration = std::chrono::milliseconds;
using Time = Clock::time_point;

// Returns the time point at this many milliseconds since the Unix epoch, or
// since the epoch of a simulation.
[[nodiscard]] constexpr Time timeFromMs(Duration::rep Ms) noexcept {
  return Time(Duration(Ms));
}

// Returns the milliseconds from the epoch to At; the inverse of timeFromMs().
[[nodiscard]] constexpr Duration::rep toMs(Time At) noexcept {
  return At.time_since_epoch().count();
}

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_TIME_H
