#include "replica/replica.h"

#include <algorithm>
#include <random>

namespace fireflydrift::replica {

// Entries that a learner may lack and still be promoted to voter.
static constexpr std::uint64_t PromotionLag = 16;
// Time between two snapshots sent to the same replica.
static constexpr core::Duration SnapshotResend{3000};

namespace impl {

// The working state of one step.
struct Work {
  Replica m_Replica;
  Effects m_Effects;
  core::Time m_Now;
};

} // namespace impl

using impl::Work;

// ---- Observation -----------------------------------------------------------

static const Members &members(const Replica &Value) {
  return Value.m_Log.membersAt(Value.m_Log.lastIndex());
}

core::Duration leaseLength(const ReplicaOptions &Options) {
  return Options.m_ElectionTimeout * (100 - Options.m_ClockDriftPercent) / 100;
}

// Voters that answered a message sent less than one lease ago, self included.
static std::set<core::VmId> recentVoters(const Replica &Value, core::Time Now) {
  std::set<core::VmId> Recent{Value.m_Self};
  for (const auto &[Vm, Known] : Value.m_Progress)
    if (Known.m_Answered &&
        Now - Known.m_AnsweredSentAt < leaseLength(Value.m_Options))
      Recent.insert(Vm);
  return Recent;
}

static bool isQuorumRecent(const Replica &Value, core::Time Now) {
  const Members &All = members(Value);
  std::set<core::VmId> Others = All.voters();
  for (const core::VmId &Vm : recentVoters(Value, Now))
    Others.erase(Vm);
  return !canElect(Value.m_Options.m_Rule, All, Others);
}

bool holdsLease(const Replica &Value, core::Time Now) {
  return Value.m_Role == Role::Leader && Value.m_Commit >= Value.m_TermStart &&
         isQuorumRecent(Value, Now);
}

static core::Duration electionDelay(const Replica &Value) {
  // Drawn from the term, so that a step has no hidden randomness.
  std::seed_seq Seed{static_cast<std::uint32_t>(Value.m_Options.m_Seed),
                     static_cast<std::uint32_t>(Value.m_Options.m_Seed >> 32U),
                     static_cast<std::uint32_t>(Value.m_Hard.m_Term)};
  std::minstd_rand Random(Seed);
  core::Duration Base = Value.m_Options.m_ElectionTimeout;
  if (Base <= core::Duration::zero())
    return Base;
  std::uniform_int_distribution<core::Duration::rep> Extra(0, Base.count());
  return Base + core::Duration(Extra(Random));
}

// ---- Small steps -----------------------------------------------------------

static void send(Work &W, const core::VmId &To, Message Value,
                 bool BeforeSync = false) {
  W.m_Effects.m_Messages.push_back(
      {.m_To = To, .m_Message = std::move(Value), .m_BeforeSync = BeforeSync});
}

static void saveHardState(Work &W) {
  W.m_Effects.m_HardState = W.m_Replica.m_Hard;
}

static void appendEntry(Work &W, Entry Value) {
  W.m_Effects.m_Append.push_back(Value);
  W.m_Replica.m_Log = std::move(W.m_Replica.m_Log).appended(std::move(Value));
}

static void truncateFrom(Work &W, std::uint64_t Index) {
  auto &Pending = W.m_Effects.m_Append;
  std::erase_if(Pending,
                [&](const Entry &Value) { return Value.m_Index >= Index; });
  W.m_Effects.m_TruncateFrom =
      std::min(Index, W.m_Effects.m_TruncateFrom.value_or(Index));
  W.m_Replica.m_Log = std::move(W.m_Replica.m_Log).truncatedFrom(Index);
  W.m_Replica.m_Synced = std::min(W.m_Replica.m_Synced, Index - 1);
}

static void commitTo(Work &W, std::uint64_t Index) {
  Replica &Self = W.m_Replica;
  if (Index <= Self.m_Commit)
    return;
  for (Entry &Value :
       Self.m_Log.slice(Self.m_Commit + 1, Index, static_cast<std::size_t>(-1)))
    W.m_Effects.m_Committed.push_back(std::move(Value));
  Self.m_Commit = Index;
}

static void delayElection(Work &W) {
  W.m_Replica.m_ElectionDeadline = W.m_Now + electionDelay(W.m_Replica);
}

static void becomeFollower(Work &W, std::uint64_t Term,
                           const core::VmId &Leader) {
  Replica &Self = W.m_Replica;
  if (Term > Self.m_Hard.m_Term) {
    Self.m_Hard.m_Term = Term;
    Self.m_Hard.m_VotedFor = {};
    saveHardState(W);
  }
  if (Self.m_Role != Role::Uninitialized)
    Self.m_Role = Role::Follower;
  Self.m_Leader = Leader;
  Self.m_Votes.clear();
  Self.m_PreVoting = false;
  Self.m_Progress.clear();
  delayElection(W);
}

// ---- Leading ---------------------------------------------------------------

// True while a snapshot is on its way to a replica that needs one.
static bool awaitsSnapshot(const Work &W, const Progress &Known) {
  return !W.m_Replica.m_Log.termAt(Known.m_Next - 1) &&
         Known.m_SnapshotSentAt != core::Time() &&
         W.m_Now - Known.m_SnapshotSentAt < SnapshotResend;
}

static void sendAppend(Work &W, const core::VmId &To) {
  Replica &Self = W.m_Replica;
  Progress &Known = Self.m_Progress[To];
  std::uint64_t Previous = Known.m_Next - 1;
  auto PreviousTerm = Self.m_Log.termAt(Previous);
  if (!PreviousTerm) {
    if (!awaitsSnapshot(W, Known)) {
      Known.m_SnapshotSentAt = W.m_Now;
      W.m_Effects.m_SnapshotRecipients.push_back(To);
    }
    // A heartbeat at the snapshot point keeps the lease while it travels.
    Previous = Self.m_Log.snapshot().m_Index;
    PreviousTerm = Self.m_Log.snapshot().m_Term;
    send(W, To,
         Append{.m_Term = Self.m_Hard.m_Term,
                .m_PreviousIndex = Previous,
                .m_PreviousTerm = *PreviousTerm,
                .m_Commit = 0,
                .m_SentAt = W.m_Now},
         true);
    return;
  }
  Append Value{.m_Term = Self.m_Hard.m_Term,
               .m_PreviousIndex = Previous,
               .m_PreviousTerm = *PreviousTerm,
               .m_Commit = Self.m_Commit,
               .m_SentAt = W.m_Now,
               .m_Entries =
                   Self.m_Log.slice(Known.m_Next, Self.m_Log.lastIndex(),
                                    Self.m_Options.m_MaxAppendBytes)};
  // Sent ahead without waiting; a refusal sets m_Next back.
  Known.m_Next += Value.m_Entries.size();
  send(W, To, std::move(Value), true);
}

static void sendAppends(Work &W) {
  W.m_Replica.m_LastHeartbeat = W.m_Now;
  const Members All = members(W.m_Replica);
  for (const auto &[Vm, Value] : All.all())
    if (Vm != W.m_Replica.m_Self)
      sendAppend(W, Vm);
}

static void advanceCommit(Work &W) {
  Replica &Self = W.m_Replica;
  const Members &All = members(Self);
  for (std::uint64_t Index = Self.m_Log.lastIndex(); Index > Self.m_Commit;
       --Index) {
    // Entries of earlier terms commit together with one of this term.
    if (Self.m_Log.termAt(Index) != Self.m_Hard.m_Term)
      return;
    std::set<core::VmId> Have;
    if (Self.m_Synced >= Index)
      Have.insert(Self.m_Self);
    for (const auto &[Vm, Known] : Self.m_Progress)
      if (Known.m_Match >= Index)
        Have.insert(Vm);
    if (isDurable(Self.m_Options.m_Rule, All, Have)) {
      commitTo(W, Index);
      return;
    }
  }
}

static void proposeEntry(Work &W, std::string Commands,
                         std::optional<Members> Change) {
  appendEntry(W, Entry{.m_Index = W.m_Replica.m_Log.lastIndex() + 1,
                       .m_Term = W.m_Replica.m_Hard.m_Term,
                       .m_Commands = std::move(Commands),
                       .m_Members = std::move(Change)});
}

// One change of replicas at a time, and only once this term is established.
static bool mayChangeMembers(const Replica &Self) {
  return Self.m_Role == Role::Leader && Self.m_Commit >= Self.m_TermStart &&
         Self.m_Log.membersIndex() <= Self.m_Commit;
}

static bool changeMembers(Work &W, Members Next) {
  Replica &Self = W.m_Replica;
  std::set<core::VmId> Recent = recentVoters(Self, W.m_Now);
  if (!mayChangeMembers(Self) ||
      !hasQuorum(Self.m_Options.m_Rule, Next, Recent))
    return false;
  proposeEntry(W, {}, std::move(Next));
  sendAppends(W);
  return true;
}

// Makes the first learner that has caught up a voter.
static void promoteLearner(Work &W) {
  Replica &Self = W.m_Replica;
  if (!mayChangeMembers(Self))
    return;
  Members All = members(Self);
  for (const auto &[Vm, Value] : All.all()) {
    auto Known = Self.m_Progress.find(Vm);
    if (Value.m_Voter || Known == Self.m_Progress.end() ||
        Known->second.m_Match + PromotionLag < Self.m_Commit ||
        Known->second.m_Match == 0)
      continue;
    Member Promoted = Value;
    Promoted.m_Voter = true;
    if (changeMembers(W, All.with(Vm, Promoted)))
      return;
  }
}

// The last time at which a replica is known to have answered this leader.
static core::Time lastAnswer(const Replica &Self, const core::VmId &Vm) {
  auto Known = Self.m_Progress.find(Vm);
  bool Answered = Known != Self.m_Progress.end() && Known->second.m_Answered;
  return Answered
             ? std::max(Self.m_LeadingSince, Known->second.m_AnsweredSentAt)
             : Self.m_LeadingSince;
}

// Takes a voter out whose place another has taken. One that merely sleeps
// keeps its place while the set has no more voters than it should.
static void retireLostVoter(Work &W) {
  Replica &Self = W.m_Replica;
  Members All = members(Self);
  std::set<core::VmId> Voters = All.voters();
  if (!Self.m_Join.m_AllowAnyVm || !mayChangeMembers(Self) ||
      Voters.size() <= Self.m_Join.m_Voters)
    return;
  for (const core::VmId &Vm : Voters) {
    bool Lost = Vm != Self.m_Self &&
                W.m_Now - lastAnswer(Self, Vm) >= Self.m_Join.m_RetireAfter;
    if (Lost && changeMembers(W, All.without(Vm)))
      return;
  }
}

static void becomeLeader(Work &W) {
  Replica &Self = W.m_Replica;
  Self.m_Role = Role::Leader;
  Self.m_Leader = Self.m_Self;
  Self.m_Votes.clear();
  Self.m_LeadingSince = W.m_Now;
  Self.m_TermStart = Self.m_Log.lastIndex() + 1;
  Self.m_Progress.clear();
  for (const auto &[Vm, Value] : members(Self).all())
    if (Vm != Self.m_Self)
      Self.m_Progress[Vm].m_Next = Self.m_TermStart;
  proposeEntry(W, {}, std::nullopt);
  sendAppends(W);
}

// ---- Elections -------------------------------------------------------------

static void askForVotes(Work &W, bool Transfer) {
  Replica &Self = W.m_Replica;
  VoteRequest Request{.m_Term = Self.m_Hard.m_Term + (Self.m_PreVoting ? 1 : 0),
                      .m_PreVote = Self.m_PreVoting,
                      .m_Transfer = Transfer,
                      .m_LastIndex = Self.m_Log.lastIndex(),
                      .m_LastTerm = Self.m_Log.lastTerm()};
  for (const core::VmId &Vm : members(Self).voters())
    if (Vm != Self.m_Self)
      send(W, Vm, Request);
}

static void standForElection(Work &W, bool Transfer) {
  Replica &Self = W.m_Replica;
  ++Self.m_Hard.m_Term;
  Self.m_Hard.m_VotedFor = Self.m_Self;
  saveHardState(W);
  Self.m_Role = Role::Candidate;
  Self.m_PreVoting = false;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Self};
  delayElection(W);
  askForVotes(W, Transfer);
  if (canElect(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    becomeLeader(W);
}

static void startPreVote(Work &W) {
  Replica &Self = W.m_Replica;
  Self.m_Role = Role::Candidate;
  Self.m_PreVoting = true;
  Self.m_PreVotingSince = W.m_Now;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Self};
  delayElection(W);
  if (canElect(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    standForElection(W, false);
  else
    askForVotes(W, false);
}

// Of two candidates that ask each other at once and have the same log, the one
// with the lower id goes first. Otherwise each would vote for itself, and the
// term would end without a leader.
static bool goesFirst(const Replica &Self, const core::VmId &From,
                      const VoteRequest &Asked, core::Time Now) {
  bool Asking =
      Self.m_Role == Role::Candidate && Self.m_PreVoting &&
      Now - Self.m_PreVotingSince < Self.m_Options.m_ElectionTimeout / 2;
  return Asking && Asked.m_LastIndex == Self.m_Log.lastIndex() &&
         Asked.m_LastTerm == Self.m_Log.lastTerm() && Self.m_Self < From;
}

static void handle(Work &W, const core::VmId &From, const VoteRequest &Asked) {
  Replica &Self = W.m_Replica;
  auto Reply = [&](bool Granted) {
    send(W, From,
         VoteReply{.m_Term = Granted ? Asked.m_Term : Self.m_Hard.m_Term,
                   .m_PreVote = Asked.m_PreVote,
                   .m_Granted = Granted,
                   .m_Incarnation = Self.m_Hard.m_Incarnation});
  };
  // Whoever heard a leader within the timeout keeps its promise to it.
  bool Bound =
      !Asked.m_Transfer &&
      (Self.m_Role == Role::Leader
           ? isQuorumRecent(Self, W.m_Now)
           : W.m_Now - Self.m_HeardLeaderAt < Self.m_Options.m_ElectionTimeout);
  if (Self.m_Role == Role::Uninitialized || Bound ||
      Asked.m_Term < Self.m_Hard.m_Term)
    return Reply(false);
  bool UpToDate = Asked.m_LastTerm > Self.m_Log.lastTerm() ||
                  (Asked.m_LastTerm == Self.m_Log.lastTerm() &&
                   Asked.m_LastIndex >= Self.m_Log.lastIndex());
  if (Asked.m_PreVote)
    return Reply(UpToDate && Asked.m_Term > Self.m_Hard.m_Term &&
                 !goesFirst(Self, From, Asked, W.m_Now));
  if (Asked.m_Term > Self.m_Hard.m_Term)
    becomeFollower(W, Asked.m_Term, {});
  bool Free = Self.m_Hard.m_VotedFor.empty() || Self.m_Hard.m_VotedFor == From;
  if (!UpToDate || !Free)
    return Reply(false);
  Self.m_Hard.m_VotedFor = From;
  saveHardState(W);
  delayElection(W);
  Reply(true);
}

static void handle(Work &W, const core::VmId &From, const VoteReply &Reply) {
  Replica &Self = W.m_Replica;
  if (Reply.m_Term > Self.m_Hard.m_Term && !Reply.m_Granted) {
    becomeFollower(W, Reply.m_Term, {});
    return;
  }
  const Member *Voter = members(Self).find(From);
  bool Counts = Self.m_Role == Role::Candidate && Reply.m_Granted &&
                Reply.m_PreVote == Self.m_PreVoting && Voter &&
                Voter->m_Incarnation == Reply.m_Incarnation &&
                Reply.m_Term == Self.m_Hard.m_Term + (Self.m_PreVoting ? 1 : 0);
  if (!Counts)
    return;
  Self.m_Votes.insert(From);
  if (!canElect(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    return;
  if (Self.m_PreVoting)
    standForElection(W, false);
  else
    becomeLeader(W);
}

// ---- Following -------------------------------------------------------------

static void replyToAppend(Work &W, const core::VmId &To, bool Accepted,
                          std::uint64_t Match, core::Time SentAt) {
  send(W, To,
       AppendReply{.m_Term = W.m_Replica.m_Hard.m_Term,
                   .m_Accepted = Accepted,
                   .m_Match = Match,
                   .m_Incarnation = W.m_Replica.m_Hard.m_Incarnation,
                   .m_SentAt = SentAt});
}

static void hearLeader(Work &W, const core::VmId &From, std::uint64_t Term) {
  becomeFollower(W, Term, From);
  W.m_Replica.m_HeardLeaderAt = W.m_Now;
}

// Leaves the blank state once a set of replicas names this data folder.
static void joinIfNamed(Work &W) {
  Replica &Self = W.m_Replica;
  const Member *Me = members(Self).find(Self.m_Self);
  if (Self.m_Role != Role::Uninitialized || !Me ||
      Me->m_Incarnation != Self.m_Hard.m_Incarnation)
    return;
  Self.m_Role = Role::Follower;
  Self.m_Hard.m_Joined = true;
  Self.m_Hellos.clear();
  saveHardState(W);
}

static void handle(Work &W, const core::VmId &From, const Append &Value) {
  Replica &Self = W.m_Replica;
  if (Value.m_Term < Self.m_Hard.m_Term)
    return replyToAppend(W, From, false, Self.m_Commit, Value.m_SentAt);
  hearLeader(W, From, Value.m_Term);

  std::uint64_t Start = Self.m_Log.snapshot().m_Index;
  auto PreviousTerm = Self.m_Log.termAt(Value.m_PreviousIndex);
  bool Follows =
      Value.m_PreviousIndex < Start || PreviousTerm == Value.m_PreviousTerm;
  if (!Follows)
    return replyToAppend(W, From, false, Self.m_Commit, Value.m_SentAt);

  for (const Entry &New : Value.m_Entries) {
    if (New.m_Index <= Start || Self.m_Log.termAt(New.m_Index) == New.m_Term)
      continue;
    if (New.m_Index <= Self.m_Log.lastIndex())
      truncateFrom(W, New.m_Index);
    appendEntry(W, New);
  }
  joinIfNamed(W);
  std::uint64_t Last = Value.m_PreviousIndex + Value.m_Entries.size();
  commitTo(W, std::min(Value.m_Commit, Last));
  replyToAppend(W, From, true, Last, Value.m_SentAt);
}

static void handle(Work &W, const core::VmId &From,
                   const InstallSnapshot &Value) {
  Replica &Self = W.m_Replica;
  if (Value.m_Term < Self.m_Hard.m_Term)
    return replyToAppend(W, From, false, Self.m_Commit, Value.m_SentAt);
  hearLeader(W, From, Value.m_Term);
  if (Value.m_Point.m_Index > Self.m_Commit) {
    Self.m_Log = Log(Value.m_Point, {});
    Self.m_Commit = Value.m_Point.m_Index;
    Self.m_Synced = Value.m_Point.m_Index;
    W.m_Effects.m_Install = Value;
    W.m_Effects.m_Append.clear();
    W.m_Effects.m_Committed.clear();
    joinIfNamed(W);
  }
  replyToAppend(W, From, true, std::min(Self.m_Commit, Value.m_Point.m_Index),
                Value.m_SentAt);
}

static void handle(Work &W, const core::VmId &From, const AppendReply &Reply) {
  Replica &Self = W.m_Replica;
  if (Reply.m_Term > Self.m_Hard.m_Term) {
    becomeFollower(W, Reply.m_Term, {});
    return;
  }
  const Member *Peer = members(Self).find(From);
  if (Self.m_Role != Role::Leader || Reply.m_Term < Self.m_Hard.m_Term ||
      !Peer || Peer->m_Incarnation != Reply.m_Incarnation)
    return;
  Progress &Known = Self.m_Progress[From];
  Known.m_Answered = true;
  Known.m_AnsweredSentAt = std::max(Known.m_AnsweredSentAt, Reply.m_SentAt);
  if (!Reply.m_Accepted) {
    // The follower's committed prefix is always the leader's as well.
    Known.m_Next = std::max(Known.m_Match, Reply.m_Match) + 1;
    if (!awaitsSnapshot(W, Known))
      sendAppend(W, From);
    return;
  }
  Known.m_Match = std::max(Known.m_Match, Reply.m_Match);
  Known.m_Next = std::max(Known.m_Next, Known.m_Match + 1);
  advanceCommit(W);
  if (Known.m_Next <= Self.m_Log.lastIndex())
    sendAppend(W, From);
}

static void handle(Work &W, const core::VmId &From,
                   const TransferLeadership &Asked) {
  Replica &Self = W.m_Replica;
  if (Self.m_Role == Role::Follower && Asked.m_Term == Self.m_Hard.m_Term &&
      Self.m_Leader == From && members(Self).isVoter(Self.m_Self))
    standForElection(W, true);
}

// ---- Joining ---------------------------------------------------------------

// Every configured replica is blank and known: they are the first set.
static void foundIfAllBlank(Work &W) {
  Replica &Self = W.m_Replica;
  if (!Self.m_Join.m_MayBootstrap || !Self.m_KnownPeers.contains(Self.m_Self))
    return;
  std::map<core::VmId, Member> First;
  First[Self.m_Self] = {.m_Incarnation = Self.m_Hard.m_Incarnation,
                        .m_Region = Self.m_Region,
                        .m_FailureDomain = Self.m_FailureDomain,
                        .m_Voter = true};
  for (const core::VmId &Vm : Self.m_KnownPeers) {
    if (Vm == Self.m_Self)
      continue;
    auto Heard = Self.m_Hellos.find(Vm);
    if (Heard == Self.m_Hellos.end() || !Heard->second.m_Uninitialized)
      return;
    First[Vm] = {.m_Incarnation = Heard->second.m_Incarnation,
                 .m_Region = Heard->second.m_Region,
                 .m_FailureDomain = Heard->second.m_FailureDomain,
                 .m_Voter = true};
  }
  SnapshotPoint Point{.m_Members = Members(std::move(First))};
  W.m_Effects.m_Install = InstallSnapshot{.m_Point = Point};
  Self.m_Log = Log(std::move(Point), {});
  joinIfNamed(W);
  delayElection(W);
}

static void handle(Work &W, const core::VmId &From, const JoinRequest &Value) {
  Replica &Self = W.m_Replica;
  bool Blank = Self.m_Role == Role::Uninitialized;
  send(W, From,
       JoinReply{.m_Uninitialized = Blank,
                 .m_Incarnation = Self.m_Hard.m_Incarnation,
                 .m_Region = Self.m_Region,
                 .m_FailureDomain = Self.m_FailureDomain,
                 .m_Members = members(Self)});
  bool MayJoin = Self.m_Join.m_AllowAnyVm || Self.m_KnownPeers.contains(From);
  if (Self.m_Role != Role::Leader || !MayJoin)
    return;
  const Members &All = members(Self);
  const Member *Known = All.find(From);
  if (Known && Known->m_Incarnation == Value.m_Incarnation)
    return;
  // A replica with a new data folder has lost what it promised: it learns
  // first and votes again only once it has caught up.
  Member Learner{.m_Incarnation = Value.m_Incarnation,
                 .m_Region = Value.m_Region,
                 .m_FailureDomain = Value.m_FailureDomain,
                 .m_Voter = false};
  if (mayChangeMembers(Self)) {
    Self.m_Progress[From] = Progress{};
    (void)changeMembers(W, All.with(From, Learner));
  }
}

static void handle(Work &W, const core::VmId &From, const JoinReply &Reply) {
  Replica &Self = W.m_Replica;
  if (Self.m_Role != Role::Uninitialized)
    return;
  const Member *Me = Reply.m_Members.find(Self.m_Self);
  bool Named = Me && Me->m_Incarnation == Self.m_Hard.m_Incarnation;
  if (!Reply.m_Uninitialized && Named && Self.m_Log.lastIndex() == 0 &&
      Self.m_Log.snapshot().m_Members == Members()) {
    // The others founded the set with this folder in it before it heard.
    SnapshotPoint Point{.m_Members = Reply.m_Members};
    W.m_Effects.m_Install = InstallSnapshot{.m_Point = Point};
    Self.m_Log = Log(std::move(Point), {});
    joinIfNamed(W);
    delayElection(W);
    return;
  }
  Self.m_Hellos[From] = Reply;
  foundIfAllBlank(W);
}

// ---- Inputs ----------------------------------------------------------------

static void sayHello(Work &W) {
  Replica &Self = W.m_Replica;
  for (const core::VmId &Vm : Self.m_KnownPeers)
    if (Vm != Self.m_Self)
      send(W, Vm,
           JoinRequest{.m_Incarnation = Self.m_Hard.m_Incarnation,
                       .m_Region = Self.m_Region,
                       .m_FailureDomain = Self.m_FailureDomain});
}

static void tickBlank(Work &W) {
  Replica &Self = W.m_Replica;
  if (Self.m_KnownPeers.size() <= 1)
    foundIfAllBlank(W);
  if (W.m_Now - Self.m_LastHeartbeat < Self.m_Options.m_Heartbeat)
    return;
  Self.m_LastHeartbeat = W.m_Now;
  sayHello(W);
}

static void tickLeader(Work &W) {
  Replica &Self = W.m_Replica;
  bool Settled =
      W.m_Now - Self.m_LeadingSince >= Self.m_Options.m_ElectionTimeout;
  if (Settled && !isQuorumRecent(Self, W.m_Now)) {
    becomeFollower(W, Self.m_Hard.m_Term, {});
    return;
  }
  if (W.m_Now - Self.m_LastHeartbeat >= Self.m_Options.m_Heartbeat)
    sendAppends(W);
  // Proposals count as heartbeats, so these must not wait for one.
  promoteLearner(W);
  retireLostVoter(W);
}

static void handle(Work &W, const Tick &) {
  Replica &Self = W.m_Replica;
  if (Self.m_Role == Role::Uninitialized)
    return tickBlank(W);
  if (Self.m_Role == Role::Leader)
    return tickLeader(W);
  if (W.m_Now < Self.m_ElectionDeadline)
    return;
  // A leader that does not know this replica may have retired it while it
  // slept; presenting itself brings it back.
  if (Self.m_Join.m_AllowAnyVm)
    sayHello(W);
  if (members(Self).isVoter(Self.m_Self))
    startPreVote(W);
  else
    delayElection(W);
}

static void handle(Work &W, const Received &Value) {
  std::visit([&](const auto &Typed) { handle(W, Value.m_From, Typed); },
             Value.m_Message);
}

static void handle(Work &W, const Propose &Value) {
  if (W.m_Replica.m_Role != Role::Leader)
    return;
  proposeEntry(W, Value.m_Commands, std::nullopt);
  sendAppends(W);
}

static void handle(Work &W, const Synced &Value) {
  Replica &Self = W.m_Replica;
  Self.m_Synced =
      std::max(Self.m_Synced, std::min(Value.m_Index, Self.m_Log.lastIndex()));
  if (Self.m_Role == Role::Leader)
    advanceCommit(W);
}

static void handle(Work &W, const SnapshotTaken &Value) {
  Replica &Self = W.m_Replica;
  Self.m_Log =
      std::move(Self.m_Log).compactedTo(std::min(Value.m_Index, Self.m_Commit));
}

static void handle(Work &W, const Campaign &Value) {
  Replica &Self = W.m_Replica;
  if (Self.m_Role != Role::Uninitialized && Self.m_Role != Role::Leader &&
      members(Self).isVoter(Self.m_Self))
    standForElection(W, Value.m_Transfer);
}

static void handle(Work &W, const PeersDiscovered &Value) {
  W.m_Replica.m_KnownPeers.insert(Value.m_Vms.begin(), Value.m_Vms.end());
}

static void handle(Work &W, const StartLeadershipTransfer &) {
  Replica &Self = W.m_Replica;
  if (Self.m_Role != Role::Leader)
    return;
  const core::VmId *Best = nullptr;
  std::uint64_t BestMatch = 0;
  for (const auto &[Vm, Known] : Self.m_Progress) {
    bool Fit = members(Self).isVoter(Vm) && Known.m_Match > BestMatch &&
               recentVoters(Self, W.m_Now).contains(Vm);
    if (Fit) {
      Best = &Vm;
      BestMatch = Known.m_Match;
    }
  }
  if (Best)
    send(W, *Best, TransferLeadership{.m_Term = Self.m_Hard.m_Term});
}

// ---- Public functions ------------------------------------------------------

Replica start(const Identity &Self, const ReplicaOptions &Options,
              RecoveredState Disk, core::Time Now) {
  Replica Started{
      .m_Self = Self.m_Self,
      .m_Region = Self.m_Region,
      .m_FailureDomain = Self.m_FailureDomain,
      .m_KnownPeers = Self.m_KnownPeers,
      .m_Join = Self.m_Join,
      .m_Options = Options,
      .m_Hard = std::move(Disk.m_Hard),
      .m_Role = Role::Uninitialized,
      .m_Log = Log(std::move(Disk.m_Snapshot), std::move(Disk.m_Entries)),
      .m_HeardLeaderAt = Now};
  if (Started.m_Hard.m_Joined)
    Started.m_Role = Role::Follower;
  Started.m_Commit = Started.m_Log.snapshot().m_Index;
  Started.m_Synced = Started.m_Log.lastIndex();
  Started.m_ElectionDeadline = Now + electionDelay(Started);
  // A lone replica has promised nothing to anyone.
  if (Started.m_KnownPeers.size() <= 1)
    Started.m_ElectionDeadline = Now;
  return Started;
}

Step step(Replica Current, const Input &Value, core::Time Now) {
  Work W{.m_Replica = std::move(Current), .m_Effects = {}, .m_Now = Now};
  std::visit([&](const auto &Typed) { handle(W, Typed); }, Value);
  return {.m_Replica = std::move(W.m_Replica),
          .m_Effects = std::move(W.m_Effects)};
}

const char *toString(Role Value) noexcept {
  switch (Value) {
  case Role::Uninitialized:
    return "blank";
  case Role::Follower:
    return "follower";
  case Role::Candidate:
    return "candidate";
  case Role::Leader:
    return "leader";
  }
  return "blank";
}

} // namespace fireflydrift::replica
