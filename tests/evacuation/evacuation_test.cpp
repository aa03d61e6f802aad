#include "core/ids.h"
#include "evacuation/evacuation.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::evacuation;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static Evacuations changed(const Evacuations &Current,
                           const std::string &Domain, bool Evacuated,
                           core::Time Now = at(0)) {
  auto Next = applyChange(Current,
                          {.m_FailureDomain = Domain,
                           .m_Evacuated = Evacuated,
                           .m_ReplacesRevision = Current.revisionOf(Domain)},
                          Now);
  EXPECT_TRUE(Next) << core::toString(Next.reason());
  return Next ? *Next : Current;
}

TEST(Evacuation, IsInForceUntilItIsEnded) {
  Evacuations Value = changed({}, "east", true, at(5));
  EXPECT_TRUE(Value.isEvacuated("east"));
  EXPECT_FALSE(Value.isEvacuated("west"));
  EXPECT_TRUE(Value.hasEvacuatedDomain());
  EXPECT_EQ(Value.fields().m_Domains.at("east").m_ChangedAt, at(5));
  Value = changed(Value, "east", false);
  EXPECT_FALSE(Value.isEvacuated("east"));
  EXPECT_FALSE(Value.hasEvacuatedDomain());
}

// A request whose reply was lost is sent again. It must be acknowledged, and
// must not look like another change.
TEST(Evacuation, ARepeatedRequestChangesNothing) {
  const Evacuations Once = changed({}, "east", true);
  auto Again = applyChange(Once, {.m_FailureDomain = "east"}, at(9));
  ASSERT_TRUE(Again);
  EXPECT_EQ(*Again, Once);
  const Evacuations Ended = changed(Once, "east", false);
  auto EndedAgain = applyChange(
      Ended, {.m_FailureDomain = "east", .m_Evacuated = false}, at(9));
  ASSERT_TRUE(EndedAgain);
  EXPECT_EQ(*EndedAgain, Ended);
}

// Guards against an older request that takes effect after a later one for the
// state in force was acknowledged.
TEST(Evacuation, ARequestForTheStateInForceOvertakesOlderOnes) {
  for (bool Evacuated : {false, true}) {
    Evacuations Value = Evacuated ? changed({}, "east", true) : Evacuations();
    const Change Older{.m_FailureDomain = "east",
                       .m_Evacuated = !Evacuated,
                       .m_ReplacesRevision = Value.revisionOf("east")};
    Value = changed(Value, "east", Evacuated, at(9));
    EXPECT_EQ(Value.isEvacuated("east"), Evacuated);
    EXPECT_FALSE(applyChange(Value, Older, at(10)));
    EXPECT_EQ(Value.fields().m_Domains.at("east").m_ChangedAt,
              Evacuated ? at(0) : at(9));
  }
}

// Guards against a delayed repetition of a request that evacuates a domain
// again after the operator has ended the evacuation.
TEST(Evacuation, AnOvertakenRequestIsRefused) {
  const Change Delayed{.m_FailureDomain = "east"};
  Evacuations Value = changed({}, "east", true);
  Value = changed(Value, "east", false);
  auto Late = applyChange(Value, Delayed, at(0));
  ASSERT_FALSE(Late);
  EXPECT_EQ(Late.reason().m_Code, core::ReasonCode::Conflict);
  EXPECT_TRUE(changed(Value, "east", true).isEvacuated("east"));
}

// A change of one domain must not make a request for another one fail.
TEST(Evacuation, DomainsAreIndependent) {
  Evacuations Value = changed({}, "east", true);
  auto Other = applyChange(Value, {.m_FailureDomain = "west"}, at(0));
  ASSERT_TRUE(Other);
  EXPECT_TRUE(Other->isEvacuated("east"));
  EXPECT_TRUE(Other->isEvacuated("west"));
}

TEST(Evacuation, RefusesInvalidNames) {
  for (const std::string &Name :
       {std::string(), std::string(core::MaxIdBytes + 1, 'a'),
        std::string("a b"), std::string("a/b"), std::string("a\0b", 3),
        std::string("\xff")}) {
    auto Next = applyChange({}, {.m_FailureDomain = Name}, at(0));
    ASSERT_FALSE(Next);
    EXPECT_EQ(Next.reason().m_Code, core::ReasonCode::InvalidInput);
  }
}

// Requests for invented names must not fill the memory, and must not drop an
// evacuation that is in force.
TEST(Evacuation, RecordsABoundedNumberOfDomains) {
  Evacuations Value = changed({}, "ended", true);
  Value = changed(Value, "ended", false);
  for (std::size_t I = 0; I < MaxDomains; ++I)
    Value = changed(Value, "d" + std::to_string(I), true);
  EXPECT_EQ(Value.fields().m_Domains.size(), MaxDomains);
  EXPECT_FALSE(Value.fields().m_Domains.contains("ended"));
  auto Next = applyChange(Value, {.m_FailureDomain = "more"}, at(0));
  ASSERT_FALSE(Next);
  EXPECT_EQ(Next.reason().m_Code, core::ReasonCode::TooLarge);
}

TEST(Evacuation, IsRestoredFromItsStoredForm) {
  Evacuations Value = changed({}, "east", true);
  Value = changed(Value, "west", true);
  Value = changed(Value, "east", false);
  EXPECT_EQ(Evacuations::restore(Value.fields()), Value);
}
