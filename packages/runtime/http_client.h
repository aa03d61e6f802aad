// Non-blocking HTTP client on the event loop.
#ifndef FIREFLYDRIFT_RUNTIME_HTTP_CLIENT_H
#define FIREFLYDRIFT_RUNTIME_HTTP_CLIENT_H

#include "runtime/loop.h"

#include <map>
#include <optional>
#include <string>

namespace fireflydrift::runtime {

struct HttpClientRequest {
  std::string m_Method;
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::string m_Path;
  std::string m_Body;
  std::string m_Token;
  // Additional header fields, by name.
  std::map<std::string, std::string> m_Headers;
  core::Duration m_Timeout{1500};

  friend bool operator==(const HttpClientRequest &,
                         const HttpClientRequest &) = default;
};

struct HttpClientResponse {
  int m_Status = 0;
  std::string m_Body;

  friend bool operator==(const HttpClientResponse &,
                         const HttpClientResponse &) = default;
};

// Called exactly once: with the complete response, or with nullopt when the
// connection failed or was closed early, when the response body was too large,
// or when the request timed out.
using HttpCallback = std::function<void(std::optional<HttpClientResponse>)>;

struct HttpClientOptions {
  // Maximum number of keep-alive connections in the pool of each host and port.
  // With zero, every request opens its own connection, so that a stalled
  // connection affects only one request.
  std::size_t m_MaxPooledConnections = 0;

  friend bool operator==(const HttpClientOptions &,
                         const HttpClientOptions &) = default;
};

class HttpClient {
public:
  explicit HttpClient(Loop &EventLoop, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  void send(const HttpClientRequest &Value, HttpCallback Callback);
  // Cancels the requests that have timed out. Must be called regularly, because
  // nothing else enforces their timeouts.
  void expire(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_CLIENT_H
