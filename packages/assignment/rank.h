// The order in which waiting steps are served.
#ifndef FIREFLYDRIFT_ASSIGNMENT_RANK_H
#define FIREFLYDRIFT_ASSIGNMENT_RANK_H

#include "assignment/view.h"

namespace fireflydrift::assignment {

// An order puts demands into the sequence in which they are served at Now.
using Order = void (*)(std::vector<PendingStep> &, core::Time);

// The product's order. Priority zero first, and of it what its workspace has
// reserved room for; among equals what can still
// meet its objective goes before what is late, and what is late before what
// is worth nothing any more; then the one that must start soonest.
//
// It answers an overload of long work: time is not spent on workflows that
// miss their objective anyway while others could still meet theirs.
void orderByUrgency(std::vector<PendingStep> &All, core::Time Now);
// Baseline: order of arrival.
void orderByArrival(std::vector<PendingStep> &All, core::Time Now);

// When the workflow should be completed.
[[nodiscard]] core::Time objectiveOf(const workflow::Workflow &Value);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_RANK_H
