#include "runtime/loop.h"

#include "runtime/h2o_api.h"

#include <algorithm>
#include <ctime>

namespace fireflydrift::runtime {

namespace {

// A timer of h2o that is always due. h2o completes the writes made by a timer's
// callback before it updates the events that it waits for.
struct TickTimer {
  // Must be the first member: h2o addresses the object by its entry.
  h2o_timeout_entry_t m_Entry{};
  const std::function<core::Duration()> *m_Tick = nullptr;
  core::Duration m_Wait{0};
};

} // namespace

struct Loop::Impl {
  h2o_evloop_t *m_Loop = nullptr;
  h2o_timeout_t m_Immediate{};
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
  h2o_timeout_init(m_Impl->m_Loop, &m_Impl->m_Immediate, 0);
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

static void onTick(h2o_timeout_entry_t *Entry) {
  auto *Timer = reinterpret_cast<TickTimer *>(Entry);
  Timer->m_Wait = (*Timer->m_Tick)();
}

void Loop::run(const std::function<core::Duration()> &Tick) {
  TickTimer Timer{.m_Tick = &Tick};
  Timer.m_Entry.cb = onTick;
  while (!m_Stopped) {
    h2o_evloop_run(m_Impl->m_Loop,
                   static_cast<std::int32_t>(Timer.m_Wait.count()));
    // Called directly, a tick would leave completed writes pending while h2o
    // updates its events: the socket would stay registered for writability
    // without a write under way, and h2o would stop the process at its next
    // event.
    h2o_timeout_link(m_Impl->m_Loop, &m_Impl->m_Immediate, &Timer.m_Entry);
    h2o_timeout_run(m_Impl->m_Loop, &m_Impl->m_Immediate,
                    h2o_now(m_Impl->m_Loop));
  }
}

} // namespace fireflydrift::runtime
