// The leader's placement pass, from state to commands.
#ifndef FIREFLYDRIFT_CONTROL_SCHEDULE_H
#define FIREFLYDRIFT_CONTROL_SCHEDULE_H

#include "control/state.h"
#include "placement/pass.h"

namespace fireflydrift::control {

// What one pass decided and the commands that carry it out.
struct Scheduled {
  std::vector<placement::Decision> m_Decisions;
  std::vector<Command> m_Commands;

  friend bool operator==(const Scheduled &, const Scheduled &) = default;
};

// Decides about queued jobs at Now. The caller runs the next pass only once
// these commands are applied, so that nothing is placed twice.
[[nodiscard]] Scheduled
schedule(const State &Current,
         const placement::GuaranteeReservations &Witnesses,
         const std::set<core::TargetId> &Silent,
         const placement::PassOptions &Options, core::Time Now);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_SCHEDULE_H
