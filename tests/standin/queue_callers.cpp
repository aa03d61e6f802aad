#include "standin/queue_callers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

static constexpr int MostAttempts = 8;
static constexpr core::Duration RetryAfter{400};
static constexpr core::Duration FollowEvery{400};
// How long a caller waits for one answer.
static constexpr core::Duration AnswerWithin{3000};
// Connections that callers keep open to each entry VM.
static constexpr std::size_t KeptOpen = 8;

QueueCallers::QueueCallers(runtime::Loop &On, Books &Into,
                           CallerOptions Options)
    : m_Loop(On), m_Books(Into), m_Options(std::move(Options)),
      m_Client(On, {.m_MaxPooledConnections = KeptOpen}),
      m_Random(m_Options.m_Seed) {}

bool QueueCallers::isDone() const {
  bool AllCame = m_Stopped || m_Jobs.size() >= m_Options.m_Jobs;
  return AllCame &&
         std::all_of(m_Jobs.begin(), m_Jobs.end(), [](const auto &Each) {
           return Each->m_Phase != Phase::HandingIn &&
                  Each->m_Phase != Phase::Following && !Each->m_InFlight;
         });
}

std::size_t QueueCallers::count(Phase Value) const {
  return static_cast<std::size_t>(
      std::count_if(m_Jobs.begin(), m_Jobs.end(),
                    [&](const auto &Each) { return Each->m_Phase == Value; }));
}

std::size_t QueueCallers::completed() const { return count(Phase::Ended); }

std::size_t QueueCallers::unknown() const { return count(Phase::Unknown); }

// ---- Jobs ------------------------------------------------------------------

JobFacts QueueCallers::draw() {
  auto Draw = [&](int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(m_Random);
  };
  std::string Digits = std::to_string(m_Jobs.size());
  constexpr std::size_t IdLength = 16;
  JobFacts Facts{.m_Id = std::string(IdLength - Digits.size(), '0') + Digits,
                 .m_Body = "work of job " + Digits};
  auto Step = [&](bool Gang) {
    return StepFacts{.m_Tasks = Gang ? Draw(2, 5) : Draw(1, 3),
                     .m_Gang = Gang,
                     .m_Saves = Draw(0, 2) == 0,
                     .m_Work = core::Duration(Draw(100, 1500))};
  };
  Facts.m_Steps.push_back(Step(Draw(0, 1) == 0));
  if (Draw(0, 4) == 0) {
    Facts.m_Steps.push_back(Step(Draw(0, 1) == 0));
    Facts.m_Steps.back().m_After = {0};
  }
  return Facts;
}

void QueueCallers::arrive(core::Time Now) {
  bool Due =
      !m_Stopped && m_Jobs.size() < m_Options.m_Jobs && Now >= m_NextJobAt;
  if (!Due)
    return;
  auto Percent = [&] {
    constexpr int Hundred = 100;
    return std::uniform_int_distribution<int>(1, Hundred)(m_Random);
  };
  std::exponential_distribution<double> Gap(
      1.0 / static_cast<double>(m_Options.m_Every.count()));
  m_NextJobAt = Now + core::Duration(static_cast<int>(Gap(m_Random)) + 1);
  auto New = std::make_unique<Job>();
  New->m_Facts = draw();
  bool Extra = !m_ExtraKey.empty() && Percent() <= m_Options.m_ExtraKeyPercent;
  New->m_Key = Extra ? m_ExtraKey : m_Options.m_Key;
  constexpr core::Duration Later{1200};
  if (Percent() <= m_Options.m_CancelPercent)
    New->m_CancelAt = Now + Later;
  if (Percent() <= m_Options.m_ResendPercent)
    New->m_ResendAt = Now + 2 * Later;
  m_Books.submitted(New->m_Facts);
  m_Jobs.push_back(std::move(New));
}

static std::string encode(const JobFacts &Facts) {
  constexpr int Processors = 500;
  constexpr int MemoryMb = 100;
  Json Steps = Json::array();
  for (const StepFacts &Each : Facts.m_Steps)
    Steps.push_back({{"count", Each.m_Tasks},
                     {"cpu", Processors},
                     {"memoryLimitMb", MemoryMb},
                     {"gpu", 1},
                     {"estimatedMs", Each.m_Work.count()},
                     {"gangScheduled", Each.m_Gang},
                     {"checkpointing", Each.m_Saves},
                     {"dependencies", Each.m_After}});
  return Json{{"spec", Facts.m_Body}, {"steps", Steps}}.dump();
}

// ---- Calls -----------------------------------------------------------------

const char *QueueCallers::nextCall(const Job &Of, core::Time Now) {
  bool Resends = Of.m_ResendAt && Now >= *Of.m_ResendAt;
  if (Of.m_Phase == Phase::Following && Of.m_CancelAt && Now >= *Of.m_CancelAt)
    return "DELETE";
  if (Of.m_Phase == Phase::HandingIn ||
      (Of.m_Phase == Phase::Following && Resends))
    return "POST";
  return Of.m_Phase == Phase::Following ? "GET" : nullptr;
}

void QueueCallers::turn(core::Time Now) {
  m_Client.expire(Now);
  arrive(Now);
  for (const std::unique_ptr<Job> &Each : m_Jobs) {
    if (Each->m_InFlight || Now < Each->m_NextAt)
      continue;
    if (const char *Method = nextCall(*Each, Now))
      call(*Each, Method, Now);
  }
}

void QueueCallers::call(Job &Of, const char *Method, core::Time Now) {
  Of.m_InFlight = true;
  std::string Verb = Method;
  std::uniform_int_distribution<std::size_t> Pick(
      0, m_Options.m_Entries.size() - 1);
  const Endpoint &To = m_Options.m_Entries[Pick(m_Random)];
  // A withdrawn key serves for handing in only: that is what must be refused.
  bool HandsIn = Of.m_Phase == Phase::HandingIn;
  m_Client.send({.m_Method = Verb,
                 .m_Host = To.m_Host,
                 .m_Port = To.m_Port,
                 .m_Path = "/q/" + Of.m_Facts.m_Id,
                 .m_Body = Verb == "POST" ? encode(Of.m_Facts) : "",
                 .m_Headers = {{"x-fireflydrift-key",
                                HandsIn ? Of.m_Key : m_Options.m_Key},
                               {"x-fireflydrift-deadline-ms",
                                std::to_string(AnswerWithin.count())}},
                 .m_Timeout = AnswerWithin},
                [this, &Of, Verb, HandsIn, SentAt = Now](
                    const std::optional<HttpClientResponse> &Answer) {
                  Of.m_InFlight = false;
                  core::Time Then = m_Loop.now();
                  Of.m_NextAt = Then + (HandsIn ? RetryAfter : FollowEvery);
                  int Status = Answer ? Answer->m_Status : 0;
                  constexpr int Ok = 200;
                  if (HandsIn)
                    return handedIn(Of, Status, SentAt, Then);
                  if (Verb == "POST" && Status == Ok)
                    Of.m_ResendAt.reset();
                  if (Verb == "DELETE" && Status == Ok) {
                    Of.m_CancelAt.reset();
                    m_Books.cancelled(Of.m_Facts.m_Id, Then);
                  }
                  if (Verb == "GET" && Answer)
                    followed(Of, *Answer, Then);
                });
}

void QueueCallers::handedIn(Job &Of, int Status, core::Time SentAt,
                            core::Time Now) {
  constexpr int Ok = 200;
  constexpr int Unauthorized = 401;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  if (Status == Ok) {
    m_Books.keyServed(Of.m_Key, SentAt, Now);
    m_Books.accepted(Of.m_Facts.m_Id);
    Of.m_Phase = Phase::Following;
    return;
  }
  bool NeverRuns =
      Status == TooMany || Status == Unavailable || Status == Unauthorized;
  Of.m_MayRun = Of.m_MayRun || !NeverRuns;
  bool Last = ++Of.m_Attempts >= MostAttempts || Status == Unauthorized;
  if (!Last)
    return;
  Of.m_Phase = Of.m_MayRun ? Phase::Unknown : Phase::Refused;
  if (!Of.m_MayRun)
    m_Books.refused(Of.m_Facts.m_Id, Now);
}

void QueueCallers::followed(Job &Of, const HttpClientResponse &Answer,
                            core::Time Now) {
  constexpr int Ok = 200;
  constexpr int Gone = 410;
  std::string State;
  if (Answer.m_Status == Gone)
    State = "gone";
  else if (Answer.m_Status == Ok)
    State = Json::parse(Answer.m_Body).value("state", "");
  if (State.empty() || State == "queued" || State == "running")
    return;
  m_Books.shown(Of.m_Facts.m_Id, State, Now);
  Of.m_Phase = Phase::Ended;
}

} // namespace fireflydrift::standin
