// The HTTP interface of a VM: translates requests into operations and replies
// into responses. Decisions are made elsewhere.
#ifndef FIREFLYDRIFT_RUNTIME_HTTP_API_H
#define FIREFLYDRIFT_RUNTIME_HTTP_API_H

#include "runtime/http_server.h"
#include "runtime/node.h"
#include "runtime/tokens.h"

namespace fireflydrift::runtime {

class HttpApi {
public:
  HttpApi(Node &Behind, Tokens InForce);

  void setTokens(Tokens InForce) { m_Tokens = std::move(InForce); }
  void handle(const HttpRequest &Request, Responder Respond);

private:
  // A request whose path was split at its slashes.
  struct Route {
    const HttpRequest &m_Request;
    std::vector<std::string> m_Parts;
    Responder m_Respond;
  };

  void handleJobs(const Route &At);
  void handleTargets(const Route &At);
  void handleConfiguration(const Route &At);
  void submitJob(const Route &At);
  void report(const Route &At);
  void announce(const Route &At);
  void forJob(const Route &At, const core::JobKey &Key);
  void run(const Route &At, control::Operation Value,
           const core::WorkspaceId &Holder);
  void refuse(const Route &At, const core::Reason &Why);

  Node &m_Node;
  Tokens m_Tokens;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_API_H
