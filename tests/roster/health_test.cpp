#include "roster/health.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::roster;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }
static const core::TargetId Target("t");
static const HealthOptions Options;

TEST(Health, ConsecutiveFailuresMakeATargetSuspectForAWhile) {
  Health Value = Health().withRunEnd(Target, EndCause::Failed, at(0));
  EXPECT_FALSE(Value.isSuspect(Target, Options, at(1)));
  Value = std::move(Value).withRunEnd(Target, EndCause::Failed, at(10));
  EXPECT_TRUE(Value.isSuspect(Target, Options, at(11)));
  EXPECT_FALSE(Value.isSuspect(Target, Options, at(10) + Options.m_SuspectFor));
}

TEST(Health, SuccessResetsFailuresAndStopsDoNotCount) {
  Health Value = Health()
                     .withRunEnd(Target, EndCause::Failed, at(0))
                     .withRunEnd(Target, EndCause::Stopped, at(1))
                     .withRunEnd(Target, EndCause::Done, at(2))
                     .withRunEnd(Target, EndCause::Failed, at(3));
  EXPECT_FALSE(Value.isSuspect(Target, Options, at(4)));
}

TEST(Health, ARunWithoutProgressIsStalled) {
  Report Current{.m_Target = Target,
                 .m_Running = {{.m_Task = {core::RequestId("w"), 0, 0},
                                .m_Run = 1,
                                .m_Percent = 40}}};
  Health Value = Health().withReport(Current, at(0));
  core::Time Later = at(0) + Options.m_StalledAfter;
  EXPECT_TRUE(Value.stalled(Current, Options, at(100)).empty());
  EXPECT_EQ(Value.stalled(Current, Options, Later).size(), 1U);
  // Any progress, or another run, restarts the stall timeout.
  Current.m_Running[0].m_Percent = 41;
  Value = std::move(Value).withReport(Current, Later);
  EXPECT_TRUE(Value.stalled(Current, Options, Later).empty());
}

// Declared run times are inaccurate: a run that exceeds its own reports no
// further progress.
TEST(Health, ARunBeyondItsEstimateIsNotStalled) {
  Report Current{.m_Target = Target,
                 .m_Running = {{.m_Task = {core::RequestId("w"), 0, 0},
                                .m_Run = 1,
                                .m_Percent = 100}}};
  Health Value = Health().withReport(Current, at(0));
  EXPECT_TRUE(Value.stalled(Current, Options, at(60000)).empty());
}
