// Connections to the system's other VMs: TCP for messages, UDP for signs of
// life.
#ifndef FIREFLYDRIFT_RUNTIME_LINKS_H
#define FIREFLYDRIFT_RUNTIME_LINKS_H

#include "messages/codec.h"
#include "runtime/loop.h"

#include <optional>
#include <set>

namespace fireflydrift::runtime {

struct LinkOptions {
  // A frame waits for its acknowledgement and nothing at all came back for this
  // long: the connection has gone silent, and a fresh one is opened.
  core::Duration m_SilentAfter{1500};
  core::Duration m_ConnectTimeout{1000};
  core::Duration m_ReconnectAfter{200};
  // Port of all VMs where they find each other by seeds; zero where settings
  // name them all, and others are ignored.
  std::uint16_t m_DiscoveryPort = 0;
  // Bytes that may wait for one VM; what comes on top is dropped, because
  // every message is sent again by whoever needs it.
  std::size_t m_MaxQueuedBytes = std::size_t{64} << 20U;

  friend bool operator==(const LinkOptions &, const LinkOptions &) = default;
};

// What the links have carried, by the other VM.
struct LinkTraffic {
  std::uint64_t m_BytesOut = 0;
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_FramesOut = 0;
  std::uint64_t m_FramesIn = 0;
  std::uint64_t m_StalledConnections = 0;
  std::uint64_t m_DroppedMessages = 0;

  friend bool operator==(const LinkTraffic &, const LinkTraffic &) = default;
};

// Sends to and receives from the VMs that settings name.
class Links {
public:
  using OnMessage = std::function<void(messages::Envelope)>;
  using OnHeartbeat = std::function<void(membership::Heartbeat)>;

  Links(Loop &On, core::VmId Self, std::vector<membership::VmAddress> Vms,
        LinkOptions Options);
  ~Links();
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;

  // Binds the VM's own address. Fails with Io.
  [[nodiscard]] core::Outcome<bool> listen(OnMessage Message, OnHeartbeat Beat);

  [[nodiscard]] std::map<core::VmId, LinkTraffic> traffic() const;

  // Queues a message. It may arrive twice when the connection breaks, and is
  // lost when no other can be opened.
  void send(const core::VmId &To, const messages::Body &Value);
  void sendHeartbeat(const core::VmId &To, const membership::Heartbeat &Value);
  // Keeps links to just these VMs, this one aside.
  void retainPeers(const std::set<core::VmId> &Vms);
  // Closes the connection to a VM so that another is opened.
  void reconnect(const core::VmId &To);
  // The same for connections, to one VM or to all, over which nothing came back
  // for so long that they could have gone silent unnoticed. Those would swallow
  // the first messages that matter.
  void reconnectIdle(const std::optional<core::VmId> &To, core::Time Now);
  // Opens, gives up and reopens connections as their times are over.
  void maintain(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LINKS_H
