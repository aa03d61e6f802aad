// Weighs durability rules: for each layout of replicas and each rule, the
// commit latency in link delays, the copies of an entry that cross regions, and
// which losses leave the system able to work.
#include "replica/durability.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace fireflydrift;
using namespace fireflydrift::replica;

// One way, in milliseconds, as the users state them.
static constexpr int WithinRegionMs = 1;
static constexpr int BetweenRegionsMs = 12;

namespace {

struct Layout {
  std::string m_Name;
  // Region and failure domain of each replica.
  std::vector<std::pair<std::string, std::string>> m_Places;
};

struct Rule {
  std::string m_Name;
  DurabilityRule m_Rule;
};

} // namespace

static core::VmId vm(std::size_t Number) {
  return core::VmId(std::string(1, static_cast<char>('a' + Number)));
}

static Members membersOf(const Layout &Value) {
  std::map<core::VmId, Member> All;
  for (std::size_t I = 0; I < Value.m_Places.size(); ++I)
    All[vm(I)] = {.m_Region = Value.m_Places[I].first,
                  .m_FailureDomain = Value.m_Places[I].second,
                  .m_Voter = true};
  return Members(std::move(All));
}

static int delay(const Member &A, const Member &B) {
  if (A.m_Region != B.m_Region)
    return BetweenRegionsMs;
  return A.m_FailureDomain == B.m_FailureDomain ? 0 : WithinRegionMs;
}

// Round trip after which an entry of this leader is durable.
static int commitLatency(const Rule &Value, const Members &All,
                         const core::VmId &Leader) {
  std::vector<std::pair<int, core::VmId>> Order;
  for (const auto &[Vm, Each] : All.all())
    if (Vm != Leader)
      Order.emplace_back(2 * delay(*All.find(Leader), Each), Vm);
  std::sort(Order.begin(), Order.end());
  std::set<core::VmId> Have{Leader};
  int Latency = 0;
  for (const auto &[Ms, Vm] : Order) {
    if (isDurable(Value.m_Rule, All, Have))
      return Latency;
    Have.insert(Vm);
    Latency = Ms;
  }
  return isDurable(Value.m_Rule, All, Have) ? Latency : -1;
}

static bool worksWithout(
    const Rule &Value, const Members &All,
    const std::function<bool(const core::VmId &, const Member &)> &Lost) {
  std::set<core::VmId> Up;
  for (const auto &[Vm, Each] : All.all())
    if (!Lost(Vm, Each))
      Up.insert(Vm);
  return hasQuorum(Value.m_Rule, All, Up);
}

// How many of the possible losses of Count replicas leave it working.
static std::pair<int, int> survives(const Rule &Value, const Members &All,
                                    int Count) {
  int Works = 0;
  int Cases = 0;
  auto Number = static_cast<unsigned>(All.all().size());
  for (unsigned Bits = 0; Bits < 1U << Number; ++Bits) {
    if (__builtin_popcount(Bits) != Count)
      continue;
    ++Cases;
    auto Lost = [&](const core::VmId &Vm, const Member &) {
      return (Bits >> static_cast<unsigned>(Vm.text()[0] - 'a') & 1U) != 0;
    };
    Works += worksWithout(Value, All, Lost) ? 1 : 0;
  }
  return {Works, Cases};
}

static std::pair<int, int> survivesEach(const Rule &Value, const Members &All,
                                        std::string Member::*Part) {
  std::set<std::string> Names;
  for (const auto &[Vm, Each] : All.all())
    Names.insert(Each.*Part);
  int Works = 0;
  for (const std::string &Name : Names)
    Works += worksWithout(Value, All,
                          [&](const core::VmId &, const Member &Each) {
                            return Each.*Part == Name;
                          })
                 ? 1
                 : 0;
  return {Works, static_cast<int>(Names.size())};
}

static std::string fraction(std::pair<int, int> Value) {
  return std::to_string(Value.first) + "/" + std::to_string(Value.second);
}

int main() {
  const std::vector<Layout> Layouts{
      {"5 replicas, 3 regions",
       {{"r1", "d1"}, {"r1", "d2"}, {"r2", "d3"}, {"r2", "d4"}, {"r3", "d5"}}},
      {"7 replicas, 3 regions",
       {{"r1", "d1"},
        {"r1", "d2"},
        {"r1", "d3"},
        {"r2", "d4"},
        {"r2", "d5"},
        {"r3", "d6"},
        {"r3", "d7"}}},
      {"5 replicas, 2 regions, 5 domains",
       {{"r1", "d1"}, {"r1", "d2"}, {"r1", "d3"}, {"r2", "d4"}, {"r2", "d5"}}},
      {"7 replicas, 2 regions, 5 domains",
       {{"r1", "d1"},
        {"r1", "d1"},
        {"r1", "d2"},
        {"r1", "d3"},
        {"r2", "d4"},
        {"r2", "d4"},
        {"r2", "d5"}}}};
  const std::vector<Rule> Rules{{"majority", {}},
                                {"2 copies in 2 domains", {2, 2}},
                                {"3 copies in 2 domains", {3, 2}},
                                {"3 copies in 3 domains", {3, 3}}};
  std::cout
      << "| replicas | rule | commit, ms of links, best and worst leader "
         "| works after 1 VM | after 2 VMs | after 3 VMs | after a domain "
         "| after a region |\n|---|---|---|---|---|---|---|---|\n";
  for (const Layout &Place : Layouts) {
    Members All = membersOf(Place);
    for (const Rule &Each : Rules) {
      std::vector<int> Latencies;
      for (const auto &[Vm, Known] : All.all())
        Latencies.push_back(commitLatency(Each, All, Vm));
      auto [Best, Worst] =
          std::minmax_element(Latencies.begin(), Latencies.end());
      std::cout << "| " << Place.m_Name << " | " << Each.m_Name << " | "
                << *Best << " to " << *Worst << " | "
                << fraction(survives(Each, All, 1)) << " | "
                << fraction(survives(Each, All, 2)) << " | "
                << fraction(survives(Each, All, 3)) << " | "
                << fraction(survivesEach(Each, All, &Member::m_FailureDomain))
                << " | " << fraction(survivesEach(Each, All, &Member::m_Region))
                << " |\n";
    }
  }
  return 0;
}
