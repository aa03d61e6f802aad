// A stand-in for the users' platform: workers that fetch their orders, an
// operator that sends a manifest, and consumers that hand in jobs and follow
// them. Counts from what it saw what was lost or done twice.
#include "runtime/http_client.h"

#include <csignal>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <set>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::runtime;
using Json = nlohmann::json;

namespace {

struct Options {
  std::vector<std::string> m_Controls;
  std::uint16_t m_ControlPort = 0;
  std::string m_Entry;
  std::uint16_t m_EntryPort = 0;
  int m_Jobs = 40;
};

struct Run {
  int m_Number = 0;
  core::Time m_EndsAt;
};

struct Worker {
  std::string m_Id;
  std::size_t m_Control = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Ends = 0;
  bool m_InFlight = false;
  core::Time m_NextAt;
  std::map<std::string, Run> m_Runs;
  std::map<std::string, int> m_Barred;
  Json m_Ended = Json::array();
};

struct Job {
  std::string m_Id;
  bool m_InFlight = false;
  bool m_Accepted = false;
  bool m_Done = false;
  core::Time m_NextAt;
};

constexpr core::Duration RunTime{300};
constexpr core::Duration TaskRetry{300};
constexpr int TasksPerJob = 2;

class Platform {
public:
  Platform(Loop &On, Options Values)
      : m_Loop(On), m_Options(std::move(Values)), m_Client(On) {
    constexpr int Workers = 4;
    for (int I = 0; I < Workers; ++I)
      m_Workers.push_back({.m_Id = "i-" + std::to_string(I),
                           .m_Control = static_cast<std::size_t>(I)});
    for (int I = 0; I < m_Options.m_Jobs; ++I) {
      std::string Number = std::to_string(I);
      m_Jobs.push_back({.m_Id = std::string(16 - Number.size(), '0') + Number});
    }
  }

  [[nodiscard]] bool isDone() const { return m_Completed == m_Jobs.size(); }

  void turn() {
    core::Time Now = m_Loop.now();
    m_Client.expire(Now);
    sendManifest(Now);
    for (Worker &Each : m_Workers) {
      finishRuns(Each, Now);
      if (!Each.m_InFlight && Now >= Each.m_NextAt)
        beat(Each, Now);
    }
    for (Job &Each : m_Jobs)
      if (m_ManifestTaken && !Each.m_Done && !Each.m_InFlight &&
          Now >= Each.m_NextAt)
        follow(Each, Now);
  }

  void print() const {
    std::size_t Accepted = 0;
    for (const Job &Each : m_Jobs)
      Accepted += Each.m_Accepted ? 1 : 0;
    std::cout << "platform: " << Accepted << " accepted, " << m_Completed
              << " completed, " << Accepted - m_Completed << " lost, "
              << m_Doubled << " doubled" << std::endl;
  }
  [[nodiscard]] bool isSound() const { return isDone() && m_Doubled == 0; }

private:
  // ---- Operator ----------------------------------------------------------

  void sendManifest(core::Time Now) {
    if (m_ManifestTaken || m_ManifestInFlight || Now < m_ManifestAt)
      return;
    m_ManifestInFlight = true;
    Json Route{{"name", "q"},         {"host", m_Options.m_Entry},
               {"pathPrefix", "/q/"}, {"kind", "non_idempotent"},
               {"timeoutMs", 3000},   {"targetLatencyMs", 1000},
               {"priority", 1},       {"service", "pool"},
               {"maxAttempts", 3},    {"slackFactor", 2.0},
               {"public", true}};
    Json Body{{"version", 1},
              {"routes", {Route}},
              {"services", {{{"name", "pool"}}}},
              {"limits", Json::object()},
              {"tenants", Json::array()}};
    m_Client.send({.m_Method = "PUT",
                   .m_Host = m_Options.m_Controls[m_ManifestTries++ %
                                                  m_Options.m_Controls.size()],
                   .m_Port = m_Options.m_ControlPort,
                   .m_Path = "/-/configuration",
                   .m_Body = Body.dump()},
                  [this](const std::optional<HttpAnswer> &Answer) {
                    m_ManifestInFlight = false;
                    m_ManifestTaken = Answer && Answer->m_Status == 200;
                    m_ManifestAt = m_Loop.now() + TaskRetry;
                  });
  }

  // ---- Workers -----------------------------------------------------------

  void finishRuns(Worker &Of, core::Time Now) {
    std::erase_if(Of.m_Runs, [&](const auto &Each) {
      const auto &[Name, Value] = Each;
      if (Now < Value.m_EndsAt)
        return false;
      end(Of, Name, Value.m_Number, "done");
      m_Done.insert(Name);
      return true;
    });
  }

  static void end(Worker &Of, const std::string &Name, int Number,
                  const char *How) {
    Of.m_Barred[Name] = std::max(Of.m_Barred[Name], Number);
    Of.m_Ended.push_back({++Of.m_Ends, Name, Number, How, ""});
  }

  void beat(Worker &Of, core::Time Now) {
    Of.m_InFlight = true;
    Json Running = Json::array();
    for (const auto &[Name, Value] : Of.m_Runs)
      Running.push_back({Name, Value.m_Number, "", 50});
    Json Body{
        {"service", "pool"},
        {"address", Of.m_Id + ":80"},
        {"zone", "z"},
        {"state", "ready"},
        {"born", 1},
        {"sequence", ++Of.m_Sequence},
        {"labels", {"a", "r1"}},
        {"capacity", {{"cpu", 8000}, {"memoryLimitMb", 8000}, {"gpu", 4}}},
        {"running", Running},
        {"ended", Of.m_Ended}};
    constexpr core::Duration AnswerWithin{1000};
    m_Client.send(
        {.m_Method = "PUT",
         .m_Host =
             m_Options.m_Controls[Of.m_Control % m_Options.m_Controls.size()],
         .m_Port = m_Options.m_ControlPort,
         .m_Path = "/-/instances/" + Of.m_Id,
         .m_Body = Body.dump(),
         .m_Timeout = AnswerWithin},
        [this, &Of, Now](const std::optional<HttpAnswer> &Answer) {
          Of.m_InFlight = false;
          take(Of, Answer, Now);
        });
  }

  void take(Worker &Of, const std::optional<HttpAnswer> &Answer,
            core::Time SentAt) {
    core::Time Now = m_Loop.now();
    bool Counts = Answer && Answer->m_Status == 200 &&
                  Now - SentAt <= std::chrono::seconds(1);
    if (!Counts) {
      ++Of.m_Control;
      Of.m_NextAt = Now + core::Duration(100);
      return;
    }
    Json Orders = Json::parse(Answer->m_Body);
    nameLeader(Orders.value("heartbeatAddress", ""));
    Of.m_NextAt = Now + core::Duration(Orders.value("retryAfterMs", 1500));
    auto Through = Orders.value("ackedThrough", std::uint64_t{0});
    Json Left = Json::array();
    for (const Json &Each : Of.m_Ended)
      if (Each[0].get<std::uint64_t>() > Through)
        Left.push_back(Each);
    Of.m_Ended = std::move(Left);
    for (const Json &Each : Orders.value("stop", Json::array()))
      if (Of.m_Runs.erase(Each[0].get<std::string>()) > 0)
        end(Of, Each[0].get<std::string>(), Each[1].get<int>(), "stopped");
    for (const Json &Each : Orders.value("start", Json::array()))
      start(Of, Each[0].get<std::string>(), Each[1].get<int>(), Now);
  }

  void start(Worker &Of, const std::string &Name, int Number, core::Time Now) {
    if (Of.m_Runs.contains(Name))
      return;
    if (Of.m_Barred.contains(Name) && Number <= Of.m_Barred[Name])
      return end(Of, Name, Number, "refused");
    bool Elsewhere = m_Done.contains(Name);
    for (const Worker &Each : m_Workers)
      Elsewhere = Elsewhere || Each.m_Runs.contains(Name);
    m_Doubled += Elsewhere ? 1 : 0;
    Of.m_Runs[Name] = {.m_Number = Number, .m_EndsAt = Now + RunTime};
  }

  // Tells the script who leads, so that it knows whom to kill.
  void nameLeader(const std::string &Address) {
    std::string Host = Address.substr(0, Address.find(':'));
    if (Host == m_Leader || Host.empty())
      return;
    m_Leader = Host;
    std::cout << "leader " << Host << std::endl;
  }

  // ---- Consumers -----------------------------------------------------------

  void follow(Job &Of, core::Time Now) {
    Of.m_InFlight = true;
    Of.m_NextAt = Now + TaskRetry;
    Json Step{
        {"count", TasksPerJob}, {"cpu", 500},         {"gpu", 1},
        {"memoryLimitMb", 100}, {"estimatedMs", 300}, {"gangScheduled", true}};
    Json Body{{"spec", "work"}, {"steps", {Step}}};
    m_Client.send({.m_Method = Of.m_Accepted ? "GET" : "POST",
                   .m_Host = m_Options.m_Entry,
                   .m_Port = m_Options.m_EntryPort,
                   .m_Path = "/q/" + Of.m_Id,
                   .m_Body = Of.m_Accepted ? "" : Body.dump(),
                   .m_Timeout = core::Duration(6000)},
                  [this, &Of](const std::optional<HttpAnswer> &Answer) {
                    Of.m_InFlight = false;
                    if (!Answer || Answer->m_Status != 200)
                      return;
                    Of.m_Accepted = true;
                    Json Said = Json::parse(Answer->m_Body);
                    if (Said.value("state", "") != "completed")
                      return;
                    Of.m_Done = true;
                    ++m_Completed;
                    if (m_Completed == m_Jobs.size() / 2)
                      std::cout << "half" << std::endl;
                  });
  }

  Loop &m_Loop;
  Options m_Options;
  HttpClient m_Client;
  std::vector<Worker> m_Workers;
  std::vector<Job> m_Jobs;
  std::set<std::string> m_Done;
  std::size_t m_Completed = 0;
  std::size_t m_Doubled = 0;
  std::string m_Leader;
  bool m_ManifestTaken = false;
  bool m_ManifestInFlight = false;
  std::size_t m_ManifestTries = 0;
  core::Time m_ManifestAt;
};

} // namespace

// Usage: standin_platform CONTROL_HOSTS CONTROL_PORT ENTRY_HOST ENTRY_PORT JOBS
int main(int Count, char **Words) {
  constexpr int WordCount = 6;
  if (Count != WordCount)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  Options Values{.m_ControlPort =
                     static_cast<std::uint16_t>(std::stoi(Words[2])),
                 .m_Entry = Words[3],
                 .m_EntryPort = static_cast<std::uint16_t>(std::stoi(Words[4])),
                 .m_Jobs = std::stoi(Words[5])};
  std::istringstream Hosts(Words[1]);
  std::string Host;
  while (std::getline(Hosts, Host, ','))
    Values.m_Controls.push_back(Host);
  Loop On;
  Platform Self(On, Values);
  constexpr core::Duration Turn{20};
  constexpr core::Duration GivesUpAfter{120000};
  core::Time End = On.now() + GivesUpAfter;
  On.run([&] {
    Self.turn();
    if (Self.isDone() || On.now() >= End)
      On.stop();
    return Turn;
  });
  Self.print();
  return Self.isSound() ? 0 : 1;
}
