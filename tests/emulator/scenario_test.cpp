#include "emulator/scenario.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::emulator;

static Scenario faulty(std::uint64_t Seed) {
  return {.m_Seed = Seed,
          .m_PerSecond = 2,
          .m_Faults = {.m_Lost = 30,
                       .m_Late = 50,
                       .m_Delayed = 100,
                       .m_Crashed = 20,
                       .m_Elections = 100,
                       .m_Failed = 50,
                       .m_Cancelled = 100}};
}

static std::string firstBroken(const ScenarioResult &Value) {
  return Value.m_Violations.empty() ? std::string()
                                    : Value.m_Violations.front();
}

TEST(Scenario, ACalmLoadIsCompleted) {
  ScenarioResult Seen = runScenario({.m_PerSecond = 2});
  EXPECT_EQ(firstBroken(Seen), "");
  EXPECT_GT(Seen.m_Accepted, 20U);
  EXPECT_EQ(Seen.m_Completed, Seen.m_Accepted);
}

TEST(Scenario, TheSameSeedGivesTheSameReport) {
  EXPECT_EQ(runScenario(faulty(3)), runScenario(faulty(3)));
}

// Lost and late reports, orders carried out late, crashes, elections, failed
// runs and cancelled workflows, all at once.
TEST(Scenario, KeepsEveryPromiseUnderSeededFaults) {
  constexpr std::uint64_t Seeds = 12;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ScenarioResult Seen = runScenario(faulty(Seed));
    EXPECT_EQ(firstBroken(Seen), "") << "seed " << Seed;
    EXPECT_EQ(Seen.m_Open, 0U) << "seed " << Seed;
  }
}

// At the crest, urgent work within its reserve starts soon all the same.
TEST(Scenario, UrgentWorkIsNotHeldUpByLongWork) {
  ScenarioResult Seen = runScenario({.m_PerSecond = 12, .m_UrgentPercent = 20});
  EXPECT_EQ(firstBroken(Seen), "");
  ASSERT_FALSE(Seen.m_UrgentWaits.empty());
  constexpr core::Duration Bound{5700};
  EXPECT_LT(Seen.m_UrgentWaits[Seen.m_UrgentWaits.size() * 9 / 10], Bound);
}

TEST(Scenario, IsReadFromText) {
  auto Read = parseScenario("[load]\nname = x\nper_second = 3\n[faults]\nlost "
                            "= 7\n[targets]\ncount = 9\n");
  ASSERT_TRUE(Read) << core::toString(Read.reason());
  EXPECT_EQ(Read->m_PerSecond, 3U);
  EXPECT_EQ(Read->m_Faults.m_Lost, 7U);
  EXPECT_EQ(Read->m_Targets, 9U);
  EXPECT_FALSE(parseScenario("[load]\nunknown = 1\n"));
  EXPECT_FALSE(parseScenario("[load]\nseed = x\n"));
  EXPECT_FALSE(parseScenario("[targets]\ncount = 0\n"));
}
