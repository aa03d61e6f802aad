// Builds the input of an assignment pass from the state and the roster.
// Internal to this package.
#ifndef FIREFLYDRIFT_CONTROL_VIEW_H
#define FIREFLYDRIFT_CONTROL_VIEW_H

#include "control/runs.h"

namespace fireflydrift::control::impl {

struct PassView {
  std::vector<assignment::TargetInfo> m_Targets;
  std::vector<assignment::PendingStep> m_PendingSteps;

  friend bool operator==(const PassView &, const PassView &) = default;
};

// Every schedulable target, and every step that waits for capacity. Targets are
// left out when no step waits.
[[nodiscard]] PassView viewOf(const PollingState &Polling, const State &Current,
                              const PollingOptions &Options, core::Time Now);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_VIEW_H
