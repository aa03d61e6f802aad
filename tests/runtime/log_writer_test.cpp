#include "runtime/log_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

TEST(LineBudget, LeavesOutWhatIsOverItAndCounts) {
  LineBudgetOptions Options{.m_PerSecond = 10};
  LineBudget Value = fullLineBudget(Options, at(0));
  for (int I = 0; I < 25; ++I)
    Value = offered(Value, Options, at(0));
  EXPECT_EQ(Value.m_LeftOut, 15U);
  Value = offered(Value, Options, at(100));
  EXPECT_EQ(Value.m_LeftOut, 15U);
  Value = offered(Value, Options, at(100));
  EXPECT_EQ(Value.m_LeftOut, 16U);
}

TEST(LineBudget, AClockThatGoesBackEarnsNothing) {
  LineBudgetOptions Options{.m_PerSecond = 1};
  LineBudget Value = offered(fullLineBudget(Options, at(5000)), Options, at(0));
  EXPECT_EQ(offered(Value, Options, at(0)).m_LeftOut, 1U);
}

// A reader that never reads costs lines, not time: the test would hang.
TEST(LogWriter, NeverWaitsForItsReader) {
  int Ends[2] = {-1, -1};
  ASSERT_EQ(pipe(Ends), 0);
  LogWriter Writer(Ends[1]);
  std::string Line(1000, 'x');
  constexpr int Lines = 1000;
  for (int I = 0; I < Lines; ++I)
    Writer.take(Line);
  Writer.flush();
  EXPECT_GT(Writer.dropped(), 0U);
  EXPECT_LT(Writer.dropped(), static_cast<std::uint64_t>(Lines));
  close(Ends[0]);
  close(Ends[1]);
}

TEST(LogWriter, WritesWholeLines) {
  int Ends[2] = {-1, -1};
  ASSERT_EQ(pipe(Ends), 0);
  LogWriter Writer(Ends[1]);
  Writer.take("one");
  Writer.take("two");
  Writer.flush();
  char Buffer[16] = {};
  EXPECT_EQ(read(Ends[0], Buffer, sizeof(Buffer)), 8);
  EXPECT_STREQ(Buffer, "one\ntwo\n");
  close(Ends[0]);
  close(Ends[1]);
}
