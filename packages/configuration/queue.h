// Queues through which callers submit workflows, and the policy of each.
#ifndef FIREFLYDRIFT_CONFIGURATION_QUEUE_H
#define FIREFLYDRIFT_CONFIGURATION_QUEUE_H

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflydrift::configuration {

struct Queue {
  std::string m_Name;
  // A request belongs to the queue of its host with the longest prefix that
  // matches its path.
  std::string m_Host;
  std::string m_PathPrefix;
  // The pool of targets that runs the queue's tasks.
  std::string m_Pool;
  // Zero is the highest priority and may preempt others.
  std::uint32_t m_Priority = 0;
  // A workflow fails after this many failed runs of one task or gang.
  std::uint32_t m_MaxAttempts = 1;
  // Completion time objective of a workflow: this percentage of the critical
  // path's run time plus the target latency.
  std::uint32_t m_SlackPercent = 100;
  core::Duration m_TargetLatency{0};
  // True if requests need no API key.
  bool m_Public = false;

  friend bool operator==(const Queue &, const Queue &) = default;
  friend auto operator<=>(const Queue &, const Queue &) = default;
};

// The queue of a request and the rest of its path after the prefix. If no queue
// matches, m_Queue is nullptr and m_Rest is empty.
struct QueueMatch {
  const Queue *m_Queue = nullptr;
  std::string m_Rest;

  friend bool operator==(const QueueMatch &, const QueueMatch &) = default;
};

[[nodiscard]] QueueMatch findQueue(const std::vector<Queue> &All,
                                   const std::string &Host,
                                   const std::string &Path);

} // namespace fireflydrift::configuration

#endif // FIREFLYDRIFT_CONFIGURATION_QUEUE_H
