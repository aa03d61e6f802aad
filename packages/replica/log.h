// The replicated log in memory: the entries after the last snapshot.
#ifndef FIREFLYDRIFT_REPLICA_LOG_H
#define FIREFLYDRIFT_REPLICA_LOG_H

#include "replica/members.h"

#include <deque>
#include <optional>
#include <vector>

namespace fireflydrift::replica {

// One log entry. A change of replicas carries the new set; any other entry
// carries encoded commands, or nothing when a new leader begins its term.
struct Entry {
  std::uint64_t m_Index = 0;
  std::uint64_t m_Term = 0;
  std::string m_Commands;
  std::optional<Members> m_Members;

  friend bool operator==(const Entry &, const Entry &) = default;
  friend auto operator<=>(const Entry &, const Entry &) = default;
};

// The last entry that a snapshot covers, and the replicas as of that entry.
struct SnapshotPoint {
  std::uint64_t m_Index = 0;
  std::uint64_t m_Term = 0;
  Members m_Members;

  friend bool operator==(const SnapshotPoint &,
                         const SnapshotPoint &) = default;
  friend auto operator<=>(const SnapshotPoint &,
                          const SnapshotPoint &) = default;
};

// Entries with consecutive indexes that follow a snapshot point.
class Log {
public:
  Log() = default;
  Log(SnapshotPoint Snapshot, std::deque<Entry> Entries);

  [[nodiscard]] const SnapshotPoint &snapshot() const noexcept {
    return m_Snapshot;
  }
  [[nodiscard]] std::size_t size() const noexcept { return m_Entries.size(); }
  [[nodiscard]] std::uint64_t lastIndex() const noexcept;
  [[nodiscard]] std::uint64_t lastTerm() const noexcept;
  // The term of an entry, or nothing when the entry is compacted or missing.
  [[nodiscard]] std::optional<std::uint64_t>
  termAt(std::uint64_t Index) const noexcept;
  // Entries from First to Last, both included, up to about MaxBytes but at
  // least one. First must not be compacted.
  [[nodiscard]] std::vector<Entry>
  slice(std::uint64_t First, std::uint64_t Last, std::size_t MaxBytes) const;
  // The newest set of replicas at or before Index.
  [[nodiscard]] const Members &membersAt(std::uint64_t Index) const noexcept;
  // Index of the newest change of replicas; the snapshot's if none follows.
  [[nodiscard]] std::uint64_t membersIndex() const noexcept;

  // These return the changed log; they consume it so that nothing is copied.
  [[nodiscard]] Log appended(Entry Value) &&;
  [[nodiscard]] Log truncatedFrom(std::uint64_t Index) &&;
  [[nodiscard]] Log compactedTo(std::uint64_t Index) &&;

  friend bool operator==(const Log &, const Log &) = default;
  friend auto operator<=>(const Log &, const Log &) = default;

private:
  [[nodiscard]] const Entry &at(std::uint64_t Index) const noexcept;

  SnapshotPoint m_Snapshot;
  std::deque<Entry> m_Entries;
  // Indexes of the entries that change the replicas, oldest first.
  std::vector<std::uint64_t> m_Changes;
};

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_LOG_H
