#include "runtime/polling_driver.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

namespace {

const core::TargetId Target("t");

class PollingDriverTest : public testing::Test {
protected:
  PollingDriverTest() { m_Driver.begin(7, m_Now); }

  roster::Report nextReport() {
    return {.m_Target = Target,
            .m_Incarnation = 5,
            .m_Sequence = ++m_Sequence,
            .m_Address = "10.0.0.1:1",
            .m_SourceHost = "10.0.0.1"};
  }
  void report(roster::Report Value) {
    m_Answer.reset();
    m_Driver.report(
        std::move(Value),
        [this](const std::optional<roster::Orders> &Orders) {
          m_Answer = Orders;
        },
        m_State, m_Now);
  }

  control::PollingOptions m_Options;
  core::Time m_Now = core::timeFromMs(1000000);
  bool m_HoldsLease = true;
  Counters m_Counters;
  PollingDriver m_Driver{
      m_Options,
      m_Counters,
      {.m_Propose = [](const std::vector<control::Command> &) {},
       .m_HoldsLease = [this] { return m_HoldsLease; }}};
  control::State m_State;
  std::uint64_t m_Sequence = 0;
  // The answer to the last report; empty while it is held, or without orders.
  std::optional<std::optional<roster::Orders>> m_Answer;
};

} // namespace

TEST_F(PollingDriverTest, HoldsTheAnswerToAnIdleTarget) {
  report(nextReport());
  // The first answer is sent at once, so that the target can confirm it.
  EXPECT_TRUE(m_Answer);
  report(nextReport());
  EXPECT_FALSE(m_Answer);
  m_Now += m_Options.m_MaxIdleHold;
  (void)m_Driver.tick(m_State, true, m_Now);
  ASSERT_TRUE(m_Answer && *m_Answer);
  EXPECT_EQ((*m_Answer)->m_FencingToken, 7U);
  EXPECT_GT((*m_Answer)->m_Lease, core::Duration(0));
}

// A process that was paused in the middle of a tick gave orders and leases
// although its leadership had run out meanwhile.
TEST_F(PollingDriverTest, GivesNoOrdersOnceItsLeaseHasRunOut) {
  report(nextReport());
  report(nextReport());
  m_HoldsLease = false;
  m_Now += m_Options.m_MaxIdleHold;
  (void)m_Driver.tick(m_State, true, m_Now);
  EXPECT_FALSE(m_Answer);
  roster::Report Draining = nextReport();
  Draining.m_Draining = true;
  report(std::move(Draining));
  ASSERT_TRUE(m_Answer);
  EXPECT_FALSE(*m_Answer);
}

TEST_F(PollingDriverTest, CountsStaleReportsAndGivesThemNoLease) {
  roster::Report Late = nextReport();
  report(nextReport());
  report(Late);
  ASSERT_TRUE(m_Answer && *m_Answer);
  EXPECT_EQ((*m_Answer)->m_Lease, core::Duration(0));
  EXPECT_EQ(m_Counters.value("fireflydrift_reports_stale_total"), 1U);
}

TEST_F(PollingDriverTest, CountsRefusedReportsAndGivesThemNoLease) {
  report(nextReport());
  roster::Report Foreign = nextReport();
  Foreign.m_Incarnation = 6;
  Foreign.m_SourceHost = "10.9.9.9";
  report(Foreign);
  ASSERT_TRUE(m_Answer && *m_Answer);
  EXPECT_EQ((*m_Answer)->m_Lease, core::Duration(0));
  EXPECT_EQ(m_Counters.value("fireflydrift_messages_refused_total",
                             "kind=\"report\""),
            1U);
}
