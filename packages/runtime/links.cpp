#include "runtime/links.h"

#include "runtime/address.h"
#include "runtime/events.h"
#include "runtime/sockets.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <list>
#include <sys/socket.h>

namespace fireflydrift::runtime {

// Four bytes of length stand before each message.
static constexpr std::size_t FrameHeader = sizeof(std::uint32_t);
// Sent back for each frame that arrived.
static constexpr char AckByte = '\x06';
// Sent back while part of a long frame has arrived: it takes its time, but the
// connection is not silent.
static constexpr char ProgressByte = '\x16';
static constexpr std::size_t MaxDatagram = 1400;

namespace {

// A frame that the other end has not acknowledged yet.
struct SentFrame {
  core::Time m_QueuedAt;
  std::string m_Bytes;
};

// A socket on its way to being closed, with what it may still be writing.
struct Closing {
  h2o_socket_t *m_Socket = nullptr;
  std::unique_ptr<std::string> m_InWrite;
};

// The outgoing connection to one VM.
struct Outgoing {
  membership::VmAddress m_Address;
  h2o_socket_t *m_Socket = nullptr;
  bool m_Connected = false;
  bool m_Writing = false;
  std::unique_ptr<std::string> m_InWrite;
  std::string m_Queue;
  std::deque<SentFrame> m_Unacknowledged;
  // When the other end last sent anything back.
  core::Time m_HeardAt;
  core::Time m_OpenedAt;
  core::Time m_RetryAt;
  LinkTraffic m_Traffic;
  Loop *m_Loop = nullptr;
  std::list<Closing> *m_Closing = nullptr;
};

// A connection that another VM opened.
struct Incoming {
  Links::OnMessage *m_OnMessage = nullptr;
  // The peer of an id, or nullptr for a VM that does not belong here.
  std::function<Outgoing *(const core::VmId &)> m_PeerOf;
  h2o_socket_t *m_Socket = nullptr;
  bool m_Writing = false;
  std::string m_InWrite;
  std::size_t m_AcksDue = 0;
  bool m_ProgressDue = false;
  // Set when the stream can't be read any further while a write goes on.
  bool m_Broken = false;
};

} // namespace

struct Links::Impl {
  Loop &m_Loop;
  core::VmId m_Self;
  membership::VmAddress m_Own;
  LinkOptions m_Options;
  OnMessage m_OnMessage;
  OnHeartbeat m_OnBeat;
  std::map<core::VmId, Outgoing> m_Peers;
  std::list<Closing> m_Closing;
  h2o_socket_t *m_Listener = nullptr;
  h2o_socket_t *m_Datagrams = nullptr;

  // The peer, met for the first time where the links are open.
  [[nodiscard]] Outgoing *peer(const core::VmId &Vm);

  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onDatagram(h2o_socket_t *Socket, const char *Error);
};

Outgoing *Links::Impl::peer(const core::VmId &Vm) {
  auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    return &Found->second;
  if (m_Options.m_DiscoveryPort == 0 || Vm == m_Self)
    return nullptr;
  Outgoing &New = m_Peers[Vm];
  New.m_Address = membership::addressById(Vm, m_Options.m_DiscoveryPort);
  New.m_Loop = &m_Loop;
  New.m_Closing = &m_Closing;
  return &New;
}

// ---- Outgoing connections --------------------------------------------------

// Frames that are kept for the next connection hold at most so many bytes.
static constexpr std::size_t MaxKeptBytes = std::size_t{256} << 10U;

// What a connection that was lost had not delivered, as far as it is known, is
// sent again over the next one: the loss of a connection should not cost the
// callers behind these frames a time-out. Messages may arrive twice.
static void keepUndelivered(Outgoing &Peer) {
  std::size_t Kept = 0;
  std::deque<SentFrame> Newest;
  for (auto Each = Peer.m_Unacknowledged.rbegin();
       Each != Peer.m_Unacknowledged.rend(); ++Each) {
    Kept += Each->m_Bytes.size();
    if (Kept > MaxKeptBytes)
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

// Lets go of the peer's socket. It is closed at the next turn: h2o frees a
// closed socket before it tells of a write that has just completed on it.
static void letGo(Outgoing &Peer) {
  if (!Peer.m_Socket)
    return;
  h2o_socket_read_stop(Peer.m_Socket);
  Peer.m_Socket->data = nullptr;
  Peer.m_Closing->push_back({.m_Socket = std::exchange(Peer.m_Socket, nullptr),
                             .m_InWrite = std::move(Peer.m_InWrite)});
}

static void closeOutgoing(Outgoing &Peer, core::Duration RetryAfter) {
  letGo(Peer);
  // Nothing is kept for a VM that can't be reached.
  if (Peer.m_Connected) {
    keepUndelivered(Peer);
  } else {
    Peer.m_Queue.clear();
    Peer.m_Unacknowledged.clear();
  }
  Peer.m_Connected = false;
  Peer.m_Writing = false;
  Peer.m_RetryAt = Peer.m_Loop->now() + RetryAfter;
}

static void writeQueued(Outgoing &Peer);

static void onWritten(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<Outgoing *>(Socket->data);
  Peer.m_Writing = false;
  if (Error)
    closeOutgoing(Peer, core::Duration(0));
  else
    writeQueued(Peer);
}

static void writeQueued(Outgoing &Peer) {
  if (!Peer.m_Connected || Peer.m_Writing || Peer.m_Queue.empty())
    return;
  Peer.m_InWrite =
      std::make_unique<std::string>(std::exchange(Peer.m_Queue, {}));
  Peer.m_Writing = true;
  h2o_iovec_t Buffer =
      h2o_iovec_init(Peer.m_InWrite->data(), Peer.m_InWrite->size());
  h2o_socket_write(Peer.m_Socket, &Buffer, 1, onWritten);
}

static void onAcks(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<Outgoing *>(Socket->data);
  if (Error) {
    closeOutgoing(Peer, core::Duration(0));
    return;
  }
  const char *Bytes = Socket->input->bytes;
  auto Sent = static_cast<std::size_t>(
      std::count(Bytes, Bytes + Socket->input->size, AckByte));
  std::size_t Acks = std::min(Sent, Peer.m_Unacknowledged.size());
  Peer.m_HeardAt = Peer.m_Loop->now();
  Peer.m_Traffic.m_BytesIn += Socket->input->size;
  h2o_buffer_consume(&Socket->input, Socket->input->size);
  Peer.m_Unacknowledged.erase(Peer.m_Unacknowledged.begin(),
                              Peer.m_Unacknowledged.begin() +
                                  static_cast<std::ptrdiff_t>(Acks));
}

static void onConnected(h2o_socket_t *Socket, const char *Error) {
  if (!Socket->data)
    return;
  auto &Peer = *static_cast<Outgoing *>(Socket->data);
  if (Error) {
    constexpr core::Duration RefusedRetry{200};
    closeOutgoing(Peer, RefusedRetry);
    return;
  }
  setNoDelay(Socket);
  Peer.m_Connected = true;
  Peer.m_HeardAt = Peer.m_Loop->now();
  h2o_socket_read_start(Socket, onAcks);
  writeQueued(Peer);
}

static void openOutgoing(Outgoing &Peer, core::Time Now) {
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

static void writeAcks(Incoming &From);

static void closeIncoming(Incoming *From) {
  h2o_socket_close(From->m_Socket);
  delete From;
}

static void onAcksWritten(h2o_socket_t *Socket, const char *Error) {
  auto *From = static_cast<Incoming *>(Socket->data);
  From->m_Writing = false;
  if (Error || From->m_Broken)
    closeIncoming(From);
  else
    writeAcks(*From);
}

static void writeAcks(Incoming &From) {
  bool Progress = std::exchange(From.m_ProgressDue, false);
  if (From.m_Writing || (From.m_AcksDue == 0 && !Progress))
    return;
  From.m_InWrite.assign(std::exchange(From.m_AcksDue, 0), AckByte);
  if (From.m_InWrite.empty())
    From.m_InWrite.assign(1, ProgressByte);
  From.m_Writing = true;
  h2o_iovec_t Buffer =
      h2o_iovec_init(From.m_InWrite.data(), From.m_InWrite.size());
  h2o_socket_write(From.m_Socket, &Buffer, 1, onAcksWritten);
}

// Takes whole frames off the input. Returns false when the stream is broken.
static bool readFrames(Incoming &From,
                       std::vector<messages::Envelope> &Arrived) {
  h2o_socket_t *Socket = From.m_Socket;
  while (Socket->input->size >= FrameHeader) {
    std::uint32_t Length = 0;
    std::memcpy(&Length, Socket->input->bytes, FrameHeader);
    if (Length > messages::MaxEncodedBytes)
      return false;
    if (Socket->input->size < FrameHeader + Length) {
      From.m_ProgressDue = true;
      return true;
    }
    auto Decoded = messages::decodeEnvelope(
        std::string_view(Socket->input->bytes + FrameHeader, Length));
    if (!Decoded) {
      logEvent(Event::MessageRefused,
               {{"reason", core::toString(Decoded.reason())}});
      return false;
    }
    Outgoing *Peer = From.m_PeerOf(Decoded->m_From);
    if (!Peer)
      return false;
    Peer->m_Traffic.m_BytesIn += FrameHeader + Length;
    ++Peer->m_Traffic.m_FramesIn;
    ++From.m_AcksDue;
    Arrived.push_back(*std::move(Decoded));
    h2o_buffer_consume(&Socket->input, FrameHeader + Length);
  }
  return true;
}

static void onFrames(h2o_socket_t *Socket, const char *Error) {
  auto *From = static_cast<Incoming *>(Socket->data);
  std::vector<messages::Envelope> Arrived;
  if (Error || !readFrames(*From, Arrived)) {
    // The end of a write under way closes the connection.
    From->m_Broken = true;
    if (From->m_Writing)
      h2o_socket_read_stop(Socket);
    else
      closeIncoming(From);
    return;
  }
  writeAcks(*From);
  Links::OnMessage &Handle = *From->m_OnMessage;
  for (messages::Envelope &Each : Arrived)
    Handle(std::move(Each));
}

// ---- Links -----------------------------------------------------------------

Links::Links(Loop &On, core::VmId Self, std::vector<membership::VmAddress> Vms,
             LinkOptions Options)
    : m_Impl(new Impl{
          .m_Loop = On, .m_Self = std::move(Self), .m_Options = Options}) {
  for (membership::VmAddress &Each : Vms) {
    if (Each.m_Id == m_Impl->m_Self) {
      m_Impl->m_Own = std::move(Each);
      continue;
    }
    Outgoing &Peer = m_Impl->m_Peers[Each.m_Id];
    Peer.m_Address = std::move(Each);
    Peer.m_Loop = &On;
    Peer.m_Closing = &m_Impl->m_Closing;
  }
}

Links::~Links() = default;

core::Outcome<bool> Links::listen(OnMessage Message, OnHeartbeat Beat) {
  m_Impl->m_OnMessage = std::move(Message);
  m_Impl->m_OnBeat = std::move(Beat);
  // A VM without others needs no address of its own.
  if (m_Impl->m_Peers.empty() && m_Impl->m_Options.m_DiscoveryPort == 0)
    return true;
  auto Stream = openListener(m_Impl->m_Own.m_Host, m_Impl->m_Own.m_Port);
  if (!Stream)
    return Stream.reason();
  auto Datagrams =
      openDatagramSocket(m_Impl->m_Own.m_Host, m_Impl->m_Own.m_Port);
  if (!Datagrams)
    return Datagrams.reason();
  Impl *Self = m_Impl.get();
  Self->m_Listener = watch(Self->m_Loop, *Stream, Self, Impl::onAccept);
  Self->m_Datagrams = watch(Self->m_Loop, *Datagrams, Self, Impl::onDatagram);
  return true;
}

void Links::Impl::onAccept(h2o_socket_t *Listener, const char *Error) {
  auto *Self = static_cast<Impl *>(Listener->data);
  if (Error)
    return;
  while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
    setNoDelay(Socket);
    auto *From = new Incoming{
        .m_OnMessage = &Self->m_OnMessage,
        .m_PeerOf = [Self](const core::VmId &Vm) { return Self->peer(Vm); },
        .m_Socket = Socket};
    Socket->data = From;
    h2o_socket_read_start(Socket, onFrames);
  }
}

void Links::Impl::onDatagram(h2o_socket_t *Socket, const char *Error) {
  auto *Self = static_cast<Impl *>(Socket->data);
  if (Error)
    return;
  std::array<char, MaxDatagram> Buffer{};
  while (true) {
    ssize_t Count =
        recv(h2o_socket_get_fd(Socket), Buffer.data(), Buffer.size(), 0);
    if (Count < 0)
      return;
    auto Decoded = messages::decodeBeat(
        std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
    if (!Decoded)
      continue;
    Outgoing *Peer = Self->peer(Decoded->m_From);
    if (!Peer)
      continue;
    Peer->m_Traffic.m_BytesIn += static_cast<std::uint64_t>(Count);
    Self->m_OnBeat(*std::move(Decoded));
  }
}

std::map<core::VmId, LinkTraffic> Links::traffic() const {
  std::map<core::VmId, LinkTraffic> All;
  for (const auto &[Vm, Peer] : m_Impl->m_Peers)
    All.emplace(Vm, Peer.m_Traffic);
  return All;
}

void Links::send(const core::VmId &To, const messages::Body &Value) {
  Outgoing *Known = m_Impl->peer(To);
  if (!Known)
    return;
  Outgoing &Peer = *Known;
  std::string Encoded = messages::encode(
      messages::Envelope{.m_From = m_Impl->m_Self, .m_Body = Value});
  bool TooMuch =
      Peer.m_Queue.size() + Encoded.size() > m_Impl->m_Options.m_MaxQueuedBytes;
  if (TooMuch || !Peer.m_Socket) {
    ++Peer.m_Traffic.m_DroppedMessages;
    return;
  }
  auto Length = static_cast<std::uint32_t>(Encoded.size());
  std::string Frame(FrameHeader, '\0');
  std::memcpy(Frame.data(), &Length, FrameHeader);
  Frame += Encoded;
  Peer.m_Queue += Frame;
  Peer.m_Unacknowledged.push_back(
      {.m_QueuedAt = m_Impl->m_Loop.now(), .m_Bytes = std::move(Frame)});
  Peer.m_Traffic.m_BytesOut += FrameHeader + Length;
  ++Peer.m_Traffic.m_FramesOut;
  writeQueued(Peer);
}

void Links::sendHeartbeat(const core::VmId &To,
                          const membership::Heartbeat &Value) {
  Outgoing *Known = m_Impl->peer(To);
  if (!Known || !m_Impl->m_Datagrams)
    return;
  Outgoing &Peer = *Known;
  auto Address = toAddress(Peer.m_Address.m_Host, Peer.m_Address.m_Port);
  if (!Address)
    return;
  std::string Encoded = messages::encode(Value);
  // A datagram that can't be sent is as good as one that was lost.
  (void)sendto(h2o_socket_get_fd(m_Impl->m_Datagrams), Encoded.data(),
               Encoded.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&*Address),
               sizeof(sockaddr_in));
  Peer.m_Traffic.m_BytesOut += Encoded.size();
}

void Links::retainPeers(const std::set<core::VmId> &Vms) {
  for (auto &[Vm, Peer] : m_Impl->m_Peers)
    if (!Vms.contains(Vm))
      closeOutgoing(Peer, core::Duration(0));
  std::erase_if(m_Impl->m_Peers,
                [&](const auto &Each) { return !Vms.contains(Each.first); });
}

// Opens the next connection at once, so that what is sent now waits for it.
static void reopen(Outgoing &Peer) {
  closeOutgoing(Peer, core::Duration(0));
  openOutgoing(Peer, Peer.m_Loop->now());
}

void Links::reconnect(const core::VmId &To) {
  auto Found = m_Impl->m_Peers.find(To);
  if (Found == m_Impl->m_Peers.end() || !Found->second.m_Socket)
    return;
  ++Found->second.m_Traffic.m_StalledConnections;
  reopen(Found->second);
}

void Links::reconnectIdle(const std::optional<core::VmId> &To, core::Time Now) {
  for (auto &[Vm, Peer] : m_Impl->m_Peers) {
    bool Idle = Peer.m_Connected &&
                Now - Peer.m_HeardAt >= m_Impl->m_Options.m_SilentAfter;
    if (Idle && (!To || *To == Vm))
      reopen(Peer);
  }
}

void Links::maintain(core::Time Now) {
  for (const Closing &Each : std::exchange(m_Impl->m_Closing, {}))
    h2o_socket_close(Each.m_Socket);
  const LinkOptions &Options = m_Impl->m_Options;
  for (auto &[Vm, Peer] : m_Impl->m_Peers) {
    bool Connecting = Peer.m_Socket && !Peer.m_Connected;
    if (Connecting && Now - Peer.m_OpenedAt >= Options.m_ConnectTimeout)
      closeOutgoing(Peer, Options.m_ReconnectAfter);
    bool Silent = Peer.m_Connected && !Peer.m_Unacknowledged.empty() &&
                  Now - std::max(Peer.m_Unacknowledged.front().m_QueuedAt,
                                 Peer.m_HeardAt) >=
                      Options.m_SilentAfter;
    if (Silent)
      reconnect(Vm);
    if (!Peer.m_Socket)
      openOutgoing(Peer, Now);
  }
}

} // namespace fireflydrift::runtime
