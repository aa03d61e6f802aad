// The in-memory replicated log: the entries that are not compacted.
#ifndef FIREFLYDRIFT_REPLICA_LOG_H
#define FIREFLYDRIFT_REPLICA_LOG_H

#include "replica/members.h"

#include <deque>
#include <optional>
#include <vector>

namespace fireflydrift::replica {

// A log entry. A membership change holds the new replica set; any other entry
// holds encoded commands, or nothing at the start of a leader's term.
struct Entry {
  std::uint64_t m_Index = 0;
  std::uint64_t m_Term = 0;
  std::string m_Commands;
  std::optional<Members> m_Members;

  friend bool operator==(const Entry &, const Entry &) = default;
  friend auto operator<=>(const Entry &, const Entry &) = default;
};

// The position of a snapshot, or of the last compacted entry of a log: the last
// entry it includes, and the replicas as of that entry.
struct SnapshotPoint {
  std::uint64_t m_Index = 0;
  std::uint64_t m_Term = 0;
  Members m_Members;

  friend bool operator==(const SnapshotPoint &,
                         const SnapshotPoint &) = default;
  friend auto operator<=>(const SnapshotPoint &,
                          const SnapshotPoint &) = default;
};

// Entries with consecutive indexes that follow a snapshot point. The newest
// snapshot may include some of them.
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
  // Returns the term of an entry, or nothing if the entry is compacted or
  // missing.
  [[nodiscard]] std::optional<std::uint64_t>
  termAt(std::uint64_t Index) const noexcept;
  // Returns the entries from First to Last, both included, limited to MaxBytes
  // of commands but at least one entry. First must not be compacted.
  [[nodiscard]] std::vector<Entry>
  slice(std::uint64_t First, std::uint64_t Last, std::size_t MaxBytes) const;
  // Returns the newest replica set at or before Index.
  [[nodiscard]] const Members &membersAt(std::uint64_t Index) const noexcept;
  // Returns the index of the newest membership change, or the snapshot point's
  // index if none follows it.
  [[nodiscard]] std::uint64_t membersIndex() const noexcept;

  // These consume the log and return the changed one, so that no entry is
  // copied.
  [[nodiscard]] Log appended(Entry Value) &&;
  [[nodiscard]] Log truncatedFrom(std::uint64_t Index) &&;
  [[nodiscard]] Log compactedTo(std::uint64_t Index) &&;

  friend bool operator==(const Log &, const Log &) = default;
  friend auto operator<=>(const Log &, const Log &) = default;

private:
  [[nodiscard]] const Entry &at(std::uint64_t Index) const noexcept;

  SnapshotPoint m_Snapshot;
  std::deque<Entry> m_Entries;
  // Indexes of the membership changes, oldest first.
  std::vector<std::uint64_t> m_MembershipChanges;
};

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_LOG_H
