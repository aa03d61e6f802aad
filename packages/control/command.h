// The commands of the replicated log. Every replica applies the same commands
// in the same order and so reaches the same state.
#ifndef FIREFLYDRIFT_CONTROL_COMMAND_H
#define FIREFLYDRIFT_CONTROL_COMMAND_H

#include "configuration/configuration.h"
#include "evacuation/evacuation.h"
#include "job/job.h"
#include "placement/decision.h"
#include "target/target.h"
#include "workflow/workflow.h"

#include <variant>

namespace fireflydrift::control {

// Creates a job from a caller's request. A repeated request with the same
// content has no effect.
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
// Marks a target as leaving at its own request: it gets no new work, and
// running work may finish.
struct MarkTargetLeaving {
  core::TargetId m_Target;
  friend bool operator==(const MarkTargetLeaving &,
                         const MarkTargetLeaving &) = default;
};
// Marks a target as lost after it sent no heartbeat for too long.
struct MarkTargetLost {
  core::TargetId m_Target;
  friend bool operator==(const MarkTargetLost &,
                         const MarkTargetLost &) = default;
};
// Assigns the job to targets. The leader sends the reserve calls only once this
// command is durable.
struct PlaceJob {
  placement::Decision m_Decision;
  friend bool operator==(const PlaceJob &, const PlaceJob &) = default;
};
// Starts a job of which every member is reserved. The leader sends the start
// calls only once this command is durable.
struct StartJob {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  friend bool operator==(const StartJob &, const StartJob &) = default;
};
// Ends an attempt after a target refused a reserve or start call or did not
// know its lease, or after it left too many reserve calls unanswered.
// m_MayHaveRun should be false only when no member can have started.
struct AbortAttempt {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  bool m_MayHaveRun = false;
  friend bool operator==(const AbortAttempt &, const AbortAttempt &) = default;
};
// Stops the decision's victims so that its job gets the capacity that its
// workspace is guaranteed.
struct ReclaimCapacity {
  placement::Decision m_Decision;
  friend bool operator==(const ReclaimCapacity &,
                         const ReclaimCapacity &) = default;
};
// Records that every member has stopped: its target confirmed the stop, does
// not know the lease, or is lost.
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
// Ends a queued job that can never be placed.
struct RejectJob {
  core::JobKey m_Job;
  core::Reason m_Reason;
  friend bool operator==(const RejectJob &, const RejectJob &) = default;
};
// Removes finished jobs and workflows whose retention period is over.
struct ExpireJobs {
  friend bool operator==(const ExpireJobs &, const ExpireJobs &) = default;
};

// Creates a workflow from a caller's request. A repeated request has no effect.
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
// Assigns the next runs of tasks of one step to targets. The start orders are
// sent only once this command is durable.
struct AssignTasks {
  core::RequestId m_Workflow;
  workflow::Assign m_Assign;
  friend bool operator==(const AssignTasks &, const AssignTasks &) = default;
};
// Ends a run. The end in its target's report is acknowledged only once this
// command is durable.
struct EndRun {
  core::RequestId m_Workflow;
  workflow::RunEnded m_End;
  friend bool operator==(const EndRun &, const EndRun &) = default;
};
// Puts the operator's configuration in force; the highest version wins.
struct ReplaceConfiguration {
  configuration::Replacement m_Replacement;
  friend bool operator==(const ReplaceConfiguration &,
                         const ReplaceConfiguration &) = default;
};

// Evacuates a failure domain or ends its evacuation.
struct SetEvacuation {
  evacuation::Change m_Change;
  friend bool operator==(const SetEvacuation &,
                         const SetEvacuation &) = default;
};

using Command =
    std::variant<AcceptJob, CancelJob, ChangeConfiguration, AnnounceTarget,
                 MarkTargetLeaving, MarkTargetLost, PlaceJob, StartJob,
                 AbortAttempt, ReclaimCapacity, ConfirmStopped, FinishTask,
                 RejectJob, ExpireJobs, AcceptWorkflow, CancelWorkflow,
                 AssignTasks, EndRun, ReplaceConfiguration, SetEvacuation>;

// The commands of one log entry, and the leader's time when it proposed them.
struct Batch {
  core::Time m_At;
  std::vector<Command> m_Commands;

  friend bool operator==(const Batch &, const Batch &) = default;
};

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_COMMAND_H
