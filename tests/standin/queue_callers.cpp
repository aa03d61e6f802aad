#include "standin/queue_callers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

static constexpr int MaxAttempts = 8;
static constexpr core::Duration RetryDelay{400};
static constexpr core::Duration PollInterval{400};
// How long a caller waits for one answer.
static constexpr core::Duration ResponseTimeout{3000};
// Connections that stay open to each entry VM between requests.
static constexpr std::size_t MaxIdleConnections = 8;

QueueCallers::QueueCallers(runtime::Loop &EventLoop, HistoryChecker &Checker,
                           CallerOptions Options)
    : m_Loop(EventLoop), m_Checker(Checker), m_Options(std::move(Options)),
      m_Client(EventLoop, {.m_MaxPooledConnections = MaxIdleConnections}),
      m_Random(m_Options.m_Seed) {}

bool QueueCallers::isDone() const {
  bool AllAdded = m_Stopped || m_Jobs.size() >= m_Options.m_Jobs;
  return AllAdded &&
         std::all_of(m_Jobs.begin(), m_Jobs.end(), [](const auto &Each) {
           return Each->m_Phase != Phase::Submitting &&
                  Each->m_Phase != Phase::Polling && !Each->m_InFlight;
         });
}

std::size_t QueueCallers::count(Phase Value) const {
  return static_cast<std::size_t>(
      std::count_if(m_Jobs.begin(), m_Jobs.end(),
                    [&](const auto &Each) { return Each->m_Phase == Value; }));
}

std::size_t QueueCallers::ended() const { return count(Phase::Ended); }

std::size_t QueueCallers::unknown() const { return count(Phase::Unknown); }

// ---- Jobs ------------------------------------------------------------------

JobDescription QueueCallers::drawJob() {
  auto Draw = [&](int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(m_Random);
  };
  std::string Digits = std::to_string(m_Jobs.size());
  constexpr std::size_t IdLength = 16;
  JobDescription Description{
      .m_Id = std::string(IdLength - Digits.size(), '0') + Digits,
      .m_Body = "work of job " + Digits};
  auto Step = [&](bool Gang) {
    return StepDescription{.m_Tasks = Gang ? Draw(2, 5) : Draw(1, 3),
                           .m_Gang = Gang,
                           .m_Checkpointing = Draw(0, 2) == 0,
                           .m_RunTime = core::Duration(Draw(100, 1500))};
  };
  Description.m_Steps.push_back(Step(Draw(0, 1) == 0));
  if (Draw(0, 4) == 0) {
    Description.m_Steps.push_back(Step(Draw(0, 1) == 0));
    Description.m_Steps.back().m_Dependencies = {0};
  }
  return Description;
}

void QueueCallers::addDueJob(core::Time Now) {
  bool Due =
      !m_Stopped && m_Jobs.size() < m_Options.m_Jobs && Now >= m_NextJobAt;
  if (!Due)
    return;
  auto Percent = [&] {
    constexpr int Hundred = 100;
    return std::uniform_int_distribution<int>(1, Hundred)(m_Random);
  };
  std::exponential_distribution<double> Gap(
      1.0 / static_cast<double>(m_Options.m_MeanInterval.count()));
  m_NextJobAt = Now + core::Duration(static_cast<int>(Gap(m_Random)) + 1);
  auto New = std::make_unique<Job>();
  New->m_Description = drawJob();
  bool Extra = !m_ExtraKey.empty() && Percent() <= m_Options.m_ExtraKeyPercent;
  New->m_Key = Extra ? m_ExtraKey : m_Options.m_Key;
  constexpr core::Duration FollowUpDelay{1200};
  if (Percent() <= m_Options.m_CancelPercent)
    New->m_CancelAt = Now + FollowUpDelay;
  if (Percent() <= m_Options.m_ResendPercent)
    New->m_ResendAt = Now + 2 * FollowUpDelay;
  m_Checker.recordSubmission(New->m_Description);
  m_Jobs.push_back(std::move(New));
}

static std::string encode(const JobDescription &Description) {
  constexpr int Cpu = 500;
  constexpr int MemoryMb = 100;
  Json Steps = Json::array();
  for (const StepDescription &Each : Description.m_Steps)
    Steps.push_back({{"count", Each.m_Tasks},
                     {"cpu", Cpu},
                     {"memoryLimitMb", MemoryMb},
                     {"gpu", 1},
                     {"estimatedMs", Each.m_RunTime.count()},
                     {"gangScheduled", Each.m_Gang},
                     {"checkpointing", Each.m_Checkpointing},
                     {"dependencies", Each.m_Dependencies}});
  return Json{{"spec", Description.m_Body}, {"steps", Steps}}.dump();
}

// ---- Calls -----------------------------------------------------------------

const char *QueueCallers::nextMethod(const Job &Submission, core::Time Now) {
  bool Resends = Submission.m_ResendAt && Now >= *Submission.m_ResendAt;
  if (Submission.m_Phase == Phase::Polling && Submission.m_CancelAt &&
      Now >= *Submission.m_CancelAt)
    return "DELETE";
  if (Submission.m_Phase == Phase::Submitting ||
      (Submission.m_Phase == Phase::Polling && Resends))
    return "POST";
  return Submission.m_Phase == Phase::Polling ? "GET" : nullptr;
}

void QueueCallers::tick(core::Time Now) {
  m_Client.expire(Now);
  addDueJob(Now);
  for (const std::unique_ptr<Job> &Each : m_Jobs) {
    if (Each->m_InFlight || Now < Each->m_NextAt)
      continue;
    if (const char *Method = nextMethod(*Each, Now))
      call(*Each, Method, Now);
  }
}

void QueueCallers::call(Job &Submission, const char *Method, core::Time Now) {
  Submission.m_InFlight = true;
  std::string Verb = Method;
  std::uniform_int_distribution<std::size_t> Pick(
      0, m_Options.m_Entries.size() - 1);
  const Endpoint &To = m_Options.m_Entries[Pick(m_Random)];
  // Only submissions of jobs not yet accepted use the extra key: it may be
  // revoked, and the system must then reject them. All other requests use the
  // permanent key.
  bool Submits = Submission.m_Phase == Phase::Submitting;
  m_Client.send(
      {.m_Method = Verb,
       .m_Host = To.m_Host,
       .m_Port = To.m_Port,
       .m_Path = "/q/" + Submission.m_Description.m_Id,
       .m_Body = Verb == "POST" ? encode(Submission.m_Description) : "",
       .m_Headers = {{"x-fireflydrift-key",
                      Submits ? Submission.m_Key : m_Options.m_Key},
                     {"x-fireflydrift-deadline-ms",
                      std::to_string(ResponseTimeout.count())}},
       .m_Timeout = ResponseTimeout},
      [this, &Submission, Verb, Submits,
       SentAt = Now](const std::optional<HttpClientResponse> &Answer) {
        Submission.m_InFlight = false;
        core::Time ReceivedAt = m_Loop.now();
        Submission.m_NextAt =
            ReceivedAt + (Submits ? RetryDelay : PollInterval);
        int Status = Answer ? Answer->m_Status : 0;
        constexpr int Ok = 200;
        if (Submits)
          return handleSubmitAnswer(Submission, Status, SentAt, ReceivedAt);
        if (Verb == "POST" && Status == Ok)
          Submission.m_ResendAt.reset();
        if (Verb == "DELETE" && Status == Ok) {
          Submission.m_CancelAt.reset();
          m_Checker.recordCancellation(Submission.m_Description.m_Id,
                                       ReceivedAt);
        }
        if (Verb == "GET" && Answer)
          handleStateAnswer(Submission, *Answer, ReceivedAt);
      });
}

void QueueCallers::handleSubmitAnswer(Job &Submission, int Status,
                                      core::Time SentAt, core::Time Now) {
  constexpr int Ok = 200;
  constexpr int Unauthorized = 401;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  if (Status == Ok) {
    m_Checker.recordKeyAccepted(Submission.m_Key, SentAt, Now);
    m_Checker.recordAcceptance(Submission.m_Description.m_Id);
    Submission.m_Phase = Phase::Polling;
    return;
  }
  bool NeverRuns =
      Status == TooMany || Status == Unavailable || Status == Unauthorized;
  Submission.m_MayRun = Submission.m_MayRun || !NeverRuns;
  bool Last = ++Submission.m_Attempts >= MaxAttempts || Status == Unauthorized;
  if (!Last)
    return;
  Submission.m_Phase = Submission.m_MayRun ? Phase::Unknown : Phase::Refused;
  if (!Submission.m_MayRun)
    m_Checker.recordRefusal(Submission.m_Description.m_Id, Now);
}

void QueueCallers::handleStateAnswer(Job &Submission,
                                     const HttpClientResponse &Answer,
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
  m_Checker.recordState(Submission.m_Description.m_Id, State, Now);
  Submission.m_Phase = Phase::Ended;
}

} // namespace fireflydrift::standin
