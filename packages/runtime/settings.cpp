#include "runtime/settings.h"

#include "assignment/delay_cost.h"
#include "runtime/address.h"

#include <charconv>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>
#include <unistd.h>

namespace fireflydrift::runtime {

static constexpr std::int64_t MaxPort = 65535;

// ---- Value parsers ---------------------------------------------------------

// Parses a value into one member of the settings. Returns an error message, or
// an empty string when the value is valid.
using ValueSetter = std::function<std::string(Settings &, const std::string &)>;

template <class T>
static std::string parseNumber(const std::string &Text, std::int64_t Min,
                               std::int64_t Max, T &Result) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || ParsedEnd != End || Value < Min || Value > Max)
    return "must be an integer from " + std::to_string(Min) + " to " +
           std::to_string(Max);
  Result = static_cast<T>(Value);
  return {};
}

template <class T>
static ValueSetter number(T &(*Member)(Settings &), std::int64_t Min,
                          std::int64_t Max) {
  return [=](Settings &Values, const std::string &Text) {
    return parseNumber(Text, Min, Max, Member(Values));
  };
}

static ValueSetter duration(core::Duration &(*Member)(Settings &),
                            std::int64_t Min, std::int64_t Max) {
  return [=](Settings &Values, const std::string &Text) {
    core::Duration::rep Ms = 0;
    std::string Violation = parseNumber(Text, Min, Max, Ms);
    if (Violation.empty())
      Member(Values) = core::Duration(Ms);
    return Violation;
  };
}

static constexpr std::int64_t DaySeconds = 86400;

// A duration in seconds, which may have a fraction.
static ValueSetter seconds(core::Duration &(*Member)(Settings &),
                           std::int64_t MaxSeconds) {
  return [=](Settings &Values, const std::string &Text) {
    constexpr double MsPerSecond = 1000;
    double Value = 0;
    const char *End = Text.data() + Text.size();
    auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
    bool InRange = Value > 0 && Value <= static_cast<double>(MaxSeconds);
    if (Error != std::errc() || ParsedEnd != End || !InRange)
      return "must be a number of seconds above 0 and at most " +
             std::to_string(MaxSeconds);
    Member(Values) = std::max(
        core::Duration(static_cast<core::Duration::rep>(Value * MsPerSecond)),
        core::Duration(1));
    return std::string();
  };
}

static ValueSetter text(std::string &(*Member)(Settings &)) {
  return [=](Settings &Values, const std::string &Text) {
    Member(Values) = Text;
    return Text.empty() ? std::string("must not be empty") : std::string();
  };
}

static ValueSetter boolean(bool &(*Member)(Settings &)) {
  return [=](Settings &Values, const std::string &Text) {
    Member(Values) = Text == "true";
    return Text == "true" || Text == "false"
               ? std::string()
               : std::string("must be true or false");
  };
}

// Parses "host:port".
static std::string parseHostPort(const std::string &Text, std::string &Host,
                                 std::uint16_t &Port) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return "must be host:port";
  Host = Text.substr(0, Colon);
  std::string Violation = parseNumber(Text.substr(Colon + 1), 1, MaxPort, Port);
  if (!Violation.empty())
    return "port " + Violation;
  return toAddress(Host, Port) ? std::string()
                               : std::string("host must be a numeric IPv4 "
                                             "address");
}

// An empty value leaves the listener disabled.
static ValueSetter listenAddress(ListenAddress &(*Member)(Settings &)) {
  return [=](Settings &Values, const std::string &Text) {
    if (Text.empty())
      return std::string();
    return parseHostPort(Text, Member(Values).m_Host, Member(Values).m_Port);
  };
}

// Parses a comma-separated list of seed hosts. A port given with a host is
// ignored, because it belongs to another interface of that VM.
static std::string parseSeeds(Settings &Values, const std::string &Text) {
  std::istringstream Stream(Text);
  std::string Each;
  while (std::getline(Stream, Each, ',')) {
    std::string Host = Each.substr(0, Each.rfind(':'));
    if (!toAddress(Host, 0))
      return "must be a comma-separated list of numeric IPv4 addresses";
    Values.m_Seeds.push_back(std::move(Host));
  }
  return Values.m_Seeds.empty() ? "must name at least one VM" : "";
}

static ValueSetter address(std::string &(*Member)(Settings &)) {
  return [=](Settings &Values, const std::string &Text) {
    Member(Values) = Text;
    return toAddress(Text, 0) ? std::string()
                              : std::string("must be a numeric IPv4 address");
  };
}

// ---- Table of keys ---------------------------------------------------------

namespace {

struct SettingKey {
  SettingInfo m_Info;
  ValueSetter m_Set;
};

constexpr std::int64_t MinuteMs = 60000;

} // namespace

// A function that returns a reference to the given member of Settings.
#define PART(EXPRESSION)                                                       \
  ([](Settings & Value) -> auto & { return (Value.EXPRESSION); })

static std::vector<SettingKey> makeKeys() {
  return {
      {{"vm", "id", "This VM's id; it must be listed in [vms]"},
       [](Settings &Values, const std::string &Text) {
         Values.m_Self.m_Id = core::VmId(Text);
         return core::isValidId(Text)
                    ? std::string()
                    : std::string("must be a valid identifier");
       }},
      {{"vm", "beat_every_ms", "Time between heartbeats to other VMs"},
       duration(PART(m_HeartbeatInterval), 50, 5000)},
      {{"vm", "drain_within_ms", "Longest graceful shutdown"},
       duration(PART(m_DrainTimeout), 100, 10 * MinuteMs)},
      {{"vm", "drain_at_least_ms",
        "Shortest graceful shutdown; callers switch to other VMs meanwhile"},
       duration(PART(m_MinDrainTime), 0, 10 * MinuteMs)},
      {{"vm", "region", "Region of this VM, with [discovery]"},
       text(PART(m_Self.m_Region))},
      {{"vm", "failure_domain", "Failure domain of this VM, with [discovery]"},
       text(PART(m_Self.m_FailureDomain))},
      {{"discovery", "seeds",
        "VMs through which others are discovered, instead of [vms]; ids are "
        "then hosts"},
       parseSeeds},
      {{"discovery", "link_port",
        "Port between VMs, the same on all, with seeds"},
       number<std::uint16_t>(PART(m_Self.m_Port), 1, MaxPort)},
      {{"discovery", "first_start",
        "True while the system starts for the first time; false later"},
       boolean(PART(m_MayBootstrap))},
      {{"discovery", "tolerated_losses",
        "Replicas that may be lost at once; beyond twice as many and one, "
        "lost ones are replaced"},
       number<std::uint32_t>(PART(m_ToleratedLosses), 0, 4)},
      {{"listen", "callers", "Address for an environment's own callers"},
       listenAddress(PART(m_Listen.m_Callers))},
      {{"listen", "readiness", "Address for an environment's readiness checks"},
       listenAddress(PART(m_Listen.m_Readiness))},
      {{"listen", "control",
        "Address for an environment's targets and operators"},
       listenAddress(PART(m_Listen.m_Control))},
      {{"http", "host", "Address for callers, targets and operators"},
       address(PART(m_Http.m_Host))},
      {{"http", "port", "Port for callers, targets and operators"},
       number<std::uint16_t>(PART(m_Http.m_Port), 1, MaxPort)},
      {{"http", "max_body_bytes", "Largest request body"},
       number<std::size_t>(PART(m_Http.m_MaxBodyBytes), 1024, 16 << 20)},
      {{"http", "max_connections", "Connections open at once"},
       number<std::size_t>(PART(m_Http.m_MaxConnections), 1, 65536)},
      {{"http", "max_buffered_bytes",
        "Bytes that all connections of the process may hold together; by "
        "default an eighth of the VM's memory, from 16 to 32 MiB"},
       number<std::size_t>(PART(m_Memory.m_MaxBytes), 1 << 20, 1 << 30)},
      {{"http", "operator_percent",
        "Percentage of max_buffered_bytes that only the listeners for targets "
        "and operators may use"},
       number<std::uint32_t>(PART(m_Memory.m_OperatorPercent), 1, 75)},
      {{"http", "request_timeout_ms",
        "Time a client has to send a request, and to go on reading a response"},
       duration(PART(m_Http.m_RequestTimeout), 100, 10 * MinuteMs)},
      {{"http", "certificate", "PEM file; enables TLS together with key"},
       text(PART(m_Http.m_Certificate))},
      {{"http", "key", "PEM file of the certificate's key"},
       text(PART(m_Http.m_Key))},
      {{"replica", "data_folder",
        "Makes this VM a replica; its files are stored here"},
       text(PART(m_DataFolder))},
      {{"replica", "election_timeout_ms",
        "Silence of the leader after which a follower starts an election"},
       duration(PART(m_Replica.m_ElectionTimeout), 100, MinuteMs)},
      {{"replica", "heartbeat_ms", "Time between the leader's heartbeats"},
       duration(PART(m_Replica.m_Heartbeat), 10, 10000)},
      {{"replica", "drift_percent",
        "Part of the election timeout that leases leave unused for clock "
        "drift"},
       number<std::uint32_t>(PART(m_Replica.m_ClockDriftPercent), 1, 50)},
      {{"replica", "copies",
        "Voters that must have synced an entry; 0 for a majority"},
       number<std::uint32_t>(PART(m_Replica.m_Rule.m_Copies), 0, 9)},
      {{"replica", "domains",
        "Failure domains in which an entry must have been synced"},
       number<std::uint32_t>(PART(m_Replica.m_Rule.m_Domains), 1, 9)},
      {{"replica", "snapshot_every", "Log entries between two snapshots"},
       number<std::uint64_t>(PART(m_SnapshotIntervalEntries), 10, 10000000)},
      {{"entry", "max_held", "Requests this VM holds at once"},
       number<std::uint32_t>(PART(m_Admission.m_MaxHeld), 1, 1000000)},
      {{"entry", "workspace_percent",
        "Percentage of max_held that one workspace may use"},
       number<std::uint32_t>(PART(m_Admission.m_WorkspacePercent), 1, 100)},
      {{"entry", "leader_within_ms",
        "Time without a leader's heartbeat after which all requests are "
        "rejected"},
       duration(PART(m_Admission.m_LeaderTimeout), 100, 8000)},
      {{"entry", "operation_deadline_ms",
        "Longest time until an operation is decided"},
       duration(PART(m_OperationDeadline), 100, MinuteMs)},
      {{"targets", "gone_after_ms",
        "Silence after which an entry VM reports a target gone"},
       duration(PART(m_Leader.m_Heartbeats.m_GoneAfter), 100, MinuteMs)},
      {{"targets", "lost_after_ms",
        "Silence after which a target is declared lost and its work ended"},
       duration(PART(m_Leader.m_Heartbeats.m_LostAfter), 100, 10 * MinuteMs)},
      {{"targets", "lease_ms",
        "How long a target keeps its leases without contact"},
       duration(PART(m_Leader.m_Dispatch.m_Lease), 1000, 60 * MinuteMs)},
      {{"targets", "report_lease_ms",
        "How far each answered report extends the leases of a target that "
        "fetches its orders"},
       duration(PART(m_Leader.m_Polling.m_Roster.m_Lease), 100, MinuteMs)},
      {{"targets", "checkpoint_interval_s",
        "Seconds of work between two checkpoints of a task that writes them"},
       seconds(PART(m_Leader.m_Polling.m_CheckpointInterval), DaySeconds)},
      {{"targets", "stop_within_ms",
        "Longest time that a target which fetches its orders takes to stop a "
        "run"},
       duration(PART(m_Leader.m_Polling.m_StopWithin), 0, 10 * MinuteMs)},
      {{"targets", "orders",
        "How targets that report get their orders: heartbeat, in the answers"},
       [](Settings &, const std::string &Text) {
         // An environment that leaves the value empty gets the default.
         return Text.empty() || Text == "heartbeat"
                    ? std::string()
                    : std::string("must be heartbeat; sending orders to such "
                                  "targets by request is not supported");
       }},
      {{"scheduling", "policy",
        "Which work goes first, and which is preempted, when there is too "
        "little room: latest_start, or delay_cost"},
       [](Settings &Values, const std::string &Text) {
         bool ByCost = Text == "delay_cost";
         if (!ByCost && Text != "latest_start")
           return std::string("must be latest_start or delay_cost");
         assignment::PassOptions &Pass = Values.m_Leader.m_Polling.m_Pass;
         Pass.m_Order =
             ByCost ? assignment::orderByDelayCost : assignment::orderByUrgency;
         Pass.m_WeightLossByValue = ByCost;
         return std::string();
       }},
      {{"security", "operator_token_file",
        "File with the operators' token; without it operators need none"},
       text(PART(m_OperatorTokenFile))},
      {{"security", "workspace_tokens_file",
        "INI file with a token for each workspace; without it callers need "
        "none"},
       text(PART(m_WorkspaceTokensFile))},
      {{"log", "level", "debug, info, warning or error"},
       [](Settings &Values, const std::string &Text) {
         Values.m_Log.m_Level = Text;
         bool Known = Text == "debug" || Text == "info" || Text == "warning" ||
                      Text == "error";
         return Known ? std::string()
                      : std::string("must be debug, info, warning or error");
       }},
      {{"log", "file", "File for log lines; standard output without it"},
       text(PART(m_Log.m_File))},
      {{"log", "lines_per_second",
        "Maximum log lines a second; further ones are left out and counted"},
       number<std::uint32_t>(PART(m_Log.m_RateLimit.m_LinesPerSecond), 1,
                             1000000)},
  };
}

#undef PART

static const std::vector<SettingKey> &keys() {
  static const std::vector<SettingKey> Keys = makeKeys();
  return Keys;
}

const std::vector<SettingInfo> &allSettings() {
  static const std::vector<SettingInfo> Keys = [] {
    std::vector<SettingInfo> All;
    for (const SettingKey &Each : keys())
      All.push_back(Each.m_Info);
    return All;
  }();
  return Keys;
}

// ---- Parsing a file --------------------------------------------------------

namespace {

struct ParseState {
  Settings m_Settings;
  std::string m_Name;
  std::istringstream m_Stream;
  int m_Line = 0;
  std::map<std::string, int> m_LineByKey;
  core::Reason m_Error;

  // Keeps the first error only.
  void fail(const std::string &Key, int Line, const std::string &Message) {
    if (m_Error.m_Code == core::ReasonCode::None)
      m_Error = {core::ReasonCode::InvalidInput,
                 m_Name + ":" + std::to_string(Line) + " " + Key, Message};
  }
  void failOverride(const std::string &Override, const std::string &Message) {
    if (m_Error.m_Code == core::ReasonCode::None)
      m_Error = {core::ReasonCode::InvalidInput, "--set " + Override, Message};
  }
  [[nodiscard]] int lineOf(const std::string &Key) const {
    auto Found = m_LineByKey.find(Key);
    return Found == m_LineByKey.end() ? m_Line : Found->second;
  }
};

} // namespace

// Parses "host:port region failure_domain replica|entry".
static std::string parseVm(const std::string &Id, const std::string &Text,
                           Settings &Values) {
  std::istringstream Stream(Text);
  std::string Address;
  std::string Role;
  membership::VmAddress Vm{.m_Id = core::VmId(Id)};
  Stream >> Address >> Vm.m_Region >> Vm.m_FailureDomain >> Role;
  std::string Rest;
  auto Colon = Address.rfind(':');
  bool WellFormed = !Role.empty() && !(Stream >> Rest) &&
                    Colon != std::string::npos &&
                    (Role == "replica" || Role == "entry");
  if (!WellFormed)
    return "must be host:port region failure_domain replica|entry";
  Vm.m_Host = Address.substr(0, Colon);
  Vm.m_Replica = Role == "replica";
  std::string Violation =
      parseNumber(Address.substr(Colon + 1), 1, MaxPort, Vm.m_Port);
  if (!Violation.empty())
    return "port " + Violation;
  if (!toAddress(Vm.m_Host, Vm.m_Port))
    return "host must be a numeric IPv4 address";
  if (!core::isValidId(Id) || !core::isValidId(Vm.m_Region) ||
      !core::isValidId(Vm.m_FailureDomain))
    return "id, region and failure domain must be valid identifiers";
  Values.m_Vms.push_back(std::move(Vm));
  return {};
}

static constexpr const char *UnknownKey = "is not a known key";

// The key in the table, or nullptr.
static const SettingKey *findKey(const std::string &Section,
                                 const std::string &Name) {
  for (const SettingKey &Each : keys())
    if (Section == Each.m_Info.m_Section && Name == Each.m_Info.m_Key)
      return &Each;
  return nullptr;
}

static std::string applyKey(const std::string &Section, const std::string &Name,
                            const std::string &Text, Settings &Values) {
  if (Section == "vms")
    return parseVm(Name, Text, Values);
  const SettingKey *Known = findKey(Section, Name);
  return Known ? Known->m_Set(Values, Text) : UnknownKey;
}

// Always returns 1, so that inih goes on; errors are kept in the state.
static int onKeyValue(void *UserData, const char *Section, const char *Name,
                      const char *Value) {
  auto &State = *static_cast<ParseState *>(UserData);
  std::string FullKey = std::string(Section) + "." + Name;
  auto [Before, IsNew] = State.m_LineByKey.emplace(FullKey, State.m_Line);
  if (!IsNew)
    State.fail(FullKey, State.m_Line,
               "is already set in line " + std::to_string(Before->second));
  std::string Violation = applyKey(Section, Name, Value, State.m_Settings);
  if (!Violation.empty())
    State.fail(FullKey, State.m_Line, Violation);
  return 1;
}

static char *readLine(char *Buffer, int Size, void *UserData) {
  auto &State = *static_cast<ParseState *>(UserData);
  std::string Line;
  if (!std::getline(State.m_Stream, Line))
    return nullptr;
  ++State.m_Line;
  if (Line.size() + 2 > static_cast<std::size_t>(Size)) {
    State.fail("", State.m_Line, "the line is too long");
    Line.clear();
  }
  Line += '\n';
  std::memcpy(Buffer, Line.c_str(), Line.size() + 1);
  return Buffer;
}

// Fills the list of VMs with this VM and the seeds, whose ids are their hosts.
static void addSeedVms(ParseState &State) {
  Settings &Value = State.m_Settings;
  if (!Value.m_Vms.empty())
    State.fail("discovery.seeds", State.lineOf("discovery.seeds"),
               "is mutually exclusive with [vms]");
  membership::VmAddress &Self = Value.m_Self;
  if (!toAddress(Self.m_Id.text(), Self.m_Port) || Self.m_Port == 0)
    State.fail("vm.id", State.lineOf("vm.id"),
               "must be this VM's numeric IPv4 address when seeds are set, and "
               "discovery.link_port is then required");
  Self.m_Host = Self.m_Id.text();
  Self.m_Replica = !Value.m_DataFolder.empty();
  Value.m_Vms.push_back(Self);
  for (const std::string &Host : Value.m_Seeds) {
    if (Host == Self.m_Host)
      continue;
    membership::VmAddress Seed =
        membership::addressById(core::VmId(Host), Self.m_Port);
    Seed.m_Replica = true;
    Value.m_Vms.push_back(std::move(Seed));
  }
}

static std::size_t vmMemoryBytes() {
  return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Completes the memory budget and checks that callers' part of it has room for
// the largest request. Without a value the default is raised to fit that.
static void completeMemoryBudget(ParseState &State) {
  routing::MemoryBudgetOptions &Memory = State.m_Settings.m_Memory;
  Memory.m_ResponseTimeout = State.m_Settings.m_Http.m_RequestTimeout;
  // A buffer of up to twice the size of the request, and a copy of its body.
  constexpr std::size_t BodiesPerRequest = 4;
  std::size_t Needed =
      State.m_Settings.m_Http.m_MaxBodyBytes * BodiesPerRequest;
  bool IsDefault = Memory.m_MaxBytes == 0;
  if (IsDefault)
    Memory.m_MaxBytes = routing::defaultMemoryBudget(vmMemoryBytes());
  std::size_t Callers = routing::callersBudget(Memory);
  if (Callers >= Needed)
    return;
  if (IsDefault) {
    constexpr std::size_t Percent = 100;
    Memory.m_MaxBytes =
        Needed * Percent / (Percent - Memory.m_OperatorPercent) + Percent;
    return;
  }
  State.fail("http.max_buffered_bytes", State.lineOf("http.max_buffered_bytes"),
             "less operator_percent must be at least four times "
             "max_body_bytes");
}

// Checks that required keys are set and that keys agree with each other. Also
// completes m_Self from the list of VMs, and that list from the seeds.
static void validateCombinations(ParseState &State) {
  Settings &Value = State.m_Settings;
  if (Value.m_Self.m_Id.empty())
    State.fail("vm.id", State.m_Line, "is required");
  if (Value.m_Http.m_Host.empty() || Value.m_Http.m_Port == 0)
    State.fail("http.port", State.lineOf("http.port"),
               "host and port are required");
  if (!Value.m_Seeds.empty())
    addSeedVms(State);
  bool Found = false;
  for (const membership::VmAddress &Each : Value.m_Vms) {
    if (Each.m_Id != Value.m_Self.m_Id)
      continue;
    Value.m_Self = Each;
    Found = true;
  }
  if (!Found)
    State.fail("vm.id", State.lineOf("vm.id"), "is not listed in [vms]");
  if (Found && Value.m_Self.m_Replica == Value.m_DataFolder.empty())
    State.fail("replica.data_folder", State.lineOf("replica.data_folder"),
               "is required on a replica and not allowed on other VMs");
  if (Value.m_Replica.m_Heartbeat * 3 > Value.m_Replica.m_ElectionTimeout)
    State.fail("replica.heartbeat_ms", State.lineOf("replica.heartbeat_ms"),
               "must be at most a third of election_timeout_ms");
  const routing::HeartbeatOptions &Heartbeats = Value.m_Leader.m_Heartbeats;
  if (Heartbeats.m_LostAfter <= Heartbeats.m_GoneAfter)
    State.fail("targets.lost_after_ms", State.lineOf("targets.lost_after_ms"),
               "must be longer than gone_after_ms");
  if (Value.m_Http.m_Certificate.empty() != Value.m_Http.m_Key.empty())
    State.fail("http.key", State.lineOf("http.key"),
               "certificate and key must be set together");
  completeMemoryBudget(State);
  std::size_t Replicas = 0;
  std::set<std::string> Domains;
  for (const membership::VmAddress &Each : Value.m_Vms) {
    Replicas += Each.m_Replica ? 1 : 0;
    if (Each.m_Replica)
      Domains.insert(Each.m_FailureDomain);
  }
  if (Replicas == 0)
    State.fail("vms", State.m_Line, "at least one VM must be a replica");
  else if (Value.m_Replica.m_Rule.m_Copies > Replicas)
    State.fail("replica.copies", State.lineOf("replica.copies"),
               "exceeds the number of replicas");
  else if (Value.m_Replica.m_Rule.m_Domains > Domains.size())
    State.fail("replica.domains", State.lineOf("replica.domains"),
               "exceeds the number of failure domains of the replicas");
}

// Applies "section.key=value". An override without a value leaves the key as it
// is: an environment may not know the value.
static void applyOverride(ParseState &State, const std::string &Override) {
  std::size_t Equals = Override.find('=');
  std::size_t Dot = Override.find('.');
  if (Equals == std::string::npos || Dot > Equals)
    return State.failOverride(Override, "must be section.key=value");
  std::string Section = Override.substr(0, Dot);
  std::string Key = Override.substr(Dot + 1, Equals - Dot - 1);
  std::string Value = Override.substr(Equals + 1);
  // The VMs in [vms] are not in the table and can't be overridden.
  if (!findKey(Section, Key))
    return State.failOverride(Override, UnknownKey);
  if (Value.empty())
    return;
  std::string Violation = applyKey(Section, Key, Value, State.m_Settings);
  if (!Violation.empty())
    State.failOverride(Override, Violation);
}

static core::Outcome<Settings>
parse(const std::string &Text, const std::string &Name,
      const std::vector<std::string> &Overrides) {
  ParseState State{.m_Name = Name, .m_Stream = std::istringstream(Text)};
  constexpr std::size_t DefaultMaxBodyBytes = 1 << 20;
  constexpr std::size_t DefaultMaxConnections = 4096;
  State.m_Settings.m_Http.m_MaxBodyBytes = DefaultMaxBodyBytes;
  State.m_Settings.m_Http.m_MaxConnections = DefaultMaxConnections;
  int BadLine = ini_parse_stream(readLine, &State, onKeyValue, &State);
  if (BadLine > 0)
    State.fail("", BadLine, "is neither a section nor key = value");
  for (const std::string &Each : Overrides)
    applyOverride(State, Each);
  validateCombinations(State);
  if (State.m_Error.m_Code != core::ReasonCode::None)
    return State.m_Error;
  State.m_Settings.m_Replica.m_Seed =
      std::hash<std::string>()(State.m_Settings.m_Self.m_Id.text());
  return State.m_Settings;
}

core::Outcome<Settings> parseSettings(const std::string &Text,
                                      const std::string &Name) {
  return parse(Text, Name, {});
}

core::Outcome<Settings>
readSettings(const std::string &FileName,
             const std::vector<std::string> &Overrides) {
  std::ifstream Stream(FileName);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  if (!Stream)
    return core::Reason{core::ReasonCode::Io, FileName, "can't be read"};
  return parse(Text.str(), FileName, Overrides);
}

} // namespace fireflydrift::runtime
