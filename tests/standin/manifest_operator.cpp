#include "standin/manifest_operator.h"

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

static constexpr const char *Path = "/-/configuration";
static constexpr core::Duration RetryDelay{200};
static constexpr core::Duration ResponseTimeout{1500};
static constexpr int Ok = 200;

ManifestOperator::ManifestOperator(runtime::Loop &EventLoop,
                                   HistoryChecker &Checker,
                                   OperatorOptions Options)
    : m_Loop(EventLoop), m_Checker(Checker), m_Options(std::move(Options)),
      m_Client(EventLoop) {}

// ---- Manifests -------------------------------------------------------------

Json ManifestOperator::manifest() const {
  Json Keys = {m_Options.m_PermanentKey};
  if (!m_ExtraKey.empty())
    Keys.push_back(m_ExtraKey);
  Json Route{{"name", "q"},         {"host", m_Options.m_QueueHost},
             {"pathPrefix", "/q/"}, {"kind", "non_idempotent"},
             {"timeoutMs", 3000},   {"targetLatencyMs", 1000 + m_Version},
             {"priority", 1},       {"service", "pool"},
             {"maxAttempts", 3},    {"slackFactor", 2.0},
             {"public", false}};
  return {{"version", m_Version},
          {"routes", {Route}},
          {"services", {{{"name", "pool"}}}},
          {"limits", Json::object()},
          {"tenants", {{{"name", "t"}, {"apiKeys", Keys}}}}};
}

ManifestOperator::PendingManifest &ManifestOperator::add(const Json &Manifest,
                                                         core::Time Now) {
  return m_PendingManifests.emplace_back(
      PendingManifest{.m_Version = Manifest["version"].get<std::uint64_t>(),
                      .m_Body = Manifest.dump(),
                      .m_Control = m_NextControl++,
                      .m_NextAt = Now});
}

void ManifestOperator::sendNext(core::Time Now) {
  ++m_Version;
  add(manifest(), Now);
}

void ManifestOperator::sendConflicting(core::Time Now) {
  ++m_Version;
  Json One = manifest();
  Json Other = One;
  Other["routes"][0]["slackFactor"] = 3.0;
  add(One, Now);
  add(Other, Now);
}

void ManifestOperator::sendInvalid(core::Time Now) {
  Json Invalid = manifest();
  Invalid["version"] = m_Version + 1000;
  Invalid["routes"][0]["service"] = "nowhere";
  add(Invalid, Now).m_Invalid = true;
}

std::string ManifestOperator::addKey(core::Time Now) {
  std::string ReplacedKey = m_ExtraKey;
  m_ExtraKey = "key-" + std::to_string(++m_KeyCount);
  sendNext(Now);
  m_PendingManifests.back().m_RevokedKey = ReplacedKey;
  return m_ExtraKey;
}

void ManifestOperator::revokeKey(core::Time Now) {
  if (m_ExtraKey.empty())
    return;
  std::string RevokedKey = std::exchange(m_ExtraKey, {});
  sendNext(Now);
  m_PendingManifests.back().m_RevokedKey = RevokedKey;
}

// ---- Calls -----------------------------------------------------------------

void ManifestOperator::tick(core::Time Now) {
  m_Client.expire(Now);
  m_PendingManifests.remove_if(
      [](const PendingManifest &Each) { return Each.m_Done; });
  for (PendingManifest &Each : m_PendingManifests)
    if (!Each.m_InFlight && Now >= Each.m_NextAt)
      send(Each);
  if (isConfigured() && Now >= m_NextReadAt)
    read(Now);
}

void ManifestOperator::send(PendingManifest &Value) {
  Value.m_InFlight = true;
  const ControlAddress &To =
      m_Options.m_ControlAddresses[Value.m_Control++ %
                                   m_Options.m_ControlAddresses.size()];
  m_Client.send(
      {.m_Method = "PUT",
       .m_Host = To.m_Host,
       .m_Port = To.m_Port,
       .m_Path = Path,
       .m_Body = Value.m_Body,
       .m_Timeout = ResponseTimeout},
      [this, &Value](const std::optional<HttpClientResponse> &Answer) {
        Value.m_InFlight = false;
        core::Time Now = m_Loop.now();
        Value.m_NextAt = Now + RetryDelay;
        int Status = Answer ? Answer->m_Status : 0;
        bool Refused =
            Status >= 400 && Status < 500 && Status != 408 && Status != 429;
        if (Value.m_Invalid) {
          Value.m_Done = Refused;
          if (Status == Ok)
            m_Checker.recordViolation(
                "configuration", "an invalid manifest was acknowledged", Now);
          return;
        }
        if (Refused)
          m_Checker.recordViolation("configuration",
                                    "a valid manifest was refused", Now);
        Value.m_Done = Refused || Status == Ok;
        if (Status != Ok)
          return;
        m_Acknowledged = std::max(m_Acknowledged, Value.m_Version);
        m_Checker.recordManifestAcknowledgement(Value.m_Version, Now);
        if (!Value.m_RevokedKey.empty())
          m_Checker.recordKeyRevocation(Value.m_RevokedKey, Now);
      });
}

void ManifestOperator::read(core::Time Now) {
  m_NextReadAt = Now + m_Options.m_ReadInterval;
  const ControlAddress &From =
      m_Options.m_ControlAddresses[m_NextControl++ %
                                   m_Options.m_ControlAddresses.size()];
  m_Client.send(
      {.m_Method = "GET",
       .m_Host = From.m_Host,
       .m_Port = From.m_Port,
       .m_Path = Path,
       .m_Timeout = ResponseTimeout},
      [this, SentAt = Now](const std::optional<HttpClientResponse> &Answer) {
        if (!Answer || Answer->m_Status != Ok)
          return;
        Json Read = Json::parse(Answer->m_Body);
        m_Checker.recordManifestRead(Read["version"].get<std::uint64_t>(),
                                     Read.dump(), SentAt, m_Loop.now());
      });
}

} // namespace fireflydrift::standin
