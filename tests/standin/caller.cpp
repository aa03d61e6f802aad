// A stand-in for callers: submits a mix of jobs generated from a seed, polls
// each job through any server until it has an outcome, and counts lost jobs
// and, of jobs that must not run twice, tasks that started more than once. The
// starts are those that targets recorded.
#include "messages/json.h"
#include "runtime/http_client.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <random>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::runtime;
using Json = nlohmann::json;

namespace {

struct Options {
  std::vector<std::pair<std::string, std::uint16_t>> m_Servers;
  int m_Jobs = 20;
  int m_MaxOpen = 8;
  unsigned m_Seed = 1;
  int m_GangPercent = 20;
  int m_OncePercent = 20;
  int m_RunMs = 50;
  std::string m_Starts;
  std::string m_Label = "demo";
  // The two workspaces of the jobs.
  std::string m_FirstWorkspace = "reports";
  std::string m_SecondWorkspace = "checks";
  int m_TimeoutSeconds = 100;
};

struct Request {
  job::JobSpec m_Spec;
  bool m_Accepted = false;
  bool m_Done = false;
  bool m_AnswerMismatch = false;
  std::string m_Outcome;
  int m_Attempts = 0;
  core::Time m_NextAt;
  bool m_InFlight = false;
  core::Time m_SentAt;
  core::Time m_DoneAt;
};

class Caller {
public:
  Caller(Loop &EventLoop, Options Values)
      : m_Loop(EventLoop), m_Options(std::move(Values)), m_Client(EventLoop),
        m_Random(m_Options.m_Seed) {
    for (int I = 0; I < m_Options.m_Jobs; ++I)
      m_Requests.push_back(makeRequest(I));
  }

  [[nodiscard]] bool isDone() const { return m_DoneCount == m_Requests.size(); }
  [[nodiscard]] const std::vector<Request> &requests() const {
    return m_Requests;
  }

  void tick() {
    core::Time Now = m_Loop.now();
    m_Client.expire(Now);
    int Open = 0;
    for (std::size_t I = m_FirstOpen; I < m_Requests.size(); ++I) {
      Request &Each = m_Requests[I];
      if (Each.m_Done) {
        if (I == m_FirstOpen)
          ++m_FirstOpen;
        continue;
      }
      if (++Open > m_Options.m_MaxOpen)
        break;
      if (!Each.m_InFlight && Now >= Each.m_NextAt)
        send(Each);
    }
  }

private:
  Request makeRequest(int Number) {
    auto Percent = [this](int Share) {
      return static_cast<int>(m_Random() % 100) < Share;
    };
    bool Gang = Percent(m_Options.m_GangPercent);
    bool RunsOnce = Percent(m_Options.m_OncePercent);
    std::string Id = m_Options.m_Label + "-" +
                     std::to_string(m_Options.m_Seed) + "-" +
                     std::to_string(Number);
    core::Duration RunTime(1 +
                           static_cast<int>(m_Random()) % m_Options.m_RunMs);
    RunTime = core::Duration(std::abs(RunTime.count()) + 1);
    bool InFirstWorkspace = Percent(50);
    return {.m_Spec = {
                .m_Key = {core::WorkspaceId(InFirstWorkspace
                                                ? m_Options.m_FirstWorkspace
                                                : m_Options.m_SecondWorkspace),
                          core::RequestId(Id)},
                .m_Shape = {.m_Tasks = Gang ? static_cast<std::uint32_t>(
                                                  2 + m_Random() % 7)
                                            : 1U,
                            .m_PerTask = {1, 1, 64},
                            .m_Adjacency = Gang ? core::Adjacency::Required
                                                : core::Adjacency::None},
                .m_RunTime = RunTime,
                .m_Idempotent = !RunsOnce,
                .m_Labels = core::Labels(std::map<std::string, std::string>{
                    {"kind", Gang ? "report" : "check"}}),
                .m_Body = Id + " run_ms=" + std::to_string(RunTime.count())}};
  }

  void send(Request &Current) {
    Current.m_InFlight = true;
    ++Current.m_Attempts;
    if (Current.m_SentAt == core::Time())
      Current.m_SentAt = m_Loop.now();
    const auto &[Host, Port] =
        m_Options.m_Servers[m_Random() % m_Options.m_Servers.size()];
    const core::JobKey &Key = Current.m_Spec.m_Key;
    HttpClientRequest Call{
        .m_Method = Current.m_Accepted ? "GET" : "POST",
        .m_Host = Host,
        .m_Port = Port,
        .m_Path = Current.m_Accepted
                      ? "/v1/jobs/" + core::toString(Key) + "?wait_ms=2000"
                      : std::string("/v1/jobs"),
        .m_Body = Current.m_Accepted ? std::string()
                                     : messages::encodeJobSpec(Current.m_Spec),
        .m_Timeout = core::Duration(4000)};
    m_Client.send(Call, [this, &Current](
                            const std::optional<HttpClientResponse> &Answer) {
      Current.m_InFlight = false;
      handleAnswer(Current, Answer);
    });
  }

  void handleAnswer(Request &Current,
                    const std::optional<HttpClientResponse> &Answer) {
    constexpr core::Duration RetryDelay{100};
    Current.m_NextAt = m_Loop.now() + RetryDelay;
    if (!Answer)
      return;
    Json Body = Json::parse(Answer->m_Body, nullptr, false);
    if (!Body.is_object())
      return;
    bool IsSuccess = Answer->m_Status == 200 || Answer->m_Status == 202;
    if (!IsSuccess) {
      // 503 and 429 are retried; any other status ends the request.
      bool Retryable = Answer->m_Status == 503 || Answer->m_Status == 429;
      if (!Retryable)
        finish(Current, "http " + std::to_string(Answer->m_Status));
      return;
    }
    Current.m_Accepted = true;
    Current.m_NextAt = m_Loop.now();
    std::string Outcome = Body.value("outcome", "");
    if (Outcome == "queued" || Outcome == "running")
      return;
    if (Outcome == "answered")
      Current.m_AnswerMismatch = !hasExpectedAnswers(Current, Body);
    finish(Current, Outcome);
  }

  static bool hasExpectedAnswers(const Request &Current, const Json &Body) {
    std::string Expected = "done:" + Current.m_Spec.m_Body;
    const Json Answers = Body.value("answers", Json::array());
    return Answers.size() == Current.m_Spec.m_Shape.m_Tasks &&
           std::all_of(Answers.begin(), Answers.end(),
                       [&](const Json &One) { return One == Expected; });
  }

  void finish(Request &Current, std::string Outcome) {
    Current.m_Done = true;
    Current.m_Outcome = std::move(Outcome);
    Current.m_DoneAt = m_Loop.now();
    ++m_DoneCount;
  }

  Loop &m_Loop;
  Options m_Options;
  HttpClient m_Client;
  std::minstd_rand m_Random;
  std::vector<Request> m_Requests;
  std::size_t m_FirstOpen = 0;
  std::size_t m_DoneCount = 0;
};

// Number of starts that targets recorded, by job and task.
using StartCounts = std::map<std::string, std::map<std::string, int>>;

} // namespace

static StartCounts readStarts(const std::string &FileName) {
  StartCounts Counts;
  std::ifstream Stream(FileName);
  std::string Key;
  std::string Attempt;
  std::string Task;
  while (Stream >> Key >> Attempt >> Task)
    ++Counts[Key][Task];
  return Counts;
}

static int summarise(const Caller &Client, const StartCounts &Counts,
                     const std::string &Name) {
  int Accepted = 0;
  int Answered = 0;
  int Lost = 0;
  int Duplicates = 0;
  int FalseNotRun = 0;
  std::map<std::string, int> Outcomes;
  std::vector<core::Duration> Times;
  for (const Request &Each : Client.requests()) {
    std::string Key = core::toString(Each.m_Spec.m_Key);
    auto Started = Counts.find(Key);
    bool RunsOnce = !Each.m_Spec.m_Idempotent;
    if (Started != Counts.end() && RunsOnce)
      for (const auto &[Task, Count] : Started->second)
        Duplicates += Count > 1 ? 1 : 0;
    if (!Each.m_Accepted)
      continue;
    ++Accepted;
    ++Outcomes[Each.m_Done ? Each.m_Outcome : "none"];
    bool Correct = Each.m_Outcome == "answered" && !Each.m_AnswerMismatch;
    // "unknown" is a correct outcome for a job that must not run twice, and
    // counts as answered.
    bool UnknownAllowed = Each.m_Outcome == "unknown" && RunsOnce;
    Answered += Correct || UnknownAllowed ? 1 : 0;
    Lost += Correct || UnknownAllowed ? 0 : 1;
    FalseNotRun +=
        Each.m_Outcome == "not_run" && Started != Counts.end() ? 1 : 0;
    if (Each.m_Done)
      Times.push_back(Each.m_DoneAt - Each.m_SentAt);
  }
  for (const auto &[Outcome, Count] : Outcomes)
    std::cout << Name << ": outcome " << Outcome << ": " << Count << "\n";
  std::sort(Times.begin(), Times.end());
  if (!Times.empty())
    std::cout << Name << ": milliseconds to the outcome: median "
              << Times[Times.size() / 2].count() << ", 99 of 100 within "
              << Times[Times.size() * 99 / 100].count() << "\n";
  std::cout << Name << ": " << Accepted << " accepted, " << Answered
            << " answered, " << Lost << " lost, " << Duplicates << " doubled";
  if (Name == "failover")
    std::cout << ", " << FalseNotRun << " false not-run";
  std::cout << std::endl;
  bool Good = Accepted == static_cast<int>(Client.requests().size()) &&
              Lost == 0 && Duplicates == 0 && FalseNotRun == 0;
  return Good ? 0 : 1;
}

int main(int Argc, char **Argv) {
  Options Values;
  char *Servers = nullptr;
  char *StartsFile = nullptr;
  char *Name = nullptr;
  char *Workspace = nullptr;
  int Seed = 1;
  const poptOption Table[] = {
      {"servers", 0, POPT_ARG_STRING, &Servers, 0, "host:port,...", nullptr},
      {"jobs", 0, POPT_ARG_INT, &Values.m_Jobs, 0, "Number of jobs", nullptr},
      {"open", 0, POPT_ARG_INT, &Values.m_MaxOpen, 0,
       "Most jobs without an outcome at once", nullptr},
      {"seed", 0, POPT_ARG_INT, &Seed, 0, "Random seed", nullptr},
      {"gangs", 0, POPT_ARG_INT, &Values.m_GangPercent, 0,
       "Percentage of gang jobs", nullptr},
      {"once", 0, POPT_ARG_INT, &Values.m_OncePercent, 0,
       "Percentage of jobs that must not run twice", nullptr},
      {"run-ms", 0, POPT_ARG_INT, &Values.m_RunMs, 0,
       "Longest run time in milliseconds", nullptr},
      {"starts", 0, POPT_ARG_STRING, &StartsFile, 0,
       "File of the starts that targets recorded", nullptr},
      {"name", 0, POPT_ARG_STRING, &Name, 0,
       "Prefix of the request ids and of the printed lines", nullptr},
      {"workspace", 0, POPT_ARG_STRING, &Workspace, 0,
       "One workspace for all jobs", nullptr},
      {"timeout", 0, POPT_ARG_INT, &Values.m_TimeoutSeconds, 0,
       "Time limit in seconds", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext(
      "standin_caller", Argc, const_cast<const char **>(Argv), Table, 0);
  if (poptGetNextOpt(Context) < -1 || !Servers || !StartsFile || !Name)
    return 2;
  Values.m_Seed = static_cast<unsigned>(Seed);
  Values.m_Label = Name;
  if (Workspace)
    Values.m_FirstWorkspace = Values.m_SecondWorkspace = Workspace;
  std::istringstream Stream{std::string(Servers)};
  std::string Part;
  while (std::getline(Stream, Part, ',')) {
    auto Colon = Part.find(':');
    Values.m_Servers.emplace_back(
        Part.substr(0, Colon),
        static_cast<std::uint16_t>(std::atoi(Part.c_str() + Colon + 1)));
  }
  std::signal(SIGPIPE, SIG_IGN);
  Loop EventLoop;
  Caller Client(EventLoop, Values);
  core::Time End =
      EventLoop.now() + std::chrono::seconds(Values.m_TimeoutSeconds);
  EventLoop.run([&] {
    Client.tick();
    if (Client.isDone() || EventLoop.now() >= End)
      EventLoop.stop();
    return core::Duration(10);
  });
  return summarise(Client, readStarts(StartsFile), Name);
}
