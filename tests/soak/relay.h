// A TCP and UDP proxy on loopback that simulates a faulty network link: it can
// delay traffic, block either direction, reset connections, drop all data of
// open connections and lose datagrams.
#ifndef FIREFLYDRIFT_TESTS_SOAK_RELAY_H
#define FIREFLYDRIFT_TESTS_SOAK_RELAY_H

#include "runtime/loop.h"
#include "standin/endpoint.h"

#include <memory>

namespace fireflydrift::soak {

using standin::Endpoint;

// The present behaviour of the link. Forward is from the end that connects or
// sends a datagram; datagrams have no backward direction. While a direction is
// blocked, stream data is held back and delivered later; datagrams that arrive
// are dropped.
struct LinkState {
  core::Duration m_Delay{0};
  bool m_BlocksForward = false;
  bool m_BlocksBackward = false;
  // Percentage of datagrams that are lost.
  int m_LossPercent = 0;

  friend bool operator==(const LinkState &, const LinkState &) = default;
};

class Relay {
public:
  // Accepts connections and datagrams at From and forwards them to To. Aborts
  // the process if it can't listen at From.
  Relay(runtime::Loop &EventLoop, const Endpoint &From, Endpoint To);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  void set(const LinkState &Value);
  // Resets every open connection.
  void reset();
  // Stops forwarding on the connections that are open now, without closing
  // them. New connections work.
  void blackhole();
  // Opens and closes connections as needed and forwards the data that is due.
  // Returns true if data remains queued that is not black-holed.
  bool tick(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_RELAY_H
