// From an id to its cause: what the logs of several processes say of one
// request, in one time line.
#ifndef FIREFLYDRIFT_MESSAGES_TIMELINE_H
#define FIREFLYDRIFT_MESSAGES_TIMELINE_H

#include <string>
#include <vector>

namespace fireflydrift::messages {

struct TimeLine {
  // Log lines that name the id, by their time.
  std::vector<std::string> m_Lines;
  // Why the request ended as it did, in a sentence.
  std::string m_Cause;

  friend bool operator==(const TimeLine &, const TimeLine &) = default;
};

// Joins the lines of all logs that name the id. Anything may stand before a
// line's time, such as the name of a VM.
[[nodiscard]] TimeLine traceId(const std::string &Id,
                               const std::vector<std::string> &Logs);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_TIMELINE_H
