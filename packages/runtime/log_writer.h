// Writes log lines without ever waiting for whoever reads them.
#ifndef FIREFLYDRIFT_RUNTIME_LOG_WRITER_H
#define FIREFLYDRIFT_RUNTIME_LOG_WRITER_H

#include "core/time.h"

#include <cstdint>
#include <string>

namespace fireflydrift::runtime {

// ---- How many lines --------------------------------------------------------

struct LineBudgetOptions {
  // Lines a second in the long run; as many may come in one burst on top.
  std::uint32_t m_PerSecond = 500;

  friend bool operator==(const LineBudgetOptions &,
                         const LineBudgetOptions &) = default;
};

// What may still be written, in thousandths of a line.
struct LineBudget {
  std::int64_t m_Thousandths = 0;
  core::Time m_At;
  // Lines left out since the last one that was written.
  std::uint64_t m_LeftOut = 0;

  friend bool operator==(const LineBudget &, const LineBudget &) = default;
};

[[nodiscard]] LineBudget fullLineBudget(const LineBudgetOptions &Options,
                                        core::Time Now);

// The budget after a line was offered at Now. The line is to be written when
// m_LeftOut has not grown by it.
[[nodiscard]] LineBudget
offered(LineBudget Before, const LineBudgetOptions &Options, core::Time Now);

// ---- Writing ---------------------------------------------------------------

// Collects lines and writes them to a file descriptor. A pipe that is full
// costs lines, never time.
class LogWriter {
public:
  explicit LogWriter(int File) noexcept : m_File(File) {}

  // Lines that were dropped because nobody read them.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_Dropped; }

  // Takes one line without its end.
  void take(const std::string &Line);
  // Writes what was taken as far as the reader has room.
  void flush();

private:
  int m_File = -1;
  std::string m_Buffer;
  std::uint64_t m_Lines = 0;
  std::uint64_t m_Dropped = 0;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LOG_WRITER_H
