// Fits the tasks of one step onto the available targets.
#ifndef FIREFLYDRIFT_ASSIGNMENT_FIT_H
#define FIREFLYDRIFT_ASSIGNMENT_FIT_H

#include "assignment/view.h"

namespace fireflydrift::assignment {

// Selects which capacity of a target counts as available.
using CapacityOf = core::Capacity (*)(const TargetInfo &);

[[nodiscard]] core::Capacity freeNow(const TargetInfo &Value);
// Free capacity plus the capacity that is being released.
[[nodiscard]] core::Capacity freeAfterRelease(const TargetInfo &Value);
// Total capacity, as if nothing ran on the target.
[[nodiscard]] core::Capacity freeWhenEmpty(const TargetInfo &Value);

// Targets, by their index in the list of all targets.
using TargetIndexes = std::vector<std::size_t>;

// Targets that match the pool and label of the step, whatever is free there.
[[nodiscard]] TargetIndexes
eligibleTargets(const std::vector<TargetInfo> &Targets,
                const PendingStep &Pending);

// The target of each task of a gang; empty when the gang does not fit. A gang
// that asks for one rack gets the fullest rack that can hold it.
[[nodiscard]] TargetIndexes fitGang(const std::vector<TargetInfo> &Targets,
                                    const TargetIndexes &Eligible,
                                    const PendingStep &Pending,
                                    CapacityOf Capacity);

// The target of each of the first waiting tasks, as many as fit.
[[nodiscard]] TargetIndexes fitSingles(const std::vector<TargetInfo> &Targets,
                                       const TargetIndexes &Eligible,
                                       const PendingStep &Pending,
                                       CapacityOf Capacity);

// The target of each waiting task: all or none of a gang, else as many as fit.
[[nodiscard]] TargetIndexes fit(const std::vector<TargetInfo> &Targets,
                                const TargetIndexes &Eligible,
                                const PendingStep &Pending,
                                CapacityOf Capacity);

// Groups of targets, in one of which the whole step has to fit: the racks for a
// gang that needs one rack, else all eligible targets as one group.
[[nodiscard]] std::vector<TargetIndexes>
placementGroups(const std::vector<TargetInfo> &Targets,
                const TargetIndexes &Eligible, const PendingStep &Pending);

// True when the gang asks for one rack and some rack is large enough.
[[nodiscard]] bool needsOneRack(const std::vector<TargetInfo> &Targets,
                                const TargetIndexes &Eligible,
                                const PendingStep &Pending);

// Number of tasks of the step that fit into the capacity available on a target.
[[nodiscard]] std::uint32_t countFits(const core::Capacity &Available,
                                      const workflow::StepSpec &Step) noexcept;

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_FIT_H
