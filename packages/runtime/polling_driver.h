// The leader's held reports: answers targets that fetch their orders, at once
// or when there is something to tell.
#ifndef FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H
#define FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H

#include "control/polling.h"
#include "runtime/counters.h"

#include <functional>

namespace fireflydrift::runtime {

// Answers one report, once; with nothing when this VM does not lead.
using OnOrders = std::function<void(std::optional<roster::Orders>)>;

class PollingDriver {
public:
  using Propose = std::function<void(std::vector<control::Command>)>;

  PollingDriver(control::PollingOptions Options, Counters &Counts,
                Propose Proposer);

  [[nodiscard]] bool isLeading() const noexcept {
    return m_Polling.has_value();
  }
  // How long nothing is due, at most Most.
  [[nodiscard]] core::Duration quietFor(core::Time Now,
                                        core::Duration Most) const;

  // Takes over. Fence rises with each leadership.
  void begin(std::uint64_t Fence, core::Time Now);
  void end();
  void report(roster::Report Value, OnOrders Answer,
              const control::State &State, core::Time Now);
  void leave(const core::TargetId &Id,
             std::optional<std::uint64_t> Incarnation);
  void onApplied(const control::ApplyResult &Result,
                 const control::State &State);
  // Passes when MayPass; returns true when a pass proposed something.
  bool tick(const control::State &State, bool MayPass, core::Time Now);

private:
  struct Held {
    OnOrders m_Answer;
    core::Time m_ReportedAt;
    core::Time m_Until;
  };

  void answer(const core::TargetId &Id, const Held &Value,
              const roster::Orders &Orders, const control::State &State,
              core::Time Now);
  void answerHeld(const control::State &State, core::Time Now);
  void logOrders(const core::TargetId &Id, const roster::Orders &Orders);

  control::PollingOptions m_Options;
  Counters &m_Counters;
  Propose m_Propose;
  std::optional<control::PollingState> m_Polling;
  std::uint64_t m_Fence = 0;
  std::map<core::TargetId, Held> m_Held;
  // Something changed that held reports may be waiting for.
  bool m_News = false;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_POLLING_DRIVER_H
