#include "replica/replica.h"

#include <algorithm>
#include <random>

namespace fireflydrift::replica {

// Maximum number of committed entries that a learner may lack when it is
// promoted to voter.
static constexpr std::uint64_t MaxPromotionLagEntries = 16;
// Minimum time between two snapshots sent to the same replica.
static constexpr core::Duration SnapshotResendInterval{3000};

namespace impl {

// Working state of one step.
struct StepContext {
  Replica m_Replica;
  Effects m_Effects;
  core::Time m_Now;
};

} // namespace impl

using impl::StepContext;

// ---- Queries ---------------------------------------------------------------

static const Members &members(const Replica &Value) {
  return Value.m_Log.membersAt(Value.m_Log.lastIndex());
}

core::Duration leaseLength(const ReplicaOptions &Options) {
  return Options.m_ElectionTimeout * (100 - Options.m_ClockDriftPercent) / 100;
}

// Returns this replica and those that have answered a message that was sent
// less than a lease length ago.
static std::set<core::VmId> activeReplicas(const Replica &Value,
                                           core::Time Now) {
  std::set<core::VmId> Active{Value.m_Self};
  for (const auto &[Vm, Known] : Value.m_Progress)
    if (Known.m_Answered &&
        Now - Known.m_AnsweredSentAt < leaseLength(Value.m_Options))
      Active.insert(Vm);
  return Active;
}

// Returns true if the voters of All that are not active cannot elect another
// leader. The active ones may be fewer than a majority, such as one of two
// voters.
static bool preventsElection(const Replica &Value, const Members &All,
                             const std::set<core::VmId> &Active) {
  std::set<core::VmId> Others = All.voters();
  for (const core::VmId &Vm : Active)
    Others.erase(Vm);
  return !isElectionQuorum(Value.m_Options.m_Rule, All, Others);
}

// Returns true if no other leader can be elected. A change of the replica set
// that is not committed may be unknown to the others, which then elect by the
// set before it. That one is known once an entry of this term is committed.
static bool hasBlockingSet(const Replica &Value, core::Time Now) {
  std::set<core::VmId> Active = activeReplicas(Value, Now);
  if (!preventsElection(Value, members(Value), Active))
    return false;
  return Value.m_Commit < Value.m_TermStart ||
         preventsElection(Value, Value.m_Log.membersAt(Value.m_Commit), Active);
}

bool holdsLease(const Replica &Value, core::Time Now) {
  return Value.m_Role == Role::Leader && !Value.m_TransferredAt &&
         Value.m_Commit >= Value.m_TermStart && hasBlockingSet(Value, Now);
}

// Returns true if a voter may be removed without a replacement: any VM may
// join, and the set has more voters than it is meant to keep.
static bool hasSurplusVoter(const Replica &Value) {
  return Value.m_Join.m_AllowAnyVm &&
         members(Value).voters().size() > Value.m_Join.m_Voters;
}

bool awaitsRemoval(const Replica &Value) {
  return Value.m_Draining.contains(Value.m_Self) &&
         members(Value).isVoter(Value.m_Self) && hasSurplusVoter(Value);
}

static core::Duration electionDelay(const Replica &Value) {
  // Derived from the seed and the term, so that a step is deterministic.
  std::seed_seq Seed{static_cast<std::uint32_t>(Value.m_Options.m_Seed),
                     static_cast<std::uint32_t>(Value.m_Options.m_Seed >> 32U),
                     static_cast<std::uint32_t>(Value.m_Hard.m_Term)};
  std::minstd_rand Random(Seed);
  core::Duration Base = Value.m_Options.m_ElectionTimeout;
  if (Base <= core::Duration::zero())
    return Base;
  std::uniform_int_distribution<core::Duration::rep> ExtraDelay(0,
                                                                Base.count());
  return Base + core::Duration(ExtraDelay(Random));
}

// ---- State changes ---------------------------------------------------------

static void send(StepContext &Context, const core::VmId &To, Message Value,
                 bool BeforeSync = false) {
  Context.m_Effects.m_Messages.push_back(
      {.m_To = To, .m_Message = std::move(Value), .m_BeforeSync = BeforeSync});
}

static void saveHardState(StepContext &Context) {
  Context.m_Effects.m_HardState = Context.m_Replica.m_Hard;
}

static void appendEntry(StepContext &Context, Entry Value) {
  Context.m_Effects.m_Append.push_back(Value);
  Context.m_Replica.m_Log =
      std::move(Context.m_Replica.m_Log).appended(std::move(Value));
}

static void truncateFrom(StepContext &Context, std::uint64_t Index) {
  auto &Pending = Context.m_Effects.m_Append;
  std::erase_if(Pending,
                [&](const Entry &Value) { return Value.m_Index >= Index; });
  Context.m_Effects.m_TruncateFrom =
      std::min(Index, Context.m_Effects.m_TruncateFrom.value_or(Index));
  Context.m_Replica.m_Log =
      std::move(Context.m_Replica.m_Log).truncatedFrom(Index);
  Context.m_Replica.m_Synced = std::min(Context.m_Replica.m_Synced, Index - 1);
}

static void commitTo(StepContext &Context, std::uint64_t Index) {
  Replica &Self = Context.m_Replica;
  if (Index <= Self.m_Commit)
    return;
  for (Entry &Value :
       Self.m_Log.slice(Self.m_Commit + 1, Index, static_cast<std::size_t>(-1)))
    Context.m_Effects.m_Committed.push_back(std::move(Value));
  Self.m_Commit = Index;
}

static void delayElection(StepContext &Context) {
  Context.m_Replica.m_ElectionDeadline =
      Context.m_Now + electionDelay(Context.m_Replica);
}

static void becomeFollower(StepContext &Context, std::uint64_t Term,
                           const core::VmId &Leader) {
  Replica &Self = Context.m_Replica;
  if (Term > Self.m_Hard.m_Term) {
    Self.m_Hard.m_Term = Term;
    Self.m_Hard.m_VotedFor = {};
    saveHardState(Context);
  }
  if (Self.m_Role != Role::Uninitialized)
    Self.m_Role = Role::Follower;
  Self.m_Leader = Leader;
  Self.m_Votes.clear();
  Self.m_PreVoting = false;
  Self.m_Progress.clear();
  Self.m_TransferredAt.reset();
  delayElection(Context);
}

// ---- Leader ----------------------------------------------------------------

// Returns true if the replica needs a snapshot and one was sent to it less than
// SnapshotResendInterval ago.
static bool isSnapshotInFlight(const StepContext &Context,
                               const Progress &Known) {
  return !Context.m_Replica.m_Log.termAt(Known.m_Next - 1) &&
         Known.m_SnapshotSentAt != core::Time() &&
         Context.m_Now - Known.m_SnapshotSentAt < SnapshotResendInterval;
}

static void sendAppend(StepContext &Context, const core::VmId &To) {
  Replica &Self = Context.m_Replica;
  Progress &Known = Self.m_Progress[To];
  std::uint64_t Previous = Known.m_Next - 1;
  auto PreviousTerm = Self.m_Log.termAt(Previous);
  if (!PreviousTerm) {
    if (!isSnapshotInFlight(Context, Known)) {
      Known.m_SnapshotSentAt = Context.m_Now;
      Context.m_Effects.m_SnapshotRecipients.push_back(To);
    }
    // A heartbeat at the snapshot point renews the lease during the transfer.
    Previous = Self.m_Log.snapshot().m_Index;
    PreviousTerm = Self.m_Log.snapshot().m_Term;
    send(Context, To,
         Append{.m_Term = Self.m_Hard.m_Term,
                .m_PreviousIndex = Previous,
                .m_PreviousTerm = *PreviousTerm,
                .m_Commit = 0,
                .m_SentAt = Context.m_Now},
         true);
    return;
  }
  Append Value{.m_Term = Self.m_Hard.m_Term,
               .m_PreviousIndex = Previous,
               .m_PreviousTerm = *PreviousTerm,
               .m_Commit = Self.m_Commit,
               .m_SentAt = Context.m_Now,
               .m_Entries =
                   Self.m_Log.slice(Known.m_Next, Self.m_Log.lastIndex(),
                                    Self.m_Options.m_MaxAppendBytes)};
  // Pipelined: the next append does not wait for a reply; a rejection resets
  // m_Next.
  Known.m_Next += Value.m_Entries.size();
  send(Context, To, std::move(Value), true);
}

static void sendAppends(StepContext &Context) {
  Context.m_Replica.m_LastHeartbeat = Context.m_Now;
  const Members All = members(Context.m_Replica);
  for (const auto &[Vm, Value] : All.all())
    if (Vm != Context.m_Replica.m_Self)
      sendAppend(Context, Vm);
}

static void advanceCommit(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  const Members &All = members(Self);
  for (std::uint64_t Index = Self.m_Log.lastIndex(); Index > Self.m_Commit;
       --Index) {
    // Entries of earlier terms are committed only together with one of this
    // term.
    if (Self.m_Log.termAt(Index) != Self.m_Hard.m_Term)
      return;
    std::set<core::VmId> SyncedOn;
    if (Self.m_Synced >= Index)
      SyncedOn.insert(Self.m_Self);
    for (const auto &[Vm, Known] : Self.m_Progress)
      if (Known.m_Match >= Index)
        SyncedOn.insert(Vm);
    if (isDurable(Self.m_Options.m_Rule, All, SyncedOn)) {
      commitTo(Context, Index);
      return;
    }
  }
}

static void proposeEntry(StepContext &Context, std::string Commands,
                         std::optional<Members> Change) {
  appendEntry(Context, Entry{.m_Index = Context.m_Replica.m_Log.lastIndex() + 1,
                             .m_Term = Context.m_Replica.m_Hard.m_Term,
                             .m_Commands = std::move(Commands),
                             .m_Members = std::move(Change)});
}

// Allows one membership change at a time, and only after an entry of this term
// is committed.
static bool mayChangeMembers(const Replica &Self) {
  return Self.m_Role == Role::Leader && Self.m_Commit >= Self.m_TermStart &&
         Self.m_Log.membersIndex() <= Self.m_Commit;
}

// Proposes Next as the replica set. Returns false without a proposal if no
// change is allowed now or the active replicas are not a quorum of Next.
static bool changeMembers(StepContext &Context, Members Next) {
  Replica &Self = Context.m_Replica;
  std::set<core::VmId> Active = activeReplicas(Self, Context.m_Now);
  if (!mayChangeMembers(Self) ||
      !hasQuorum(Self.m_Options.m_Rule, Next, Active))
    return false;
  proposeEntry(Context, {}, std::move(Next));
  sendAppends(Context);
  return true;
}

// Promotes the first learner that has caught up to voter.
static void promoteLearner(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  if (!mayChangeMembers(Self))
    return;
  Members All = members(Self);
  for (const auto &[Vm, Value] : All.all()) {
    auto Known = Self.m_Progress.find(Vm);
    if (Value.m_Voter || Self.m_Draining.contains(Vm) ||
        Known == Self.m_Progress.end() ||
        Known->second.m_Match + MaxPromotionLagEntries < Self.m_Commit ||
        Known->second.m_Match == 0)
      continue;
    Member Promoted = Value;
    Promoted.m_Voter = true;
    if (changeMembers(Context, All.with(Vm, Promoted)))
      return;
  }
}

// Returns the send time of the newest message that the replica answered, or the
// start of this leadership if that is later.
static core::Time lastAnswer(const Replica &Self, const core::VmId &Vm) {
  auto Known = Self.m_Progress.find(Vm);
  bool Answered = Known != Self.m_Progress.end() && Known->second.m_Answered;
  return Answered ? std::max(Self.m_LeaderSince, Known->second.m_AnsweredSentAt)
                  : Self.m_LeaderSince;
}

// Returns the voter to remove while the set has more than it is meant to keep:
// one that does not respond, otherwise one that is about to stop.
static std::optional<core::VmId> replacedVoter(const Replica &Self,
                                               core::Time Now) {
  std::optional<core::VmId> Stopping;
  for (const core::VmId &Vm : members(Self).voters()) {
    if (Vm == Self.m_Self)
      continue;
    if (Now - lastAnswer(Self, Vm) >= Self.m_Join.m_RemoveVoterAfter)
      return Vm;
    if (Self.m_Draining.contains(Vm))
      Stopping = Vm;
  }
  return Stopping;
}

// Removes a lost or stopping voter that another one has replaced: until it is
// removed, its missing vote counts against the set, and one more loss could
// leave too few votes for good. While the set has no more than m_Voters voters,
// such a voter stays a member, because its VM may return.
static void removeReplacedVoter(StepContext &Context) {
  const Replica &Self = Context.m_Replica;
  if (!hasSurplusVoter(Self) || !mayChangeMembers(Self))
    return;
  if (auto Vm = replacedVoter(Self, Context.m_Now))
    (void)changeMembers(Context, members(Self).without(*Vm));
}

static void becomeLeader(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  Self.m_Role = Role::Leader;
  Self.m_Leader = Self.m_Self;
  Self.m_Votes.clear();
  Self.m_LeaderSince = Context.m_Now;
  Self.m_TermStart = Self.m_Log.lastIndex() + 1;
  Self.m_Progress.clear();
  Self.m_TransferredAt.reset();
  for (const auto &[Vm, Value] : members(Self).all())
    if (Vm != Self.m_Self)
      Self.m_Progress[Vm].m_Next = Self.m_TermStart;
  proposeEntry(Context, {}, std::nullopt);
  sendAppends(Context);
}

// ---- Elections -------------------------------------------------------------

static void requestVotes(StepContext &Context, bool Transfer) {
  Replica &Self = Context.m_Replica;
  VoteRequest Request{.m_Term = Self.m_Hard.m_Term + (Self.m_PreVoting ? 1 : 0),
                      .m_PreVote = Self.m_PreVoting,
                      .m_Transfer = Transfer,
                      .m_LastIndex = Self.m_Log.lastIndex(),
                      .m_LastTerm = Self.m_Log.lastTerm()};
  for (const core::VmId &Vm : members(Self).voters())
    if (Vm != Self.m_Self)
      send(Context, Vm, Request);
}

static void startElection(StepContext &Context, bool Transfer) {
  Replica &Self = Context.m_Replica;
  ++Self.m_Hard.m_Term;
  Self.m_Hard.m_VotedFor = Self.m_Self;
  saveHardState(Context);
  Self.m_Role = Role::Candidate;
  Self.m_PreVoting = false;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Self};
  delayElection(Context);
  requestVotes(Context, Transfer);
  if (isElectionQuorum(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    becomeLeader(Context);
}

static void startPreVote(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  Self.m_Role = Role::Candidate;
  Self.m_PreVoting = true;
  Self.m_PreVoteStartedAt = Context.m_Now;
  Self.m_Leader = {};
  Self.m_Votes = {Self.m_Self};
  delayElection(Context);
  if (isElectionQuorum(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    startElection(Context, false);
  else
    requestVotes(Context, false);
}

// Returns true if this replica refuses From a pre-vote to break the tie between
// two candidates that request pre-votes at about the same time and have the
// same log: the one with the lower id has priority. Otherwise each would vote
// for itself, and the term would end without a leader.
static bool hasPreVotePriority(const Replica &Self, const core::VmId &From,
                               const VoteRequest &Request, core::Time Now) {
  bool RequestedRecently =
      Self.m_Role == Role::Candidate && Self.m_PreVoting &&
      Now - Self.m_PreVoteStartedAt < Self.m_Options.m_ElectionTimeout / 2;
  return RequestedRecently && Request.m_LastIndex == Self.m_Log.lastIndex() &&
         Request.m_LastTerm == Self.m_Log.lastTerm() && Self.m_Self < From;
}

static void handle(StepContext &Context, const core::VmId &From,
                   const VoteRequest &Request) {
  Replica &Self = Context.m_Replica;
  auto Reply = [&](bool Granted) {
    send(Context, From,
         VoteReply{.m_Term = Granted ? Request.m_Term : Self.m_Hard.m_Term,
                   .m_PreVote = Request.m_PreVote,
                   .m_Granted = Granted,
                   .m_Incarnation = Self.m_Hard.m_Incarnation});
  };
  // A replica that received a message from a leader within the election timeout
  // grants no vote, because the leader's lease depends on it. An election that
  // the leader itself requested to transfer its leadership is exempt.
  bool HasRecentLeader =
      !Request.m_Transfer &&
      (Self.m_Role == Role::Leader ? hasBlockingSet(Self, Context.m_Now)
                                   : Context.m_Now - Self.m_LastLeaderContact <
                                         Self.m_Options.m_ElectionTimeout);
  if (Self.m_Role == Role::Uninitialized || HasRecentLeader ||
      Request.m_Term < Self.m_Hard.m_Term)
    return Reply(false);
  bool UpToDate = Request.m_LastTerm > Self.m_Log.lastTerm() ||
                  (Request.m_LastTerm == Self.m_Log.lastTerm() &&
                   Request.m_LastIndex >= Self.m_Log.lastIndex());
  if (Request.m_PreVote)
    return Reply(UpToDate && Request.m_Term > Self.m_Hard.m_Term &&
                 !hasPreVotePriority(Self, From, Request, Context.m_Now));
  if (Request.m_Term > Self.m_Hard.m_Term)
    becomeFollower(Context, Request.m_Term, {});
  bool CanVote =
      Self.m_Hard.m_VotedFor.empty() || Self.m_Hard.m_VotedFor == From;
  if (!UpToDate || !CanVote)
    return Reply(false);
  Self.m_Hard.m_VotedFor = From;
  saveHardState(Context);
  delayElection(Context);
  Reply(true);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const VoteReply &Reply) {
  Replica &Self = Context.m_Replica;
  if (Reply.m_Term > Self.m_Hard.m_Term && !Reply.m_Granted) {
    becomeFollower(Context, Reply.m_Term, {});
    return;
  }
  const Member *Voter = members(Self).find(From);
  bool IsValid =
      Self.m_Role == Role::Candidate && Reply.m_Granted &&
      Reply.m_PreVote == Self.m_PreVoting && Voter &&
      Voter->m_Incarnation == Reply.m_Incarnation &&
      Reply.m_Term == Self.m_Hard.m_Term + (Self.m_PreVoting ? 1 : 0);
  if (!IsValid)
    return;
  Self.m_Votes.insert(From);
  if (!isElectionQuorum(Self.m_Options.m_Rule, members(Self), Self.m_Votes))
    return;
  if (Self.m_PreVoting)
    startElection(Context, false);
  else
    becomeLeader(Context);
}

// ---- Follower --------------------------------------------------------------

static void replyToAppend(StepContext &Context, const core::VmId &To,
                          bool Accepted, std::uint64_t Match,
                          core::Time SentAt) {
  send(Context, To,
       AppendReply{.m_Term = Context.m_Replica.m_Hard.m_Term,
                   .m_Accepted = Accepted,
                   .m_Match = Match,
                   .m_Incarnation = Context.m_Replica.m_Hard.m_Incarnation,
                   .m_SentAt = SentAt});
}

static void followLeader(StepContext &Context, const core::VmId &From,
                         std::uint64_t Term) {
  becomeFollower(Context, Term, From);
  Context.m_Replica.m_LastLeaderContact = Context.m_Now;
}

// Becomes a follower once the replica set contains this data folder's
// incarnation.
static void joinIfMember(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  const Member *SelfMember = members(Self).find(Self.m_Self);
  if (Self.m_Role != Role::Uninitialized || !SelfMember ||
      SelfMember->m_Incarnation != Self.m_Hard.m_Incarnation)
    return;
  Self.m_Role = Role::Follower;
  Self.m_Hard.m_Joined = true;
  Self.m_JoinReplies.clear();
  saveHardState(Context);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const Append &Value) {
  Replica &Self = Context.m_Replica;
  if (Value.m_Term < Self.m_Hard.m_Term)
    return replyToAppend(Context, From, false, Self.m_Commit, Value.m_SentAt);
  followLeader(Context, From, Value.m_Term);

  std::uint64_t SnapshotIndex = Self.m_Log.snapshot().m_Index;
  auto PreviousTerm = Self.m_Log.termAt(Value.m_PreviousIndex);
  bool MatchesLog = Value.m_PreviousIndex < SnapshotIndex ||
                    PreviousTerm == Value.m_PreviousTerm;
  if (!MatchesLog)
    return replyToAppend(Context, From, false, Self.m_Commit, Value.m_SentAt);

  for (const Entry &New : Value.m_Entries) {
    if (New.m_Index <= SnapshotIndex ||
        Self.m_Log.termAt(New.m_Index) == New.m_Term)
      continue;
    if (New.m_Index <= Self.m_Log.lastIndex())
      truncateFrom(Context, New.m_Index);
    appendEntry(Context, New);
  }
  joinIfMember(Context);
  std::uint64_t Last = Value.m_PreviousIndex + Value.m_Entries.size();
  commitTo(Context, std::min(Value.m_Commit, Last));
  replyToAppend(Context, From, true, Last, Value.m_SentAt);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const InstallSnapshot &Value) {
  Replica &Self = Context.m_Replica;
  if (Value.m_Term < Self.m_Hard.m_Term)
    return replyToAppend(Context, From, false, Self.m_Commit, Value.m_SentAt);
  followLeader(Context, From, Value.m_Term);
  if (Value.m_Point.m_Index > Self.m_Commit) {
    Self.m_Log = Log(Value.m_Point, {});
    Self.m_Commit = Value.m_Point.m_Index;
    Self.m_Synced = Value.m_Point.m_Index;
    Context.m_Effects.m_Install = Value;
    Context.m_Effects.m_Append.clear();
    Context.m_Effects.m_Committed.clear();
    joinIfMember(Context);
  }
  replyToAppend(Context, From, true,
                std::min(Self.m_Commit, Value.m_Point.m_Index), Value.m_SentAt);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const AppendReply &Reply) {
  Replica &Self = Context.m_Replica;
  if (Reply.m_Term > Self.m_Hard.m_Term) {
    becomeFollower(Context, Reply.m_Term, {});
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
    // The follower's committed entries are always in the leader's log as well.
    Known.m_Next = std::max(Known.m_Match, Reply.m_Match) + 1;
    if (!isSnapshotInFlight(Context, Known))
      sendAppend(Context, From);
    return;
  }
  Known.m_Match = std::max(Known.m_Match, Reply.m_Match);
  Known.m_Next = std::max(Known.m_Next, Known.m_Match + 1);
  advanceCommit(Context);
  if (Known.m_Next <= Self.m_Log.lastIndex())
    sendAppend(Context, From);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const TransferLeadership &Request) {
  Replica &Self = Context.m_Replica;
  if (Self.m_Role == Role::Follower && Request.m_Term == Self.m_Hard.m_Term &&
      Self.m_Leader == From && members(Self).isVoter(Self.m_Self))
    startElection(Context, true);
}

// ---- Joining ---------------------------------------------------------------

// Bootstraps the replica set once all known peers have replied and are
// uninitialized.
static void bootstrapIfAllUninitialized(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  if (!Self.m_Join.m_MayBootstrap || !Self.m_KnownPeers.contains(Self.m_Self))
    return;
  std::map<core::VmId, Member> InitialMembers;
  InitialMembers[Self.m_Self] = {.m_Incarnation = Self.m_Hard.m_Incarnation,
                                 .m_Region = Self.m_Region,
                                 .m_FailureDomain = Self.m_FailureDomain,
                                 .m_Voter = true};
  for (const core::VmId &Vm : Self.m_KnownPeers) {
    if (Vm == Self.m_Self)
      continue;
    auto Reply = Self.m_JoinReplies.find(Vm);
    if (Reply == Self.m_JoinReplies.end() || !Reply->second.m_Uninitialized)
      return;
    InitialMembers[Vm] = {.m_Incarnation = Reply->second.m_Incarnation,
                          .m_Region = Reply->second.m_Region,
                          .m_FailureDomain = Reply->second.m_FailureDomain,
                          .m_Voter = true};
  }
  SnapshotPoint Point{.m_Members = Members(std::move(InitialMembers))};
  Context.m_Effects.m_Install = InstallSnapshot{.m_Point = Point};
  Self.m_Log = Log(std::move(Point), {});
  joinIfMember(Context);
  delayElection(Context);
}

static void handle(StepContext &Context, const core::VmId &From,
                   const JoinRequest &Value) {
  Replica &Self = Context.m_Replica;
  bool IsUninitialized = Self.m_Role == Role::Uninitialized;
  send(Context, From,
       JoinReply{.m_Uninitialized = IsUninitialized,
                 .m_Incarnation = Self.m_Hard.m_Incarnation,
                 .m_Region = Self.m_Region,
                 .m_FailureDomain = Self.m_FailureDomain,
                 .m_Members = members(Self)});
  bool MayJoin =
      (Self.m_Join.m_AllowAnyVm || Self.m_KnownPeers.contains(From)) &&
      !Self.m_Draining.contains(From);
  if (Self.m_Role != Role::Leader || !MayJoin)
    return;
  const Members &All = members(Self);
  const Member *Known = All.find(From);
  if (Known && Known->m_Incarnation == Value.m_Incarnation)
    return;
  // A replica with a new data folder has lost its votes and acknowledged
  // entries: it joins as a learner and votes again only after it has caught up.
  Member Learner{.m_Incarnation = Value.m_Incarnation,
                 .m_Region = Value.m_Region,
                 .m_FailureDomain = Value.m_FailureDomain,
                 .m_Voter = false};
  if (mayChangeMembers(Self)) {
    // One that was removed and returns may still hold most of the log.
    Self.m_Progress[From] = Progress{.m_Next = Self.m_Log.lastIndex() + 1};
    (void)changeMembers(Context, All.with(From, Learner));
  }
}

static void handle(StepContext &Context, const core::VmId &From,
                   const JoinReply &Reply) {
  Replica &Self = Context.m_Replica;
  if (Self.m_Role != Role::Uninitialized)
    return;
  const Member *SelfMember = Reply.m_Members.find(Self.m_Self);
  bool IsMember =
      SelfMember && SelfMember->m_Incarnation == Self.m_Hard.m_Incarnation;
  if (!Reply.m_Uninitialized && IsMember && Self.m_Log.lastIndex() == 0 &&
      Self.m_Log.snapshot().m_Members == Members()) {
    // The peers bootstrapped the set with this data folder's incarnation before
    // this replica received all replies.
    SnapshotPoint Point{.m_Members = Reply.m_Members};
    Context.m_Effects.m_Install = InstallSnapshot{.m_Point = Point};
    Self.m_Log = Log(std::move(Point), {});
    joinIfMember(Context);
    delayElection(Context);
    return;
  }
  Self.m_JoinReplies[From] = Reply;
  bootstrapIfAllUninitialized(Context);
}

// ---- Inputs ----------------------------------------------------------------

static void sendJoinRequests(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  for (const core::VmId &Vm : Self.m_KnownPeers)
    if (Vm != Self.m_Self)
      send(Context, Vm,
           JoinRequest{.m_Incarnation = Self.m_Hard.m_Incarnation,
                       .m_Region = Self.m_Region,
                       .m_FailureDomain = Self.m_FailureDomain});
}

static void tickUninitialized(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  if (Self.m_KnownPeers.size() <= 1)
    bootstrapIfAllUninitialized(Context);
  if (Context.m_Now - Self.m_LastHeartbeat < Self.m_Options.m_Heartbeat)
    return;
  Self.m_LastHeartbeat = Context.m_Now;
  sendJoinRequests(Context);
}

static void tickLeader(StepContext &Context) {
  Replica &Self = Context.m_Replica;
  bool ElectionTimeoutPassed =
      Context.m_Now - Self.m_LeaderSince >= Self.m_Options.m_ElectionTimeout;
  bool TransferFailed =
      Self.m_TransferredAt &&
      Context.m_Now - *Self.m_TransferredAt >= Self.m_Options.m_ElectionTimeout;
  if (TransferFailed ||
      (ElectionTimeoutPassed && !hasBlockingSet(Self, Context.m_Now))) {
    becomeFollower(Context, Self.m_Hard.m_Term, {});
    return;
  }
  if (Context.m_Now - Self.m_LastHeartbeat >= Self.m_Options.m_Heartbeat)
    sendAppends(Context);
  // Proposals count as heartbeats, so these checks must not depend on a
  // heartbeat being due.
  promoteLearner(Context);
  removeReplacedVoter(Context);
}

static void handle(StepContext &Context, const Tick &) {
  Replica &Self = Context.m_Replica;
  if (Self.m_Role == Role::Uninitialized)
    return tickUninitialized(Context);
  if (Self.m_Role == Role::Leader)
    return tickLeader(Context);
  if (Context.m_Now < Self.m_ElectionDeadline)
    return;
  // The leader may have removed this replica while it was suspended; a join
  // request adds it again.
  if (Self.m_Join.m_AllowAnyVm && !Self.m_Draining.contains(Self.m_Self))
    sendJoinRequests(Context);
  if (members(Self).isVoter(Self.m_Self))
    startPreVote(Context);
  else
    delayElection(Context);
}

static void handle(StepContext &Context, const Received &Value) {
  std::visit([&](const auto &Typed) { handle(Context, Value.m_From, Typed); },
             Value.m_Message);
}

static void handle(StepContext &Context, const Propose &Value) {
  if (Context.m_Replica.m_Role != Role::Leader)
    return;
  proposeEntry(Context, Value.m_Commands, std::nullopt);
  sendAppends(Context);
}

static void handle(StepContext &Context, const Synced &Value) {
  Replica &Self = Context.m_Replica;
  Self.m_Synced =
      std::max(Self.m_Synced, std::min(Value.m_Index, Self.m_Log.lastIndex()));
  if (Self.m_Role == Role::Leader)
    advanceCommit(Context);
}

static void handle(StepContext &Context, const SnapshotTaken &Value) {
  Replica &Self = Context.m_Replica;
  Self.m_Log =
      std::move(Self.m_Log).compactedTo(std::min(Value.m_Index, Self.m_Commit));
}

static void handle(StepContext &Context, const Campaign &Value) {
  Replica &Self = Context.m_Replica;
  if (Self.m_Role != Role::Uninitialized && Self.m_Role != Role::Leader &&
      members(Self).isVoter(Self.m_Self))
    startElection(Context, Value.m_Transfer);
}

static void handle(StepContext &Context, const PeersDiscovered &Value) {
  Context.m_Replica.m_KnownPeers.insert(Value.m_Vms.begin(), Value.m_Vms.end());
}

static void handle(StepContext &Context, const VmsDraining &Value) {
  Context.m_Replica.m_Draining = Value.m_Vms;
}

static void handle(StepContext &Context, const StartLeadershipTransfer &) {
  Replica &Self = Context.m_Replica;
  if (Self.m_Role != Role::Leader || Self.m_TransferredAt)
    return;
  const core::VmId *Best = nullptr;
  std::uint64_t BestMatch = 0;
  for (const auto &[Vm, Known] : Self.m_Progress) {
    bool IsEligible = members(Self).isVoter(Vm) &&
                      !Self.m_Draining.contains(Vm) &&
                      Known.m_Match > BestMatch &&
                      activeReplicas(Self, Context.m_Now).contains(Vm);
    if (IsEligible) {
      Best = &Vm;
      BestMatch = Known.m_Match;
    }
  }
  if (!Best)
    return;
  Self.m_TransferredAt = Context.m_Now;
  send(Context, *Best, TransferLeadership{.m_Term = Self.m_Hard.m_Term});
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
      .m_LastLeaderContact = Now};
  if (Started.m_Hard.m_Joined)
    Started.m_Role = Role::Follower;
  Started.m_Commit = Started.m_Log.snapshot().m_Index;
  Started.m_Synced = Started.m_Log.lastIndex();
  Started.m_ElectionDeadline = Now + electionDelay(Started);
  // A single replica cannot have acknowledged another leader's lease.
  if (Started.m_KnownPeers.size() <= 1)
    Started.m_ElectionDeadline = Now;
  return Started;
}

Step step(Replica Current, const Input &Value, core::Time Now) {
  StepContext Context{
      .m_Replica = std::move(Current), .m_Effects = {}, .m_Now = Now};
  std::visit([&](const auto &Typed) { handle(Context, Typed); }, Value);
  return {.m_Replica = std::move(Context.m_Replica),
          .m_Effects = std::move(Context.m_Effects)};
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
