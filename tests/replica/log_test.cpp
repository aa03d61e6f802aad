#include "replica/log.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::replica;

static Members singleVoter(const char *Name) {
  return Members({{core::VmId(Name), Member{.m_Voter = true}}});
}

static Log threeEntries() {
  Log Value({.m_Members = singleVoter("a")}, {});
  Value = std::move(Value).appended({.m_Index = 1, .m_Term = 1});
  Value = std::move(Value).appended(
      {.m_Index = 2, .m_Term = 2, .m_Members = singleVoter("b")});
  return std::move(Value).appended(
      {.m_Index = 3, .m_Term = 2, .m_Commands = "xyz"});
}

TEST(Log, ReturnsTermsAndMembers) {
  Log Value = threeEntries();
  EXPECT_EQ(Value.lastIndex(), 3U);
  EXPECT_EQ(Value.termAt(1), 1U);
  EXPECT_FALSE(Value.termAt(4));
  EXPECT_EQ(Value.membersAt(1), singleVoter("a"));
  EXPECT_EQ(Value.membersAt(3), singleVoter("b"));
}

TEST(Log, TruncationRestoresEarlierMembers) {
  Log Value = threeEntries().truncatedFrom(2);
  EXPECT_EQ(Value.lastIndex(), 1U);
  EXPECT_EQ(Value.membersAt(9), singleVoter("a"));
}

TEST(Log, CompactionKeepsTheTermAndMembersOfItsPoint) {
  Log Value = threeEntries().compactedTo(2);
  EXPECT_EQ(Value.size(), 1U);
  EXPECT_EQ(Value.termAt(2), 2U);
  EXPECT_FALSE(Value.termAt(1));
  EXPECT_EQ(Value.membersAt(2), singleVoter("b"));
}

TEST(Log, SlicesByBytesButReturnsAtLeastOneEntry) {
  Log Value = threeEntries();
  EXPECT_EQ(Value.slice(1, 9, 0).size(), 2U);
  EXPECT_EQ(Value.slice(3, 3, 0).size(), 1U);
}
