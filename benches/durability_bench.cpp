// Compares durability rules. For each placement of replicas and each rule,
// prints the commit latency from link delays and the losses after which the
// system remains operable.
#include "replica/durability.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace fireflydrift;
using namespace fireflydrift::replica;

// One-way link delays in milliseconds, as stated by the users.
static constexpr int WithinRegionMs = 1;
static constexpr int BetweenRegionsMs = 12;

namespace {

struct ReplicaLayout {
  std::string m_Name;
  // Region and failure domain of each replica.
  std::vector<std::pair<std::string, std::string>> m_Locations;
};

struct Rule {
  std::string m_Name;
  DurabilityRule m_Rule;
};

} // namespace

static core::VmId vm(std::size_t Number) {
  return core::VmId(std::string(1, static_cast<char>('a' + Number)));
}

static Members membersOf(const ReplicaLayout &Value) {
  std::map<core::VmId, Member> All;
  for (std::size_t I = 0; I < Value.m_Locations.size(); ++I)
    All[vm(I)] = {.m_Region = Value.m_Locations[I].first,
                  .m_FailureDomain = Value.m_Locations[I].second,
                  .m_Voter = true};
  return Members(std::move(All));
}

static int delay(const Member &A, const Member &B) {
  if (A.m_Region != B.m_Region)
    return BetweenRegionsMs;
  return A.m_FailureDomain == B.m_FailureDomain ? 0 : WithinRegionMs;
}

// Round-trip time in milliseconds until an entry of the leader is durable, or
// -1 when it never is.
static int commitLatency(const Rule &Value, const Members &All,
                         const core::VmId &Leader) {
  std::vector<std::pair<int, core::VmId>> Order;
  for (const auto &[Vm, Each] : All.all())
    if (Vm != Leader)
      Order.emplace_back(2 * delay(*All.find(Leader), Each), Vm);
  std::sort(Order.begin(), Order.end());
  std::set<core::VmId> Holders{Leader};
  int Latency = 0;
  for (const auto &[Ms, Vm] : Order) {
    if (isDurable(Value.m_Rule, All, Holders))
      return Latency;
    Holders.insert(Vm);
    Latency = Ms;
  }
  return isDurable(Value.m_Rule, All, Holders) ? Latency : -1;
}

static bool isOperableWithout(
    const Rule &Value, const Members &All,
    const std::function<bool(const core::VmId &, const Member &)> &Lost) {
  std::set<core::VmId> Remaining;
  for (const auto &[Vm, Each] : All.all())
    if (!Lost(Vm, Each))
      Remaining.insert(Vm);
  return hasQuorum(Value.m_Rule, All, Remaining);
}

// Of all ways to lose Count replicas: the number that leaves the system
// operable, and the total.
static std::pair<int, int> countOperableLosses(const Rule &Value,
                                               const Members &All, int Count) {
  int Operable = 0;
  int Cases = 0;
  auto Number = static_cast<unsigned>(All.all().size());
  for (unsigned Bits = 0; Bits < 1U << Number; ++Bits) {
    if (__builtin_popcount(Bits) != Count)
      continue;
    ++Cases;
    auto Lost = [&](const core::VmId &Vm, const Member &) {
      return (Bits >> static_cast<unsigned>(Vm.text()[0] - 'a') & 1U) != 0;
    };
    Operable += isOperableWithout(Value, All, Lost) ? 1 : 0;
  }
  return {Operable, Cases};
}

// Of all ways to lose the replicas that share a value of the attribute, such as
// one region: the number that leaves the system operable, and the total.
static std::pair<int, int>
countOperableGroupLosses(const Rule &Value, const Members &All,
                         std::string Member::*Attribute) {
  std::set<std::string> Names;
  for (const auto &[Vm, Each] : All.all())
    Names.insert(Each.*Attribute);
  int Operable = 0;
  for (const std::string &Name : Names)
    Operable += isOperableWithout(Value, All,
                                  [&](const core::VmId &, const Member &Each) {
                                    return Each.*Attribute == Name;
                                  })
                    ? 1
                    : 0;
  return {Operable, static_cast<int>(Names.size())};
}

static std::string fraction(std::pair<int, int> Value) {
  return std::to_string(Value.first) + "/" + std::to_string(Value.second);
}

int main() {
  const std::vector<ReplicaLayout> ReplicaLayouts{
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
  for (const ReplicaLayout &Layout : ReplicaLayouts) {
    Members All = membersOf(Layout);
    for (const Rule &Each : Rules) {
      std::vector<int> Latencies;
      for (const auto &[Vm, Replica] : All.all())
        Latencies.push_back(commitLatency(Each, All, Vm));
      auto [Best, Worst] =
          std::minmax_element(Latencies.begin(), Latencies.end());
      std::cout << "| " << Layout.m_Name << " | " << Each.m_Name << " | "
                << *Best << " to " << *Worst << " | "
                << fraction(countOperableLosses(Each, All, 1)) << " | "
                << fraction(countOperableLosses(Each, All, 2)) << " | "
                << fraction(countOperableLosses(Each, All, 3)) << " | "
                << fraction(countOperableGroupLosses(Each, All,
                                                     &Member::m_FailureDomain))
                << " | "
                << fraction(
                       countOperableGroupLosses(Each, All, &Member::m_Region))
                << " |\n";
    }
  }
  return 0;
}
