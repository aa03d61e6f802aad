#include "soak/relay.h"

#include "runtime/address.h"
#include "runtime/sockets.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <list>
#include <sys/socket.h>

namespace fireflydrift::soak {

namespace {

struct Chunk {
  core::Time m_DueAt;
  std::string m_Bytes;
};

// One end of a proxied connection, with the data to be written to it.
struct ConnectionEnd {
  h2o_socket_t *m_Socket = nullptr;
  bool m_Connected = false;
  bool m_Writing = false;
  std::string m_WriteBuffer;
  std::deque<Chunk> m_Queue;
  // The other end has closed or failed; the connection closes once the queue
  // is written.
  bool m_CloseAfterQueue = false;
};

struct ProxiedConnection {
  ConnectionEnd m_Client;
  ConnectionEnd m_Server;
  bool m_Blackholed = false;
  // The sockets are closed at the next tick, not in a callback: h2o would free
  // them before it calls back for a write that has just completed.
  bool m_Closing = false;
  bool m_ResetOnClose = false;
  const LinkState *m_Link = nullptr;
  runtime::Loop *m_Loop = nullptr;
};

struct Datagram {
  core::Time m_DueAt;
  std::string m_Bytes;
};

constexpr std::size_t MaxDatagram = 2048;

} // namespace

struct Relay::Impl {
  runtime::Loop &m_Loop;
  Endpoint m_To;
  LinkState m_Link;
  h2o_socket_t *m_Listener = nullptr;
  h2o_socket_t *m_Datagrams = nullptr;
  std::list<ProxiedConnection> m_Connections;
  std::deque<Datagram> m_Queue;
  std::uint32_t m_LossCounter = 1;

  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onDatagram(h2o_socket_t *Socket, const char *Error);
  [[nodiscard]] bool dropsDatagram();
};

// ---- Connections -----------------------------------------------------------

static void closeEnd(ConnectionEnd &Value, bool Reset) {
  if (!Value.m_Socket)
    return;
  if (Reset) {
    linger Abort{.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(Value.m_Socket), SOL_SOCKET, SO_LINGER, &Abort,
               sizeof(Abort));
  }
  h2o_socket_close(std::exchange(Value.m_Socket, nullptr));
}

static void closeConnection(ProxiedConnection &Connection, bool Reset) {
  Connection.m_Closing = true;
  Connection.m_ResetOnClose = Connection.m_ResetOnClose || Reset;
  for (const ConnectionEnd *Each : {&Connection.m_Client, &Connection.m_Server})
    if (Each->m_Socket)
      h2o_socket_read_stop(Each->m_Socket);
}

static ConnectionEnd &otherEnd(ProxiedConnection &Connection,
                               const h2o_socket_t *Socket) {
  return Connection.m_Client.m_Socket == Socket ? Connection.m_Server
                                                : Connection.m_Client;
}

static void onRead(h2o_socket_t *Socket, const char *Error) {
  auto &Connection = *static_cast<ProxiedConnection *>(Socket->data);
  if (Connection.m_Closing)
    return;
  ConnectionEnd &To = otherEnd(Connection, Socket);
  if (Error) {
    To.m_CloseAfterQueue = true;
    h2o_socket_read_stop(Socket);
    return;
  }
  if (!Connection.m_Blackholed)
    To.m_Queue.push_back(
        {.m_DueAt = Connection.m_Loop->now() + Connection.m_Link->m_Delay,
         .m_Bytes = std::string(Socket->input->bytes, Socket->input->size)});
  h2o_buffer_consume(&Socket->input, Socket->input->size);
}

static void onWritten(h2o_socket_t *Socket, const char *Error) {
  auto &Connection = *static_cast<ProxiedConnection *>(Socket->data);
  ConnectionEnd &End = Connection.m_Client.m_Socket == Socket
                           ? Connection.m_Client
                           : Connection.m_Server;
  End.m_Writing = false;
  if (Error)
    closeConnection(Connection, false);
}

static void onConnected(h2o_socket_t *Socket, const char *Error) {
  auto &Connection = *static_cast<ProxiedConnection *>(Socket->data);
  if (Connection.m_Closing)
    return;
  if (Error)
    return closeConnection(Connection, true);
  Connection.m_Server.m_Connected = true;
  h2o_socket_read_start(Socket, onRead);
}

static void flush(ConnectionEnd &To, bool Blocked, core::Time Now) {
  bool Open = To.m_Socket && To.m_Connected && !To.m_Writing && !Blocked;
  if (!Open)
    return;
  To.m_WriteBuffer.clear();
  while (!To.m_Queue.empty() && To.m_Queue.front().m_DueAt <= Now) {
    To.m_WriteBuffer += To.m_Queue.front().m_Bytes;
    To.m_Queue.pop_front();
  }
  if (To.m_WriteBuffer.empty())
    return;
  To.m_Writing = true;
  h2o_iovec_t Buffer =
      h2o_iovec_init(To.m_WriteBuffer.data(), To.m_WriteBuffer.size());
  h2o_socket_write(To.m_Socket, &Buffer, 1, onWritten);
}

static bool isDrained(const ConnectionEnd &Value) {
  return Value.m_CloseAfterQueue && Value.m_Queue.empty() && !Value.m_Writing;
}

void Relay::Impl::onAccept(h2o_socket_t *Listener, const char *Error) {
  auto *Self = static_cast<Impl *>(Listener->data);
  if (Error)
    return;
  while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
    runtime::setNoDelay(Socket);
    ProxiedConnection &New = Self->m_Connections.emplace_back();
    New.m_Link = &Self->m_Link;
    New.m_Loop = &Self->m_Loop;
    New.m_Client.m_Socket = Socket;
    New.m_Client.m_Connected = true;
    Socket->data = &New;
    h2o_socket_read_start(Socket, onRead);
  }
}

// ---- Datagrams -------------------------------------------------------------

bool Relay::Impl::dropsDatagram() {
  // Drops m_LossPercent of any 100 consecutive datagrams, spread evenly: Step
  // has no common factor with 100, so the counter takes every value once.
  constexpr std::uint32_t Hundred = 100;
  constexpr std::uint32_t Step = 37;
  m_LossCounter = (m_LossCounter + Step) % Hundred;
  return m_LossCounter < static_cast<std::uint32_t>(m_Link.m_LossPercent);
}

void Relay::Impl::onDatagram(h2o_socket_t *Socket, const char *Error) {
  auto *Self = static_cast<Impl *>(Socket->data);
  if (Error)
    return;
  std::array<char, MaxDatagram> Buffer{};
  while (true) {
    ssize_t Count =
        recv(h2o_socket_get_fd(Socket), Buffer.data(), Buffer.size(), 0);
    if (Count < 0)
      return;
    if (Self->m_Link.m_BlocksForward || Self->dropsDatagram())
      continue;
    Self->m_Queue.push_back(
        {.m_DueAt = Self->m_Loop.now() + Self->m_Link.m_Delay,
         .m_Bytes =
             std::string(Buffer.data(), static_cast<std::size_t>(Count))});
  }
}

// ---- The relay -------------------------------------------------------------

static int valueOrAbort(const core::Outcome<int> &Value) {
  if (Value)
    return *Value;
  std::cerr << "relay: " << core::toString(Value.reason()) << std::endl;
  std::abort();
}

Relay::Relay(runtime::Loop &EventLoop, const Endpoint &From, Endpoint To)
    : m_Impl(new Impl{.m_Loop = EventLoop, .m_To = std::move(To)}) {
  int Stream = valueOrAbort(runtime::openListener(From.m_Host, From.m_Port));
  int Datagrams =
      valueOrAbort(runtime::openDatagramSocket(From.m_Host, From.m_Port));
  m_Impl->m_Listener =
      runtime::watch(EventLoop, Stream, m_Impl.get(), Impl::onAccept);
  m_Impl->m_Datagrams =
      runtime::watch(EventLoop, Datagrams, m_Impl.get(), Impl::onDatagram);
}

Relay::~Relay() = default;

void Relay::set(const LinkState &Value) { m_Impl->m_Link = Value; }

void Relay::reset() {
  for (ProxiedConnection &Each : m_Impl->m_Connections)
    closeConnection(Each, true);
}

void Relay::blackhole() {
  for (ProxiedConnection &Each : m_Impl->m_Connections)
    Each.m_Blackholed = true;
}

static void connectServer(ProxiedConnection &Connection, const Endpoint &To) {
  sockaddr_in Address = *runtime::toAddress(To.m_Host, To.m_Port);
  Connection.m_Server.m_Socket = h2o_socket_connect(
      Connection.m_Loop->raw(), reinterpret_cast<sockaddr *>(&Address),
      sizeof(Address), onConnected);
  if (!Connection.m_Server.m_Socket)
    return closeConnection(Connection, true);
  Connection.m_Server.m_Socket->data = &Connection;
}

bool Relay::tick(core::Time Now) {
  const LinkState &Link = m_Impl->m_Link;
  m_Impl->m_Connections.remove_if([](ProxiedConnection &Each) {
    if (Each.m_Closing) {
      closeEnd(Each.m_Client, Each.m_ResetOnClose);
      closeEnd(Each.m_Server, Each.m_ResetOnClose);
    }
    return Each.m_Closing;
  });
  bool HasQueuedData = false;
  for (ProxiedConnection &Each : m_Impl->m_Connections) {
    if (Each.m_Closing || Each.m_Blackholed)
      continue;
    if (!Each.m_Server.m_Socket && !Link.m_BlocksForward)
      connectServer(Each, m_Impl->m_To);
    if (Each.m_Closing)
      continue;
    flush(Each.m_Server, Link.m_BlocksForward, Now);
    flush(Each.m_Client, Link.m_BlocksBackward, Now);
    if (isDrained(Each.m_Client) || isDrained(Each.m_Server))
      closeConnection(Each, false);
    HasQueuedData = HasQueuedData || !Each.m_Client.m_Queue.empty() ||
                    !Each.m_Server.m_Queue.empty();
  }
  auto To = runtime::toAddress(m_Impl->m_To.m_Host, m_Impl->m_To.m_Port);
  while (!m_Impl->m_Queue.empty() && m_Impl->m_Queue.front().m_DueAt <= Now) {
    const std::string &Bytes = m_Impl->m_Queue.front().m_Bytes;
    (void)sendto(h2o_socket_get_fd(m_Impl->m_Datagrams), Bytes.data(),
                 Bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr *>(&*To), sizeof(sockaddr_in));
    m_Impl->m_Queue.pop_front();
  }
  return HasQueuedData || !m_Impl->m_Queue.empty();
}

} // namespace fireflydrift::soak
