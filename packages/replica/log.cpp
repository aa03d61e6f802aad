#include "replica/log.h"

#include <algorithm>

namespace fireflydrift::replica {

Log::Log(SnapshotPoint Snapshot, std::deque<Entry> Entries)
    : m_Snapshot(std::move(Snapshot)), m_Entries(std::move(Entries)) {
  for (const Entry &Value : m_Entries)
    if (Value.m_Members)
      m_MembershipChanges.push_back(Value.m_Index);
}

const Entry &Log::at(std::uint64_t Index) const noexcept {
  return m_Entries[Index - m_Snapshot.m_Index - 1];
}

std::uint64_t Log::lastIndex() const noexcept {
  return m_Snapshot.m_Index + m_Entries.size();
}

std::uint64_t Log::lastTerm() const noexcept {
  return m_Entries.empty() ? m_Snapshot.m_Term : m_Entries.back().m_Term;
}

std::optional<std::uint64_t> Log::termAt(std::uint64_t Index) const noexcept {
  if (Index == m_Snapshot.m_Index)
    return m_Snapshot.m_Term;
  if (Index < m_Snapshot.m_Index || Index > lastIndex())
    return std::nullopt;
  return at(Index).m_Term;
}

std::vector<Entry> Log::slice(std::uint64_t First, std::uint64_t Last,
                              std::size_t MaxBytes) const {
  std::vector<Entry> Entries;
  std::size_t Bytes = 0;
  Last = std::min(Last, lastIndex());
  for (std::uint64_t Index = First; Index <= Last; ++Index) {
    const Entry &Value = at(Index);
    if (!Entries.empty() && Bytes + Value.m_Commands.size() > MaxBytes)
      break;
    Bytes += Value.m_Commands.size();
    Entries.push_back(Value);
  }
  return Entries;
}

const Members &Log::membersAt(std::uint64_t Index) const noexcept {
  for (auto It = m_MembershipChanges.rbegin(); It != m_MembershipChanges.rend();
       ++It)
    if (*It <= Index)
      return *at(*It).m_Members;
  return m_Snapshot.m_Members;
}

std::uint64_t Log::membersIndex() const noexcept {
  return m_MembershipChanges.empty() ? m_Snapshot.m_Index
                                     : m_MembershipChanges.back();
}

Log Log::appended(Entry Value) && {
  if (Value.m_Members)
    m_MembershipChanges.push_back(Value.m_Index);
  m_Entries.push_back(std::move(Value));
  return std::move(*this);
}

Log Log::truncatedFrom(std::uint64_t Index) && {
  while (!m_Entries.empty() && m_Entries.back().m_Index >= Index)
    m_Entries.pop_back();
  while (!m_MembershipChanges.empty() && m_MembershipChanges.back() >= Index)
    m_MembershipChanges.pop_back();
  return std::move(*this);
}

Log Log::compactedTo(std::uint64_t Index) && {
  if (Index <= m_Snapshot.m_Index || Index > lastIndex())
    return std::move(*this);
  SnapshotPoint Next{.m_Index = Index,
                     .m_Term = *termAt(Index),
                     .m_Members = membersAt(Index)};
  while (!m_Entries.empty() && m_Entries.front().m_Index <= Index)
    m_Entries.pop_front();
  std::erase_if(m_MembershipChanges,
                [&](std::uint64_t Change) { return Change <= Index; });
  m_Snapshot = std::move(Next);
  return std::move(*this);
}

} // namespace fireflydrift::replica
