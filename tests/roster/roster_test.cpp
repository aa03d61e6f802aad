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
                     const char *Id = "t", const char *Address = "10.0.0.1:1",
                     const char *Source = "") {
  return {.m_Target = core::TargetId(Id),
          .m_Incarnation = Incarnation,
          .m_Sequence = Sequence,
          .m_Address = Address,
          .m_SourceHost = Source};
}

// A report that arrives from the target's own host.
static Report homeReport(std::uint64_t Incarnation, std::uint64_t Sequence,
                         const char *Id = "t") {
  return report(Incarnation, Sequence, Id, "10.0.0.1:1", "10.0.0.1");
}

static Roster withReport(Roster Before, const Report &Value,
                         core::Duration::rep Ms) {
  return std::move(Before).withReport(Value, Options, at(Ms));
}

// A report that is answered with a lease.
static Roster withAnsweredReport(Roster Before, const Report &Value,
                                 core::Duration::rep Ms) {
  return withReport(std::move(Before), Value, Ms)
      .withExtendedLease(Value.m_Target, Options, at(Ms));
}

// Target "t", incarnation 5, which has reported twice, at 100 and 200 ms.
static Roster confirmed(const char *Source = "") {
  Report Value = report(5, 1, "t", "10.0.0.1:1", Source);
  Roster Known = withAnsweredReport(Roster(at(0)), Value, 100);
  ++Value.m_Sequence;
  return withAnsweredReport(std::move(Known), Value, 200);
}

static ReportVerdict judge(const Roster &Known, const Report &Value,
                           core::Duration::rep Ms) {
  return Known.judge(Value, Options, at(Ms));
}

// ---- One instance ----------------------------------------------------------

TEST(Roster, IgnoresOutdatedReports) {
  Roster Value = withReport(Roster(at(0)), report(5, 9), 100);
  EXPECT_EQ(judge(Value, report(5, 8), 200), ReportVerdict::Outdated);
  EXPECT_EQ(judge(Value, report(5, 9), 200), ReportVerdict::Outdated);
  EXPECT_EQ(withReport(Value, report(5, 8), 200), Value);
  Value = confirmed();
  EXPECT_EQ(judge(Value, report(4, 99), 300), ReportVerdict::Outdated);
}

// A foreign report with a sequence number far ahead made the leader ignore all
// later reports of the target.
TEST(Roster, RecoversFromASequenceFarAhead) {
  Roster Value = withReport(confirmed(), report(5, 1ULL << 52U), 300);
  EXPECT_EQ(judge(Value, report(5, 3), 400), ReportVerdict::Accepted);
  Value = withReport(std::move(Value), report(5, 3), 400);
  EXPECT_EQ(judge(Value, report(5, 4), 500), ReportVerdict::Accepted);
  EXPECT_EQ(judge(Value, report(5, 2), 500), ReportVerdict::Outdated);
}

TEST(Roster, AnInstanceKeepsItsAddressAndPool) {
  Roster Value = confirmed();
  EXPECT_EQ(judge(Value, report(5, 3, "t", "10.0.0.2:1"), 300),
            ReportVerdict::Mismatched);
  Report OtherPool = report(5, 3);
  OtherPool.m_Pool = "other";
  EXPECT_EQ(judge(Value, OtherPool, 300), ReportVerdict::Mismatched);
  EXPECT_EQ(withReport(Value, OtherPool, 300), Value);
}

// An instance that moved left its old address behind, and the next target that
// reported from there made the leader look up a target that it did not have.
TEST(Roster, AnAddressThatWasLeftBehindIsFree) {
  Roster Value = confirmed();
  core::Duration::rep Late = 200 + LongestLease.count();
  Value = withReport(std::move(Value), report(9, 1, "t", "10.0.0.2:1"), Late);
  Value = withReport(std::move(Value), report(10, 1, "u"), Late + 1);
  EXPECT_NE(Value.find(Target), nullptr);
  EXPECT_NE(Value.find(core::TargetId("u")), nullptr);
}

TEST(Roster, ReportsFromElsewhereDoNotReplaceThoseFromTheOwnHost) {
  Roster Value = confirmed("10.0.0.1");
  EXPECT_EQ(judge(Value, report(5, 3), 300), ReportVerdict::Mismatched);
  EXPECT_EQ(judge(Value, homeReport(5, 3), 300), ReportVerdict::Accepted);
}

// After a change of leader, another writer's report with the target's id and
// start time may be the first one that the new leader hears. It kept the target
// itself out until it had been silent for two minutes.
TEST(Roster, TheOwnHostGoesBeforeAForeignReportOfTheSameInstance) {
  Report OtherPool = report(5, 1);
  OtherPool.m_Pool = "other";
  for (const Report &Foreign :
       {report(5, 9, "t", "10.0.0.2:1", "10.9.9.9"), OtherPool,
        report(5, 1ULL << 39U, "t", "10.0.0.1:1", "10.9.9.9")}) {
    Roster Value = withAnsweredReport(Roster(at(0)), Foreign, 100);
    Value = withAnsweredReport(std::move(Value), homeReport(5, 3), 200);
    const Member *Known = Value.find(Target);
    ASSERT_NE(Known, nullptr);
    EXPECT_EQ(Known->m_LastReport, homeReport(5, 3));
    EXPECT_FALSE(Known->m_Confirmed);
    EXPECT_EQ(judge(Value, Foreign, 300), ReportVerdict::Mismatched);
    Value = withReport(std::move(Value), homeReport(5, 4), 400);
    EXPECT_TRUE(Value.isSchedulable(*Value.find(Target), Options, at(400)));
    EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(400)));
    // The address that the foreign report named is free again.
    EXPECT_EQ(judge(Value, report(1, 1, "u", "10.0.0.2:1"), 500),
              ReportVerdict::Accepted);
  }
}

// ---- Claims of an id or an address -----------------------------------------

// Any writer could name a target's id or address with a later start time: the
// target was taken for ended, its runs were started again beside those at work,
// and its own reports were ignored for ever.
TEST(Roster, AForeignReportEndsNoSoundTarget) {
  for (const Report &Foreign :
       {report(6, 1), report(7, 1, "u"),
        report(1ULL << 62U, 1, "u", "10.0.0.1:1", "10.9.9.9")}) {
    Roster Value = confirmed();
    EXPECT_EQ(judge(Value, Foreign, 300), ReportVerdict::Contested);
    Roster After = withReport(Value, Foreign, 300);
    EXPECT_EQ(After, Value);
    EXPECT_FALSE(After.isExpired({Target, 5}, Options, at(301)));
    EXPECT_EQ(judge(After, report(5, 3), 400), ReportVerdict::Accepted);
  }
}

TEST(Roster, ANewInstanceTakesOverOnceTheLeasesOfTheEarlierOneHaveEnded) {
  Roster Value = confirmed();
  core::Duration::rep LeaseEnd = 200 + LongestLease.count();
  EXPECT_EQ(judge(Value, report(6, 1), LeaseEnd - 1), ReportVerdict::Contested);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(LeaseEnd - 1)));
  Value = withReport(std::move(Value), report(6, 1), LeaseEnd);
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(LeaseEnd)));
  EXPECT_FALSE(Value.isExpired({Target, 6}, Options, at(LeaseEnd)));
}

TEST(Roster, ANewInstanceOnTheSameHostTakesOverSooner) {
  core::Duration::rep Silent = 200 + Options.m_TakeoverAfter.count();
  for (const Report &Next : {homeReport(6, 1), homeReport(7, 1, "u")}) {
    Roster Value = confirmed("10.0.0.1");
    EXPECT_EQ(judge(Value, Next, Silent - 1), ReportVerdict::Contested);
    Value = withReport(std::move(Value), Next, Silent);
    EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(Silent)));
    // A delayed report must not bring the old instance back.
    EXPECT_EQ(judge(Value, homeReport(5, 10), Silent + 1),
              ReportVerdict::Outdated);
    EXPECT_NE(Value.find(Next.m_Target), nullptr);
  }
}

// The first report that a new leader gets in a target's name may be foreign.
TEST(Roster, TheOwnHostGoesBeforeAForeignReportThatCameFirst) {
  Roster Value = withAnsweredReport(Roster(at(0)), report(6, 1), 100);
  Value = withAnsweredReport(std::move(Value), report(6, 2), 150);
  EXPECT_EQ(judge(Value, homeReport(5, 3), 200), ReportVerdict::Accepted);
  Value = withReport(std::move(Value), homeReport(5, 3), 200);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(201)));
  // The displaced instance may hold leases until they end.
  EXPECT_FALSE(Value.isExpired({Target, 6}, Options, at(201)));
  EXPECT_TRUE(Value.isExpired({Target, 6}, Options, at(150) + LongestLease));
  EXPECT_EQ(judge(Value, report(6, 3), 300), ReportVerdict::Contested);
}

// Where addresses are translated, no report comes from its own host.
TEST(Roster, ASingleForeignReportThatCameFirstIsReplaced) {
  Roster Value = withAnsweredReport(Roster(at(0)), report(6, 1), 100);
  Value = withReport(std::move(Value), report(5, 3), 200);
  ASSERT_NE(Value.find(Target), nullptr);
  EXPECT_EQ(Value.find(Target)->m_LastReport.m_Incarnation, 5U);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(201)));
}

// A leader that has not heard from an instance yet must not conclude from
// another one's report that it has ended.
TEST(Roster, AnUnheardInstanceIsNotEndedByAForeignReport) {
  Roster Value = withReport(Roster(at(0)), report(6, 1), 100);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(101)));
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(0) + LongestLease));
}

TEST(Roster, AnUnheardInstanceIsEndedByItsSuccessorOnTheSameHost) {
  Roster Value = withReport(Roster(at(0)), homeReport(6, 1), 100);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(101)));
  EXPECT_TRUE(
      Value.isExpired({Target, 5}, Options, at(0) + Options.m_TakeoverAfter));
}

// ---- Leases ----------------------------------------------------------------

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

// Long after the leader took over, a target whose first report has just arrived
// and is not answered yet holds no lease; its runs must not count as lost.
TEST(Roster, ReportingTargetIsNotExpired) {
  Roster Value = withReport(Roster(at(0)), report(5, 1), 60000);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(60001)));
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(60000) + LongestLease));
}

// ---- New work --------------------------------------------------------------

TEST(Roster, ASilentOrDrainingTargetGetsNoNewWork) {
  Roster Value = confirmed();
  const Member Known = *Value.find(Target);
  EXPECT_TRUE(Value.isSchedulable(Known, Options, at(300)));
  EXPECT_FALSE(
      Value.isSchedulable(Known, Options, at(200) + Options.m_SilentAfter));
  Report Leaving = report(5, 3);
  Leaving.m_Draining = true;
  Value = withReport(Value, Leaving, 300);
  EXPECT_FALSE(Value.isSchedulable(*Value.find(Target), Options, at(300)));
}

// A new leader may get a delayed report of a target that has left, or an odd
// entry of another writer. Neither must attract work.
TEST(Roster, ASingleReportGetsNoWork) {
  for (const char *Source : {"", "10.0.0.1"}) {
    auto Next = [&](std::uint64_t Sequence) {
      return report(5, Sequence, "t", "10.0.0.1:1", Source);
    };
    Roster Value = withAnsweredReport(Roster(at(0)), Next(1), 100);
    EXPECT_FALSE(Value.isSchedulable(*Value.find(Target), Options, at(150)));
    Value = withReport(std::move(Value), Next(2), 200);
    EXPECT_TRUE(Value.isSchedulable(*Value.find(Target), Options, at(250)));
  }
}

TEST(Roster, ForgetsTargetsThatAreSilentForLong) {
  Roster Value = confirmed();
  core::Time Late = at(200) + Options.m_ForgetAfter;
  EXPECT_TRUE(
      Value.forgettable(Options, at(199) + Options.m_ForgetAfter).empty());
  std::vector<core::TargetId> Silent = Value.forgettable(Options, Late);
  Value = std::move(Value).without(Silent);
  EXPECT_TRUE(Value.members().empty());
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, Late));
}

// ---- Departures ------------------------------------------------------------

TEST(Roster, DepartureEndsOnlyTheNamedInstance) {
  Roster Value = confirmed("10.0.0.1");
  auto After = [&](std::optional<std::uint64_t> Incarnation) {
    return std::move(Roster(Value))
        .withDeparture({.m_Target = Target,
                        .m_Incarnation = Incarnation,
                        .m_SourceHost = "10.0.0.1"});
  };
  EXPECT_EQ(After(4), Value);
  Roster Unnamed = After(std::nullopt);
  EXPECT_FALSE(Unnamed.isExpired({Target, 5}, Options, at(300)));
  EXPECT_FALSE(Unnamed.isSchedulable(*Unnamed.find(Target), Options, at(300)));
  EXPECT_TRUE(After(5).isExpired({Target, 5}, Options, at(300)));
  EXPECT_EQ(judge(After(5), homeReport(5, 99), 400), ReportVerdict::Outdated);
}

// Another writer's message must not end a sound target: its runs would be
// started again beside those at work.
TEST(Roster, ADepartureFromElsewhereEndsOnlyADrainingTarget) {
  Departure Foreign{.m_Target = Target, .m_Incarnation = 5};
  Roster Value = std::move(confirmed()).withDeparture(Foreign);
  EXPECT_FALSE(Value.isExpired({Target, 5}, Options, at(300)));
  EXPECT_FALSE(Value.isSchedulable(*Value.find(Target), Options, at(300)));
  // The next report of the target undoes it.
  Value = withReport(std::move(Value), report(5, 3), 400);
  EXPECT_TRUE(Value.isSchedulable(*Value.find(Target), Options, at(400)));
  Report Leaving = report(5, 4);
  Leaving.m_Draining = true;
  Value = withReport(std::move(Value), Leaving, 500);
  Value = std::move(Value).withDeparture(Foreign);
  EXPECT_TRUE(Value.isExpired({Target, 5}, Options, at(501)));
}

// ---- Plausibility ----------------------------------------------------------

TEST(Report, ChecksWhatNoTargetCanSend) {
  const ReportLimits Limits;
  core::Time Now = at(1'700'000'000'000);
  Report Sound = report(1'699'999'999'000, 4);
  Sound.m_Pool = "pool";
  EXPECT_EQ(checkReport(Sound, Limits, Now).m_Code, core::ReasonCode::None);
  auto FieldOf = [&](auto Change) {
    Report Odd = Sound;
    Change(Odd);
    return checkReport(Odd, Limits, Now).m_Field;
  };
  EXPECT_EQ(FieldOf([](Report &R) { R.m_Target = core::TargetId(""); }), "id");
  EXPECT_EQ(FieldOf([](Report &R) { R.m_Address = "10.0.0.1:99999"; }),
            "address");
  EXPECT_EQ(FieldOf([](Report &R) { R.m_Incarnation = ~0ULL; }), "incarnation");
  EXPECT_EQ(FieldOf([&](Report &R) {
              R.m_Incarnation += 2 * static_cast<std::uint64_t>(
                                         Limits.m_MaxClockDifference.count());
            }),
            "incarnation");
  EXPECT_EQ(FieldOf([](Report &R) { R.m_Sequence = 1ULL << 63U; }), "sequence");
  EXPECT_EQ(FieldOf([](Report &R) { R.m_Pool.clear(); }), "pool");
}

TEST(Report, KnowsWhetherItCameFromItsOwnHost) {
  EXPECT_TRUE(isFromOwnHost(report(1, 1, "t", "10.0.0.1:1", "10.0.0.1")));
  EXPECT_FALSE(isFromOwnHost(report(1, 1, "t", "10.0.0.1:1", "10.0.0.2")));
  EXPECT_FALSE(isFromOwnHost(report(1, 1, "t", "10.0.0.12:1", "10.0.0.1")));
  EXPECT_FALSE(isFromOwnHost(report(1, 1, "t", "10.0.0.1:1", "")));
}
