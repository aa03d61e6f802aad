#include "standin/manifest_operator.h"

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

static constexpr const char *Path = "/-/configuration";
static constexpr core::Duration RetryAfter{200};
static constexpr core::Duration AnswerWithin{1500};
static constexpr int Ok = 200;

ManifestOperator::ManifestOperator(runtime::Loop &On, Books &Into,
                                   OperatorOptions Options)
    : m_Loop(On), m_Books(Into), m_Options(std::move(Options)), m_Client(On) {}

// ---- Manifests -------------------------------------------------------------

Json ManifestOperator::manifest() const {
  Json Keys = {m_Options.m_LastingKey};
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

ManifestOperator::Order &ManifestOperator::add(const Json &Manifest,
                                               core::Time Now) {
  return m_Orders.emplace_back(
      Order{.m_Version = Manifest["version"].get<std::uint64_t>(),
            .m_Body = Manifest.dump(),
            .m_Control = m_NextControl++,
            .m_NextAt = Now});
}

void ManifestOperator::change(core::Time Now) {
  ++m_Version;
  add(manifest(), Now);
}

void ManifestOperator::race(core::Time Now) {
  ++m_Version;
  Json One = manifest();
  Json Other = One;
  Other["routes"][0]["slackFactor"] = 3.0;
  add(One, Now);
  add(Other, Now);
}

void ManifestOperator::sendInvalid(core::Time Now) {
  Json Broken = manifest();
  Broken["version"] = m_Version + 1000;
  Broken["routes"][0]["service"] = "nowhere";
  add(Broken, Now).m_Invalid = true;
}

std::string ManifestOperator::addKey(core::Time Now) {
  std::string Former = m_ExtraKey;
  m_ExtraKey = "key-" + std::to_string(++m_KeysMade);
  change(Now);
  m_Orders.back().m_Withdraws = Former;
  return m_ExtraKey;
}

void ManifestOperator::withdrawKey(core::Time Now) {
  if (m_ExtraKey.empty())
    return;
  std::string Withdrawn = std::exchange(m_ExtraKey, {});
  change(Now);
  m_Orders.back().m_Withdraws = Withdrawn;
}

// ---- Calls -----------------------------------------------------------------

void ManifestOperator::turn(core::Time Now) {
  m_Client.expire(Now);
  m_Orders.remove_if([](const Order &Each) { return Each.m_Done; });
  for (Order &Each : m_Orders)
    if (!Each.m_InFlight && Now >= Each.m_NextAt)
      send(Each);
  if (hasBegun() && Now >= m_ReadAt)
    read(Now);
}

void ManifestOperator::send(Order &Value) {
  Value.m_InFlight = true;
  const ControlAddress &To =
      m_Options.m_Controls[Value.m_Control++ % m_Options.m_Controls.size()];
  m_Client.send(
      {.m_Method = "PUT",
       .m_Host = To.m_Host,
       .m_Port = To.m_Port,
       .m_Path = Path,
       .m_Body = Value.m_Body,
       .m_Timeout = AnswerWithin},
      [this, &Value](const std::optional<HttpClientResponse> &Answer) {
        Value.m_InFlight = false;
        core::Time Now = m_Loop.now();
        Value.m_NextAt = Now + RetryAfter;
        int Status = Answer ? Answer->m_Status : 0;
        bool Refused =
            Status >= 400 && Status < 500 && Status != 408 && Status != 429;
        if (Value.m_Invalid) {
          Value.m_Done = Refused;
          if (Status == Ok)
            m_Books.violated("configuration",
                             "an invalid manifest was acknowledged", Now);
          return;
        }
        if (Refused)
          m_Books.violated("configuration", "a valid manifest was refused",
                           Now);
        Value.m_Done = Refused || Status == Ok;
        if (Status != Ok)
          return;
        m_Acknowledged = std::max(m_Acknowledged, Value.m_Version);
        m_Books.manifestAcknowledged(Value.m_Version, Now);
        if (!Value.m_Withdraws.empty())
          m_Books.keyWithdrawn(Value.m_Withdraws, Now);
      });
}

void ManifestOperator::read(core::Time Now) {
  m_ReadAt = Now + m_Options.m_ReadEvery;
  const ControlAddress &From =
      m_Options.m_Controls[m_NextControl++ % m_Options.m_Controls.size()];
  m_Client.send(
      {.m_Method = "GET",
       .m_Host = From.m_Host,
       .m_Port = From.m_Port,
       .m_Path = Path,
       .m_Timeout = AnswerWithin},
      [this, SentAt = Now](const std::optional<HttpClientResponse> &Answer) {
        if (!Answer || Answer->m_Status != Ok)
          return;
        Json Read = Json::parse(Answer->m_Body);
        m_Books.manifestRead(Read["version"].get<std::uint64_t>(), Read.dump(),
                             SentAt, m_Loop.now());
      });
}

} // namespace fireflydrift::standin
