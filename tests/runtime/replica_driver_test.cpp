#include "runtime/replica_driver.h"

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
  ReplicaDriver open() {
    auto Opened = ReplicaDriver::open(
        {.m_DataFolder = m_Folder.string(),
         .m_SnapshotIntervalEntries = 1,
         .m_Identity = {.m_Self = Self, .m_KnownPeers = {Self}},
         .m_NewIncarnation = 1},
        [](const core::VmId &, const replica::Message &) {},
        [](std::uint64_t, const control::ApplyResult &) {}, m_Now);
    EXPECT_TRUE(Opened) << core::toString(Opened.reason());
    return *std::move(Opened);
  }
  void step(ReplicaDriver &Driver, const replica::Input &Value) {
    Driver.step(Value, m_Now);
    Driver.flush(m_Now);
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
