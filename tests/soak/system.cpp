#include "soak/system.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <sys/wait.h>

namespace fireflydrift::soak {

// All hosts use the same ports, except for the relays of entry VMs (see
// externalEndpoint); the loopback addresses differ by seed and VM.
static constexpr std::uint16_t LinkPort = 19100;
static constexpr std::uint16_t HttpPort = 19101;
static constexpr std::uint16_t ExternalPort = 19102;
static constexpr core::Duration RestartAfter{300};
// Rates of the VMs' monotonic clocks, in thousandths: SlowestRate plus an
// offset below RateSteps that depends on the seed and the VM.
static constexpr int SlowestRate = 980;
static constexpr std::uint64_t RateSteps = 41;
static constexpr std::uint64_t RateStride = 13;

// ---- Topology --------------------------------------------------------------

static std::string hostIn(std::uint64_t Seed, int Group, int Number) {
  constexpr std::uint64_t SeedRange = 200;
  return "127." + std::to_string(1 + Seed % SeedRange) + "." +
         std::to_string(Group) + "." + std::to_string(Number);
}

// Third octet of an address, by what listens there; the fourth counts up from
// FirstNumber.
static constexpr int VmGroup = 0;
static constexpr int LinkGroup = 1;
static constexpr int ControlGroup = 2;
static constexpr int EntryGroup = 3;
static constexpr int FirstNumber = 11;
static constexpr int LinksPerVm = 10;

std::string System::host(int Vm) const {
  return hostIn(m_Options.m_Seed, VmGroup, FirstNumber + Vm);
}

static Endpoint linkEndpoint(std::uint64_t Seed, int From, int To) {
  return {.m_Host =
              hostIn(Seed, LinkGroup, FirstNumber + From * LinksPerVm + To),
          .m_Port = LinkPort};
}

// The relay through which callers, targets and operators reach a VM. Those of
// the entry VMs share one host, that of the queue, and differ by port.
static Endpoint externalEndpoint(const SystemOptions &Options, int Vm) {
  int Entry = Vm - Options.m_Replicas;
  if (Entry < 0)
    return {.m_Host = hostIn(Options.m_Seed, ControlGroup, FirstNumber + Vm),
            .m_Port = ExternalPort};
  return {.m_Host = hostIn(Options.m_Seed, EntryGroup, FirstNumber),
          .m_Port = static_cast<std::uint16_t>(ExternalPort + Entry)};
}

std::string System::settingsOf(int Vm) const {
  bool Replica = Vm < m_Options.m_Replicas;
  std::ostringstream Text;
  Text << "[vm]\nid = " << host(Vm) << "\ndrain_at_least_ms = 500\n"
       << "drain_within_ms = 5000\n[http]\nhost = " << host(Vm)
       << "\nport = " << HttpPort << "\n[listen]\n"
       << (Replica ? "control" : "callers") << " = " << host(Vm) << ":"
       << ExternalPort << "\n[targets]\nreport_lease_ms = 4000\n";
  if (Replica)
    Text << "[replica]\nsnapshot_every = 200\ndata_folder = "
         << m_Options.m_Folder << "/" << host(Vm) << "/data\n";
  Text << "[vms]\n";
  for (int Other = 0; Other < vms(); ++Other) {
    Endpoint Where = Other == Vm
                         ? Endpoint{.m_Host = host(Vm), .m_Port = LinkPort}
                         : linkEndpoint(m_Options.m_Seed, Vm, Other);
    Text << host(Other) << " = " << Where.m_Host << ":" << Where.m_Port << " r"
         << Other % 2 << " d" << Other << " "
         << (Other < m_Options.m_Replicas ? "replica" : "entry") << "\n";
  }
  return Text.str();
}

System::System(runtime::Loop &EventLoop, const SystemOptions &Options,
               standin::HistoryChecker &Checker)
    : m_Loop(EventLoop), m_Options(Options), m_Checker(Checker) {
  for (int Each = 0; Each < vms(); ++Each) {
    auto RateSeed =
        Options.m_Seed + static_cast<std::uint64_t>(Each) * RateStride;
    auto RateOffset = static_cast<int>(RateSeed % RateSteps);
    m_VmStates.push_back({.m_Vm = std::make_unique<Vm>(VmOptions{
                              .m_Program = Options.m_Program,
                              .m_Shim = Options.m_Shim,
                              .m_Folder = Options.m_Folder + "/" + host(Each),
                              .m_Settings = settingsOf(Each),
                              .m_RatePermille = SlowestRate + RateOffset})});
    m_ExternalRelays.push_back(std::make_unique<Relay>(
        EventLoop, externalEndpoint(Options, Each),
        Endpoint{.m_Host = host(Each), .m_Port = ExternalPort}));
    for (int Other = 0; Other < vms(); ++Other)
      if (Other != Each)
        m_Links[{Each, Other}] = std::make_unique<Relay>(
            EventLoop, linkEndpoint(Options.m_Seed, Each, Other),
            Endpoint{.m_Host = host(Other), .m_Port = LinkPort});
  }
}

std::vector<standin::ControlAddress> System::controlAddresses() const {
  std::vector<standin::ControlAddress> All;
  for (int Each = 0; Each < m_Options.m_Replicas; ++Each) {
    Endpoint External = externalEndpoint(m_Options, Each);
    All.push_back({.m_Host = External.m_Host,
                   .m_Port = External.m_Port,
                   .m_AdvertisedHost = host(Each)});
  }
  return All;
}

std::vector<Endpoint> System::entries() const {
  std::vector<Endpoint> All;
  for (int Each = m_Options.m_Replicas; Each < vms(); ++Each)
    All.push_back(externalEndpoint(m_Options, Each));
  return All;
}

std::vector<Relay *> System::linksOf(int Vm) {
  std::vector<Relay *> All{
      m_ExternalRelays[static_cast<std::size_t>(Vm)].get()};
  for (const auto &[Ends, Each] : m_Links)
    if (Ends.first == Vm || Ends.second == Vm)
      All.push_back(Each.get());
  return All;
}

std::vector<Relay *> System::linksFrom(int Vm) const {
  std::vector<Relay *> All;
  for (const auto &[Ends, Each] : m_Links)
    if (Ends.first == Vm)
      All.push_back(Each.get());
  return All;
}

// ---- Running ---------------------------------------------------------------

void System::start() {
  for (VmState &Each : m_VmStates)
    Each.m_Vm->start();
}

void System::stop() {
  m_Stopping = true;
  for (VmState &Each : m_VmStates) {
    Each.m_ExitExpected = true;
    Each.m_Vm->signal(SIGTERM);
  }
}

bool System::isStopped() const {
  return std::none_of(
      m_VmStates.begin(), m_VmStates.end(),
      [](const VmState &Each) { return Each.m_Vm->isRunning(); });
}

void System::schedule(core::Time At, std::function<void(core::Time)> Action) {
  m_ScheduledActions.push_back({.m_At = At, .m_Action = std::move(Action)});
}

void System::reapAndRestart(int Vm, core::Time Now) {
  VmState &State = vmState(Vm);
  if (State.m_Vm->reap()) {
    int Status = State.m_Vm->lastStatus();
    bool Clean = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
    // A server does not start while its disk is faulty, so an exit is expected
    // then as well.
    bool Expected = State.m_ExitExpected || State.m_PowerLossExpected ||
                    State.m_Faults.m_Disk != "ok";
    if (!Expected || (m_Stopping && !Clean))
      m_Checker.recordViolation("keeps running",
                                host(Vm) +
                                    " exited unexpectedly, wait status " +
                                    std::to_string(Status),
                                Now);
    State.m_ExitExpected = false;
    State.m_PowerLossExpected = false;
    State.m_StartAt = std::max(State.m_StartAt, Now + RestartAfter);
  }
  if (!State.m_Vm->isRunning() && Now >= State.m_StartAt && !m_Stopping)
    State.m_Vm->start();
}

bool System::tick(core::Time Now) {
  for (int Each = 0; Each < vms(); ++Each)
    reapAndRestart(Each, Now);
  std::vector<ScheduledAction> Due;
  std::erase_if(m_ScheduledActions, [&](const ScheduledAction &Each) {
    if (Each.m_At <= Now)
      Due.push_back(Each);
    return Each.m_At <= Now;
  });
  for (const ScheduledAction &Each : Due)
    Each.m_Action(Now);
  bool HasQueuedData = false;
  for (const auto &Each : m_ExternalRelays)
    HasQueuedData = Each->tick(Now) || HasQueuedData;
  for (const auto &[Ends, Each] : m_Links)
    HasQueuedData = Each->tick(Now) || HasQueuedData;
  return HasQueuedData;
}

void System::endAllFaults(core::Time Now) {
  for (const ScheduledAction &Each : std::exchange(m_ScheduledActions, {}))
    Each.m_Action(Now);
}

// ---- Faults ----------------------------------------------------------------

void System::kill(int Vm, core::Time StartAt) {
  VmState &State = vmState(Vm);
  State.m_ExitExpected = State.m_Vm->isRunning();
  State.m_StartAt = StartAt;
  State.m_Vm->signal(SIGKILL);
  // A later tick reaps the process and starts it again, not before StartAt.
}

void System::applyToProcess(const Fault &Value, core::Time Now) {
  int Victim = Value.m_Victim;
  VmState &State = vmState(Victim);
  core::Time End = Now + Value.m_Duration;
  switch (Value.m_Kind) {
  case FaultKind::Kill:
    kill(Victim, End);
    break;
  case FaultKind::Wipe:
    kill(Victim, End);
    // RestartAfter / 2 leaves the killed process time to end, and the data is
    // erased before the restart.
    schedule(Now + RestartAfter / 2,
             [this, Victim](core::Time) { vmState(Victim).m_Vm->eraseData(); });
    break;
  case FaultKind::Freeze:
    State.m_Vm->signal(SIGSTOP);
    schedule(End, [this, Victim](core::Time) {
      vmState(Victim).m_Vm->signal(SIGCONT);
    });
    break;
  case FaultKind::Stop:
    State.m_ExitExpected = State.m_Vm->isRunning();
    State.m_Vm->signal(SIGTERM);
    break;
  case FaultKind::Reload:
    State.m_Vm->signal(SIGHUP);
    break;
  default:
    break;
  }
}

// For FaultKind::Delay, the fault's duration also gives the size of the delay.
static LinkState withFault(LinkState Link, const Fault &Value) {
  constexpr int LossPercent = 40;
  constexpr int DelayDivisor = 20;
  if (Value.m_Kind == FaultKind::Delay)
    Link.m_Delay = Value.m_Duration / DelayDivisor;
  else if (Value.m_Kind == FaultKind::Loss)
    Link.m_LossPercent = LossPercent;
  else
    Link.m_BlocksForward = true;
  Link.m_BlocksBackward =
      Link.m_BlocksBackward || Value.m_Kind == FaultKind::Partition;
  return Link;
}

// Ends all faults of the kind on the link, also those that overlap; both kinds
// of partition end together.
static LinkState withoutFault(LinkState Link, FaultKind Kind) {
  if (Kind == FaultKind::Delay)
    Link.m_Delay = core::Duration(0);
  else if (Kind == FaultKind::Loss)
    Link.m_LossPercent = 0;
  else
    Link.m_BlocksForward = Link.m_BlocksBackward = false;
  return Link;
}

void System::setLink(Relay *Link, const LinkState &Value) {
  m_LinkStates[Link] = Value;
  Link->set(Value);
}

// Resets the connections that are open now, or drops all their data.
void System::breakOpenConnections(const Fault &Value) {
  for (Relay *Each : linksOf(Value.m_Victim)) {
    if (Value.m_Kind == FaultKind::Reset)
      Each->reset();
    else
      Each->blackhole();
  }
}

void System::applyToLinks(const Fault &Value, core::Time Now) {
  std::vector<Relay *> Links = Value.m_Kind == FaultKind::OneWayPartition
                                   ? linksFrom(Value.m_Victim)
                                   : linksOf(Value.m_Victim);
  for (Relay *Each : Links)
    setLink(Each, withFault(m_LinkStates[Each], Value));
  schedule(Now + Value.m_Duration,
           [this, Links, Kind = Value.m_Kind](core::Time) {
             for (Relay *Each : Links)
               setLink(Each, withoutFault(m_LinkStates[Each], Kind));
           });
}

void System::applyToClockOrDisk(const Fault &Value, core::Time Now) {
  int Victim = Value.m_Victim;
  VmState &State = vmState(Victim);
  constexpr core::Duration SlowSync{300};
  constexpr core::Duration Step{600000};
  // The parity of the random duration gives the direction of a clock step.
  if (Value.m_Kind == FaultKind::ClockStep)
    State.m_Faults.m_ClockOffset =
        Value.m_Duration.count() % 2 == 0 ? Step : -Step;
  else if (Value.m_Kind == FaultKind::DiskSlow)
    State.m_Faults.m_SyncDelay = SlowSync;
  else
    State.m_Faults.m_Disk =
        Value.m_Kind == FaultKind::DiskFull ? "full" : "power";
  if (Value.m_Kind == FaultKind::PowerLoss) {
    State.m_PowerLossExpected = State.m_Vm->isRunning();
    State.m_StartAt = Now + Value.m_Duration;
  }
  State.m_Vm->setFaults(State.m_Faults);
  // A clock step is permanent.
  if (Value.m_Kind == FaultKind::ClockStep)
    return;
  schedule(Now + Value.m_Duration,
           [this, Victim, Kind = Value.m_Kind](core::Time) {
             VmState &Restored = vmState(Victim);
             if (Kind == FaultKind::DiskSlow)
               Restored.m_Faults.m_SyncDelay = core::Duration(0);
             else
               Restored.m_Faults.m_Disk = "ok";
             Restored.m_Vm->setFaults(Restored.m_Faults);
             // Without a sync since then the process has not lost power, and a
             // later exit has another cause.
             if (Kind == FaultKind::PowerLoss)
               Restored.m_PowerLossExpected = false;
           });
}

void System::apply(const Fault &Value, core::Time Now) {
  switch (Value.m_Kind) {
  case FaultKind::Kill:
  case FaultKind::Wipe:
  case FaultKind::Freeze:
  case FaultKind::Stop:
  case FaultKind::Reload:
    return applyToProcess(Value, Now);
  case FaultKind::Partition:
  case FaultKind::OneWayPartition:
  case FaultKind::Delay:
  case FaultKind::Loss:
    return applyToLinks(Value, Now);
  case FaultKind::Reset:
  case FaultKind::Blackhole:
    return breakOpenConnections(Value);
  case FaultKind::PowerLoss:
  case FaultKind::ClockStep:
  case FaultKind::DiskSlow:
  case FaultKind::DiskFull:
    return applyToClockOrDisk(Value, Now);
  default:
    return;
  }
}

} // namespace fireflydrift::soak
