// Replays each trace in virtual time with the product's placement policy and
// with baseline policies, and prints one row per trace and policy.
#include "messages/trace.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace fireflydrift;

namespace {

struct PolicyVariant {
  const char *m_Name;
  placement::PassOptions m_Pass;
};

} // namespace

static std::vector<PolicyVariant> policyVariants() {
  return {{"guarded", {}},
          {"first-fit",
           {.m_Policy = placement::placeFirstFit,
            .m_Order = placement::orderByArrival,
            .m_ReserveForOldest = false}},
          {"best-fit",
           {.m_Policy = placement::placeBestFit,
            .m_Order = placement::orderByArrival,
            .m_ReserveForOldest = false}}};
}

static std::vector<std::filesystem::path> traceFiles(const char *Folder) {
  std::vector<std::filesystem::path> Files;
  for (const auto &Each : std::filesystem::directory_iterator(Folder))
    if (Each.path().extension() == ".json" &&
        Each.path().stem() != "demo-configuration")
      Files.push_back(Each.path());
  std::sort(Files.begin(), Files.end());
  return Files;
}

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: bench_policies FOLDER\n";
    return 2;
  }
  static const char *Columns[] = {"answered",
                                  "completion_p50_ms",
                                  "completion_p99_ms",
                                  "makespan_per_mille_of_bound",
                                  "short_wait_p99_ms",
                                  "urgent_wait_max_ms",
                                  "reclaim_max_ms",
                                  "lost_accelerator_ms",
                                  "stranded_free_per_mille"};
  std::cout << "trace policy";
  for (const char *Column : Columns)
    std::cout << " " << Column;
  std::cout << "\n";
  for (const auto &File : traceFiles(Arguments[1])) {
    std::ifstream Stream(File);
    std::ostringstream Text;
    Text << Stream.rdbuf();
    auto Trace = messages::decodeTrace(Text.str());
    if (!Trace) {
      std::cerr << File << ": " << core::toString(Trace.reason()) << "\n";
      return 1;
    }
    for (const PolicyVariant &Each : policyVariants()) {
      control::ReplayOptions Options;
      Options.m_Leader.m_Pass = Each.m_Pass;
      control::ReplayResult Result = control::replay(*Trace, Options);
      std::cout << Trace->m_Name << " " << Each.m_Name;
      for (const char *Column : Columns)
        std::cout << " " << Result.m_Measures[Column];
      std::cout << "\n";
    }
  }
  return 0;
}
