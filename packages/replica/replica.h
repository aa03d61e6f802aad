// The replica aggregate: one replica of the log as a pure step function (Raft
// with pre-votes and leader leases).
//
// A step performs no I/O. Its effects list what to write and what to send; the
// caller writes and syncs before it sends, except for messages marked as safe
// to send before the sync.
#ifndef FIREFLYDRIFT_REPLICA_REPLICA_H
#define FIREFLYDRIFT_REPLICA_REPLICA_H

#include "core/outcome.h"
#include "replica/durability.h"
#include "replica/message.h"

namespace fireflydrift::replica {

// ---- Options ---------------------------------------------------------------

struct ReplicaOptions {
  // A follower starts an election after this long without a message from a
  // leader. Each term adds a random delay of up to the same length, derived
  // from the seed.
  core::Duration m_ElectionTimeout{1000};
  // Interval between a leader's heartbeats, and between the join requests of an
  // uninitialized replica.
  core::Duration m_Heartbeat{200};
  // Percentage of the election timeout that the leader's lease leaves unused to
  // allow for clock drift.
  std::uint32_t m_ClockDriftPercent = 10;
  // Small enough for a slow link to transfer within one or two heartbeats.
  std::size_t m_MaxAppendBytes = std::size_t{64} << 10U;
  std::uint64_t m_Seed = 0;
  DurabilityRule m_Rule;

  friend bool operator==(const ReplicaOptions &,
                         const ReplicaOptions &) = default;
  friend auto operator<=>(const ReplicaOptions &,
                          const ReplicaOptions &) = default;
};

// ---- State -----------------------------------------------------------------

enum class Role : std::uint8_t { Uninitialized, Follower, Candidate, Leader };

// State that must be synced before any message of the same step is sent, except
// those marked m_BeforeSync.
struct HardState {
  std::uint64_t m_Term = 0;
  core::VmId m_VotedFor;
  std::uint64_t m_Incarnation = 0;
  // False until the replica belongs to a replica set.
  bool m_Joined = false;

  friend bool operator==(const HardState &, const HardState &) = default;
  friend auto operator<=>(const HardState &, const HardState &) = default;
};

// Replication progress of another replica, as known to the leader.
struct Progress {
  std::uint64_t m_Next = 1;
  std::uint64_t m_Match = 0;
  // Send time of the newest message that the replica has answered.
  core::Time m_AnsweredSentAt;
  core::Time m_SnapshotSentAt;
  bool m_Answered = false;

  friend bool operator==(const Progress &, const Progress &) = default;
  friend auto operator<=>(const Progress &, const Progress &) = default;
};

// Which VMs may join the replica set, and whether this one may bootstrap it.
struct JoinOptions {
  // False on a VM that is not part of the system's first start: a replica set
  // already exists, so a replica with an empty data folder may only join it.
  bool m_MayBootstrap = true;
  // True if the settings list only seeds: any VM that sends a join request may
  // join.
  bool m_AllowAnyVm = false;
  // Number of voters to keep if any VM may join. A lost voter is removed once
  // others have replaced it, and one that is about to stop as well.
  std::uint32_t m_Voters = 3;
  // A voter above that number is removed after this long without a reply. Until
  // then the set can bear one loss less.
  core::Duration m_RemoveVoterAfter{1500};

  friend bool operator==(const JoinOptions &, const JoinOptions &) = default;
  friend auto operator<=>(const JoinOptions &, const JoinOptions &) = default;
};

// The state of one replica.
struct Replica {
  core::VmId m_Self;
  std::string m_Region;
  std::string m_FailureDomain;
  // The replicas that the settings list or that were discovered, including this
  // one. An uninitialized replica sends join requests to them.
  std::set<core::VmId> m_KnownPeers;
  JoinOptions m_Join;
  ReplicaOptions m_Options;
  // The VMs that are about to stop, which may include this one.
  std::set<core::VmId> m_Draining;

  HardState m_Hard;
  Role m_Role = Role::Uninitialized;
  core::VmId m_Leader;
  Log m_Log;
  std::uint64_t m_Commit = 0;
  // Index of the last entry that is synced to the local disk.
  std::uint64_t m_Synced = 0;

  core::Time m_LastLeaderContact;
  core::Time m_ElectionDeadline;
  bool m_PreVoting = false;
  core::Time m_PreVoteStartedAt;
  std::set<core::VmId> m_Votes;

  // The next five are valid only while this replica is the leader, except that
  // m_LastHeartbeat also holds the time of an uninitialized replica's last join
  // requests.
  std::uint64_t m_TermStart = 0;
  core::Time m_LeaderSince;
  core::Time m_LastHeartbeat;
  std::map<core::VmId, Progress> m_Progress;
  // Set once this leader has asked another replica to take over. That one's
  // election passes over the voters' promise to this leader, so the lease is
  // void for the rest of the term, however late the request arrives.
  std::optional<core::Time> m_TransferredAt;

  // Valid only while this replica is uninitialized.
  std::map<core::VmId, JoinReply> m_JoinReplies;

  friend bool operator==(const Replica &, const Replica &) = default;
  friend auto operator<=>(const Replica &, const Replica &) = default;
};

// State recovered from the disk at startup.
struct RecoveredState {
  HardState m_Hard;
  SnapshotPoint m_Snapshot;
  std::deque<Entry> m_Entries;

  friend bool operator==(const RecoveredState &,
                         const RecoveredState &) = default;
};

// The identity of this replica and its peers, from the settings.
struct Identity {
  core::VmId m_Self;
  std::string m_Region;
  std::string m_FailureDomain;
  std::set<core::VmId> m_KnownPeers;
  JoinOptions m_Join;

  friend bool operator==(const Identity &, const Identity &) = default;
};

// ---- Inputs and effects ----------------------------------------------------

struct Tick {
  friend bool operator==(const Tick &, const Tick &) = default;
};
struct Received {
  core::VmId m_From;
  Message m_Message;
  friend bool operator==(const Received &, const Received &) = default;
};
// Appends one entry of encoded commands; ignored unless this replica is the
// leader.
struct Propose {
  std::string m_Commands;
  friend bool operator==(const Propose &, const Propose &) = default;
};
// All writes requested by earlier effects are on the disk; m_Index is the last
// entry among them.
struct Synced {
  std::uint64_t m_Index = 0;
  friend bool operator==(const Synced &, const Synced &) = default;
};
// A snapshot that includes the entries up to m_Index is on the disk, so that
// the log may be compacted to there. The snapshot itself may reach further.
struct SnapshotTaken {
  std::uint64_t m_Index = 0;
  friend bool operator==(const SnapshotTaken &,
                         const SnapshotTaken &) = default;
};
// Starts an election immediately, without a pre-vote.
struct Campaign {
  bool m_Transfer = false;
  friend bool operator==(const Campaign &, const Campaign &) = default;
};
// Replicas that were discovered and are added to the known peers.
struct PeersDiscovered {
  std::set<core::VmId> m_Vms;
  friend bool operator==(const PeersDiscovered &,
                         const PeersDiscovered &) = default;
};
// The VMs that are about to stop, as far as this one knows.
struct VmsDraining {
  std::set<core::VmId> m_Vms;
  friend bool operator==(const VmsDraining &, const VmsDraining &) = default;
};
// Asks the most up-to-date active voter to take over the leadership, and gives
// up the lease. Ignored when there is no such voter.
struct StartLeadershipTransfer {
  friend bool operator==(const StartLeadershipTransfer &,
                         const StartLeadershipTransfer &) = default;
};

using Input =
    std::variant<Tick, Received, Propose, Synced, SnapshotTaken, Campaign,
                 StartLeadershipTransfer, PeersDiscovered, VmsDraining>;

struct Outgoing {
  core::VmId m_To;
  Message m_Message;
  // Safe to send before the sync, because it does not acknowledge any data on
  // the local disk.
  bool m_BeforeSync = false;

  friend bool operator==(const Outgoing &, const Outgoing &) = default;
};

// What the caller must do, in this order: install the snapshot, truncate,
// write, sync, send, apply.
struct Effects {
  std::optional<InstallSnapshot> m_Install;
  std::optional<std::uint64_t> m_TruncateFrom;
  std::optional<HardState> m_HardState;
  std::vector<Entry> m_Append;
  std::vector<Outgoing> m_Messages;
  // Replicas to which the newest snapshot must be sent.
  std::vector<core::VmId> m_SnapshotRecipients;
  // Entries that this step committed.
  std::vector<Entry> m_Committed;

  friend bool operator==(const Effects &, const Effects &) = default;
};

struct Step {
  Replica m_Replica;
  Effects m_Effects;

  friend bool operator==(const Step &, const Step &) = default;
};

// ---- Functions -------------------------------------------------------------

// Returns a replica started from its recovered state at Now. It grants no vote
// for one election timeout, because it may have acknowledged a leader's lease
// before the restart.
[[nodiscard]] Replica start(const Identity &Self, const ReplicaOptions &Options,
                            RecoveredState Disk, core::Time Now);

// Processes one input and returns the new state of the replica and its effects.
[[nodiscard]] Step step(Replica Current, const Input &Value, core::Time Now);

// Returns true if this replica is the leader and no other leader can be active
// at Now: enough voters have answered within the lease, an entry of this term
// is committed, and no other replica was asked to take over.
[[nodiscard]] bool holdsLease(const Replica &Value, core::Time Now);

// Returns true if this replica is about to stop and the leader may remove it,
// because the set has more voters than it is meant to keep.
[[nodiscard]] bool awaitsRemoval(const Replica &Value);

// Returns the length of the leader's lease, counted from the send time of an
// answered message.
[[nodiscard]] core::Duration leaseLength(const ReplicaOptions &Options);

[[nodiscard]] const char *toString(Role Value) noexcept;

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_REPLICA_H
