#include "runtime/http_server.h"

#include "runtime/address.h"
#include "runtime/sockets.h"

#include <algorithm>
#include <linux/tcp.h>
#include <openssl/ssl.h>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace fireflydrift::runtime {

// Receive buffer of a connection in the kernel. Bounds what one iteration of
// the loop can read from a client that sends faster than it is read.
static constexpr int ReceiveBufferBytes = 32 * 1024;

namespace {

// State of an open connection. h2o owns the socket; the entry is removed when
// it closes.
struct Connection {
  void *m_Server = nullptr;
  h2o_socket_t *m_Socket = nullptr;
  std::uint64_t m_Id = 0;
  core::Time m_Since;
  // Size of the copied body of the request that is being handled.
  std::size_t m_BodyBytes = 0;
  std::size_t m_ResponseBytes = 0;
  // Largest capacity of its input buffer so far.
  std::size_t m_LargestInput = 0;
  // Bytes that the client had acknowledged when its progress was last checked.
  std::uint64_t m_AcknowledgedBytes = 0;
  bool m_Handling = false;
  bool m_Responding = false;
  bool m_Closing = false;
};

// By id; the addresses of entries are stable.
using Connections = std::map<std::uint64_t, Connection>;

// Links an h2o request to its response callback. The pointer is null once the
// request was answered or h2o freed it.
struct RequestLink {
  h2o_req_t *m_Request = nullptr;
  Connections *m_Connections = nullptr;
  std::uint64_t m_Connection = 0;
};

struct H2oHandler {
  // Must be the first member: h2o addresses the object by its h2o_handler_t.
  h2o_handler_t m_Base;
  HttpServer *m_Server;
};

} // namespace

struct HttpServer::Impl {
  Loop &m_Loop;
  HttpServerOptions m_Options;
  HttpHandler m_Handler;
  h2o_globalconf_t m_Config{};
  h2o_context_t m_Context{};
  h2o_accept_ctx_t m_Accept{};
  h2o_socket_t *m_Listener = nullptr;
  Connections m_Connections;
  std::uint64_t m_LastId = 0;
  bool m_Draining = false;
  bool m_Accepting = true;

  [[nodiscard]] bool mayAccept() const;
  void open(h2o_socket_t *Socket);
  void respond(RequestLink &Link, const HttpResponse &Value) const;

  static int onRequest(h2o_handler_t *Base, h2o_req_t *Request);
  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onClose(void *Data);
};

// ---- Requests --------------------------------------------------------------

static std::string toText(h2o_iovec_t Value) {
  return Value.base ? std::string(Value.base, Value.len) : std::string();
}

static std::map<std::string, std::string> readQuery(const std::string &Text) {
  std::map<std::string, std::string> Query;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, '&')) {
    auto Equals = Part.find('=');
    if (Equals != std::string::npos)
      Query[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Query;
}

static std::string readToken(h2o_req_t *Request) {
  static const std::string Scheme = "Bearer ";
  ssize_t At = h2o_find_header(&Request->headers, H2O_TOKEN_AUTHORIZATION, -1);
  if (At < 0)
    return {};
  std::string Value = toText(Request->headers.entries[At].value);
  return Value.starts_with(Scheme) ? Value.substr(Scheme.size())
                                   : std::string();
}

static std::map<std::string, std::string> readHeaders(h2o_req_t *Request) {
  std::map<std::string, std::string> Headers;
  for (std::size_t I = 0; I < Request->headers.size; ++I) {
    const h2o_header_t &Each = Request->headers.entries[I];
    std::string Name = toText(*Each.name);
    if (Name.starts_with("x-"))
      Headers[std::move(Name)] = toText(Each.value);
  }
  return Headers;
}

static std::string readPeerHost(h2o_req_t *Request) {
  sockaddr_storage Address{};
  auto *Peer = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Length =
      Request->conn->callbacks->get_peername(Request->conn, Peer);
  return Length == 0 ? std::string() : numericHost(*Peer, Length);
}

static HttpRequest readRequest(h2o_req_t *Request) {
  std::string Path = toText(Request->path);
  auto QueryStart = Path.find('?');
  HttpRequest Value{.m_Method = toText(Request->method),
                    .m_Path = Path.substr(0, QueryStart),
                    .m_Host = toText(Request->authority),
                    .m_Headers = readHeaders(Request),
                    .m_Body = toText(Request->entity),
                    .m_Token = readToken(Request),
                    .m_PeerHost = readPeerHost(Request)};
  if (QueryStart != std::string::npos)
    Value.m_Query = readQuery(Path.substr(QueryStart + 1));
  return Value;
}

// ---- Responses -------------------------------------------------------------

static const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 202:
    return "Accepted";
  case 307:
    return "Temporary Redirect";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 409:
    return "Conflict";
  case 410:
    return "Gone";
  case 413:
    return "Payload Too Large";
  case 422:
    return "Unprocessable Entity";
  case 429:
    return "Too Many Requests";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Internal Server Error";
  }
}

static void sendResponse(h2o_req_t *Request, const HttpResponse &Value,
                         bool Close) {
  Request->res.status = Value.m_Status;
  Request->res.reason = reasonPhrase(Value.m_Status);
  Request->res.content_length = Value.m_Body.size();
  if (Close)
    Request->http1_is_persistent = 0;
  auto AddHeader = [&](const h2o_token_t *Name, const std::string &Text) {
    h2o_iovec_t Copy = h2o_strdup(&Request->pool, Text.data(), Text.size());
    h2o_add_header(&Request->pool, &Request->res.headers, Name, nullptr,
                   Copy.base, Copy.len);
  };
  AddHeader(H2O_TOKEN_CONTENT_TYPE, Value.m_ContentType);
  if (!Value.m_Location.empty())
    AddHeader(H2O_TOKEN_LOCATION, Value.m_Location);
  if (Value.m_RetryAfterSeconds > 0) {
    std::string Seconds = std::to_string(Value.m_RetryAfterSeconds);
    h2o_iovec_t Copy =
        h2o_strdup(&Request->pool, Seconds.data(), Seconds.size());
    h2o_add_header_by_str(&Request->pool, &Request->res.headers,
                          H2O_STRLIT("retry-after"), 0, nullptr, Copy.base,
                          Copy.len);
  }
  h2o_send_inline(Request, Value.m_Body.data(), Value.m_Body.size());
}

static Connection *find(Connections &All, std::uint64_t Id) {
  auto Found = All.find(Id);
  return Found == All.end() ? nullptr : &Found->second;
}

static void detachRequest(void *Memory) {
  auto *Link = static_cast<std::shared_ptr<RequestLink> *>(Memory);
  (*Link)->m_Request = nullptr;
  if (Connection *Ended =
          find(*(*Link)->m_Connections, (*Link)->m_Connection)) {
    Ended->m_BodyBytes = 0;
    Ended->m_ResponseBytes = 0;
    Ended->m_Handling = false;
    Ended->m_Responding = false;
  }
  std::destroy_at(Link);
}

static Connection &connectionOf(h2o_req_t *Request) {
  h2o_socket_t *Socket = Request->conn->callbacks->get_socket(Request->conn);
  return *static_cast<Connection *>(Socket->on_close.data);
}

void HttpServer::Impl::respond(RequestLink &Link,
                               const HttpResponse &Value) const {
  h2o_req_t *Pending = std::exchange(Link.m_Request, nullptr);
  if (!Pending)
    return;
  Connection &From = connectionOf(Pending);
  From.m_BodyBytes = 0;
  From.m_ResponseBytes = Value.m_Body.size();
  From.m_Handling = false;
  From.m_Responding = true;
  From.m_Since = m_Loop.now();
  sendResponse(Pending, Value, m_Draining || Value.m_Close);
}

int HttpServer::Impl::onRequest(h2o_handler_t *Base, h2o_req_t *Request) {
  auto *Self = reinterpret_cast<H2oHandler *>(Base)->m_Server->m_Impl.get();
  Connection &From = connectionOf(Request);
  auto Link = std::make_shared<RequestLink>(
      RequestLink{.m_Request = Request,
                  .m_Connections = &Self->m_Connections,
                  .m_Connection = From.m_Id});
  void *Memory = h2o_mem_alloc_shared(
      &Request->pool, sizeof(std::shared_ptr<RequestLink>), detachRequest);
  new (Memory) std::shared_ptr<RequestLink>(Link);
  // The rest of the request arrived after the connection was closed. It must
  // not run, because its client was refused.
  if (From.m_Closing) {
    Self->respond(*Link, {.m_Status = 503, .m_Close = true});
    return 0;
  }
  From.m_Handling = true;
  From.m_BodyBytes = Request->entity.len;
  Self->m_Handler(
      readRequest(Request),
      [Self, Link](const HttpResponse &Value) { Self->respond(*Link, Value); });
  return 0;
}

// ---- Connections -----------------------------------------------------------

std::size_t connectionLimit(std::size_t Descriptors,
                            std::size_t MaxReserved) noexcept {
  constexpr std::size_t Quarter = 4;
  std::size_t Reserved = std::min(Descriptors / Quarter, MaxReserved);
  return std::max<std::size_t>(Descriptors - Reserved, 1);
}

bool HttpServer::Impl::mayAccept() const {
  const std::shared_ptr<ConnectionBudget> &Budget = m_Options.m_Budget;
  return m_Accepting && m_Connections.size() < m_Options.m_MaxConnections &&
         (!Budget || Budget->m_Open < Budget->m_Limit);
}

void HttpServer::Impl::open(h2o_socket_t *Socket) {
  Connection &Opened = m_Connections[++m_LastId];
  Opened = {.m_Server = this,
            .m_Socket = Socket,
            .m_Id = m_LastId,
            .m_Since = m_Loop.now()};
  if (m_Options.m_Budget)
    ++m_Options.m_Budget->m_Open;
  Socket->on_close.cb = onClose;
  Socket->on_close.data = &Opened;
}

void HttpServer::Impl::onClose(void *Data) {
  auto *Closed = static_cast<Connection *>(Data);
  auto *Self = static_cast<Impl *>(Closed->m_Server);
  if (Self->m_Options.m_Budget)
    --Self->m_Options.m_Budget->m_Open;
  Self->m_Connections.erase(Closed->m_Id);
}

void HttpServer::Impl::onAccept(h2o_socket_t *Listener, const char *Error) {
  auto *Self = static_cast<Impl *>(Listener->data);
  if (Error)
    return;
  while (h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener)) {
    // Accepted and closed at once: a connection that stays in the queue would
    // wake the loop again and again.
    if (!Self->mayAccept()) {
      h2o_socket_close(Socket);
      continue;
    }
    Self->open(Socket);
    h2o_accept(&Self->m_Accept, Socket);
  }
}

// ---- Memory ----------------------------------------------------------------

// Bytes that the client has acknowledged since the connection opened.
static std::uint64_t acknowledgedBytes(h2o_socket_t *Socket) {
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  (void)getsockopt(h2o_socket_get_fd(Socket), IPPROTO_TCP, TCP_INFO, &Info,
                   &Length);
  return Info.tcpi_bytes_acked;
}

// Capacity of the input buffer with which each connection starts.
static std::size_t initialCapacity() {
  return h2o_socket_buffer_prototype._initial_buf.capacity;
}

// Frees the buffer that an earlier request left behind on an idle connection.
// An incomplete request is never concerned, as its data stays in the buffer.
static void releaseIdleBuffer(const Connection &Value) {
  h2o_buffer_t *&Input = Value.m_Socket->input;
  bool Idle = !Value.m_Handling && !Value.m_Responding && Input->size == 0;
  if (!Idle || Input->capacity <= initialCapacity())
    return;
  h2o_buffer_dispose(&Input);
  h2o_buffer_init(&Input, &h2o_socket_buffer_prototype);
}

// Estimate of the buffer for encrypted input, which h2o doesn't show and keeps
// until the connection ends. Without it, 60 clients that sent chunks over TLS
// held 40 MiB more than was counted.
static std::size_t encryptedBytes(const Connection &Value) {
  constexpr std::size_t Max = std::size_t{512} * 1024;
  if (!Value.m_Socket->ssl)
    return 0;
  return std::min(Value.m_LargestInput, Max);
}

// What the connection holds beyond the buffer that each connection has. That
// one is bounded by the number of connections.
static std::size_t heldBytes(Connection &Value) {
  std::size_t Capacity = Value.m_Socket->input->capacity;
  std::size_t Grown = Capacity - std::min(Capacity, initialCapacity());
  Value.m_LargestInput = std::max(Value.m_LargestInput, Grown);
  return Grown + encryptedBytes(Value) + Value.m_BodyBytes +
         Value.m_ResponseBytes;
}

// Notes whether the client has read a part of its response since m_Since. Asks
// the kernel only once the time limit is reached, as most responses are read
// long before.
static void updateProgress(Connection &Value, core::Duration Limit,
                           core::Time Now) {
  if (!Value.m_Responding || Now - Value.m_Since < Limit)
    return;
  std::uint64_t Acknowledged = acknowledgedBytes(Value.m_Socket);
  if (Acknowledged == Value.m_AcknowledgedBytes)
    return;
  Value.m_AcknowledgedBytes = Acknowledged;
  Value.m_Since = Now;
}

std::vector<routing::ConnectionLoad> HttpServer::measure(std::size_t Index,
                                                         core::Time Now) {
  std::vector<routing::ConnectionLoad> Loads;
  Loads.reserve(m_Impl->m_Connections.size());
  for (auto &[Id, Each] : m_Impl->m_Connections) {
    if (Each.m_Closing)
      continue;
    releaseIdleBuffer(Each);
    updateProgress(Each, m_Impl->m_Options.m_RequestTimeout, Now);
    Loads.push_back({.m_Id = Id,
                     .m_Listener = Index,
                     .m_Bytes = heldBytes(Each),
                     .m_Since = Each.m_Since,
                     .m_Handling = Each.m_Handling,
                     .m_Responding = Each.m_Responding});
  }
  return Loads;
}

void HttpServer::closeConnection(std::uint64_t Id) {
  Connection *Found = find(m_Impl->m_Connections, Id);
  if (!Found)
    return;
  h2o_socket_t *Socket = Found->m_Socket;
  // As if the client had closed the connection: h2o frees it at once. Its turn
  // in the loop comes only after those of all others that have data, which read
  // as much again meanwhile.
  if (h2o_socket_is_reading(Socket) && !h2o_socket_is_writing(Socket))
    return Socket->_cb.read(Socket, h2o_socket_error_closed);
  Found->m_Closing = true;
  // h2o is about to use the socket, so it must find it shut down by itself.
  (void)shutdown(h2o_socket_get_fd(Socket), SHUT_RDWR);
}

void HttpServer::setAccepting(bool Accepting) noexcept {
  m_Impl->m_Accepting = Accepting;
}

// ---- Construction ----------------------------------------------------------

HttpServer::HttpServer(Loop &EventLoop, HttpServerOptions Options,
                       HttpHandler Handler)
    : m_Impl(new Impl{.m_Loop = EventLoop,
                      .m_Options = std::move(Options),
                      .m_Handler = std::move(Handler)}) {
  h2o_config_init(&m_Impl->m_Config);
  m_Impl->m_Config.max_request_entity_size = m_Impl->m_Options.m_MaxBodyBytes;
  m_Impl->m_Config.http1.req_timeout =
      static_cast<std::uint64_t>(m_Impl->m_Options.m_RequestTimeout.count());
  // Not part of the interface, and one connection could buffer many requests.
  m_Impl->m_Config.http1.upgrade_to_http2 = 0;
  m_Impl->m_Config.server_name = h2o_iovec_init(H2O_STRLIT("fireflydrift"));
  constexpr std::uint16_t AnyPort = 65535;
  h2o_hostconf_t *Host = h2o_config_register_host(
      &m_Impl->m_Config, h2o_iovec_init(H2O_STRLIT("default")), AnyPort);
  h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
  auto *Registered = reinterpret_cast<runtime::H2oHandler *>(
      h2o_create_handler(Path, sizeof(runtime::H2oHandler)));
  Registered->m_Base.on_req = Impl::onRequest;
  Registered->m_Server = this;
  h2o_context_init(&m_Impl->m_Context, EventLoop.raw(), &m_Impl->m_Config);
  m_Impl->m_Accept.ctx = &m_Impl->m_Context;
  m_Impl->m_Accept.hosts = m_Impl->m_Config.hosts;
}

HttpServer::~HttpServer() = default;

// A TLS context from certificate and key files, or nullptr when they can't be
// loaded or do not match.
static SSL_CTX *makeTls(const HttpServerOptions &Options) {
  SSL_CTX *Tls = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(Tls, TLS1_2_VERSION);
  bool Usable = SSL_CTX_use_certificate_chain_file(
                    Tls, Options.m_Certificate.c_str()) == 1 &&
                SSL_CTX_use_PrivateKey_file(Tls, Options.m_Key.c_str(),
                                            SSL_FILETYPE_PEM) == 1 &&
                SSL_CTX_check_private_key(Tls) == 1;
  if (Usable)
    return Tls;
  SSL_CTX_free(Tls);
  return nullptr;
}

core::Outcome<bool> HttpServer::listen() {
  const HttpServerOptions &Options = m_Impl->m_Options;
  if (!Options.m_Certificate.empty()) {
    m_Impl->m_Accept.ssl_ctx = makeTls(Options);
    if (!m_Impl->m_Accept.ssl_ctx)
      return core::Reason{
          core::ReasonCode::Io, "http.certificate",
          "certificate and key can't be loaded or do not match"};
  }
  auto Opened = openListener(Options.m_Host, Options.m_Port);
  if (!Opened)
    return Opened.reason();
  m_Impl->m_Listener =
      watch(m_Impl->m_Loop, *Opened, m_Impl.get(), Impl::onAccept);
  // Accepted sockets inherit it.
  (void)setsockopt(*Opened, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                   sizeof(ReceiveBufferBytes));
  return true;
}

std::uint16_t HttpServer::port() const noexcept {
  sockaddr_storage Address{};
  if (!m_Impl->m_Listener)
    return 0;
  auto *Bound = reinterpret_cast<sockaddr *>(&Address);
  (void)h2o_socket_getsockname(m_Impl->m_Listener, Bound);
  return static_cast<std::uint16_t>(h2o_socket_getport(Bound));
}

std::size_t HttpServer::openConnections() const noexcept {
  return m_Impl->m_Connections.size();
}

void HttpServer::drain() noexcept { m_Impl->m_Draining = true; }

} // namespace fireflydrift::runtime
