#include "runtime/replica_driver.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

// Log entries before a snapshot that stay in memory for lagging followers.
static constexpr std::uint64_t RetainedEntries = 1000;
// Time between two attempts to use a disk again that refused a write.
static constexpr core::Duration DiskRetryInterval{250};

// ---- Opening ---------------------------------------------------------------

ReplicaDriver::ReplicaDriver(ReplicaDriverOptions Options, Send SendCallback,
                             OnApplied AppliedCallback, Journal Files,
                             RecoveredContent Content) noexcept
    : m_Options(std::move(Options)), m_Send(std::move(SendCallback)),
      m_OnApplied(std::move(AppliedCallback)), m_Journal(std::move(Files)),
      m_RecoveredContent(std::move(Content)) {}

core::Outcome<ReplicaDriver> ReplicaDriver::open(ReplicaDriverOptions Options,
                                                 Send SendCallback,
                                                 OnApplied AppliedCallback,
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
  ReplicaDriver Driver(std::move(Options), std::move(SendCallback),
                       std::move(AppliedCallback), std::move(Files),
                       std::move(Content));
  replica::RecoveredState Recovered = Driver.m_RecoveredContent.m_Recovered;
  Driver.m_RecoveredContent.m_Recovered.m_Entries.clear();
  Driver.m_RecoveredContent.m_SnapshotState.clear();
  bool New = Recovered.m_Hard.m_Incarnation == 0;
  if (New)
    Recovered.m_Hard.m_Incarnation = Driver.m_Options.m_NewIncarnation;
  Driver.m_SnapshotIndex = Recovered.m_Snapshot.m_Index;
  Driver.m_State = std::move(State);
  Driver.m_Replica =
      replica::start(Driver.m_Options.m_Identity, Driver.m_Options.m_Replica,
                     std::move(Recovered), Now);
  if (New) {
    Driver.recordDiskError(
        Driver.m_Journal.append({.m_Value = Driver.m_Replica.m_Hard}));
    Driver.recordDiskError(Driver.m_Journal.sync());
  }
  if (Driver.hasFailed())
    return Driver.m_DiskFailure;
  return Driver;
}

// ---- Carrying out effects --------------------------------------------------

void ReplicaDriver::recordDiskError(const core::Outcome<bool> &Result) {
  if (!Result && !hasFailed()) {
    m_DiskFailure = Result.reason();
    logEvent(Event::DiskFailed, {{"reason", core::toString(m_DiskFailure)}});
  }
}

void ReplicaDriver::installSnapshot(const replica::InstallSnapshot &Value) {
  control::Tables Tables;
  if (!Value.m_State.empty()) {
    auto Decoded = messages::decodeTables(Value.m_State);
    if (!Decoded) {
      recordDiskError(Decoded.reason());
      return;
    }
    Tables = *std::move(Decoded);
  }
  m_State = control::restore(std::move(Tables));
  m_SnapshotIndex = Value.m_Point.m_Index;
  m_Committed.clear();
  recordDiskError(m_Journal.writeSnapshot(
      {.m_Point = Value.m_Point, .m_State = Value.m_State}, m_Replica.m_Hard,
      {}));
  logEvent(Event::SnapshotInstalled,
           {{"index", std::to_string(Value.m_Point.m_Index)},
            {"bytes", std::to_string(Value.m_State.size())}});
}

void ReplicaDriver::write(const replica::Effects &Value) {
  if (Value.m_Install)
    installSnapshot(*Value.m_Install);
  if (Value.m_TruncateFrom)
    recordDiskError(m_Journal.append(
        {.m_Value = messages::TruncateFrom{.m_Index = *Value.m_TruncateFrom}}));
  if (Value.m_HardState)
    recordDiskError(m_Journal.append({.m_Value = *Value.m_HardState}));
  for (const replica::Entry &Each : Value.m_Append)
    recordDiskError(m_Journal.append({.m_Value = Each}));
}

void ReplicaDriver::step(const replica::Input &Value, core::Time Now) {
  // Votes and acknowledgements can't be made durable after a disk error, so
  // none are given.
  if (hasFailed())
    return;
  replica::Step Next = replica::step(std::move(m_Replica), Value, Now);
  m_Replica = std::move(Next.m_Replica);
  replica::Effects &Out = Next.m_Effects;
  write(Out);
  for (replica::Outgoing &Each : Out.m_Messages) {
    if (Each.m_BeforeSync)
      m_Send(Each.m_To, std::move(Each.m_Message));
    else
      m_MessagesAfterSync.push_back(std::move(Each));
  }
  for (replica::Entry &Each : Out.m_Committed)
    m_Committed.push_back(std::move(Each));
  for (core::VmId &Each : Out.m_SnapshotRecipients)
    m_SnapshotRecipients.push_back(std::move(Each));
}

void ReplicaDriver::flush(core::Time Now) {
  if (hasFailed())
    retryDisk(Now);
  while (!hasFailed() &&
         (m_Journal.isDirty() || !m_MessagesAfterSync.empty() ||
          !m_Committed.empty() || !m_SnapshotRecipients.empty()))
    flushOnce(Now);
  if (hasFailed()) {
    m_MessagesAfterSync.clear();
    m_SnapshotRecipients.clear();
    return;
  }
  if (m_Replica.m_Commit - m_SnapshotIndex >=
      m_Options.m_SnapshotIntervalEntries)
    takeSnapshot(Now);
}

void ReplicaDriver::flushOnce(core::Time Now) {
  bool Dirty = m_Journal.isDirty();
  recordDiskError(m_Journal.sync());
  if (hasFailed())
    return;
  for (replica::Outgoing &Each : std::exchange(m_MessagesAfterSync, {}))
    m_Send(Each.m_To, std::move(Each.m_Message));
  if (Dirty)
    step(replica::Synced{.m_Index = m_Replica.m_Log.lastIndex()}, Now);
  applyCommitted();
  // A snapshot would claim entries that were not applied.
  if (hasFailed())
    return;
  for (const core::VmId &To : std::exchange(m_SnapshotRecipients, {}))
    sendSnapshot(To, Now);
}

// ---- Disk errors -----------------------------------------------------------

// Takes part again once the disk takes data: whatever the failed write left
// there is replaced by a snapshot and a segment of what this replica holds.
// What it holds beyond its last sync was promised to nobody.
void ReplicaDriver::retryDisk(core::Time Now) {
  bool CanRetry = m_DiskFailure.m_Code == core::ReasonCode::Io;
  if (!CanRetry || Now - m_DiskTriedAt < DiskRetryInterval)
    return;
  m_DiskTriedAt = Now;
  if (!m_Journal.checkWritable())
    return;
  applyCommitted();
  // An entry that can't be decoded has no place in a snapshot.
  if (m_DiskFailure.m_Code != core::ReasonCode::Io || !writeSnapshot())
    return;
  m_DiskFailure = {};
  logEvent(Event::DiskRecovered,
           {{"index", std::to_string(m_Replica.m_Log.lastIndex())}});
  step(replica::Synced{.m_Index = m_Replica.m_Log.lastIndex()}, Now);
}

// ---- Applying --------------------------------------------------------------

void ReplicaDriver::applyCommitted() {
  for (replica::Entry &Each : std::exchange(m_Committed, {})) {
    control::ApplyResult Result;
    if (!Each.m_Commands.empty()) {
      auto Batch = messages::decodeBatch(Each.m_Commands);
      // The checksum was valid when the batch was stored, so a batch that can't
      // be decoded can't be repaired. This takes the place of a disk error,
      // which could pass.
      if (!Batch) {
        m_DiskFailure = {};
        recordDiskError(Batch.reason());
        return;
      }
      Result = control::apply(std::move(m_State), *Batch);
      m_State = std::move(Result.m_State);
    }
    m_OnApplied(Each.m_Index, Result);
  }
}

// ---- Snapshots -------------------------------------------------------------

messages::SnapshotFile ReplicaDriver::makeSnapshot() const {
  const replica::Log &Log = m_Replica.m_Log;
  std::uint64_t Index = m_Replica.m_Commit;
  return {.m_Point = {.m_Index = Index,
                      .m_Term = Log.termAt(Index).value_or(0),
                      .m_Members = Log.membersAt(Index)},
          .m_State = messages::encode(m_State.m_Tables)};
}

void ReplicaDriver::sendSnapshot(const core::VmId &To, core::Time Now) {
  messages::SnapshotFile Value = makeSnapshot();
  m_Send(To, replica::InstallSnapshot{.m_Term = m_Replica.m_Hard.m_Term,
                                      .m_Point = std::move(Value.m_Point),
                                      .m_SentAt = Now,
                                      .m_State = std::move(Value.m_State)});
}

core::Outcome<bool> ReplicaDriver::writeSnapshot() {
  messages::SnapshotFile Value = makeSnapshot();
  const replica::Log &Log = m_Replica.m_Log;
  std::vector<replica::Entry> Tail = Log.slice(
      Value.m_Point.m_Index + 1, Log.lastIndex(), static_cast<std::size_t>(-1));
  auto Written = m_Journal.writeSnapshot(Value, m_Replica.m_Hard, Tail);
  if (!Written)
    return Written;
  m_SnapshotIndex = Value.m_Point.m_Index;
  logEvent(Event::SnapshotWritten,
           {{"index", std::to_string(m_SnapshotIndex)},
            {"bytes", std::to_string(Value.m_State.size())}});
  return true;
}

void ReplicaDriver::takeSnapshot(core::Time Now) {
  recordDiskError(writeSnapshot());
  if (!hasFailed() && m_SnapshotIndex > RetainedEntries)
    step(replica::SnapshotTaken{.m_Index = m_SnapshotIndex - RetainedEntries},
         Now);
}

} // namespace fireflydrift::runtime
