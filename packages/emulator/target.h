// An emulated target that polls for its orders. It observes leases, fencing
// tokens and run numbers as a real target does, and may carry orders out late.
#ifndef FIREFLYDRIFT_EMULATOR_TARGET_H
#define FIREFLYDRIFT_EMULATOR_TARGET_H

#include "roster/report.h"

#include <map>

namespace fireflydrift::emulator {

// An execution of a task on a target.
struct Run {
  std::uint32_t m_Number = 0;
  core::Time m_BeginsAt;
  core::Time m_EndsAt;
  bool m_Fails = false;
  bool m_Stopping = false;

  friend bool operator==(const Run &, const Run &) = default;
};

// Start delay, run time and outcome that the scenario chooses for a run.
struct SimulatedRun {
  core::Duration m_Delay{0};
  core::Duration m_RunTime{0};
  bool m_Fails = false;

  friend bool operator==(const SimulatedRun &, const SimulatedRun &) = default;
};

// One instance of a target, from a start of the process to its end.
class Target {
public:
  Target(core::TargetId Id, std::uint64_t Incarnation, std::string Rack,
         core::Capacity Capacity);

  [[nodiscard]] workflow::TargetInstance instance() const;
  [[nodiscard]] const std::map<workflow::TaskKey, Run> &runs() const noexcept {
    return m_Runs;
  }
  [[nodiscard]] const core::Capacity &capacity() const noexcept {
    return m_Capacity;
  }
  // Builds the next report of the target, as of Now, and counts up its sequence
  // number.
  [[nodiscard]] roster::Report report(core::Time Now);

  // Handles the reply to a report that was sent at SentAt. A reply with an
  // older fencing token or without a lease is ignored. DrawRun returns the
  // SimulatedRun for each run that is started.
  template <class DrawFunction>
  void handleOrders(const roster::Orders &Value, core::Time SentAt,
                    core::Time Now, const DrawFunction &DrawRun);
  // Ends runs that are finished or being stopped, and all runs once the lease
  // has expired.
  void advance(core::Time Now);
  // Postpones the end of a run whose gang is not complete yet.
  void postponeEnd(const workflow::TaskKey &Key, core::Duration Delay);
  // Ends a run, for example because its gang lost a member or is done.
  void endRun(const workflow::TaskKey &Key, roster::EndCause Cause);

  friend bool operator==(const Target &, const Target &) = default;

private:
  [[nodiscard]] bool mayStart(const roster::StartOrder &Value) const;
  void recordEnd(const workflow::TaskKey &Key, std::uint32_t Run,
                 roster::EndCause Cause);

  core::TargetId m_Id;
  std::uint64_t m_Incarnation = 0;
  std::string m_Rack;
  core::Capacity m_Capacity;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_FencingToken = 0;
  std::uint64_t m_LastEndNumber = 0;
  core::Time m_LeaseUntil;
  std::map<workflow::TaskKey, Run> m_Runs;
  // Highest run of each task that was stopped or has ended here.
  std::map<workflow::TaskKey, std::uint32_t> m_HighestEndedRun;
  std::vector<roster::EndedTask> m_Ended;
};

template <class DrawFunction>
void Target::handleOrders(const roster::Orders &Value, core::Time SentAt,
                          core::Time Now, const DrawFunction &DrawRun) {
  if (Value.m_FencingToken < m_FencingToken ||
      Value.m_Lease <= core::Duration::zero())
    return;
  m_FencingToken = Value.m_FencingToken;
  m_LeaseUntil = std::max(m_LeaseUntil, SentAt + Value.m_Lease);
  std::erase_if(m_Ended, [&](const roster::EndedTask &Each) {
    return Each.m_Number <= Value.m_AcknowledgedThrough;
  });
  for (const roster::StopOrder &Each : Value.m_Stops) {
    std::uint32_t &HighestEnded = m_HighestEndedRun[Each.m_Task];
    HighestEnded = std::max(HighestEnded, Each.m_Run);
    auto Found = m_Runs.find(Each.m_Task);
    if (Found != m_Runs.end() && Found->second.m_Number <= Each.m_Run)
      Found->second.m_Stopping = true;
  }
  for (const roster::StartOrder &Each : Value.m_Starts) {
    if (!mayStart(Each))
      continue;
    SimulatedRun Drawn = DrawRun(Each);
    core::Time Begins = Now + Drawn.m_Delay;
    m_Runs[Each.m_Task] = {.m_Number = Each.m_Run,
                           .m_BeginsAt = Begins,
                           .m_EndsAt = Begins + Drawn.m_RunTime,
                           .m_Fails = Drawn.m_Fails};
  }
}

} // namespace fireflydrift::emulator

#endif // FIREFLYDRIFT_EMULATOR_TARGET_H
