// The replicated state machine: the tables of aggregates, and the function that
// applies the commands of the log to them.
#ifndef FIREFLYDRIFT_CONTROL_STATE_H
#define FIREFLYDRIFT_CONTROL_STATE_H

#include "control/command.h"
#include "placement/estimate.h"
#include "placement/fleet.h"

#include <set>

namespace fireflydrift::control {

// Limit on the total size of answers that are kept for their callers. Once it
// is reached, no new job is accepted until answers have expired, because
// answers are never dropped to stay within it.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{24} << 20U;
// Decisions that are kept per job, for Explain.
inline constexpr std::size_t DecisionsPerJob = 8;

// ---- State -----------------------------------------------------------------

// The content of a snapshot.
struct Tables {
  configuration::Configuration m_Configuration;
  std::map<core::TargetId, target::Target> m_Targets;
  std::map<core::JobKey, job::Job> m_Jobs;
  std::map<core::JobKey, std::vector<placement::Decision>> m_Decisions;
  placement::Estimates m_Estimates;
  std::map<core::RequestId, workflow::Workflow> m_Workflows;
  evacuation::Evacuations m_Evacuations;
  std::uint64_t m_NextFence = 1;
  // Time of the newest applied batch; never decreases.
  core::Time m_LastBatchAt;

  friend bool operator==(const Tables &, const Tables &) = default;
};

// Indexes for frequent lookups, derived from the tables.
struct Indexes {
  placement::Fleet m_Fleet;
  std::set<core::JobKey> m_Queued;
  std::map<core::WorkspaceId, std::uint32_t> m_QueuedByWorkspace;
  // Jobs that hold capacity.
  std::set<core::JobKey> m_Placed;
  std::set<std::pair<core::Time, core::JobKey>> m_Finished;
  std::size_t m_AnswerBytes = 0;
  // Assigned tasks by target.
  std::map<core::TargetId, std::set<workflow::TaskKey>> m_Assigned;
  std::set<core::RequestId> m_ActiveWorkflows;
  std::set<std::pair<core::Time, core::RequestId>> m_FinishedWorkflows;

  friend bool operator==(const Indexes &, const Indexes &) = default;
};

struct State {
  Tables m_Tables;
  Indexes m_Indexes;

  friend bool operator==(const State &, const State &) = default;
};

// Rebuilds the state from a snapshot's tables.
[[nodiscard]] State restore(Tables Stored);

// The reason for which a lost target is refused until it announces a new
// incarnation.
[[nodiscard]] core::Reason lostTargetReason();

// The job, or nullptr when it was never accepted or has expired.
[[nodiscard]] const job::Job *findJob(const State &Value,
                                      const core::JobKey &Key);

// The workflow, or nullptr when it was never accepted or has expired.
[[nodiscard]] const workflow::Workflow *findWorkflow(const State &Value,
                                                     const core::RequestId &Id);

// ---- Applying commands -----------------------------------------------------

// A job that was accepted, or whose phase or attempt changed.
struct JobChange {
  core::JobKey m_Job;
  job::Phase m_From = job::Phase::Queued;
  job::Phase m_To = job::Phase::Queued;

  friend bool operator==(const JobChange &, const JobChange &) = default;
};

// A target whose presence changed or that was quarantined.
struct TargetChange {
  core::TargetId m_Target;
  target::Presence m_From = target::Presence::Active;
  target::Presence m_To = target::Presence::Active;
  bool m_Quarantined = false;

  friend bool operator==(const TargetChange &, const TargetChange &) = default;
};

// A workflow that was accepted, changed its phase, or had runs assigned or
// ended.
struct WorkflowChange {
  core::RequestId m_Workflow;
  workflow::Phase m_From = workflow::Phase::Active;
  workflow::Phase m_To = workflow::Phase::Active;
  bool m_Accepted = false;
  // True when the change assigned the workflow's first tasks.
  bool m_Started = false;

  friend bool operator==(const WorkflowChange &,
                         const WorkflowChange &) = default;
};

// A failure domain that was evacuated, or whose evacuation was ended.
struct EvacuationChange {
  std::string m_FailureDomain;
  bool m_Evacuated = false;

  friend bool operator==(const EvacuationChange &,
                         const EvacuationChange &) = default;
};

struct ApplyResult {
  State m_State;
  // The result of each command: code None if it took effect or had already
  // taken effect earlier.
  std::vector<core::Reason> m_Results;
  std::vector<JobChange> m_JobChanges;
  std::vector<TargetChange> m_TargetChanges;
  std::vector<WorkflowChange> m_WorkflowChanges;
  std::vector<EvacuationChange> m_EvacuationChanges;
  // True when targets, evacuations or the configuration changed, so that
  // guarantee reservations must be recomputed.
  bool m_FleetChanged = false;

  friend bool operator==(const ApplyResult &, const ApplyResult &) = default;
};

// Applies a batch. The result depends only on the arguments.
[[nodiscard]] ApplyResult apply(State Current, const Batch &Value);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_STATE_H
