#include "runtime/replica_driver.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

// Entries before a snapshot that stay in memory for followers that lag.
static constexpr std::uint64_t KeptEntries = 1000;

// ---- Opening ---------------------------------------------------------------

ReplicaDriver::ReplicaDriver(ReplicaDriverOptions Options, Send Sender,
                             OnApplied Observer, Journal Files,
                             RecoveredContent Content) noexcept
    : m_Options(std::move(Options)), m_Send(std::move(Sender)),
      m_OnApplied(std::move(Observer)), m_Journal(std::move(Files)),
      m_Found(std::move(Content)) {}

core::Outcome<ReplicaDriver> ReplicaDriver::open(ReplicaDriverOptions Options,
                                                 Send Sender,
                                                 OnApplied Observer,
                                                 core::Time Now) {
  auto Opened = Journal::open(Options.m_DataFolder);
  if (!Opened)
    return Opened.reason();
  auto [Files, Content] = *std::move(Opened);
  control::State State;
  if (!Content.m_SnapshotState.empty()) {
    auto Tables = messages::decodeTables(Content.m_SnapshotState);
    if (!Tables)
      return Tables.reason();
    State = control::restore(*std::move(Tables));
  }
  ReplicaDriver Host(std::move(Options), std::move(Sender), std::move(Observer),
                     std::move(Files), std::move(Content));
  replica::RecoveredState Disk = Host.m_Found.m_Recovered;
  Host.m_Found.m_Recovered.m_Entries.clear();
  Host.m_Found.m_SnapshotState.clear();
  bool New = Disk.m_Hard.m_Incarnation == 0;
  if (New)
    Disk.m_Hard.m_Incarnation = Host.m_Options.m_NewIncarnation;
  Host.m_SnapshotIndex = Disk.m_Snapshot.m_Index;
  Host.m_State = std::move(State);
  Host.m_Replica =
      replica::start(Host.m_Options.m_Identity, Host.m_Options.m_Replica,
                     std::move(Disk), Now);
  if (New) {
    Host.check(Host.m_Journal.append({.m_Value = Host.m_Replica.m_Hard}));
    Host.check(Host.m_Journal.sync());
  }
  if (Host.m_DiskFailure.m_Code != core::ReasonCode::None)
    return Host.m_DiskFailure;
  return Host;
}

// ---- Carrying out effects --------------------------------------------------

void ReplicaDriver::check(const core::Outcome<bool> &Result) {
  if (!Result && m_DiskFailure.m_Code == core::ReasonCode::None) {
    m_DiskFailure = Result.reason();
    logEvent(Event::DiskFailed, {{"reason", core::toString(m_DiskFailure)}});
  }
}

void ReplicaDriver::install(const replica::InstallSnapshot &Value) {
  control::Tables Tables;
  if (!Value.m_State.empty()) {
    auto Decoded = messages::decodeTables(Value.m_State);
    if (!Decoded) {
      check(Decoded.reason());
      return;
    }
    Tables = *std::move(Decoded);
  }
  m_State = control::restore(std::move(Tables));
  m_SnapshotIndex = Value.m_Point.m_Index;
  m_Committed.clear();
  check(m_Journal.writeSnapshot(
      {.m_Point = Value.m_Point, .m_State = Value.m_State}, m_Replica.m_Hard,
      {}));
  logEvent(Event::SnapshotInstalled,
           {{"index", std::to_string(Value.m_Point.m_Index)},
            {"bytes", std::to_string(Value.m_State.size())}});
}

void ReplicaDriver::write(const replica::Effects &Value) {
  if (Value.m_Install)
    install(*Value.m_Install);
  if (Value.m_TruncateFrom)
    check(m_Journal.append(
        {.m_Value = messages::TruncateFrom{.m_Index = *Value.m_TruncateFrom}}));
  if (Value.m_HardState)
    check(m_Journal.append({.m_Value = *Value.m_HardState}));
  for (const replica::Entry &Each : Value.m_Append)
    check(m_Journal.append({.m_Value = Each}));
}

void ReplicaDriver::feed(const replica::Input &Value, core::Time Now) {
  // A replica that can't keep its promises makes none.
  if (m_DiskFailure.m_Code != core::ReasonCode::None)
    return;
  replica::Step Next = replica::step(std::move(m_Replica), Value, Now);
  m_Replica = std::move(Next.m_Replica);
  replica::Effects &Out = Next.m_Effects;
  write(Out);
  for (replica::Outgoing &Each : Out.m_Messages) {
    if (Each.m_BeforeSync)
      m_Send(Each.m_To, std::move(Each.m_Message));
    else
      m_AfterSync.push_back(std::move(Each));
  }
  for (replica::Entry &Each : Out.m_Committed)
    m_Committed.push_back(std::move(Each));
  for (core::VmId &Each : Out.m_SnapshotRecipients)
    m_SnapshotFor.push_back(std::move(Each));
}

void ReplicaDriver::flush(core::Time Now) {
  while (m_Journal.isDirty() || !m_AfterSync.empty() || !m_Committed.empty() ||
         !m_SnapshotFor.empty()) {
    bool Dirty = m_Journal.isDirty();
    check(m_Journal.sync());
    if (m_DiskFailure.m_Code != core::ReasonCode::None) {
      m_AfterSync.clear();
      m_Committed.clear();
      return;
    }
    for (replica::Outgoing &Each : std::exchange(m_AfterSync, {}))
      m_Send(Each.m_To, std::move(Each.m_Message));
    if (Dirty)
      feed(replica::Synced{.m_Index = m_Replica.m_Log.lastIndex()}, Now);
    applyCommitted();
    for (const core::VmId &To : std::exchange(m_SnapshotFor, {}))
      sendSnapshot(To, Now);
  }
  if (m_Replica.m_Commit - m_SnapshotIndex >=
      m_Options.m_SnapshotIntervalEntries)
    takeSnapshot(Now);
}

// ---- Applying --------------------------------------------------------------

void ReplicaDriver::applyCommitted() {
  for (replica::Entry &Each : std::exchange(m_Committed, {})) {
    control::ApplyResult Result;
    if (!Each.m_Commands.empty()) {
      auto Batch = messages::decodeBatch(Each.m_Commands);
      // Its checksum was right when it was stored, so this can't be repaired.
      if (!Batch) {
        check(Batch.reason());
        return;
      }
      Result = control::apply(std::move(m_State), *Batch);
      m_State = std::move(Result.m_State);
    }
    m_OnApplied(Each.m_Index, Result);
  }
}

// ---- Snapshots -------------------------------------------------------------

messages::SnapshotFile ReplicaDriver::snapshotNow() const {
  const replica::Log &Log = m_Replica.m_Log;
  std::uint64_t Index = m_Replica.m_Commit;
  return {.m_Point = {.m_Index = Index,
                      .m_Term = Log.termAt(Index).value_or(0),
                      .m_Members = Log.membersAt(Index)},
          .m_State = messages::encode(m_State.m_Tables)};
}

void ReplicaDriver::sendSnapshot(const core::VmId &To, core::Time Now) {
  messages::SnapshotFile Value = snapshotNow();
  m_Send(To, replica::InstallSnapshot{.m_Term = m_Replica.m_Hard.m_Term,
                                      .m_Point = std::move(Value.m_Point),
                                      .m_SentAt = Now,
                                      .m_State = std::move(Value.m_State)});
}

void ReplicaDriver::takeSnapshot(core::Time Now) {
  messages::SnapshotFile Value = snapshotNow();
  const replica::Log &Log = m_Replica.m_Log;
  std::vector<replica::Entry> Tail = Log.slice(
      Value.m_Point.m_Index + 1, Log.lastIndex(), static_cast<std::size_t>(-1));
  check(m_Journal.writeSnapshot(Value, m_Replica.m_Hard, Tail));
  m_SnapshotIndex = Value.m_Point.m_Index;
  logEvent(Event::SnapshotWritten,
           {{"index", std::to_string(m_SnapshotIndex)},
            {"bytes", std::to_string(Value.m_State.size())}});
  if (m_SnapshotIndex > KeptEntries)
    feed(replica::SnapshotTaken{.m_Index = m_SnapshotIndex - KeptEntries}, Now);
}

} // namespace fireflydrift::runtime
