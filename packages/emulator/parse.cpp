// Parser for scenario files.
#include "emulator/scenario.h"

#include <charconv>
#include <functional>
#include <ini.h>

namespace fireflydrift::emulator {

namespace {

struct ParseState {
  Scenario m_Scenario;
  core::Reason m_Error;

  void fail(const std::string &Key, const char *Message) {
    if (m_Error.m_Code == core::ReasonCode::None)
      m_Error = {core::ReasonCode::InvalidInput, Key, Message};
  }
};

using ValueSetter = std::function<void(Scenario &, std::uint32_t)>;

} // namespace

static const std::map<std::string, ValueSetter> &keys() {
  static const std::map<std::string, ValueSetter> Keys{
      {"load.seed", [](Scenario &Values, auto N) { Values.m_Seed = N; }},
      {"load.length_ms",
       [](Scenario &Values, auto N) {
         Values.m_LoadDuration = core::Duration(N);
       }},
      {"load.per_second",
       [](Scenario &Values, auto N) { Values.m_WorkflowsPerSecond = N; }},
      {"load.urgent_percent",
       [](Scenario &Values, auto N) { Values.m_UrgentPercent = N; }},
      {"load.reserved",
       [](Scenario &Values, auto N) { Values.m_ReservedAccelerators = N; }},
      {"targets.count", [](Scenario &Values, auto N) { Values.m_Targets = N; }},
      {"targets.per_rack",
       [](Scenario &Values, auto N) { Values.m_TargetsPerRack = N; }},
      {"faults.lost",
       [](Scenario &Values, auto N) { Values.m_Faults.m_LostReports = N; }},
      {"faults.late",
       [](Scenario &Values, auto N) { Values.m_Faults.m_LateReports = N; }},
      {"faults.delayed",
       [](Scenario &Values, auto N) { Values.m_Faults.m_DelayedStarts = N; }},
      {"faults.crashed",
       [](Scenario &Values, auto N) { Values.m_Faults.m_TargetCrashes = N; }},
      {"faults.elections",
       [](Scenario &Values, auto N) { Values.m_Faults.m_Elections = N; }},
      {"faults.failed",
       [](Scenario &Values, auto N) { Values.m_Faults.m_FailedRuns = N; }},
      {"faults.cancelled", [](Scenario &Values, auto N) {
         Values.m_Faults.m_CancelledWorkflows = N;
       }}};
  return Keys;
}

static int onKeyValue(void *UserData, const char *Section, const char *Name,
                      const char *Value) {
  auto &State = *static_cast<ParseState *>(UserData);
  std::string Key = std::string(Section) + "." + Name;
  std::string Text = Value;
  if (Key == "load.name") {
    State.m_Scenario.m_Name = Text;
    return 1;
  }
  auto Found = keys().find(Key);
  if (Found == keys().end()) {
    State.fail(Key, "is not a known key");
    return 1;
  }
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End)
    State.fail(Key, "must be a non-negative integer");
  else
    Found->second(State.m_Scenario, Number);
  return 1;
}

core::Outcome<Scenario> parseScenario(const std::string &Text) {
  ParseState State;
  if (ini_parse_string(Text.c_str(), onKeyValue, &State) != 0)
    State.fail("", "a line is neither a section nor key = value");
  if (State.m_Scenario.m_Targets == 0 || State.m_Scenario.m_TargetsPerRack == 0)
    State.fail("targets", "must be positive");
  if (State.m_Error.m_Code != core::ReasonCode::None)
    return State.m_Error;
  return State.m_Scenario;
}

} // namespace fireflydrift::emulator
