// Sort orders of waiting steps.
#ifndef FIREFLYDRIFT_ASSIGNMENT_RANK_H
#define FIREFLYDRIFT_ASSIGNMENT_RANK_H

#include "assignment/view.h"

namespace fireflydrift::assignment {

// Sorts steps into the sequence in which a pass at the given time serves them.
using Order = void (*)(std::vector<PendingStep> &, core::Time);

// The product's order. Priority zero goes first, and of it the steps within the
// capacity reserved by their workspace. Among equals, workflows that can still
// meet their latency objective go before late ones, and late ones before
// expired ones; then the step with the earliest latest start time.
//
// Under an overload of long work, workflows that miss their objective anyway
// thus get no capacity that others need to meet theirs.
void orderByUrgency(std::vector<PendingStep> &Steps, core::Time Now);
// Baseline: order of arrival.
void orderByArrival(std::vector<PendingStep> &Steps, core::Time Now);

// The time by which the workflow should be completed.
[[nodiscard]] core::Time objectiveOf(const workflow::Workflow &Value);
// The time from which the workflow's result is of no use to its caller.
[[nodiscard]] core::Time expiryOf(const workflow::Workflow &Value);

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_RANK_H
