#include "core/outcome.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(Outcome, HoldsAValueOrAReason) {
  Outcome<int> Good = 3;
  Outcome<int> Bad = Reason{ReasonCode::NotFound, "id", "no such job"};
  EXPECT_TRUE(Good);
  EXPECT_EQ(*Good, 3);
  EXPECT_FALSE(Bad);
  EXPECT_EQ(toString(Bad.reason()), "not_found: id: no such job");
}

TEST(Reason, WithoutCodePrintsNothing) { EXPECT_EQ(toString(Reason{}), ""); }
