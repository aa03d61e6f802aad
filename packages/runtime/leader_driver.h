// What a VM does while it leads: decides operations, proposes commands, calls
// targets, and replies once commands are durable.
#ifndef FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H
#define FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H

#include "control/leader.h"
#include "control/operation.h"
#include "runtime/counters.h"
#include "runtime/polling_driver.h"

#include <functional>

namespace fireflydrift::runtime {

// Where an operation came from: a VM and its number there.
struct Origin {
  core::VmId m_Vm;
  std::uint64_t m_Id = 0;

  friend bool operator==(const Origin &, const Origin &) = default;
  friend auto operator<=>(const Origin &, const Origin &) = default;
};

// How the leader acts on the outside.
struct LeaderHooks {
  // Appends a batch to the log and returns its index.
  std::function<std::uint64_t(const control::Batch &)> m_Propose;
  std::function<void(const control::Call &)> m_Call;
  std::function<void(const Origin &, control::Reply)> m_Reply;
  // Tells the origin that this VM does not lead.
  std::function<void(const Origin &)> m_Bounce;
  // Fills in the parts of a status that other parts of the VM know.
  std::function<void(control::StatusView &)> m_CompleteStatus;
};

class LeaderDriver {
public:
  // Shortest time between two rounds of the leader's duties.
  static constexpr core::Duration TurnEvery{2};
  LeaderDriver(control::LeaderOptions Options, Counters &Counts,
               LeaderHooks Hooks);

  [[nodiscard]] bool isLeading() const noexcept { return m_Leader.has_value(); }
  // True when a turn would have something to do at once.
  [[nodiscard]] bool hasWork(const control::State &State) const;
  [[nodiscard]] std::size_t waiting() const noexcept {
    return m_AwaitApplied.size() + m_Fetches.size();
  }

  // The targets that fetch their orders.
  [[nodiscard]] PollingDriver &polls() noexcept { return m_Polls; }
  [[nodiscard]] const PollingDriver &polls() const noexcept { return m_Polls; }
  // The term in which this VM leads; meaningful while it does.
  [[nodiscard]] std::uint64_t term() const noexcept { return m_Term; }

  // Takes over at Now in a term, when State holds everything committed.
  void begin(const control::State &State, std::uint64_t Term, core::Time Now);
  // Sends every waiting operation back to where it came from.
  void end();
  void decide(const Origin &From, const control::Operation &Value,
              const control::State &State, core::Time Now);
  void onApplied(std::uint64_t Index, const control::ApplyResult &Result,
                 const control::State &State, core::Time Now);
  void onCallReply(const control::CallReply &Reply, const control::State &State,
                   core::Time Now);
  // Returns true when the entry VM must send a full summary.
  [[nodiscard]] bool told(const core::VmId &Entry,
                          const routing::HeartbeatSummary &Value,
                          core::Time Now);
  // Targets of the entry VM that were given up and are heard all the same.
  [[nodiscard]] std::vector<core::TargetId>
  lostTargetsStillHeard(const core::VmId &Entry,
                        const control::State &State) const;
  void tick(const control::State &State, core::Time Now);
  // Proposes everything that was decided since the last call, as one batch.
  void flush(core::Time Now);

private:
  struct Waiter {
    Origin m_Origin;
    control::Operation m_Operation;
  };
  struct FetchWaiter {
    core::JobKey m_Job;
    core::Time m_Until;
  };
  using Waiters = std::vector<std::optional<Waiter>>;

  void propose(std::vector<control::Command> Commands,
               std::optional<Waiter> Waiting);
  void carryOut(control::LeaderStep Step);
  [[nodiscard]] bool waitForOutcome(const Origin &From,
                                    const control::Operation &Value,
                                    const control::State &State,
                                    core::Time Now);
  void answerFetches(const control::ApplyResult &Result,
                     const control::State &State);
  void expireFetches(const control::State &State, core::Time Now);
  void logNews(const placement::Decision &Value);
  void logChanges(const control::ApplyResult &Result,
                  const control::State &State);
  void observeStarts(const control::ApplyResult &Result,
                     const control::State &State);
  void logWorkflows(const control::ApplyResult &Result,
                    const control::State &State);
  void logGuarantees();
  [[nodiscard]] control::Reply complete(control::Reply Value,
                                        const control::Operation &For) const;

  control::LeaderOptions m_Options;
  Counters &m_Counters;
  LeaderHooks m_Hooks;
  PollingDriver m_Polls;
  std::optional<control::Leader> m_Leader;
  std::uint64_t m_Term = 0;
  std::vector<control::Command> m_Proposals;
  Waiters m_ProposalWaiters;
  std::map<std::uint64_t, Waiters> m_AwaitApplied;
  // When each batch that is not applied yet was proposed.
  std::map<std::uint64_t, core::Time> m_ProposedAt;
  std::map<Origin, FetchWaiter> m_Fetches;
  // The newest batch that holds a pass's commands; passes wait for it.
  std::uint64_t m_PassIndex = 0;
  std::uint64_t m_AppliedIndex = 0;
  bool m_PassProposed = false;
  // The same for passes over workflows.
  std::uint64_t m_PollPassIndex = 0;
  bool m_PollPassProposed = false;
  std::set<placement::GuaranteeKey> m_Missing;
  core::Time m_TurnAt;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_LEADER_DRIVER_H
