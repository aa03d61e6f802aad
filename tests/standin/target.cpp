// A stand-in for a target: holds leases, simulates tasks by waiting and reports
// results. By its mode it can also finish late, fail every task, or, from the
// first start of a task on, stop responding ("silent") or crash ("dying").
#include "messages/json.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <random>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

namespace {

struct Options {
  target::Announcement m_Announcement;
  std::vector<std::pair<std::string, std::uint16_t>> m_Entries;
  std::string m_Mode = "normal";
  std::string m_StartsFile;
  std::string m_Token;
  core::Duration m_ReportInterval{1000};
  // Number of targets simulated by this process, and how many share a rack.
  int m_Count = 1;
  int m_PerRack = 8;
  // Offset of this target's reports within the interval, so that the reports of
  // several targets are spread evenly.
  core::Duration m_ReportOffset{0};
};

struct Task {
  core::Time m_EndsAt;
  bool m_Ended = false;
};

struct HeldLease {
  control::Call m_Call;
  bool m_Started = false;
  std::map<std::uint32_t, Task> m_Tasks;
};

constexpr core::Duration LateDelay{700};

// One simulated target.
class StandinTarget {
public:
  StandinTarget(Loop &EventLoop, HttpClient &Client, Options Values)
      : m_Loop(EventLoop), m_Options(std::move(Values)), m_Client(Client),
        m_Starts(m_Options.m_StartsFile, std::ios::app),
        m_ReportedAt(EventLoop.now() - m_Options.m_ReportInterval +
                     m_Options.m_ReportOffset),
        m_LeaseEnd(EventLoop.now() + core::Duration(60000)) {}

  void handle(const HttpRequest &Request, const control::Call &Call,
              const Responder &Respond) {
    if (m_Options.m_Mode == "silent" && m_HasStarted)
      return;
    control::CallOutcome Outcome = control::CallOutcome::Refused;
    if (Request.m_Path == "/v1/reserve")
      Outcome = reserve(Call);
    else if (Request.m_Path == "/v1/start")
      Outcome = start(Call);
    else if (Request.m_Path == "/v1/stop")
      Outcome = stop(Call);
    Respond({.m_Body = messages::encodeCallOutcome(Outcome)});
  }

  void tick() {
    core::Time Now = m_Loop.now();
    if (m_Options.m_Mode == "silent" && m_HasStarted)
      return;
    if (Now >= m_LeaseEnd)
      m_Leases.clear();
    endTasks(Now);
    bool Due = Now - m_ReportedAt >= m_Options.m_ReportInterval ||
               (!m_Results.empty() && m_FailedReports == 0);
    if (!m_Reporting && Due)
      report(Now);
  }

  void deregister() {
    send("DELETE", "/v1/targets/" + m_Options.m_Announcement.m_Id.text(), "",
         [](const std::optional<HttpClientResponse> &) {});
  }

private:
  control::CallOutcome reserve(const control::Call &Value) {
    std::uint64_t &FencingToken = m_FencingTokens[Value.m_Lease.m_Job];
    if (Value.m_Lease.m_FencingToken < FencingToken)
      return control::CallOutcome::Refused;
    FencingToken = Value.m_Lease.m_FencingToken;
    auto Found = m_Leases.find(Value.m_Lease);
    if (Found != m_Leases.end())
      return control::CallOutcome::Accepted;
    core::Capacity Free = m_Options.m_Announcement.m_Capacity;
    for (const auto &[Key, Each] : m_Leases)
      Free = Free - Each.m_Call.m_PerTask *
                        static_cast<std::int64_t>(Each.m_Call.m_Tasks.size());
    if (!Free.covers(Value.m_PerTask *
                     static_cast<std::int64_t>(Value.m_Tasks.size())))
      return control::CallOutcome::Refused;
    m_Leases.emplace(Value.m_Lease, HeldLease{.m_Call = Value});
    m_LeaseEnd = std::max(m_LeaseEnd, m_Loop.now() + Value.m_LeaseLength);
    return control::CallOutcome::Accepted;
  }

  control::CallOutcome start(const control::Call &Value) {
    auto Found = m_Leases.find(Value.m_Lease);
    if (Found == m_Leases.end())
      return m_Finished.contains(Value.m_Lease)
                 ? control::CallOutcome::Accepted
                 : control::CallOutcome::UnknownLease;
    HeldLease &Held = Found->second;
    if (Held.m_Started)
      return control::CallOutcome::Accepted;
    Held.m_Started = true;
    Held.m_Call.m_Body = Value.m_Body;
    m_HasStarted = true;
    core::Time Ends = m_Loop.now() + runTime(Value.m_Body);
    for (std::uint32_t Each : Held.m_Call.m_Tasks) {
      Held.m_Tasks.emplace(Each, Task{.m_EndsAt = Ends});
      m_Starts << core::toString(Value.m_Lease.m_Job) << ' '
               << Value.m_Lease.m_Attempt << ' ' << Each << std::endl;
    }
    if (m_Options.m_Mode == "dying")
      std::_Exit(1);
    return control::CallOutcome::Accepted;
  }

  control::CallOutcome stop(const control::Call &Value) {
    return m_Leases.erase(Value.m_Lease) > 0
               ? control::CallOutcome::Accepted
               : control::CallOutcome::UnknownLease;
  }

  // Reads the run time from "run_ms=N" in the body; 20 ms if there is none.
  // Mode "late" adds LateDelay.
  [[nodiscard]] core::Duration runTime(const std::string &Body) const {
    auto Position = Body.find("run_ms=");
    core::Duration RunTime{20};
    if (Position != std::string::npos)
      RunTime = core::Duration(std::atoll(Body.c_str() + Position + 7));
    return m_Options.m_Mode == "late" ? RunTime + LateDelay : RunTime;
  }

  void endTasks(core::Time Now) {
    std::vector<control::Lease> Ended;
    for (auto &[Key, Held] : m_Leases) {
      bool Unfinished = !Held.m_Started;
      for (auto &[Index, Each] : Held.m_Tasks) {
        if (!Each.m_Ended && Now >= Each.m_EndsAt) {
          Each.m_Ended = true;
          m_Results.push_back({.m_Job = Key.m_Job,
                               .m_Attempt = Key.m_Attempt,
                               .m_Task = Index,
                               .m_Succeeded = m_Options.m_Mode != "failing",
                               .m_Answer = "done:" + Held.m_Call.m_Body});
        }
        Unfinished = Unfinished || !Each.m_Ended;
      }
      if (!Unfinished)
        Ended.push_back(Key);
    }
    for (const control::Lease &Key : Ended) {
      m_Finished.insert(Key);
      m_Leases.erase(Key);
    }
  }

  void send(const std::string &Method, const std::string &Path,
            const std::string &Body, HttpCallback Callback) {
    const auto &[Host, Port] = m_Options.m_Entries[m_Entry];
    m_Client.send({.m_Method = Method,
                   .m_Host = Host,
                   .m_Port = Port,
                   .m_Path = Path,
                   .m_Body = Body,
                   .m_Token = m_Options.m_Token,
                   .m_Timeout = core::Duration(3000)},
                  std::move(Callback));
  }

  void handleReportFailure() {
    ++m_FailedReports;
    m_Registered = false;
    m_Entry = (m_Entry + 1) % m_Options.m_Entries.size();
  }

  void announce() {
    m_Reporting = true;
    send("POST", "/v1/targets",
         messages::encodeAnnouncement(m_Options.m_Announcement),
         [this](const std::optional<HttpClientResponse> &Answer) {
           m_Reporting = false;
           // The system has declared this instance lost: its leases are void,
           // and it announces itself again as a new instance.
           if (Answer && Answer->m_Status == 409) {
             m_Leases.clear();
             ++m_Options.m_Announcement.m_Incarnation;
             return;
           }
           if (!Answer || Answer->m_Status != 200)
             return handleReportFailure();
           m_Registered = true;
           m_FailedReports = 0;
         });
  }

  void report(core::Time Now) {
    m_ReportedAt = Now;
    if (!m_Registered)
      return announce();
    m_Reporting = true;
    std::size_t Sent = m_Results.size();
    messages::TargetReport Value{.m_Incarnation =
                                     m_Options.m_Announcement.m_Incarnation,
                                 .m_Results = m_Results};
    send("POST",
         "/v1/targets/" + m_Options.m_Announcement.m_Id.text() + "/reports",
         messages::encodeReport(Value),
         [this, Sent](const std::optional<HttpClientResponse> &Answer) {
           m_Reporting = false;
           if (!Answer || Answer->m_Status != 200)
             return handleReportFailure();
           m_FailedReports = 0;
           m_Results.erase(m_Results.begin(),
                           m_Results.begin() +
                               static_cast<std::ptrdiff_t>(Sent));
           auto Reply = messages::decodeReportReply(Answer->m_Body);
           if (!Reply)
             return handleReportFailure();
           m_Registered = Reply->m_Known;
           if (Reply->m_LeaseDuration > core::Duration::zero())
             m_LeaseEnd = m_Loop.now() + Reply->m_LeaseDuration;
         });
  }

  Loop &m_Loop;
  Options m_Options;
  HttpClient &m_Client;
  std::ofstream m_Starts;
  std::map<control::Lease, HeldLease> m_Leases;
  std::set<control::Lease> m_Finished;
  std::map<core::JobKey, std::uint64_t> m_FencingTokens;
  std::vector<control::TaskResult> m_Results;
  std::size_t m_Entry = 0;
  int m_FailedReports = 0;
  bool m_Registered = false;
  bool m_Reporting = false;
  bool m_HasStarted = false;
  core::Time m_ReportedAt;
  core::Time m_LeaseEnd;
};

volatile std::sig_atomic_t Stopped = 0;

} // namespace

static std::vector<std::pair<std::string, std::uint16_t>>
parseEntries(const std::string &Text) {
  std::vector<std::pair<std::string, std::uint16_t>> Entries;
  std::istringstream Stream(Text);
  std::string Part;
  while (std::getline(Stream, Part, ',')) {
    auto Colon = Part.find(':');
    Entries.emplace_back(
        Part.substr(0, Colon),
        static_cast<std::uint16_t>(std::atoi(Part.c_str() + Colon + 1)));
  }
  return Entries;
}

static Options readOptions(int Argc, const char **Argv) {
  char *Id = nullptr;
  char *Entries = nullptr;
  char *Rack = nullptr;
  char *Domain = nullptr;
  char *Region = nullptr;
  char *Label = nullptr;
  char *Mode = nullptr;
  char *Starts = nullptr;
  int Port = 0;
  int Accelerators = 8;
  int FirstEntry = 0;
  int TargetCount = 1;
  const poptOption Table[] = {
      {"id", 0, POPT_ARG_STRING, &Id, 0, "Target id", nullptr},
      {"port", 0, POPT_ARG_INT, &Port, 0, "Port", nullptr},
      {"entries", 0, POPT_ARG_STRING, &Entries, 0, "host:port,...", nullptr},
      {"first-entry", 0, POPT_ARG_INT, &FirstEntry, 0,
       "Index of the first entry VM to use", nullptr},
      {"rack", 0, POPT_ARG_STRING, &Rack, 0, "Rack", nullptr},
      {"domain", 0, POPT_ARG_STRING, &Domain, 0, "Failure domain", nullptr},
      {"region", 0, POPT_ARG_STRING, &Region, 0, "Region", nullptr},
      {"site", 0, POPT_ARG_STRING, &Label, 0, "Value of the label site",
       nullptr},
      {"mode", 0, POPT_ARG_STRING, &Mode, 0,
       "normal, late, failing, silent or dying", nullptr},
      {"starts", 0, POPT_ARG_STRING, &Starts, 0,
       "File to which starts are appended", nullptr},
      {"accelerators", 0, POPT_ARG_INT, &Accelerators, 0, "Accelerators",
       nullptr},
      {"count", 0, POPT_ARG_INT, &TargetCount, 0,
       "Number of targets in this process", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("standin_target", Argc, Argv, Table, 0);
  if (poptGetNextOpt(Context) < -1 || !Id || !Entries || Port == 0)
    std::exit(2);
  auto TextOr = [](const char *Text, const char *Default) {
    return std::string(Text ? Text : Default);
  };
  constexpr std::int64_t Processors = 64;
  constexpr std::int64_t MemoryMb = 262144;
  std::random_device Random;
  Options Values;
  Values.m_Announcement = {.m_Id = core::TargetId(Id),
                           .m_Host = "127.0.0.1",
                           .m_Port = static_cast<std::uint16_t>(Port),
                           .m_Incarnation = Random(),
                           .m_Region = TextOr(Region, "r1"),
                           .m_FailureDomain = TextOr(Domain, "d1"),
                           .m_Rack = TextOr(Rack, "k1"),
                           .m_Labels =
                               core::Labels(std::map<std::string, std::string>{
                                   {"site", TextOr(Label, "sapporo")}}),
                           .m_Capacity = {Accelerators, Processors, MemoryMb}};
  Values.m_Entries = parseEntries(Entries);
  std::rotate(Values.m_Entries.begin(),
              Values.m_Entries.begin() +
                  FirstEntry % static_cast<int>(Values.m_Entries.size()),
              Values.m_Entries.end());
  Values.m_Count = TargetCount;
  Values.m_Mode = TextOr(Mode, "normal");
  Values.m_StartsFile = TextOr(Starts, "/dev/null");
  poptFreeContext(Context);
  return Values;
}

// Options of one of several targets in this process: each has its own id, first
// entry VM and report offset; m_PerRack consecutive targets share a rack.
static Options optionsFor(Options Values, int Number) {
  if (Values.m_Count == 1)
    return Values;
  target::Announcement &Announcement = Values.m_Announcement;
  std::string Rack = std::to_string(Number / Values.m_PerRack);
  Announcement.m_Id =
      core::TargetId(Announcement.m_Id.text() + "-" + std::to_string(Number));
  Announcement.m_Rack += "-" + Rack;
  Values.m_ReportOffset = Values.m_ReportInterval * Number / Values.m_Count;
  std::rotate(Values.m_Entries.begin(),
              Values.m_Entries.begin() +
                  Number % static_cast<int>(Values.m_Entries.size()),
              Values.m_Entries.end());
  return Values;
}

int main(int Argc, char **Argv) {
  Options Values = readOptions(Argc, const_cast<const char **>(Argv));
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { Stopped = 1; });
  Loop EventLoop;
  HttpClient Client(EventLoop);
  std::map<core::TargetId, std::unique_ptr<StandinTarget>> Targets;
  for (int I = 0; I < Values.m_Count; ++I) {
    Options Each = optionsFor(Values, I);
    core::TargetId Id = Each.m_Announcement.m_Id;
    Targets.emplace(Id, std::make_unique<StandinTarget>(EventLoop, Client,
                                                        std::move(Each)));
  }
  constexpr std::size_t MaxBody = 1 << 20;
  HttpServer Server(EventLoop,
                    {.m_Host = "127.0.0.1",
                     .m_Port = Values.m_Announcement.m_Port,
                     .m_MaxBodyBytes = MaxBody,
                     .m_MaxConnections = 256},
                    [&](const HttpRequest &Request, const Responder &Respond) {
                      auto Call = messages::decodeCall(Request.m_Body);
                      auto Found =
                          Call ? Targets.find(Call->m_Target) : Targets.end();
                      if (Found == Targets.end())
                        return Respond({.m_Status = 400, .m_Body = "{}"});
                      Found->second->handle(Request, *Call, Respond);
                    });
  auto Listening = Server.listen();
  if (!Listening) {
    std::cerr << core::toString(Listening.reason()) << "\n";
    return 1;
  }
  EventLoop.run([&] {
    Client.expire(EventLoop.now());
    for (auto &[Id, Each] : Targets)
      Each->tick();
    if (Stopped)
      EventLoop.stop();
    return core::Duration(Values.m_Count == 1 ? 2 : 20);
  });
  return 0;
}
