// Drives one replica: steps it with inputs, carries out its effects in the
// required order, and applies committed entries to the control state.
#ifndef FIREFLYDRIFT_RUNTIME_REPLICA_DRIVER_H
#define FIREFLYDRIFT_RUNTIME_REPLICA_DRIVER_H

#include "control/state.h"
#include "runtime/journal.h"

#include <functional>

namespace fireflydrift::runtime {

struct ReplicaDriverOptions {
  std::string m_DataFolder;
  std::uint64_t m_SnapshotIntervalEntries = 0;
  replica::Identity m_Identity;
  replica::ReplicaOptions m_Replica;
  // Incarnation that identifies a new data folder; must not be zero and must
  // differ each time.
  std::uint64_t m_NewIncarnation = 0;

  friend bool operator==(const ReplicaDriverOptions &,
                         const ReplicaDriverOptions &) = default;
};

class ReplicaDriver {
public:
  using Send = std::function<void(const core::VmId &, replica::Message)>;
  // Called after an entry was applied; Result.m_State was moved into state().
  using OnApplied = std::function<void(std::uint64_t Index,
                                       const control::ApplyResult &Result)>;

  // Recovers from the data folder. Fails with Io or Corrupt.
  [[nodiscard]] static core::Outcome<ReplicaDriver>
  open(ReplicaDriverOptions Options, Send SendCallback,
       OnApplied AppliedCallback, core::Time Now);

  [[nodiscard]] const replica::Replica &replica() const noexcept {
    return m_Replica;
  }
  [[nodiscard]] const control::State &state() const noexcept { return m_State; }
  [[nodiscard]] const Journal &journal() const noexcept { return m_Journal; }
  [[nodiscard]] const RecoveredContent &recoveredContent() const noexcept {
    return m_RecoveredContent;
  }
  // The disk error, or the error in decoding a batch or snapshot, because of
  // which the replica takes no input and drops messages that wait for a sync;
  // code None while there is none. Only a disk error (Io) can pass.
  [[nodiscard]] const core::Reason &diskFailure() const noexcept {
    return m_DiskFailure;
  }
  [[nodiscard]] bool hasFailed() const noexcept {
    return m_DiskFailure.m_Code != core::ReasonCode::None;
  }

  // Steps the replica with one input. Appends its records to the journal and
  // installs a received snapshot. The sync, the messages and the application of
  // committed entries wait for flush(), except for messages that are safe to
  // send before the sync.
  void step(const replica::Input &Value, core::Time Now);
  // Writes everything with one sync, sends messages, and applies committed
  // entries; repeats while that leads to more. Then takes a snapshot if one is
  // due. After a disk error, tries from time to time to store everything anew.
  void flush(core::Time Now);

private:
  ReplicaDriver(ReplicaDriverOptions Options, Send SendCallback,
                OnApplied AppliedCallback, Journal Files,
                RecoveredContent Content) noexcept;

  void write(const replica::Effects &Value);
  void flushOnce(core::Time Now);
  void retryDisk(core::Time Now);
  void installSnapshot(const replica::InstallSnapshot &Value);
  void sendSnapshot(const core::VmId &To, core::Time Now);
  void applyCommitted();
  void takeSnapshot(core::Time Now);
  // Stores the state and the log in new files. Fails with Io.
  [[nodiscard]] core::Outcome<bool> writeSnapshot();
  void recordDiskError(const core::Outcome<bool> &Result);
  [[nodiscard]] messages::SnapshotFile makeSnapshot() const;

  ReplicaDriverOptions m_Options;
  Send m_Send;
  OnApplied m_OnApplied;
  Journal m_Journal;
  RecoveredContent m_RecoveredContent;
  replica::Replica m_Replica;
  control::State m_State;
  std::uint64_t m_SnapshotIndex = 0;
  std::vector<replica::Outgoing> m_MessagesAfterSync;
  std::vector<core::VmId> m_SnapshotRecipients;
  std::vector<replica::Entry> m_Committed;
  core::Reason m_DiskFailure;
  core::Time m_DiskTriedAt;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_REPLICA_DRIVER_H
