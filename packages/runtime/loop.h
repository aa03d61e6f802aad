// The one event loop of a process.
#ifndef FIREFLYDRIFT_RUNTIME_LOOP_H
#define FIREFLYDRIFT_RUNTIME_LOOP_H

#include "core/time.h"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace fireflydrift::runtime {

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
  // Milliseconds of wall-clock time at start plus monotonic time since; never
  // goes back.
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
