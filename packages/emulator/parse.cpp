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

  // Keeps the first error only.
  void fail(const std::string &Key, const char *Message) {
    if (m_Error.m_Code == core::ReasonCode::None)
      m_Error = {core::ReasonCode::InvalidInput, Key, Message};
  }
};

using ValueSetter = std::function<void(Scenario &, std::uint32_t)>;

} // namespace

static const std::map<std::string, ValueSetter> &settersByKey() {
  static const std::map<std::string, ValueSetter> Setters{
      {"load.seed", [](Scenario &Parsed, auto N) { Parsed.m_Seed = N; }},
      {"load.length_ms",
       [](Scenario &Parsed, auto N) {
         Parsed.m_LoadDuration = core::Duration(N);
       }},
      {"load.per_second",
       [](Scenario &Parsed, auto N) { Parsed.m_WorkflowsPerSecond = N; }},
      {"load.urgent_percent",
       [](Scenario &Parsed, auto N) { Parsed.m_UrgentPercent = N; }},
      {"load.reserved",
       [](Scenario &Parsed, auto N) { Parsed.m_ReservedAccelerators = N; }},
      {"targets.count", [](Scenario &Parsed, auto N) { Parsed.m_Targets = N; }},
      {"targets.per_rack",
       [](Scenario &Parsed, auto N) { Parsed.m_TargetsPerRack = N; }},
      {"faults.lost",
       [](Scenario &Parsed, auto N) { Parsed.m_Faults.m_LostReports = N; }},
      {"faults.late", [](Scenario &Parsed,
                         auto N) { Parsed.m_Faults.m_DuplicateReports = N; }},
      {"faults.delayed",
       [](Scenario &Parsed, auto N) { Parsed.m_Faults.m_DelayedStarts = N; }},
      {"faults.crashed",
       [](Scenario &Parsed, auto N) { Parsed.m_Faults.m_TargetCrashes = N; }},
      {"faults.elections",
       [](Scenario &Parsed, auto N) { Parsed.m_Faults.m_Elections = N; }},
      {"faults.failed",
       [](Scenario &Parsed, auto N) { Parsed.m_Faults.m_FailedRuns = N; }},
      {"faults.cancelled", [](Scenario &Parsed, auto N) {
         Parsed.m_Faults.m_CancelledWorkflows = N;
       }}};
  return Setters;
}

// Always returns 1, so that inih goes on; errors are kept in the state.
static int onKeyValue(void *UserData, const char *Section, const char *Name,
                      const char *Value) {
  auto &State = *static_cast<ParseState *>(UserData);
  std::string Key = std::string(Section) + "." + Name;
  std::string Text = Value;
  if (Key == "load.name") {
    State.m_Scenario.m_Name = Text;
    return 1;
  }
  auto Found = settersByKey().find(Key);
  if (Found == settersByKey().end()) {
    State.fail(Key, "is not a known key");
    return 1;
  }
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || ParsedEnd != End)
    State.fail(Key, "must be an integer from 0 to 4294967295");
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
