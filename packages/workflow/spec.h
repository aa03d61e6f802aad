// What a caller asks for: a job of steps, each of one or more tasks.
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
// Largest body of a workflow, in bytes.
inline constexpr std::size_t MaxBodyBytes = 262144;

// One step: tasks that ask for the same capacity.
struct StepSpec {
  std::uint32_t m_Tasks = 1;
  core::Capacity m_PerTask;
  // Declared run time of one task; a rough prior, not a limit.
  core::Duration m_RunTime{0};
  // Earlier steps, all of whose tasks must be done first.
  std::vector<std::uint32_t> m_Dependencies;
  // The tasks work only together and end together.
  bool m_Gang = false;
  // The tasks run much longer when they are spread over several racks.
  bool m_RackAffinity = false;
  // The tasks save their progress and can go on from it.
  bool m_Checkpoints = false;
  // The tasks run until the workflow is cancelled.
  bool m_LongRunning = false;
  // Most tasks of the step on one target; zero for no limit.
  std::uint32_t m_MaxPerTarget = 0;
  // A label that the target must have; empty for none.
  std::string m_RequiredLabel;
  // The rack where the data is; elsewhere the tasks run much longer.
  std::string m_DataRack;

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
  friend auto operator<=>(const StepSpec &, const StepSpec &) = default;
};

// The terms of the queue at the time at which the workflow was accepted. They
// hold until its end, whatever becomes of the queue.
struct QueuePolicy {
  std::string m_Queue;
  // The pool of targets that may run its tasks.
  std::string m_Pool;
  // Zero goes first and may displace others.
  std::uint32_t m_Priority = 0;
  // Failed runs of a task, or of a gang, after which the workflow has failed.
  std::uint32_t m_MaxAttempts = 1;
  // The objective: this many hundredths of the longest chain of work, and the
  // latency on top.
  std::uint32_t m_SlackPercent = 100;
  core::Duration m_TargetLatency{0};

  friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
  friend auto operator<=>(const QueuePolicy &, const QueuePolicy &) = default;
};

struct WorkflowSpec {
  core::RequestId m_Id;
  // Empty where the queue is open to everyone.
  core::WorkspaceId m_Workspace;
  QueuePolicy m_Policy;
  // Handed to each task as it is.
  std::string m_Body;
  std::vector<StepSpec> m_Steps;

  friend bool operator==(const WorkflowSpec &, const WorkflowSpec &) = default;
  friend auto operator<=>(const WorkflowSpec &, const WorkflowSpec &) = default;
};

// Checks every field; the reason names the first that breaks a rule.
[[nodiscard]] core::Reason check(const WorkflowSpec &Spec);

// Declared run time of the longest chain of steps, with everything at once.
[[nodiscard]] core::Duration criticalPathTime(const WorkflowSpec &Spec);

} // namespace fireflydrift::workflow

#endif // FIREFLYDRIFT_WORKFLOW_SPEC_H
