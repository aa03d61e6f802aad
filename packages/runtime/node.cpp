#include "runtime/node.h"

#include "runtime/events.h"

#include <algorithm>
#include <random>

namespace fireflydrift::runtime {

static constexpr core::Duration ReplicaTickInterval{25};
// How long a report is held while no leader is known. Its target drops an
// answer that takes longer than a second.
static constexpr core::Duration HoldWithoutLeader{700};
// Bounds the memory that held reports take.
static constexpr std::size_t MaxHeldReports = 4096;
// Held reports that are sent on to a new leader in one tick.
static constexpr std::size_t MaxReleasedReports = 64;
// Interval between two looks at all connections to other VMs.
static constexpr core::Duration MaintainInterval{10};
// Time without any message after which a discovered VM is removed, unless it is
// a replica.
static constexpr core::Duration RemoveVmAfter{30000};

// A random number, so that processes of the same VM draw different ones.
static std::uint64_t drawUniqueNumber() {
  std::random_device Random;
  return static_cast<std::uint64_t>(Random()) << 32U | Random();
}

static EntryOptions entryOptions(const Settings &Values) {
  return {.m_Admission = Values.m_Admission,
          .m_Retry = {.m_Seed = Values.m_Replica.m_Seed},
          .m_Heartbeats = Values.m_Leader.m_Heartbeats,
          .m_OperationTimeout = Values.m_OperationDeadline,
          .m_TargetLease = Values.m_Leader.m_Dispatch.m_Lease,
          .m_FirstOperation = drawUniqueNumber()};
}

static LinkOptions linkOptions(const Settings &Values) {
  bool UsesDiscovery = !Values.m_Seeds.empty();
  return {.m_DiscoveryPort =
              UsesDiscovery ? Values.m_Self.m_Port : std::uint16_t{0}};
}

static membership::Membership membershipOf(const Settings &Values) {
  return Values.m_Seeds.empty()
             ? membership::Membership(Values.m_Self.m_Id, Values.m_Vms)
             : membership::Membership::withDiscovery(Values.m_Self,
                                                     Values.m_Vms);
}

Node::Node(Loop &EventLoop, Settings Values)
    : m_Loop(EventLoop), m_Settings(std::move(Values)),
      m_Links(EventLoop, m_Settings.m_Self.m_Id, m_Settings.m_Vms,
              linkOptions(m_Settings)),
      m_HttpClient(EventLoop), m_Membership(membershipOf(m_Settings)),
      m_Entry(entryOptions(m_Settings), m_Counters,
              [this](const core::VmId &To, messages::Body Value) {
                sendTo(To, std::move(Value));
              }),
      m_LeaderDriver(m_Settings.m_Leader, m_Counters, makeLeaderCallbacks()) {}

// ---- Starting --------------------------------------------------------------

// Number of voters of which a majority remains after the tolerated losses, at
// least three.
static std::uint32_t votersFor(const Settings &Values) {
  constexpr std::uint32_t MinVoters = 3;
  return std::max(MinVoters, 2 * Values.m_ToleratedLosses + 1);
}

static ReplicaDriverOptions replicaOptions(const Settings &Values) {
  bool UsesDiscovery = !Values.m_Seeds.empty();
  std::set<core::VmId> Replicas;
  for (const membership::VmAddress &Each : Values.m_Vms)
    if (Each.m_Replica)
      Replicas.insert(Each.m_Id);
  // A replica that is not a seed itself does not bootstrap the replica set.
  auto IsSelf = [&](const std::string &Host) {
    return Host == Values.m_Self.m_Host;
  };
  bool IsSeed =
      std::any_of(Values.m_Seeds.begin(), Values.m_Seeds.end(), IsSelf);
  if (UsesDiscovery && !IsSeed)
    Replicas.erase(Values.m_Self.m_Id);
  return {.m_DataFolder = Values.m_DataFolder,
          .m_SnapshotIntervalEntries = Values.m_SnapshotIntervalEntries,
          .m_Identity = {.m_Self = Values.m_Self.m_Id,
                         .m_Region = Values.m_Self.m_Region,
                         .m_FailureDomain = Values.m_Self.m_FailureDomain,
                         .m_KnownPeers = std::move(Replicas),
                         .m_Join = {.m_MayBootstrap = Values.m_MayBootstrap,
                                    .m_AllowAnyVm = UsesDiscovery,
                                    .m_Voters = votersFor(Values)}},
          .m_Replica = Values.m_Replica,
          // Zero stands for a data folder without an incarnation.
          .m_NewIncarnation = drawUniqueNumber() | 1U};
}

core::Outcome<bool> Node::start() {
  if (m_Settings.m_Self.m_Replica) {
    auto Opened = ReplicaDriver::open(
        replicaOptions(m_Settings),
        [this](const core::VmId &To, replica::Message Value) {
          sendTo(To, messages::ReplicaMessage{std::move(Value)});
        },
        [this](std::uint64_t Index, const control::ApplyResult &Result) {
          onApplied(Index, Result);
        },
        now());
    if (!Opened)
      return Opened.reason();
    m_Replica.emplace(*std::move(Opened));
    const RecoveredContent &Content = m_Replica->recoveredContent();
    logEvent(Event::RecoveredFromDisk,
             {{"records", std::to_string(Content.m_Records)},
              {"torn_bytes", std::to_string(Content.m_TornBytes)},
              {"last_index",
               std::to_string(m_Replica->replica().m_Log.lastIndex())}});
  }
  return m_Links.listen(
      {.m_OnMessage =
           [this](messages::Envelope Value) { onMessage(std::move(Value)); },
       .m_OnHeartbeat =
           [this](const membership::Heartbeat &Value) { onHeartbeat(Value); },
       .m_OnRefused = [this](const Refusal &Value) { recordRefusal(Value); },
       .m_OnOperationsDropped =
           [this](const core::VmId &To, const std::vector<std::uint64_t> &Ids) {
             m_Entry.onUnacknowledged(To, Ids, now());
           }});
}

// ---- Observation -----------------------------------------------------------

bool Node::leads(core::Time Now) const {
  return m_Replica && m_LeaderDriver.isLeading() && !m_Replica->hasFailed() &&
         replica::holdsLease(m_Replica->replica(), Now);
}

std::uint64_t Node::configurationVersion() const {
  return m_Replica ? m_Replica->state().m_Tables.m_Configuration.version()
                   : m_KnownVersion;
}

core::VmId Node::leader(core::Time Now) const {
  if (leads(Now))
    return m_Settings.m_Self.m_Id;
  core::VmId Followed = followedLeader();
  if (!Followed.empty() && Followed != m_Settings.m_Self.m_Id)
    return Followed;
  core::VmId Named = m_Membership.leader(Now, m_Detection);
  return Named == m_Settings.m_Self.m_Id ? core::VmId() : Named;
}

core::VmId Node::followedLeader() const {
  // A replica whose disk failed takes no input, so it misses later leaders.
  bool IsCurrent = m_Replica && !m_Replica->hasFailed();
  return IsCurrent ? m_Replica->replica().m_Leader : core::VmId();
}

bool Node::isHealthy() const {
  bool DiskWorks = !m_Replica || !m_Replica->hasFailed();
  return DiskWorks && !m_Entry.admission().m_Draining;
}

bool Node::isDrained(core::Time Now) const {
  if (!m_Entry.admission().m_Draining)
    return false;
  bool Idle = m_Entry.pendingCount() == 0 &&
              m_LeaderDriver.pendingCount() == 0 && !awaitsRemoval() &&
              Now - m_DrainingSince >= m_Settings.m_MinDrainTime;
  return Idle || Now - m_DrainingSince >= m_Settings.m_DrainTimeout;
}

bool Node::awaitsRemoval() const {
  if (!m_Replica || !replica::awaitsRemoval(m_Replica->replica()))
    return false;
  // A removed replica gets no entries any more, so its own log does not tell.
  return m_Replica->replica().m_Role == replica::Role::Leader ||
         m_LeaderNamesSelf;
}

std::string Node::metricsText() {
  core::Time Now = now();
  m_Counters.set("fireflydrift_configuration_version", configurationVersion());
  m_Counters.set("fireflydrift_held_requests", m_Entry.pendingCount());
  m_Counters.set("fireflydrift_leader", leads(Now) ? 1 : 0);
  if (m_Replica) {
    const control::State &State = m_Replica->state();
    m_Counters.set("fireflydrift_term", m_Replica->replica().m_Hard.m_Term);
    m_Counters.set("fireflydrift_log_entries",
                   m_Replica->replica().m_Log.size());
    m_Counters.set("fireflydrift_journal_bytes_total",
                   m_Replica->journal().bytesWritten());
    m_Counters.set("fireflydrift_journal_syncs_total",
                   m_Replica->journal().syncs());
    control::StatusView Status = control::statusOf(State, {}, Now);
    m_Counters.set("fireflydrift_evacuated_domains",
                   Status.m_EvacuatedDomains.size());
    for (const auto &[Outcome, Count] : Status.m_JobsByOutcome)
      m_Counters.set("fireflydrift_jobs", Count, "outcome=\"" + Outcome + "\"");
    m_Counters.set("fireflydrift_free_accelerators",
                   static_cast<std::uint64_t>(Status.m_FreeAccelerators));
  }
  for (const auto &[Vm, Each] : m_Links.traffic()) {
    std::string Label = "vm=\"" + Vm.text() + "\"";
    m_Counters.set("fireflydrift_link_bytes_in_total", Each.m_BytesIn, Label);
    m_Counters.set("fireflydrift_link_bytes_out_total", Each.m_BytesOut, Label);
    m_Counters.set("fireflydrift_link_dropped_total", Each.m_DroppedMessages,
                   Label);
    m_Counters.set("fireflydrift_link_silent_total", Each.m_StalledConnections,
                   Label);
  }
  return m_Counters.text();
}

void Node::completeStatus(control::StatusView &View) const {
  core::Time Now = now();
  const replica::Replica &Self = m_Replica->replica();
  View.m_Leader = Self.m_Self;
  View.m_Term = Self.m_Hard.m_Term;
  View.m_Commit = Self.m_Commit;
  // Operators see a change of the replica set only once it is committed; until
  // then the loss of another replica could still undo it.
  const replica::Members &Members = Self.m_Log.membersAt(Self.m_Commit);
  for (const auto &[Vm, Known] : m_Membership.contacts()) {
    control::VmStatus Status{
        .m_Vm = Vm,
        .m_Liveness =
            membership::toString(m_Membership.liveness(Vm, Now, m_Detection)),
        .m_Role = "entry",
        .m_ConfigurationVersion = Known.m_ConfigurationVersion};
    if (Vm == Self.m_Self) {
      Status.m_ConfigurationVersion = View.m_ConfigurationVersion;
      Status.m_Role = "leader";
    } else if (const replica::Member *Member = Members.find(Vm)) {
      auto Progress = Self.m_Progress.find(Vm);
      bool Answers =
          Progress != Self.m_Progress.end() && Progress->second.m_Answered &&
          Now - Progress->second.m_AnsweredSentAt < m_Detection.m_SuspectAfter;
      Status.m_Role = Member->m_Voter ? "voter" : "learner";
      if (!Answers)
        Status.m_Role += "-silent";
      if (Progress != Self.m_Progress.end())
        Status.m_EntriesBehind =
            Self.m_Commit - std::min(Self.m_Commit, Progress->second.m_Match);
    }
    if (Status.m_ConfigurationVersion < View.m_ConfigurationVersion)
      Status.m_BehindReason =
          Status.m_Liveness == "alive"
              ? "has not confirmed the newest configuration version yet"
              : "no recent heartbeat: " + Status.m_Liveness;
    View.m_Vms.push_back(std::move(Status));
  }
}

// ---- Messages --------------------------------------------------------------

void Node::sendTo(const core::VmId &To, messages::Body Value) {
  if (To != m_Settings.m_Self.m_Id) {
    m_Links.send(To, Value);
    return;
  }
  std::visit([&](auto &Typed) { handle(To, Typed); }, Value);
}

void Node::onMessage(messages::Envelope Value) {
  m_Membership = std::move(m_Membership).withFrame(Value.m_From, now());
  std::visit([&](auto &Typed) { handle(Value.m_From, Typed); }, Value.m_Body);
}

void Node::handle(const core::VmId &From, messages::ReplicaMessage &Value) {
  if (m_Replica)
    m_Replica->step(replica::Received{.m_From = From,
                                      .m_Message = std::move(Value.m_Message)},
                    now());
}

void Node::handle(const core::VmId &From, messages::ForwardOperation &Value) {
  Origin Source{.m_Vm = From, .m_Id = Value.m_Id};
  core::Time Now = now();
  if (leads(Now))
    m_LeaderDriver.decide(Source, Value.m_Operation, m_Replica->state(), Now);
  else
    sendTo(From, messages::NotLeader{.m_Id = Value.m_Id});
}

void Node::handle(const core::VmId &, messages::OperationReply &Value) {
  m_Entry.complete(Value.m_Id, std::move(Value.m_Reply), now());
}

void Node::handle(const core::VmId &, messages::NotLeader &Value) {
  m_Entry.onNotLeader(Value.m_Id, now());
}

void Node::handle(const core::VmId &From, messages::ReportHeartbeats &Value) {
  if (m_LeaderDriver.onHeartbeatSummary(From, Value.m_Summary, now()))
    sendTo(From, messages::RequestHeartbeats{});
  if (!m_Replica)
    return;
  auto LostTargets =
      m_LeaderDriver.lostTargetsStillHeard(From, m_Replica->state());
  if (!LostTargets.empty())
    sendTo(From, messages::ReannounceTargets{std::move(LostTargets)});
}

void Node::handle(const core::VmId &, messages::RequestHeartbeats &) {
  m_Entry.requestFullSummary();
}

void Node::handle(const core::VmId &, messages::ReannounceTargets &Value) {
  for (const core::TargetId &Id : Value.m_Targets)
    m_Entry.requireReannouncement(Id);
}

void Node::onHeartbeat(const membership::Heartbeat &Value) {
  core::Time Now = now();
  m_Membership = std::move(m_Membership).withDatagram(Value, Now);
  if (m_Replica && m_Membership.hasDiscovery() && !Value.m_Replicas.empty())
    m_Replica->step(replica::PeersDiscovered{.m_Vms = {Value.m_Replicas.begin(),
                                                       Value.m_Replicas.end()}},
                    Now);
  if (!Value.m_HoldsLease)
    return;
  m_LeaderNamesSelf =
      std::find(Value.m_Replicas.begin(), Value.m_Replicas.end(),
                m_Settings.m_Self.m_Id) != Value.m_Replicas.end();
  m_NewestVersion = std::max(m_NewestVersion, Value.m_ConfigurationVersion);
  // Only a VM whose configuration is at least as new as the leader's may go on
  // admitting requests and extending leases.
  if (configurationVersion() >= Value.m_ConfigurationVersion)
    m_Entry.recordLeaderHeartbeat(Now);
}

// ---- Leading ---------------------------------------------------------------

LeaderCallbacks Node::makeLeaderCallbacks() {
  return {
      .m_Propose =
          [this](const control::Batch &Value) {
            m_Replica->step(
                replica::Propose{.m_Commands = messages::encode(Value)}, now());
            return m_Replica->replica().m_Log.lastIndex();
          },
      .m_HoldsLease = [this] { return leads(now()); },
      .m_Call = [this](const control::Call &Value) { callTarget(Value); },
      .m_Reply =
          [this](const Origin &To, control::Reply Value) {
            sendTo(To.m_Vm, messages::OperationReply{
                                .m_Id = To.m_Id, .m_Reply = std::move(Value)});
          },
      .m_RejectNotLeader =
          [this](const Origin &To) {
            sendTo(To.m_Vm, messages::NotLeader{.m_Id = To.m_Id});
          },
      .m_CompleteStatus =
          [this](control::StatusView &View) { completeStatus(View); }};
}

void Node::callTarget(const control::Call &Value) {
  HttpClientRequest Request{.m_Method = "POST",
                            .m_Host = Value.m_Host,
                            .m_Port = Value.m_Port,
                            .m_Path = std::string("/v1/") +
                                      control::toString(Value.m_Verb),
                            .m_Body = messages::encodeCall(Value)};
  control::CallReply Reply{.m_Verb = Value.m_Verb,
                           .m_Target = Value.m_Target,
                           .m_Lease = Value.m_Lease};
  m_HttpClient.send(
      Request, [this, Reply](std::optional<HttpClientResponse> Response) {
        control::CallReply Filled = Reply;
        if (Response)
          Filled.m_Outcome = messages::decodeCallOutcome(Response->m_Body);
        if (m_Replica)
          m_LeaderDriver.onCallReply(Filled, m_Replica->state(), now());
      });
}

void Node::onApplied(std::uint64_t Index, const control::ApplyResult &Result) {
  // The entry at this index may be another leader's instead of the one that
  // this VM proposed; operations that wait for the proposal must not be
  // answered with its result.
  const replica::Replica &Self = m_Replica->replica();
  bool Leads = Self.m_Role == replica::Role::Leader &&
               Self.m_Hard.m_Term == m_LeaderDriver.term();
  if (m_LeaderDriver.isLeading() && !Leads)
    m_LeaderDriver.end();
  m_Counters.add("fireflydrift_commits_total");
  std::uint64_t Version = configurationVersion();
  if (Version != m_LoggedVersion) {
    m_LoggedVersion = Version;
    logEvent(Event::ConfigurationInForce,
             {{"version", std::to_string(Version)}});
  }
  m_LeaderDriver.onApplied(Index, Result, m_Replica->state(), now());
}

void Node::logReplicas(const replica::Members &Current) {
  if (Current == m_LoggedReplicas)
    return;
  m_LoggedReplicas = Current;
  std::string Voters;
  std::string Learners;
  for (const auto &[Vm, Value] : Current.all()) {
    std::string &List = Value.m_Voter ? Voters : Learners;
    List += (List.empty() ? "" : ",") + Vm.text();
  }
  logEvent(Event::ReplicasChanged,
           {{"voters", Voters}, {"learners", Learners}});
}

void Node::applyRoleChange(core::Time Now) {
  const replica::Replica &Self = m_Replica->replica();
  if (Self.m_Role != m_LastRole || Self.m_Leader != m_LastLeader) {
    m_LastRole = Self.m_Role;
    m_LastLeader = Self.m_Leader;
    logEvent(Event::RoleChanged, {{"role", replica::toString(Self.m_Role)},
                                  {"term", std::to_string(Self.m_Hard.m_Term)},
                                  {"leader", Self.m_Leader.text()}});
  }
  logReplicas(Self.m_Log.membersAt(Self.m_Commit));
  bool DiskWorks = !m_Replica->hasFailed();
  bool Leads = DiskWorks && replica::holdsLease(Self, Now);
  if (Leads && !m_LeaderDriver.isLeading()) {
    m_LeaderDriver.begin(m_Replica->state(), Self.m_Hard.m_Term, Now);
    // The other VMs now forward operations over these connections and wait to
    // learn who leads: reconnect the idle ones and send heartbeats at once.
    m_Links.reconnectIdle(std::nullopt, Now);
    m_LastHeartbeatAt = {};
  }
  // A leader that only lost its lease keeps its working state, and resumes if
  // it regains the lease before another leader is elected. One whose disk
  // failed can't tell whether another is elected.
  bool MayResume = DiskWorks && Self.m_Role == replica::Role::Leader;
  if (!MayResume && m_LeaderDriver.isLeading())
    m_LeaderDriver.end();
}

// ---- Ticks -----------------------------------------------------------------

void Node::tickReplica(core::Time Now) {
  if (Now - m_LastReplicaTickAt >= ReplicaTickInterval) {
    m_LastReplicaTickAt = Now;
    std::set<core::VmId> Draining = drainingVms();
    if (Draining != m_Replica->replica().m_Draining)
      m_Replica->step(replica::VmsDraining{std::move(Draining)}, Now);
    m_Replica->step(replica::Tick{}, Now);
  }
  m_Replica->flush(Now);
  // The disk may have blocked the loop long enough for the lease to expire.
  Now = now();
  applyRoleChange(Now);
  if (!leads(Now))
    return;
  m_LeaderDriver.tick(m_Replica->state(), Now);
  m_LeaderDriver.flush(Now);
  m_Replica->flush(Now);
}

void Node::logLiveness(core::Time Now) {
  for (const auto &[Vm, Known] : m_Membership.contacts()) {
    membership::Liveness Next = m_Membership.liveness(Vm, Now, m_Detection);
    membership::Liveness &Last = m_LastLiveness[Vm];
    if (Next == Last)
      continue;
    Last = Next;
    logEvent(Event::VmLiveness,
             {{"vm", Vm.text()}, {"liveness", membership::toString(Next)}});
  }
}

void Node::removeUnresponsiveVms(core::Time Now) {
  if (!m_Membership.hasDiscovery())
    return;
  m_Membership = std::move(m_Membership).withReplicas(knownReplicas(), Now);
  m_Membership =
      std::move(m_Membership).withoutUnresponsive(Now, RemoveVmAfter);
  std::set<core::VmId> Known;
  for (const auto &[Vm, Contact] : m_Membership.contacts())
    Known.insert(Vm);
  m_Links.retainPeers(Known);
}

std::vector<core::VmId> Node::knownReplicas() const {
  std::vector<core::VmId> Known;
  if (!m_Replica || !m_Membership.hasDiscovery())
    return Known;
  // The newest replica set, committed or not: after a restart the commit index
  // is known again only once these replicas have elected a leader. A replica
  // whose removal is not committed is still one.
  const replica::Replica &Self = m_Replica->replica();
  replica::Members All = Self.m_Log.membersAt(Self.m_Log.lastIndex());
  for (const auto &[Vm, Value] : Self.m_Log.membersAt(Self.m_Commit).all())
    All = All.with(Vm, Value);
  for (const auto &[Vm, Value] : All.all())
    Known.push_back(Vm);
  return Known;
}

std::set<core::VmId> Node::drainingVms() const {
  std::set<core::VmId> Draining;
  for (const auto &[Vm, Known] : m_Membership.contacts())
    if (Known.m_Draining)
      Draining.insert(Vm);
  if (m_Entry.admission().m_Draining)
    Draining.insert(m_Settings.m_Self.m_Id);
  return Draining;
}

void Node::sendHeartbeats(core::Time Now) {
  bool Leads = leads(Now);
  if (Leads)
    m_Entry.recordLeaderHeartbeat(Now);
  if (Now - m_LastHeartbeatAt < m_Settings.m_HeartbeatInterval)
    return;
  m_LastHeartbeatAt = Now;
  logLiveness(Now);
  removeUnresponsiveVms(Now);
  membership::Heartbeat Value{
      .m_From = m_Settings.m_Self.m_Id,
      .m_ConfigurationVersion = configurationVersion(),
      .m_Draining = m_Entry.admission().m_Draining,
      .m_Leader = followedLeader(),
      .m_Term = m_Replica ? m_Replica->replica().m_Hard.m_Term : 0,
      .m_HoldsLease = Leads,
      .m_Replicas = knownReplicas()};
  for (const auto &[Vm, Known] : m_Membership.contacts()) {
    if (Vm == m_Settings.m_Self.m_Id)
      continue;
    m_Links.sendHeartbeat(Vm, Value);
  }
  reopenStalledConnections(Now);
}

// Reconnects to a leader whose datagrams still arrive while frames on its
// connection do not: the connection has stalled, not the VM.
void Node::reopenStalledConnections(core::Time Now) {
  for (const core::VmId &Vm :
       m_Membership.stalledConnections(Now, m_Detection)) {
    if (followedLeader() != Vm)
      continue;
    logEvent(Event::ConnectionSilent, {{"vm", Vm.text()}});
    m_Links.reconnect(Vm);
    // Counts as a received frame, so that the new connection gets the full time
    // before it counts as stalled.
    m_Membership = std::move(m_Membership).withFrame(Vm, Now);
  }
}

void Node::refreshConfiguration(core::Time Now) {
  if (m_Replica || m_ReadingConfiguration || m_KnownVersion >= m_NewestVersion)
    return;
  m_ReadingConfiguration = true;
  m_Entry.submit(
      control::ReadConfiguration{.m_VersionOnly = true}, core::WorkspaceId(),
      [this](const control::Reply &Value) {
        m_ReadingConfiguration = false;
        if (const auto *View = std::get_if<control::ConfigurationView>(&Value))
          m_KnownVersion = std::max(m_KnownVersion, View->m_Fields.m_Version);
      },
      Now);
}

core::Duration Node::tick() {
  core::Time Now = now();
  if (Now - m_LastMaintainAt >= MaintainInterval) {
    m_LastMaintainAt = Now;
    m_Links.maintain(Now);
  }
  m_HttpClient.expire(Now);
  if (m_Replica)
    tickReplica(Now);
  sendHeartbeats(Now);
  refreshConfiguration(Now);
  core::VmId Leader = leader(Now);
  if (Leader != m_ReconnectedLeader) {
    m_ReconnectedLeader = Leader;
    m_Links.reconnectIdle(Leader, Now);
  }
  m_Entry.tick(Leader, Now);
  if (m_Replica) {
    m_LeaderDriver.flush(Now);
    m_Replica->flush(Now);
  }
  releaseHeldReports(Now);
  if (!leads(Now))
    return ReplicaTickInterval;
  if (m_LeaderDriver.hasWork(m_Replica->state()))
    return LeaderDriver::TickInterval;
  return m_LeaderDriver.polling().timeUntilDue(Now, ReplicaTickInterval);
}

void Node::report(roster::Report Value, OrdersCallback Answer) {
  core::Time Now = now();
  if (leads(Now)) {
    m_LeaderDriver.polling().report(std::move(Value), std::move(Answer),
                                    m_Replica->state(), Now);
    return;
  }
  if (!leader(Now).empty() || m_HeldReports.size() >= MaxHeldReports)
    return Answer(std::nullopt);
  m_HeldReports.push_back({.m_Report = std::move(Value),
                           .m_Answer = std::move(Answer),
                           .m_Until = Now + HoldWithoutLeader});
}

// Answers held reports once a leader is known. Those that are sent to another
// VM are released some at a time, so that they do not reach it all at once.
void Node::releaseHeldReports(core::Time Now) {
  bool Leads = leads(Now);
  bool HasLeader = Leads || !leader(Now).empty();
  for (std::size_t Released = 0; !m_HeldReports.empty(); ++Released) {
    HeldReport &First = m_HeldReports.front();
    bool Due = Leads || (HasLeader && Released < MaxReleasedReports) ||
               Now >= First.m_Until;
    if (!Due)
      return;
    HeldReport Next = std::move(First);
    m_HeldReports.pop_front();
    if (Leads)
      m_LeaderDriver.polling().report(std::move(Next.m_Report),
                                      std::move(Next.m_Answer),
                                      m_Replica->state(), Now);
    else
      Next.m_Answer(std::nullopt);
  }
}

core::Reason Node::checkReport(const roster::Report &Value) const {
  return roster::checkReport(
      Value, m_Settings.m_Leader.m_Polling.m_ReportLimits, now());
}

void Node::leave(const roster::Departure &Value) {
  if (leads(now()))
    m_LeaderDriver.polling().leave(Value);
}

void Node::recordRefusal(const Refusal &Value) {
  m_Refusals = runtime::recordRefusal(m_Refusals, m_Counters, Value, now());
}

void Node::drain(core::Time Now) {
  if (m_Entry.admission().m_Draining)
    return;
  m_Entry.drain();
  m_DrainingSince = Now;
  // The others hear of it at once.
  m_LastHeartbeatAt = {};
  logEvent(Event::Stopping, {{"held", std::to_string(m_Entry.pendingCount())}});
  if (m_Replica)
    m_Replica->step(replica::StartLeadershipTransfer{}, Now);
}

} // namespace fireflydrift::runtime
