// The one event loop of a process.
#ifndef FIREFLYDRIFT_RUNTIME_LOOP_H
#define FIREFLYDRIFT_RUNTIME_LOOP_H

#include "core/time.h"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace fireflydrift::runtime {

// Time since the VM booted, the time that it stood suspended included. A lease
// that ran out meanwhile has then run out for its holder as well.
[[nodiscard]] core::Duration elapsedWithSuspension();

// The present time of a process that started at WallAtStart, when the elapsed
// time was ElapsedAtStart. Never goes back, whatever the wall clock does.
[[nodiscard]] core::Time timeSince(core::Time WallAtStart,
                                   core::Duration ElapsedAtStart,
                                   core::Duration Elapsed) noexcept;

// Owns the h2o loop and the process's clock. Everything else in the process
// runs in callbacks of this loop.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  // The underlying h2o loop.
  [[nodiscard]] st_h2o_evloop_t *raw() const noexcept;
  // Wall-clock time at start plus the time elapsed since, suspension included;
  // never goes back.
  [[nodiscard]] core::Time now() const;

  // Runs Turn after every round of events until stop() is called. Turn returns
  // how long the loop may wait for events before the next round.
  void run(const std::function<core::Duration()> &Turn);
  void stop() noexcept { m_Stopped = true; }
  // Lets run() be called again after a stop.
  void resume() noexcept { m_Stopped = false; }

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
  bool m_Stopped = false;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LOOP_H
