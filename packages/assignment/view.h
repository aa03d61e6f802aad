// Input of an assignment pass: targets with their capacity, and steps with
// waiting tasks.
#ifndef FIREFLYDRIFT_ASSIGNMENT_VIEW_H
#define FIREFLYDRIFT_ASSIGNMENT_VIEW_H

#include "workflow/workflow.h"

#include <set>

namespace fireflydrift::assignment {

// A task that is assigned to a target.
struct TaskAllocation {
  workflow::TaskKey m_Task;
  std::uint32_t m_Run = 0;
  core::Capacity m_Capacity;
  std::uint32_t m_Priority = 0;
  core::Time m_ExpectedEnd;
  // Upper bound of the run time that is lost if the task is stopped now.
  core::Duration m_UnsavedRunTime{0};
  // Value of the workflow's result, by which the work that is lost is weighted;
  // 1 where all work counts the same.
  double m_ResultValue = 1;
  // True for a member of a gang, which is stopped as a whole.
  bool m_Gang = false;
  // True for urgent work within the capacity reserved for its workspace.
  bool m_Reserved = false;
  // False for tasks that are never preempted.
  bool m_Preemptible = true;

  friend bool operator==(const TaskAllocation &,
                         const TaskAllocation &) = default;
};

// A target to which tasks may be assigned.
struct TargetInfo {
  workflow::TargetInstance m_Instance;
  std::string m_Pool;
  std::string m_Rack;
  std::vector<std::string> m_Labels;
  core::Capacity m_Total;
  core::Capacity m_Free;
  // Capacity that tasks being stopped will release soon.
  core::Capacity m_Releasing;
  // True after consecutive failed runs or a stalled run; such a target is
  // chosen last.
  bool m_Suspect = false;
  std::vector<TaskAllocation> m_Allocations;
  // Tasks that still run here although they should be stopped.
  std::vector<workflow::TaskKey> m_Stopping;

  friend bool operator==(const TargetInfo &, const TargetInfo &) = default;
};

// Tasks of one step that wait for assignment.
struct PendingStep {
  const workflow::Workflow *m_Workflow = nullptr;
  std::uint32_t m_Step = 0;
  std::vector<std::uint32_t> m_Waiting;
  // Estimated run time of one task.
  core::Duration m_RunTime{0};
  // Estimated time from now to the end of the workflow if all were placed now.
  core::Duration m_Remaining{0};
  // Estimated work that the workflow still needs, in accelerator-milliseconds;
  // a task without accelerators counts as if it used one.
  std::int64_t m_RemainingWork = 0;
  // The same for the whole workflow, with what is done.
  std::int64_t m_TotalWork = 0;
  // Targets on which a task of the step has failed.
  std::set<core::TargetId> m_FailedTargets;
  // True for urgent work within the capacity reserved by its workspace. The
  // work is entitled to that capacity even if other work uses it.
  bool m_Reserved = false;
  // True when a gang that asks for one rack may run on several racks.
  bool m_AllowMultipleRacks = false;
  // How long the workflow has waited since it was accepted.
  core::Duration m_Waited{0};

  [[nodiscard]] const workflow::StepSpec &spec() const {
    return m_Workflow->spec().m_Steps[m_Step];
  }
  [[nodiscard]] const workflow::QueuePolicy &policy() const {
    return m_Workflow->spec().m_Policy;
  }
  friend bool operator==(const PendingStep &, const PendingStep &) = default;
};

} // namespace fireflydrift::assignment

#endif // FIREFLYDRIFT_ASSIGNMENT_VIEW_H
