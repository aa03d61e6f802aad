#include "runtime/http_client.h"

#include "runtime/address.h"
#include "runtime/h2o_api.h"

#include <utility>
#include <vector>

namespace fireflydrift::runtime {

// Time without I/O after which h2o itself closes a connection.
static constexpr std::uint64_t IoTimeoutMs = 60000;
// A request whose response body is larger than this fails.
static constexpr std::size_t MaxResponseBodyBytes = std::size_t{4} << 20U;

namespace {

// One request in progress.
struct PendingRequest {
  std::string m_Request;
  h2o_iovec_t m_Buffer{};
  HttpCallback m_Callback;
  HttpClientResponse m_Response;
  core::Time m_Deadline;
  h2o_http1client_t *m_Client = nullptr;
  bool m_Done = false;
};

} // namespace

struct HttpClient::Impl {
  Loop &m_Loop;
  HttpClientOptions m_Options;
  h2o_timeout_t m_Timeout{};
  h2o_http1client_ctx_t m_Context{};
  h2o_multithread_queue_t *m_Queue = nullptr;
  h2o_multithread_receiver_t m_Receiver{};
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> m_PendingRequests;
  std::uint64_t m_NextId = 0;
  // Connection pools by host and port. They live as long as the loop.
  std::map<std::pair<std::string, std::uint16_t>, h2o_socketpool_t *> m_Pools;

  // The connection pool for the request's host and port; nullptr without
  // pooling, or when the host is not a numeric IPv4 address.
  [[nodiscard]] h2o_socketpool_t *pool(const HttpClientRequest &Value);

  static h2o_http1client_head_cb onConnect(h2o_http1client_t *Client,
                                           const char *Error,
                                           h2o_iovec_t **Buffers,
                                           std::size_t *Count, int *IsHead);
  static h2o_http1client_body_cb onHead(h2o_http1client_t *Client,
                                        const char *Error, int Minor,
                                        int Status, h2o_iovec_t Message,
                                        h2o_header_t *Headers,
                                        std::size_t HeaderCount, int RawLength);
  static int onBody(h2o_http1client_t *Client, const char *Error);
};

// ---- Callbacks of h2o ------------------------------------------------------

static void complete(PendingRequest &Value, bool Succeeded) {
  if (std::exchange(Value.m_Done, true))
    return;
  // h2o frees its client object after the callback.
  Value.m_Client = nullptr;
  HttpCallback Callback = std::move(Value.m_Callback);
  Callback(Succeeded ? std::optional(std::move(Value.m_Response))
                     : std::nullopt);
}

h2o_http1client_head_cb HttpClient::Impl::onConnect(h2o_http1client_t *Client,
                                                    const char *Error,
                                                    h2o_iovec_t **Buffers,
                                                    std::size_t *Count,
                                                    int *IsHead) {
  auto &Value = *static_cast<PendingRequest *>(Client->data);
  if (Error) {
    complete(Value, false);
    return nullptr;
  }
  Value.m_Buffer =
      h2o_iovec_init(Value.m_Request.data(), Value.m_Request.size());
  *Buffers = &Value.m_Buffer;
  *Count = 1;
  *IsHead = 0;
  return onHead;
}

h2o_http1client_body_cb HttpClient::Impl::onHead(h2o_http1client_t *Client,
                                                 const char *Error, int,
                                                 int Status, h2o_iovec_t,
                                                 h2o_header_t *, std::size_t,
                                                 int) {
  auto &Value = *static_cast<PendingRequest *>(Client->data);
  bool Ended = Error == h2o_http1client_error_is_eos;
  if (Error && !Ended) {
    complete(Value, false);
    return nullptr;
  }
  Value.m_Response.m_Status = Status;
  if (Ended) {
    complete(Value, true);
    return nullptr;
  }
  return onBody;
}

int HttpClient::Impl::onBody(h2o_http1client_t *Client, const char *Error) {
  auto &Value = *static_cast<PendingRequest *>(Client->data);
  bool Ended = Error == h2o_http1client_error_is_eos;
  if (Error && !Ended) {
    complete(Value, false);
    return -1;
  }
  h2o_buffer_t *Input = Client->sock->input;
  bool TooLong =
      Value.m_Response.m_Body.size() + Input->size > MaxResponseBodyBytes;
  if (TooLong) {
    complete(Value, false);
    return -1;
  }
  Value.m_Response.m_Body.append(Input->bytes, Input->size);
  h2o_buffer_consume(&Client->sock->input, Input->size);
  if (Ended)
    complete(Value, true);
  return 0;
}

// ---- Requests --------------------------------------------------------------

HttpClient::HttpClient(Loop &EventLoop, HttpClientOptions Options)
    : m_Impl(new Impl{.m_Loop = EventLoop, .m_Options = Options}) {
  h2o_timeout_init(EventLoop.raw(), &m_Impl->m_Timeout, IoTimeoutMs);
  m_Impl->m_Queue = h2o_multithread_create_queue(EventLoop.raw());
  h2o_multithread_register_receiver(m_Impl->m_Queue, &m_Impl->m_Receiver,
                                    h2o_hostinfo_getaddr_receiver);
  m_Impl->m_Context = {.loop = EventLoop.raw(),
                       .getaddr_receiver = &m_Impl->m_Receiver,
                       .io_timeout = &m_Impl->m_Timeout,
                       .websocket_timeout = nullptr,
                       .ssl_ctx = nullptr};
}

HttpClient::~HttpClient() = default;

h2o_socketpool_t *HttpClient::Impl::pool(const HttpClientRequest &Value) {
  if (m_Options.m_MaxPooledConnections == 0)
    return nullptr;
  auto Address = toAddress(Value.m_Host, Value.m_Port);
  if (!Address)
    return nullptr;
  h2o_socketpool_t *&Found = m_Pools[{Value.m_Host, Value.m_Port}];
  if (Found)
    return Found;
  Found = new h2o_socketpool_t{};
  sockaddr_in Peer = *Address;
  h2o_socketpool_init_by_address(Found, reinterpret_cast<sockaddr *>(&Peer),
                                 sizeof(Peer), 0,
                                 m_Options.m_MaxPooledConnections);
  h2o_socketpool_set_timeout(Found, m_Loop.raw(), IoTimeoutMs);
  return Found;
}

static std::string writeRequest(const HttpClientRequest &Value,
                                bool KeepAlive) {
  std::string Text =
      Value.m_Method + " " + Value.m_Path + " HTTP/1.1\r\n" +
      "host: " + Value.m_Host + ":" + std::to_string(Value.m_Port) + "\r\n" +
      "connection: " + (KeepAlive ? "keep-alive" : "close") +
      "\r\ncontent-type: application/json\r\n" +
      "content-length: " + std::to_string(Value.m_Body.size()) + "\r\n";
  if (!Value.m_Token.empty())
    Text += "authorization: Bearer " + Value.m_Token + "\r\n";
  for (const auto &[Name, Content] : Value.m_Headers)
    Text.append(Name).append(": ").append(Content).append("\r\n");
  return Text + "\r\n" + Value.m_Body;
}

void HttpClient::send(const HttpClientRequest &Value, HttpCallback Callback) {
  std::uint64_t Id = ++m_Impl->m_NextId;
  auto Pending = std::make_shared<PendingRequest>();
  h2o_socketpool_t *Pool = m_Impl->pool(Value);
  Pending->m_Request = writeRequest(Value, Pool != nullptr);
  Pending->m_Callback = std::move(Callback);
  Pending->m_Deadline = m_Impl->m_Loop.now() + Value.m_Timeout;
  m_Impl->m_PendingRequests.emplace(Id, Pending);
  if (Pool) {
    h2o_http1client_connect_with_pool(&Pending->m_Client, Pending.get(),
                                      &m_Impl->m_Context, Pool,
                                      Impl::onConnect);
    return;
  }
  h2o_http1client_connect(
      &Pending->m_Client, Pending.get(), &m_Impl->m_Context,
      h2o_iovec_init(Value.m_Host.data(), Value.m_Host.size()), Value.m_Port, 0,
      Impl::onConnect);
}

void HttpClient::expire(core::Time Now) {
  std::vector<std::shared_ptr<PendingRequest>> Expired;
  std::erase_if(m_Impl->m_PendingRequests, [&](const auto &Each) {
    const auto &[Id, Value] = Each;
    bool TimedOut = !Value->m_Done && Now >= Value->m_Deadline;
    if (TimedOut)
      Expired.push_back(Value);
    return TimedOut || Value->m_Done;
  });
  for (const std::shared_ptr<PendingRequest> &Value : Expired) {
    if (Value->m_Client)
      h2o_http1client_cancel(Value->m_Client);
    complete(*Value, false);
  }
}

} // namespace fireflydrift::runtime
