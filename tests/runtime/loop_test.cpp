#include "runtime/loop.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

TEST(Loop, ClockIncludesSuspension) {
  core::Time Start = core::timeFromMs(5000);
  // The elapsed time includes a suspension of a minute.
  core::Time Resumed =
      wallTimeAfter(Start, core::Duration(100), core::Duration(60100));
  EXPECT_EQ(Resumed - Start, core::Duration(60000));
}

TEST(Loop, ClockNeverGoesBack) {
  core::Time Start = core::timeFromMs(5000);
  EXPECT_EQ(wallTimeAfter(Start, core::Duration(100), core::Duration(40)),
            Start);
}
