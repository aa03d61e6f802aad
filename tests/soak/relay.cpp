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

// One end of a channel, and what waits to be written to it.
struct Side {
  h2o_socket_t *m_Socket = nullptr;
  bool m_Connected = false;
  bool m_Writing = false;
  std::string m_InWrite;
  std::deque<Chunk> m_Queue;
  // The other end closed; this one closes after what is queued.
  bool m_EndsAfterQueue = false;
};

struct Channel {
  Side m_Caller;
  Side m_Target;
  bool m_Silent = false;
  // Its sockets are closed at the next turn: h2o frees a closed socket before
  // it tells of a write that has just completed on it.
  bool m_Dead = false;
  bool m_Resets = false;
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
  std::list<Channel> m_Channels;
  std::deque<Datagram> m_Queue;
  std::uint32_t m_Dice = 1;

  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onDatagram(h2o_socket_t *Socket, const char *Error);
  [[nodiscard]] bool loses();
};

// ---- Channels --------------------------------------------------------------

static void closeSide(Side &Value, bool Reset) {
  if (!Value.m_Socket)
    return;
  if (Reset) {
    linger Abort{.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(Value.m_Socket), SOL_SOCKET, SO_LINGER, &Abort,
               sizeof(Abort));
  }
  h2o_socket_close(std::exchange(Value.m_Socket, nullptr));
}

static void closeChannel(Channel &Of, bool Reset) {
  Of.m_Dead = true;
  Of.m_Resets = Of.m_Resets || Reset;
  for (const Side *Each : {&Of.m_Caller, &Of.m_Target})
    if (Each->m_Socket)
      h2o_socket_read_stop(Each->m_Socket);
}

static Side &otherSide(Channel &Of, const h2o_socket_t *Socket) {
  return Of.m_Caller.m_Socket == Socket ? Of.m_Target : Of.m_Caller;
}

static void onRead(h2o_socket_t *Socket, const char *Error) {
  auto &Of = *static_cast<Channel *>(Socket->data);
  if (Of.m_Dead)
    return;
  Side &To = otherSide(Of, Socket);
  if (Error) {
    To.m_EndsAfterQueue = true;
    h2o_socket_read_stop(Socket);
    return;
  }
  if (!Of.m_Silent)
    To.m_Queue.push_back(
        {.m_DueAt = Of.m_Loop->now() + Of.m_Link->m_Delay,
         .m_Bytes = std::string(Socket->input->bytes, Socket->input->size)});
  h2o_buffer_consume(&Socket->input, Socket->input->size);
}

static void onWritten(h2o_socket_t *Socket, const char *Error) {
  auto &Of = *static_cast<Channel *>(Socket->data);
  Side &Self = Of.m_Caller.m_Socket == Socket ? Of.m_Caller : Of.m_Target;
  Self.m_Writing = false;
  if (Error)
    closeChannel(Of, false);
}

static void onConnected(h2o_socket_t *Socket, const char *Error) {
  auto &Of = *static_cast<Channel *>(Socket->data);
  if (Of.m_Dead)
    return;
  if (Error)
    return closeChannel(Of, true);
  Of.m_Target.m_Connected = true;
  h2o_socket_read_start(Socket, onRead);
}

static void flush(Side &To, bool Cut, core::Time Now) {
  bool Open = To.m_Socket && To.m_Connected && !To.m_Writing && !Cut;
  if (!Open)
    return;
  To.m_InWrite.clear();
  while (!To.m_Queue.empty() && To.m_Queue.front().m_DueAt <= Now) {
    To.m_InWrite += To.m_Queue.front().m_Bytes;
    To.m_Queue.pop_front();
  }
  if (To.m_InWrite.empty())
    return;
  To.m_Writing = true;
  h2o_iovec_t Buffer = h2o_iovec_init(To.m_InWrite.data(), To.m_InWrite.size());
  h2o_socket_write(To.m_Socket, &Buffer, 1, onWritten);
}

static bool isOver(const Side &Value) {
  return Value.m_EndsAfterQueue && Value.m_Queue.empty() && !Value.m_Writing;
}

void Relay::Impl::onAccept(h2o_socket_t *Listener, const char *Error) {
  auto *Self = static_cast<Impl *>(Listener->data);
  if (Error)
    return;
  while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
    runtime::setNoDelay(Socket);
    Channel &New = Self->m_Channels.emplace_back();
    New.m_Link = &Self->m_Link;
    New.m_Loop = &Self->m_Loop;
    New.m_Caller.m_Socket = Socket;
    New.m_Caller.m_Connected = true;
    Socket->data = &New;
    h2o_socket_read_start(Socket, onRead);
  }
}

// ---- Datagrams -------------------------------------------------------------

bool Relay::Impl::loses() {
  // A fixed share is lost, spread evenly.
  constexpr std::uint32_t Hundred = 100;
  constexpr std::uint32_t Step = 37;
  m_Dice = (m_Dice + Step) % Hundred;
  return m_Dice < static_cast<std::uint32_t>(m_Link.m_LossPercent);
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
    if (Self->m_Link.m_CutsForward || Self->loses())
      continue;
    Self->m_Queue.push_back(
        {.m_DueAt = Self->m_Loop.now() + Self->m_Link.m_Delay,
         .m_Bytes =
             std::string(Buffer.data(), static_cast<std::size_t>(Count))});
  }
}

// ---- The relay -------------------------------------------------------------

static int opened(const core::Outcome<int> &Value) {
  if (Value)
    return *Value;
  std::cerr << "relay: " << core::toString(Value.reason()) << std::endl;
  std::abort();
}

Relay::Relay(runtime::Loop &On, const Endpoint &From, Endpoint To)
    : m_Impl(new Impl{.m_Loop = On, .m_To = std::move(To)}) {
  int Stream = opened(runtime::openListener(From.m_Host, From.m_Port));
  int Datagrams = opened(runtime::openDatagramSocket(From.m_Host, From.m_Port));
  m_Impl->m_Listener = runtime::watch(On, Stream, m_Impl.get(), Impl::onAccept);
  m_Impl->m_Datagrams =
      runtime::watch(On, Datagrams, m_Impl.get(), Impl::onDatagram);
}

Relay::~Relay() = default;

void Relay::set(const LinkState &Value) { m_Impl->m_Link = Value; }

void Relay::reset() {
  for (Channel &Each : m_Impl->m_Channels)
    closeChannel(Each, true);
}

void Relay::silence() {
  for (Channel &Each : m_Impl->m_Channels)
    Each.m_Silent = true;
}

static void connectTarget(Channel &Of, const Endpoint &To) {
  sockaddr_in Address = *runtime::toAddress(To.m_Host, To.m_Port);
  Of.m_Target.m_Socket = h2o_socket_connect(
      Of.m_Loop->raw(), reinterpret_cast<sockaddr *>(&Address), sizeof(Address),
      onConnected);
  if (!Of.m_Target.m_Socket)
    return closeChannel(Of, true);
  Of.m_Target.m_Socket->data = &Of;
}

bool Relay::turn(core::Time Now) {
  const LinkState &Link = m_Impl->m_Link;
  m_Impl->m_Channels.remove_if([](Channel &Each) {
    if (Each.m_Dead) {
      closeSide(Each.m_Caller, Each.m_Resets);
      closeSide(Each.m_Target, Each.m_Resets);
    }
    return Each.m_Dead;
  });
  bool Waits = false;
  for (Channel &Each : m_Impl->m_Channels) {
    if (Each.m_Dead || Each.m_Silent)
      continue;
    if (!Each.m_Target.m_Socket && !Link.m_CutsForward)
      connectTarget(Each, m_Impl->m_To);
    if (Each.m_Dead)
      continue;
    flush(Each.m_Target, Link.m_CutsForward, Now);
    flush(Each.m_Caller, Link.m_CutsBack, Now);
    if (isOver(Each.m_Caller) || isOver(Each.m_Target))
      closeChannel(Each, false);
    Waits = Waits || !Each.m_Caller.m_Queue.empty() ||
            !Each.m_Target.m_Queue.empty();
  }
  auto To = runtime::toAddress(m_Impl->m_To.m_Host, m_Impl->m_To.m_Port);
  while (!m_Impl->m_Queue.empty() && m_Impl->m_Queue.front().m_DueAt <= Now) {
    const std::string &Bytes = m_Impl->m_Queue.front().m_Bytes;
    (void)sendto(h2o_socket_get_fd(m_Impl->m_Datagrams), Bytes.data(),
                 Bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr *>(&*To), sizeof(sockaddr_in));
    m_Impl->m_Queue.pop_front();
  }
  return Waits || !m_Impl->m_Queue.empty();
}

} // namespace fireflydrift::soak
