// Runs a placement pass on the state and turns its decisions into commands.
#ifndef FIREFLYDRIFT_CONTROL_SCHEDULE_H
#define FIREFLYDRIFT_CONTROL_SCHEDULE_H

#include "control/state.h"
#include "placement/pass.h"

namespace fireflydrift::control {

// The decisions of one pass and the commands that carry them out.
struct ScheduleResult {
  std::vector<placement::Decision> m_Decisions;
  std::vector<Command> m_Commands;

  friend bool operator==(const ScheduleResult &,
                         const ScheduleResult &) = default;
};

// Runs a placement pass over the queued jobs at Now. The caller must not run
// the next pass until these commands are applied, or jobs could be placed
// twice.
[[nodiscard]] ScheduleResult
schedule(const State &Current,
         const placement::GuaranteeReservations &Reservations,
         const std::set<core::TargetId> &Unresponsive,
         const placement::PassOptions &Options, core::Time Now);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_SCHEDULE_H
