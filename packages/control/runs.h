// Queries about the runs of tasks. Internal to this package.
#ifndef FIREFLYDRIFT_CONTROL_RUNS_H
#define FIREFLYDRIFT_CONTROL_RUNS_H

#include "control/polling.h"

namespace fireflydrift::control::impl {

// The task, or nullptr when its workflow is unknown or has no such task.
[[nodiscard]] const workflow::Task *findTask(const State &Current,
                                             const workflow::TaskKey &Key);

// True when exactly this run is assigned to this target instance and has not
// ended.
[[nodiscard]] bool isAssignedRun(const State &Current,
                                 const workflow::TaskKey &Key,
                                 std::uint32_t Run,
                                 const workflow::TargetInstance &Instance);

// True when the assigned run should be started or keep running.
[[nodiscard]] bool shouldRun(const PollingState &Polling, const State &Current,
                             const workflow::TaskKey &Key, std::uint32_t Run);

// True when the end of the run was proposed and is not durable yet. Once it is,
// the task may be assigned to another target.
[[nodiscard]] bool isEndProposed(const PollingState &Polling,
                                 const workflow::TaskKey &Key,
                                 std::uint32_t Run);

[[nodiscard]] const std::set<workflow::TaskKey> &
assignedTo(const State &Current, const core::TargetId &Id);

// The run as listed in the report, or nullptr when the report does not list it
// as running.
[[nodiscard]] const roster::RunningTask *
reportedRun(const roster::Report &Value, const workflow::TaskKey &Key,
            std::uint32_t Run);

// True when the run is assigned to this target instance, and the newest report
// lists it neither as running nor as ended.
[[nodiscard]] bool isUnreported(const State &Current,
                                const roster::Member &Target,
                                const workflow::TaskKey &Key,
                                std::uint32_t Run);

// Time before a target's departure at which the runs on it are stopped.
[[nodiscard]] core::Duration departureLead(const PollingOptions &Options);

// True when no new run may start on the target: it is draining, or its failure
// domain is evacuated.
[[nodiscard]] bool acceptsNoRuns(const State &Current,
                                 const roster::Member &Target);

// True when the run is assigned to this target instance and missing from the
// newest report, and should not run there, for example because the target is
// draining.
[[nodiscard]] bool isUnreportedAndStopped(const PollingState &Polling,
                                          const State &Current,
                                          const roster::Member &Target,
                                          const workflow::TaskKey &Key,
                                          const workflow::Task &Value);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_RUNS_H
