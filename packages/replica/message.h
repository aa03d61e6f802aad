// Messages between replicas.
#ifndef FIREFLYDRIFT_REPLICA_MESSAGE_H
#define FIREFLYDRIFT_REPLICA_MESSAGE_H

#include "core/time.h"
#include "replica/log.h"

#include <variant>

namespace fireflydrift::replica {

// Sent by a candidate to request a vote. A pre-vote asks whether the vote would
// be granted and does not change the voter's state.
struct VoteRequest {
  std::uint64_t m_Term = 0;
  bool m_PreVote = false;
  // True if the current leader requested the election to transfer its
  // leadership.
  bool m_Transfer = false;
  std::uint64_t m_LastIndex = 0;
  std::uint64_t m_LastTerm = 0;

  friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
  friend auto operator<=>(const VoteRequest &, const VoteRequest &) = default;
};

struct VoteReply {
  std::uint64_t m_Term = 0;
  bool m_PreVote = false;
  bool m_Granted = false;
  std::uint64_t m_Incarnation = 0;

  friend bool operator==(const VoteReply &, const VoteReply &) = default;
  friend auto operator<=>(const VoteReply &, const VoteReply &) = default;
};

// Entries to replicate, or a heartbeat if there are none.
struct Append {
  std::uint64_t m_Term = 0;
  std::uint64_t m_PreviousIndex = 0;
  std::uint64_t m_PreviousTerm = 0;
  std::uint64_t m_Commit = 0;
  // Send time by the leader's clock. The reply returns it to renew the lease.
  core::Time m_SentAt;
  std::vector<Entry> m_Entries;

  friend bool operator==(const Append &, const Append &) = default;
  friend auto operator<=>(const Append &, const Append &) = default;
};

struct AppendReply {
  std::uint64_t m_Term = 0;
  bool m_Accepted = false;
  // If accepted, the last entry that the message confirmed to match the
  // leader's log; it is synced. If rejected, the follower's commit index, after
  // which the leader should continue.
  std::uint64_t m_Match = 0;
  std::uint64_t m_Incarnation = 0;
  core::Time m_SentAt;

  friend bool operator==(const AppendReply &, const AppendReply &) = default;
  friend auto operator<=>(const AppendReply &, const AppendReply &) = default;
};

// The complete state as of a snapshot point, for a replica that needs entries
// that the leader has already compacted. The state is empty when a replica set
// is bootstrapped.
struct InstallSnapshot {
  std::uint64_t m_Term = 0;
  SnapshotPoint m_Point;
  core::Time m_SentAt;
  std::string m_State;

  friend bool operator==(const InstallSnapshot &,
                         const InstallSnapshot &) = default;
  friend auto operator<=>(const InstallSnapshot &,
                          const InstallSnapshot &) = default;
};

// Asks a known peer to add the sender to the replica set. Sent by an
// uninitialized replica, and, if any VM may join, by a replica without a
// leader, because it may have been removed.
struct JoinRequest {
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;

  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
};

struct JoinReply {
  // True if the replica that replies is uninitialized as well.
  bool m_Uninitialized = false;
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  Members m_Members;

  friend bool operator==(const JoinReply &, const JoinReply &) = default;
  friend auto operator<=>(const JoinReply &, const JoinReply &) = default;
};

// Sent by the leader to make a follower start an election immediately.
struct TransferLeadership {
  std::uint64_t m_Term = 0;

  friend bool operator==(const TransferLeadership &,
                         const TransferLeadership &) = default;
  friend auto operator<=>(const TransferLeadership &,
                          const TransferLeadership &) = default;
};

using Message =
    std::variant<VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot,
                 JoinRequest, JoinReply, TransferLeadership>;

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_REPLICA_MESSAGE_H
