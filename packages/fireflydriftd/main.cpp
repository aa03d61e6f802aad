// The server process; every VM runs the same program.
#include "platform/platform_api.h"
#include "runtime/connection_memory.h"
#include "runtime/events.h"
#include "runtime/http_api.h"

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <popt.h>
#include <sys/resource.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

// ---- Exit codes ------------------------------------------------------------

static constexpr int ExitOk = 0;
static constexpr int ExitUsage = 2;
static constexpr int ExitInvalidSettings = 3;
static constexpr int ExitStartFailed = 4;

// ---- Signals ---------------------------------------------------------------

static volatile std::sig_atomic_t StopSignals = 0;
static volatile std::sig_atomic_t ReloadSignals = 0;

static void onStopSignal(int) { StopSignals = StopSignals + 1; }
static void onReloadSignal(int) { ReloadSignals = ReloadSignals + 1; }

static void catchSignals() {
  struct sigaction Stop {};
  Stop.sa_handler = onStopSignal;
  sigaction(SIGTERM, &Stop, nullptr);
  sigaction(SIGINT, &Stop, nullptr);
  struct sigaction Reload {};
  Reload.sa_handler = onReloadSignal;
  sigaction(SIGHUP, &Reload, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

// ---- Command line ----------------------------------------------------------

namespace {

// A listener that the settings configure in addition to the main HTTP API.
struct PlatformListener {
  const ListenAddress *m_Address;
  const char *m_Name;
  // Whether it may use the operators' part of the memory budget.
  bool m_ForOperators;
  HttpHandler m_Handler;
};

struct Arguments {
  std::string m_SettingsFile;
  std::string m_DataFolder;
  std::string m_Port = "7600";
  bool m_CheckOnly = false;
  // Settings that go before those of the file, as section.key=value.
  std::vector<std::string> m_Overrides;
};

} // namespace

// Copies a string that popt allocated and frees the original.
static std::string takeString(char *Text) {
  std::string Value = Text ? Text : "";
  std::free(Text);
  return Value;
}

// Copies a list of strings that popt allocated and frees the original.
static std::vector<std::string> takeStrings(char **Texts) {
  std::vector<std::string> Values;
  for (char **Each = Texts; Each && *Each; ++Each)
    Values.push_back(takeString(*Each));
  std::free(Texts);
  return Values;
}

// Returns an exit code when the process should exit immediately.
static std::optional<int> readArguments(int Argc, const char **Argv,
                                        Arguments &Args) {
  char *SettingsFile = nullptr;
  char *DataFolder = nullptr;
  char *Port = nullptr;
  char **Overrides = nullptr;
  int CheckOnly = 0;
  int Version = 0;
  const poptOption Options[] = {
      {"settings", 's', POPT_ARG_STRING, &SettingsFile, 0,
       "Settings file (INI); without it, a single VM with built-in settings",
       "FILE"},
      {"data", 'd', POPT_ARG_STRING, &DataFolder, 0,
       "Data folder; used only without --settings", "FOLDER"},
      {"port", 'p', POPT_ARG_STRING, &Port, 0,
       "HTTP port, default 7600; used only without --settings", "PORT"},
      {"set", 0, POPT_ARG_ARGV, &Overrides, 0,
       "Replaces a setting of the file; may be repeated", "SECTION.KEY=VALUE"},
      {"check", 'c', POPT_ARG_NONE, &CheckOnly, 0,
       "Check the settings and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &Version, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("fireflydriftd", Argc, Argv, Options, 0);
  int Result = poptGetNextOpt(Context);
  bool HasUnexpectedArgument = poptPeekArg(Context) != nullptr;
  std::string Problem = Result < -1 ? std::string(poptBadOption(Context, 0)) +
                                          ": " + poptStrerror(Result)
                                    : std::string();
  poptFreeContext(Context);
  Args.m_SettingsFile = takeString(SettingsFile);
  Args.m_DataFolder = takeString(DataFolder);
  if (std::string PortText = takeString(Port); !PortText.empty())
    Args.m_Port = PortText;
  Args.m_CheckOnly = CheckOnly != 0;
  Args.m_Overrides = takeStrings(Overrides);
  if (Version != 0) {
    std::cout << "fireflydriftd " << FIREFLYDRIFT_VERSION << "\n";
    return ExitOk;
  }
  if (Problem.empty() && Args.m_SettingsFile.empty() &&
      !Args.m_Overrides.empty())
    Problem = "--set requires --settings";
  if (!Problem.empty() || HasUnexpectedArgument) {
    std::cerr << "fireflydriftd: "
              << (HasUnexpectedArgument ? std::string("unexpected argument")
                                        : Problem)
              << "\n";
    return ExitUsage;
  }
  return std::nullopt;
}

// Settings of a single VM without peers, for trying out the server. The entry
// in [vms] gives the address for connections from other VMs, which stays unused
// without peers, and the region, failure domain and role.
static core::Outcome<Settings> builtInSettings(const Arguments &Args) {
  if (Args.m_DataFolder.empty())
    return core::Reason{core::ReasonCode::InvalidInput, "--data",
                        "is required without --settings"};
  std::string Text =
      "[vm]\nid = a\n[http]\nhost = 127.0.0.1\nport = " + Args.m_Port +
      "\n[replica]\ndata_folder = " + Args.m_DataFolder +
      "\n[vms]\na = 127.0.0.1:1 region domain replica\n";
  return parseSettings(Text, "embedded");
}

// ---- Running ---------------------------------------------------------------

// Opens the platform's listeners that the settings configure in addition to the
// main HTTP API.
static core::Outcome<bool>
openPlatformListeners(Loop &EventLoop, const Settings &Values,
                      const std::shared_ptr<ConnectionBudget> &Budget,
                      platform::PlatformApi &Api, ConnectionMemory &Memory,
                      std::vector<std::unique_ptr<HttpServer>> &Servers) {
  const ListenAddresses &Listen = Values.m_Listen;
  const PlatformListener Listeners[] = {
      {&Listen.m_Callers, "callers", false,
       [&](const HttpRequest &Request, Responder Respond) {
         Api.handleQueueRequest(Request, std::move(Respond));
       }},
      {&Listen.m_Readiness, "readiness", false,
       [&](const HttpRequest &Request, const Responder &Respond) {
         Api.handleReadiness(Request, Respond);
       }},
      {&Listen.m_Control, "control", true,
       [&](const HttpRequest &Request, Responder Respond) {
         Api.handleControl(Request, std::move(Respond));
       }}};
  for (const PlatformListener &Each : Listeners) {
    if (Each.m_Address->m_Port == 0)
      continue;
    HttpServerOptions Options = Values.m_Http;
    Options.m_Budget = Budget;
    Options.m_Host = Each.m_Address->m_Host;
    Options.m_Port = Each.m_Address->m_Port;
    Servers.push_back(
        std::make_unique<HttpServer>(EventLoop, Options, Each.m_Handler));
    Memory.addServer(*Servers.back(), Each.m_Name, Each.m_ForOperators,
                     Options.m_MaxBodyBytes);
    auto Listening = Servers.back()->listen();
    if (!Listening)
      return Listening.reason();
  }
  return true;
}

// Descriptors for the links to other VMs, two for each, for files and for
// connections to targets.
static constexpr std::size_t MaxReservedDescriptors = 768;

// The servers' share of the descriptors that the process may open.
static std::shared_ptr<ConnectionBudget> makeConnectionBudget() {
  rlimit Descriptors{};
  getrlimit(RLIMIT_NOFILE, &Descriptors);
  return std::make_shared<ConnectionBudget>(
      ConnectionBudget{.m_Limit = connectionLimit(Descriptors.rlim_cur,
                                                  MaxReservedDescriptors)});
}

// Makes malloc map each large buffer by itself, so that its memory returns to
// the system when it is freed. By default malloc raises this limit after the
// first such buffer, and the freed buffers of closed connections fragment the
// heap. With 128 KiB, 1,500 of them left 115 MB resident, with 32 KiB
// 73 MB.
static void returnFreedBuffers() {
  constexpr int MinMappedBytes = 32 * 1024;
  (void)mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
}

static int runServer(const Settings &Values, Tokens InitialTokens,
                     const TokenFiles &Files) {
  Loop EventLoop;
  Node ThisNode(EventLoop, Values);
  auto Started = ThisNode.start();
  if (!Started) {
    logEvent(Event::ListenFailed,
             {{"reason", core::toString(Started.reason())}});
    return ExitStartFailed;
  }
  HttpApi Api(ThisNode, std::move(InitialTokens));
  HttpServerOptions Options = Values.m_Http;
  Options.m_Budget = makeConnectionBudget();
  // The server accepts bodies up to 25 % over the limit, so that the API can
  // reject them with a reason.
  Options.m_MaxBodyBytes += Options.m_MaxBodyBytes / 4;
  HttpServer Server(EventLoop, Options,
                    [&](const HttpRequest &Request, Responder Respond) {
                      Api.handle(Request, std::move(Respond));
                    });
  auto Listening = Server.listen();
  if (!Listening) {
    logEvent(Event::ListenFailed,
             {{"reason", core::toString(Listening.reason())}});
    return ExitStartFailed;
  }
  ConnectionMemory Memory(Values.m_Memory, ThisNode.counters());
  Memory.addServer(Server, "own", true, Options.m_MaxBodyBytes);
  platform::PlatformApi PlatformEndpoints(ThisNode);
  std::vector<std::unique_ptr<HttpServer>> PlatformServers;
  auto Opened =
      openPlatformListeners(EventLoop, Values, Options.m_Budget,
                            PlatformEndpoints, Memory, PlatformServers);
  if (!Opened) {
    logEvent(Event::ListenFailed,
             {{"reason", core::toString(Opened.reason())}});
    return ExitStartFailed;
  }
  logEvent(Event::Started, {{"vm", Values.m_Self.m_Id.text()},
                            {"http", Values.m_Http.m_Host + ":" +
                                         std::to_string(Values.m_Http.m_Port)},
                            {"version", FIREFLYDRIFT_VERSION}});
  EventLoop.run([&] {
    core::Duration Wait = ThisNode.tick();
    Memory.check(EventLoop.now());
    if (StopSignals > 0) {
      ThisNode.drain(EventLoop.now());
      Server.drain();
      for (const auto &Each : PlatformServers)
        Each->drain();
    }
    // A second stop signal exits without waiting for the drain.
    if (StopSignals > 1 || ThisNode.isDrained(EventLoop.now()))
      EventLoop.stop();
    if (ReloadSignals > 0) {
      ReloadSignals = 0;
      auto Reloaded = Tokens::read(Files);
      logEvent(Event::TokensReloaded,
               {{"reason", core::toString(Reloaded.reason())}});
      if (Reloaded)
        Api.setTokens(*std::move(Reloaded));
    }
    flushLog();
    return Wait;
  });
  logEvent(Event::Stopped, {{"vm", Values.m_Self.m_Id.text()}});
  flushLog();
  return ExitOk;
}

int main(int Argc, char **Argv) {
  Arguments Args;
  auto ExitCode = readArguments(Argc, const_cast<const char **>(Argv), Args);
  if (ExitCode)
    return *ExitCode;
  auto Values = Args.m_SettingsFile.empty()
                    ? builtInSettings(Args)
                    : readSettings(Args.m_SettingsFile, Args.m_Overrides);
  if (!Values) {
    std::cerr << "fireflydriftd: " << core::toString(Values.reason()) << "\n";
    return ExitInvalidSettings;
  }
  TokenFiles Files{.m_Operator = Values->m_OperatorTokenFile,
                   .m_Workspaces = Values->m_WorkspaceTokensFile};
  auto InitialTokens = Tokens::read(Files);
  if (!InitialTokens) {
    std::cerr << "fireflydriftd: " << core::toString(InitialTokens.reason())
              << "\n";
    return ExitInvalidSettings;
  }
  if (Args.m_CheckOnly) {
    std::cout << "settings are valid\n";
    return ExitOk;
  }
  auto Logging = openLog(Values->m_Log);
  if (!Logging) {
    std::cerr << "fireflydriftd: " << core::toString(Logging.reason()) << "\n";
    return ExitInvalidSettings;
  }
  catchSignals();
  returnFreedBuffers();
  return runServer(*Values, *std::move(InitialTokens), Files);
}
