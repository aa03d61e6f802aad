#include "core/ids.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(Ids, AcceptsLettersDigitsAndPunctuation) {
  EXPECT_TRUE(isValidId("Sapporo-3_report.7:a"));
}

TEST(Ids, RejectsEmptyLongAndInvalidText) {
  EXPECT_FALSE(isValidId(""));
  EXPECT_FALSE(isValidId(std::string(MaxIdBytes + 1, 'a')));
  EXPECT_FALSE(isValidId("a/b"));
  EXPECT_FALSE(isValidId("a b"));
}

TEST(Ids, KeysCompareByWorkspaceFirst) {
  JobKey A{WorkspaceId("a"), RequestId("2")};
  JobKey B{WorkspaceId("b"), RequestId("1")};
  EXPECT_LT(A, B);
  EXPECT_EQ(toString(A), "a/2");
}
