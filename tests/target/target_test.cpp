#include "target/target.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::target;

static Target healthyTarget() {
  return *Target::create({.m_Id = core::TargetId("t1"),
                          .m_Host = "127.0.0.1",
                          .m_Port = 9000,
                          .m_Incarnation = 1,
                          .m_Region = "r1",
                          .m_FailureDomain = "d1",
                          .m_Rack = "k1",
                          .m_Capacity = {8, 64, 1000}});
}

static const core::Time Start = core::timeFromMs(1000);

TEST(Target, RefusesAnAnnouncementWithoutRack) {
  Announcement Announced = healthyTarget().announcement();
  Announced.m_Rack = "";
  auto Created = Target::create(Announced);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.reason().m_Field, "rack");
}

TEST(Target, IsQuarantinedAfterConsecutiveFailures) {
  Target Value = healthyTarget();
  for (std::uint32_t I = 0; I + 1 < QuarantineAfterFailures; ++I)
    Value = Value.afterFailure(Start);
  EXPECT_TRUE(Value.isSchedulable(Start));
  Value = Value.afterFailure(Start);
  EXPECT_FALSE(Value.isSchedulable(Start));
  EXPECT_TRUE(Value.isSchedulable(Start + FirstQuarantine));
}

TEST(Target, FirstFailureAfterQuarantineDoublesTheQuarantine) {
  Target Value = healthyTarget();
  for (std::uint32_t I = 0; I < QuarantineAfterFailures; ++I)
    Value = Value.afterFailure(Start);
  core::Time Later = Start + FirstQuarantine;
  Value = Value.afterFailure(Later);
  EXPECT_TRUE(
      Value.isQuarantined(Later + 2 * FirstQuarantine - core::Duration(1)));
}

TEST(Target, SuccessEndsProbation) {
  Target Value = healthyTarget();
  for (std::uint32_t I = 0; I < QuarantineAfterFailures; ++I)
    Value = Value.afterFailure(Start);
  Value = Value.afterSuccess().afterFailure(Start);
  EXPECT_EQ(Value.fields().m_ConsecutiveFailures, 1U);
}

TEST(Target, LeavingTargetIsNotSchedulableUntilAnnouncedAgain) {
  Target Value = healthyTarget().withPresence(Presence::Leaving);
  EXPECT_FALSE(Value.isSchedulable(Start));
  EXPECT_TRUE(
      Value.withAnnouncement(Value.announcement()).isSchedulable(Start));
}
