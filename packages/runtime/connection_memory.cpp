#include "runtime/connection_memory.h"

#include "runtime/events.h"

#include <algorithm>
#include <utility>

namespace fireflydrift::runtime {

// Measuring takes longer than a short iteration of the loop when thousands of
// connections are open.
static constexpr core::Duration MeasureInterval{2};
// The interval while less than this part of the budget is used.
static constexpr core::Duration IdleMeasureInterval{10};
static constexpr std::size_t BusyPart = 4;
static constexpr core::Duration LogInterval{1000};

ConnectionMemory::ConnectionMemory(routing::MemoryBudgetOptions Options,
                                   Counters &Values)
    : m_Options(std::move(Options)), m_Counters(Values) {}

void ConnectionMemory::addServer(HttpServer &Server, std::string Name,
                                 bool ForOperators, std::size_t MaxBodyBytes) {
  m_Listeners.push_back({.m_Server = &Server, .m_Name = std::move(Name)});
  m_Options.m_Listeners.push_back(
      {.m_ForOperators = ForOperators,
       .m_MaxConnectionBytes = routing::maxConnectionBytes(MaxBodyBytes)});
}

void ConnectionMemory::check(core::Time Now) {
  bool IsBusy = m_HeldBytes > m_Options.m_MaxBytes / BusyPart;
  if (Now - m_MeasuredAt < (IsBusy ? MeasureInterval : IdleMeasureInterval))
    return;
  m_MeasuredAt = Now;
  std::vector<routing::ConnectionLoad> Loads;
  for (std::size_t I = 0; I < m_Listeners.size(); ++I) {
    auto Held = m_Listeners[I].m_Server->measure(I, Now);
    Loads.insert(Loads.end(), Held.begin(), Held.end());
  }
  publish(Loads);
  closeConnections(routing::connectionsToClose(Loads, m_Options, Now));
  for (std::size_t I = 0; I < m_Listeners.size(); ++I)
    m_Listeners[I].m_Server->setAccepting(
        routing::mayAccept(Loads, m_Options, I));
  logClosed(Now);
}

void ConnectionMemory::closeConnections(
    const std::vector<routing::ClosedConnection> &Closed) {
  for (const routing::ClosedConnection &Each : Closed) {
    const Listener &From = m_Listeners[Each.m_Listener];
    From.m_Server->closeConnection(Each.m_Id);
    m_Counters.add("fireflydrift_http_closed_total", 1,
                   "listener=\"" + From.m_Name + "\",cause=\"" +
                       routing::toString(Each.m_Cause) + "\"");
    ++m_Unlogged[{Each.m_Listener, Each.m_Cause}];
  }
}

void ConnectionMemory::publish(
    const std::vector<routing::ConnectionLoad> &Loads) {
  std::vector<std::size_t> Held(m_Listeners.size());
  for (const routing::ConnectionLoad &Each : Loads)
    Held[Each.m_Listener] += Each.m_Bytes;
  std::size_t Total = 0;
  for (std::size_t I = 0; I < Held.size(); ++I) {
    Total += Held[I];
    m_Counters.set("fireflydrift_http_buffered_bytes", Held[I],
                   "listener=\"" + m_Listeners[I].m_Name + "\"");
  }
  m_HeldBytes = Total;
  m_PeakBytes = std::max(m_PeakBytes, Total);
  m_Counters.set("fireflydrift_http_buffered_peak_bytes", m_PeakBytes);
}

void ConnectionMemory::logClosed(core::Time Now) {
  if (m_Unlogged.empty() || Now - m_LoggedAt < LogInterval)
    return;
  m_LoggedAt = Now;
  std::string Closed;
  for (const auto &[Key, Count] : m_Unlogged)
    Closed += (Closed.empty() ? "" : ",") + m_Listeners[Key.first].m_Name +
              ":" + routing::toString(Key.second) + ":" + std::to_string(Count);
  m_Unlogged.clear();
  logEvent(Event::ClientsClosed, {{"closed", Closed}});
}

} // namespace fireflydrift::runtime
