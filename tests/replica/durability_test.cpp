#include "replica/durability.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::replica;

static Members fiveVoters() {
  std::map<core::VmId, Member> All;
  for (int I = 0; I < 5; ++I)
    All[core::VmId(std::string(1, static_cast<char>('a' + I)))] = {
        .m_FailureDomain = "d" + std::to_string(I / 2), .m_Voter = true};
  return Members(All);
}

static std::set<core::VmId> vms(const std::string &Names) {
  std::set<core::VmId> Out;
  for (char Name : Names)
    Out.insert(core::VmId(std::string(1, Name)));
  return Out;
}

TEST(Durability, MajorityIsTheDefault) {
  EXPECT_FALSE(isDurable({}, fiveVoters(), vms("ab")));
  EXPECT_TRUE(isDurable({}, fiveVoters(), vms("abc")));
  EXPECT_TRUE(isElectionQuorum({}, fiveVoters(), vms("cde")));
}

TEST(Durability, CopiesMustSpanTheDomains) {
  DurabilityRule Rule{.m_Copies = 2, .m_Domains = 2};
  EXPECT_FALSE(isDurable(Rule, fiveVoters(), vms("ab")));
  EXPECT_TRUE(isDurable(Rule, fiveVoters(), vms("ac")));
}

TEST(Durability, LearnersDoNotCount) {
  Members All = fiveVoters().with(core::VmId("c"), {.m_FailureDomain = "d1"});
  EXPECT_FALSE(isDurable({.m_Copies = 3}, All, vms("abc")));
}

// For every rule and every two disjoint sets: if one can elect a leader, the
// other can neither make an entry durable nor elect a leader.
TEST(Durability, ElectionQuorumsIntersectDurableSetsAndEachOther) {
  Members All = fiveVoters();
  for (std::uint32_t Copies = 0; Copies <= 5; ++Copies)
    for (std::uint32_t Domains = 1; Domains <= 3; ++Domains) {
      DurabilityRule Rule{.m_Copies = Copies, .m_Domains = Domains};
      for (unsigned First = 0; First < 32; ++First)
        for (unsigned Second = 0; Second < 32; ++Second) {
          auto Names = [](unsigned Bits) {
            std::string Text;
            for (unsigned I = 0; I < 5; ++I)
              if ((Bits >> I & 1U) != 0)
                Text += static_cast<char>('a' + I);
            return Text;
          };
          if ((First & Second) != 0 ||
              !isElectionQuorum(Rule, All, vms(Names(First))))
            continue;
          EXPECT_FALSE(isDurable(Rule, All, vms(Names(Second))));
          EXPECT_FALSE(isElectionQuorum(Rule, All, vms(Names(Second))));
        }
    }
}
