// The specification of a workflow: steps of one or more tasks each.
#ifndef FIREFLYDRIFT_WORKFLOW_SPEC_H
#define FIREFLYDRIFT_WORKFLOW_SPEC_H

#include "core/ids.h"
#include "core/outcome.h"
#include "core/shape.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflydrift::workflow {

inline constexpr std::size_t MaxSteps = 256;
inline constexpr std::uint32_t MaxTasksPerStep = 4096;
// Maximum size of a workflow's body, in bytes.
inline constexpr std::size_t MaxBodyBytes = 262144;

// One step: tasks that request the same capacity.
struct StepSpec {
  std::uint32_t m_Tasks = 1;
  core::Capacity m_PerTask;
  // Declared run time of one task; a rough scheduling estimate, not a limit.
  core::Duration m_RunTime{0};
  // Indexes of earlier steps, all of whose tasks must be done first.
  std::vector<std::uint32_t> m_Dependencies;
  // The tasks form a gang: they run only together and end together.
  bool m_Gang = false;
  // The tasks run much longer when they are placed on several racks.
  bool m_RackAffinity = false;
  // The tasks write checkpoints and can resume from them.
  bool m_Checkpoints = false;
  // The tasks run until the workflow is cancelled.
  bool m_LongRunning = false;
  // Maximum number of the step's tasks on one target; zero for no limit.
  std::uint32_t m_MaxPerTarget = 0;
  // A label that the target must have; empty for none.
  std::string m_RequiredLabel;
  // The rack that holds the data; on other racks the tasks run much longer.
  // Empty for none.
  std::string m_DataRack;

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
  friend auto operator<=>(const StepSpec &, const StepSpec &) = default;
};

// The queue's policy, copied when the workflow is accepted. Later changes to
// the queue do not affect the workflow.
struct QueuePolicy {
  std::string m_Queue;
  // The pool of targets that may run the workflow's tasks.
  std::string m_Pool;
  // Zero is the highest priority and may preempt others.
  std::uint32_t m_Priority = 0;
  // The workflow fails after this many failed runs of one task or gang. Failed
  // runs of long-running steps are not counted.
  std::uint32_t m_MaxAttempts = 1;
  // The completion time objective is this percentage of the critical path's run
  // time, plus m_TargetLatency.
  std::uint32_t m_SlackPercent = 100;
  core::Duration m_TargetLatency{0};

  friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
  friend auto operator<=>(const QueuePolicy &, const QueuePolicy &) = default;
};

struct WorkflowSpec {
  core::RequestId m_Id;
  // Empty when the queue is public.
  core::WorkspaceId m_Workspace;
  QueuePolicy m_Policy;
  // Passed to each task unchanged.
  std::string m_Body;
  std::vector<StepSpec> m_Steps;

  friend bool operator==(const WorkflowSpec &, const WorkflowSpec &) = default;
  friend auto operator<=>(const WorkflowSpec &, const WorkflowSpec &) = default;
};

// Validates the id, the size of the body and the steps. The reason names the
// first invalid field; code None when all are valid.
[[nodiscard]] core::Reason check(const WorkflowSpec &Spec);

// Declared run time of the critical path over the steps' dependencies, with
// unlimited capacity.
[[nodiscard]] core::Duration criticalPathTime(const WorkflowSpec &Spec);

} // namespace fireflydrift::workflow

#endif // FIREFLYDRIFT_WORKFLOW_SPEC_H
