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
    for (int I = 0; I < 4; ++I) {
      m_Now += core::Duration(2000);
      step(Driver, replica::Tick{});
    }
    ASSERT_EQ(Driver.replica().m_Role, replica::Role::Leader);
    Applied = Driver.replica().m_Commit;
    step(Driver, replica::Propose{.m_Commands = "not a batch"});
    EXPECT_EQ(Driver.diskFailure().m_Code, core::ReasonCode::Corrupt);
  }
  ReplicaDriver Driver = open();
  EXPECT_EQ(Driver.recoveredContent().m_Recovered.m_Snapshot.m_Index, Applied);
}
