#include "membership/membership.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::membership;

static const core::VmId A("a");
static const core::VmId B("b");
static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static Membership twoVms() { return {A, {{.m_Id = A}, {.m_Id = B}}}; }

TEST(Membership, GoesFromUnknownToGone) {
  DetectionOptions Options;
  Membership Value = twoVms();
  EXPECT_EQ(Value.liveness(B, at(0), Options), Liveness::Unknown);
  Value = std::move(Value).withDatagram({.m_From = B}, at(1000));
  EXPECT_EQ(Value.liveness(B, at(1100), Options), Liveness::Alive);
  EXPECT_EQ(Value.liveness(B, at(1000) + Options.m_SuspectAfter, Options),
            Liveness::Suspect);
  EXPECT_EQ(Value.liveness(B, at(1000) + Options.m_GoneAfter, Options),
            Liveness::Gone);
}

TEST(Membership, DistinguishesAStalledConnectionFromASilentVm) {
  DetectionOptions Options;
  Membership Value = twoVms().withFrame(B, at(0));
  Value = std::move(Value).withDatagram({.m_From = B}, at(10000));
  EXPECT_TRUE(Value.isConnectionStalled(B, at(10100), Options));
  Value = std::move(Value).withFrame(B, at(10100));
  EXPECT_FALSE(Value.isConnectionStalled(B, at(10200), Options));
  // Nothing arrives at all: the VM is silent, not only its connection.
  EXPECT_FALSE(Value.isConnectionStalled(B, at(90000), Options));
}

TEST(Membership, VersionNeverDecreases) {
  Membership Value =
      twoVms().withDatagram({.m_From = B, .m_ConfigurationVersion = 7}, at(2));
  Value = std::move(Value).withDatagram(
      {.m_From = B, .m_ConfigurationVersion = 5}, at(1));
  EXPECT_EQ(Value.find(B)->m_ConfigurationVersion, 7U);
  EXPECT_EQ(Value.find(B)->m_LastDatagram, at(2));
}

TEST(Membership, FollowsTheLeaderOfTheHighestTerm) {
  core::VmId C("c");
  Membership Value(A, {{.m_Id = A}, {.m_Id = B}, {.m_Id = C}});
  Value = std::move(Value).withDatagram(
      {.m_From = B, .m_Leader = B, .m_Term = 4}, at(0));
  Value = std::move(Value).withDatagram(
      {.m_From = C, .m_Leader = C, .m_Term = 5}, at(0));
  EXPECT_EQ(Value.leader(at(10), {}), C);
  EXPECT_EQ(Value.leader(at(60000), {}), core::VmId());
}

TEST(Membership, IgnoresUnknownVms) {
  Membership Value = twoVms();
  EXPECT_EQ(Membership(Value).withDatagram({.m_From = core::VmId("x")}, at(1)),
            Value);
}

static VmAddress address(const char *Host) {
  constexpr std::uint16_t Port = 7000;
  return addressById(core::VmId(Host), Port);
}

static Membership membershipWithDiscovery() {
  return Membership::withDiscovery(address("10.0.0.1"), {address("10.0.0.2")});
}

TEST(Membership, DiscoveryAddsSendersAndTheirReplicas) {
  core::VmId Sender("10.0.0.3");
  core::VmId Named("10.0.0.4");
  Membership Value = membershipWithDiscovery().withDatagram(
      {.m_From = Sender, .m_Replicas = {Named}}, at(1));
  ASSERT_NE(Value.find(Sender), nullptr);
  ASSERT_NE(Value.find(Named), nullptr);
  EXPECT_EQ(Value.find(Named)->m_Address, address("10.0.0.4"));
  EXPECT_EQ(Value.liveness(Named, at(1), {}), Liveness::Unknown);
}

TEST(Membership, DiscoveryRemovesUnresponsiveVmsButNoSeed) {
  core::VmId Sender("10.0.0.3");
  Membership Value = membershipWithDiscovery().withFrame(Sender, at(1));
  core::Duration Timeout(1000);
  EXPECT_NE(
      Membership(Value).withoutUnresponsive(at(500), Timeout).find(Sender),
      nullptr);
  Value = std::move(Value).withoutUnresponsive(at(2000), Timeout);
  EXPECT_EQ(Value.find(Sender), nullptr);
  EXPECT_NE(Value.find(core::VmId("10.0.0.2")), nullptr);
  EXPECT_NE(Value.find(core::VmId("10.0.0.1")), nullptr);
}

TEST(Membership, DiscoveryKeepsTheReplicasOfItsOwnLog) {
  core::VmId Replica("10.0.0.5");
  core::VmId Former("10.0.0.6");
  Membership Value =
      membershipWithDiscovery().withReplicas({Replica, Former}, at(0));
  ASSERT_NE(Value.find(Replica), nullptr);
  EXPECT_EQ(Value.find(Replica)->m_Address, address("10.0.0.5"));
  Value = std::move(Value).withReplicas({Replica}, at(1));
  Value = std::move(Value).withoutUnresponsive(at(2000), core::Duration(1000));
  EXPECT_NE(Value.find(Replica), nullptr);
  EXPECT_EQ(Value.find(Former), nullptr);
}

TEST(Membership, ListsEveryStalledConnection) {
  core::VmId C("c");
  Membership Value(A, {{.m_Id = A}, {.m_Id = B}, {.m_Id = C}});
  for (const core::VmId &Vm : {B, C})
    Value = std::move(Value).withFrame(Vm, at(0)).withDatagram({.m_From = Vm},
                                                               at(10000));
  EXPECT_EQ(Value.stalledConnections(at(10100), {}),
            (std::vector<core::VmId>{B, C}));
}
