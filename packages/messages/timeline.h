// Builds a timeline of one request from the logs of several processes and
// derives the cause of its outcome.
#ifndef FIREFLYDRIFT_MESSAGES_TIMELINE_H
#define FIREFLYDRIFT_MESSAGES_TIMELINE_H

#include <string>
#include <vector>

namespace fireflydrift::messages {

struct Timeline {
  // Log lines of events that contain the id, sorted by time.
  std::vector<std::string> m_Lines;
  // The cause of the request's outcome, in a sentence.
  std::string m_Cause;

  friend bool operator==(const Timeline &, const Timeline &) = default;
};

// Merges the lines that contain the id from all logs. Lines without an event
// are left out. A line may have any prefix before its time, such as the name of
// a VM.
[[nodiscard]] Timeline buildTimeline(const std::string &Id,
                                     const std::vector<std::string> &Logs);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_TIMELINE_H
