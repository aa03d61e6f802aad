// The durable files of a replica: journal segments and snapshots under one
// data folder. What was written lasts only once sync() has succeeded.
#ifndef FIREFLYDRIFT_RUNTIME_JOURNAL_H
#define FIREFLYDRIFT_RUNTIME_JOURNAL_H

#include "messages/codec.h"

#include <memory>

namespace fireflydrift::runtime {

// What was found in the data folder at start.
struct RecoveredContent {
  replica::RecoveredState m_Recovered;
  // Encoded tables as of the snapshot; empty without one.
  std::string m_SnapshotState;
  std::uint64_t m_Records = 0;
  // Bytes of an unfinished record that were cut off the end.
  std::uint64_t m_TornBytes = 0;

  friend bool operator==(const RecoveredContent &,
                         const RecoveredContent &) = default;
};

// Why the last write or sync failed decides nothing here: after any failure
// the journal refuses all further work, and the VM must step down.
class Journal {
public:
  // Opens or creates the data folder and reads what it holds. Fails with Io,
  // or with Corrupt when a record in the middle is damaged.
  [[nodiscard]] static core::Outcome<std::pair<Journal, RecoveredContent>>
  open(const std::string &Folder);

  Journal(Journal &&) noexcept;
  Journal &operator=(Journal &&) noexcept;
  ~Journal();

  // True when something was appended since the last sync.
  [[nodiscard]] bool isDirty() const noexcept;
  // Bytes written to journal and snapshots since the start.
  [[nodiscard]] std::uint64_t bytesWritten() const noexcept;
  [[nodiscard]] std::uint64_t syncs() const noexcept;

  // Each fails with Io once the disk has refused a write or a sync. What was
  // appended is written by the next sync.
  [[nodiscard]] core::Outcome<bool>
  append(const messages::JournalRecord &Value);
  [[nodiscard]] core::Outcome<bool> sync();
  // Writes a snapshot, then a new segment that begins with HardState and Tail,
  // then removes what they replace.
  [[nodiscard]] core::Outcome<bool>
  writeSnapshot(const messages::SnapshotFile &Value,
                const replica::HardState &HardState,
                const std::vector<replica::Entry> &Tail);

private:
  struct Impl;
  explicit Journal(std::unique_ptr<Impl> Value) noexcept;

  std::unique_ptr<Impl> m_Impl;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_JOURNAL_H
