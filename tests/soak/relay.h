// A relay on loopback that stands in for a link: it delays, holds back one
// way, resets, goes silent, and loses datagrams.
#ifndef FIREFLYDRIFT_TESTS_SOAK_RELAY_H
#define FIREFLYDRIFT_TESTS_SOAK_RELAY_H

#include "runtime/loop.h"
#include "standin/endpoint.h"

#include <memory>

namespace fireflydrift::soak {

using standin::Endpoint;

// How the link behaves now. What a cut holds back arrives after it.
struct LinkState {
  core::Duration m_Delay{0};
  bool m_CutsForward = false;
  bool m_CutsBack = false;
  // Percent of datagrams that are lost.
  int m_LossPercent = 0;

  friend bool operator==(const LinkState &, const LinkState &) = default;
};

class Relay {
public:
  // Takes connections and datagrams at From and passes them to To. Stops the
  // process when From can't be had.
  Relay(runtime::Loop &On, const Endpoint &From, Endpoint To);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  void set(const LinkState &Value);
  // Resets every open connection.
  void reset();
  // Open connections carry nothing any more, and are not closed; new ones work.
  void silence();
  // Passes on what is due. Returns true while anything waits for its time.
  bool turn(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_RELAY_H
