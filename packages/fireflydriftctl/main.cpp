// Command-line client for operators and for users of the API.
#include "emulator/scenario.h"
#include "messages/timeline.h"
#include "messages/trace.h"
#include "runtime/http_client.h"

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>
#include <vector>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

// ---- Exit codes ------------------------------------------------------------

static constexpr int ExitOk = 0;
static constexpr int ExitUsage = 2;
static constexpr int ExitNoResponse = 3;
static constexpr int ExitFailed = 4;

static constexpr const char *Usage =
    "COMMAND\n"
    "  submit FILE            submit the job in FILE (- for standard input)\n"
    "  get WORKSPACE ID       print the job and its answers\n"
    "  cancel WORKSPACE ID    cancel the job\n"
    "  explain WORKSPACE ID   print how the job was placed, or why it waits\n"
    "  configure FILE         replace the configuration by the one in FILE\n"
    "  configuration          print the configuration in force\n"
    "  evacuate DOMAIN        start nothing new in the failure domain; with\n"
    "                         --end, allow it again\n"
    "  evacuations            print the last change of each failure domain\n"
    "  status                 print the state of the system\n"
    "  replay FILE            replay a recorded trace, check its expectations\n"
    "  trace ID [LOG...]      print a request's timeline from logs, its cause\n"
    "  experiment FILE        simulate a load scenario on emulated targets\n"
    "Exit codes: 0 success, 2 wrong usage or invalid input file, 3 no reply\n"
    "from the server, 4 request refused, replay expectation not met, scenario\n"
    "invariant violated, or no log line found\n"
    "Options";

namespace {

struct Arguments {
  std::string m_Host = "127.0.0.1";
  std::uint16_t m_Port = 7600;
  std::string m_Token;
  long m_WaitMs = 0;
  long m_SeedCount = 1;
  bool m_EndEvacuation = false;
  std::vector<std::string> m_Positional;
};

} // namespace

// ---- Command line ----------------------------------------------------------

static int usageError(const std::string &Problem) {
  std::cerr << "fireflydriftctl: " << Problem
            << "; see fireflydriftctl --help\n";
  return ExitUsage;
}

static bool parseServerAddress(const std::string &Text, Arguments &Args) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] =
      std::from_chars(Text.data() + Colon + 1, End, Args.m_Port);
  Args.m_Host = Text.substr(0, Colon);
  return Error == std::errc() && ParsedEnd == End;
}

static std::optional<std::string> readFile(const std::string &Name) {
  std::ostringstream Text;
  if (Name == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream Stream(Name);
  if (!Stream)
    return std::nullopt;
  Text << Stream.rdbuf();
  return Text.str();
}

static std::string firstWord(const std::string &Text) {
  std::istringstream Stream(Text);
  std::string Word;
  Stream >> Word;
  return Word;
}

// Returns an exit code when the process should exit immediately.
static std::optional<int> readArguments(int Argc, const char **Argv,
                                        Arguments &Args) {
  char *Server = nullptr;
  char *TokenFile = nullptr;
  int EndEvacuation = 0;
  int Version = 0;
  const poptOption Options[] = {
      {"server", 's', POPT_ARG_STRING, &Server, 0,
       "Any VM of the system; default 127.0.0.1:7600", "HOST:PORT"},
      {"token-file", 't', POPT_ARG_STRING, &TokenFile, 0,
       "File with the operator's or workspace's token", "FILE"},
      {"wait", 'w', POPT_ARG_LONG, &Args.m_WaitMs, 0,
       "With get: how long to wait for the job to finish", "MILLISECONDS"},
      {"seeds", 'n', POPT_ARG_LONG, &Args.m_SeedCount, 0,
       "With experiment: number of consecutive seeds", "COUNT"},
      {"end", 'e', POPT_ARG_NONE, &EndEvacuation, 0,
       "With evacuate: end the evacuation", nullptr},
      {"version", 'V', POPT_ARG_NONE, &Version, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("fireflydriftctl", Argc, Argv, Options, 0);
  poptSetOtherOptionHelp(Context, Usage);
  int Result = poptGetNextOpt(Context);
  while (const char *Word = poptGetArg(Context))
    Args.m_Positional.emplace_back(Word);
  std::string Problem = Result < -1 ? std::string(poptBadOption(Context, 0)) +
                                          ": " + poptStrerror(Result)
                                    : std::string();
  poptFreeContext(Context);
  Args.m_EndEvacuation = EndEvacuation != 0;
  std::string ServerText = Server ? Server : "";
  std::string TokenFilePath = TokenFile ? TokenFile : "";
  std::free(Server);
  std::free(TokenFile);
  if (Version != 0) {
    std::cout << "fireflydriftctl " << FIREFLYDRIFT_VERSION << "\n";
    return ExitOk;
  }
  if (!Problem.empty())
    return usageError(Problem);
  if (!ServerText.empty() && !parseServerAddress(ServerText, Args))
    return usageError("--server must be HOST:PORT");
  if (!TokenFilePath.empty()) {
    auto Text = readFile(TokenFilePath);
    if (!Text)
      return usageError("the token file can't be read");
    Args.m_Token = firstWord(*Text);
  }
  return std::nullopt;
}

// ---- Commands --------------------------------------------------------------

static int sendRequest(const Arguments &Args, const std::string &Method,
                       const std::string &Path, const std::string &Body) {
  Loop EventLoop;
  HttpClient Client(EventLoop);
  // Time for the response, in addition to the requested wait.
  constexpr core::Duration ResponseTimeout{15000};
  HttpClientRequest Request{.m_Method = Method,
                            .m_Host = Args.m_Host,
                            .m_Port = Args.m_Port,
                            .m_Path = Path,
                            .m_Body = Body,
                            .m_Token = Args.m_Token,
                            .m_Timeout = ResponseTimeout +
                                         core::Duration(Args.m_WaitMs)};
  int Code = ExitNoResponse;
  Client.send(Request, [&](std::optional<HttpClientResponse> Response) {
    if (Response) {
      std::cout << Response->m_Body << "\n";
      Code = Response->m_Status < 300 ? ExitOk : ExitFailed;
    } else {
      std::cerr << "fireflydriftctl: no response from " << Args.m_Host << ":"
                << Args.m_Port << "\n";
    }
    EventLoop.stop();
  });
  constexpr core::Duration TimeoutCheckInterval{100};
  EventLoop.run([&] {
    Client.expire(EventLoop.now());
    return TimeoutCheckInterval;
  });
  return Code;
}

static int sendFile(const Arguments &Args, const std::string &Method,
                    const std::string &Path, const std::string &File) {
  auto Body = readFile(File);
  if (!Body)
    return usageError("'" + File + "' can't be read");
  return sendRequest(Args, Method, Path, *Body);
}

static int replayFile(const std::string &File) {
  auto Text = readFile(File);
  if (!Text)
    return usageError("'" + File + "' can't be read");
  auto Trace = messages::decodeTrace(*Text);
  if (!Trace)
    return usageError(core::toString(Trace.reason()));
  control::ReplayResult Result = control::replay(*Trace, {});
  for (const auto &[Measure, Value] : Result.m_Measures)
    std::cout << Measure << " " << Value << "\n";
  std::vector<std::string> Unmet = control::unmetExpectations(*Trace, Result);
  for (const std::string &Line : Unmet)
    std::cout << "NOT MET: " << Line << "\n";
  return Unmet.empty() ? ExitOk : ExitFailed;
}

// Prints a timeline of one job or workflow from several logs, followed by the
// cause of its outcome in a sentence.
static int printTimeline(const std::vector<std::string> &IdAndFiles) {
  std::vector<std::string> Logs;
  for (std::size_t I = 1; I < IdAndFiles.size(); ++I) {
    auto Text = readFile(IdAndFiles[I]);
    if (!Text)
      return usageError("'" + IdAndFiles[I] + "' can't be read");
    Logs.push_back(*std::move(Text));
  }
  if (Logs.empty())
    Logs.emplace_back(std::istreambuf_iterator<char>(std::cin),
                      std::istreambuf_iterator<char>());
  messages::Timeline Found = messages::buildTimeline(IdAndFiles[0], Logs);
  for (const std::string &Line : Found.m_Lines)
    std::cout << Line << "\n";
  std::cout << "cause: " << Found.m_Cause << "\n";
  return Found.m_Lines.empty() ? ExitFailed : ExitOk;
}

// Runs a scenario with several consecutive seeds.
static int runExperiment(const Arguments &Args, const std::string &File) {
  auto Text = readFile(File);
  if (!Text)
    return usageError("'" + File + "' can't be read");
  auto Parsed = emulator::parseScenario(*Text);
  if (!Parsed)
    return usageError(core::toString(Parsed.reason()));
  bool InvariantsHold = true;
  emulator::Scenario Scenario = *Parsed;
  for (std::int64_t I = 0; I < Args.m_SeedCount; ++I, ++Scenario.m_Seed) {
    emulator::ScenarioResult Result = emulator::runScenario(Scenario);
    std::cout << "seed " << Scenario.m_Seed << "\n" << emulator::toText(Result);
    InvariantsHold = InvariantsHold && Result.m_Violations.empty();
  }
  return InvariantsHold ? ExitOk : ExitFailed;
}

static int runCommand(const Arguments &Args) {
  const std::vector<std::string> &Positional = Args.m_Positional;
  if (Positional.empty())
    return usageError("a command is missing");
  const std::string &Command = Positional[0];
  auto Matches = [&](const char *Name, std::size_t WordCount) {
    return Command == Name && Positional.size() == WordCount;
  };
  if (Matches("status", 1))
    return sendRequest(Args, "GET", "/v1/status", "");
  if (Matches("configuration", 1))
    return sendRequest(Args, "GET", "/v1/configuration", "");
  if (Matches("evacuations", 1))
    return sendRequest(Args, "GET", "/v1/evacuations", "");
  if (Matches("evacuate", 2) && !core::isValidId(Positional[1]))
    return usageError("'" + Positional[1] + "' is not a valid identifier");
  if (Matches("evacuate", 2))
    return sendRequest(Args, Args.m_EndEvacuation ? "DELETE" : "PUT",
                       "/v1/evacuations/" + Positional[1], "");
  if (Matches("submit", 2))
    return sendFile(Args, "POST", "/v1/jobs", Positional[1]);
  if (Matches("experiment", 2))
    return runExperiment(Args, Positional[1]);
  if (Matches("trace", 2) || (Command == "trace" && Positional.size() > 2))
    return printTimeline({Positional.begin() + 1, Positional.end()});
  if (Matches("replay", 2))
    return replayFile(Positional[1]);
  if (Matches("configure", 2))
    return sendFile(Args, "PUT", "/v1/configuration", Positional[1]);
  if (Positional.size() == 3) {
    std::string Path = "/v1/jobs/" + Positional[1] + "/" + Positional[2];
    if (Command == "get")
      return sendRequest(
          Args, "GET", Path + "?wait_ms=" + std::to_string(Args.m_WaitMs), "");
    if (Command == "cancel")
      return sendRequest(Args, "DELETE", Path, "");
    if (Command == "explain")
      return sendRequest(Args, "GET", Path + "/decisions", "");
  }
  return usageError("unknown command or wrong number of arguments");
}

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Arguments Args;
  auto ExitCode = readArguments(Argc, const_cast<const char **>(Argv), Args);
  return ExitCode ? *ExitCode : runCommand(Args);
}
