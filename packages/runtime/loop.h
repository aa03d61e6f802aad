// The event loop of a process and its clock.
#ifndef FIREFLYDRIFT_RUNTIME_LOOP_H
#define FIREFLYDRIFT_RUNTIME_LOOP_H

#include "core/time.h"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace fireflydrift::runtime {

// Time since the VM booted, including time spent suspended, so that a lease
// that expires during a suspension has also expired for its holder.
[[nodiscard]] core::Duration timeSinceBoot();

// The present time of a process that started at wall-clock time WallAtStart.
// ElapsedAtStart and Elapsed are the time since boot at that start and now.
// Never earlier than WallAtStart, and unaffected when the wall clock is set.
[[nodiscard]] core::Time wallTimeAfter(core::Time WallAtStart,
                                       core::Duration ElapsedAtStart,
                                       core::Duration Elapsed) noexcept;

// Owns the h2o event loop and the clock of the process. All other code of the
// process runs in callbacks of this loop.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  // The underlying h2o loop.
  [[nodiscard]] st_h2o_evloop_t *raw() const noexcept;
  // Wall-clock time at start plus the time elapsed since, including suspension.
  // Monotonic.
  [[nodiscard]] core::Time now() const;

  // Runs the loop until stop() is called. Tick is called after each iteration
  // and returns how long the next one may wait for events.
  void run(const std::function<core::Duration()> &Tick);
  void stop() noexcept { m_Stopped = true; }
  // Allows run() to be called again after stop().
  void resume() noexcept { m_Stopped = false; }

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
  bool m_Stopped = false;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LOOP_H
