#include "runtime/loop.h"

#include "runtime/h2o_api.h"

#include <algorithm>
#include <ctime>

namespace fireflydrift::runtime {

struct Loop::Impl {
  h2o_evloop_t *m_Loop = nullptr;
  core::Time m_WallAtStart;
  core::Duration m_ElapsedAtStart{0};
};

core::Duration timeSinceBoot() {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec));
}

core::Time wallTimeAfter(core::Time WallAtStart, core::Duration ElapsedAtStart,
                         core::Duration Elapsed) noexcept {
  return WallAtStart + std::max(Elapsed - ElapsedAtStart, core::Duration(0));
}

Loop::Loop() : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Loop = h2o_evloop_create();
  m_Impl->m_WallAtStart = core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
  m_Impl->m_ElapsedAtStart = timeSinceBoot();
}

// h2o can't safely destroy a loop that has open sockets, so the loop lives as
// long as the process.
Loop::~Loop() = default;

st_h2o_evloop_t *Loop::raw() const noexcept { return m_Impl->m_Loop; }

core::Time Loop::now() const {
  return wallTimeAfter(m_Impl->m_WallAtStart, m_Impl->m_ElapsedAtStart,
                       timeSinceBoot());
}

void Loop::run(const std::function<core::Duration()> &Tick) {
  core::Duration Wait{0};
  while (!m_Stopped) {
    h2o_evloop_run(m_Impl->m_Loop, static_cast<std::int32_t>(Wait.count()));
    Wait = Tick();
  }
}

} // namespace fireflydrift::runtime
