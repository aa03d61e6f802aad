// A writer that is not a target but sends reports and departures like one: with
// invalid fields, in the names of targets at work, or from their addresses. It
// must change nothing.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_FOREIGN_WRITER_H
#define FIREFLYDRIFT_TESTS_STANDIN_FOREIGN_WRITER_H

#include "runtime/http_client.h"
#include "standin/workers.h"

namespace fireflydrift::standin {

struct ForeignWriterOptions {
  std::vector<ControlAddress> m_ControlAddresses;
  // Targets whose ids and addresses it uses.
  int m_Targets = 4;
  core::Duration m_Interval{100};

  friend bool operator==(const ForeignWriterOptions &,
                         const ForeignWriterOptions &) = default;
};

class ForeignWriter {
public:
  ForeignWriter(runtime::Loop &EventLoop, ForeignWriterOptions Options);

  // Sends a message when one is due and Now is before the end of writing.
  void tick(core::Time Now);
  void writeUntil(core::Time Until) noexcept { m_Until = Until; }
  // Messages sent, and answers to reports that carried a lease although the
  // report was invalid.
  [[nodiscard]] int sent() const noexcept { return m_Sent; }
  [[nodiscard]] int wronglyAccepted() const noexcept { return m_Wrong; }

private:
  void send(const std::string &Method, const std::string &Id,
            const std::string &Body, bool Valid);

  ForeignWriterOptions m_Options;
  runtime::HttpClient m_Client;
  core::Time m_NextAt;
  core::Time m_Until;
  int m_Sent = 0;
  int m_Wrong = 0;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_FOREIGN_WRITER_H
