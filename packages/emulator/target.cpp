#include "emulator/target.h"

#include <algorithm>

namespace fireflydrift::emulator {

Target::Target(core::TargetId Id, std::uint64_t Incarnation, std::string Rack,
               core::Capacity Capacity)
    : m_Id(std::move(Id)), m_Incarnation(Incarnation), m_Rack(std::move(Rack)),
      m_Capacity(Capacity) {}

workflow::TargetInstance Target::life() const {
  return {.m_Target = m_Id, .m_Incarnation = m_Incarnation};
}

static std::int32_t percentOf(const Run &Value, core::Time Now) {
  constexpr std::int64_t Whole = 100;
  auto Length =
      std::max<std::int64_t>((Value.m_EndsAt - Value.m_BeginsAt).count(), 1);
  return static_cast<std::int32_t>((Now - Value.m_BeginsAt).count() * Whole /
                                   Length);
}

roster::Report Target::report(core::Time Now) {
  roster::Report Value{.m_Target = m_Id,
                       .m_Incarnation = m_Incarnation,
                       .m_Sequence = ++m_Sequence,
                       .m_Pool = "pool",
                       .m_Address = m_Id.text(),
                       .m_Rack = m_Rack,
                       .m_Capacity = m_Capacity,
                       .m_Ended = m_Ended};
  // An order that waits to be carried out does not show yet.
  for (const auto &[Key, Each] : m_Runs)
    if (Each.m_BeginsAt <= Now)
      Value.m_Running.push_back({.m_Task = Key,
                                 .m_Run = Each.m_Number,
                                 .m_Percent = percentOf(Each, Now)});
  return Value;
}

bool Target::mayStart(const roster::StartOrder &Value) const {
  auto Barred = m_Barred.find(Value.m_Task);
  bool IsBarred = Barred != m_Barred.end() && Value.m_Run <= Barred->second;
  auto Present = m_Runs.find(Value.m_Task);
  bool IsThere =
      Present != m_Runs.end() && Present->second.m_Number >= Value.m_Run;
  return !IsBarred && !IsThere;
}

void Target::note(const workflow::TaskKey &Key, std::uint32_t Run,
                  roster::EndCause Why) {
  std::uint32_t &Barred = m_Barred[Key];
  Barred = std::max(Barred, Run);
  m_Ended.push_back(
      {.m_Number = ++m_Ends, .m_Task = Key, .m_Run = Run, .m_Cause = Why});
}

void Target::endRun(const workflow::TaskKey &Key, roster::EndCause Why) {
  auto Found = m_Runs.find(Key);
  if (Found == m_Runs.end())
    return;
  note(Key, Found->second.m_Number, Why);
  m_Runs.erase(Found);
}

void Target::postpone(const workflow::TaskKey &Key, core::Duration By) {
  auto Found = m_Runs.find(Key);
  if (Found != m_Runs.end())
    Found->second.m_EndsAt += By;
}

void Target::advance(core::Time Now) {
  std::vector<std::pair<workflow::TaskKey, roster::EndCause>> Over;
  bool LeaseOver = !m_Runs.empty() && Now >= m_LeaseUntil;
  for (const auto &[Key, Each] : m_Runs) {
    if (LeaseOver)
      Over.emplace_back(Key, roster::EndCause::LeaseExpired);
    else if (Each.m_Stopping)
      Over.emplace_back(Key, roster::EndCause::Stopped);
    else if (Now >= Each.m_EndsAt)
      Over.emplace_back(Key, Each.m_Fails ? roster::EndCause::Failed
                                          : roster::EndCause::Done);
  }
  for (const auto &[Key, Why] : Over)
    endRun(Key, Why);
}

} // namespace fireflydrift::emulator
