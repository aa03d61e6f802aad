// Runs the leader's control logic on a VM that leads: decides operations,
// proposes commands, calls targets, and replies once commands are durable.
#ifndef FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H
#define FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H

#include "control/leader.h"
#include "control/operation.h"
#include "runtime/counters.h"
#include "runtime/polling_driver.h"

#include <functional>

namespace fireflydrift::runtime {

// The VM that forwarded an operation, and the operation's id on that VM.
struct Origin {
  core::VmId m_Vm;
  std::uint64_t m_Id = 0;

  friend bool operator==(const Origin &, const Origin &) = default;
  friend auto operator<=>(const Origin &, const Origin &) = default;
};

// Callbacks through which the leader reaches the log, targets and other VMs.
struct LeaderCallbacks {
  // Appends a batch to the log and returns its index.
  std::function<std::uint64_t(const control::Batch &)> m_Propose;
  // True while this VM may act as leader, by the time at the call.
  std::function<bool()> m_HoldsLease;
  std::function<void(const control::Call &)> m_Call;
  std::function<void(const Origin &, control::Reply)> m_Reply;
  // Replies to the origin that this VM is not the leader.
  std::function<void(const Origin &)> m_RejectNotLeader;
  // Fills in the status fields that the control state does not hold.
  std::function<void(control::StatusView &)> m_CompleteStatus;
};

class LeaderDriver {
public:
  // Minimum time between two ticks of the leader.
  static constexpr core::Duration TickInterval{2};
  LeaderDriver(control::LeaderOptions Options, Counters &Metrics,
               LeaderCallbacks Callbacks);

  [[nodiscard]] bool isLeading() const noexcept { return m_Leader.has_value(); }
  // True when the next tick has work to do immediately.
  [[nodiscard]] bool hasWork(const control::State &State) const;
  // Number of proposed batches that are not applied yet, plus the fetches that
  // wait for an outcome.
  [[nodiscard]] std::size_t pendingCount() const noexcept {
    return m_PendingByIndex.size() + m_Fetches.size();
  }

  // The driver for targets that fetch their orders by long polling.
  [[nodiscard]] PollingDriver &polling() noexcept { return m_Polling; }
  [[nodiscard]] const PollingDriver &polling() const noexcept {
    return m_Polling;
  }
  // The term in which this VM leads; meaningful only while it leads.
  [[nodiscard]] std::uint64_t term() const noexcept { return m_Term; }

  // Becomes the leader of a term at Now. State must hold every committed
  // command.
  void begin(const control::State &State, std::uint64_t Term, core::Time Now);
  // Stops leading and tells the origin of every pending operation that this VM
  // is not the leader.
  void end();
  void decide(const Origin &From, const control::Operation &Value,
              const control::State &State, core::Time Now);
  void onApplied(std::uint64_t Index, const control::ApplyResult &Result,
                 const control::State &State, core::Time Now);
  void onCallReply(const control::CallReply &Reply, const control::State &State,
                   core::Time Now);
  // Applies an entry VM's heartbeat summary. Returns true when the entry VM
  // must send a full one.
  [[nodiscard]] bool onHeartbeatSummary(const core::VmId &Entry,
                                        const routing::HeartbeatSummary &Value,
                                        core::Time Now);
  // Targets that were declared lost although the entry VM still receives
  // their heartbeats.
  [[nodiscard]] std::vector<core::TargetId>
  lostTargetsStillHeard(const core::VmId &Entry,
                        const control::State &State) const;
  void tick(const control::State &State, core::Time Now);
  // Proposes everything that was decided since the last call, as one batch.
  void flush(core::Time Now);

private:
  struct PendingOperation {
    Origin m_Origin;
    control::Operation m_Operation;
  };
  struct PendingFetch {
    core::JobKey m_Job;
    core::Time m_Until;
  };
  using PendingOperations = std::vector<std::optional<PendingOperation>>;

  void propose(std::vector<control::Command> Commands,
               std::optional<PendingOperation> Pending);
  void execute(control::LeaderStep Step);
  [[nodiscard]] bool waitForOutcome(const Origin &From,
                                    const control::Operation &Value,
                                    const control::State &State,
                                    core::Time Now);
  // Why the operation concerns no failure domain that this leader knows; code
  // None when it does, or concerns none at all.
  [[nodiscard]] core::Reason checkDomain(const control::Operation &Value,
                                         const control::State &State,
                                         core::Time Now) const;
  void answerFetches(const control::ApplyResult &Result,
                     const control::State &State);
  void expireFetches(const control::State &State, core::Time Now);
  void logDecision(const placement::Decision &Value);
  void logJobChanges(const control::ApplyResult &Result,
                     const control::State &State);
  void recordStartLatency(const control::ApplyResult &Result,
                          const control::State &State);
  void logWorkflows(const control::ApplyResult &Result,
                    const control::State &State);
  void logGuarantees();
  [[nodiscard]] control::Reply
  complete(control::Reply Value, const control::Operation &Operation) const;

  control::LeaderOptions m_Options;
  Counters &m_Counters;
  LeaderCallbacks m_Callbacks;
  PollingDriver m_Polling;
  std::optional<control::Leader> m_Leader;
  std::uint64_t m_Term = 0;
  std::vector<control::Command> m_Proposals;
  PendingOperations m_ProposalOperations;
  std::map<std::uint64_t, PendingOperations> m_PendingByIndex;
  // Proposal time of each batch that is not applied yet, by log index.
  std::map<std::uint64_t, core::Time> m_ProposedAt;
  std::map<Origin, PendingFetch> m_Fetches;
  // Log index of the newest batch that may contain commands of a placement
  // pass. The next pass waits until it is applied.
  std::uint64_t m_JobPassIndex = 0;
  std::uint64_t m_AppliedIndex = 0;
  // True while commands of a placement pass may wait for flush().
  bool m_JobPassProposed = false;
  // The same for assignment passes over workflows.
  std::uint64_t m_WorkflowPassIndex = 0;
  bool m_WorkflowPassProposed = false;
  std::set<placement::GuaranteeKey> m_MissingGuarantees;
  core::Time m_LastTickAt;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H
