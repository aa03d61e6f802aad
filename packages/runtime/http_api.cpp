#include "runtime/http_api.h"

#include "messages/json.h"
#include "runtime/events.h"

#include <charconv>
#include <sstream>

namespace fireflydrift::runtime {

// Longest time that a fetch may wait for an outcome.
static constexpr std::int64_t MaxWaitMs = 60000;
static constexpr int RetryAfterSeconds = 1;

HttpApi::HttpApi(Node &Behind, Tokens InForce)
    : m_Node(Behind), m_Tokens(std::move(InForce)) {}

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
    // 202 while the outcome is still open.
    bool Open = Job->m_Phase <= job::Phase::Stopping;
    Response.m_Status = Open ? 202 : 200;
  }
  return Response;
}

void HttpApi::refuse(const Route &At, const core::Reason &Why) {
  m_Node.counters().add("fireflydrift_requests_refused_total", 1,
                        std::string("reason=\"") + core::toString(Why.m_Code) +
                            "\"");
  logEvent(Event::RequestRefused, {{"method", At.m_Request.m_Method},
                                   {"path", At.m_Request.m_Path},
                                   {"reason", core::toString(Why)}});
  At.m_Respond(toResponse(control::Failure{.m_Reason = Why}));
}

static core::Reason notFound() {
  return {core::ReasonCode::NotFound, "path", "no such resource"};
}

static core::Reason unauthorized() {
  return {core::ReasonCode::Unauthorized, "authorization",
          "the token is missing or wrong"};
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
  Route At{.m_Request = Request,
           .m_Parts = splitPath(Request.m_Path),
           .m_Respond = std::move(Respond)};
  const auto &Parts = At.m_Parts;
  if (Request.m_Method == "GET" && Request.m_Path == "/metrics")
    return At.m_Respond({.m_Body = m_Node.metricsText(),
                         .m_ContentType = "text/plain; version=0.0.4"});
  if (Parts.size() < 2 || Parts[0] != "v1")
    return refuse(At, notFound());
  if (Request.m_Body.size() > m_Node.settings().m_Http.m_MaxBodyBytes)
    return refuse(At, {core::ReasonCode::TooLarge, "body",
                       "is over this VM's max_body_bytes"});
  if (Parts[1] == "health" && Parts.size() == 2)
    return At.m_Respond({.m_Status = m_Node.isHealthy() ? 200 : 503,
                         .m_Body = m_Node.isHealthy()
                                       ? R"({"outcome":"healthy"})"
                                       : R"({"outcome":"unhealthy"})"});
  if (Parts[1] == "status" && Parts.size() == 2)
    return run(At, control::ReadStatus{}, core::WorkspaceId());
  if (Parts[1] == "jobs")
    return handleJobs(At);
  if (Parts[1] == "configuration" && Parts.size() == 2)
    return handleConfiguration(At);
  if (Parts[1] == "targets")
    return handleTargets(At);
  refuse(At, notFound());
}

void HttpApi::run(const Route &At, control::Operation Value,
                  const core::WorkspaceId &Holder) {
  Responder Respond = At.m_Respond;
  m_Node.entry().submit(
      std::move(Value), Holder,
      [Respond](const control::Reply &Reply) { Respond(toResponse(Reply)); },
      m_Node.now());
}

// ---- Jobs ------------------------------------------------------------------

void HttpApi::submitJob(const Route &At) {
  auto Spec = messages::decodeJobSpec(At.m_Request.m_Body);
  if (!Spec)
    return refuse(At, Spec.reason());
  const core::WorkspaceId &Id = Spec->m_Key.m_Workspace;
  if (!m_Tokens.mayAccessWorkspace(Id, At.m_Request.m_Token))
    return refuse(At, unauthorized());
  core::Reason Why = m_Node.entry().admit(Id, m_Node.now());
  if (Why.m_Code != core::ReasonCode::None)
    return refuse(At, Why);
  m_Node.counters().add("fireflydrift_jobs_accepted_total");
  run(At, control::Submit{.m_Spec = *Spec}, Id);
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

void HttpApi::forJob(const Route &At, const core::JobKey &Key) {
  const std::string &Method = At.m_Request.m_Method;
  bool Decisions = At.m_Parts.size() == 5 && At.m_Parts[4] == "decisions";
  if (Decisions && Method == "GET")
    return run(At, control::Explain{.m_Job = Key}, Key.m_Workspace);
  if (At.m_Parts.size() != 4)
    return refuse(At, notFound());
  if (Method == "DELETE")
    return run(At, control::Cancel{.m_Job = Key}, Key.m_Workspace);
  if (Method != "GET")
    return refuse(At, notFound());
  auto Wait = readWait(At.m_Request);
  if (!Wait)
    return refuse(At, Wait.reason());
  run(At, control::Fetch{.m_Job = Key, .m_Wait = *Wait}, Key.m_Workspace);
}

void HttpApi::handleJobs(const Route &At) {
  if (At.m_Parts.size() == 2 && At.m_Request.m_Method == "POST")
    return submitJob(At);
  if (At.m_Parts.size() < 4)
    return refuse(At, notFound());
  core::JobKey Key{.m_Workspace = core::WorkspaceId(At.m_Parts[2]),
                   .m_Request = core::RequestId(At.m_Parts[3])};
  if (!m_Tokens.mayAccessWorkspace(Key.m_Workspace, At.m_Request.m_Token))
    return refuse(At, unauthorized());
  forJob(At, Key);
}

// ---- Configuration ---------------------------------------------------------

void HttpApi::handleConfiguration(const Route &At) {
  if (At.m_Request.m_Method == "GET")
    return run(At, control::ReadConfiguration{}, core::WorkspaceId());
  if (At.m_Request.m_Method != "PUT")
    return refuse(At, notFound());
  if (!m_Tokens.isOperator(At.m_Request.m_Token))
    return refuse(At, unauthorized());
  auto Proposal = messages::decodeProposal(At.m_Request.m_Body);
  if (!Proposal)
    return refuse(At, Proposal.reason());
  run(At, control::Configure{.m_Proposal = *Proposal}, core::WorkspaceId());
}

// ---- Targets ---------------------------------------------------------------

void HttpApi::announce(const Route &At) {
  auto Said = messages::decodeAnnouncement(At.m_Request.m_Body);
  if (!Said)
    return refuse(At, Said.reason());
  core::TargetId Id = Said->m_Id;
  Responder Respond = At.m_Respond;
  m_Node.entry().heardTarget(Id, m_Node.now());
  m_Node.entry().submit(
      control::Announce{.m_Announcement = *Said}, core::WorkspaceId(),
      [this, Id, Respond](const control::Reply &Reply) {
        if (std::holds_alternative<control::Acknowledged>(Reply)) {
          m_Node.entry().targetAnnounced(Id);
          logEvent(Event::TargetAnnounced, {{"target", Id.text()}});
        }
        Respond(toResponse(Reply));
      },
      m_Node.now());
}

void HttpApi::report(const Route &At) {
  auto Said = messages::decodeReport(At.m_Request.m_Body);
  if (!Said)
    return refuse(At, Said.reason());
  core::TargetId Id(At.m_Parts[2]);
  m_Node.entry().heardTarget(Id, m_Node.now());
  Responder Respond = At.m_Respond;
  auto Acknowledge = [this, Id, Respond] {
    Respond({.m_Body = messages::encodeReportReply(
                 m_Node.entry().reportReply(Id, m_Node.now()))});
  };
  if (Said->m_Results.empty())
    return Acknowledge();
  // Results are acknowledged once they are durable.
  m_Node.entry().submit(
      control::ReportResults{.m_Target = Id, .m_Results = Said->m_Results},
      core::WorkspaceId(),
      [Acknowledge, Respond](const control::Reply &Reply) {
        if (std::holds_alternative<control::Acknowledged>(Reply))
          Acknowledge();
        else
          Respond(toResponse(Reply));
      },
      m_Node.now());
}

void HttpApi::handleTargets(const Route &At) {
  const auto &Parts = At.m_Parts;
  const std::string &Method = At.m_Request.m_Method;
  if (!m_Tokens.isOperator(At.m_Request.m_Token))
    return refuse(At, unauthorized());
  if (Method == "POST" && Parts.size() == 2)
    return announce(At);
  if (Method == "POST" && Parts.size() == 4 && Parts[3] == "reports")
    return report(At);
  if (Method == "DELETE" && Parts.size() == 3)
    return run(At, control::Leave{.m_Target = core::TargetId(Parts[2])},
               core::WorkspaceId());
  refuse(At, notFound());
}

} // namespace fireflydrift::runtime
