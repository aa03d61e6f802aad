// Bounded model checking: every order of a small number of events is explored
// breadth first, and each state is checked.
#include "replica/cluster.h"

#include <iostream>
#include <set>

using namespace fireflydrift;
using namespace fireflydrift::replica;

namespace {

// A cluster without time: elections begin when the explorer says so.
ClusterOptions timeless(std::uint32_t Replicas) {
  ClusterOptions Options{.m_Replicas = Replicas};
  Options.m_Replica.m_ElectionTimeout = core::Duration(0);
  return Options;
}

// What tells two states apart.
struct Key {
  std::vector<Replica> m_Replicas;
  std::vector<Flying> m_Flying;

  friend auto operator<=>(const Key &, const Key &) = default;
};

Key keyOf(const Cluster &Value) {
  Key Out{.m_Flying = Value.m_Flying};
  std::sort(Out.m_Flying.begin(), Out.m_Flying.end());
  for (const core::VmId &Id : Value.ids())
    if (Value.isUp(Id))
      Out.m_Replicas.push_back(Value.at(Id));
  return Out;
}

struct Node {
  Cluster m_Cluster;
  int m_Campaigns = 0;
  int m_Proposals = 0;
  int m_Crashes = 0;
};

struct Bounds {
  int m_Campaigns = 2;
  int m_Proposals = 1;
  int m_Crashes = 1;
  std::size_t m_States = 0;
};

std::size_t explore(std::uint32_t Replicas, const Bounds &Most) {
  std::set<Key> Seen;
  std::vector<Node> Open{{.m_Cluster = Cluster(timeless(Replicas))}};
  Seen.insert(keyOf(Open.front().m_Cluster));
  for (std::size_t I = 0; I < Open.size() && Seen.size() < Most.m_States; ++I) {
    auto Visit = [&](Node Next) {
      if (Seen.insert(keyOf(Next.m_Cluster)).second)
        Open.push_back(std::move(Next));
    };
    const std::size_t Flights = Open[I].m_Cluster.m_Flying.size();
    for (std::size_t Each = 0; Each < Flights; ++Each) {
      Node Delivered = Open[I];
      Delivered.m_Cluster.deliver(Each);
      Visit(std::move(Delivered));
    }
    std::set<core::VmId> Ids = Open[I].m_Cluster.ids();
    for (const core::VmId &Id : Ids) {
      if (Open[I].m_Campaigns < Most.m_Campaigns) {
        Node Next = Open[I];
        ++Next.m_Campaigns;
        Next.m_Cluster.step(Id, Campaign{}, false);
        Visit(std::move(Next));
      }
      bool Leads = Open[I].m_Cluster.at(Id).m_Role == Role::Leader;
      if (Leads && Open[I].m_Proposals < Most.m_Proposals) {
        Node Next = Open[I];
        ++Next.m_Proposals;
        Next.m_Cluster.propose(Id);
        Visit(std::move(Next));
      }
      if (Open[I].m_Crashes < Most.m_Crashes) {
        Node Next = Open[I];
        ++Next.m_Crashes;
        Next.m_Cluster.crash(Id);
        Next.m_Cluster.restart(Id);
        Visit(std::move(Next));
      }
    }
    // Visited nodes are not needed again.
    Open[I].m_Cluster.m_Flying.clear();
    Open[I].m_Cluster.m_Flying.shrink_to_fit();
  }
  return Seen.size();
}

} // namespace

TEST(ReplicaExploration, TwoReplicasKeepTheRulesInEveryOrder) {
  std::size_t States = explore(2, {.m_States = 30000});
  std::cout << "states explored with two replicas: " << States << "\n";
  EXPECT_GT(States, 1000U);
}

TEST(ReplicaExploration, ThreeReplicasKeepTheRulesInEveryOrder) {
  std::size_t States =
      explore(3, {.m_Campaigns = 2, .m_Crashes = 0, .m_States = 30000});
  std::cout << "states explored with three replicas: " << States << "\n";
  EXPECT_GT(States, 10000U);
}
