// Small stand-ins for the platform around fireflydrift, for the scripts of this
// review: processes started by the commands of the deploy file, an HTTP client,
// workers that fetch their orders, an operator and a consumer. They follow
// PROTOCOL.md and DEPLOY.md; everything is on loopback addresses.
#ifndef REVIEW_STANDINS_PLATFORM_H
#define REVIEW_STANDINS_PLATFORM_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
namespace fs = std::filesystem;

// ---- Time and record -------------------------------------------------------

inline long nowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}
inline long wallMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(long Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max(Ms, 0L)));
}

// Writes record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(Path), m_Start(nowMs()) {}
  void line(const std::string &Text) {
    std::lock_guard Lock(m_Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ",
                  double(nowMs() - m_Start) / 1000);
    m_File << Time << Text << std::endl;
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  long m_Start;
};

// ---- HTTP ------------------------------------------------------------------

struct Answer {
  // Zero when no complete answer came in time.
  int m_Status = 0;
  std::string m_Body;
  std::string m_Location;
};

struct Call {
  std::string m_Method = "GET";
  std::string m_Host;
  int m_Port = 0;
  std::string m_Path;
  std::string m_HostHeader;
  std::string m_Key;
  std::string m_Body;
  // The address that the call comes from; empty for any.
  std::string m_From;
  long m_TimeoutMs = 1000;
};

inline sockaddr_in address(const std::string &Host, int Port) {
  sockaddr_in Value{};
  Value.sin_family = AF_INET;
  Value.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Value.sin_addr);
  return Value;
}

inline bool waitFor(int Socket, short Events, long Until) {
  pollfd Poll{Socket, Events, 0};
  long Left = Until - nowMs();
  return Left > 0 && poll(&Poll, 1, static_cast<int>(Left)) > 0;
}

// One call over a connection of its own.
inline Answer callOnce(const Call &Value) {
  long Until = nowMs() + Value.m_TimeoutMs;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  Answer Out;
  auto Done = [&] {
    close(Socket);
    return Out;
  };
  if (!Value.m_From.empty()) {
    sockaddr_in From = address(Value.m_From, 0);
    (void)bind(Socket, reinterpret_cast<sockaddr *>(&From), sizeof(From));
  }
  sockaddr_in To = review::address(Value.m_Host, Value.m_Port);
  int Result = connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  if (Result < 0 && errno != EINPROGRESS)
    return Done();
  int Error = 0;
  socklen_t Length = sizeof(Error);
  if (!waitFor(Socket, POLLOUT, Until) ||
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) < 0 || Error)
    return Done();
  std::string Text =
      Value.m_Method + " " + Value.m_Path + " HTTP/1.1\r\nHost: " +
      (Value.m_HostHeader.empty() ? Value.m_Host : Value.m_HostHeader) +
      "\r\nConnection: close\r\nContent-Type: application/json\r\n" +
      "X-Fireflydrift-Deadline-Ms: " + std::to_string(Value.m_TimeoutMs) +
      "\r\nContent-Length: " + std::to_string(Value.m_Body.size()) + "\r\n";
  if (!Value.m_Key.empty())
    Text += "X-Fireflydrift-Key: " + Value.m_Key + "\r\n";
  Text += "\r\n" + Value.m_Body;
  for (std::size_t Sent = 0; Sent < Text.size();) {
    ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0)
      Sent += static_cast<std::size_t>(Count);
    else if (errno != EAGAIN || !waitFor(Socket, POLLOUT, Until))
      return Done();
  }
  std::string Input;
  char Buffer[65536];
  while (true) {
    if (!waitFor(Socket, POLLIN, Until))
      return Done();
    ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count < 0 && errno == EAGAIN)
      continue;
    if (Count > 0)
      Input.append(Buffer, static_cast<std::size_t>(Count));
    auto End = Input.find("\r\n\r\n");
    if (End != std::string::npos) {
      std::string Head = Input.substr(0, End);
      std::string Lower = Head;
      for (char &C : Lower)
        C = static_cast<char>(std::tolower(C));
      auto Field = Lower.find("content-length:");
      std::size_t Expected =
          Field == std::string::npos
              ? 0
              : std::strtoul(Lower.c_str() + Field + 15, nullptr, 10);
      if (Input.size() >= End + 4 + Expected) {
        Out.m_Status = std::atoi(Head.c_str() + 9);
        Out.m_Body = Input.substr(End + 4, Expected);
        auto Location = Lower.find("\r\nlocation:");
        if (Location != std::string::npos) {
          auto Begin = Head.find_first_not_of(' ', Location + 11);
          Out.m_Location = Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
        }
        return Done();
      }
    }
    if (Count <= 0)
      return Done();
  }
}

// Follows a 307 twice.
inline Answer call(Call Value) {
  Answer Out;
  for (int Try = 0; Try < 3; ++Try) {
    Out = callOnce(Value);
    if (Out.m_Status != 307 || Out.m_Location.rfind("http://", 0) != 0)
      return Out;
    std::string Rest = Out.m_Location.substr(7);
    auto Colon = Rest.find(':');
    auto Slash = Rest.find('/');
    Value.m_Host = Rest.substr(0, Colon);
    Value.m_Port = std::atoi(Rest.substr(Colon + 1).c_str());
    Value.m_Path = Rest.substr(Slash);
  }
  return Out;
}

// ---- Machines --------------------------------------------------------------

// Fills in the placeholders of a template of the deploy folder, as far as these
// templates use them.
inline std::string fillTemplate(const std::string &Path,
                                const std::map<std::string, std::string> &Map) {
  std::ifstream Stream(Path);
  std::stringstream Text;
  Text << Stream.rdbuf();
  std::string Out = Text.str();
  for (const auto &[Name, Value] : Map) {
    std::string Mark = "{{" + Name + "}}";
    for (auto At = Out.find(Mark); At != std::string::npos; At = Out.find(Mark))
      Out.replace(At, Mark.size(), Value);
  }
  return Out;
}

// The machines of a small deployment, on loopback addresses. Ports are the same
// on all of them.
class Machines {
public:
  Machines(std::string Work, Record &Log)
      : m_Work(std::move(Work)), m_Log(Log) {
    // An own /16 of 127.0.0.0/8 for each script, and ports that are free there.
    m_Net = "127." + std::to_string(20 + getpid() % 200) + ".";
    m_BasePort = 20000 + (getpid() * 7) % 9000;
  }
  ~Machines() {
    for (const auto &[Host, Pid] : m_Pids)
      if (Pid > 0) {
        ::kill(Pid, SIGCONT);
        ::kill(Pid, SIGKILL);
        waitpid(Pid, nullptr, 0);
      }
  }
  Machines(const Machines &) = delete;
  Machines &operator=(const Machines &) = delete;

  std::string replica(int Index) const {
    return m_Net + "1." + std::to_string(Index);
  }
  std::string entry(int Index) const {
    return m_Net + "2." + std::to_string(Index);
  }
  std::string worker(int Index) const {
    return m_Net + "3." + std::to_string(Index);
  }
  int controlPort() const { return m_BasePort + 26; }
  int frontendPort() const { return m_BasePort + 21; }
  int readinessPort() const { return m_BasePort + 23; }
  std::string dataFolder(const std::string &Host) const {
    return m_Work + "/data-" + Host;
  }

  int linkPort() const { return m_BasePort; }
  std::string address(int Group, int Index) const {
    return m_Net + std::to_string(Group) + "." + std::to_string(Index);
  }
  // Starts a replica with these settings.
  void startWith(const std::string &Host, const std::string &Text) {
    std::string Settings = m_Work + "/" + Host + ".ini";
    std::ofstream(Settings) << Text;
    fs::create_directories(dataFolder(Host));
    launch(Host, Settings);
    m_Log.line("start " + Host + " replica");
  }
  std::string logOf(const std::string &Host) const {
    std::ifstream Stream(m_Work + "/" + Host + ".log");
    std::stringstream Text;
    Text << Stream.rdbuf();
    return Text.str();
  }

  // Starts the process of the machine; FirstStart as `bootstrap` of DEPLOY.md.
  void start(const std::string &Host, bool IsReplica, bool FirstStart) {
    std::string Seeds;
    for (int I = 1; I <= 3; ++I)
      Seeds +=
          (I > 1 ? "," : "") + replica(I) + ":" + std::to_string(controlPort());
    std::string Zone = "zone-" + Host.substr(Host.rfind('.') + 1);
    std::map<std::string, std::string> Map{
        {"ip", Host},
        {"region", "region"},
        {"zone", Zone},
        {"seedNodes", Seeds},
        {"internalPortRange.0", std::to_string(m_BasePort)},
        {"internalPortRange.1", std::to_string(m_BasePort + 15)},
        {"bootstrap", FirstStart ? "true" : "false"},
        {"faultTolerance.machines", "1"},
        {"dataDir", dataFolder(Host)},
        {"bounds.maxHoldMs", "6000"},
        {"commands", "heartbeat"},
        {"listenAddresses.frontend",
         Host + ":" + std::to_string(frontendPort())},
        {"listenAddresses.readiness",
         Host + ":" + std::to_string(readinessPort())},
        {"listenAddresses.controlPlane",
         Host + ":" + std::to_string(controlPort())}};
    std::string Settings = m_Work + "/" + Host + ".ini";
    std::ofstream(Settings) << fillTemplate(
        IsReplica ? "deploy/replica.ini" : "deploy/entry.ini", Map);
    if (IsReplica)
      fs::create_directories(dataFolder(Host));
    launch(Host, Settings);
    m_Log.line("start " + Host + (IsReplica ? " replica" : " entry") +
               (FirstStart ? " first_start" : ""));
  }
  void signal(const std::string &Host, int Signal) {
    m_Log.line("signal " + std::to_string(Signal) + " to " + Host);
    ::kill(m_Pids[Host], Signal);
  }
  // SIGKILL; the disk stays.
  void kill(const std::string &Host) {
    signal(Host, SIGKILL);
    waitpid(m_Pids[Host], nullptr, 0);
    m_Pids[Host] = 0;
  }
  // SIGTERM, then SIGKILL after the grace period.
  void stop(const std::string &Host, long GraceMs = 6000) {
    signal(Host, SIGTERM);
    for (long Until = nowMs() + GraceMs; nowMs() < Until; sleepMs(20))
      if (waitpid(m_Pids[Host], nullptr, WNOHANG) == m_Pids[Host]) {
        m_Pids[Host] = 0;
        m_Log.line("ended " + Host);
        return;
      }
    kill(Host);
  }
  void wipe(const std::string &Host) {
    m_Log.line("the disk of " + Host + " is lost");
    fs::remove_all(dataFolder(Host));
  }
  bool runs(const std::string &Host) {
    return m_Pids.count(Host) && m_Pids[Host] > 0 &&
           waitpid(m_Pids[Host], nullptr, WNOHANG) == 0;
  }

private:
  void launch(const std::string &Host, const std::string &Settings) {
    pid_t Pid = fork();
    if (Pid == 0) {
      // Ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Out = open((m_Work + "/" + Host + ".log").c_str(),
                     O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      execl("target/fireflydriftd", "target/fireflydriftd", "--settings",
            Settings.c_str(), nullptr);
      _exit(127);
    }
    m_Pids[Host] = Pid;
  }

  std::string m_Work;
  Record &m_Log;
  std::string m_Net;
  int m_BasePort = 0;
  std::map<std::string, pid_t> m_Pids;
};

// ---- Workers ---------------------------------------------------------------

// A worker that reports every 1.5 s, or when it is told, and carries out the
// orders of the answers. Each run takes m_RunMs; gangs are not played.
class Worker {
public:
  struct Options {
    std::string m_Id;
    std::string m_Host;
    std::vector<std::string> m_Controls;
    int m_ControlPort = 0;
    std::string m_Service = "svc";
    // The work of a subtask of the job; a spec that is a number states it.
    long m_RunMs = 1000;
    int m_Gpus = 8;
  };
  Worker(Options Values, Record &Log)
      : m_Options(std::move(Values)), m_Log(Log), m_Born(wallMs()),
        m_Thread([this] { loop(); }) {}
  ~Worker() {
    m_Stop = true;
    m_Thread.join();
  }
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  long born() const { return m_Born; }
  std::size_t running() const { return m_RunCount; }
  // The host that the newest answer named for the next report; empty for none.
  std::string told() {
    std::lock_guard Lock(m_ToldMutex);
    return m_Told;
  }

private:
  void setTold(std::string Host) {
    std::lock_guard Lock(m_ToldMutex);
    m_Told = std::move(Host);
  }
  struct Run {
    int m_Number = 0;
    long m_Since = 0;
    long m_WorkMs = 0;
  };

  void end(const std::string &Task, int Number, const std::string &How) {
    m_Closed[Task] = std::max(m_Closed[Task], Number);
    m_Ended.push_back({++m_LastEnd, Task, Number, How, ""});
    m_Log.line(m_Options.m_Id + " ends " + Task + " run " +
               std::to_string(Number) + " " + How);
  }
  void advance() {
    std::vector<std::pair<std::string, std::string>> Ends;
    for (const auto &[Task, Value] : m_Runs) {
      if (nowMs() >= m_LeaseUntil)
        Ends.emplace_back(Task, "lapsed");
      else if (nowMs() - Value.m_Since >= Value.m_WorkMs)
        Ends.emplace_back(Task, "done");
    }
    for (const auto &[Task, How] : Ends) {
      int Number = m_Runs[Task].m_Number;
      m_Runs.erase(Task);
      end(Task, Number, How);
      m_NextAt = std::min(m_NextAt, nowMs() + 50);
    }
  }
  void report() {
    Json Running = Json::array();
    for (const auto &[Task, Value] : m_Runs)
      Running.push_back(
          {Task, Value.m_Number, "",
           std::min(99L, (nowMs() - Value.m_Since) * 100 / Value.m_WorkMs), 0});
    Json Body{{"service", m_Options.m_Service},
              {"address", m_Options.m_Host + ":8080"},
              {"zone", "zone-1"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"capacity",
               {{"cpu", 64000},
                {"memoryLimitMb", 262144},
                {"gpu", m_Options.m_Gpus}}},
              {"labels", {"a", "r1-1"}},
              {"clockMs", nowMs()},
              {"born", m_Born},
              {"sequence", ++m_Sequence},
              {"running", Running},
              {"ended", m_Ended}};
    long SentAt = nowMs();
    std::string Host =
        m_Options.m_Controls[m_Control % m_Options.m_Controls.size()];
    Answer Got = call({.m_Method = "PUT",
                       .m_Host = told().empty() ? Host : told(),
                       .m_Port = m_Options.m_ControlPort,
                       .m_Path = "/-/instances/" + m_Options.m_Id,
                       .m_Body = Body.dump(),
                       .m_From = m_Options.m_Host,
                       .m_TimeoutMs = 1000});
    if (Got.m_Status / 100 != 2) {
      setTold({});
      ++m_Control;
      m_NextAt = nowMs() + 100;
      return;
    }
    Json Orders = Json::parse(Got.m_Body, nullptr, false);
    std::string Told = Orders.value("heartbeatAddress", "");
    setTold(Told.substr(0, Told.find(':')));
    m_NextAt = nowMs() + Orders.value("retryAfterMs", 1500L);
    auto Through = Orders.value("ackedThrough", std::uint64_t{0});
    Json Left = Json::array();
    for (const Json &Each : m_Ended)
      if (Each[0].get<std::uint64_t>() > Through)
        Left.push_back(Each);
    m_Ended = Left;
    auto Fence = Orders.value("fencingToken", std::uint64_t{0});
    if (Fence < m_Fence || !Orders.contains("holdMs"))
      return;
    m_Fence = Fence;
    m_LeaseUntil = std::max(
        m_LeaseUntil, SentAt + std::min(Orders["holdMs"].get<long>(), 6000L));
    for (const Json &Each : Orders.value("stop", Json::array())) {
      std::string Task = Each[0];
      auto Found = m_Runs.find(Task);
      if (Found != m_Runs.end() && Found->second.m_Number <= Each[1]) {
        int Number = Found->second.m_Number;
        m_Runs.erase(Found);
        end(Task, Number, "stopped");
      } else {
        m_Closed[Task] = std::max(m_Closed[Task], Each[1].get<int>());
      }
    }
    for (const Json &Each : Orders.value("start", Json::array())) {
      std::string Task = Each[0];
      int Number = Each[1];
      if (m_Runs.count(Task))
        continue;
      if (m_Closed.count(Task) && Number <= m_Closed[Task]) {
        end(Task, Number, "refused");
        continue;
      }
      long Stated = std::atol(Each[2].get<std::string>().c_str());
      m_Runs[Task] = {Number, nowMs(), Stated > 0 ? Stated : m_Options.m_RunMs};
      m_Log.line(m_Options.m_Id + " starts " + Task + " run " +
                 std::to_string(Number));
    }
  }
  void loop() {
    while (!m_Stop) {
      advance();
      m_RunCount = m_Runs.size();
      if (nowMs() >= m_NextAt)
        report();
      sleepMs(10);
    }
  }

  Options m_Options;
  Record &m_Log;
  long m_Born;
  std::atomic<bool> m_Stop{false};
  std::map<std::string, Run> m_Runs;
  std::map<std::string, int> m_Closed;
  Json m_Ended = Json::array();
  std::atomic<std::size_t> m_RunCount{0};
  std::uint64_t m_LastEnd = 0;
  std::uint64_t m_Fence = 0;
  std::uint64_t m_Sequence = 0;
  std::size_t m_Control = 0;
  std::mutex m_ToldMutex;
  std::string m_Told;
  long m_NextAt = 0;
  long m_LeaseUntil = 0;
  std::thread m_Thread;
};

// ---- Operator and consumer -------------------------------------------------

inline constexpr const char *QueueHost = "lanes.example";
inline constexpr const char *Prefix = "/queue/";
inline constexpr const char *Key = "key-of-the-tenant";

inline Json manifest(int Version) {
  return {{"version", Version},
          {"routes",
           {{{"name", "r-1"},
             {"host", QueueHost},
             {"pathPrefix", Prefix},
             {"kind", "non_idempotent"},
             {"timeoutMs", 3000},
             {"targetLatencyMs", 2000},
             {"priority", 1},
             {"service", "svc"},
             {"maxAttempts", 3},
             {"slackFactor", 3.0},
             {"public", false}}}},
          {"services",
           {{{"name", "svc"},
             {"healthPath", "/health"},
             {"maxConnections", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"rejectsOverload", true},
             {"standby", false}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "tenant"},
             {"apiKeys", {Key}},
             {"priority", 1},
             {"guaranteedGpus", {{"gpu", 8}}}}}}};
}

// Sends a manifest until it is acknowledged, to one node after the other.
inline bool putManifest(const std::vector<std::string> &Hosts, int Port,
                        const Json &Manifest, long ForMs, Record &Log) {
  long Until = nowMs() + ForMs;
  for (std::size_t I = 0; nowMs() < Until; ++I) {
    Answer Got = call({.m_Method = "PUT",
                       .m_Host = Hosts[I % Hosts.size()],
                       .m_Port = Port,
                       .m_Path = "/-/configuration",
                       .m_Body = Manifest.dump()});
    if (Got.m_Status == 200) {
      Log.line("manifest " + Manifest["version"].dump() + " acknowledged");
      return true;
    }
    sleepMs(200);
  }
  Log.line("manifest " + Manifest["version"].dump() + " not acknowledged");
  return false;
}

// The version of the manifest that is read back, or 0 when none comes.
inline int readManifest(const std::vector<std::string> &Hosts, int Port,
                        long ForMs, Record &Log) {
  long Until = nowMs() + ForMs;
  int LastStatus = 0;
  for (std::size_t I = 0; nowMs() < Until; ++I) {
    Answer Got = call({.m_Host = Hosts[I % Hosts.size()],
                       .m_Port = Port,
                       .m_Path = "/-/configuration"});
    LastStatus = Got.m_Status;
    if (Got.m_Status == 200) {
      int Version = Json::parse(Got.m_Body).value("version", 0);
      Log.line("manifest read: version " + std::to_string(Version));
      return Version;
    }
    sleepMs(200);
  }
  Log.line("manifest not read in " + std::to_string(ForMs) +
           " ms; last status " + std::to_string(LastStatus));
  return 0;
}

inline Answer consume(const std::string &Method, const std::string &Entry,
                      int Port, const std::string &Id, const std::string &Body,
                      Record &Log, long TimeoutMs = 3000) {
  Answer Got = call({.m_Method = Method,
                     .m_Host = Entry,
                     .m_Port = Port,
                     .m_Path = Prefix + Id,
                     .m_HostHeader = QueueHost,
                     .m_Key = Key,
                     .m_Body = Body,
                     .m_TimeoutMs = TimeoutMs});
  Log.line(Method + " " + Id + " at " + Entry + " -> " +
           std::to_string(Got.m_Status) + " " + Got.m_Body);
  return Got;
}

inline std::string jobId(int Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016x", Number);
  return Text;
}

inline std::string job(int Tasks, long EstimatedMs) {
  return Json{{"spec", std::to_string(EstimatedMs)},
              {"steps",
               {{{"count", Tasks},
                 {"cpu", 500},
                 {"memoryLimitMb", 256},
                 {"gpu", 1},
                 {"estimatedMs", EstimatedMs}}}}}
      .dump();
}

// Hands a job in, again until it is accepted.
inline bool submit(const std::vector<std::string> &Entries, int Port,
                   const std::string &Id, const std::string &Body, long ForMs,
                   Record &Log) {
  long Until = nowMs() + ForMs;
  for (std::size_t I = 0; nowMs() < Until; ++I) {
    if (consume("POST", Entries[I % Entries.size()], Port, Id, Body, Log)
            .m_Status == 200)
      return true;
    sleepMs(300);
  }
  return false;
}

inline bool troubleIsOn() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

} // namespace review

#endif // REVIEW_STANDINS_PLATFORM_H
