#include "runtime/links.h"

#include "runtime/address.h"
#include "runtime/sockets.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <list>
#include <sys/socket.h>

namespace fireflydrift::runtime {

// Each message is preceded by its length, four bytes.
static constexpr std::size_t FrameHeaderBytes = sizeof(std::uint32_t);
// Sent back for each complete frame.
static constexpr char AckByte = '\x06';
// Sent back when part of a frame has arrived, so that a long frame does not
// make the connection look stalled.
static constexpr char ProgressByte = '\x16';
static constexpr std::size_t MaxDatagramBytes = 1400;

namespace {

// A frame that the peer has not acknowledged yet.
struct SentFrame {
  core::Time m_QueuedAt;
  std::string m_Bytes;
  // The id of the forwarded operation in the frame, if it holds one.
  std::optional<std::uint64_t> m_Operation;
};

// A socket to be closed by the next maintain(), with the buffer of a write that
// may still be under way.
struct ClosingSocket {
  h2o_socket_t *m_Socket = nullptr;
  std::unique_ptr<std::string> m_WriteBuffer;
};

// Another VM, with the outgoing connection to it.
struct PeerConnection {
  membership::VmAddress m_Address;
  h2o_socket_t *m_Socket = nullptr;
  bool m_Connected = false;
  bool m_Writing = false;
  std::unique_ptr<std::string> m_WriteBuffer;
  std::string m_Queue;
  std::deque<SentFrame> m_Unacknowledged;
  // When anything was last received from the peer over this connection.
  core::Time m_LastReceivedAt;
  core::Time m_OpenedAt;
  core::Time m_RetryAt;
  LinkTraffic m_Traffic;
  Loop *m_Loop = nullptr;
  const Links::Handlers *m_Handlers = nullptr;
  std::list<ClosingSocket> *m_ClosingSockets = nullptr;
};

// A connection that was accepted from another VM.
struct IncomingConnection {
  const Links::Handlers *m_Handlers = nullptr;
  // Calls Impl::peer() of the Links that accepted the connection.
  std::function<PeerConnection *(const core::VmId &)> m_FindPeer;
  h2o_socket_t *m_Socket = nullptr;
  bool m_Writing = false;
  std::string m_WriteBuffer;
  std::size_t m_PendingAcks = 0;
  bool m_ProgressPending = false;
  // Set when reading has failed while a write is under way; the connection is
  // closed when the write completes.
  bool m_Failed = false;
};

} // namespace

struct Links::Impl {
  Loop &m_Loop;
  core::VmId m_Self;
  membership::VmAddress m_OwnAddress;
  LinkOptions m_Options;
  Handlers m_Handlers;
  std::map<core::VmId, PeerConnection> m_Peers;
  std::list<ClosingSocket> m_ClosingSockets;
  h2o_socket_t *m_Listener = nullptr;
  h2o_socket_t *m_DatagramSocket = nullptr;

  // Returns the peer with the id, or nullptr for an unknown VM. With discovery
  // through seeds, any VM other than this one is added when first seen.
  [[nodiscard]] PeerConnection *peer(const core::VmId &Vm);

  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onDatagram(h2o_socket_t *Socket, const char *Error);
};

PeerConnection *Links::Impl::peer(const core::VmId &Vm) {
  auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    return &Found->second;
  if (m_Options.m_DiscoveryPort == 0 || Vm == m_Self)
    return nullptr;
  PeerConnection &New = m_Peers[Vm];
  New.m_Address = membership::addressById(Vm, m_Options.m_DiscoveryPort);
  New.m_Loop = &m_Loop;
  New.m_Handlers = &m_Handlers;
  New.m_ClosingSockets = &m_ClosingSockets;
  return &New;
}

// ---- Outgoing connections --------------------------------------------------

// Limit for the total size of the frames that are sent again over the next
// connection.
static constexpr std::size_t MaxRequeuedBytes = std::size_t{256} << 10U;

// Takes the forwarded operations out of the unacknowledged frames and returns
// their ids.
static std::vector<std::uint64_t> takeOperations(PeerConnection &Peer) {
  std::vector<std::uint64_t> Operations;
  std::erase_if(Peer.m_Unacknowledged, [&](const SentFrame &Each) {
    if (Each.m_Operation)
      Operations.push_back(*Each.m_Operation);
    return Each.m_Operation.has_value();
  });
  return Operations;
}

// Queues the newest unacknowledged frames, up to MaxRequeuedBytes, again for
// the next connection and drops the older ones. Otherwise callers whose replies
// were in lost frames would run into a timeout. These messages may arrive
// twice. Forwarded operations are not queued again: the leader would decide a
// second copy anew, after the caller was told of its first decision.
static void requeueUnacknowledged(PeerConnection &Peer) {
  std::vector<std::uint64_t> Operations = takeOperations(Peer);
  if (!Operations.empty())
    Peer.m_Handlers->m_OnOperationsDropped(Peer.m_Address.m_Id, Operations);
  std::size_t RequeuedBytes = 0;
  std::deque<SentFrame> Newest;
  for (auto Each = Peer.m_Unacknowledged.rbegin();
       Each != Peer.m_Unacknowledged.rend(); ++Each) {
    RequeuedBytes += Each->m_Bytes.size();
    if (RequeuedBytes > MaxRequeuedBytes)
      break;
    Newest.push_front(std::move(*Each));
  }
  Peer.m_Queue.clear();
  core::Time Now = Peer.m_Loop->now();
  for (SentFrame &Each : Newest) {
    Each.m_QueuedAt = Now;
    Peer.m_Queue += Each.m_Bytes;
  }
  Peer.m_Unacknowledged = std::move(Newest);
}

// Detaches the peer's socket. It is closed by the next maintain(), because h2o
// frees a closed socket before it runs the callback of a write that has just
// completed on it.
static void detachSocket(PeerConnection &Peer) {
  if (!Peer.m_Socket)
    return;
  h2o_socket_read_stop(Peer.m_Socket);
  Peer.m_Socket->data = nullptr;
  Peer.m_ClosingSockets->push_back(
      {.m_Socket = std::exchange(Peer.m_Socket, nullptr),
       .m_WriteBuffer = std::move(Peer.m_WriteBuffer)});
}

static void closeConnection(PeerConnection &Peer, core::Duration RetryAfter) {
  detachSocket(Peer);
  // Frames queued for a connection that was never established are dropped.
  if (Peer.m_Connected) {
    requeueUnacknowledged(Peer);
  } else {
    Peer.m_Queue.clear();
    Peer.m_Unacknowledged.clear();
  }
  Peer.m_Connected = false;
  Peer.m_Writing = false;
  Peer.m_RetryAt = Peer.m_Loop->now() + RetryAfter;
}

static void writeQueued(PeerConnection &Peer);

static void onWritten(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<PeerConnection *>(Socket->data);
  Peer.m_Writing = false;
  if (Error)
    closeConnection(Peer, core::Duration(0));
  else
    writeQueued(Peer);
}

static void writeQueued(PeerConnection &Peer) {
  if (!Peer.m_Connected || Peer.m_Writing || Peer.m_Queue.empty())
    return;
  Peer.m_WriteBuffer =
      std::make_unique<std::string>(std::exchange(Peer.m_Queue, {}));
  Peer.m_Writing = true;
  h2o_iovec_t Buffer =
      h2o_iovec_init(Peer.m_WriteBuffer->data(), Peer.m_WriteBuffer->size());
  h2o_socket_write(Peer.m_Socket, &Buffer, 1, onWritten);
}

static void onAcks(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<PeerConnection *>(Socket->data);
  if (Error) {
    closeConnection(Peer, core::Duration(0));
    return;
  }
  const char *Bytes = Socket->input->bytes;
  auto AckBytes = static_cast<std::size_t>(
      std::count(Bytes, Bytes + Socket->input->size, AckByte));
  std::size_t AckCount = std::min(AckBytes, Peer.m_Unacknowledged.size());
  Peer.m_LastReceivedAt = Peer.m_Loop->now();
  Peer.m_Traffic.m_BytesIn += Socket->input->size;
  h2o_buffer_consume(&Socket->input, Socket->input->size);
  Peer.m_Unacknowledged.erase(Peer.m_Unacknowledged.begin(),
                              Peer.m_Unacknowledged.begin() +
                                  static_cast<std::ptrdiff_t>(AckCount));
}

static void onConnected(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<PeerConnection *>(Socket->data);
  if (Error) {
    constexpr core::Duration ConnectRetryDelay{200};
    closeConnection(Peer, ConnectRetryDelay);
    return;
  }
  setNoDelay(Socket);
  Peer.m_Connected = true;
  Peer.m_LastReceivedAt = Peer.m_Loop->now();
  h2o_socket_read_start(Socket, onAcks);
  writeQueued(Peer);
}

static void openConnection(PeerConnection &Peer, core::Time Now) {
  auto Address = toAddress(Peer.m_Address.m_Host, Peer.m_Address.m_Port);
  if (!Address || Now < Peer.m_RetryAt)
    return;
  Peer.m_Socket = h2o_socket_connect(
      Peer.m_Loop->raw(),
      reinterpret_cast<sockaddr *>(const_cast<sockaddr_in *>(&*Address)),
      sizeof(sockaddr_in), onConnected);
  if (!Peer.m_Socket)
    return;
  Peer.m_Socket->data = &Peer;
  Peer.m_OpenedAt = Now;
}

// ---- Incoming connections --------------------------------------------------

static void writeAcks(IncomingConnection &Connection);

static void closeIncomingConnection(IncomingConnection *Connection) {
  h2o_socket_close(Connection->m_Socket);
  delete Connection;
}

static void onAcksWritten(h2o_socket_t *Socket, const char *Error) {
  auto *Connection = static_cast<IncomingConnection *>(Socket->data);
  Connection->m_Writing = false;
  if (Error || Connection->m_Failed)
    closeIncomingConnection(Connection);
  else
    writeAcks(*Connection);
}

static void writeAcks(IncomingConnection &Connection) {
  bool Progress = std::exchange(Connection.m_ProgressPending, false);
  if (Connection.m_Writing || (Connection.m_PendingAcks == 0 && !Progress))
    return;
  Connection.m_WriteBuffer.assign(std::exchange(Connection.m_PendingAcks, 0),
                                  AckByte);
  if (Connection.m_WriteBuffer.empty())
    Connection.m_WriteBuffer.assign(1, ProgressByte);
  Connection.m_Writing = true;
  h2o_iovec_t Buffer = h2o_iovec_init(Connection.m_WriteBuffer.data(),
                                      Connection.m_WriteBuffer.size());
  h2o_socket_write(Connection.m_Socket, &Buffer, 1, onAcksWritten);
}

static std::string peerHost(h2o_socket_t *Socket) {
  sockaddr_storage Address{};
  auto *Peer = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Length = h2o_socket_getpeername(Socket, Peer);
  return Length == 0 ? std::string() : numericHost(*Peer, Length);
}

static bool refuseFrame(const IncomingConnection &Connection,
                        const core::Reason &Reason) {
  Connection.m_Handlers->m_OnRefused({.m_Kind = "frame",
                                      .m_Source = peerHost(Connection.m_Socket),
                                      .m_Reason = Reason});
  return false;
}

static core::Reason unknownSender() {
  return {core::ReasonCode::NotFound, "sender", "is not a VM of this system"};
}

// Decodes the complete frames of the input. Returns false for an invalid frame
// or an unknown sender.
static bool readFrames(IncomingConnection &Connection,
                       std::vector<messages::Envelope> &Arrived) {
  h2o_socket_t *Socket = Connection.m_Socket;
  while (Socket->input->size >= FrameHeaderBytes) {
    std::uint32_t Length = 0;
    std::memcpy(&Length, Socket->input->bytes, FrameHeaderBytes);
    if (Length > messages::MaxEncodedBytes)
      return refuseFrame(Connection, {core::ReasonCode::TooLarge, "length",
                                      "exceeds the limit for a frame"});
    if (Socket->input->size < FrameHeaderBytes + Length) {
      Connection.m_ProgressPending = true;
      return true;
    }
    auto Decoded = messages::decodeEnvelope(
        std::string_view(Socket->input->bytes + FrameHeaderBytes, Length));
    if (!Decoded)
      return refuseFrame(Connection, Decoded.reason());
    PeerConnection *Peer = Connection.m_FindPeer(Decoded->m_From);
    if (!Peer)
      return refuseFrame(Connection, unknownSender());
    Peer->m_Traffic.m_BytesIn += FrameHeaderBytes + Length;
    ++Peer->m_Traffic.m_FramesIn;
    ++Connection.m_PendingAcks;
    Arrived.push_back(*std::move(Decoded));
    h2o_buffer_consume(&Socket->input, FrameHeaderBytes + Length);
  }
  return true;
}

static void onFrames(h2o_socket_t *Socket, const char *Error) {
  auto *Connection = static_cast<IncomingConnection *>(Socket->data);
  std::vector<messages::Envelope> Arrived;
  if (Error || !readFrames(*Connection, Arrived)) {
    // The callback of a write under way closes the connection.
    Connection->m_Failed = true;
    if (Connection->m_Writing)
      h2o_socket_read_stop(Socket);
    else
      closeIncomingConnection(Connection);
    return;
  }
  writeAcks(*Connection);
  for (messages::Envelope &Each : Arrived)
    Connection->m_Handlers->m_OnMessage(std::move(Each));
}

// ---- Links -----------------------------------------------------------------

Links::Links(Loop &EventLoop, core::VmId Self,
             std::vector<membership::VmAddress> Vms, LinkOptions Options)
    : m_Impl(new Impl{.m_Loop = EventLoop,
                      .m_Self = std::move(Self),
                      .m_Options = Options}) {
  for (membership::VmAddress &Each : Vms) {
    if (Each.m_Id == m_Impl->m_Self) {
      m_Impl->m_OwnAddress = std::move(Each);
      continue;
    }
    PeerConnection &Peer = m_Impl->m_Peers[Each.m_Id];
    Peer.m_Address = std::move(Each);
    Peer.m_Loop = &EventLoop;
    Peer.m_Handlers = &m_Impl->m_Handlers;
    Peer.m_ClosingSockets = &m_Impl->m_ClosingSockets;
  }
}

Links::~Links() = default;

core::Outcome<bool> Links::listen(Handlers Values) {
  m_Impl->m_Handlers = std::move(Values);
  // A single VM without peers needs no listener.
  if (m_Impl->m_Peers.empty() && m_Impl->m_Options.m_DiscoveryPort == 0)
    return true;
  auto Stream =
      openListener(m_Impl->m_OwnAddress.m_Host, m_Impl->m_OwnAddress.m_Port);
  if (!Stream)
    return Stream.reason();
  auto Datagrams = openDatagramSocket(m_Impl->m_OwnAddress.m_Host,
                                      m_Impl->m_OwnAddress.m_Port);
  if (!Datagrams)
    return Datagrams.reason();
  Impl *Self = m_Impl.get();
  Self->m_Listener = watch(Self->m_Loop, *Stream, Self, Impl::onAccept);
  Self->m_DatagramSocket =
      watch(Self->m_Loop, *Datagrams, Self, Impl::onDatagram);
  return true;
}

void Links::Impl::onAccept(h2o_socket_t *Listener, const char *Error) {
  auto *Self = static_cast<Impl *>(Listener->data);
  if (Error)
    return;
  while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
    setNoDelay(Socket);
    auto *Connection = new IncomingConnection{
        .m_Handlers = &Self->m_Handlers,
        .m_FindPeer = [Self](const core::VmId &Vm) { return Self->peer(Vm); },
        .m_Socket = Socket};
    Socket->data = Connection;
    h2o_socket_read_start(Socket, onFrames);
  }
}

void Links::Impl::onDatagram(h2o_socket_t *Socket, const char *Error) {
  auto *Self = static_cast<Impl *>(Socket->data);
  if (Error)
    return;
  std::array<char, MaxDatagramBytes> Buffer{};
  while (true) {
    sockaddr_storage Address{};
    auto *Sender = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Length = sizeof(Address);
    ssize_t Count = recvfrom(h2o_socket_get_fd(Socket), Buffer.data(),
                             Buffer.size(), 0, Sender, &Length);
    if (Count < 0)
      return;
    auto Decoded = messages::decodeHeartbeat(
        std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
    PeerConnection *Peer = Decoded ? Self->peer(Decoded->m_From) : nullptr;
    if (!Peer) {
      Self->m_Handlers.m_OnRefused(
          {.m_Kind = "heartbeat",
           .m_Source = numericHost(*Sender, Length),
           .m_Reason = Decoded ? unknownSender() : Decoded.reason()});
      continue;
    }
    Peer->m_Traffic.m_BytesIn += static_cast<std::uint64_t>(Count);
    Self->m_Handlers.m_OnHeartbeat(*std::move(Decoded));
  }
}

std::map<core::VmId, LinkTraffic> Links::traffic() const {
  std::map<core::VmId, LinkTraffic> All;
  for (const auto &[Vm, Peer] : m_Impl->m_Peers)
    All.emplace(Vm, Peer.m_Traffic);
  return All;
}

void Links::send(const core::VmId &To, const messages::Body &Value) {
  PeerConnection *Found = m_Impl->peer(To);
  if (!Found)
    return;
  PeerConnection &Peer = *Found;
  std::string Encoded = messages::encode(
      messages::Envelope{.m_From = m_Impl->m_Self, .m_Body = Value});
  if (!Peer.m_Socket)
    openConnection(Peer, m_Impl->m_Loop.now());
  bool QueueFull =
      Peer.m_Queue.size() + Encoded.size() > m_Impl->m_Options.m_MaxQueuedBytes;
  if (QueueFull || !Peer.m_Socket) {
    ++Peer.m_Traffic.m_DroppedMessages;
    return;
  }
  auto Length = static_cast<std::uint32_t>(Encoded.size());
  std::string Frame(FrameHeaderBytes, '\0');
  std::memcpy(Frame.data(), &Length, FrameHeaderBytes);
  Frame += Encoded;
  Peer.m_Queue += Frame;
  const auto *Operation = std::get_if<messages::ForwardOperation>(&Value);
  Peer.m_Unacknowledged.push_back(
      {.m_QueuedAt = m_Impl->m_Loop.now(),
       .m_Bytes = std::move(Frame),
       .m_Operation =
           Operation ? std::optional(Operation->m_Id) : std::nullopt});
  Peer.m_Traffic.m_BytesOut += FrameHeaderBytes + Length;
  ++Peer.m_Traffic.m_FramesOut;
  writeQueued(Peer);
}

void Links::sendHeartbeat(const core::VmId &To,
                          const membership::Heartbeat &Value) {
  PeerConnection *Found = m_Impl->peer(To);
  if (!Found || !m_Impl->m_DatagramSocket)
    return;
  PeerConnection &Peer = *Found;
  auto Address = toAddress(Peer.m_Address.m_Host, Peer.m_Address.m_Port);
  if (!Address)
    return;
  std::string Encoded = messages::encode(Value);
  // A failed send is treated like a lost datagram.
  (void)sendto(h2o_socket_get_fd(m_Impl->m_DatagramSocket), Encoded.data(),
               Encoded.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&*Address),
               sizeof(sockaddr_in));
  Peer.m_Traffic.m_BytesOut += Encoded.size();
}

void Links::retainPeers(const std::set<core::VmId> &Vms) {
  for (auto &[Vm, Peer] : m_Impl->m_Peers)
    if (!Vms.contains(Vm))
      closeConnection(Peer, core::Duration(0));
  std::erase_if(m_Impl->m_Peers,
                [&](const auto &Each) { return !Vms.contains(Each.first); });
}

// Opens the new connection at once, so that messages sent from now on are
// queued for it rather than dropped.
static void replaceConnection(PeerConnection &Peer) {
  closeConnection(Peer, core::Duration(0));
  openConnection(Peer, Peer.m_Loop->now());
}

void Links::reconnect(const core::VmId &To) {
  auto Found = m_Impl->m_Peers.find(To);
  if (Found == m_Impl->m_Peers.end() || !Found->second.m_Socket)
    return;
  ++Found->second.m_Traffic.m_StalledConnections;
  replaceConnection(Found->second);
}

void Links::reconnectIdle(const std::optional<core::VmId> &To, core::Time Now) {
  for (auto &[Vm, Peer] : m_Impl->m_Peers) {
    bool Idle = Peer.m_Connected &&
                Now - Peer.m_LastReceivedAt >= m_Impl->m_Options.m_StallTimeout;
    if (Idle && (!To || *To == Vm))
      replaceConnection(Peer);
  }
}

void Links::maintain(core::Time Now) {
  for (const ClosingSocket &Each : std::exchange(m_Impl->m_ClosingSockets, {}))
    h2o_socket_close(Each.m_Socket);
  const LinkOptions &Options = m_Impl->m_Options;
  for (auto &[Vm, Peer] : m_Impl->m_Peers) {
    bool Connecting = Peer.m_Socket && !Peer.m_Connected;
    if (Connecting && Now - Peer.m_OpenedAt >= Options.m_ConnectTimeout)
      closeConnection(Peer, Options.m_ReconnectDelay);
    bool Stalled = Peer.m_Connected && !Peer.m_Unacknowledged.empty() &&
                   Now - std::max(Peer.m_Unacknowledged.front().m_QueuedAt,
                                  Peer.m_LastReceivedAt) >=
                       Options.m_StallTimeout;
    if (Stalled)
      reconnect(Vm);
    if (!Peer.m_Socket)
      openConnection(Peer, Now);
  }
}

} // namespace fireflydrift::runtime
