#include "core/exponential_delay.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(ExponentialDelay, GrowsUpToTheMaximum) {
  Duration FirstDelay{5};
  Duration MaxDelay{30};
  EXPECT_EQ(exponentialDelay(FirstDelay, MaxDelay, 0), Duration(5));
  EXPECT_EQ(exponentialDelay(FirstDelay, MaxDelay, 2), Duration(20));
  EXPECT_EQ(exponentialDelay(FirstDelay, MaxDelay, 3), MaxDelay);
  EXPECT_EQ(exponentialDelay(FirstDelay, MaxDelay, 4000000000U), MaxDelay);
}
