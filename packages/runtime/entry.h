// The entry role of a VM: holds the operations of callers, forwards them to the
// leader, and collects heartbeats of targets.
#ifndef FIREFLYDRIFT_RUNTIME_ENTRY_H
#define FIREFLYDRIFT_RUNTIME_ENTRY_H

#include "messages/codec.h"
#include "messages/json.h"
#include "routing/admission.h"
#include "routing/forwarding.h"
#include "runtime/counters.h"

#include <functional>

namespace fireflydrift::runtime {

struct EntryOptions {
  routing::AdmissionOptions m_Admission;
  routing::RetryOptions m_Retry;
  routing::HeartbeatOptions m_Heartbeats;
  // Time limit for deciding an operation, on top of the wait that the
  // operation itself asks for.
  core::Duration m_OperationTimeout{10000};
  // Lease duration in the reply to a target's report while a leader is known.
  core::Duration m_TargetLease{15000};
  // The ids of operations count up from here. It must differ in each process of
  // a VM: the leader addresses replies to the VM, so a reply to an operation of
  // an earlier process may still arrive and must match no operation of this
  // one.
  std::uint64_t m_FirstOperation = 1;

  friend bool operator==(const EntryOptions &, const EntryOptions &) = default;
};

class Entry {
public:
  using Send = std::function<void(const core::VmId &, messages::Body)>;
  using ReplyCallback = std::function<void(control::Reply)>;

  Entry(EntryOptions Options, Counters &Metrics, Send SendCallback);

  [[nodiscard]] const routing::Admission &admission() const noexcept {
    return m_Admission;
  }
  [[nodiscard]] std::size_t pendingCount() const noexcept {
    return m_Pending.size();
  }
  // The reason to reject a request of the workspace at Now; code None admits
  // it.
  [[nodiscard]] core::Reason checkAdmission(const core::WorkspaceId &Id,
                                            core::Time Now) const;
  // The reason why this VM can't hold another request, whatever its workspace;
  // code None while it can.
  [[nodiscard]] core::Reason checkCapacity() const;
  // The reply to a target's report.
  [[nodiscard]] messages::ReportReply reportReply(const core::TargetId &Id,
                                                  core::Time Now) const;

  // True while the last recorded heartbeat of a leader is no older than the
  // leader timeout.
  [[nodiscard]] bool hasCurrentLeader(core::Time Now) const {
    return Now - m_Admission.m_LastLeaderHeartbeatAt <=
           m_Options.m_Admission.m_LeaderTimeout;
  }

  // Holds an operation until its reply arrives or its deadline passes, and
  // calls back exactly once. Timeout replaces m_OperationTimeout.
  void submit(control::Operation Value, const core::WorkspaceId &Workspace,
              ReplyCallback Callback, core::Time Now,
              std::optional<core::Duration> Timeout = std::nullopt);
  void complete(std::uint64_t Id, control::Reply Value, core::Time Now);
  void onNotLeader(std::uint64_t Id, core::Time Now);
  // Sends those of the operations again that have no reply yet, because a
  // connection to the VM broke before it had acknowledged them.
  void onUnacknowledged(const core::VmId &To,
                        const std::vector<std::uint64_t> &Ids, core::Time Now);
  // Records a heartbeat of a leader that holds its lease and whose
  // configuration is no newer than this VM's.
  void recordLeaderHeartbeat(core::Time Now);
  void recordTargetHeartbeat(const core::TargetId &Id, core::Time Now);
  void recordAnnouncement(const core::TargetId &Id);
  // Makes a target announce itself again, because the leader declared it lost.
  void requireReannouncement(const core::TargetId &Id) {
    m_Announced.erase(Id);
  }
  // Makes the next heartbeat summary a full one, as the leader requested.
  void requestFullSummary() noexcept { m_FullSummary = true; }
  void drain() noexcept { m_Admission.m_Draining = true; }
  // Sends the operations and the heartbeat summary that are due to the leader,
  // which may be this VM itself.
  void tick(const core::VmId &Leader, core::Time Now);

private:
  struct PendingRequest {
    control::Operation m_Operation;
    core::WorkspaceId m_Workspace;
    ReplyCallback m_Callback;
    core::Time m_Since;
  };

  void forward(const core::VmId &Leader, core::Time Now);
  void sendHeartbeatSummary(const core::VmId &Leader, core::Time Now);

  EntryOptions m_Options;
  Counters &m_Counters;
  Send m_Send;
  routing::Admission m_Admission;
  routing::Forwarding m_Forwarding;
  routing::EntryHeartbeats m_Heartbeats;
  std::map<std::uint64_t, PendingRequest> m_Pending;
  std::uint64_t m_NextId;
  core::VmId m_SummaryLeader;
  bool m_FullSummary = true;
  std::set<core::TargetId> m_Announced;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_ENTRY_H
