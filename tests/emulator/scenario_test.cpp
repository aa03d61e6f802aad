#include "emulator/scenario.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::emulator;

static Scenario withFaults(std::uint64_t Seed) {
  return {.m_Seed = Seed,
          .m_WorkflowsPerSecond = 2,
          .m_Faults = {.m_LostReports = 30,
                       .m_DuplicateReports = 50,
                       .m_DelayedStarts = 100,
                       .m_TargetCrashes = 20,
                       .m_Elections = 100,
                       .m_FailedRuns = 50,
                       .m_CancelledWorkflows = 100}};
}

static std::string firstViolation(const ScenarioResult &Value) {
  return Value.m_Violations.empty() ? std::string()
                                    : Value.m_Violations.front();
}

TEST(Scenario, CompletesEveryWorkflowWithoutFaults) {
  ScenarioResult Result = runScenario({.m_WorkflowsPerSecond = 2});
  EXPECT_EQ(firstViolation(Result), "");
  EXPECT_GT(Result.m_Accepted, 20U);
  EXPECT_EQ(Result.m_Completed, Result.m_Accepted);
}

TEST(Scenario, SameSeedGivesSameResult) {
  EXPECT_EQ(runScenario(withFaults(3)), runScenario(withFaults(3)));
}

// Combines lost and late reports, delayed starts, crashes, leader changes,
// failed runs and cancelled workflows.
TEST(Scenario, HoldsInvariantsUnderSeededFaults) {
  constexpr std::uint64_t Seeds = 12;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ScenarioResult Result = runScenario(withFaults(Seed));
    EXPECT_EQ(firstViolation(Result), "") << "seed " << Seed;
    EXPECT_EQ(Result.m_Unfinished, 0U) << "seed " << Seed;
  }
}

// Although the load exceeds the capacity, urgent workflows have reserved
// accelerators, and 90 % of them start within 5.7 s.
TEST(Scenario, UrgentWorkIsNotHeldUpByLongWork) {
  ScenarioResult Result =
      runScenario({.m_WorkflowsPerSecond = 12, .m_UrgentPercent = 20});
  EXPECT_EQ(firstViolation(Result), "");
  ASSERT_FALSE(Result.m_UrgentWaits.empty());
  constexpr core::Duration Bound{5700};
  EXPECT_LT(Result.m_UrgentWaits[Result.m_UrgentWaits.size() * 9 / 10], Bound);
}

TEST(Scenario, ParsesIniText) {
  auto Parsed =
      parseScenario("[load]\nname = x\nper_second = 3\n[faults]\nlost "
                    "= 7\n[targets]\ncount = 9\n");
  ASSERT_TRUE(Parsed) << core::toString(Parsed.reason());
  EXPECT_EQ(Parsed->m_WorkflowsPerSecond, 3U);
  EXPECT_EQ(Parsed->m_Faults.m_LostReports, 7U);
  EXPECT_EQ(Parsed->m_Targets, 9U);
  EXPECT_FALSE(parseScenario("[load]\nunknown = 1\n"));
  EXPECT_FALSE(parseScenario("[load]\nseed = x\n"));
  EXPECT_FALSE(parseScenario("[targets]\ncount = 0\n"));
}
