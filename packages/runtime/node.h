// One VM of the system: entry for callers and targets, and a replica where it
// has a data folder.
#ifndef FIREFLYDRIFT_RUNTIME_NODE_H
#define FIREFLYDRIFT_RUNTIME_NODE_H

#include "runtime/entry.h"
#include "runtime/http_client.h"
#include "runtime/leader_driver.h"
#include "runtime/links.h"
#include "runtime/replica_driver.h"
#include "runtime/settings.h"

namespace fireflydrift::runtime {

// Joins the entry, the replica, the leader's duties and the links of one VM.
class Node {
public:
  Node(Loop &On, Settings Values);
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
  // True once a draining VM holds nothing for anyone, or its time is over.
  [[nodiscard]] bool isDrained(core::Time Now) const;
  [[nodiscard]] std::string metricsText();

  // Takes a report of a target that fetches its orders. Answers with nothing
  // on a VM that does not lead.
  void report(roster::Report Value, OnOrders Answer);
  // Takes a target's word that it leaves now.
  void leave(const core::TargetId &Id,
             std::optional<std::uint64_t> Incarnation);
  // The leader that this VM knows; empty while it knows none.
  [[nodiscard]] core::VmId leader(core::Time Now) const;
  [[nodiscard]] bool leads(core::Time Now) const;

  void drain(core::Time Now);
  // What is due; called after every round of events. Returns how long the
  // loop may wait for events.
  core::Duration tick();

private:
  [[nodiscard]] std::uint64_t configurationVersion() const;
  [[nodiscard]] LeaderHooks makeHooks();

  void onMessage(messages::Envelope Value);
  void onBeat(const membership::Heartbeat &Value);
  void handle(const core::VmId &From, messages::ReplicaMessage &Value);
  void handle(const core::VmId &From, messages::ForwardOperation &Value);
  void handle(const core::VmId &From, messages::OperationReply &Value);
  void handle(const core::VmId &From, messages::NotLeader &Value);
  void handle(const core::VmId &From, messages::ReportHeartbeats &Value);
  void handle(const core::VmId &From, messages::RequestHeartbeats &Value);
  void handle(const core::VmId &From, messages::ReannounceTargets &Value);

  void sendTo(const core::VmId &To, messages::Body Value);
  void callTarget(const control::Call &Value);
  void completeStatus(control::StatusView &Into) const;
  void onApplied(std::uint64_t Index, const control::ApplyResult &Result);
  void followRole(core::Time Now);
  void turnReplica(core::Time Now);
  void turnBeats(core::Time Now);
  void refreshConfiguration(core::Time Now);
  void logLiveness(core::Time Now);
  void logReplicas(const replica::Members &Now);
  void renewSilentConnections(core::Time Now);
  void forgetSilentVms(core::Time Now);
  [[nodiscard]] std::vector<core::VmId> knownReplicas() const;

  Loop &m_Loop;
  Settings m_Settings;
  Counters m_Counters;
  Links m_Links;
  HttpClient m_Client;
  membership::Membership m_Membership;
  membership::DetectionOptions m_Detection;
  Entry m_Entry;
  LeaderDriver m_LeaderHost;
  std::optional<ReplicaDriver> m_Replica;

  // Configuration version that a VM without a replica has read.
  std::uint64_t m_KnownVersion = 0;
  std::uint64_t m_NewestVersion = 0;
  std::uint64_t m_LoggedVersion = 0;
  bool m_ReadingConfiguration = false;
  replica::Role m_LastRole = replica::Role::Uninitialized;
  core::VmId m_LastLeader;
  // The leader whose connection was seen to when it became known.
  core::VmId m_LinkedLeader;
  replica::Members m_LoggedReplicas;
  std::map<core::VmId, membership::Liveness> m_LastLiveness;
  core::Time m_TickAt;
  core::Time m_BeatAt;
  core::Time m_DrainingSince;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_NODE_H
