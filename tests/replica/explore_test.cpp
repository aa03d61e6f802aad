// Bounded model checking: explores the orders of a small number of events
// breadth-first, up to a maximum number of states, and checks the invariants in
// each state.
#include "replica/cluster.h"

#include <iostream>
#include <set>

using namespace fireflydrift;
using namespace fireflydrift::replica;

namespace {

// Options without an election timeout: only the exploration starts elections.
ClusterOptions optionsWithoutTimeouts(std::uint32_t Replicas) {
  ClusterOptions Options{.m_Replicas = Replicas};
  Options.m_Replica.m_ElectionTimeout = core::Duration(0);
  return Options;
}

// Identifies a state of the cluster.
struct StateKey {
  std::vector<Replica> m_Replicas;
  std::vector<InFlightMessage> m_InFlight;

  friend auto operator<=>(const StateKey &, const StateKey &) = default;
};

StateKey stateKeyOf(const Cluster &Value) {
  StateKey Out{.m_InFlight = Value.m_InFlight};
  std::sort(Out.m_InFlight.begin(), Out.m_InFlight.end());
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

struct ExplorationLimits {
  int m_Campaigns = 2;
  int m_Proposals = 1;
  int m_Crashes = 1;
  std::size_t m_States = 0;
};

std::size_t explore(std::uint32_t Replicas, const ExplorationLimits &Limits) {
  std::set<StateKey> Seen;
  std::vector<Node> Open{
      {.m_Cluster = Cluster(optionsWithoutTimeouts(Replicas))}};
  Seen.insert(stateKeyOf(Open.front().m_Cluster));
  for (std::size_t I = 0; I < Open.size() && Seen.size() < Limits.m_States;
       ++I) {
    auto Visit = [&](Node Next) {
      if (Seen.insert(stateKeyOf(Next.m_Cluster)).second)
        Open.push_back(std::move(Next));
    };
    const std::size_t InFlightCount = Open[I].m_Cluster.m_InFlight.size();
    for (std::size_t Each = 0; Each < InFlightCount; ++Each) {
      Node Delivered = Open[I];
      Delivered.m_Cluster.deliver(Each);
      Visit(std::move(Delivered));
    }
    std::set<core::VmId> Ids = Open[I].m_Cluster.ids();
    for (const core::VmId &Id : Ids) {
      if (Open[I].m_Campaigns < Limits.m_Campaigns) {
        Node Next = Open[I];
        ++Next.m_Campaigns;
        Next.m_Cluster.step(Id, Campaign{}, false);
        Visit(std::move(Next));
      }
      bool Leads = Open[I].m_Cluster.at(Id).m_Role == Role::Leader;
      if (Leads && Open[I].m_Proposals < Limits.m_Proposals) {
        Node Next = Open[I];
        ++Next.m_Proposals;
        Next.m_Cluster.propose(Id);
        Visit(std::move(Next));
      }
      if (Open[I].m_Crashes < Limits.m_Crashes) {
        Node Next = Open[I];
        ++Next.m_Crashes;
        Next.m_Cluster.crash(Id);
        Next.m_Cluster.restart(Id);
        Visit(std::move(Next));
      }
    }
    // Expanded nodes are not needed again; this releases their messages.
    Open[I].m_Cluster.m_InFlight.clear();
    Open[I].m_Cluster.m_InFlight.shrink_to_fit();
  }
  return Seen.size();
}

} // namespace

TEST(ReplicaExploration, TwoReplicasKeepInvariantsInExploredOrders) {
  std::size_t States = explore(2, {.m_States = 30000});
  std::cout << "states explored with two replicas: " << States << "\n";
  EXPECT_GT(States, 1000U);
}

TEST(ReplicaExploration, ThreeReplicasKeepInvariantsInExploredOrders) {
  std::size_t States =
      explore(3, {.m_Campaigns = 2, .m_Crashes = 0, .m_States = 30000});
  std::cout << "states explored with three replicas: " << States << "\n";
  EXPECT_GT(States, 10000U);
}
