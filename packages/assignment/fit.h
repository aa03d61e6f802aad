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

// Targets that match the pool and label of the step, regardless of their free
// capacity.
[[nodiscard]] TargetIndexes
eligibleTargets(const std::vector<TargetInfo> &Targets,
                const PendingStep &Pending);

// The target of each task of a gang; empty when the gang does not fit. If
// needsOneRack is true, all of them are on one rack.
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

// True when the gang asks for one rack, may not use several, and some rack
// would be large enough if it were empty.
[[nodiscard]] bool needsOneRack(const std::vector<TargetInfo> &Targets,
                                const TargetIndexes &Eligible,
                                const PendingStep &Pending);

// Number of tasks of the step that fit into the capacity available on a target.
[[nodiscard]] std::uint32_t countFits(const core::Capacity &Available,
                                      const workflow::StepSpec &Step) noexcept;

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_FIT_H
