// The HTTP server towards callers, targets and operators.
#ifndef FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H
#define FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H

#include "core/outcome.h"
#include "runtime/loop.h"

#include <map>
#include <string>

namespace fireflydrift::runtime {

struct HttpRequest {
  std::string m_Method;
  // Path without the query.
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  // The host that the client named.
  std::string m_Host;
  // Headers whose names begin with "x-", by name in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  // The token of an "Authorization: Bearer" header; empty without one.
  std::string m_Token;

  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpResponse {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  // Seconds after which a shed request may come again; zero for none.
  int m_RetryAfterSeconds = 0;
  // Where the client should send its request instead; empty for none.
  std::string m_Location;

  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

// Answers one request, at once or later. Answering after the client has gone
// does nothing.
using Responder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, Responder)>;

struct HttpServerOptions {
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::size_t m_MaxBodyBytes = 0;
  std::size_t m_MaxConnections = 0;
  // Time a client has to send a whole request.
  core::Duration m_RequestTimeout{10000};
  // Certificate and key files in PEM form; TLS is off while they are empty.
  std::string m_Certificate;
  std::string m_Key;

  friend bool operator==(const HttpServerOptions &,
                         const HttpServerOptions &) = default;
};

// Listens from construction to the end of the process.
class HttpServer {
public:
  HttpServer(Loop &On, HttpServerOptions Options, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Starts to listen. Fails with Io, naming the address, when it can't.
  [[nodiscard]] core::Outcome<bool> listen();
  // The port in use, once listening.
  [[nodiscard]] std::uint16_t port() const noexcept;
  // Connections that are open now.
  [[nodiscard]] std::size_t connections() const noexcept;
  // From now on each connection ends with its present request.
  void drain() noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H
