// The HTTP client towards targets.
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
  // Further header fields, by their names.
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

// Called once: with the whole answer, or with nothing when the connection
// failed, broke off, or the time was over.
using HttpCallback = std::function<void(std::optional<HttpClientResponse>)>;

struct HttpClientOptions {
  // Connections that one host and port keeps open for later calls. With none,
  // each call has a connection of its own, so that one that has gone silent
  // never swallows a second call.
  std::size_t m_MaxPooledConnections = 0;

  friend bool operator==(const HttpClientOptions &,
                         const HttpClientOptions &) = default;
};

class HttpClient {
public:
  explicit HttpClient(Loop &On, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  void send(const HttpClientRequest &Value, HttpCallback Callback);
  // Gives up calls whose time is over; called on each turn of the loop.
  void expire(core::Time Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_CLIENT_H
