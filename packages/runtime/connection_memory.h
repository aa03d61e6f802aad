// Keeps the HTTP connections of a process within its memory budget.
#ifndef FIREFLYDRIFT_RUNTIME_CONNECTION_MEMORY_H
#define FIREFLYDRIFT_RUNTIME_CONNECTION_MEMORY_H

#include "routing/memory_budget.h"
#include "runtime/counters.h"
#include "runtime/http_server.h"

namespace fireflydrift::runtime {

// Measures what the connections of all servers hold and closes those that the
// budget has no room for. The servers must exist whenever
// check() is called, and the counters must outlive it.
class ConnectionMemory {
public:
  // Options without listeners; addServer() adds them.
  ConnectionMemory(routing::MemoryBudgetOptions Options, Counters &Values);

  // Adds a server whose requests have bodies of at most MaxBodyBytes. Its name
  // is the label "listener" of the metrics.
  void addServer(HttpServer &Server, std::string Name, bool ForOperators,
                 std::size_t MaxBodyBytes);
  // Called in each iteration of the loop. Measures once in a few milliseconds.
  void check(core::Time Now);

private:
  struct Listener {
    HttpServer *m_Server = nullptr;
    std::string m_Name;
  };

  void closeConnections(const std::vector<routing::ClosedConnection> &Closed);
  void publish(const std::vector<routing::ConnectionLoad> &Loads);
  void logClosed(core::Time Now);

  routing::MemoryBudgetOptions m_Options;
  Counters &m_Counters;
  std::vector<Listener> m_Listeners;
  core::Time m_MeasuredAt;
  core::Time m_LoggedAt;
  // What all connections held when last measured, and the most so far.
  std::size_t m_HeldBytes = 0;
  std::size_t m_PeakBytes = 0;
  // Connections closed since the last log line, by listener and cause.
  std::map<std::pair<std::size_t, routing::CloseCause>, std::uint64_t>
      m_Unlogged;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_CONNECTION_MEMORY_H
