#include "core/shape.h"

#include <gtest/gtest.h>

using namespace fireflydrift::core;

TEST(Capacity, CountsTheScarcestResource) {
  Capacity Here{8, 64, 1000};
  EXPECT_EQ(Here.count({1, 10, 100}), 6U);
  EXPECT_EQ(Here.count({1, 0, 0}), 8U);
  EXPECT_EQ(Here.count({9, 0, 0}), 0U);
}

TEST(Capacity, NegativeAmountsFitNothing) {
  EXPECT_EQ((Capacity{-1, 5, 5}.count({1, 1, 1})), 0U);
}

TEST(Shape, TotalIsTasksTimesEach) {
  Shape Gang{.m_Tasks = 4, .m_PerTask = {2, 3, 5}};
  EXPECT_EQ(Gang.total(), (Capacity{8, 12, 20}));
}
