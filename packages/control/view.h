// What an assignment pass looks at, made from the state and the roster. Not for
// use outside this package.
#ifndef FIREFLYDRIFT_CONTROL_VIEW_H
#define FIREFLYDRIFT_CONTROL_VIEW_H

#include "control/runs.h"

namespace fireflydrift::control::impl {

struct PassView {
  std::vector<assignment::TargetInfo> m_Rooms;
  std::vector<assignment::PendingStep> m_Demands;

  friend bool operator==(const PassView &, const PassView &) = default;
};

// Every open target, and every step that waits for room.
[[nodiscard]] PassView viewOf(const PollingState &Self, const State &Current,
                              const PollingOptions &Options, core::Time Now);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_VIEW_H
