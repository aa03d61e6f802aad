// A load on emulated targets in virtual time, with the product's own control
// code between: what callers would get, and which promise was broken.
#ifndef FIREFLYDRIFT_EMULATOR_SCENARIO_H
#define FIREFLYDRIFT_EMULATOR_SCENARIO_H

#include "control/polling.h"

#include <string>
#include <vector>

namespace fireflydrift::emulator {

// ---- Scenarios -------------------------------------------------------------

// Probabilities are in thousandths.
struct Faults {
  // A report or its answer is lost.
  std::uint32_t m_Lost = 0;
  // A report arrives again, late, after newer ones.
  std::uint32_t m_Late = 0;
  // A target carries a start out late, by up to m_LongestDelay.
  std::uint32_t m_Delayed = 0;
  core::Duration m_LongestDelay{900};
  // Each second: a target crashes and comes back as another life.
  std::uint32_t m_Crashed = 0;
  // Each second: another leader takes over.
  std::uint32_t m_Elections = 0;
  // A run fails.
  std::uint32_t m_Failed = 0;
  // A workflow is cancelled some time after it was accepted.
  std::uint32_t m_Cancelled = 0;

  friend bool operator==(const Faults &, const Faults &) = default;
};

struct Scenario {
  std::string m_Name;
  std::uint64_t m_Seed = 1;
  std::uint32_t m_Targets = 16;
  std::uint32_t m_TargetsPerRack = 8;
  core::Duration m_Length{30000};
  // Workflows handed in each second while the load lasts.
  std::uint32_t m_PerSecond = 4;
  // Part of them with priority zero, in hundredths.
  std::uint32_t m_UrgentPercent = 50;
  // Accelerators reserved for the one workspace's urgent work.
  std::int64_t m_Reserved = 32;
  Faults m_Faults;
  control::PollingOptions m_Polling;

  friend bool operator==(const Scenario &, const Scenario &) = default;
};

// Reads a scenario in INI form. Fails with InvalidInput naming section and key.
[[nodiscard]] core::Outcome<Scenario> parseScenario(const std::string &Text);

// ---- Reports ---------------------------------------------------------------

struct ScenarioResult {
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Open = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Displaced = 0;
  // Time from acceptance to the first start of urgent workflows, sorted.
  std::vector<core::Duration> m_UrgentWaits;
  // Promises that were broken, each with its time.
  std::vector<std::string> m_Violations;

  friend bool operator==(const ScenarioResult &,
                         const ScenarioResult &) = default;
};

// Plays the scenario. The same scenario gives the same report.
[[nodiscard]] ScenarioResult runScenario(const Scenario &Value);

// The report as lines of "name value".
[[nodiscard]] std::string toText(const ScenarioResult &Value);

} // namespace fireflydrift::emulator

#endif // FIREFLYDRIFT_EMULATOR_SCENARIO_H
