#include "runtime/journal.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace fireflydrift::runtime {

namespace fs = std::filesystem;

// Each record is preceded by its length.
static constexpr std::size_t LengthBytes = sizeof(std::uint32_t);
static constexpr const char *SegmentPrefix = "journal-";
static constexpr const char *SnapshotPrefix = "snapshot-";
static constexpr const char *ProbeFile = "probe";

struct Journal::Impl {
  fs::path m_Folder;
  int m_File = -1;
  std::uint64_t m_SegmentNumber = 0;
  std::uint64_t m_BytesWritten = 0;
  std::uint64_t m_Syncs = 0;
  // Length of the current segment up to its last synced record, in bytes.
  std::uint64_t m_SyncedBytes = 0;
  // Records to be written by the next sync, in a single write: of several
  // writes before a sync, a power loss may keep a later one and lose an earlier
  // one.
  std::string m_Pending;
  bool m_Failed = false;
};

Journal::Journal(std::unique_ptr<Impl> Value) noexcept
    : m_Impl(std::move(Value)) {}
Journal::Journal(Journal &&) noexcept = default;
Journal &Journal::operator=(Journal &&) noexcept = default;

Journal::~Journal() {
  if (m_Impl && m_Impl->m_File >= 0)
    close(m_Impl->m_File);
}

bool Journal::isDirty() const noexcept { return !m_Impl->m_Pending.empty(); }
std::uint64_t Journal::bytesWritten() const noexcept {
  return m_Impl->m_BytesWritten;
}
std::uint64_t Journal::syncs() const noexcept { return m_Impl->m_Syncs; }

// ---- Files -----------------------------------------------------------------

static core::Reason ioReason(const fs::path &Path, const char *Operation) {
  return {core::ReasonCode::Io, Path.filename().string(),
          std::string(Operation) + ": " + std::strerror(errno)};
}

static bool writeAll(int File, const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count = write(File, Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

static bool syncFolder(const fs::path &Folder) {
  int File = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (File < 0)
    return false;
  bool Synced = fsync(File) == 0;
  close(File);
  return Synced;
}

// Replaces a file atomically: writes it under a temporary name, syncs and
// renames it.
static core::Outcome<bool> writeFileAtomically(const fs::path &Path,
                                               const std::string &Bytes) {
  fs::path Temporary = Path;
  Temporary += ".new";
  int File =
      ::open(Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (File < 0)
    return ioReason(Path, "open");
  bool Written = writeAll(File, Bytes) && fsync(File) == 0;
  core::Reason Error = ioReason(Path, "write");
  close(File);
  if (!Written) {
    // What was written of it would take room on a full disk.
    unlink(Temporary.c_str());
    return Error;
  }
  if (rename(Temporary.c_str(), Path.c_str()) != 0 ||
      !syncFolder(Path.parent_path()))
    return ioReason(Path, "rename");
  return true;
}

static core::Outcome<std::string> readFile(const fs::path &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Bytes;
  Bytes << Stream.rdbuf();
  if (!Stream)
    return ioReason(Path, "read");
  return std::move(Bytes).str();
}

static std::string numberedFileName(const char *Prefix, std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  constexpr std::size_t Width = 20;
  return Prefix + std::string(Width - Digits.size(), '0') + Digits;
}

// Files with the prefix, sorted by number.
static std::vector<std::pair<std::uint64_t, fs::path>>
listFiles(const fs::path &Folder, const std::string &Prefix) {
  std::vector<std::pair<std::uint64_t, fs::path>> Files;
  std::error_code Ignored;
  for (const auto &Each : fs::directory_iterator(Folder, Ignored)) {
    std::string Name = Each.path().filename().string();
    bool Matches = Name.starts_with(Prefix) &&
                   Name.find_first_not_of("0123456789", Prefix.size()) ==
                       std::string::npos;
    if (Matches)
      Files.emplace_back(std::stoull(Name.substr(Prefix.size())), Each.path());
  }
  std::sort(Files.begin(), Files.end());
  return Files;
}

// ---- Records ---------------------------------------------------------------

static std::string encodeRecord(const messages::JournalRecord &Value) {
  std::string Encoded = messages::encode(Value);
  auto Length = static_cast<std::uint32_t>(Encoded.size());
  std::string Bytes(LengthBytes, '\0');
  std::memcpy(Bytes.data(), &Length, LengthBytes);
  return Bytes + Encoded;
}

// Decodes the record at Offset and sets End to the offset just past it. Returns
// nothing, and leaves End alone, when there is no complete, valid record.
static std::optional<messages::JournalRecord>
readRecord(std::string_view Bytes, std::size_t Offset, std::size_t &End) {
  if (Offset + LengthBytes > Bytes.size())
    return std::nullopt;
  std::uint32_t Length = 0;
  std::memcpy(&Length, Bytes.data() + Offset, LengthBytes);
  if (Length == 0 || Length > Bytes.size() - Offset - LengthBytes)
    return std::nullopt;
  auto Decoded =
      messages::decodeJournalRecord(Bytes.substr(Offset + LengthBytes, Length));
  if (!Decoded)
    return std::nullopt;
  End = Offset + LengthBytes + Length;
  return *std::move(Decoded);
}

// True when a valid record exists anywhere after Offset. The bytes at Offset
// are then corrupt and not the torn tail of the last write.
static bool hasLaterRecord(std::string_view Bytes, std::size_t Offset) {
  std::size_t End = 0;
  for (std::size_t Position = Offset + 1; Position + LengthBytes < Bytes.size();
       ++Position)
    if (readRecord(Bytes, Position, End))
      return true;
  return false;
}

static void applyRecord(RecoveredContent &Content, replica::Entry Value) {
  auto &Entries = Content.m_Recovered.m_Entries;
  std::uint64_t Start = Content.m_Recovered.m_Snapshot.m_Index;
  if (Value.m_Index <= Start)
    return;
  while (!Entries.empty() && Entries.back().m_Index >= Value.m_Index)
    Entries.pop_back();
  Entries.push_back(std::move(Value));
}

static void applyRecord(RecoveredContent &Content, replica::HardState Value) {
  Content.m_Recovered.m_Hard = std::move(Value);
}

static void applyRecord(RecoveredContent &Content,
                        messages::TruncateFrom Value) {
  auto &Entries = Content.m_Recovered.m_Entries;
  while (!Entries.empty() && Entries.back().m_Index >= Value.m_Index)
    Entries.pop_back();
}

// Applies the records of one segment to Content. Returns the length of the
// valid records in bytes; only the last segment may end in an invalid one.
static core::Outcome<std::size_t> readSegment(const fs::path &Path, bool Last,
                                              RecoveredContent &Content) {
  auto Bytes = readFile(Path);
  if (!Bytes)
    return Bytes.reason();
  std::size_t Offset = 0;
  while (Offset < Bytes->size()) {
    std::size_t End = 0;
    auto Record = readRecord(*Bytes, Offset, End);
    if (!Record) {
      if (!Last || hasLaterRecord(*Bytes, Offset))
        return core::Reason{core::ReasonCode::Corrupt, Path.filename().string(),
                            "corrupt record at byte " + std::to_string(Offset)};
      break;
    }
    std::visit([&](auto &Value) { applyRecord(Content, std::move(Value)); },
               Record->m_Value);
    ++Content.m_Records;
    Offset = End;
  }
  Content.m_TornBytes += Bytes->size() - Offset;
  return Offset;
}

static core::Reason checkConsecutive(const replica::RecoveredState &Value) {
  std::uint64_t Expected = Value.m_Snapshot.m_Index;
  for (const replica::Entry &Each : Value.m_Entries)
    if (Each.m_Index != ++Expected)
      return {core::ReasonCode::Corrupt, "journal",
              "log entry " + std::to_string(Expected) + " is missing"};
  return {};
}

// ---- Opening ---------------------------------------------------------------

static core::Outcome<bool> readSnapshot(const fs::path &Folder,
                                        RecoveredContent &Content) {
  auto Files = listFiles(Folder, SnapshotPrefix);
  if (Files.empty())
    return true;
  const fs::path &Newest = Files.back().second;
  auto Bytes = readFile(Newest);
  if (!Bytes)
    return Bytes.reason();
  auto Decoded = messages::decodeSnapshotFile(*Bytes);
  if (!Decoded) {
    core::Reason Error = Decoded.reason();
    Error.m_Field = Newest.filename().string();
    return Error;
  }
  Content.m_Recovered.m_Snapshot = Decoded->m_Point;
  Content.m_SnapshotState = Decoded->m_State;
  return true;
}

core::Outcome<std::pair<Journal, RecoveredContent>>
Journal::open(const std::string &Folder) {
  std::error_code Error;
  fs::create_directories(Folder, Error);
  if (Error)
    return core::Reason{core::ReasonCode::Io, "data_folder", Error.message()};
  RecoveredContent Content;
  auto Snapshot = readSnapshot(Folder, Content);
  if (!Snapshot)
    return Snapshot.reason();

  auto Opened = std::make_unique<Impl>();
  Opened->m_Folder = Folder;
  fs::path Path = fs::path(Folder) / numberedFileName(SegmentPrefix, 1);
  std::size_t ValidBytes = 0;
  auto Segments = listFiles(Folder, SegmentPrefix);
  for (std::size_t I = 0; I < Segments.size(); ++I) {
    auto Read =
        readSegment(Segments[I].second, I + 1 == Segments.size(), Content);
    if (!Read)
      return Read.reason();
    Opened->m_SegmentNumber = Segments[I].first;
    Path = Segments[I].second;
    ValidBytes = *Read;
  }
  core::Reason Gap = checkConsecutive(Content.m_Recovered);
  if (Gap.m_Code != core::ReasonCode::None)
    return Gap;
  if (Segments.empty())
    Opened->m_SegmentNumber = 1;
  Opened->m_File =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  bool Ready = Opened->m_File >= 0 &&
               ftruncate(Opened->m_File, static_cast<off_t>(ValidBytes)) == 0 &&
               fsync(Opened->m_File) == 0 && syncFolder(Folder);
  if (!Ready)
    return ioReason(Path, "open");
  Opened->m_SyncedBytes = ValidBytes;
  return std::pair(Journal(std::move(Opened)), std::move(Content));
}

// ---- Writing ---------------------------------------------------------------

static core::Reason earlierFailure() {
  return {core::ReasonCode::Io, "data_folder", "an earlier write failed"};
}

core::Outcome<bool> Journal::append(const messages::JournalRecord &Value) {
  if (m_Impl->m_Failed)
    return earlierFailure();
  m_Impl->m_Pending += encodeRecord(Value);
  return true;
}

core::Outcome<bool> Journal::sync() {
  if (m_Impl->m_Failed)
    return earlierFailure();
  if (m_Impl->m_Pending.empty())
    return true;
  std::string Bytes = std::exchange(m_Impl->m_Pending, {});
  if (!writeAll(m_Impl->m_File, Bytes)) {
    m_Impl->m_Failed = true;
    return ioReason(m_Impl->m_Folder, "write");
  }
  m_Impl->m_BytesWritten += Bytes.size();
  // After a failed fdatasync the kernel may have dropped the dirty pages, so a
  // retry could report success without writing them.
  if (fdatasync(m_Impl->m_File) != 0) {
    m_Impl->m_Failed = true;
    return ioReason(m_Impl->m_Folder, "sync");
  }
  ++m_Impl->m_Syncs;
  m_Impl->m_SyncedBytes += Bytes.size();
  return true;
}

core::Outcome<bool> Journal::checkWritable() {
  auto Written =
      writeFileAtomically(m_Impl->m_Folder / ProbeFile, std::string(1, '\0'));
  std::error_code Ignored;
  fs::remove(m_Impl->m_Folder / ProbeFile, Ignored);
  return Written;
}

// Cuts off what was written to the current segment after its last sync: later
// segments follow it, and only the last one may end in a torn record.
core::Outcome<bool> Journal::discardUnsynced() {
  m_Impl->m_Pending.clear();
  auto Length = static_cast<off_t>(m_Impl->m_SyncedBytes);
  if (ftruncate(m_Impl->m_File, Length) != 0 || fsync(m_Impl->m_File) != 0)
    return ioReason(m_Impl->m_Folder, "truncate");
  return true;
}

core::Outcome<bool>
Journal::writeSnapshot(const messages::SnapshotFile &Value,
                       const replica::HardState &HardState,
                       const std::vector<replica::Entry> &Tail) {
  // Pending records must first be durable in the current segment: after a power
  // loss recovery may still start from the old files. After a failure those
  // files stay as they were at the last sync; nothing later was promised.
  auto Ready = m_Impl->m_Failed ? discardUnsynced() : sync();
  if (!Ready)
    return Ready;
  const fs::path &Folder = m_Impl->m_Folder;
  std::uint64_t Next = m_Impl->m_SegmentNumber + 1;
  fs::path Snapshot =
      Folder / numberedFileName(SnapshotPrefix, Value.m_Point.m_Index);
  fs::path Segment = Folder / numberedFileName(SegmentPrefix, Next);
  std::string Content = encodeRecord({.m_Value = HardState});
  // If an old segment is still there at the next start, this record discards
  // the entries after the snapshot that were read from it. The tail follows.
  Content += encodeRecord({.m_Value = messages::TruncateFrom{
                               .m_Index = Value.m_Point.m_Index + 1}});
  for (const replica::Entry &Each : Tail)
    Content += encodeRecord({.m_Value = Each});
  std::string Encoded = messages::encode(Value);
  for (const auto &[Path, Bytes] :
       {std::pair(Snapshot, Encoded), std::pair(Segment, Content)}) {
    auto Written = writeFileAtomically(Path, Bytes);
    if (!Written) {
      m_Impl->m_Failed = true;
      return Written;
    }
    m_Impl->m_BytesWritten += Bytes.size();
  }
  int File = ::open(Segment.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (File < 0) {
    m_Impl->m_Failed = true;
    return ioReason(Segment, "open");
  }
  close(m_Impl->m_File);
  m_Impl->m_File = File;
  m_Impl->m_SegmentNumber = Next;
  m_Impl->m_SyncedBytes = Content.size();
  m_Impl->m_Failed = false;
  ++m_Impl->m_Syncs;
  std::error_code Ignored;
  for (const auto &[Number, Path] : listFiles(Folder, SegmentPrefix))
    if (Number < Next)
      fs::remove(Path, Ignored);
  for (const auto &[Number, Path] : listFiles(Folder, SnapshotPrefix))
    if (Number < Value.m_Point.m_Index)
      fs::remove(Path, Ignored);
  return true;
}

} // namespace fireflydrift::runtime
