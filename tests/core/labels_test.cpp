#include "core/labels.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

static Labels sapporo() {
  return Labels({{"site", "sapporo"}, {"gpu", "a"}, {"kind", "short"}});
}

static Labels onlySite(const char *Site) {
  return Labels(std::map<std::string, std::string>{{"site", Site}});
}

TEST(Selector, EmptyMatchesEverything) {
  EXPECT_TRUE(Selector::parse(" ")->matches(sapporo()));
}

TEST(Selector, MatchesEachKindOfRequirement) {
  auto Parsed =
      Selector::parse("site=sapporo|obihiro, !draining,kind!=long,gpu");
  ASSERT_TRUE(Parsed);
  EXPECT_TRUE(Parsed->matches(sapporo()));
  EXPECT_FALSE(Parsed->matches(onlySite("sapporo")));
  EXPECT_EQ(Parsed->firstUnmet(onlySite("x")), "site=sapporo|obihiro");
}

TEST(Selector, FormatsWhatItParses) {
  auto Parsed = Selector::parse("site=a|b,!c,d!=e,f");
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(toString(*Parsed), "site=a|b,!c,d!=e,f");
  EXPECT_EQ(Selector::parse(toString(*Parsed)), Parsed);
}

TEST(Selector, RejectsInvalidText) {
  for (const char *Text : {",", "a=", "=b", "!", "a=|b", "a b", "a,,b", "a,"}) {
    auto Parsed = Selector::parse(Text);
    EXPECT_FALSE(Parsed) << Text;
    EXPECT_EQ(Parsed.reason().m_Field, "selector") << Text;
  }
}
