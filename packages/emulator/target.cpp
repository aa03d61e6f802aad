#include "emulator/target.h"

#include <algorithm>

namespace fireflydrift::emulator {

Target::Target(core::TargetId Id, std::uint64_t Incarnation, std::string Rack,
               core::Capacity Capacity)
    : m_Id(std::move(Id)), m_Incarnation(Incarnation), m_Rack(std::move(Rack)),
      m_Capacity(Capacity) {}

workflow::TargetInstance Target::instance() const {
  return {.m_Target = m_Id, .m_Incarnation = m_Incarnation};
}

static std::int32_t percentOf(const Run &Value, core::Time Now) {
  constexpr std::int64_t HundredPercent = 100;
  auto Length =
      std::max<std::int64_t>((Value.m_EndsAt - Value.m_BeginsAt).count(), 1);
  return static_cast<std::int32_t>((Now - Value.m_BeginsAt).count() *
                                   HundredPercent / Length);
}

roster::Report Target::report(core::Time Now) {
  roster::Report Value{.m_Target = m_Id,
                       .m_Incarnation = m_Incarnation,
                       .m_Sequence = ++m_Sequence,
                       .m_Pool = "pool",
                       .m_Address = m_Id.text() + ":1",
                       .m_SourceHost = m_Id.text(),
                       .m_Rack = m_Rack,
                       .m_Capacity = m_Capacity,
                       .m_Ended = m_Ended};
  // A start order whose delay is not over yet is not reported.
  for (const auto &[Key, Each] : m_Runs)
    if (Each.m_BeginsAt <= Now)
      Value.m_Running.push_back({.m_Task = Key,
                                 .m_Run = Each.m_Number,
                                 .m_Percent = percentOf(Each, Now)});
  return Value;
}

bool Target::mayStart(const roster::StartOrder &Value) const {
  auto HighestEnded = m_HighestEndedRun.find(Value.m_Task);
  bool AlreadyEnded = HighestEnded != m_HighestEndedRun.end() &&
                      Value.m_Run <= HighestEnded->second;
  auto Present = m_Runs.find(Value.m_Task);
  bool IsPresent =
      Present != m_Runs.end() && Present->second.m_Number >= Value.m_Run;
  return !AlreadyEnded && !IsPresent;
}

void Target::recordEnd(const workflow::TaskKey &Key, std::uint32_t Run,
                       roster::EndCause Cause) {
  std::uint32_t &HighestEnded = m_HighestEndedRun[Key];
  HighestEnded = std::max(HighestEnded, Run);
  m_Ended.push_back({.m_Number = ++m_LastEndNumber,
                     .m_Task = Key,
                     .m_Run = Run,
                     .m_Cause = Cause});
}

void Target::endRun(const workflow::TaskKey &Key, roster::EndCause Cause) {
  auto Found = m_Runs.find(Key);
  if (Found == m_Runs.end())
    return;
  recordEnd(Key, Found->second.m_Number, Cause);
  m_Runs.erase(Found);
}

void Target::postponeEnd(const workflow::TaskKey &Key, core::Duration Delay) {
  auto Found = m_Runs.find(Key);
  if (Found != m_Runs.end())
    Found->second.m_EndsAt += Delay;
}

void Target::advance(core::Time Now) {
  std::vector<std::pair<workflow::TaskKey, roster::EndCause>> EndedRuns;
  bool LeaseExpired = !m_Runs.empty() && Now >= m_LeaseUntil;
  for (const auto &[Key, Each] : m_Runs) {
    if (LeaseExpired)
      EndedRuns.emplace_back(Key, roster::EndCause::LeaseExpired);
    else if (Each.m_Stopping)
      EndedRuns.emplace_back(Key, roster::EndCause::Stopped);
    else if (Now >= Each.m_EndsAt)
      EndedRuns.emplace_back(Key, Each.m_Fails ? roster::EndCause::Failed
                                               : roster::EndCause::Done);
  }
  for (const auto &[Key, Cause] : EndedRuns)
    endRun(Key, Cause);
}

} // namespace fireflydrift::emulator
