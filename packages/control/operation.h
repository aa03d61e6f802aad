// The operations that callers, targets and operators request, and the replies.
// Front ends translate their protocols to and from these types.
#ifndef FIREFLYDRIFT_CONTROL_OPERATION_H
#define FIREFLYDRIFT_CONTROL_OPERATION_H

#include "control/state.h"
#include "placement/guarantee_reservation.h"

namespace fireflydrift::control {

// ---- Operations ------------------------------------------------------------

struct Submit {
  job::JobSpec m_Spec;
  friend bool operator==(const Submit &, const Submit &) = default;
};
struct Fetch {
  core::JobKey m_Job;
  // Longest time to wait for the job's outcome.
  core::Duration m_Wait{0};
  friend bool operator==(const Fetch &, const Fetch &) = default;
};
struct Cancel {
  core::JobKey m_Job;
  friend bool operator==(const Cancel &, const Cancel &) = default;
};
struct Explain {
  core::JobKey m_Job;
  friend bool operator==(const Explain &, const Explain &) = default;
};
struct Configure {
  configuration::Proposal m_Proposal;
  friend bool operator==(const Configure &, const Configure &) = default;
};
struct ReadConfiguration {
  // Returns only the version.
  bool m_VersionOnly = false;
  friend bool operator==(const ReadConfiguration &,
                         const ReadConfiguration &) = default;
};
struct ReadStatus {
  friend bool operator==(const ReadStatus &, const ReadStatus &) = default;
};
struct Announce {
  target::Announcement m_Announcement;
  friend bool operator==(const Announce &, const Announce &) = default;
};
// The outcome of one task, as reported by its target.
struct TaskResult {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  std::uint32_t m_Task = 0;
  bool m_Succeeded = true;
  std::string m_Answer;
  friend bool operator==(const TaskResult &, const TaskResult &) = default;
};
struct ReportResults {
  core::TargetId m_Target;
  std::vector<TaskResult> m_Results;
  friend bool operator==(const ReportResults &,
                         const ReportResults &) = default;
};
struct Leave {
  core::TargetId m_Target;
  friend bool operator==(const Leave &, const Leave &) = default;
};

// A caller's request on a queue. The queue and the workspace are resolved at
// the leader, so that no VM acts on an outdated configuration.
struct QueueRequest {
  std::string m_Host;
  // The queue's path prefix, followed by the workflow's id if the request is
  // about one workflow.
  std::string m_Path;
  // The caller's API key; empty if it sent none.
  std::string m_Key;
  friend bool operator==(const QueueRequest &, const QueueRequest &) = default;
};
struct SubmitWorkflow {
  QueueRequest m_Call;
  std::string m_Body;
  std::vector<workflow::StepSpec> m_Steps;
  friend bool operator==(const SubmitWorkflow &,
                         const SubmitWorkflow &) = default;
};
// Reads the state of a workflow, or of the queue if the path names no workflow.
struct FetchWorkflow {
  QueueRequest m_Call;
  friend bool operator==(const FetchWorkflow &,
                         const FetchWorkflow &) = default;
};
// A caller's request to cancel a workflow; the command is CancelWorkflow.
struct CancelWorkflowRequest {
  QueueRequest m_Call;
  friend bool operator==(const CancelWorkflowRequest &,
                         const CancelWorkflowRequest &) = default;
};
// Puts a configuration in force that carries its own version number.
struct PutConfiguration {
  configuration::Replacement m_Replacement;
  friend bool operator==(const PutConfiguration &,
                         const PutConfiguration &) = default;
};

struct ReadEvacuations {
  friend bool operator==(const ReadEvacuations &,
                         const ReadEvacuations &) = default;
};
// Evacuates a failure domain or ends its evacuation; the command is
// SetEvacuation.
struct ChangeEvacuation {
  evacuation::Change m_Change;
  // Whether the domain may be one in which the leader knows no target.
  bool m_AllowUnknown = false;
  friend bool operator==(const ChangeEvacuation &,
                         const ChangeEvacuation &) = default;
};

using Operation =
    std::variant<Submit, Fetch, Cancel, Explain, Configure, ReadConfiguration,
                 ReadStatus, Announce, ReportResults, Leave, SubmitWorkflow,
                 FetchWorkflow, CancelWorkflowRequest, PutConfiguration,
                 ReadEvacuations, ChangeEvacuation>;

// ---- Replies ---------------------------------------------------------------

// A job as shown to its caller.
struct JobView {
  core::JobKey m_Job;
  job::Phase m_Phase = job::Phase::Queued;
  core::Reason m_Reason;
  std::uint32_t m_Attempt = 0;
  bool m_MayHaveRun = false;
  // Zero for events that have not happened yet.
  core::Time m_AcceptedAt;
  core::Time m_StartedAt;
  core::Time m_FinishedAt;
  std::vector<core::TargetId> m_Targets;
  // One answer per task; empty unless the outcome is "answered".
  std::vector<std::string> m_Answers;
  friend bool operator==(const JobView &, const JobView &) = default;
};
struct DecisionsView {
  std::vector<placement::Decision> m_Decisions;
  friend bool operator==(const DecisionsView &,
                         const DecisionsView &) = default;
};
struct ConfigurationView {
  configuration::ConfigurationFields m_Fields;
  // The version that the operation created; zero for a read.
  std::uint64_t m_CreatedVersion = 0;
  friend bool operator==(const ConfigurationView &,
                         const ConfigurationView &) = default;
};
// The leader's view of one VM of the system.
struct VmStatus {
  core::VmId m_Vm;
  std::string m_Liveness;
  std::string m_Role;
  std::uint64_t m_ConfigurationVersion = 0;
  // Log entries that the VM's replica lacks; zero for a VM without a replica.
  std::uint64_t m_EntriesBehind = 0;
  // Why the VM does not have the newest configuration; empty if it does.
  std::string m_BehindReason;
  friend bool operator==(const VmStatus &, const VmStatus &) = default;
};
struct StatusView {
  core::VmId m_Leader;
  std::uint64_t m_Term = 0;
  std::uint64_t m_Commit = 0;
  std::uint64_t m_ConfigurationVersion = 0;
  std::map<std::string, std::uint64_t> m_JobsByOutcome;
  std::uint64_t m_ActiveTargets = 0;
  std::uint64_t m_QuarantinedTargets = 0;
  std::uint64_t m_LostTargets = 0;
  std::int64_t m_FreeAccelerators = 0;
  // Whether each guaranteed shape could be assembled now.
  std::map<std::string, bool> m_Guarantees;
  std::vector<VmStatus> m_Vms;
  // The failure domains that are evacuated now.
  std::vector<std::string> m_EvacuatedDomains;
  friend bool operator==(const StatusView &, const StatusView &) = default;
};
// A workflow as shown to its caller.
struct WorkflowView {
  core::RequestId m_Id;
  workflow::Phase m_Phase = workflow::Phase::Active;
  // True once a task has been assigned.
  bool m_Started = false;
  friend bool operator==(const WorkflowView &, const WorkflowView &) = default;
};
struct QueueView {
  // Accepted workflows of the queue without any assigned task so far.
  std::uint64_t m_Pending = 0;
  friend bool operator==(const QueueView &, const QueueView &) = default;
};
struct EvacuationsView {
  std::map<std::string, evacuation::DomainRecord> m_Domains;
  friend bool operator==(const EvacuationsView &,
                         const EvacuationsView &) = default;
};
struct Acknowledged {
  friend bool operator==(const Acknowledged &, const Acknowledged &) = default;
};
struct Failure {
  core::Reason m_Reason;
  friend bool operator==(const Failure &, const Failure &) = default;
};

using Reply =
    std::variant<Acknowledged, JobView, DecisionsView, ConfigurationView,
                 StatusView, Failure, WorkflowView, QueueView, EvacuationsView>;

// ---- Handling operations ----------------------------------------------------

// The result of handle(): an immediate reply, or commands that must be durable
// before replyAfterApply() gives the reply.
struct HandleResult {
  std::optional<Reply> m_Reply;
  std::vector<Command> m_Commands;

  friend bool operator==(const HandleResult &, const HandleResult &) = default;
};

// Decides at the leader how an operation is handled.
[[nodiscard]] HandleResult
handle(const State &Current, const Operation &Value,
       const placement::GuaranteeReservations &Reservations, core::Time Now);

// The reply to an operation whose first command was applied with this result.
[[nodiscard]] Reply replyAfterApply(const State &Current,
                                    const Operation &Value,
                                    const core::Reason &Result);

// The job's current state as shown to its caller.
[[nodiscard]] JobView viewOf(const job::Job &Value);

// The part of the status that follows from the state and the guarantee
// reservations; the caller adds the rest.
[[nodiscard]] StatusView
statusOf(const State &Current,
         const placement::GuaranteeReservations &Reservations, core::Time Now);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_OPERATION_H
