// Commands: what the replicated log carries. Every replica applies the same
// commands in the same order and so holds the same state.
#ifndef FIREFLYDRIFT_CONTROL_COMMAND_H
#define FIREFLYDRIFT_CONTROL_COMMAND_H

#include "configuration/configuration.h"
#include "job/job.h"
#include "placement/decision.h"
#include "target/target.h"
#include "workflow/workflow.h"

#include <variant>

namespace fireflydrift::control {

// A caller's request becomes a job, or is found again.
struct AcceptJob {
  job::JobSpec m_Spec;
  friend bool operator==(const AcceptJob &, const AcceptJob &) = default;
};
struct CancelJob {
  core::JobKey m_Job;
  friend bool operator==(const CancelJob &, const CancelJob &) = default;
};
struct ChangeConfiguration {
  configuration::Proposal m_Proposal;
  friend bool operator==(const ChangeConfiguration &,
                         const ChangeConfiguration &) = default;
};
struct AnnounceTarget {
  target::Announcement m_Announcement;
  friend bool operator==(const AnnounceTarget &,
                         const AnnounceTarget &) = default;
};
// The target leaves by its own wish: no new work, what runs may end.
struct MarkTargetLeaving {
  core::TargetId m_Target;
  friend bool operator==(const MarkTargetLeaving &,
                         const MarkTargetLeaving &) = default;
};
// The target gave no sign of life for too long.
struct MarkTargetLost {
  core::TargetId m_Target;
  friend bool operator==(const MarkTargetLost &,
                         const MarkTargetLost &) = default;
};
// The leader placed the job; reservations follow once this is durable.
struct PlaceJob {
  placement::Decision m_Decision;
  friend bool operator==(const PlaceJob &, const PlaceJob &) = default;
};
// Every member reserved; starts follow once this is durable.
struct StartJob {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  friend bool operator==(const StartJob &, const StartJob &) = default;
};
struct AbortAttempt {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  bool m_MayHaveRun = false;
  friend bool operator==(const AbortAttempt &, const AbortAttempt &) = default;
};
// Stops the decision's victims so that its job can claim a guarantee.
struct ReclaimCapacity {
  placement::Decision m_Decision;
  friend bool operator==(const ReclaimCapacity &,
                         const ReclaimCapacity &) = default;
};
// Every member confirmed the stop, or its lease ended.
struct ConfirmStopped {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  friend bool operator==(const ConfirmStopped &,
                         const ConfirmStopped &) = default;
};
struct FinishTask {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  std::uint32_t m_Task = 0;
  bool m_Succeeded = true;
  std::string m_Answer;
  friend bool operator==(const FinishTask &, const FinishTask &) = default;
};
// The job can never run.
struct RejectJob {
  core::JobKey m_Job;
  core::Reason m_Reason;
  friend bool operator==(const RejectJob &, const RejectJob &) = default;
};
// Forgets outcomes whose retention is over.
struct ExpireJobs {
  friend bool operator==(const ExpireJobs &, const ExpireJobs &) = default;
};

// A caller's job of steps becomes a workflow, or is found again.
struct AcceptWorkflow {
  workflow::WorkflowSpec m_Spec;
  friend bool operator==(const AcceptWorkflow &,
                         const AcceptWorkflow &) = default;
};
struct CancelWorkflow {
  core::RequestId m_Workflow;
  friend bool operator==(const CancelWorkflow &,
                         const CancelWorkflow &) = default;
};
// Runs get their targets; the targets are told once this is durable.
struct AssignTasks {
  core::RequestId m_Workflow;
  workflow::Assign m_Assign;
  friend bool operator==(const AssignTasks &, const AssignTasks &) = default;
};
// A run has ended; its target's report is acknowledged once this is durable.
struct EndRun {
  core::RequestId m_Workflow;
  workflow::RunEnded m_End;
  friend bool operator==(const EndRun &, const EndRun &) = default;
};
// The operator's content of the highest version is in force.
struct ReplaceConfiguration {
  configuration::Replacement m_Replacement;
  friend bool operator==(const ReplaceConfiguration &,
                         const ReplaceConfiguration &) = default;
};

using Command =
    std::variant<AcceptJob, CancelJob, ChangeConfiguration, AnnounceTarget,
                 MarkTargetLeaving, MarkTargetLost, PlaceJob, StartJob,
                 AbortAttempt, ReclaimCapacity, ConfirmStopped, FinishTask,
                 RejectJob, ExpireJobs, AcceptWorkflow, CancelWorkflow,
                 AssignTasks, EndRun, ReplaceConfiguration>;

// The commands of one log entry, with the leader's time.
struct Batch {
  core::Time m_At;
  std::vector<Command> m_Commands;

  friend bool operator==(const Batch &, const Batch &) = default;
};

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_COMMAND_H
