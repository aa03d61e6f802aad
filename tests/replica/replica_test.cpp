#include "replica/replica.h"

#include "replica/cluster.h"

#include <random>
#include <utility>

using namespace fireflydrift;
using namespace fireflydrift::replica;

static const core::VmId A("a");
static const core::VmId B("b");
static const core::VmId C("c");
static constexpr core::Duration SettleTime{4000};

TEST(Replica, ElectsOneLeaderThatCommits) {
  Cluster All({});
  All.run(SettleTime);
  const Replica *Leader = All.leader();
  ASSERT_NE(Leader, nullptr);
  std::uint64_t Before = Leader->m_Commit;
  All.propose(Leader->m_Self);
  All.deliverAll();
  EXPECT_EQ(All.leader()->m_Commit, Before + 1);
}

TEST(Replica, SingleReplicaBootstrapsAndLeadsAtOnce) {
  Replica Single = start({.m_Self = A, .m_KnownPeers = {A}}, {},
                         {.m_Hard = {.m_Incarnation = 5}}, core::timeFromMs(1));
  Step First = step(Single, Tick{}, core::timeFromMs(2));
  EXPECT_TRUE(First.m_Effects.m_Install);
  Step Second = step(First.m_Replica, Tick{}, core::timeFromMs(2000));
  EXPECT_EQ(Second.m_Replica.m_Role, Role::Leader);
  Step Third =
      step(Second.m_Replica, Synced{.m_Index = 1}, core::timeFromMs(2000));
  EXPECT_EQ(Third.m_Effects.m_Committed.size(), 1U);
  EXPECT_TRUE(holdsLease(Third.m_Replica, core::timeFromMs(2000)));
}

TEST(Replica, NothingIsCommittedBeforeTheSync) {
  Cluster All({.m_Replicas = 1});
  All.run(SettleTime);
  Replica Leader = *All.leader();
  Step Next = step(Leader, Propose{.m_Commands = "x"}, All.m_Now);
  EXPECT_TRUE(Next.m_Effects.m_Committed.empty());
  Step After =
      step(Next.m_Replica, Synced{.m_Index = Next.m_Replica.m_Log.lastIndex()},
           All.m_Now);
  EXPECT_EQ(After.m_Effects.m_Committed.size(), 1U);
}

TEST(Replica, AnIsolatedLeaderLosesItsLeaseBeforeAnotherIsElected) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Old = All.leader()->m_Self;
  for (const core::VmId &Id : All.ids())
    if (Id != Old)
      All.disconnect(Old, Id);
  bool LostFirst = false;
  for (int I = 0; I < 200; ++I) {
    All.run(core::Duration(50));
    bool Holds = holdsLease(All.at(Old), All.m_Now);
    if (!Holds && !All.leader())
      LostFirst = true;
    if (All.leader() && All.leader()->m_Self != Old)
      break;
  }
  EXPECT_TRUE(LostFirst);
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_NE(All.leader()->m_Self, Old);
}

TEST(Replica, AnIsolatedFollowerDoesNotRaiseTheTerm) {
  Cluster All({});
  All.run(SettleTime);
  std::uint64_t Term = All.leader()->m_Hard.m_Term;
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Follower = Leader == A ? B : A;
  for (const core::VmId &Id : All.ids())
    if (Id != Follower)
      All.disconnect(Follower, Id);
  All.run(core::Duration(20000));
  All.healPartitions();
  All.run(SettleTime);
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_EQ(All.leader()->m_Self, Leader);
  EXPECT_EQ(All.leader()->m_Hard.m_Term, Term);
}

TEST(Replica, ReplacedDiskRejoinsAsLearnerAndVotesAgain) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Replaced = Leader == A ? B : A;
  for (int I = 0; I < 20; ++I)
    All.propose(Leader);
  All.deliverAll();
  All.replaceDisk(Replaced);
  EXPECT_EQ(All.at(Replaced).m_Role, Role::Uninitialized);
  All.run(SettleTime);
  const Replica &Repaired = All.at(Replaced);
  EXPECT_EQ(Repaired.m_Role, Role::Follower);
  EXPECT_TRUE(
      Repaired.m_Log.membersAt(Repaired.m_Log.lastIndex()).isVoter(Replaced));
  // A second VM is lost right after the replica has recovered.
  All.crash(Leader);
  All.run(SettleTime);
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_GE(All.leader()->m_Log.lastIndex(), All.acknowledgedCount());
}

TEST(Replica, ReplacedDiskDoesNotVoteWhileItIsEmpty) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Replaced = Leader == A ? B : A;
  core::VmId Other = Leader == C ? B : C;
  if (Other == Replaced)
    Other = A;
  All.disconnect(Leader, Replaced);
  All.replaceDisk(Replaced);
  All.crash(Leader);
  All.run(core::Duration(20000));
  // One intact replica and an empty one are not a majority.
  EXPECT_EQ(All.leader(), nullptr);
}

TEST(Replica, TransfersLeadershipAtOnce) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Old = All.leader()->m_Self;
  All.step(Old, StartLeadershipTransfer{}, false);
  All.deliverAll();
  All.run(core::Duration(100));
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_NE(All.leader()->m_Self, Old);
}

// The election of a transfer passes over the voters' promise to the old leader,
// which therefore must not act on its lease any more.
TEST(Replica, ALeaderThatTransfersGivesUpItsLeaseAtOnce) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Old = All.leader()->m_Self;
  All.step(Old, StartLeadershipTransfer{}, false);
  EXPECT_FALSE(holdsLease(All.at(Old), All.m_Now));
  // The request may arrive late, so the lease does not come back either.
  std::vector<InFlightMessage> Late = std::exchange(All.m_InFlight, {});
  All.run(SettleTime);
  ASSERT_NE(All.leader(), nullptr);
  for (const InFlightMessage &Each : Late)
    All.m_InFlight.push_back(Each);
  All.deliverAll();
  All.run(SettleTime);
  EXPECT_NE(All.leader(), nullptr);
}

TEST(Replica, FollowerFarBehindReceivesASnapshot) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Follower = Leader == A ? B : A;
  All.crash(Follower);
  for (int I = 0; I < 50; ++I)
    All.propose(Leader);
  All.deliverAll();
  All.step(Leader, SnapshotTaken{.m_Index = All.at(Leader).m_Commit}, false);
  All.restart(Follower);
  All.run(SettleTime);
  EXPECT_EQ(All.at(Follower).m_Commit, All.at(Leader).m_Commit);
  EXPECT_GT(All.at(Follower).m_Log.snapshot().m_Index, 0U);
}

// ---- Votes and acknowledgements --------------------------------------------

static std::optional<VoteReply> voteOf(const Step &Next) {
  for (const Outgoing &Each : Next.m_Effects.m_Messages)
    if (const auto *Reply = std::get_if<VoteReply>(&Each.m_Message))
      return *Reply;
  return std::nullopt;
}

// Returns replica B with one entry of term 1: a follower if Joined, otherwise
// uninitialized. Its last contact with a leader is at time 0.
static Replica follower(bool Joined = true) {
  std::map<core::VmId, Member> All;
  for (const core::VmId &Id : {A, B, C})
    All[Id] = {
        .m_Incarnation = 1, .m_FailureDomain = Id.text(), .m_Voter = true};
  return start({.m_Self = B, .m_KnownPeers = {A, B, C}}, {},
               {.m_Hard = {.m_Term = 1, .m_Incarnation = 1, .m_Joined = Joined},
                .m_Snapshot = {.m_Members = Members(All)},
                .m_Entries = {{.m_Index = 1, .m_Term = 1}}},
               core::timeFromMs(0));
}

static const core::Time LongAfterTimeout = core::timeFromMs(100000);

static Step requestVote(const Replica &Voter, std::uint64_t LastIndex,
                        const core::VmId &From = A) {
  return step(Voter,
              Received{.m_From = From,
                       .m_Message = VoteRequest{.m_Term = 2,
                                                .m_LastIndex = LastIndex,
                                                .m_LastTerm = LastIndex}},
              LongAfterTimeout);
}

TEST(ReplicaVote, IsGrantedToALogOfEqualLengthAndSavedFirst) {
  Step Next = requestVote(follower(), 1);
  EXPECT_TRUE(voteOf(Next)->m_Granted);
  ASSERT_TRUE(Next.m_Effects.m_HardState);
  EXPECT_EQ(Next.m_Effects.m_HardState->m_VotedFor, A);
  for (const Outgoing &Each : Next.m_Effects.m_Messages)
    EXPECT_FALSE(Each.m_BeforeSync);
}

TEST(ReplicaVote, IsRefusedToAShorterLog) {
  EXPECT_FALSE(voteOf(requestVote(follower(), 0))->m_Granted);
}

TEST(ReplicaVote, IsGrantedToOneCandidatePerTerm) {
  Step First = requestVote(follower(), 1, A);
  EXPECT_FALSE(voteOf(requestVote(First.m_Replica, 1, C))->m_Granted);
}

TEST(ReplicaVote, IsNeverGrantedByAnUninitializedReplica) {
  EXPECT_FALSE(voteOf(requestVote(follower(false), 1))->m_Granted);
}

TEST(ReplicaVote, IsRefusedWithinTheTimeoutAfterALeaderMessage) {
  Step AfterAppend = step(follower(),
                          Received{.m_From = C,
                                   .m_Message = Append{.m_Term = 1,
                                                       .m_PreviousIndex = 1,
                                                       .m_PreviousTerm = 1}},
                          LongAfterTimeout);
  EXPECT_FALSE(voteOf(requestVote(AfterAppend.m_Replica, 1))->m_Granted);
}

TEST(Replica, DoesNotCountItsOwnEntryBeforeTheSync) {
  Cluster All({});
  All.run(SettleTime);
  Replica Leader = *All.leader();
  core::VmId Peer = Leader.m_Self == A ? B : A;
  Step Proposed = step(Leader, Propose{.m_Commands = "x"}, All.m_Now);
  std::uint64_t Index = Proposed.m_Replica.m_Log.lastIndex();
  Step Acked = step(
      Proposed.m_Replica,
      Received{.m_From = Peer,
               .m_Message = AppendReply{.m_Term = Leader.m_Hard.m_Term,
                                        .m_Accepted = true,
                                        .m_Match = Index,
                                        .m_Incarnation = Peer == A ? 1U : 2U,
                                        .m_SentAt = All.m_Now}},
      All.m_Now);
  EXPECT_TRUE(Acked.m_Effects.m_Committed.empty());
  Step Synced =
      step(Acked.m_Replica, replica::Synced{.m_Index = Index}, All.m_Now);
  EXPECT_EQ(Synced.m_Effects.m_Committed.size(), 1U);
}

// Returns B as the leader of term 2, with an uncommitted entry of term 1.
static Replica leaderOfTermTwo() {
  Step Campaigning = step(follower(), Campaign{}, LongAfterTimeout);
  Step Elected = step(Campaigning.m_Replica,
                      Received{.m_From = A,
                               .m_Message = VoteReply{.m_Term = 2,
                                                      .m_Granted = true,
                                                      .m_Incarnation = 1}},
                      LongAfterTimeout);
  EXPECT_EQ(Elected.m_Replica.m_Role, Role::Leader);
  return step(Elected.m_Replica, Synced{.m_Index = 2}, LongAfterTimeout)
      .m_Replica;
}

static Step acknowledge(const Replica &Leader, std::uint64_t Match,
                        std::uint64_t Incarnation) {
  return step(Leader,
              Received{.m_From = A,
                       .m_Message = AppendReply{.m_Term = 2,
                                                .m_Accepted = true,
                                                .m_Match = Match,
                                                .m_Incarnation = Incarnation,
                                                .m_SentAt = LongAfterTimeout}},
              LongAfterTimeout);
}

TEST(Replica, CommitsEarlierTermsOnlyWithAnEntryOfItsOwnTerm) {
  Replica Leader = leaderOfTermTwo();
  EXPECT_TRUE(acknowledge(Leader, 1, 1).m_Effects.m_Committed.empty());
  EXPECT_EQ(acknowledge(Leader, 2, 1).m_Effects.m_Committed.size(), 2U);
}

TEST(Replica, NewConfiguredReplicaJoinsAsLearner) {
  core::VmId New("d");
  Replica Leader = leaderOfTermTwo();
  Leader.m_KnownPeers.insert(New);
  Leader = acknowledge(Leader, 2, 1).m_Replica;
  Step Next = step(
      Leader,
      Received{.m_From = New, .m_Message = JoinRequest{.m_Incarnation = 9}},
      LongAfterTimeout);
  ASSERT_EQ(Next.m_Effects.m_Append.size(), 1U);
  const Members &All = *Next.m_Effects.m_Append[0].m_Members;
  ASSERT_NE(All.find(New), nullptr);
  EXPECT_FALSE(All.isVoter(New));
  // A replica that is not configured is not added.
  Step Unlisted = step(
      Leader, Received{.m_From = core::VmId("x"), .m_Message = JoinRequest{}},
      LongAfterTimeout);
  EXPECT_TRUE(Unlisted.m_Effects.m_Append.empty());
}

TEST(Replica, UnlistedVmReplacesALostVoter) {
  Cluster All({.m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}});
  All.run(core::Duration(5000));
  core::VmId Lost = All.leader()->m_Self;
  All.crash(Lost);
  core::VmId Unlisted("x");
  All.addUnlistedVm(Unlisted);
  All.run(core::Duration(20000));
  ASSERT_NE(All.leader(), nullptr);
  const Replica &Leader = *All.leader();
  const Members &Current = Leader.m_Log.membersAt(Leader.m_Commit);
  EXPECT_TRUE(Current.isVoter(Unlisted));
  EXPECT_EQ(Current.find(Lost), nullptr);
  EXPECT_EQ(Current.voters().size(), 3U);
}

TEST(Replica, RemovedVoterRejoins) {
  Cluster All({.m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}});
  All.run(core::Duration(5000));
  core::VmId Lost = All.leader()->m_Self;
  All.crash(Lost);
  All.addUnlistedVm(core::VmId("x"));
  All.run(core::Duration(20000));
  All.restart(Lost);
  All.run(core::Duration(10000));
  ASSERT_NE(All.leader(), nullptr);
  const Replica &Leader = *All.leader();
  EXPECT_TRUE(Leader.m_Log.membersAt(Leader.m_Commit).isVoter(Lost));
}

// Guards against learners that are never promoted: proposals more frequent than
// heartbeats kept the leader from checking its learners.
TEST(Replica, LearnerIsPromotedUnderSteadyProposals) {
  Cluster All({.m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}});
  All.run(core::Duration(5000));
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Other =
      *All.ids().begin() == Leader ? *All.ids().rbegin() : *All.ids().begin();
  All.replaceDisk(Other);
  for (int I = 0; I < 60; ++I) {
    All.propose(Leader);
    All.run(core::Duration(50));
  }
  const Replica &Current = All.at(Leader);
  EXPECT_TRUE(Current.m_Log.membersAt(Current.m_Commit).isVoter(Other));
}

// Guards against a term without a leader: both followers of a crashed leader
// time out at the same time, and each votes for itself.
TEST(Replica, TwoCandidatesAtOnceDoNotSplitTheVote) {
  Cluster All({});
  All.run(core::Duration(5000));
  core::VmId Lost = All.leader()->m_Self;
  std::uint64_t Term = All.leader()->m_Hard.m_Term;
  All.crash(Lost);
  All.deliverAll();
  constexpr core::Duration MaxElectionDelay{2000};
  All.advance(MaxElectionDelay);
  All.tickAll();
  All.deliverAll();
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_EQ(All.leader()->m_Hard.m_Term, Term + 1);
}

TEST(Replica, StoppedVoterStaysMemberWithoutAReplacement) {
  Cluster All({.m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}});
  All.run(core::Duration(5000));
  core::VmId Stopped = All.leader()->m_Self;
  All.crash(Stopped);
  All.run(core::Duration(20000));
  ASSERT_NE(All.leader(), nullptr);
  const Replica &Leader = *All.leader();
  EXPECT_TRUE(Leader.m_Log.membersAt(Leader.m_Commit).isVoter(Stopped));
}

// ---- Replacement -----------------------------------------------------------

// Time for which a machine that is back or new counts as lost (catchUpS).
static constexpr core::Duration CatchUpTime{4000};

// Three replicas whose set any VM may join, with the timeouts of the
// deployment.
static ClusterOptions replaceableReplicas(unsigned Seed) {
  return {.m_Replica = {.m_ElectionTimeout = core::Duration(500),
                        .m_Heartbeat = core::Duration(125),
                        .m_Seed = Seed},
          .m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}};
}

static void setDraining(Cluster &All, const std::set<core::VmId> &Vms) {
  for (const core::VmId &Id : All.ids())
    All.step(Id, VmsDraining{Vms}, false);
}

// The leader's disk is lost; with all others up the set must elect again.
static void expectLeaderAfterLostDisk(Cluster &All) {
  ASSERT_NE(All.leader(), nullptr);
  // A copy: the crash destroys the replica that holds the id.
  core::VmId Wiped = All.leader()->m_Self;
  All.replaceDisk(Wiped);
  constexpr core::Duration RecoveryTime{12000};
  All.run(RecoveryTime);
  EXPECT_NE(All.leader(), nullptr) << "no leader after the loss of a disk";
}

// Guards against a set without a leader for good: a replica that had been
// replaced and stopped stayed a voter for seconds, and when the leader then
// lost its disk, two of four votes were left.
TEST(Replica, ReplacedVoterIsRemovedBeforeItStops) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed)
    for (const core::VmId &Replaced : {A, B, C}) {
      SCOPED_TRACE("seed " + std::to_string(Seed) + " " + Replaced.text());
      Cluster All(replaceableReplicas(Seed));
      All.run(SettleTime);
      All.addUnlistedVm(core::VmId("x"));
      All.run(CatchUpTime);
      setDraining(All, {Replaced});
      All.step(Replaced, StartLeadershipTransfer{}, false);
      constexpr core::Duration MinDrainTime{1000};
      All.run(MinDrainTime);
      All.crash(Replaced);
      expectLeaderAfterLostDisk(All);
    }
}

// The same without a plan: the leader is gone for good and a new VM has had the
// time to catch up, when the next leader loses its disk.
TEST(Replica, LostVoterIsRemovedOnceAnotherHasCaughtUp) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    Cluster All(replaceableReplicas(Seed));
    All.run(SettleTime);
    ASSERT_NE(All.leader(), nullptr);
    core::VmId Lost = All.leader()->m_Self;
    All.crash(Lost);
    All.addUnlistedVm(core::VmId("x"));
    All.run(CatchUpTime);
    expectLeaderAfterLostDisk(All);
  }
}

// Guards against two leaders: one that was promoting a learner counted the two
// of them as half of the new set while the other half, which had not heard of
// the change, elected a leader by the set before it.
TEST(Replica, LeaseHoldsAgainstTheSetBeforeAnUncommittedPromotion) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    Cluster All({.m_Replicas = 4, .m_Replica = {.m_Seed = Seed}});
    All.run(SettleTime);
    ASSERT_NE(All.leader(), nullptr);
    core::VmId Leader = All.leader()->m_Self;
    core::VmId Learner = Leader == A ? B : A;
    All.replaceDisk(Learner);
    // Cut the leader and the learner off the moment the promotion is proposed.
    auto IsPromoting = [&] {
      const Replica &Self = All.at(Leader);
      return Self.m_Log.membersIndex() > Self.m_Commit &&
             Self.m_Log.membersAt(Self.m_Log.lastIndex()).isVoter(Learner) &&
             !Self.m_Log.membersAt(Self.m_Commit).isVoter(Learner);
    };
    for (int I = 0; I < 5000 && !IsPromoting(); ++I) {
      if (All.m_InFlight.empty()) {
        All.advance(core::Duration(20));
        All.tickAll();
      } else {
        All.deliver(0);
      }
    }
    ASSERT_TRUE(IsPromoting());
    for (const core::VmId &Id : All.ids())
      if (Id != Leader && Id != Learner) {
        All.disconnect(Leader, Id);
        All.disconnect(Learner, Id);
      }
    // The cluster checks that at most one replica holds a lease.
    All.run(core::Duration(20000));
    ASSERT_NE(All.leader(), nullptr);
    EXPECT_NE(All.leader()->m_Self, Leader);
  }
}

TEST(Replica, StoppingVoterStaysMemberWithoutAReplacement) {
  Cluster All(replaceableReplicas(1));
  All.run(SettleTime);
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Stopping = Leader == A ? B : A;
  setDraining(All, {Stopping});
  EXPECT_FALSE(awaitsRemoval(All.at(Stopping)));
  All.run(SettleTime);
  const Replica &Current = All.at(Leader);
  EXPECT_TRUE(Current.m_Log.membersAt(Current.m_Commit).isVoter(Stopping));
}

// A stopping replica that was removed must not come back before it has stopped,
// but once it runs again.
TEST(Replica, RemovedVoterRejoinsOnlyAfterItsRestart) {
  Cluster All(replaceableReplicas(1));
  All.run(SettleTime);
  All.addUnlistedVm(core::VmId("x"));
  All.run(CatchUpTime);
  core::VmId Stopping = All.leader()->m_Self == A ? B : A;
  setDraining(All, {Stopping});
  EXPECT_TRUE(awaitsRemoval(All.at(Stopping)));
  All.run(SettleTime);
  auto IsMember = [&] {
    const Replica &Current = *All.leader();
    return Current.m_Log.membersAt(Current.m_Commit).find(Stopping) != nullptr;
  };
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_FALSE(IsMember());
  All.crash(Stopping);
  All.restart(Stopping);
  setDraining(All, {});
  All.run(SettleTime);
  ASSERT_NE(All.leader(), nullptr);
  EXPECT_TRUE(IsMember());
}

TEST(Replica, UninitializedReplicaDoesNotBootstrapAfterTheFirstStart) {
  core::VmId Self("a");
  Replica Uninitialized =
      start({.m_Self = Self,
             .m_KnownPeers = {Self},
             .m_Join = {.m_MayBootstrap = false, .m_AllowAnyVm = true}},
            {}, {}, core::timeFromMs(1));
  Step Next = step(std::move(Uninitialized), Tick{}, core::timeFromMs(60000));
  EXPECT_EQ(Next.m_Replica.m_Role, Role::Uninitialized);
}

TEST(Replica, IgnoresRepliesOfAnotherIncarnation) {
  EXPECT_TRUE(
      acknowledge(leaderOfTermTwo(), 2, 77).m_Effects.m_Committed.empty());
}

TEST(Replica, CommitsNothingThroughAnEmptyDisk) {
  Cluster All({});
  All.run(SettleTime);
  core::VmId Leader = All.leader()->m_Self;
  core::VmId Replaced = Leader == A ? B : A;
  for (const core::VmId &Id : All.ids())
    if (Id != Leader && Id != Replaced)
      All.crash(Id);
  All.replaceDisk(Replaced);
  std::uint64_t Before = All.at(Leader).m_Commit;
  All.propose(Leader);
  All.run(core::Duration(500));
  EXPECT_EQ(All.at(Leader).m_Commit, Before);
}

// ---- Random faults ---------------------------------------------------------

// Injects message loss, delay and reordering, partitions, crashes before the
// sync, and replaced disks. The invariants are checked after each step.
static void runFaults(unsigned Seed, ClusterOptions Options, int Steps) {
  SCOPED_TRACE("seed " + std::to_string(Seed));
  std::minstd_rand Random(Seed);
  Options.m_Replica.m_Seed = Seed;
  Cluster All(Options);
  auto Pick = [&] {
    auto It = All.ids().begin();
    std::advance(It, Random() % All.ids().size());
    return *It;
  };
  std::set<core::VmId> Replaced;
  for (int I = 0; I < Steps; ++I) {
    unsigned Draw = Random() % 1000;
    if (Draw < 550 && !All.m_InFlight.empty()) {
      All.deliver(Random() % std::min<std::size_t>(All.m_InFlight.size(), 8));
    } else if (Draw < 600 && !All.m_InFlight.empty()) {
      All.drop(Random() % All.m_InFlight.size());
    } else if (Draw < 800) {
      All.advance(core::Duration(20));
      All.tickAll();
    } else if (Draw < 950) {
      All.propose(Pick());
    } else if (Draw < 960) {
      All.step(Pick(), Propose{.m_Commands = "dies"}, true);
    } else if (Draw < 970) {
      All.crash(Pick());
    } else if (Draw < 990) {
      core::VmId Id = Pick();
      if (!All.isUp(Id))
        All.restart(Id);
    } else if (Draw < 992) {
      All.step(Pick(), StartLeadershipTransfer{}, false);
    } else if (Draw < 994) {
      All.disconnect(Pick(), Pick());
    } else if (Draw < 998) {
      All.healPartitions();
    } else if (Replaced.empty()) {
      // One disk is replaced per run, while all replicas are up: three replicas
      // cannot tolerate more than one lost disk at a time.
      core::VmId Id = Pick();
      bool AllUp = true;
      for (const core::VmId &Each : All.ids())
        AllUp = AllUp && All.isUp(Each);
      if (AllUp) {
        All.replaceDisk(Id);
        Replaced.insert(Id);
      }
    }
  }
  All.healPartitions();
  for (const core::VmId &Id : All.ids())
    if (!All.isUp(Id))
      All.restart(Id);
  All.run(core::Duration(20000));
  ASSERT_NE(All.leader(), nullptr) << "no leader after all faults ended";
  for (const core::VmId &Id : All.ids())
    EXPECT_EQ(All.at(Id).m_Commit, All.leader()->m_Commit);
}

TEST(Replica, KeepsEveryAcknowledgedEntryUnderSeededFaults) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed)
    runFaults(Seed, {}, 3000);
}

TEST(Replica, KeepsAcknowledgedEntriesWithADomainRule) {
  ClusterOptions Options{.m_Replicas = 5};
  Options.m_Replica.m_Rule = {.m_Copies = 2, .m_Domains = 2};
  for (unsigned Seed = 1; Seed <= 30; ++Seed)
    runFaults(Seed, Options, 3000);
}
