// Recovery from a journal with a given number of records. tools/bench counts
// the instructions inside measuredRegion().
#include "runtime/replica_driver.h"

#include <filesystem>
#include <functional>
#include <iostream>
#include <unistd.h>

using namespace fireflydrift;

[[gnu::noinline]] void measuredRegion(const std::function<void()> &Work) {
  Work();
}

static std::string commands(std::uint64_t Number) {
  control::Batch Batch{.m_At = core::timeFromMs(1)};
  Batch.m_Commands.push_back(
      control::AcceptJob{{.m_Key = {core::WorkspaceId("w"),
                                    core::RequestId(std::to_string(Number))},
                          .m_Shape = {.m_PerTask = {1, 0, 0}},
                          .m_Body = std::string(200, 'b')}});
  return messages::encode(Batch);
}

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: bench_recovery RECORDS\n";
    return 2;
  }
  auto Records = static_cast<std::uint64_t>(std::stoull(Arguments[1]));
  std::filesystem::path Folder = std::filesystem::temp_directory_path() /
                                 ("fd-recovery-" + std::to_string(getpid()));
  {
    auto Opened = runtime::Journal::open(Folder.string());
    if (!Opened)
      return 1;
    auto [Log, Content] = *std::move(Opened);
    for (std::uint64_t I = 1; I <= Records; ++I)
      (void)Log.append({.m_Value = replica::Entry{.m_Index = I,
                                                  .m_Term = 1,
                                                  .m_Commands = commands(I)}});
    (void)Log.append(
        {.m_Value = replica::HardState{.m_Term = 1, .m_Incarnation = 1}});
    if (!Log.sync())
      return 1;
  }
  std::uint64_t RecoveredEntries = 0;
  measuredRegion([&] {
    auto Driver = runtime::ReplicaDriver::open(
        {.m_DataFolder = Folder.string(), .m_SnapshotIntervalEntries = 1000000},
        [](const core::VmId &, const replica::Message &) {},
        [](std::uint64_t, const control::ApplyResult &) {},
        core::timeFromMs(1));
    RecoveredEntries = Driver ? Driver->replica().m_Log.lastIndex() : 0;
  });
  std::uintmax_t Bytes = 0;
  for (const auto &Each : std::filesystem::directory_iterator(Folder))
    Bytes += Each.file_size();
  std::filesystem::remove_all(Folder);
  std::cout << "repeats " << Records << "\nbytes_per_record " << Bytes / Records
            << "\nfound_all " << (RecoveredEntries == Records ? 1 : 0) << "\n";
  return RecoveredEntries == Records ? 0 : 1;
}
