// Transport between VMs: TCP connections for messages, UDP datagrams for
// heartbeats.
#ifndef FIREFLYDRIFT_RUNTIME_LINKS_H
#define FIREFLYDRIFT_RUNTIME_LINKS_H

#include "messages/codec.h"
#include "runtime/loop.h"

#include <optional>
#include <set>

namespace fireflydrift::runtime {

struct LinkOptions {
  // A connection with unacknowledged frames over which nothing was received for
  // this long counts as stalled and is replaced by a new one.
  core::Duration m_StallTimeout{1500};
  core::Duration m_ConnectTimeout{1000};
  core::Duration m_ReconnectDelay{200};
  // Port of all VMs when they discover each other through seeds. Zero when
  // settings list all VMs; messages from other VMs are then ignored.
  std::uint16_t m_DiscoveryPort = 0;
  // Send queue limit for one VM. Messages above it are dropped, because senders
  // retry every message that they need.
  std::size_t m_MaxQueuedBytes = std::size_t{64} << 20U;

  friend bool operator==(const LinkOptions &, const LinkOptions &) = default;
};

// Traffic statistics of the connections with one other VM.
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

  Links(Loop &EventLoop, core::VmId Self,
        std::vector<membership::VmAddress> Vms, LinkOptions Options);
  ~Links();
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;

  // Binds the VM's own address and starts receiving. Fails with Io.
  [[nodiscard]] core::Outcome<bool> listen(OnMessage MessageHandler,
                                           OnHeartbeat HeartbeatHandler);

  [[nodiscard]] std::map<core::VmId, LinkTraffic> traffic() const;

  // Queues a message. It may arrive twice when the connection breaks, and is
  // lost when no new connection can be opened.
  void send(const core::VmId &To, const messages::Body &Value);
  void sendHeartbeat(const core::VmId &To, const membership::Heartbeat &Value);
  // Closes the connections to all VMs that are not in Vms and removes them.
  void retainPeers(const std::set<core::VmId> &Vms);
  // Closes the connection to a VM and opens a new one.
  void reconnect(const core::VmId &To);
  // Replaces idle connections, to one VM or to all: those over which nothing
  // was received for the stall timeout. They may have stalled undetected and
  // would then lose the first important messages.
  void reconnectIdle(const std::optional<core::VmId> &To, core::Time Now);
  // Opens missing connections, aborts connection attempts that timed out,
  // and replaces stalled connections.
  void maintain(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LINKS_H
