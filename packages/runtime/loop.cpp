#include "runtime/loop.h"

#include "runtime/h2o_api.h"

namespace fireflydrift::runtime {

struct Loop::Impl {
  h2o_evloop_t *m_Loop = nullptr;
  std::chrono::system_clock::time_point m_WallAtStart;
  std::chrono::steady_clock::time_point m_SteadyAtStart;
};

Loop::Loop() : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Loop = h2o_evloop_create();
  m_Impl->m_WallAtStart = std::chrono::system_clock::now();
  m_Impl->m_SteadyAtStart = std::chrono::steady_clock::now();
}

// The h2o loop has no safe way to be destroyed while sockets are open; it
// lives as long as the process.
Loop::~Loop() = default;

st_h2o_evloop_t *Loop::raw() const noexcept { return m_Impl->m_Loop; }

core::Time Loop::now() const {
  auto Since = std::chrono::steady_clock::now() - m_Impl->m_SteadyAtStart;
  auto Wall = m_Impl->m_WallAtStart.time_since_epoch() + Since;
  return core::Time(std::chrono::duration_cast<core::Duration>(Wall));
}

void Loop::run(const std::function<core::Duration()> &Turn) {
  core::Duration Wait{0};
  while (!m_Stopped) {
    h2o_evloop_run(m_Impl->m_Loop, static_cast<std::int32_t>(Wait.count()));
    Wait = Turn();
  }
}

} // namespace fireflydrift::runtime
