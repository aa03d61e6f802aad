#include "standin/foreign_writer.h"

#include <limits>

namespace fireflydrift::standin {

using Json = nlohmann::json;

static constexpr core::Duration ResponseTimeout{1000};

namespace {

// One message; valid ones only claim what is not theirs.
struct Message {
  std::string m_Method = "PUT";
  std::string m_Id;
  std::string m_Body;
  bool m_Valid = false;
};

} // namespace

ForeignWriter::ForeignWriter(runtime::Loop &EventLoop,
                             ForeignWriterOptions Options)
    : m_Options(std::move(Options)), m_Client(EventLoop) {}

static Json soundReport(int Target, core::Time Now) {
  return {{"service", "pool"},
          {"address", workerAddress(Target)},
          {"zone", "z"},
          {"state", "ready"},
          {"born", core::toMs(Now)},
          {"sequence", 1},
          {"labels", {"a", "r1"}},
          {"capacity", {{"cpu", 8000}, {"memoryLimitMb", 8000}, {"gpu", 4}}},
          {"running", Json::array()},
          {"ended", Json::array()}};
}

// Fields that no target can have, each with the values that it takes in turn.
static Json oddField(int Number) {
  static const std::vector<std::pair<const char *, Json>> Odd{
      {"born", std::numeric_limits<std::uint64_t>::max()},
      {"born", 1e300},
      {"sequence", std::uint64_t{1} << 63U},
      {"sequence", -1},
      {"address", ""},
      {"address", "999.1.1.1:80"},
      {"address", "10.9.0.1:0"},
      {"address", "10.9.0.1:-1"},
      {"address", "10.9.0.1:99999"},
      {"service", 7},
      {"state", "asleep"},
      {"running", {{"00000000000000aa.0.0.0", 4294967296, "", 5}}},
      {"running", {{"00000000000000aa.0.0.0", 1, ""}}},
      {"ended", {{1, "00000000000000aa.0.0.0", 4294967297, "done", ""}}},
      {"capacity", {{"gpu", -1}}},
      {"labels", {1, 2}}};
  const auto &[Field, Value] =
      Odd[static_cast<std::size_t>(Number) % Odd.size()];
  return {{Field, Value}};
}

static std::string deeplyNested() {
  constexpr std::size_t Depth = 200000;
  return R"({"service":"pool","x":)" + std::string(Depth, '[') +
         std::string(Depth, ']') + "}";
}

static Message makeMessage(int Number, int Targets, core::Time Now) {
  constexpr int Kinds = 6;
  int Target = Number / Kinds % Targets;
  Json Sound = soundReport(Target, Now);
  Json Odd = Sound;
  Odd.update(oddField(Number / Kinds));
  switch (Number % Kinds) {
  case 0:
    return {.m_Id = "foreign-" + std::to_string(Target),
            .m_Body = Sound.dump(),
            .m_Valid = true};
  case 1:
    return {.m_Id = workerId(Target), .m_Body = Sound.dump(), .m_Valid = true};
  case 2:
    return {.m_Method = "DELETE",
            .m_Id = workerId(Target),
            .m_Body = Number % 2 == 0 ? Sound.dump() : "{}",
            .m_Valid = true};
  case 3:
    return {.m_Id = workerId(Target), .m_Body = deeplyNested()};
  case 4:
    return {.m_Id = workerId(Target), .m_Body = Sound.dump().substr(0, 60)};
  default:
    return {.m_Id = "odd-" + std::to_string(Target), .m_Body = Odd.dump()};
  }
}

void ForeignWriter::send(const std::string &Method, const std::string &Id,
                         const std::string &Body, bool Valid) {
  const ControlAddress &To =
      m_Options.m_ControlAddresses[static_cast<std::size_t>(m_Sent) %
                                   m_Options.m_ControlAddresses.size()];
  ++m_Sent;
  m_Client.send(
      {.m_Method = Method,
       .m_Host = To.m_Host,
       .m_Port = To.m_Port,
       .m_Path = "/-/instances/" + Id,
       .m_Body = Body,
       .m_Timeout = ResponseTimeout},
      [this, Valid](const std::optional<runtime::HttpClientResponse> &Answer) {
        if (!Valid && Answer && Answer->m_Status == 200)
          ++m_Wrong;
      });
}

void ForeignWriter::tick(core::Time Now) {
  m_Client.expire(Now);
  if (Now >= m_Until || Now < m_NextAt)
    return;
  m_NextAt = Now + m_Options.m_Interval;
  Message Next = makeMessage(m_Sent, m_Options.m_Targets, Now);
  send(Next.m_Method, Next.m_Id, Next.m_Body, Next.m_Valid);
}

} // namespace fireflydrift::standin
