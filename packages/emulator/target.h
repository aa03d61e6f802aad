// An emulated target that fetches its orders: it keeps leases, fences and run
// numbers as a real one does, and carries orders out late now and then.
#ifndef FIREFLYDRIFT_EMULATOR_TARGET_H
#define FIREFLYDRIFT_EMULATOR_TARGET_H

#include "roster/report.h"

#include <map>

namespace fireflydrift::emulator {

// A run on a target.
struct Run {
  std::uint32_t m_Number = 0;
  core::Time m_BeginsAt;
  core::Time m_EndsAt;
  bool m_Fails = false;
  bool m_Stopping = false;

  friend bool operator==(const Run &, const Run &) = default;
};

// How a start turns out, drawn by the scenario.
struct Fate {
  core::Duration m_Delay{0};
  core::Duration m_RunTime{0};
  bool m_Fails = false;

  friend bool operator==(const Fate &, const Fate &) = default;
};

// One life of a target.
class Target {
public:
  Target(core::TargetId Id, std::uint64_t Incarnation, std::string Rack,
         core::Capacity Capacity);

  [[nodiscard]] workflow::TargetInstance life() const;
  [[nodiscard]] const std::map<workflow::TaskKey, Run> &runs() const noexcept {
    return m_Runs;
  }
  [[nodiscard]] const core::Capacity &capacity() const noexcept {
    return m_Capacity;
  }
  // The report that the target would send at Now.
  [[nodiscard]] roster::Report report(core::Time Now);

  // Takes an answer to a report that left at SentAt. Draw gives the fate of
  // each start.
  template <class Draw>
  void take(const roster::Orders &Value, core::Time SentAt, core::Time Now,
            const Draw &DrawFate);
  // Ends what is due: finished runs, stops, expired leases.
  void advance(core::Time Now);
  // Puts the end of a run off, because its gang is not complete yet.
  void postpone(const workflow::TaskKey &Key, core::Duration By);
  // Ends a run because its gang lost another member, or is done.
  void endRun(const workflow::TaskKey &Key, roster::EndCause Why);

  friend bool operator==(const Target &, const Target &) = default;

private:
  [[nodiscard]] bool mayStart(const roster::StartOrder &Value) const;
  void note(const workflow::TaskKey &Key, std::uint32_t Run,
            roster::EndCause Why);

  core::TargetId m_Id;
  std::uint64_t m_Incarnation = 0;
  std::string m_Rack;
  core::Capacity m_Capacity;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Fence = 0;
  std::uint64_t m_Ends = 0;
  core::Time m_LeaseUntil;
  std::map<workflow::TaskKey, Run> m_Runs;
  // Highest run of each task that was stopped or ended here.
  std::map<workflow::TaskKey, std::uint32_t> m_Barred;
  std::vector<roster::EndedTask> m_Ended;
};

template <class Draw>
void Target::take(const roster::Orders &Value, core::Time SentAt,
                  core::Time Now, const Draw &DrawFate) {
  if (Value.m_FencingToken < m_Fence || Value.m_Lease <= core::Duration::zero())
    return;
  m_Fence = Value.m_FencingToken;
  m_LeaseUntil = std::max(m_LeaseUntil, SentAt + Value.m_Lease);
  std::erase_if(m_Ended, [&](const roster::EndedTask &Each) {
    return Each.m_Number <= Value.m_AcknowledgedThrough;
  });
  for (const roster::StopOrder &Each : Value.m_Stops) {
    std::uint32_t &Barred = m_Barred[Each.m_Task];
    Barred = std::max(Barred, Each.m_Run);
    auto Found = m_Runs.find(Each.m_Task);
    if (Found != m_Runs.end() && Found->second.m_Number <= Each.m_Run)
      Found->second.m_Stopping = true;
  }
  for (const roster::StartOrder &Each : Value.m_Starts) {
    if (!mayStart(Each))
      continue;
    Fate Drawn = DrawFate(Each);
    core::Time Begins = Now + Drawn.m_Delay;
    m_Runs[Each.m_Task] = {.m_Number = Each.m_Run,
                           .m_BeginsAt = Begins,
                           .m_EndsAt = Begins + Drawn.m_RunTime,
                           .m_Fails = Drawn.m_Fails};
  }
}

} // namespace fireflydrift::emulator

#endif // FIREFLYDRIFT_EMULATOR_TARGET_H
