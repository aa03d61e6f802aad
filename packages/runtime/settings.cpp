#include "runtime/settings.h"

#include "runtime/address.h"

#include <charconv>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace fireflydrift::runtime {

static constexpr std::int64_t MostPorts = 65535;

// ---- Reading values --------------------------------------------------------

// Sets one part of the settings from text; returns the rule that it broke, or
// an empty text.
using Apply = std::function<std::string(Settings &, const std::string &)>;

template <class T>
static std::string readNumber(const std::string &Text, std::int64_t Least,
                              std::int64_t Most, T &Into) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End || Value < Least || Value > Most)
    return "must be a whole number from " + std::to_string(Least) + " to " +
           std::to_string(Most);
  Into = static_cast<T>(Value);
  return {};
}

template <class T>
static Apply number(T &(*Part)(Settings &), std::int64_t Least,
                    std::int64_t Most) {
  return [=](Settings &Into, const std::string &Text) {
    return readNumber(Text, Least, Most, Part(Into));
  };
}

static Apply duration(core::Duration &(*Part)(Settings &), std::int64_t Least,
                      std::int64_t Most) {
  return [=](Settings &Into, const std::string &Text) {
    core::Duration::rep Ms = 0;
    std::string Broken = readNumber(Text, Least, Most, Ms);
    if (Broken.empty())
      Part(Into) = core::Duration(Ms);
    return Broken;
  };
}

static Apply text(std::string &(*Part)(Settings &)) {
  return [=](Settings &Into, const std::string &Text) {
    Part(Into) = Text;
    return Text.empty() ? std::string("must not be empty") : std::string();
  };
}

static Apply boolean(bool &(*Part)(Settings &)) {
  return [=](Settings &Into, const std::string &Text) {
    Part(Into) = Text == "true";
    return Text == "true" || Text == "false"
               ? std::string()
               : std::string("must be true or false");
  };
}

// "host:port"
static std::string readHostPort(const std::string &Text, std::string &Host,
                                std::uint16_t &Port) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return "must be host:port";
  Host = Text.substr(0, Colon);
  std::string Broken = readNumber(Text.substr(Colon + 1), 1, MostPorts, Port);
  if (!Broken.empty())
    return "port " + Broken;
  return toAddress(Host, Port) ? std::string()
                               : std::string("host must be a numeric IPv4 "
                                             "address");
}

// An empty value leaves the address unused.
static Apply listenAddress(ListenAddress &(*Part)(Settings &)) {
  return [=](Settings &Into, const std::string &Text) {
    if (Text.empty())
      return std::string();
    return readHostPort(Text, Part(Into).m_Host, Part(Into).m_Port);
  };
}

// Hosts of seeds, parted by commas. A port that stands with one belongs to
// another interface of that VM and is left out.
static std::string readSeeds(Settings &Into, const std::string &Text) {
  std::istringstream Stream(Text);
  std::string Each;
  while (std::getline(Stream, Each, ',')) {
    std::string Host = Each.substr(0, Each.rfind(':'));
    if (!toAddress(Host, 0))
      return "must be numeric IPv4 addresses parted by commas";
    Into.m_Seeds.push_back(std::move(Host));
  }
  return Into.m_Seeds.empty() ? "must name at least one VM" : "";
}

static Apply address(std::string &(*Part)(Settings &)) {
  return [=](Settings &Into, const std::string &Text) {
    Part(Into) = Text;
    return toAddress(Text, 0) ? std::string()
                              : std::string("must be a numeric IPv4 address");
  };
}

// ---- The table of keys -----------------------------------------------------

namespace {

struct Key {
  SettingInfo m_Info;
  Apply m_Apply;
};

constexpr std::int64_t Minute = 60000;

} // namespace

#define PART(EXPRESSION)                                                       \
  ([](Settings & Value) -> auto & { return (Value.EXPRESSION); })

static std::vector<Key> makeKeys() {
  return {
      {{"vm", "id", "This VM's id; it must stand in [vms]"},
       [](Settings &Into, const std::string &Text) {
         Into.m_Self.m_Id = core::VmId(Text);
         return core::isValidId(Text)
                    ? std::string()
                    : std::string("must be a valid identifier");
       }},
      {{"vm", "beat_every_ms", "Time between signs of life to other VMs"},
       duration(PART(m_HeartbeatInterval), 50, 5000)},
      {{"vm", "drain_within_ms", "Longest graceful shutdown"},
       duration(PART(m_DrainTimeout), 100, 10 * Minute)},
      {{"vm", "drain_at_least_ms",
        "Shortest graceful shutdown; callers turn away meanwhile"},
       duration(PART(m_MinDrainTime), 0, 10 * Minute)},
      {{"vm", "region", "Region of this VM, with [discovery]"},
       text(PART(m_Self.m_Region))},
      {{"vm", "failure_domain", "Failure domain of this VM, with [discovery]"},
       text(PART(m_Self.m_FailureDomain))},
      {{"discovery", "seeds",
        "VMs that know the others, instead of [vms]; ids are then hosts"},
       readSeeds},
      {{"discovery", "link_port",
        "Port between VMs, the same on all, with seeds"},
       number<std::uint16_t>(PART(m_Self.m_Port), 1, MostPorts)},
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
       number<std::uint16_t>(PART(m_Http.m_Port), 1, MostPorts)},
      {{"http", "max_body_bytes", "Largest request body"},
       number<std::size_t>(PART(m_Http.m_MaxBodyBytes), 1024, 16 << 20)},
      {{"http", "max_connections", "Connections open at once"},
       number<std::size_t>(PART(m_Http.m_MaxConnections), 1, 65536)},
      {{"http", "request_timeout_ms", "Time a client has to send a request"},
       duration(PART(m_Http.m_RequestTimeout), 100, 10 * Minute)},
      {{"http", "certificate", "PEM file; turns TLS on together with key"},
       text(PART(m_Http.m_Certificate))},
      {{"http", "key", "PEM file of the certificate's key"},
       text(PART(m_Http.m_Key))},
      {{"replica", "data_folder",
        "Makes this VM a replica; its files live "
        "here"},
       text(PART(m_DataFolder))},
      {{"replica", "election_timeout_ms",
        "Silence of the leader after which a follower stands for election"},
       duration(PART(m_Replica.m_ElectionTimeout), 100, Minute)},
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
        "Part of them that one workspace may take"},
       number<std::uint32_t>(PART(m_Admission.m_WorkspacePercent), 1, 100)},
      {{"entry", "leader_within_ms",
        "Without word of a leader for this long no request is taken"},
       duration(PART(m_Admission.m_LeaderTimeout), 100, 8000)},
      {{"entry", "operation_deadline_ms",
        "Longest time until an operation is decided"},
       duration(PART(m_OperationDeadline), 100, Minute)},
      {{"targets", "gone_after_ms",
        "Silence after which an entry VM reports a target gone"},
       duration(PART(m_Leader.m_Heartbeats.m_GoneAfter), 100, Minute)},
      {{"targets", "lost_after_ms",
        "Silence after which a target's work is given up"},
       duration(PART(m_Leader.m_Heartbeats.m_LostAfter), 100, 10 * Minute)},
      {{"targets", "lease_ms",
        "How long a target keeps its leases without contact"},
       duration(PART(m_Leader.m_Dispatch.m_Lease), 1000, 60 * Minute)},
      {{"targets", "report_lease_ms",
        "How far each answered report extends the leases of a target that "
        "fetches its orders"},
       duration(PART(m_Leader.m_Polling.m_Roster.m_Lease), 100, Minute)},
      {{"targets", "orders",
        "How targets that report get their orders: heartbeat, in the answers"},
       [](Settings &, const std::string &Text) {
         // An environment that says nothing uses the usual way.
         return Text.empty() || Text == "heartbeat"
                    ? std::string()
                    : std::string("must be heartbeat; orders that are sent to "
                                  "such targets by request are not built");
       }},
      {{"security", "operator_token_file",
        "File with the operators' token; without it operators need none"},
       text(PART(m_OperatorTokenFile))},
      {{"security", "workspace_tokens_file",
        "INI file with a token for each workspace; without it callers need "
        "none"},
       text(PART(m_WorkspaceTokensFile))},
      {{"log", "level", "debug, info, warning or error"},
       [](Settings &Into, const std::string &Text) {
         Into.m_Log.m_Level = Text;
         bool Known = Text == "debug" || Text == "info" || Text == "warning" ||
                      Text == "error";
         return Known ? std::string()
                      : std::string("must be debug, info, warning or error");
       }},
      {{"log", "file", "File for log lines; standard output without it"},
       text(PART(m_Log.m_File))},
      {{"log", "lines_per_second",
        "Most log lines a second; further ones are left out and counted"},
       number<std::uint32_t>(PART(m_Log.m_Budget.m_PerSecond), 1, 1000000)},
  };
}

#undef PART

static const std::vector<Key> &keys() {
  static const std::vector<Key> Keys = makeKeys();
  return Keys;
}

const std::vector<SettingInfo> &allSettings() {
  static const std::vector<SettingInfo> Infos = [] {
    std::vector<SettingInfo> All;
    for (const Key &Each : keys())
      All.push_back(Each.m_Info);
    return All;
  }();
  return Infos;
}

// ---- Reading a file --------------------------------------------------------

namespace {

struct Reading {
  Settings m_Settings;
  std::string m_Name;
  std::istringstream m_Stream;
  int m_Line = 0;
  std::map<std::string, int> m_Seen;
  core::Reason m_Why;

  void fail(const std::string &Key, int Line, const std::string &Rule) {
    if (m_Why.m_Code == core::ReasonCode::None)
      m_Why = {core::ReasonCode::InvalidInput,
               m_Name + ":" + std::to_string(Line) + " " + Key, Rule};
  }
  [[nodiscard]] int lineOf(const std::string &Key) const {
    auto Found = m_Seen.find(Key);
    return Found == m_Seen.end() ? m_Line : Found->second;
  }
};

} // namespace

// "host:port region failure_domain replica|entry"
static std::string readVm(const std::string &Id, const std::string &Text,
                          Settings &Into) {
  std::istringstream Words(Text);
  std::string Where;
  std::string Kind;
  membership::VmAddress Vm{.m_Id = core::VmId(Id)};
  Words >> Where >> Vm.m_Region >> Vm.m_FailureDomain >> Kind;
  std::string Rest;
  auto Colon = Where.rfind(':');
  bool Shaped = !Kind.empty() && !(Words >> Rest) &&
                Colon != std::string::npos &&
                (Kind == "replica" || Kind == "entry");
  if (!Shaped)
    return "must be host:port region failure_domain replica|entry";
  Vm.m_Host = Where.substr(0, Colon);
  Vm.m_Replica = Kind == "replica";
  std::string Broken =
      readNumber(Where.substr(Colon + 1), 1, MostPorts, Vm.m_Port);
  if (!Broken.empty())
    return "port " + Broken;
  if (!toAddress(Vm.m_Host, Vm.m_Port))
    return "host must be a numeric IPv4 address";
  if (!core::isValidId(Id) || !core::isValidId(Vm.m_Region) ||
      !core::isValidId(Vm.m_FailureDomain))
    return "id, region and failure domain must be valid identifiers";
  Into.m_Vms.push_back(std::move(Vm));
  return {};
}

static std::string applyKey(const std::string &Section, const std::string &Name,
                            const std::string &Text, Settings &Into) {
  if (Section == "vms")
    return readVm(Name, Text, Into);
  for (const Key &Each : keys())
    if (Section == Each.m_Info.m_Section && Name == Each.m_Info.m_Key)
      return Each.m_Apply(Into, Text);
  return "is not known";
}

static int onPair(void *User, const char *Section, const char *Name,
                  const char *Value) {
  auto &In = *static_cast<Reading *>(User);
  std::string Full = std::string(Section) + "." + Name;
  auto [Before, New] = In.m_Seen.emplace(Full, In.m_Line);
  if (!New)
    In.fail(Full, In.m_Line,
            "stands already in line " + std::to_string(Before->second));
  std::string Broken = applyKey(Section, Name, Value, In.m_Settings);
  if (!Broken.empty())
    In.fail(Full, In.m_Line, Broken);
  return 1;
}

static char *readLine(char *Into, int Size, void *User) {
  auto &In = *static_cast<Reading *>(User);
  std::string Line;
  if (!std::getline(In.m_Stream, Line))
    return nullptr;
  ++In.m_Line;
  if (Line.size() + 2 > static_cast<std::size_t>(Size)) {
    In.fail("", In.m_Line, "the line is too long");
    Line.clear();
  }
  Line += '\n';
  std::memcpy(Into, Line.c_str(), Line.size() + 1);
  return Into;
}

// Lists this VM and the seeds, whose ids are their hosts.
static void useSeeds(Reading &In) {
  Settings &Value = In.m_Settings;
  if (!Value.m_Vms.empty())
    In.fail("discovery.seeds", In.lineOf("discovery.seeds"),
            "[vms] and seeds exclude each other");
  membership::VmAddress &Self = Value.m_Self;
  if (!toAddress(Self.m_Id.text(), Self.m_Port) || Self.m_Port == 0)
    In.fail("vm.id", In.lineOf("vm.id"),
            "must be this VM's numeric IPv4 address where seeds are used, and "
            "discovery.link_port must be set");
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

// Rules that concern several keys.
static void checkTogether(Reading &In) {
  Settings &Value = In.m_Settings;
  if (Value.m_Self.m_Id.empty())
    In.fail("vm.id", In.m_Line, "is required");
  if (Value.m_Http.m_Host.empty() || Value.m_Http.m_Port == 0)
    In.fail("http.port", In.lineOf("http.port"), "host and port are required");
  if (!Value.m_Seeds.empty())
    useSeeds(In);
  bool Found = false;
  for (const membership::VmAddress &Each : Value.m_Vms) {
    if (Each.m_Id != Value.m_Self.m_Id)
      continue;
    Value.m_Self = Each;
    Found = true;
  }
  if (!Found)
    In.fail("vm.id", In.lineOf("vm.id"), "does not stand in [vms]");
  if (Found && Value.m_Self.m_Replica == Value.m_DataFolder.empty())
    In.fail("replica.data_folder", In.lineOf("replica.data_folder"),
            "is required on a replica and on no other VM");
  if (Value.m_Replica.m_Heartbeat * 3 > Value.m_Replica.m_ElectionTimeout)
    In.fail("replica.heartbeat_ms", In.lineOf("replica.heartbeat_ms"),
            "must be at most a third of election_timeout_ms");
  const routing::HeartbeatOptions &Signs = Value.m_Leader.m_Heartbeats;
  if (Signs.m_LostAfter <= Signs.m_GoneAfter)
    In.fail("targets.lost_after_ms", In.lineOf("targets.lost_after_ms"),
            "must be longer than gone_after_ms");
  if (Value.m_Http.m_Certificate.empty() != Value.m_Http.m_Key.empty())
    In.fail("http.key", In.lineOf("http.key"),
            "certificate and key go together");
  std::size_t Replicas = 0;
  std::set<std::string> Domains;
  for (const membership::VmAddress &Each : Value.m_Vms) {
    Replicas += Each.m_Replica ? 1 : 0;
    if (Each.m_Replica)
      Domains.insert(Each.m_FailureDomain);
  }
  if (Replicas == 0)
    In.fail("vms", In.m_Line, "at least one VM must be a replica");
  else if (Value.m_Replica.m_Rule.m_Copies > Replicas)
    In.fail("replica.copies", In.lineOf("replica.copies"),
            "there are not so many replicas");
  else if (Value.m_Replica.m_Rule.m_Domains > Domains.size())
    In.fail("replica.domains", In.lineOf("replica.domains"),
            "the replicas are not in so many failure domains");
}

core::Outcome<Settings> parseSettings(const std::string &Text,
                                      const std::string &Name) {
  Reading In{.m_Name = Name, .m_Stream = std::istringstream(Text)};
  constexpr std::size_t DefaultBody = 1 << 20;
  constexpr std::size_t DefaultConnections = 4096;
  In.m_Settings.m_Http.m_MaxBodyBytes = DefaultBody;
  In.m_Settings.m_Http.m_MaxConnections = DefaultConnections;
  int BadLine = ini_parse_stream(readLine, &In, onPair, &In);
  if (BadLine > 0)
    In.fail("", BadLine, "is neither a section nor key = value");
  checkTogether(In);
  if (In.m_Why.m_Code != core::ReasonCode::None)
    return In.m_Why;
  In.m_Settings.m_Replica.m_Seed =
      std::hash<std::string>()(In.m_Settings.m_Self.m_Id.text());
  return In.m_Settings;
}

core::Outcome<Settings> readSettings(const std::string &FileName) {
  std::ifstream Stream(FileName);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  if (!Stream)
    return core::Reason{core::ReasonCode::Io, FileName, "can't be read"};
  return parseSettings(Text.str(), FileName);
}

} // namespace fireflydrift::runtime
