#include "soak/system.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <sys/wait.h>

namespace fireflydrift::soak {

// Ports are the same on all hosts; hosts differ by seed and VM.
static constexpr std::uint16_t LinkPort = 19100;
static constexpr std::uint16_t HttpPort = 19101;
static constexpr std::uint16_t DoorPort = 19102;
static constexpr core::Duration RestartAfter{300};
// How fast a steady clock may run, in thousandths.
static constexpr int SlowestRate = 980;
static constexpr std::uint64_t RateSteps = 41;
static constexpr std::uint64_t RateStride = 13;

// ---- Building --------------------------------------------------------------

static std::string hostIn(std::uint64_t Seed, int Group, int Number) {
  constexpr std::uint64_t Hosts = 200;
  return "127." + std::to_string(1 + Seed % Hosts) + "." +
         std::to_string(Group) + "." + std::to_string(Number);
}

static constexpr int VmGroup = 0;
static constexpr int LinkGroup = 1;
static constexpr int ControlGroup = 2;
static constexpr int EntryGroup = 3;
static constexpr int FirstNumber = 11;
static constexpr int LinksPerVm = 10;

std::string System::host(int Vm) const {
  return hostIn(m_Options.m_Seed, VmGroup, FirstNumber + Vm);
}

static Endpoint linkRelay(std::uint64_t Seed, int From, int To) {
  return {.m_Host =
              hostIn(Seed, LinkGroup, FirstNumber + From * LinksPerVm + To),
          .m_Port = LinkPort};
}

// Callers reach all entries under one host, the queue's, by ports.
static Endpoint doorRelay(const SystemOptions &Options, int Vm) {
  int Entry = Vm - Options.m_Replicas;
  if (Entry < 0)
    return {.m_Host = hostIn(Options.m_Seed, ControlGroup, FirstNumber + Vm),
            .m_Port = DoorPort};
  return {.m_Host = hostIn(Options.m_Seed, EntryGroup, FirstNumber),
          .m_Port = static_cast<std::uint16_t>(DoorPort + Entry)};
}

std::string System::settingsOf(int Vm) const {
  bool Replica = Vm < m_Options.m_Replicas;
  std::ostringstream Text;
  Text << "[vm]\nid = " << host(Vm) << "\ndrain_at_least_ms = 500\n"
       << "drain_within_ms = 5000\n[http]\nhost = " << host(Vm)
       << "\nport = " << HttpPort << "\n[listen]\n"
       << (Replica ? "control" : "callers") << " = " << host(Vm) << ":"
       << DoorPort << "\n[targets]\nreport_lease_ms = 4000\n";
  if (Replica)
    Text << "[replica]\nsnapshot_every = 200\ndata_folder = "
         << m_Options.m_Folder << "/" << host(Vm) << "/data\n";
  Text << "[vms]\n";
  for (int Other = 0; Other < vms(); ++Other) {
    Endpoint Where = Other == Vm
                         ? Endpoint{.m_Host = host(Vm), .m_Port = LinkPort}
                         : linkRelay(m_Options.m_Seed, Vm, Other);
    Text << host(Other) << " = " << Where.m_Host << ":" << Where.m_Port << " r"
         << Other % 2 << " d" << Other << " "
         << (Other < m_Options.m_Replicas ? "replica" : "entry") << "\n";
  }
  return Text.str();
}

System::System(runtime::Loop &On, const SystemOptions &Options,
               standin::Books &Books)
    : m_Loop(On), m_Options(Options), m_Books(Books) {
  for (int Each = 0; Each < vms(); ++Each) {
    auto Draw = Options.m_Seed + static_cast<std::uint64_t>(Each) * RateStride;
    auto Rate = static_cast<int>(Draw % RateSteps);
    m_Slots.push_back({.m_Vm = std::make_unique<Vm>(VmOptions{
                           .m_Program = Options.m_Program,
                           .m_Shim = Options.m_Shim,
                           .m_Folder = Options.m_Folder + "/" + host(Each),
                           .m_Settings = settingsOf(Each),
                           .m_RatePermille = SlowestRate + Rate})});
    m_Doors.push_back(std::make_unique<Relay>(
        On, doorRelay(Options, Each),
        Endpoint{.m_Host = host(Each), .m_Port = DoorPort}));
    for (int Other = 0; Other < vms(); ++Other)
      if (Other != Each)
        m_Links[{Each, Other}] = std::make_unique<Relay>(
            On, linkRelay(Options.m_Seed, Each, Other),
            Endpoint{.m_Host = host(Other), .m_Port = LinkPort});
  }
}

std::vector<standin::ControlAddress> System::controls() const {
  std::vector<standin::ControlAddress> All;
  for (int Each = 0; Each < m_Options.m_Replicas; ++Each) {
    Endpoint Door = doorRelay(m_Options, Each);
    All.push_back({.m_Host = Door.m_Host,
                   .m_Port = Door.m_Port,
                   .m_NamesItself = host(Each)});
  }
  return All;
}

std::vector<Endpoint> System::entries() const {
  std::vector<Endpoint> All;
  for (int Each = m_Options.m_Replicas; Each < vms(); ++Each)
    All.push_back(doorRelay(m_Options, Each));
  return All;
}

std::vector<Relay *> System::linksOf(int Vm) {
  std::vector<Relay *> All{m_Doors[static_cast<std::size_t>(Vm)].get()};
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
  for (Slot &Each : m_Slots)
    Each.m_Vm->start();
}

void System::stop() {
  m_Stopping = true;
  for (Slot &Each : m_Slots) {
    Each.m_EndExpected = true;
    Each.m_Vm->signal(SIGTERM);
  }
}

bool System::isStopped() const {
  return std::none_of(m_Slots.begin(), m_Slots.end(),
                      [](const Slot &Each) { return Each.m_Vm->isRunning(); });
}

void System::after(core::Time At, std::function<void(core::Time)> Do) {
  m_Later.push_back({.m_At = At, .m_Do = std::move(Do)});
}

void System::collect(int Vm, core::Time Now) {
  Slot &Of = slot(Vm);
  if (Of.m_Vm->collect()) {
    int Status = Of.m_Vm->lastStatus();
    bool Clean = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
    // A server does not start on a disk that refuses.
    bool Excused = Of.m_EndExpected || Of.m_Faults.m_Disk != "ok";
    if (!Excused || (m_Stopping && !Clean))
      m_Books.violated(
          "keeps running",
          host(Vm) + " ended by itself, status " + std::to_string(Status), Now);
    Of.m_EndExpected = false;
    Of.m_StartAt = std::max(Of.m_StartAt, Now + RestartAfter);
  }
  if (!Of.m_Vm->isRunning() && Now >= Of.m_StartAt && !m_Stopping)
    Of.m_Vm->start();
}

bool System::turn(core::Time Now) {
  for (int Each = 0; Each < vms(); ++Each)
    collect(Each, Now);
  std::vector<Later> Due;
  std::erase_if(m_Later, [&](const Later &Each) {
    if (Each.m_At <= Now)
      Due.push_back(Each);
    return Each.m_At <= Now;
  });
  for (const Later &Each : Due)
    Each.m_Do(Now);
  bool Waits = false;
  for (const auto &Each : m_Doors)
    Waits = Each->turn(Now) || Waits;
  for (const auto &[Ends, Each] : m_Links)
    Waits = Each->turn(Now) || Waits;
  return Waits;
}

void System::heal(core::Time Now) {
  for (const Later &Each : std::exchange(m_Later, {}))
    Each.m_Do(Now);
}

// ---- Faults ----------------------------------------------------------------

void System::kill(int Vm, core::Time StartAt) {
  Slot &Of = slot(Vm);
  Of.m_EndExpected = Of.m_Vm->isRunning();
  Of.m_StartAt = StartAt;
  Of.m_Vm->signal(SIGKILL);
  // The end is collected at a later turn; it starts again after StartAt.
}

void System::applyToProcess(const Fault &Value, core::Time Now) {
  int Victim = Value.m_Victim;
  Slot &Of = slot(Victim);
  core::Time End = Now + Value.m_Lasts;
  switch (Value.m_Kind) {
  case FaultKind::Kill:
    kill(Victim, End);
    break;
  case FaultKind::Wipe:
    kill(Victim, End);
    // Erased once the process is gone.
    after(Now + RestartAfter / 2,
          [this, Victim](core::Time) { slot(Victim).m_Vm->eraseData(); });
    break;
  case FaultKind::Freeze:
    Of.m_Vm->signal(SIGSTOP);
    after(End,
          [this, Victim](core::Time) { slot(Victim).m_Vm->signal(SIGCONT); });
    break;
  case FaultKind::Stop:
    Of.m_EndExpected = Of.m_Vm->isRunning();
    Of.m_Vm->signal(SIGTERM);
    break;
  case FaultKind::Reload:
    Of.m_Vm->signal(SIGHUP);
    break;
  default:
    break;
  }
}

static LinkState harmed(LinkState Before, const Fault &Value) {
  constexpr int LossPercent = 40;
  constexpr int DelayPart = 20;
  if (Value.m_Kind == FaultKind::Delay)
    Before.m_Delay = Value.m_Lasts / DelayPart;
  else if (Value.m_Kind == FaultKind::Loss)
    Before.m_LossPercent = LossPercent;
  else
    Before.m_CutsForward = true;
  Before.m_CutsBack = Before.m_CutsBack || Value.m_Kind == FaultKind::Cut;
  return Before;
}

static LinkState healed(LinkState Before, FaultKind Kind) {
  if (Kind == FaultKind::Delay)
    Before.m_Delay = core::Duration(0);
  else if (Kind == FaultKind::Loss)
    Before.m_LossPercent = 0;
  else
    Before.m_CutsForward = Before.m_CutsBack = false;
  return Before;
}

void System::setLink(Relay *Link, const LinkState &Value) {
  m_LinkStates[Link] = Value;
  Link->set(Value);
}

// Resets or silences the connections that are open now.
void System::breakOpenConnections(const Fault &Value) {
  for (Relay *Each : linksOf(Value.m_Victim)) {
    if (Value.m_Kind == FaultKind::Reset)
      Each->reset();
    else
      Each->silence();
  }
}

void System::applyToLinks(const Fault &Value, core::Time Now) {
  std::vector<Relay *> Links = Value.m_Kind == FaultKind::CutOneWay
                                   ? linksFrom(Value.m_Victim)
                                   : linksOf(Value.m_Victim);
  for (Relay *Each : Links)
    setLink(Each, harmed(m_LinkStates[Each], Value));
  after(Now + Value.m_Lasts, [this, Links, Kind = Value.m_Kind](core::Time) {
    for (Relay *Each : Links)
      setLink(Each, healed(m_LinkStates[Each], Kind));
  });
}

void System::applyToDisk(const Fault &Value, core::Time Now) {
  int Victim = Value.m_Victim;
  Slot &Of = slot(Victim);
  constexpr core::Duration SlowSync{300};
  constexpr core::Duration Step{600000};
  if (Value.m_Kind == FaultKind::ClockStep)
    Of.m_Faults.m_ClockStep = Value.m_Lasts.count() % 2 == 0 ? Step : -Step;
  else if (Value.m_Kind == FaultKind::DiskSlow)
    Of.m_Faults.m_SyncTakes = SlowSync;
  else
    Of.m_Faults.m_Disk = Value.m_Kind == FaultKind::DiskFull ? "full" : "power";
  if (Value.m_Kind == FaultKind::PowerLoss) {
    Of.m_EndExpected = Of.m_Vm->isRunning();
    Of.m_StartAt = Now + Value.m_Lasts;
  }
  Of.m_Vm->set(Of.m_Faults);
  // A clock that was stepped stays so.
  if (Value.m_Kind == FaultKind::ClockStep)
    return;
  after(Now + Value.m_Lasts, [this, Victim, Kind = Value.m_Kind](core::Time) {
    Slot &Then = slot(Victim);
    if (Kind == FaultKind::DiskSlow)
      Then.m_Faults.m_SyncTakes = core::Duration(0);
    else
      Then.m_Faults.m_Disk = "ok";
    Then.m_Vm->set(Then.m_Faults);
    // Once it refused, the operator restarts the server.
    if (Kind != FaultKind::DiskFull)
      return;
    Then.m_EndExpected = Then.m_Vm->isRunning();
    Then.m_Vm->signal(SIGTERM);
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
  case FaultKind::Cut:
  case FaultKind::CutOneWay:
  case FaultKind::Delay:
  case FaultKind::Loss:
    return applyToLinks(Value, Now);
  case FaultKind::Reset:
  case FaultKind::Silence:
    return breakOpenConnections(Value);
  case FaultKind::PowerLoss:
  case FaultKind::ClockStep:
  case FaultKind::DiskSlow:
  case FaultKind::DiskFull:
    return applyToDisk(Value, Now);
  default:
    return;
  }
}

} // namespace fireflydrift::soak
