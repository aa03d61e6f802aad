// Reads scenarios.
#include "emulator/scenario.h"

#include <charconv>
#include <functional>
#include <ini.h>

namespace fireflydrift::emulator {

namespace {

struct Reading {
  Scenario m_Scenario;
  core::Reason m_Why;

  void fail(const std::string &Key, const char *Rule) {
    if (m_Why.m_Code == core::ReasonCode::None)
      m_Why = {core::ReasonCode::InvalidInput, Key, Rule};
  }
};

using Set = std::function<void(Scenario &, std::uint32_t)>;

} // namespace

static const std::map<std::string, Set> &keys() {
  static const std::map<std::string, Set> Keys{
      {"load.seed", [](Scenario &To, auto N) { To.m_Seed = N; }},
      {"load.length_ms",
       [](Scenario &To, auto N) { To.m_Length = core::Duration(N); }},
      {"load.per_second", [](Scenario &To, auto N) { To.m_PerSecond = N; }},
      {"load.urgent_percent",
       [](Scenario &To, auto N) { To.m_UrgentPercent = N; }},
      {"load.reserved", [](Scenario &To, auto N) { To.m_Reserved = N; }},
      {"targets.count", [](Scenario &To, auto N) { To.m_Targets = N; }},
      {"targets.per_rack",
       [](Scenario &To, auto N) { To.m_TargetsPerRack = N; }},
      {"faults.lost", [](Scenario &To, auto N) { To.m_Faults.m_Lost = N; }},
      {"faults.late", [](Scenario &To, auto N) { To.m_Faults.m_Late = N; }},
      {"faults.delayed",
       [](Scenario &To, auto N) { To.m_Faults.m_Delayed = N; }},
      {"faults.crashed",
       [](Scenario &To, auto N) { To.m_Faults.m_Crashed = N; }},
      {"faults.elections",
       [](Scenario &To, auto N) { To.m_Faults.m_Elections = N; }},
      {"faults.failed", [](Scenario &To, auto N) { To.m_Faults.m_Failed = N; }},
      {"faults.cancelled",
       [](Scenario &To, auto N) { To.m_Faults.m_Cancelled = N; }}};
  return Keys;
}

static int onPair(void *User, const char *Section, const char *Name,
                  const char *Value) {
  auto &In = *static_cast<Reading *>(User);
  std::string Key = std::string(Section) + "." + Name;
  std::string Text = Value;
  if (Key == "load.name") {
    In.m_Scenario.m_Name = Text;
    return 1;
  }
  auto Found = keys().find(Key);
  if (Found == keys().end()) {
    In.fail(Key, "is not known");
    return 1;
  }
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End)
    In.fail(Key, "must be a whole number");
  else
    Found->second(In.m_Scenario, Number);
  return 1;
}

core::Outcome<Scenario> parseScenario(const std::string &Text) {
  Reading In;
  if (ini_parse_string(Text.c_str(), onPair, &In) != 0)
    In.fail("", "a line is neither a section nor key = value");
  if (In.m_Scenario.m_Targets == 0 || In.m_Scenario.m_TargetsPerRack == 0)
    In.fail("targets", "must be positive");
  if (In.m_Why.m_Code != core::ReasonCode::None)
    return In.m_Why;
  return In.m_Scenario;
}

} // namespace fireflydrift::emulator
