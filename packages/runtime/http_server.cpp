#include "runtime/http_server.h"

#include "runtime/address.h"
#include "runtime/sockets.h"

#include <algorithm>
#include <openssl/ssl.h>
#include <sstream>
#include <utility>

namespace fireflydrift::runtime {

namespace {

// Links an h2o request to its response callback. The pointer is null once the
// request was answered or h2o freed it.
struct RequestLink {
  h2o_req_t *m_Request = nullptr;
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
  std::size_t m_Connections = 0;
  bool m_Draining = false;

  [[nodiscard]] bool mayAccept() const;
  void count(int Change);

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

static void detachRequest(void *Memory) {
  auto *Link = static_cast<std::shared_ptr<RequestLink> *>(Memory);
  (*Link)->m_Request = nullptr;
  std::destroy_at(Link);
}

int HttpServer::Impl::onRequest(h2o_handler_t *Base, h2o_req_t *Request) {
  auto *Self = reinterpret_cast<H2oHandler *>(Base)->m_Server->m_Impl.get();
  auto Link = std::make_shared<RequestLink>(RequestLink{.m_Request = Request});
  void *Memory = h2o_mem_alloc_shared(
      &Request->pool, sizeof(std::shared_ptr<RequestLink>), detachRequest);
  new (Memory) std::shared_ptr<RequestLink>(Link);
  Self->m_Handler(
      readRequest(Request), [Self, Link](const HttpResponse &Value) {
        h2o_req_t *Pending = std::exchange(Link->m_Request, nullptr);
        if (Pending)
          sendResponse(Pending, Value, Self->m_Draining || Value.m_Close);
      });
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
  return m_Connections < m_Options.m_MaxConnections &&
         (!Budget || Budget->m_Open < Budget->m_Limit);
}

void HttpServer::Impl::count(int Change) {
  m_Connections += static_cast<std::size_t>(Change);
  if (m_Options.m_Budget)
    m_Options.m_Budget->m_Open += static_cast<std::size_t>(Change);
}

void HttpServer::Impl::onClose(void *Data) {
  static_cast<Impl *>(Data)->count(-1);
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
    Self->count(1);
    Socket->on_close.cb = onClose;
    Socket->on_close.data = Self;
    h2o_accept(&Self->m_Accept, Socket);
  }
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
  return m_Impl->m_Connections;
}

void HttpServer::drain() noexcept { m_Impl->m_Draining = true; }

} // namespace fireflydrift::runtime
