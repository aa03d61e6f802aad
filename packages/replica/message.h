// Messages between replicas.
#ifndef FIREFLYDRIFT_REPLICA_MESSAGE_H
#define FIREFLYDRIFT_REPLICA_MESSAGE_H

#include "core/time.h"
#include "replica/log.h"

#include <variant>

namespace fireflydrift::replica {

// A candidate asks for a vote. A pre-vote asks whether one would be given, and
// changes nothing at the voter.
struct VoteRequest {
  std::uint64_t m_Term = 0;
  bool m_PreVote = false;
  // True when the present leader itself asked for the change.
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

// Entries, or a heartbeat when there are none.
struct Append {
  std::uint64_t m_Term = 0;
  std::uint64_t m_PreviousIndex = 0;
  std::uint64_t m_PreviousTerm = 0;
  std::uint64_t m_Commit = 0;
  // The leader's clock when this left; the reply returns it, for the lease.
  core::Time m_SentAt;
  std::vector<Entry> m_Entries;

  friend bool operator==(const Append &, const Append &) = default;
  friend auto operator<=>(const Append &, const Append &) = default;
};

struct AppendReply {
  std::uint64_t m_Term = 0;
  bool m_Accepted = false;
  // Accepted: the last entry synced. Refused: where the leader should go on.
  std::uint64_t m_Match = 0;
  std::uint64_t m_Incarnation = 0;
  core::Time m_SentAt;

  friend bool operator==(const AppendReply &, const AppendReply &) = default;
  friend auto operator<=>(const AppendReply &, const AppendReply &) = default;
};

// The whole state as of a point of the log, for a replica that is too far
// behind the leader's log.
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

// A replica with an empty data folder presents itself.
struct JoinRequest {
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;

  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
};

struct JoinReply {
  // True when the sender's own data folder is empty as well.
  bool m_Uninitialized = false;
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  Members m_Members;

  friend bool operator==(const JoinReply &, const JoinReply &) = default;
  friend auto operator<=>(const JoinReply &, const JoinReply &) = default;
};

// The leader asks a follower to stand for election now.
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
