#include "runtime/http_api.h"

#include "messages/json.h"
#include "runtime/evacuation_request.h"
#include "runtime/events.h"

#include <charconv>
#include <sstream>

namespace fireflydrift::runtime {

// Upper limit of wait_ms, the time for which a fetch waits for an outcome.
static constexpr std::int64_t MaxWaitMs = 60000;
static constexpr int RetryAfterSeconds = 1;

HttpApi::HttpApi(Node &LocalNode, Tokens ActiveTokens)
    : m_Node(LocalNode), m_Tokens(std::move(ActiveTokens)) {}

// ---- Responses -------------------------------------------------------------

static int statusFor(core::ReasonCode Code) {
  switch (Code) {
  case core::ReasonCode::InvalidInput:
    return 400;
  case core::ReasonCode::Unauthorized:
    return 401;
  case core::ReasonCode::NotFound:
    return 404;
  case core::ReasonCode::Conflict:
    return 409;
  case core::ReasonCode::TooLarge:
    return 413;
  case core::ReasonCode::Unplaceable:
  case core::ReasonCode::QuotaExceeded:
    return 422;
  case core::ReasonCode::Overloaded:
    return 429;
  case core::ReasonCode::NotLeader:
  case core::ReasonCode::Unavailable:
  case core::ReasonCode::Undecided:
    return 503;
  case core::ReasonCode::None:
    return 200;
  default:
    return 500;
  }
}

static HttpResponse toResponse(const control::Reply &Value) {
  HttpResponse Response{.m_Body = messages::encodeReply(Value)};
  if (const auto *Failed = std::get_if<control::Failure>(&Value)) {
    Response.m_Status = statusFor(Failed->m_Reason.m_Code);
    if (Response.m_Status == 429 || Response.m_Status == 503)
      Response.m_RetryAfterSeconds = RetryAfterSeconds;
  } else if (const auto *Job = std::get_if<control::JobView>(&Value)) {
    // 202 Accepted until the job has its final outcome.
    bool Unfinished = Job->m_Phase <= job::Phase::Stopping;
    Response.m_Status = Unfinished ? 202 : 200;
  }
  return Response;
}

void HttpApi::reject(const RequestContext &Context,
                     const core::Reason &Reason) {
  m_Node.counters().add("fireflydrift_requests_refused_total", 1,
                        std::string("reason=\"") +
                            core::toString(Reason.m_Code) + "\"");
  logEvent(Event::RequestRefused, {{"method", Context.m_Request.m_Method},
                                   {"path", Context.m_Request.m_Path},
                                   {"reason", core::toString(Reason)}});
  Context.m_Respond(toResponse(control::Failure{.m_Reason = Reason}));
}

static core::Reason notFound() {
  return {core::ReasonCode::NotFound, "path", "no such resource"};
}

static core::Reason unauthorized() {
  return {core::ReasonCode::Unauthorized, "authorization",
          "the bearer token is missing or invalid"};
}

// ---- Routing ---------------------------------------------------------------

static std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Path);
  std::string Part;
  while (std::getline(Stream, Part, '/'))
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

void HttpApi::handle(const HttpRequest &Request, Responder Respond) {
  RequestContext Context{.m_Request = Request,
                         .m_Parts = splitPath(Request.m_Path),
                         .m_Respond = std::move(Respond)};
  const auto &Parts = Context.m_Parts;
  if (Request.m_Method == "GET" && Request.m_Path == "/metrics")
    return Context.m_Respond({.m_Body = m_Node.metricsText(),
                              .m_ContentType = "text/plain; version=0.0.4"});
  if (Parts.size() < 2 || Parts[0] != "v1")
    return reject(Context, notFound());
  if (Request.m_Body.size() > m_Node.settings().m_Http.m_MaxBodyBytes)
    return reject(Context, {core::ReasonCode::TooLarge, "body",
                            "exceeds this VM's max_body_bytes"});
  if (Parts[1] == "health" && Parts.size() == 2)
    return Context.m_Respond({.m_Status = m_Node.isHealthy() ? 200 : 503,
                              .m_Body = m_Node.isHealthy()
                                            ? R"({"outcome":"healthy"})"
                                            : R"({"outcome":"unhealthy"})"});
  if (Parts[1] == "status" && Parts.size() == 2)
    return submitOperation(Context, control::ReadStatus{}, core::WorkspaceId());
  if (Parts[1] == "jobs")
    return handleJobs(Context);
  if (Parts[1] == "configuration" && Parts.size() == 2)
    return handleConfiguration(Context);
  if (Parts[1] == "evacuations")
    return handleEvacuations(Context);
  if (Parts[1] == "targets")
    return handleTargets(Context);
  reject(Context, notFound());
}

void HttpApi::submitOperation(const RequestContext &Context,
                              control::Operation Value,
                              const core::WorkspaceId &Workspace) {
  Responder Respond = Context.m_Respond;
  m_Node.entry().submit(
      std::move(Value), Workspace,
      [Respond](const control::Reply &Reply) { Respond(toResponse(Reply)); },
      m_Node.now());
}

// ---- Jobs ------------------------------------------------------------------

void HttpApi::submitJob(const RequestContext &Context) {
  auto Spec = messages::decodeJobSpec(Context.m_Request.m_Body);
  if (!Spec)
    return reject(Context, Spec.reason());
  const core::WorkspaceId &Id = Spec->m_Key.m_Workspace;
  if (!m_Tokens.mayAccessWorkspace(Id, Context.m_Request.m_Token))
    return reject(Context, unauthorized());
  core::Reason Reason = m_Node.entry().checkAdmission(Id, m_Node.now());
  if (Reason.m_Code != core::ReasonCode::None)
    return reject(Context, Reason);
  m_Node.counters().add("fireflydrift_jobs_accepted_total");
  submitOperation(Context, control::Submit{.m_Spec = *Spec}, Id);
}

static core::Outcome<core::Duration> readWait(const HttpRequest &Request) {
  auto Found = Request.m_Query.find("wait_ms");
  if (Found == Request.m_Query.end())
    return core::Duration(0);
  const std::string &Text = Found->second;
  std::int64_t Ms = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Ms);
  if (Error != std::errc() || Stop != End || Ms < 0 || Ms > MaxWaitMs)
    return core::Reason{core::ReasonCode::InvalidInput, "wait_ms",
                        "must be 0 to 60000"};
  return core::Duration(Ms);
}

void HttpApi::handleJob(const RequestContext &Context,
                        const core::JobKey &Key) {
  const std::string &Method = Context.m_Request.m_Method;
  bool WantsDecisions =
      Context.m_Parts.size() == 5 && Context.m_Parts[4] == "decisions";
  if (WantsDecisions && Method == "GET")
    return submitOperation(Context, control::Explain{.m_Job = Key},
                           Key.m_Workspace);
  if (Context.m_Parts.size() != 4)
    return reject(Context, notFound());
  if (Method == "DELETE")
    return submitOperation(Context, control::Cancel{.m_Job = Key},
                           Key.m_Workspace);
  if (Method != "GET")
    return reject(Context, notFound());
  auto Wait = readWait(Context.m_Request);
  if (!Wait)
    return reject(Context, Wait.reason());
  submitOperation(Context, control::Fetch{.m_Job = Key, .m_Wait = *Wait},
                  Key.m_Workspace);
}

void HttpApi::handleJobs(const RequestContext &Context) {
  if (Context.m_Parts.size() == 2 && Context.m_Request.m_Method == "POST")
    return submitJob(Context);
  if (Context.m_Parts.size() < 4)
    return reject(Context, notFound());
  core::JobKey Key{.m_Workspace = core::WorkspaceId(Context.m_Parts[2]),
                   .m_Request = core::RequestId(Context.m_Parts[3])};
  if (!m_Tokens.mayAccessWorkspace(Key.m_Workspace, Context.m_Request.m_Token))
    return reject(Context, unauthorized());
  handleJob(Context, Key);
}

// ---- Configuration ---------------------------------------------------------

void HttpApi::handleConfiguration(const RequestContext &Context) {
  if (Context.m_Request.m_Method == "GET")
    return submitOperation(Context, control::ReadConfiguration{},
                           core::WorkspaceId());
  if (Context.m_Request.m_Method != "PUT")
    return reject(Context, notFound());
  if (!m_Tokens.isOperator(Context.m_Request.m_Token))
    return reject(Context, unauthorized());
  auto Proposal = messages::decodeProposal(Context.m_Request.m_Body);
  if (!Proposal)
    return reject(Context, Proposal.reason());
  submitOperation(Context, control::Configure{.m_Proposal = *Proposal},
                  core::WorkspaceId());
}

// ---- Evacuations -----------------------------------------------------------

void HttpApi::handleEvacuations(const RequestContext &Context) {
  const auto &Parts = Context.m_Parts;
  const std::string &Method = Context.m_Request.m_Method;
  if (Method == "GET" && Parts.size() == 2)
    return submitOperation(Context, control::ReadEvacuations{},
                           core::WorkspaceId());
  if (Parts.size() != 3 || (Method != "PUT" && Method != "DELETE"))
    return reject(Context, notFound());
  if (!m_Tokens.isOperator(Context.m_Request.m_Token))
    return reject(Context, unauthorized());
  if (!Context.m_Request.m_Body.empty())
    return reject(Context,
                  {core::ReasonCode::InvalidInput, "body", "must be empty"});
  Responder Respond = Context.m_Respond;
  requestEvacuation(
      m_Node, {.m_FailureDomain = Parts[2], .m_Evacuate = Method == "PUT"},
      [Respond](const control::Reply &Reply) { Respond(toResponse(Reply)); });
}

// ---- Targets ---------------------------------------------------------------

void HttpApi::announce(const RequestContext &Context) {
  auto Decoded = messages::decodeAnnouncement(Context.m_Request.m_Body);
  if (!Decoded)
    return reject(Context, Decoded.reason());
  core::TargetId Id = Decoded->m_Id;
  Responder Respond = Context.m_Respond;
  m_Node.entry().recordTargetHeartbeat(Id, m_Node.now());
  m_Node.entry().submit(
      control::Announce{.m_Announcement = *Decoded}, core::WorkspaceId(),
      [this, Id, Respond](const control::Reply &Reply) {
        if (std::holds_alternative<control::Acknowledged>(Reply)) {
          m_Node.entry().recordAnnouncement(Id);
          logEvent(Event::TargetAnnounced, {{"target", Id.text()}});
        }
        Respond(toResponse(Reply));
      },
      m_Node.now());
}

void HttpApi::report(const RequestContext &Context) {
  auto Decoded = messages::decodeReport(Context.m_Request.m_Body);
  if (!Decoded)
    return reject(Context, Decoded.reason());
  core::TargetId Id(Context.m_Parts[2]);
  m_Node.entry().recordTargetHeartbeat(Id, m_Node.now());
  Responder Respond = Context.m_Respond;
  auto Acknowledge = [this, Id, Respond] {
    Respond({.m_Body = messages::encodeReportReply(
                 m_Node.entry().reportReply(Id, m_Node.now()))});
  };
  if (Decoded->m_Results.empty())
    return Acknowledge();
  // Results are acknowledged only once they are durable.
  m_Node.entry().submit(
      control::ReportResults{.m_Target = Id, .m_Results = Decoded->m_Results},
      core::WorkspaceId(),
      [Acknowledge, Respond](const control::Reply &Reply) {
        if (std::holds_alternative<control::Acknowledged>(Reply))
          Acknowledge();
        else
          Respond(toResponse(Reply));
      },
      m_Node.now());
}

void HttpApi::handleTargets(const RequestContext &Context) {
  const auto &Parts = Context.m_Parts;
  const std::string &Method = Context.m_Request.m_Method;
  if (!m_Tokens.isOperator(Context.m_Request.m_Token))
    return reject(Context, unauthorized());
  if (Method == "POST" && Parts.size() == 2)
    return announce(Context);
  if (Method == "POST" && Parts.size() == 4 && Parts[3] == "reports")
    return report(Context);
  if (Method == "DELETE" && Parts.size() == 3)
    return submitOperation(Context,
                           control::Leave{.m_Target = core::TargetId(Parts[2])},
                           core::WorkspaceId());
  reject(Context, notFound());
}

} // namespace fireflydrift::runtime
