#include "runtime/journal.h"

#include "runtime/full_disk.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;
namespace fs = std::filesystem;

namespace {

class JournalTest : public testing::Test {
protected:
  void SetUp() override {
    m_Folder = fs::temp_directory_path() /
               ("fd-journal-" + std::to_string(getpid()) + "-" +
                testing::UnitTest::GetInstance()->current_test_info()->name());
    fs::remove_all(m_Folder);
  }
  void TearDown() override { fs::remove_all(m_Folder); }

  std::pair<Journal, RecoveredContent> open() {
    auto Opened = Journal::open(m_Folder.string());
    EXPECT_TRUE(Opened) << core::toString(Opened.reason());
    return *std::move(Opened);
  }
  static void appendEntries(Journal &To, std::uint64_t First,
                            std::uint64_t Last) {
    for (std::uint64_t I = First; I <= Last; ++I)
      EXPECT_TRUE(To.append(
          {.m_Value = replica::Entry{
               .m_Index = I, .m_Term = 1, .m_Commands = std::to_string(I)}}));
    EXPECT_TRUE(To.sync());
  }
  fs::path newestSegment() {
    fs::path Newest;
    for (const auto &Each : fs::directory_iterator(m_Folder))
      if (Each.path().filename().string().starts_with("journal-") &&
          Each.path() > Newest)
        Newest = Each.path();
    return Newest;
  }

  fs::path m_Folder;
};

} // namespace

TEST_F(JournalTest, RecoversSyncedRecords) {
  {
    auto [Log, Content] = open();
    EXPECT_EQ(Content.m_Records, 0U);
    appendEntries(Log, 1, 10);
    EXPECT_TRUE(Log.append({.m_Value = replica::HardState{.m_Term = 4}}));
    EXPECT_TRUE(Log.append({.m_Value = messages::TruncateFrom{9}}));
    EXPECT_TRUE(Log.sync());
  }
  auto [Log, Content] = open();
  EXPECT_EQ(Content.m_Recovered.m_Entries.size(), 8U);
  EXPECT_EQ(Content.m_Recovered.m_Hard.m_Term, 4U);
}

TEST_F(JournalTest, TruncatesATornTailAtEveryByte) {
  {
    auto [Log, Content] = open();
    appendEntries(Log, 1, 3);
  }
  std::string Contents;
  {
    std::ifstream Stream(newestSegment(), std::ios::binary);
    std::ostringstream Bytes;
    Bytes << Stream.rdbuf();
    Contents = Bytes.str();
  }
  fs::path Segment = newestSegment();
  for (std::size_t Length = 0; Length < Contents.size(); ++Length) {
    std::ofstream(Segment, std::ios::binary | std::ios::trunc)
        << Contents.substr(0, Length);
    auto [Log, Content] = open();
    EXPECT_LE(Content.m_Recovered.m_Entries.size(), 2U);
    // The truncated entries must not reappear after further writes.
    appendEntries(Log, Content.m_Recovered.m_Entries.size() + 1, 4);
    auto [Reopened, ContentAfter] = open();
    EXPECT_EQ(ContentAfter.m_Recovered.m_Entries.size(), 4U);
  }
}

TEST_F(JournalTest, RejectsACorruptRecordInTheMiddle) {
  {
    auto [Log, Content] = open();
    appendEntries(Log, 1, 20);
  }
  fs::path Segment = newestSegment();
  std::fstream Stream(Segment, std::ios::binary | std::ios::in | std::ios::out);
  Stream.seekp(static_cast<std::streamoff>(fs::file_size(Segment) / 2));
  Stream.put('\x7f');
  Stream.put('\x7f');
  Stream.close();
  auto Opened = Journal::open(m_Folder.string());
  ASSERT_FALSE(Opened);
  EXPECT_EQ(Opened.reason().m_Code, core::ReasonCode::Corrupt);
  EXPECT_NE(Opened.reason().m_Message.find("corrupt record"),
            std::string::npos);
}

TEST_F(JournalTest, RejectsACorruptLengthInTheMiddle) {
  {
    auto [Log, Content] = open();
    appendEntries(Log, 1, 20);
  }
  std::fstream Stream(newestSegment(),
                      std::ios::binary | std::ios::in | std::ios::out);
  // The length of the first record now exceeds the end of the file.
  Stream.seekp(2);
  Stream.put('\x01');
  Stream.close();
  EXPECT_FALSE(Journal::open(m_Folder.string()));
}

TEST_F(JournalTest, SnapshotsReplaceOldSegments) {
  {
    auto [Log, Content] = open();
    appendEntries(Log, 1, 10);
    EXPECT_TRUE(Log.writeSnapshot(
        {.m_Point = {.m_Index = 8, .m_Term = 1}, .m_State = "tables"},
        {.m_Term = 2, .m_Incarnation = 5},
        {{.m_Index = 9, .m_Term = 1}, {.m_Index = 10, .m_Term = 1}}));
    appendEntries(Log, 11, 12);
  }
  auto [Log, Content] = open();
  EXPECT_EQ(Content.m_SnapshotState, "tables");
  EXPECT_EQ(Content.m_Recovered.m_Snapshot.m_Index, 8U);
  EXPECT_EQ(Content.m_Recovered.m_Entries.size(), 4U);
  EXPECT_EQ(Content.m_Recovered.m_Hard.m_Incarnation, 5U);
  int FileCount = 0;
  for ([[maybe_unused]] const auto &Each : fs::directory_iterator(m_Folder))
    ++FileCount;
  EXPECT_EQ(FileCount, 2);
}

TEST_F(JournalTest, RejectsACorruptSnapshot) {
  {
    auto [Log, Content] = open();
    EXPECT_TRUE(Log.writeSnapshot({.m_Point = {.m_Index = 1}}, {}, {}));
  }
  for (const auto &Each : fs::directory_iterator(m_Folder))
    if (Each.path().filename().string().starts_with("snapshot-"))
      fs::resize_file(Each.path(), fs::file_size(Each.path()) - 1);
  auto Opened = Journal::open(m_Folder.string());
  ASSERT_FALSE(Opened);
  EXPECT_EQ(Opened.reason().m_Code, core::ReasonCode::Corrupt);
}

// Appends and syncs single entries until the disk refuses one; returns the
// number of those that it took.
static std::uint64_t appendUntilFull(Journal &To) {
  std::uint64_t Index = 1;
  while (Index < 100 &&
         To.append({.m_Value = replica::Entry{.m_Index = Index}}) && To.sync())
    ++Index;
  EXPECT_LT(Index, 100U);
  return Index - 1;
}

TEST_F(JournalTest, KeepsFailingAfterAFullDisk) {
  auto [Log, Content] = open();
  {
    FullDisk Full(200);
    appendUntilFull(Log);
  }
  // Space is available again, but it is unknown which records are durable.
  EXPECT_FALSE(Log.append({.m_Value = replica::HardState{}}));
  EXPECT_FALSE(Log.sync());
}

// Guards against a journal that stays unusable for good once its disk was full,
// and against one that keeps the torn end of the write that failed.
TEST_F(JournalTest, WorksAgainOnceASnapshotFollowsAFullDisk) {
  {
    auto [Log, Content] = open();
    std::uint64_t Synced = 0;
    {
      FullDisk Full(200);
      Synced = appendUntilFull(Log);
      EXPECT_FALSE(Log.writeSnapshot(
          {.m_Point = {.m_Index = 1}, .m_State = std::string(1000, 'x')}, {},
          {}));
    }
    {
      FullDisk Full(0);
      EXPECT_FALSE(Log.checkWritable());
    }
    // A process that starts now finds exactly what was synced.
    auto [Other, Recovered] = open();
    EXPECT_EQ(Recovered.m_Recovered.m_Entries.size(), Synced);
    EXPECT_EQ(Recovered.m_TornBytes, 0U);
    EXPECT_TRUE(Log.checkWritable());
    EXPECT_TRUE(
        Log.writeSnapshot({.m_Point = {.m_Index = 1}, .m_State = "tables"},
                          {.m_Term = 3}, {{.m_Index = 2, .m_Term = 3}}));
    appendEntries(Log, 3, 5);
  }
  auto [Log, Content] = open();
  EXPECT_EQ(Content.m_SnapshotState, "tables");
  EXPECT_EQ(Content.m_Recovered.m_Hard.m_Term, 3U);
  EXPECT_EQ(Content.m_Recovered.m_Entries.size(), 4U);
}
