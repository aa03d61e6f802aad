// HTTP server for callers, targets and operators.
#ifndef FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H
#define FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H

#include "core/outcome.h"
#include "routing/memory_budget.h"
#include "runtime/loop.h"

#include <map>
#include <string>
#include <vector>

namespace fireflydrift::runtime {

struct HttpRequest {
  std::string m_Method;
  // Path without the query string.
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  // Host that the client requested, as in the Host header.
  std::string m_Host;
  // Headers whose names begin with "x-", by name in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  // Token of an "Authorization: Bearer" header; empty without one.
  std::string m_Token;
  // Numeric address from which the request arrived; empty when unknown.
  std::string m_PeerHost;

  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpResponse {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  // Seconds after which a rejected request may be retried, sent as Retry-After;
  // zero omits the header.
  int m_RetryAfterSeconds = 0;
  // URL to which the client should send its request instead, sent as Location;
  // empty omits the header.
  std::string m_Location;
  // Closes the connection after the response: the client's next request goes
  // elsewhere.
  bool m_Close = false;

  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

// Sends the response to one request, immediately or later. Does nothing after
// the first call or after the client has disconnected.
using Responder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, Responder)>;

// The connections that all servers of a process may hold together, so that
// descriptors are left for its files and for the links to other VMs.
struct ConnectionBudget {
  std::size_t m_Open = 0;
  std::size_t m_Limit = 0;

  friend bool operator==(const ConnectionBudget &,
                         const ConnectionBudget &) = default;
};

// The connections for which a process with this many descriptors has room. It
// keeps a quarter of them for other uses, but no more than MaxReserved. At
// least one.
[[nodiscard]] std::size_t connectionLimit(std::size_t Descriptors,
                                          std::size_t MaxReserved) noexcept;

struct HttpServerOptions {
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::size_t m_MaxBodyBytes = 0;
  std::size_t m_MaxConnections = 0;
  // Shared by the servers of a process; without one, only m_MaxConnections
  // limits this server.
  std::shared_ptr<ConnectionBudget> m_Budget;
  // Time limit for a client to send a complete request.
  core::Duration m_RequestTimeout{10000};
  // Certificate and private key files in PEM format; TLS is disabled while they
  // are empty.
  std::string m_Certificate;
  std::string m_Key;

  friend bool operator==(const HttpServerOptions &,
                         const HttpServerOptions &) = default;
};

// An HTTP server. Once it listens, it must not be destroyed before the process
// exits, because the event loop keeps pointers to it.
class HttpServer {
public:
  HttpServer(Loop &EventLoop, HttpServerOptions Options, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Starts listening. Fails with Io, naming the address or the certificate
  // setting, or with InvalidInput when the host is not a numeric IPv4 address.
  [[nodiscard]] core::Outcome<bool> listen();
  // The bound port; zero before listen().
  [[nodiscard]] std::uint16_t port() const noexcept;
  // Number of open connections.
  [[nodiscard]] std::size_t openConnections() const noexcept;
  // What each connection holds at Now, without those being closed. Releases the
  // buffers of idle connections.
  [[nodiscard]] std::vector<routing::ConnectionLoad> measure(std::size_t Index,
                                                             core::Time Now);
  // Closes a connection. A request that has not been handled until then is
  // never handled. Does nothing when the connection has ended.
  void closeConnection(std::uint64_t Id);
  // While false, new connections are closed at once.
  void setAccepting(bool Accepting) noexcept;
  // From now on, closes each connection after the next response on it.
  void drain() noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_SERVER_H
