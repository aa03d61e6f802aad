#include "runtime/log_writer.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace fireflydrift::runtime {

static constexpr std::int64_t WholeLine = 1000;

// ---- How many lines --------------------------------------------------------

static std::int64_t fullAmount(const LineBudgetOptions &Options) {
  return WholeLine * Options.m_PerSecond;
}

LineBudget fullLineBudget(const LineBudgetOptions &Options, core::Time Now) {
  return {.m_Thousandths = fullAmount(Options), .m_At = Now};
}

LineBudget offered(LineBudget Before, const LineBudgetOptions &Options,
                   core::Time Now) {
  // A millisecond earns a thousandth of what a second does.
  std::int64_t Earned = std::max<std::int64_t>((Now - Before.m_At).count(), 0) *
                        Options.m_PerSecond;
  Before.m_At = std::max(Before.m_At, Now);
  Before.m_Thousandths =
      std::min(fullAmount(Options), Before.m_Thousandths + Earned);
  if (Before.m_Thousandths < WholeLine) {
    ++Before.m_LeftOut;
    return Before;
  }
  Before.m_Thousandths -= WholeLine;
  return Before;
}

// ---- Writing ---------------------------------------------------------------

// A pipe that polls as writable takes this much at once.
static constexpr std::size_t AtOnce = PIPE_BUF;

void LogWriter::take(const std::string &Line) {
  std::size_t Length = std::min(Line.size(), AtOnce - 1);
  if (m_Buffer.size() + Length + 1 > AtOnce)
    flush();
  m_Buffer.append(Line, 0, Length).append(1, '\n');
  ++m_Lines;
}

void LogWriter::flush() {
  if (m_Buffer.empty())
    return;
  pollfd Ready{.fd = m_File, .events = POLLOUT, .revents = 0};
  bool Room = poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLOUT) != 0;
  bool Written = Room && write(m_File, m_Buffer.data(), m_Buffer.size()) >= 0;
  if (!Written)
    m_Dropped += m_Lines;
  m_Buffer.clear();
  m_Lines = 0;
}

} // namespace fireflydrift::runtime
