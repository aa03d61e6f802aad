// Looking up runs in the state. Shared by the source files of this package; not
// for use outside it.
#ifndef FIREFLYDRIFT_CONTROL_RUNS_H
#define FIREFLYDRIFT_CONTROL_RUNS_H

#include "control/polling.h"

namespace fireflydrift::control::impl {

// The task, or nullptr when its workflow is not known.
[[nodiscard]] const workflow::Task *findTask(const State &Current,
                                             const workflow::TaskKey &Key);

// True when this very run is assigned to this life and has not ended.
[[nodiscard]] bool isOut(const State &Current, const workflow::TaskKey &Key,
                         std::uint32_t Run, const workflow::TargetInstance &On);

// True when the run, which is out, should go on.
[[nodiscard]] bool isWanted(const PollingState &Self, const State &Current,
                            const workflow::TaskKey &Key, std::uint32_t Run);

// True when the end of the run was proposed and is not durable yet. It may be
// given to another target at any moment.
[[nodiscard]] bool isEnding(const PollingState &Self,
                            const workflow::TaskKey &Key, std::uint32_t Run);

[[nodiscard]] const std::set<workflow::TaskKey> &
assignedTo(const State &Current, const core::TargetId &Id);

// The run as its target reported it last, or nullptr when it does not run.
[[nodiscard]] const roster::RunningTask *
reportedRun(const roster::Report &Value, const workflow::TaskKey &Key,
            std::uint32_t Run);

// True when the run is assigned to this life, and its newest report shows it
// neither as running nor as ended.
[[nodiscard]] bool isUnseen(const State &Current, const roster::Member &On,
                            const workflow::TaskKey &Key, std::uint32_t Run);

// True when the run is assigned to this life, and neither shown by the newest
// report nor wanted there any more.
[[nodiscard]] bool isWithdrawn(const PollingState &Self, const State &Current,
                               const roster::Member &From,
                               const workflow::TaskKey &Key,
                               const workflow::Task &Value);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_RUNS_H
