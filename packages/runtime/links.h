// Transport between VMs: TCP connections for messages, UDP datagrams for
// heartbeats.
#ifndef FIREFLYDRIFT_RUNTIME_LINKS_H
#define FIREFLYDRIFT_RUNTIME_LINKS_H

#include "messages/codec.h"
#include "runtime/loop.h"
#include "runtime/refusals.h"

#include <optional>
#include <set>

namespace fireflydrift::runtime {

struct LinkOptions {
  // A connection with unacknowledged frames over which nothing was received for
  // this long counts as stalled and is replaced by a new one.
  core::Duration m_StallTimeout{1500};
  core::Duration m_ConnectTimeout{1000};
  // Delay before the next attempt after a connection attempt that timed out.
  core::Duration m_ReconnectDelay{200};
  // Port of all VMs when they discover each other through seeds. Zero when
  // settings list all VMs; messages from unlisted VMs are then discarded.
  std::uint16_t m_DiscoveryPort = 0;
  // Send queue limit for one VM. Messages above it are dropped, because senders
  // retry every message that they need.
  std::size_t m_MaxQueuedBytes = std::size_t{64} << 20U;

  friend bool operator==(const LinkOptions &, const LinkOptions &) = default;
};

// Traffic statistics of the connections and heartbeats between this VM and one
// other VM.
struct LinkTraffic {
  std::uint64_t m_BytesOut = 0;
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_FramesOut = 0;
  std::uint64_t m_FramesIn = 0;
  std::uint64_t m_StalledConnections = 0;
  std::uint64_t m_DroppedMessages = 0;

  friend bool operator==(const LinkTraffic &, const LinkTraffic &) = default;
};

// Exchanges messages and heartbeats with the other VMs of the system.
class Links {
public:
  using OnMessage = std::function<void(messages::Envelope)>;
  using OnHeartbeat = std::function<void(membership::Heartbeat)>;
  using OnRefused = std::function<void(const Refusal &)>;
  using OnOperationsDropped = std::function<void(
      const core::VmId &, const std::vector<std::uint64_t> &)>;

  // What receives the messages of other VMs; each must be set.
  struct Handlers {
    OnMessage m_OnMessage;
    OnHeartbeat m_OnHeartbeat;
    // Called for each frame or datagram that can't be decoded or comes from an
    // unknown VM.
    OnRefused m_OnRefused;
    // Called with the ids of forwarded operations that a VM had not
    // acknowledged when the connection to it was replaced. They may have
    // arrived all the same. The links don't send them again: whoever forwards
    // an operation has to know how many copies of it are under way.
    OnOperationsDropped m_OnOperationsDropped;
  };

  Links(Loop &EventLoop, core::VmId Self,
        std::vector<membership::VmAddress> Vms, LinkOptions Options);
  ~Links();
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;

  // Binds the VM's own address and starts receiving. Does not bind when this is
  // the only VM and discovery is off. Fails with Io, or with InvalidInput when
  // the address is not numeric.
  [[nodiscard]] core::Outcome<bool> listen(Handlers Values);

  [[nodiscard]] std::map<core::VmId, LinkTraffic> traffic() const;

  // Queues a message. Drops it when the queue is full, or when no connection is
  // open or can be opened. A queued message may arrive twice when the
  // connection breaks, and is lost when no new connection can be opened or too
  // many newer messages are unacknowledged. A forwarded operation never arrives
  // twice.
  void send(const core::VmId &To, const messages::Body &Value);
  void sendHeartbeat(const core::VmId &To, const membership::Heartbeat &Value);
  // Closes the outgoing connections to all VMs that are not in Vms, and forgets
  // these VMs with their traffic statistics.
  void retainPeers(const std::set<core::VmId> &Vms);
  // Replaces the connection to a VM and counts it as stalled. Does nothing
  // without a connection.
  void reconnect(const core::VmId &To);
  // Replaces connections over which nothing was received for the stall timeout:
  // only the one to the VM To, or all when To is empty. A connection over which
  // nothing is sent may stall unnoticed, and the next messages would be lost.
  void reconnectIdle(const std::optional<core::VmId> &To, core::Time Now);
  // Opens missing connections, aborts connection attempts that timed out,
  // replaces stalled connections, and closes the sockets of connections that
  // are no longer used. To be called regularly.
  void maintain(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LINKS_H
