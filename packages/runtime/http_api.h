// The HTTP API of a VM: translates requests into operations and replies into
// responses. Decisions are made by the entry and the leader.
#ifndef FIREFLYDRIFT_RUNTIME_HTTP_API_H
#define FIREFLYDRIFT_RUNTIME_HTTP_API_H

#include "runtime/http_server.h"
#include "runtime/node.h"
#include "runtime/tokens.h"

namespace fireflydrift::runtime {

class HttpApi {
public:
  HttpApi(Node &LocalNode, Tokens ActiveTokens);

  void setTokens(Tokens ActiveTokens) { m_Tokens = std::move(ActiveTokens); }
  void handle(const HttpRequest &Request, Responder Respond);

private:
  // A request with its path segments and the callback for its response.
  struct RequestContext {
    const HttpRequest &m_Request;
    std::vector<std::string> m_Parts;
    Responder m_Respond;
  };

  void handleJobs(const RequestContext &Context);
  void handleTargets(const RequestContext &Context);
  void handleConfiguration(const RequestContext &Context);
  void handleEvacuations(const RequestContext &Context);
  void submitJob(const RequestContext &Context);
  void report(const RequestContext &Context);
  void announce(const RequestContext &Context);
  void handleJob(const RequestContext &Context, const core::JobKey &Key);
  void submitOperation(const RequestContext &Context, control::Operation Value,
                       const core::WorkspaceId &Workspace);
  void reject(const RequestContext &Context, const core::Reason &Reason);

  Node &m_Node;
  Tokens m_Tokens;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_HTTP_API_H
