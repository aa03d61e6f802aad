#include "runtime/log_writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace fireflydrift::runtime {

static constexpr std::int64_t MilliTokensPerLine = 1000;

// ---- Rate limiting ---------------------------------------------------------

static std::int64_t bucketCapacity(const LogRateLimitOptions &Options) {
  return MilliTokensPerLine * Options.m_LinesPerSecond;
}

LogRateLimiter makeLogRateLimiter(const LogRateLimitOptions &Options,
                                  core::Time Now) {
  return {.m_MilliTokens = bucketCapacity(Options), .m_RefilledAt = Now};
}

LogRateLimiter chargeLine(LogRateLimiter Limiter,
                          const LogRateLimitOptions &Options, core::Time Now) {
  // The rate in lines a second is also the rate in thousandths of a line a
  // millisecond.
  std::int64_t Refill =
      std::max<std::int64_t>((Now - Limiter.m_RefilledAt).count(), 0) *
      Options.m_LinesPerSecond;
  Limiter.m_RefilledAt = std::max(Limiter.m_RefilledAt, Now);
  Limiter.m_MilliTokens =
      std::min(bucketCapacity(Options), Limiter.m_MilliTokens + Refill);
  if (Limiter.m_MilliTokens < MilliTokensPerLine) {
    ++Limiter.m_SuppressedLines;
    return Limiter;
  }
  Limiter.m_MilliTokens -= MilliTokensPerLine;
  return Limiter;
}

// ---- Writing ---------------------------------------------------------------

// A pipe that polls as writable accepts this many bytes without blocking.
static constexpr std::size_t MaxWriteBytes = PIPE_BUF;

void LogWriter::append(const std::string &Line) {
  std::size_t Length = std::min(Line.size(), MaxWriteBytes - 1);
  if (m_Buffer.size() + Length + 1 > MaxWriteBytes)
    flush();
  m_Buffer.append(Line, 0, Length).append(1, '\n');
  ++m_BufferedLines;
}

void LogWriter::flush() {
  if (m_Buffer.empty())
    return;
  pollfd Ready{.fd = m_File, .events = POLLOUT, .revents = 0};
  bool HasRoom = poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLOUT) != 0;
  bool Written =
      HasRoom && write(m_File, m_Buffer.data(), m_Buffer.size()) >= 0;
  if (!Written)
    m_Dropped += m_BufferedLines;
  m_Buffer.clear();
  m_BufferedLines = 0;
}

} // namespace fireflydrift::runtime
