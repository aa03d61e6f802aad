// A stand-in for a target: keeps leases, runs tasks by waiting, reports
// results, and can be late, fail everything, go silent or die.
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
  target::Announcement m_Said;
  std::vector<std::pair<std::string, std::uint16_t>> m_Entries;
  std::string m_Mode = "normal";
  std::string m_StartsFile;
  std::string m_Token;
  core::Duration m_Beat{1000};
  // Targets that this process plays, and how many of them share a rack.
  int m_Count = 1;
  int m_PerRack = 8;
  // Spreads the beats of several targets over the time between two.
  core::Duration m_Phase{0};
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

constexpr core::Duration LateBy{700};

// One stand-in process.
class Standin {
public:
  Standin(Loop &On, HttpClient &Client, Options Values)
      : m_Loop(On), m_Options(std::move(Values)), m_Client(Client),
        m_Starts(m_Options.m_StartsFile, std::ios::app),
        m_ReportedAt(On.now() - m_Options.m_Beat + m_Options.m_Phase),
        m_LeaseEnd(On.now() + core::Duration(60000)) {}

  void handle(const HttpRequest &Request, const control::Call &Call,
              const Responder &Respond) {
    if (m_Options.m_Mode == "silent" && m_AnyStart)
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

  void turn() {
    core::Time Now = m_Loop.now();
    if (m_Options.m_Mode == "silent" && m_AnyStart)
      return;
    if (Now >= m_LeaseEnd)
      m_Held.clear();
    endTasks(Now);
    bool Due = Now - m_ReportedAt >= m_Options.m_Beat ||
               (!m_Results.empty() && m_ReportFailed == 0);
    if (!m_Reporting && Due)
      report(Now);
  }

  // Tells the system that this target leaves.
  void leave() {
    send("DELETE", "/v1/targets/" + m_Options.m_Said.m_Id.text(), "",
         [](const std::optional<HttpClientResponse> &) {});
  }

private:
  control::CallOutcome reserve(const control::Call &Value) {
    std::uint64_t &Fence = m_Fences[Value.m_Lease.m_Job];
    if (Value.m_Lease.m_FencingToken < Fence)
      return control::CallOutcome::Refused;
    Fence = Value.m_Lease.m_FencingToken;
    auto Known = m_Held.find(Value.m_Lease);
    if (Known != m_Held.end())
      return control::CallOutcome::Accepted;
    core::Capacity Free = m_Options.m_Said.m_Capacity;
    for (const auto &[Key, Each] : m_Held)
      Free = Free - Each.m_Call.m_PerTask *
                        static_cast<std::int64_t>(Each.m_Call.m_Tasks.size());
    if (!Free.covers(Value.m_PerTask *
                     static_cast<std::int64_t>(Value.m_Tasks.size())))
      return control::CallOutcome::Refused;
    m_Held.emplace(Value.m_Lease, HeldLease{.m_Call = Value});
    m_LeaseEnd = std::max(m_LeaseEnd, m_Loop.now() + Value.m_LeaseLength);
    return control::CallOutcome::Accepted;
  }

  control::CallOutcome start(const control::Call &Value) {
    auto Known = m_Held.find(Value.m_Lease);
    if (Known == m_Held.end())
      return m_Finished.contains(Value.m_Lease)
                 ? control::CallOutcome::Accepted
                 : control::CallOutcome::UnknownLease;
    HeldLease &Held = Known->second;
    if (Held.m_Started)
      return control::CallOutcome::Accepted;
    Held.m_Started = true;
    Held.m_Call.m_Body = Value.m_Body;
    m_AnyStart = true;
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
    return m_Held.erase(Value.m_Lease) > 0 ? control::CallOutcome::Accepted
                                           : control::CallOutcome::UnknownLease;
  }

  // The run time stands in the body as "run_ms=N".
  [[nodiscard]] core::Duration runTime(const std::string &Body) const {
    auto At = Body.find("run_ms=");
    core::Duration Runs{20};
    if (At != std::string::npos)
      Runs = core::Duration(std::atoll(Body.c_str() + At + 7));
    return m_Options.m_Mode == "late" ? Runs + LateBy : Runs;
  }

  void endTasks(core::Time Now) {
    std::vector<control::Lease> Ended;
    for (auto &[Key, Held] : m_Held) {
      bool Open = !Held.m_Started;
      for (auto &[Index, Each] : Held.m_Tasks) {
        if (!Each.m_Ended && Now >= Each.m_EndsAt) {
          Each.m_Ended = true;
          m_Results.push_back({.m_Job = Key.m_Job,
                               .m_Attempt = Key.m_Attempt,
                               .m_Task = Index,
                               .m_Succeeded = m_Options.m_Mode != "failing",
                               .m_Answer = "done:" + Held.m_Call.m_Body});
        }
        Open = Open || !Each.m_Ended;
      }
      if (!Open)
        Ended.push_back(Key);
    }
    for (const control::Lease &Key : Ended) {
      m_Finished.insert(Key);
      m_Held.erase(Key);
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

  void failed() {
    ++m_ReportFailed;
    m_Known = false;
    m_Entry = (m_Entry + 1) % m_Options.m_Entries.size();
  }

  void announce() {
    m_Reporting = true;
    send("POST", "/v1/targets", messages::encodeAnnouncement(m_Options.m_Said),
         [this](const std::optional<HttpClientResponse> &Answer) {
           m_Reporting = false;
           // Given up: what runs here is no longer anyone's.
           if (Answer && Answer->m_Status == 409) {
             m_Held.clear();
             ++m_Options.m_Said.m_Incarnation;
             return;
           }
           if (!Answer || Answer->m_Status != 200)
             return failed();
           m_Known = true;
           m_ReportFailed = 0;
         });
  }

  void report(core::Time Now) {
    m_ReportedAt = Now;
    if (!m_Known)
      return announce();
    m_Reporting = true;
    std::size_t Sent = m_Results.size();
    messages::TargetReport Value{.m_Incarnation =
                                     m_Options.m_Said.m_Incarnation,
                                 .m_Results = m_Results};
    send("POST", "/v1/targets/" + m_Options.m_Said.m_Id.text() + "/reports",
         messages::encodeReport(Value),
         [this, Sent](const std::optional<HttpClientResponse> &Answer) {
           m_Reporting = false;
           if (!Answer || Answer->m_Status != 200)
             return failed();
           m_ReportFailed = 0;
           m_Results.erase(m_Results.begin(),
                           m_Results.begin() +
                               static_cast<std::ptrdiff_t>(Sent));
           auto Reply = messages::decodeReportReply(Answer->m_Body);
           if (!Reply)
             return failed();
           m_Known = Reply->m_Known;
           if (Reply->m_LeaseDuration > core::Duration::zero())
             m_LeaseEnd = m_Loop.now() + Reply->m_LeaseDuration;
         });
  }

  Loop &m_Loop;
  Options m_Options;
  HttpClient &m_Client;
  std::ofstream m_Starts;
  std::map<control::Lease, HeldLease> m_Held;
  std::set<control::Lease> m_Finished;
  std::map<core::JobKey, std::uint64_t> m_Fences;
  std::vector<control::TaskResult> m_Results;
  std::size_t m_Entry = 0;
  int m_ReportFailed = 0;
  bool m_Known = false;
  bool m_Reporting = false;
  bool m_AnyStart = false;
  core::Time m_ReportedAt;
  core::Time m_LeaseEnd;
};

volatile std::sig_atomic_t Stopped = 0;

} // namespace

static std::vector<std::pair<std::string, std::uint16_t>>
readEntries(const std::string &Text) {
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

static Options readOptions(int Count, const char **Words) {
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
  int First = 0;
  int Targets = 1;
  const poptOption Table[] = {
      {"id", 0, POPT_ARG_STRING, &Id, 0, "Target id", nullptr},
      {"port", 0, POPT_ARG_INT, &Port, 0, "Port", nullptr},
      {"entries", 0, POPT_ARG_STRING, &Entries, 0, "host:port,...", nullptr},
      {"first-entry", 0, POPT_ARG_INT, &First, 0, "Entry to begin with",
       nullptr},
      {"rack", 0, POPT_ARG_STRING, &Rack, 0, "Rack", nullptr},
      {"domain", 0, POPT_ARG_STRING, &Domain, 0, "Failure domain", nullptr},
      {"region", 0, POPT_ARG_STRING, &Region, 0, "Region", nullptr},
      {"site", 0, POPT_ARG_STRING, &Label, 0, "Label site", nullptr},
      {"mode", 0, POPT_ARG_STRING, &Mode, 0,
       "normal, late, failing, silent or dying", nullptr},
      {"starts", 0, POPT_ARG_STRING, &Starts, 0, "File of starts", nullptr},
      {"accelerators", 0, POPT_ARG_INT, &Accelerators, 0, "Accelerators",
       nullptr},
      {"count", 0, POPT_ARG_INT, &Targets, 0, "Targets in this process",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("standin_target", Count, Words, Table, 0);
  if (poptGetNextOpt(Context) < -1 || !Id || !Entries || Port == 0)
    std::exit(2);
  auto Or = [](const char *Text, const char *Default) {
    return std::string(Text ? Text : Default);
  };
  constexpr std::int64_t Processors = 64;
  constexpr std::int64_t MemoryMb = 262144;
  std::random_device Random;
  Options Values;
  Values.m_Said = {.m_Id = core::TargetId(Id),
                   .m_Host = "127.0.0.1",
                   .m_Port = static_cast<std::uint16_t>(Port),
                   .m_Incarnation = Random(),
                   .m_Region = Or(Region, "r1"),
                   .m_FailureDomain = Or(Domain, "d1"),
                   .m_Rack = Or(Rack, "k1"),
                   .m_Labels = core::Labels(std::map<std::string, std::string>{
                       {"site", Or(Label, "sapporo")}}),
                   .m_Capacity = {Accelerators, Processors, MemoryMb}};
  Values.m_Entries = readEntries(Entries);
  std::rotate(Values.m_Entries.begin(),
              Values.m_Entries.begin() +
                  First % static_cast<int>(Values.m_Entries.size()),
              Values.m_Entries.end());
  Values.m_Count = Targets;
  Values.m_Mode = Or(Mode, "normal");
  Values.m_StartsFile = Or(Starts, "/dev/null");
  poptFreeContext(Context);
  return Values;
}

// One of several targets in this process: its own id, rack and first entry.
static Options numbered(Options Values, int Number) {
  if (Values.m_Count == 1)
    return Values;
  target::Announcement &Said = Values.m_Said;
  std::string Rack = std::to_string(Number / Values.m_PerRack);
  Said.m_Id = core::TargetId(Said.m_Id.text() + "-" + std::to_string(Number));
  Said.m_Rack += "-" + Rack;
  Values.m_Phase = Values.m_Beat * Number / Values.m_Count;
  std::rotate(Values.m_Entries.begin(),
              Values.m_Entries.begin() +
                  Number % static_cast<int>(Values.m_Entries.size()),
              Values.m_Entries.end());
  return Values;
}

int main(int Count, char **Words) {
  Options Values = readOptions(Count, const_cast<const char **>(Words));
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { Stopped = 1; });
  Loop On;
  HttpClient Client(On);
  std::map<core::TargetId, std::unique_ptr<Standin>> All;
  for (int I = 0; I < Values.m_Count; ++I) {
    Options Each = numbered(Values, I);
    core::TargetId Id = Each.m_Said.m_Id;
    All.emplace(Id, std::make_unique<Standin>(On, Client, std::move(Each)));
  }
  constexpr std::size_t MaxBody = 1 << 20;
  HttpServer Server(On,
                    {.m_Host = "127.0.0.1",
                     .m_Port = Values.m_Said.m_Port,
                     .m_MaxBodyBytes = MaxBody,
                     .m_MaxConnections = 256},
                    [&](const HttpRequest &Request, const Responder &Respond) {
                      auto Call = messages::decodeCall(Request.m_Body);
                      auto Found = Call ? All.find(Call->m_Target) : All.end();
                      if (Found == All.end())
                        return Respond({.m_Status = 400, .m_Body = "{}"});
                      Found->second->handle(Request, *Call, Respond);
                    });
  auto Listening = Server.listen();
  if (!Listening) {
    std::cerr << core::toString(Listening.reason()) << "\n";
    return 1;
  }
  On.run([&] {
    Client.expire(On.now());
    for (auto &[Id, Each] : All)
      Each->turn();
    if (Stopped)
      On.stop();
    return core::Duration(Values.m_Count == 1 ? 2 : 20);
  });
  return 0;
}
