#include "runtime/log_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

TEST(LogRateLimiter, SuppressesAndCountsExcessLines) {
  LogRateLimitOptions Options{.m_LinesPerSecond = 10};
  LogRateLimiter Value = makeLogRateLimiter(Options, at(0));
  for (int I = 0; I < 25; ++I)
    Value = chargeLine(Value, Options, at(0));
  EXPECT_EQ(Value.m_SuppressedLines, 15U);
  Value = chargeLine(Value, Options, at(100));
  EXPECT_EQ(Value.m_SuppressedLines, 15U);
  Value = chargeLine(Value, Options, at(100));
  EXPECT_EQ(Value.m_SuppressedLines, 16U);
}

TEST(LogRateLimiter, ClockGoingBackAddsNoTokens) {
  LogRateLimitOptions Options{.m_LinesPerSecond = 1};
  LogRateLimiter Value =
      chargeLine(makeLogRateLimiter(Options, at(5000)), Options, at(0));
  EXPECT_EQ(chargeLine(Value, Options, at(0)).m_SuppressedLines, 1U);
}

// A writer that blocks on a full pipe would hang this test.
TEST(LogWriter, DropsLinesInsteadOfBlocking) {
  int Ends[2] = {-1, -1};
  ASSERT_EQ(pipe(Ends), 0);
  LogWriter Writer(Ends[1]);
  std::string Line(1000, 'x');
  constexpr int Lines = 1000;
  for (int I = 0; I < Lines; ++I)
    Writer.append(Line);
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
  Writer.append("one");
  Writer.append("two");
  Writer.flush();
  char Buffer[16] = {};
  EXPECT_EQ(read(Ends[0], Buffer, sizeof(Buffer)), 8);
  EXPECT_STREQ(Buffer, "one\ntwo\n");
  close(Ends[0]);
  close(Ends[1]);
}
