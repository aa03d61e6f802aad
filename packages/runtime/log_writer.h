// Rate limiting and non-blocking output of log lines.
#ifndef FIREFLYDRIFT_RUNTIME_LOG_WRITER_H
#define FIREFLYDRIFT_RUNTIME_LOG_WRITER_H

#include "core/time.h"

#include <cstdint>
#include <string>

namespace fireflydrift::runtime {

// ---- Rate limiting ---------------------------------------------------------

struct LogRateLimitOptions {
  // Sustained rate in lines a second; also the burst size.
  std::uint32_t m_LinesPerSecond = 500;

  friend bool operator==(const LogRateLimitOptions &,
                         const LogRateLimitOptions &) = default;
};

// Token bucket that limits the rate of log lines.
struct LogRateLimiter {
  // In thousandths of a line.
  std::int64_t m_MilliTokens = 0;
  core::Time m_RefilledAt;
  // Lines suppressed since the last one that was written.
  std::uint64_t m_SuppressedLines = 0;

  friend bool operator==(const LogRateLimiter &,
                         const LogRateLimiter &) = default;
};

// Returns a limiter with a full bucket.
[[nodiscard]] LogRateLimiter
makeLogRateLimiter(const LogRateLimitOptions &Options, core::Time Now);

// Refills the bucket up to Now and takes the tokens for one line. When too few
// are left, m_SuppressedLines grows by one and the caller must not write the
// line.
[[nodiscard]] LogRateLimiter chargeLine(LogRateLimiter Limiter,
                                        const LogRateLimitOptions &Options,
                                        core::Time Now);

// ---- Writing ---------------------------------------------------------------

// Buffers lines and writes them to a file descriptor. Lines are dropped when
// the descriptor is a full pipe, so that the event loop never blocks.
class LogWriter {
public:
  explicit LogWriter(int File) noexcept : m_File(File) {}

  // Lines dropped because the pipe was full or the write failed.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_Dropped; }

  // Buffers one line, given without its newline.
  void append(const std::string &Line);
  // Writes the buffered lines, or drops them when the pipe is full or the
  // write fails.
  void flush();

private:
  int m_File = -1;
  std::string m_Buffer;
  std::uint64_t m_BufferedLines = 0;
  std::uint64_t m_Dropped = 0;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LOG_WRITER_H
