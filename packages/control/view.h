// Builds the input of an assignment pass from the replicated state and
// the targets that report to the leader. Internal to this package.
#ifndef FIREFLYDRIFT_CONTROL_VIEW_H
#define FIREFLYDRIFT_CONTROL_VIEW_H

#include "control/runs.h"

namespace fireflydrift::control::impl {

struct PassInput {
  std::vector<assignment::TargetInfo> m_Targets;
  std::vector<assignment::PendingStep> m_PendingSteps;

  friend bool operator==(const PassInput &, const PassInput &) = default;
};

// Every schedulable target, and every step that waits for capacity. m_Targets
// stays empty when no step waits, because the pass then has nothing to do.
[[nodiscard]] PassInput makePassInput(const PollingState &Polling,
                                      const State &Current,
                                      const PollingOptions &Options,
                                      core::Time Now);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_VIEW_H
