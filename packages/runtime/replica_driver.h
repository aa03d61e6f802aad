// Runs one replica: feeds it inputs, carries out its effects in the right
// order, and applies what is committed to the control state.
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
  // Names the data folder when it is new; must differ each time.
  std::uint64_t m_NewIncarnation = 0;

  friend bool operator==(const ReplicaDriverOptions &,
                         const ReplicaDriverOptions &) = default;
};

class ReplicaDriver {
public:
  using Send = std::function<void(const core::VmId &, replica::Message)>;
  // Called after an entry was applied; Result.m_State has moved into state().
  using OnApplied = std::function<void(std::uint64_t Index,
                                       const control::ApplyResult &Result)>;

  // Recovers from the data folder. Fails with Io or Corrupt.
  [[nodiscard]] static core::Outcome<ReplicaDriver>
  open(ReplicaDriverOptions Options, Send Sender, OnApplied Observer,
       core::Time Now);

  [[nodiscard]] const replica::Replica &replica() const noexcept {
    return m_Replica;
  }
  [[nodiscard]] const control::State &state() const noexcept { return m_State; }
  [[nodiscard]] const Journal &journal() const noexcept { return m_Journal; }
  [[nodiscard]] const RecoveredContent &found() const noexcept {
    return m_Found;
  }
  // Why the disk refused, once it has; from then on the replica is silent.
  [[nodiscard]] const core::Reason &diskFailure() const noexcept {
    return m_DiskFailure;
  }

  // Makes one step; its effects wait for flush().
  void feed(const replica::Input &Value, core::Time Now);
  // Writes and syncs once, sends, and applies what is committed.
  void flush(core::Time Now);

private:
  ReplicaDriver(ReplicaDriverOptions Options, Send Sender, OnApplied Observer,
                Journal Files, RecoveredContent Content) noexcept;

  void write(const replica::Effects &Value);
  void install(const replica::InstallSnapshot &Value);
  void sendSnapshot(const core::VmId &To, core::Time Now);
  void applyCommitted();
  void takeSnapshot(core::Time Now);
  void check(const core::Outcome<bool> &Result);
  [[nodiscard]] messages::SnapshotFile snapshotNow() const;

  ReplicaDriverOptions m_Options;
  Send m_Send;
  OnApplied m_OnApplied;
  Journal m_Journal;
  RecoveredContent m_Found;
  replica::Replica m_Replica;
  control::State m_State;
  std::uint64_t m_SnapshotIndex = 0;
  std::vector<replica::Outgoing> m_AfterSync;
  std::vector<core::VmId> m_SnapshotFor;
  std::vector<replica::Entry> m_Committed;
  core::Reason m_DiskFailure;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_REPLICA_DRIVER_H
