#include "configuration/queue.h"

namespace fireflydrift::configuration {

QueueMatch findQueue(const std::vector<Queue> &All, const std::string &Host,
                     const std::string &Path) {
  QueueMatch Best;
  for (const Queue &Each : All) {
    bool Longer = !Best.m_Queue ||
                  Each.m_PathPrefix.size() > Best.m_Queue->m_PathPrefix.size();
    if (Each.m_Host == Host && Longer && Path.starts_with(Each.m_PathPrefix))
      Best.m_Queue = &Each;
  }
  if (Best.m_Queue)
    Best.m_Rest = Path.substr(Best.m_Queue->m_PathPrefix.size());
  return Best;
}

} // namespace fireflydrift::configuration
