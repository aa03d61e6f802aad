#include "runtime/replica_driver.h"

#include "runtime/full_disk.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;
namespace fs = std::filesystem;

namespace {

const core::VmId Self("a");

class ReplicaDriverTest : public testing::Test {
protected:
  ReplicaDriverTest()
      : m_Folder(fs::temp_directory_path() /
                 ("fd-replica-" + std::to_string(getpid()))) {
    fs::remove_all(m_Folder);
  }
  ~ReplicaDriverTest() override { fs::remove_all(m_Folder); }

  // A replica that leads alone and takes a snapshot after each entry.
  ReplicaDriver open() { return open({Self}, 1); }
  ReplicaDriver open(const std::set<core::VmId> &Peers,
                     std::uint64_t SnapshotInterval) {
    auto Opened = ReplicaDriver::open(
        {.m_DataFolder = m_Folder.string(),
         .m_SnapshotIntervalEntries = SnapshotInterval,
         .m_Identity = {.m_Self = Self, .m_KnownPeers = Peers},
         .m_NewIncarnation = 1},
        [this](const core::VmId &, const replica::Message &Value) {
          m_Sent.push_back(Value);
        },
        [this](std::uint64_t Index, const control::ApplyResult &) {
          m_Applied.push_back(Index);
        },
        m_Now);
    EXPECT_TRUE(Opened) << core::toString(Opened.reason());
    return *std::move(Opened);
  }
  void step(ReplicaDriver &Driver, const replica::Input &Value) {
    Driver.step(Value, m_Now);
    Driver.flush(m_Now);
  }

  // Proposes empty batches until the disk refuses one.
  void fillDisk(ReplicaDriver &Driver) {
    for (int I = 0; I < 100 && !Driver.hasFailed(); ++I)
      step(Driver, replica::Propose{.m_Commands = messages::encode(
                                        control::Batch{.m_At = m_Now})});
    EXPECT_EQ(Driver.diskFailure().m_Code, core::ReasonCode::Io);
  }
  // Flushes again and again for a second, as the loop does.
  void runOneSecond(ReplicaDriver &Driver) {
    for (int I = 0; I < 40; ++I) {
      m_Now += core::Duration(25);
      step(Driver, replica::Tick{});
    }
  }

  // Runs elections until the replica leads.
  void lead(ReplicaDriver &Driver) {
    for (int I = 0; I < 4; ++I) {
      m_Now += core::Duration(2000);
      step(Driver, replica::Tick{});
    }
    ASSERT_EQ(Driver.replica().m_Role, replica::Role::Leader);
  }

  fs::path m_Folder;
  core::Time m_Now = core::timeFromMs(1000000);
  std::vector<replica::Message> m_Sent;
  std::vector<std::uint64_t> m_Applied;
};

} // namespace

// After an entry that could not be decoded a snapshot was stored under an index
// whose entries had not been applied: after a restart they were gone.
TEST_F(ReplicaDriverTest, StoresNoSnapshotOfEntriesThatWereNotApplied) {
  std::uint64_t Applied = 0;
  {
    ReplicaDriver Driver = open();
    lead(Driver);
    Applied = Driver.replica().m_Commit;
    step(Driver, replica::Propose{.m_Commands = "not a batch"});
    EXPECT_EQ(Driver.diskFailure().m_Code, core::ReasonCode::Corrupt);
  }
  ReplicaDriver Driver = open();
  EXPECT_EQ(Driver.recoveredContent().m_Recovered.m_Snapshot.m_Index, Applied);
}

// After a restart from snapshot and log, a target that had left, a key that had
// been withdrawn or a queue that had been removed must not be in use again.
TEST_F(ReplicaDriverTest, ARestartBringsNothingBack) {
  const core::TargetId Target("t");
  auto Manifest = [](std::uint64_t Version, const char *Key,
                     std::vector<configuration::Queue> Queues) {
    return control::ReplaceConfiguration{
        {.m_Version = Version,
         .m_Workspaces = {{.m_Id = core::WorkspaceId("w"), .m_Keys = {Key}}},
         .m_Queues = std::move(Queues)}};
  };
  const configuration::Queue Queue{
      .m_Name = "q", .m_Host = "h", .m_PathPrefix = "/q/", .m_Pool = "p"};
  const control::AnnounceTarget Announced{{.m_Id = Target,
                                           .m_Host = "127.0.0.1",
                                           .m_Port = 1,
                                           .m_Incarnation = 1,
                                           .m_Region = "r",
                                           .m_FailureDomain = "d",
                                           .m_Rack = "k",
                                           .m_Capacity = {8, 8, 8}}};
  const std::vector<control::Command> Commands{
      Manifest(1, "old", {Queue}), Announced, Manifest(2, "new", {}),
      control::MarkTargetLeaving{Target}};
  {
    ReplicaDriver Driver = open();
    lead(Driver);
    for (const control::Command &Each : Commands)
      step(Driver, replica::Propose{.m_Commands = messages::encode(
                                        control::Batch{m_Now, {Each}})});
  }
  for (int Restart = 0; Restart < 3; ++Restart) {
    ReplicaDriver Driver = open();
    lead(Driver);
    const control::Tables &Tables = Driver.state().m_Tables;
    EXPECT_EQ(Tables.m_Configuration.version(), 2U);
    EXPECT_EQ(Tables.m_Configuration.findByKey("old"), nullptr);
    EXPECT_NE(Tables.m_Configuration.findByKey("new"), nullptr);
    EXPECT_TRUE(Tables.m_Configuration.fields().m_Queues.empty());
    EXPECT_EQ(Tables.m_Targets.at(Target).presence(),
              target::Presence::Leaving);
    // An older configuration that is sent again changes nothing.
    step(Driver, replica::Propose{.m_Commands = messages::encode(
                                      control::Batch{m_Now, {Commands[0]}})});
    EXPECT_EQ(Driver.state().m_Tables.m_Configuration.version(), 2U);
  }
}

// Guards against a replica that never takes part again after its disk was full
// for a while, so that the second full disk ends the quorum for good: the disk
// error was kept for the life of the process.
TEST_F(ReplicaDriverTest, TakesPartAgainOnceAFullDiskHasRoom) {
  constexpr std::uint64_t NoSnapshots = 1000000;
  for (std::uint64_t SnapshotInterval : {std::uint64_t{1}, NoSnapshots}) {
    fs::remove_all(m_Folder);
    std::uint64_t Index = 0;
    {
      ReplicaDriver Driver = open({Self}, SnapshotInterval);
      lead(Driver);
      for (int Times = 0; Times < 3; ++Times) {
        {
          FullDisk Full(0);
          fillDisk(Driver);
          runOneSecond(Driver);
          EXPECT_TRUE(Driver.hasFailed());
        }
        runOneSecond(Driver);
        ASSERT_FALSE(Driver.hasFailed())
            << core::toString(Driver.diskFailure());
        lead(Driver);
        step(Driver, replica::Propose{.m_Commands = messages::encode(
                                          control::Batch{.m_At = m_Now})});
        EXPECT_EQ(Driver.replica().m_Commit,
                  Driver.replica().m_Log.lastIndex());
      }
      Index = Driver.replica().m_Commit;
    }
    ReplicaDriver Driver = open({Self}, SnapshotInterval);
    EXPECT_EQ(Driver.replica().m_Log.lastIndex(), Index);
  }
}

// Guards against a replica that misses entries after its disk was full: those
// that the message of the failed write had committed were dropped unapplied.
TEST_F(ReplicaDriverTest, AppliesEntriesThatWereCommittedWhileTheDiskWasFull) {
  const core::VmId Leader("b");
  ReplicaDriver Driver = open({Self, Leader}, 1000);
  const replica::Member Voter{.m_Incarnation = 1, .m_Voter = true};
  step(Driver, replica::Received{.m_From = Leader,
                                 .m_Message = replica::JoinReply{
                                     .m_Members = replica::Members(
                                         {{Self, Voter}, {Leader, Voter}})}});
  ASSERT_EQ(Driver.replica().m_Role, replica::Role::Follower);
  m_Sent.clear();
  {
    FullDisk Full(0);
    step(Driver,
         replica::Received{.m_From = Leader,
                           .m_Message = replica::Append{
                               .m_Term = 1,
                               .m_Commit = 1,
                               .m_SentAt = m_Now,
                               .m_Entries = {{.m_Index = 1, .m_Term = 1}}}});
    EXPECT_TRUE(Driver.hasFailed());
  }
  // The entry was not synced, so it must not be acknowledged.
  EXPECT_TRUE(m_Sent.empty());
  m_Now += core::Duration(1000);
  Driver.flush(m_Now);
  EXPECT_FALSE(Driver.hasFailed());
  EXPECT_EQ(m_Applied, std::vector<std::uint64_t>{1});
}
