// The workflow aggregate: the lifecycle of a request with steps, from
// acceptance to its outcome.
//
// Each task has numbered runs. A run is assigned to one instance of a target
// and ends exactly once; only then may the task run again, under a higher
// number. A gang runs again only after the runs of all its members have ended.
#ifndef FIREFLYDRIFT_WORKFLOW_WORKFLOW_H
#define FIREFLYDRIFT_WORKFLOW_WORKFLOW_H

#include "workflow/spec.h"

#include <variant>

namespace fireflydrift::workflow {

// ---- Keys ------------------------------------------------------------------

// One task of one step of a workflow.
struct TaskKey {
  core::RequestId m_Workflow;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;

  friend bool operator==(const TaskKey &, const TaskKey &) = default;
  friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

// One instance of a target; a restart of its process begins a new instance.
struct TargetInstance {
  core::TargetId m_Target;
  std::uint64_t m_Incarnation = 0;

  friend bool operator==(const TargetInstance &,
                         const TargetInstance &) = default;
  friend auto operator<=>(const TargetInstance &,
                          const TargetInstance &) = default;
};

[[nodiscard]] std::string toString(const TaskKey &Key);

// ---- Tasks and steps -------------------------------------------------------

enum class TaskPhase : std::uint8_t {
  // Waits for earlier steps, for other work that is ahead of it, for capacity
  // or for the rest of its gang.
  Waiting,
  // A run is assigned to a target and has not ended.
  Assigned,
  Done,
};

struct Task {
  TaskPhase m_Phase = TaskPhase::Waiting;
  // Highest run number assigned so far; zero before the first run.
  std::uint32_t m_Run = 0;
  // The target instance of the current or the last run.
  TargetInstance m_Instance;
  core::Time m_AssignedAt;
  // Failed runs of this task; those of a gang are counted in its step.
  std::uint32_t m_Failures = 0;
  // The newest checkpoint; empty for none.
  std::string m_Checkpoint;

  friend bool operator==(const Task &, const Task &) = default;
  friend auto operator<=>(const Task &, const Task &) = default;
};

struct Step {
  std::vector<Task> m_Tasks;
  // Failed runs of the gang; each counts once, however many members failed.
  std::uint32_t m_GangFailures = 0;
  // The highest run counted in m_GangFailures.
  std::uint32_t m_LastFailedRun = 0;

  friend bool operator==(const Step &, const Step &) = default;
  friend auto operator<=>(const Step &, const Step &) = default;
};

// ---- Inputs ----------------------------------------------------------------

// Assigns the next run of tasks of one step. A gang is assigned as a whole.
struct Assign {
  struct TaskPlacement {
    std::uint32_t m_Index = 0;
    TargetInstance m_Instance;
    friend bool operator==(const TaskPlacement &,
                           const TaskPlacement &) = default;
    friend auto operator<=>(const TaskPlacement &,
                            const TaskPlacement &) = default;
  };
  std::uint32_t m_Step = 0;
  std::uint32_t m_Run = 0;
  std::vector<TaskPlacement> m_Placements;

  friend bool operator==(const Assign &, const Assign &) = default;
};

enum class RunOutcome : std::uint8_t {
  Done,
  // The task failed on its target; counts towards m_MaxAttempts.
  Failed,
  // Stopped, lost with its target, or never started; not counted as an attempt.
  Interrupted,
};

struct RunEnded {
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Run = 0;
  RunOutcome m_Outcome = RunOutcome::Interrupted;
  // The run's last checkpoint; empty when it wrote none.
  std::string m_Checkpoint;

  friend bool operator==(const RunEnded &, const RunEnded &) = default;
};

struct Cancel {
  friend bool operator==(const Cancel &, const Cancel &) = default;
};

using Input = std::variant<Assign, RunEnded, Cancel>;

// ---- The workflow ----------------------------------------------------------

enum class Phase : std::uint8_t { Active, Completed, Failed, Cancelled };

// The serialized state of a workflow.
struct WorkflowFields {
  WorkflowSpec m_Spec;
  Phase m_Phase = Phase::Active;
  std::vector<Step> m_Steps;
  core::Time m_AcceptedAt;
  core::Time m_FinishedAt;
  // True once any run was assigned.
  bool m_Started = false;

  friend bool operator==(const WorkflowFields &,
                         const WorkflowFields &) = default;
  friend auto operator<=>(const WorkflowFields &,
                          const WorkflowFields &) = default;
};

class Workflow {
public:
  Workflow() = default;
  // Fails with InvalidInput or TooLarge when the specification is invalid.
  [[nodiscard]] static core::Outcome<Workflow> create(WorkflowSpec Spec,
                                                      core::Time Now);
  // Restores a workflow from its serialized state.
  [[nodiscard]] static Workflow restore(WorkflowFields Fields);

  [[nodiscard]] const WorkflowFields &fields() const &noexcept {
    return m_Fields;
  }
  [[nodiscard]] WorkflowFields &&fields() &&noexcept {
    return std::move(m_Fields);
  }
  [[nodiscard]] const WorkflowSpec &spec() const noexcept {
    return m_Fields.m_Spec;
  }
  [[nodiscard]] const core::RequestId &id() const noexcept {
    return m_Fields.m_Spec.m_Id;
  }
  [[nodiscard]] Phase phase() const noexcept { return m_Fields.m_Phase; }
  // Returns the task, or nullptr when there is no such step or index.
  [[nodiscard]] const Task *find(std::uint32_t Step,
                                 std::uint32_t Index) const noexcept;
  // True when waiting tasks of the step may be assigned: the workflow is
  // active, the step's dependencies are done, and no member of a gang is still
  // assigned.
  [[nodiscard]] bool isReady(std::uint32_t Step) const noexcept;
  // True when the task's assigned run should continue. A run of a finished
  // workflow, or of a gang in which a member's run has ended, should be
  // stopped.
  [[nodiscard]] bool shouldRun(std::uint32_t Step,
                               std::uint32_t Index) const noexcept;
  // The number of the task's next run. The tasks of a gang share a run number;
  // other tasks are numbered independently.
  [[nodiscard]] std::uint32_t nextRun(std::uint32_t Step,
                                      std::uint32_t Index) const noexcept;

  friend bool operator==(const Workflow &, const Workflow &) = default;

private:
  explicit Workflow(WorkflowFields Fields) noexcept
      : m_Fields(std::move(Fields)) {}

  WorkflowFields m_Fields;
};

// Returns why the input is not valid in the current state; code None when it is
// valid. The end of an earlier run and the cancellation of a finished workflow
// are valid and change nothing.
[[nodiscard]] core::Reason validateInput(const Workflow &Current,
                                         const Input &Value);

// Returns the workflow after applying a valid input.
[[nodiscard]] Workflow applyInput(Workflow Before, const Input &Value,
                                  core::Time Now);

[[nodiscard]] const char *toString(Phase Value) noexcept;
[[nodiscard]] const char *toString(RunOutcome Value) noexcept;

} // namespace fireflydrift::workflow

#endif // FIREFLYDRIFT_WORKFLOW_WORKFLOW_H
