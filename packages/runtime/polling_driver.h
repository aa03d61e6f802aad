// Long polling of targets that fetch their orders: the leader answers a report
// at once, or holds it until there are orders to send.
#ifndef FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H
#define FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H

#include "control/polling.h"
#include "runtime/refusals.h"

#include <functional>
#include <set>

namespace fireflydrift::runtime {

// Receives the orders for one report, exactly once; nullopt when this VM does
// not lead, a newer report has replaced this one, or the target is no longer
// known.
using OrdersCallback = std::function<void(std::optional<roster::Orders>)>;

struct PollingCallbacks {
  std::function<void(std::vector<control::Command>)> m_Propose;
  // True while this VM may act as leader, by the time at the call.
  std::function<bool()> m_HoldsLease;
};

class PollingDriver {
public:
  PollingDriver(control::PollingOptions Options, Counters &Metrics,
                PollingCallbacks Callbacks);

  [[nodiscard]] bool isLeading() const noexcept {
    return m_Polling.has_value();
  }
  // As control::checkFailureDomain; must be leading.
  [[nodiscard]] core::Reason
  checkFailureDomain(const std::string &FailureDomain,
                     const control::State &State, core::Time Now) const;
  // Time until work is due, at least 1 ms and at most MaxWait.
  [[nodiscard]] core::Duration timeUntilDue(core::Time Now,
                                            core::Duration MaxWait) const;

  // Starts leading. The fencing token rises with each leadership.
  void begin(std::uint64_t FencingToken, core::Time Now);
  void end();
  void report(roster::Report Value, OrdersCallback Answer,
              const control::State &State, core::Time Now);
  void leave(const roster::Departure &Value);
  void onApplied(const control::ApplyResult &Result,
                 const control::State &State);
  // Ends the runs of lost targets, runs an assignment pass if MayPass is true
  // and one is due, and answers the pending reports that have orders or were
  // held for their longest time. Returns true when commands were proposed.
  bool tick(const control::State &State, bool MayPass, core::Time Now);

private:
  struct PendingReport {
    OrdersCallback m_Answer;
    core::Time m_ReportedAt;
    core::Time m_Until;
  };

  void answer(const core::TargetId &Id, const PendingReport &Value,
              const roster::Orders &Orders, const control::State &State,
              core::Time Now);
  void hold(const core::TargetId &Id, PendingReport Value);
  [[nodiscard]] std::optional<PendingReport> take(const core::TargetId &Id);
  void markAffected(const control::State &State,
                    const core::RequestId &Workflow);
  void answerPending(const control::State &State, core::Time Now);
  void answerIfDue(const core::TargetId &Id, const control::State &State,
                   core::Time Now);
  void countStale(const roster::Report &Value, core::Time Now);
  void refuse(const roster::Report &Value, roster::ReportVerdict Verdict,
              core::Time Now);
  void recordWithdrawals(const std::vector<control::Withdrawal> &All,
                         const control::State &State);
  void logOrders(const core::TargetId &Id, const roster::Orders &Orders);

  control::PollingOptions m_Options;
  Counters &m_Counters;
  PollingCallbacks m_Callbacks;
  std::optional<control::PollingState> m_Polling;
  std::uint64_t m_FencingToken = 0;
  std::map<core::TargetId, PendingReport> m_PendingReports;
  // The pending reports by the time at which they are answered at the latest.
  std::set<std::pair<core::Time, core::TargetId>> m_Deadlines;
  // Targets whose orders may have changed since they were last looked at.
  std::set<core::TargetId> m_Affected;
  RefusalLimiter m_Refusals;
  core::Time m_StaleLoggedAt;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H
