// Deterministic simulation in virtual time: a generated load and emulated
// targets run with the production control code. The result shows how the
// workflows ended, how long urgent ones waited, and which invariants were
// violated.
#ifndef FIREFLYDRIFT_EMULATOR_SCENARIO_H
#define FIREFLYDRIFT_EMULATOR_SCENARIO_H

#include "control/polling.h"

#include <string>
#include <vector>

namespace fireflydrift::emulator {

// ---- Scenarios -------------------------------------------------------------

// Fault injection. Probabilities are in thousandths.
struct Faults {
  // Probability that a report is lost; drawn again for the response to it.
  std::uint32_t m_LostReports = 0;
  // Probability that a report is delivered a second time, after newer ones.
  std::uint32_t m_DuplicateReports = 0;
  // Probability that a target executes a start order late, by up to
  // m_MaxStartDelay.
  std::uint32_t m_DelayedStarts = 0;
  core::Duration m_MaxStartDelay{900};
  // Probability per second, for each target, that it crashes and restarts as a
  // new instance.
  std::uint32_t m_TargetCrashes = 0;
  // Probability per second that another leader takes over.
  std::uint32_t m_Elections = 0;
  // Probability that a run fails.
  std::uint32_t m_FailedRuns = 0;
  // Probability that a workflow is cancelled, after a random delay from its
  // acceptance.
  std::uint32_t m_CancelledWorkflows = 0;

  friend bool operator==(const Faults &, const Faults &) = default;
};

struct Scenario {
  std::string m_Name;
  std::uint64_t m_Seed = 1;
  std::uint32_t m_Targets = 16;
  std::uint32_t m_TargetsPerRack = 8;
  core::Duration m_LoadDuration{30000};
  // Workflows submitted per second while the load lasts.
  std::uint32_t m_WorkflowsPerSecond = 4;
  // Percentage of workflows with priority zero, called urgent.
  std::uint32_t m_UrgentPercent = 50;
  // Accelerators reserved for the urgent workflows. A scenario has one
  // workspace.
  std::int64_t m_ReservedAccelerators = 32;
  Faults m_Faults;
  control::PollingOptions m_Polling;

  friend bool operator==(const Scenario &, const Scenario &) = default;
};

// Parses a scenario from INI text. Fails with InvalidInput. The field is
// "section.key", "targets" when one of that section's numbers is zero, or empty
// for a malformed line.
[[nodiscard]] core::Outcome<Scenario> parseScenario(const std::string &Text);

// ---- Results ---------------------------------------------------------------

struct ScenarioResult {
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Unfinished = 0;
  // Completed workflows that met their latency objective.
  std::uint64_t m_InTime = 0;
  // Start orders delivered to targets.
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Preempted = 0;
  // Times from the acceptance of urgent workflows to their first start, sorted.
  std::vector<core::Duration> m_UrgentWaits;
  // Invariant violations, each with the task and the time.
  std::vector<std::string> m_Violations;

  friend bool operator==(const ScenarioResult &,
                         const ScenarioResult &) = default;
};

// Runs the scenario. The same scenario always gives the same result.
[[nodiscard]] ScenarioResult runScenario(const Scenario &Value);

// Formats the result as lines of "name value".
[[nodiscard]] std::string toText(const ScenarioResult &Value);

} // namespace fireflydrift::emulator

#endif // FIREFLYDRIFT_EMULATOR_SCENARIO_H
