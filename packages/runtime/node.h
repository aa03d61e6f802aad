// One VM of the system: an entry for callers and targets, and a replica if it
// has a data folder.
#ifndef FIREFLYDRIFT_RUNTIME_NODE_H
#define FIREFLYDRIFT_RUNTIME_NODE_H

#include "runtime/entry.h"
#include "runtime/http_client.h"
#include "runtime/leader_driver.h"
#include "runtime/links.h"
#include "runtime/replica_driver.h"
#include "runtime/settings.h"

#include <deque>

namespace fireflydrift::runtime {

// Connects the entry, the replica, the leader driver and the links of one VM.
class Node {
public:
  Node(Loop &EventLoop, Settings Values);
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  // Recovers from disk and opens the links. Fails with Io or Corrupt.
  [[nodiscard]] core::Outcome<bool> start();

  [[nodiscard]] const Settings &settings() const noexcept { return m_Settings; }
  [[nodiscard]] Entry &entry() noexcept { return m_Entry; }
  [[nodiscard]] Counters &counters() noexcept { return m_Counters; }
  [[nodiscard]] core::Time now() const { return m_Loop.now(); }
  // True when this VM can serve: it is not draining and its disk works.
  [[nodiscard]] bool isHealthy() const;
  // True once a draining VM has no pending requests, is no replaced member of
  // the replica set and has drained for the minimum time, or its drain timeout
  // has passed.
  [[nodiscard]] bool isDrained(core::Time Now) const;
  [[nodiscard]] std::string metricsText();

  // Handles the report of a target that fetches its orders. Answers with
  // nullopt on a VM that does not lead. While no leader is known, the answer is
  // held for a while: otherwise all targets would go round the VMs until one is
  // elected.
  void report(roster::Report Value, OrdersCallback Answer);
  // Why no target can have sent the report; code None when one can.
  [[nodiscard]] core::Reason checkReport(const roster::Report &Value) const;
  // Handles a target's notice that it leaves now; ignored on a VM that does not
  // lead.
  void leave(const roster::Departure &Value);
  // Counts a message that was refused, and logs one a second.
  void recordRefusal(const Refusal &Value);
  // The current leader as far as this VM knows; empty while it knows none.
  [[nodiscard]] core::VmId leader(core::Time Now) const;
  [[nodiscard]] bool leads(core::Time Now) const;

  void drain(core::Time Now);
  // Does the work that is due. Called after every round of events; returns how
  // long the loop may wait for the next one.
  core::Duration tick();

private:
  [[nodiscard]] std::uint64_t configurationVersion() const;
  // The leader that this VM's replica follows or is; empty while it knows none
  // or has no replica.
  [[nodiscard]] core::VmId followedLeader() const;
  [[nodiscard]] LeaderCallbacks makeLeaderCallbacks();

  void onMessage(messages::Envelope Value);
  void onHeartbeat(const membership::Heartbeat &Value);
  void handle(const core::VmId &From, messages::ReplicaMessage &Value);
  void handle(const core::VmId &From, messages::ForwardOperation &Value);
  void handle(const core::VmId &From, messages::OperationReply &Value);
  void handle(const core::VmId &From, messages::NotLeader &Value);
  void handle(const core::VmId &From, messages::ReportHeartbeats &Value);
  void handle(const core::VmId &From, messages::RequestHeartbeats &Value);
  void handle(const core::VmId &From, messages::ReannounceTargets &Value);

  void sendTo(const core::VmId &To, messages::Body Value);
  void callTarget(const control::Call &Value);
  void completeStatus(control::StatusView &View) const;
  void onApplied(std::uint64_t Index, const control::ApplyResult &Result);
  void applyRoleChange(core::Time Now);
  void tickReplica(core::Time Now);
  void sendHeartbeats(core::Time Now);
  void refreshConfiguration(core::Time Now);
  void logLiveness(core::Time Now);
  void logReplicas(const replica::Members &Current);
  void reopenStalledConnections(core::Time Now);
  void removeUnresponsiveVms(core::Time Now);
  [[nodiscard]] std::vector<core::VmId> knownReplicas() const;
  [[nodiscard]] std::set<core::VmId> drainingVms() const;
  // True while the leader has yet to remove this stopping replica from the set,
  // which has a replacement for it.
  [[nodiscard]] bool awaitsRemoval() const;
  void releaseHeldReports(core::Time Now);

  // A report that arrived while no leader was known.
  struct HeldReport {
    roster::Report m_Report;
    OrdersCallback m_Answer;
    core::Time m_Until;
  };

  Loop &m_Loop;
  Settings m_Settings;
  Counters m_Counters;
  Links m_Links;
  HttpClient m_HttpClient;
  membership::Membership m_Membership;
  membership::DetectionOptions m_Detection;
  Entry m_Entry;
  LeaderDriver m_LeaderDriver;
  std::optional<ReplicaDriver> m_Replica;

  // Configuration version that a VM without a replica has read from the leader.
  std::uint64_t m_KnownVersion = 0;
  // Newest configuration version that a leader's heartbeat has named.
  std::uint64_t m_NewestVersion = 0;
  std::uint64_t m_LoggedVersion = 0;
  // Whether the last heartbeat of a leader names this VM among the replicas.
  bool m_LeaderNamesSelf = false;
  bool m_ReadingConfiguration = false;
  replica::Role m_LastRole = replica::Role::Uninitialized;
  core::VmId m_LastLeader;
  // The leader as of the last tick. When it changes, an idle connection to the
  // new leader is replaced.
  core::VmId m_ReconnectedLeader;
  replica::Members m_LoggedReplicas;
  std::map<core::VmId, membership::Liveness> m_LastLiveness;
  core::Time m_LastReplicaTickAt;
  core::Time m_LastMaintainAt;
  core::Time m_LastHeartbeatAt;
  core::Time m_DrainingSince;
  RefusalLimiter m_Refusals;
  // In the order of arrival.
  std::deque<HeldReport> m_HeldReports;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_NODE_H
