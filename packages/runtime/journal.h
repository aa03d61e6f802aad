// Durable storage of a replica: write-ahead log segments and snapshots in one
// data folder. Appended records are durable only after sync() has succeeded.
#ifndef FIREFLYDRIFT_RUNTIME_JOURNAL_H
#define FIREFLYDRIFT_RUNTIME_JOURNAL_H

#include "messages/codec.h"

#include <memory>

namespace fireflydrift::runtime {

// Contents of the data folder at start.
struct RecoveredContent {
  replica::RecoveredState m_Recovered;
  // Encoded tables from the newest snapshot; empty without a snapshot.
  std::string m_SnapshotState;
  std::uint64_t m_Records = 0;
  // Bytes after the last valid record, left by an interrupted write, that were
  // truncated from the end of the last segment.
  std::uint64_t m_TornBytes = 0;

  friend bool operator==(const RecoveredContent &,
                         const RecoveredContent &) = default;
};

// Write-ahead log of a replica. After any failed write or sync, whatever its
// cause, it is unknown which records are durable: append() and sync() fail, and
// the VM must step down, until writeSnapshot() has stored everything anew.
class Journal {
public:
  // Opens or creates the data folder and reads its contents. Fails with Io, or
  // with Corrupt when the newest snapshot is damaged, a log entry is missing,
  // or a record is damaged elsewhere than at the end of the last segment.
  [[nodiscard]] static core::Outcome<std::pair<Journal, RecoveredContent>>
  open(const std::string &Folder);

  Journal(Journal &&) noexcept;
  Journal &operator=(Journal &&) noexcept;
  ~Journal();

  // True when records were appended since the last sync.
  [[nodiscard]] bool isDirty() const noexcept;
  // Bytes written to segments and snapshots since the journal was opened.
  [[nodiscard]] std::uint64_t bytesWritten() const noexcept;
  [[nodiscard]] std::uint64_t syncs() const noexcept;

  // Each of these two fails with Io after a write or a sync has failed.
  // Appended records are buffered until the next sync.
  [[nodiscard]] core::Outcome<bool>
  append(const messages::JournalRecord &Value);
  [[nodiscard]] core::Outcome<bool> sync();
  // Writes a snapshot, then a new segment that begins with HardState and Tail,
  // the log entries after the snapshot, and then removes the files that these
  // two replace. After a failed write or sync, discards the records since the
  // last successful sync; once it succeeds, the journal works again.
  [[nodiscard]] core::Outcome<bool>
  writeSnapshot(const messages::SnapshotFile &Value,
                const replica::HardState &HardState,
                const std::vector<replica::Entry> &Tail);
  // Fails with Io while the data folder takes no data.
  [[nodiscard]] core::Outcome<bool> checkWritable();

private:
  [[nodiscard]] core::Outcome<bool> discardUnsynced();

  struct Impl;
  explicit Journal(std::unique_ptr<Impl> Value) noexcept;

  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_JOURNAL_H
