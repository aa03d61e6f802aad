// What it costs callers when a waiting step is delayed. Used under overload,
// when not all waiting work can be done in time: work whose delay costs its
// callers least is delayed first.
#ifndef FIREFLYDRIFT_ASSIGNMENT_DELAY_COST_H
#define FIREFLYDRIFT_ASSIGNMENT_DELAY_COST_H

#include "assignment/rank.h"

namespace fireflydrift::assignment {

// The value of the workflow's result if it is completed at End, relative to
// that of a result of priority 1 which is in time and takes as much work. Late
// results have half of it, and results after their expiry none.
[[nodiscard]] double resultValue(const workflow::Workflow &Value,
                                 core::Time End);

// The cost of delaying the step, for comparison with that of other steps: the
// value of its workflow's result for each unit of work that remains, less while
// the workflow has slack (the rule of apparent tardiness cost). The value of a
// result is taken to grow with the priority and with the work that it takes, so
// that large jobs get their turn beside small ones; a workflow that is partly
// done goes before one that has yet to begin.
//
// Lookahead is the slack at which the cost has fallen to about a third.
[[nodiscard]] double delayCost(const PendingStep &Value,
                               core::Duration Lookahead, core::Time Now);

// Urgent steps first, as orderByUrgency sorts them; then the others by falling
// cost of delay, those without any by arrival.
void orderByDelayCost(std::vector<PendingStep> &Steps, core::Time Now);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_DELAY_COST_H
