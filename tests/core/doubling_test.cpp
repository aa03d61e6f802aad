#include "core/exponential_delay.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(Doubling, GrowsUpToTheLongest) {
  Duration First{5};
  Duration Longest{30};
  EXPECT_EQ(exponentialDelay(First, Longest, 0), Duration(5));
  EXPECT_EQ(exponentialDelay(First, Longest, 2), Duration(20));
  EXPECT_EQ(exponentialDelay(First, Longest, 3), Longest);
  EXPECT_EQ(exponentialDelay(First, Longest, 4000000000U), Longest);
}
