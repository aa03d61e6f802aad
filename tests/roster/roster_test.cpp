#include "roster/roster.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::roster;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static const core::TargetId Target("t");
static const RosterOptions Options{.m_Lease = core::Duration(6000)};
// The lease of 6000 ms, 2 % of it for clock drift, and the margin of 300 ms.
static constexpr core::Duration LongestLease{6420};

static Report report(std::uint64_t Incarnation, std::uint64_t Sequence,
                     const char *Id = "t", const char *Address = "10.0.0.1:1") {
  return {.m_Target = core::TargetId(Id),
          .m_Incarnation = Incarnation,
          .m_Sequence = Sequence,
          .m_Address = Address};
}

static Roster withReport(Roster Before, const Report &Value,
                         core::Duration::rep Ms) {
  return std::move(Before).withReport(Value, Options, at(Ms));
}

TEST(Roster, IgnoresOutdatedReports) {
  Roster Value = withReport(Roster(at(0)), report(5, 9), 100);
  EXPECT_FALSE(Value.isNewer(report(5, 8)));
  EXPECT_FALSE(Value.isNewer(report(5, 9)));
  EXPECT_FALSE(Value.isNewer(report(4, 99)));
  EXPECT_EQ(withReport(Value, report(5, 8), 200), Value);
}

TEST(Roster, NewInstanceEndsThePreviousOne) {
  Roster Value = withReport(Roster(at(0)), report(5, 9), 100);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(200)));
  Value = withReport(Value, report(6, 1), 200);
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(200)));
  EXPECT_FALSE(Value.isExpired({Target, 6}, Options, at(200)));
}

TEST(Roster, NewTargetAtAnAddressEndsThePreviousOne) {
  Roster Value = withReport(Roster(at(0)), report(5, 9), 100);
  Value = withReport(Value, report(7, 1, "u"), 200);
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(200)));
  EXPECT_EQ(Value.find(Target), nullptr);
  // A delayed report must not bring the old instance back.
  EXPECT_FALSE(Value.isNewer(report(5, 10)));
  EXPECT_NE(Value.find(core::TargetId("u")), nullptr);
}

TEST(Roster, UnreportedTargetMayHoldALeaseOfAnEarlierLeader) {
  Roster Value(at(1000));
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(999) + LongestLease));
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(1000) + LongestLease));
}

TEST(Roster, ReplyExtendsLeasesFromTheTimeOfTheReport) {
  Roster Value = withReport(Roster(at(0)), report(5, 1), 20000);
  Value = std::move(Value).withExtendedLease(Target, Options, at(20000));
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(19999) + LongestLease));
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(20000) + LongestLease));
}

TEST(Roster, ASilentOrDrainingTargetGetsNoNewWork) {
  Roster Value = withReport(Roster(at(0)), report(5, 1), 100);
  const Member Known = *Value.find(Target);
  EXPECT_TRUE(Value.isSchedulable(Known, Options, at(200)));
  EXPECT_FALSE(
      Value.isSchedulable(Known, Options, at(100) + Options.m_SilentAfter));
  Report Leaving = report(5, 2);
  Leaving.m_Draining = true;
  Value = withReport(Value, Leaving, 200);
  EXPECT_FALSE(Value.isSchedulable(*Value.find(Target), Options, at(200)));
}

TEST(Roster, DepartureEndsOnlyTheNamedInstance) {
  Roster Value = withReport(Roster(at(0)), report(5, 1), 100);
  Roster Other = std::move(Roster(Value)).withDeparture(Target, 4);
  EXPECT_FALSE(Other.isExpired({Target, 5}, Options, at(200)));
  Roster Unnamed = std::move(Roster(Value)).withDeparture(Target, std::nullopt);
  EXPECT_FALSE(Unnamed.isExpired({Target, 5}, Options, at(200)));
  EXPECT_FALSE(Unnamed.isSchedulable(*Unnamed.find(Target), Options, at(200)));
  Value = std::move(Value).withDeparture(Target, 5);
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(200)));
}

// Long after the leader took over, a target whose first report has just arrived
// and is not answered yet holds no lease; its runs must not count as lost.
TEST(Roster, ReportingTargetIsNotExpired) {
  Roster Value = withReport(Roster(at(0)), report(5, 1), 60000);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(60001)));
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(60000) + LongestLease));
}
