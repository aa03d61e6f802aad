// The replica aggregate: one replica of the log as a pure step function.
//
// A step never does I/O. Its effects say what to write and what to send; the
// caller writes and syncs first and sends afterwards, except for messages
// marked as safe to send before the sync.
#ifndef FIREFLYDRIFT_REPLICA_REPLICA_H
#define FIREFLYDRIFT_REPLICA_REPLICA_H

#include "core/outcome.h"
#include "replica/durability.h"
#include "replica/message.h"

namespace fireflydrift::replica {

// ---- Options ---------------------------------------------------------------

struct ReplicaOptions {
  // A follower that hears no leader for this long stands for election; each
  // term adds up to as much again, by a draw from the seed.
  core::Duration m_ElectionTimeout{1000};
  core::Duration m_Heartbeat{200};
  // Part of the election timeout, in percent, that the leader's lease leaves
  // unused because clocks drift.
  std::uint32_t m_ClockDriftPercent = 10;
  // Small enough that a slow link passes it within a heartbeat or two.
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

// What must be synced before any message of the same step leaves.
struct HardState {
  std::uint64_t m_Term = 0;
  core::VmId m_VotedFor;
  std::uint64_t m_Incarnation = 0;
  // False until the replica belongs to a set of replicas.
  bool m_Joined = false;

  friend bool operator==(const HardState &, const HardState &) = default;
  friend auto operator<=>(const HardState &, const HardState &) = default;
};

// What the leader knows of another replica.
struct Progress {
  std::uint64_t m_Next = 1;
  std::uint64_t m_Match = 0;
  // Send time of the newest message that this replica answered.
  core::Time m_AnsweredSentAt;
  core::Time m_SnapshotSentAt;
  bool m_Answered = false;

  friend bool operator==(const Progress &, const Progress &) = default;
  friend auto operator<=>(const Progress &, const Progress &) = default;
};

// Who may become a replica, and who may found the set.
struct JoinOptions {
  // False on a VM that is not part of the system's first start: a set exists
  // already, so a blank folder there only joins.
  bool m_MayBootstrap = true;
  // True where settings name seeds only: any VM that presents itself may join.
  bool m_AllowAnyVm = false;
  // Voters that an open set keeps. A voter that was lost is retired once
  // others have taken its place.
  std::uint32_t m_Voters = 3;
  // Silence after which a voter beyond that number is retired.
  core::Duration m_RetireAfter{5000};

  friend bool operator==(const JoinOptions &, const JoinOptions &) = default;
  friend auto operator<=>(const JoinOptions &, const JoinOptions &) = default;
};

// One replica.
struct Replica {
  core::VmId m_Self;
  std::string m_Region;
  std::string m_FailureDomain;
  // The replicas that settings name, this one included. A blank replica
  // presents itself to them.
  std::set<core::VmId> m_KnownPeers;
  JoinOptions m_Join;
  ReplicaOptions m_Options;

  HardState m_Hard;
  Role m_Role = Role::Uninitialized;
  core::VmId m_Leader;
  Log m_Log;
  std::uint64_t m_Commit = 0;
  // Last own entry that is on the disk.
  std::uint64_t m_Synced = 0;

  core::Time m_HeardLeaderAt;
  core::Time m_ElectionDeadline;
  bool m_PreVoting = false;
  core::Time m_PreVotingSince;
  std::set<core::VmId> m_Votes;

  // Meaningful while leading.
  std::uint64_t m_TermStart = 0;
  core::Time m_LeadingSince;
  core::Time m_LastHeartbeat;
  std::map<core::VmId, Progress> m_Progress;

  // Meaningful while blank.
  std::map<core::VmId, JoinReply> m_Hellos;

  friend bool operator==(const Replica &, const Replica &) = default;
  friend auto operator<=>(const Replica &, const Replica &) = default;
};

// What was found on the disk at start.
struct RecoveredState {
  HardState m_Hard;
  SnapshotPoint m_Snapshot;
  std::deque<Entry> m_Entries;

  friend bool operator==(const RecoveredState &,
                         const RecoveredState &) = default;
};

// Who this replica is, from settings.
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
// Appends one entry of encoded commands; ignored by anyone but the leader.
struct Propose {
  std::string m_Commands;
  friend bool operator==(const Propose &, const Propose &) = default;
};
// Everything that earlier effects asked to write is on the disk.
struct Synced {
  std::uint64_t m_Index = 0;
  friend bool operator==(const Synced &, const Synced &) = default;
};
// A snapshot of the applied state is on the disk.
struct SnapshotTaken {
  std::uint64_t m_Index = 0;
  friend bool operator==(const SnapshotTaken &,
                         const SnapshotTaken &) = default;
};
// Stand for election at once.
struct Campaign {
  bool m_Transfer = false;
  friend bool operator==(const Campaign &, const Campaign &) = default;
};
// Replicas that were heard of beside the configured ones.
struct PeersDiscovered {
  std::set<core::VmId> m_Vms;
  friend bool operator==(const PeersDiscovered &,
                         const PeersDiscovered &) = default;
};
// Ask the most caught-up follower to take over.
struct StartLeadershipTransfer {
  friend bool operator==(const StartLeadershipTransfer &,
                         const StartLeadershipTransfer &) = default;
};

using Input = std::variant<Tick, Received, Propose, Synced, SnapshotTaken,
                           Campaign, StartLeadershipTransfer, PeersDiscovered>;

struct Outgoing {
  core::VmId m_To;
  Message m_Message;
  // Safe to send before the sync: promises nothing about this disk.
  bool m_BeforeSync = false;

  friend bool operator==(const Outgoing &, const Outgoing &) = default;
};

// What the caller must do, in this order: install, truncate, write, sync,
// send, apply.
struct Effects {
  std::optional<InstallSnapshot> m_Install;
  std::optional<std::uint64_t> m_TruncateFrom;
  std::optional<HardState> m_HardState;
  std::vector<Entry> m_Append;
  std::vector<Outgoing> m_Messages;
  // Replicas that need the leader's newest snapshot.
  std::vector<core::VmId> m_SnapshotRecipients;
  // Entries that are committed now and were not before.
  std::vector<Entry> m_Committed;

  friend bool operator==(const Effects &, const Effects &) = default;
};

struct Step {
  Replica m_Replica;
  Effects m_Effects;

  friend bool operator==(const Step &, const Step &) = default;
};

// ---- Functions -------------------------------------------------------------

// A replica as it starts from its disk at Now. It keeps from voting for one
// election timeout, since it may have promised a leader just that.
[[nodiscard]] Replica start(const Identity &Self, const ReplicaOptions &Options,
                            RecoveredState Disk, core::Time Now);

// The replica after Value, and what must be done about it.
[[nodiscard]] Step step(Replica Current, const Input &Value, core::Time Now);

// True when no other leader can act at Now: enough voters promised so within
// the lease, and an entry of this term is committed.
[[nodiscard]] bool holdsLease(const Replica &Value, core::Time Now);

// Length of the leader's lease after the send time of an answered message.
[[nodiscard]] core::Duration leaseLength(const ReplicaOptions &Options);

[[nodiscard]] const char *toString(Role Value) noexcept;

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_REPLICA_H
