// cereal serialization functions: which members of each type are encoded, and
// in which order. Included only by codec.cpp, because cereal's headers are slow
// to compile.
#ifndef FIREFLYDRIFT_MESSAGES_ARCHIVE_H
#define FIREFLYDRIFT_MESSAGES_ARCHIVE_H

#include "messages/codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace fireflydrift::core {

template <class Archive, class Tag>
std::string save_minimal(const Archive &, const Id<Tag> &Value) {
  return Value.text();
}
template <class Archive, class Tag>
void load_minimal(const Archive &, Id<Tag> &Value, const std::string &Text) {
  Value = Id<Tag>(Text);
}
template <class A> void serialize(A &Ar, JobKey &V) {
  Ar(V.m_Workspace, V.m_Request);
}
template <class A> void serialize(A &Ar, Reason &V) {
  Ar(V.m_Code, V.m_Field, V.m_Message);
}
template <class A> void save(A &Ar, const Labels &V) { Ar(V.entries()); }
template <class A> void load(A &Ar, Labels &V) {
  std::map<std::string, std::string> Entries;
  Ar(Entries);
  V = Labels(std::move(Entries));
}
template <class A> std::string save_minimal(const A &, const Selector &V) {
  return toString(V);
}
template <class A>
void load_minimal(const A &, Selector &V, const std::string &Text) {
  auto Parsed = Selector::parse(Text);
  if (!Parsed)
    throw cereal::Exception("not a selector");
  V = *std::move(Parsed);
}
template <class A> void serialize(A &Ar, Capacity &V) {
  Ar(V.m_Accelerators, V.m_Processors, V.m_MemoryMb);
}
template <class A> void serialize(A &Ar, Shape &V) {
  Ar(V.m_Tasks, V.m_PerTask, V.m_Adjacency);
}

} // namespace fireflydrift::core

namespace fireflydrift::workspace {

template <class A> void serialize(A &Ar, Guarantee &V) {
  Ar(V.m_Name, V.m_Shape, V.m_Selector, V.m_ReclaimWithin);
}
template <class A> void serialize(A &Ar, WorkspaceSpec &V) {
  Ar(V.m_Id, V.m_Quota, V.m_MayBorrow, V.m_Weight, V.m_Guarantees,
     V.m_ReservedAccelerators, V.m_Keys);
}

} // namespace fireflydrift::workspace

namespace fireflydrift::evacuation {

template <class A> void serialize(A &Ar, DomainRecord &V) {
  Ar(V.m_Evacuated, V.m_ChangedAt, V.m_Revision);
}
template <class A> void serialize(A &Ar, Change &V) {
  Ar(V.m_FailureDomain, V.m_Evacuated, V.m_ReplacesRevision);
}
template <class A> void serialize(A &Ar, EvacuationFields &V) {
  Ar(V.m_LastRevision, V.m_Domains);
}

} // namespace fireflydrift::evacuation

namespace fireflydrift::configuration {

template <class A> void serialize(A &Ar, Limits &V) {
  Ar(V.m_QueuedPerWorkspace, V.m_ShortReserve, V.m_ShortRunTime, V.m_Retention);
}
template <class A> void serialize(A &Ar, Proposal &V) {
  Ar(V.m_Operation, V.m_Replaces, V.m_Workspaces, V.m_Limits);
}
template <class A> void serialize(A &Ar, Queue &V) {
  Ar(V.m_Name, V.m_Host, V.m_PathPrefix, V.m_Pool, V.m_Priority,
     V.m_MaxAttempts, V.m_SlackPercent, V.m_TargetLatency, V.m_Public);
}
template <class A> void serialize(A &Ar, Replacement &V) {
  Ar(V.m_Version, V.m_Workspaces, V.m_Queues, V.m_Document);
}
template <class A> void serialize(A &Ar, ConfigurationFields &V) {
  Ar(V.m_Version, V.m_Operation, V.m_Workspaces, V.m_Limits, V.m_Queues,
     V.m_Document, V.m_Accepted);
}
template <class A> void save(A &Ar, const Configuration &V) { Ar(V.fields()); }
template <class A> void load(A &Ar, Configuration &V) {
  ConfigurationFields Fields;
  Ar(Fields);
  V = Configuration::restore(std::move(Fields));
}

} // namespace fireflydrift::configuration

namespace fireflydrift::target {

template <class A> void serialize(A &Ar, Announcement &V) {
  Ar(V.m_Id, V.m_Host, V.m_Port, V.m_Incarnation, V.m_Region, V.m_FailureDomain,
     V.m_Rack, V.m_Labels, V.m_Capacity);
}
template <class A> void serialize(A &Ar, TargetFields &V) {
  Ar(V.m_Announcement, V.m_Presence, V.m_ConsecutiveFailures, V.m_Quarantines,
     V.m_QuarantinedUntil);
}

} // namespace fireflydrift::target

namespace fireflydrift::job {

template <class A> void serialize(A &Ar, JobSpec &V) {
  Ar(V.m_Key, V.m_Shape, V.m_RunTime, V.m_Idempotent, V.m_Selector, V.m_Labels,
     V.m_Body);
}
template <class A> void serialize(A &Ar, GangMember &V) {
  Ar(V.m_Target, V.m_Done, V.m_Answer);
}
template <class A> void serialize(A &Ar, JobFields &V) {
  Ar(V.m_Spec, V.m_Phase, V.m_Attempt, V.m_FencingToken, V.m_Members,
     V.m_AcceptedAt, V.m_StartedAt, V.m_FinishedAt, V.m_StopCause,
     V.m_MayHaveRun, V.m_FailedTargets, V.m_ReclaimCount, V.m_Reason);
}

} // namespace fireflydrift::job

namespace fireflydrift::workflow {

template <class A> void serialize(A &Ar, StepSpec &V) {
  Ar(V.m_Tasks, V.m_PerTask, V.m_RunTime, V.m_Dependencies, V.m_Gang,
     V.m_RackAffinity, V.m_Checkpoints, V.m_LongRunning, V.m_MaxPerTarget,
     V.m_RequiredLabel, V.m_DataRack);
}
template <class A> void serialize(A &Ar, QueuePolicy &V) {
  Ar(V.m_Queue, V.m_Pool, V.m_Priority, V.m_MaxAttempts, V.m_SlackPercent,
     V.m_TargetLatency);
}
template <class A> void serialize(A &Ar, WorkflowSpec &V) {
  Ar(V.m_Id, V.m_Workspace, V.m_Policy, V.m_Body, V.m_Steps);
}
template <class A> void serialize(A &Ar, TargetInstance &V) {
  Ar(V.m_Target, V.m_Incarnation);
}
template <class A> void serialize(A &Ar, Task &V) {
  Ar(V.m_Phase, V.m_Run, V.m_Instance, V.m_AssignedAt, V.m_Failures,
     V.m_Checkpoint);
}
template <class A> void serialize(A &Ar, Step &V) {
  Ar(V.m_Tasks, V.m_GangFailures, V.m_LastFailedRun);
}
template <class A> void serialize(A &Ar, Assign::TaskPlacement &V) {
  Ar(V.m_Index, V.m_Instance);
}
template <class A> void serialize(A &Ar, Assign &V) {
  Ar(V.m_Step, V.m_Run, V.m_Placements);
}
template <class A> void serialize(A &Ar, RunEnded &V) {
  Ar(V.m_Step, V.m_Index, V.m_Run, V.m_Outcome, V.m_Checkpoint);
}
template <class A> void serialize(A &Ar, WorkflowFields &V) {
  Ar(V.m_Spec, V.m_Phase, V.m_Steps, V.m_AcceptedAt, V.m_FinishedAt,
     V.m_Started);
}

} // namespace fireflydrift::workflow

namespace fireflydrift::placement {

template <class A> void serialize(A &Ar, Decision &V) {
  Ar(V.m_Job, V.m_At, V.m_Verdict, V.m_Targets, V.m_Victims, V.m_Considered,
     V.m_RuledOut, V.m_Rule);
}
template <class A> void serialize(A &Ar, WorkClass &V) {
  Ar(V.m_Workspace, V.m_Kind);
}
template <class A> void save(A &Ar, const Estimates &V) { Ar(V.runs()); }
template <class A> void load(A &Ar, Estimates &V) {
  std::map<WorkClass, std::vector<core::Duration>> Runs;
  Ar(Runs);
  V = Estimates(std::move(Runs));
}

} // namespace fireflydrift::placement

namespace fireflydrift::control {

template <class A> void serialize(A &Ar, AcceptJob &V) { Ar(V.m_Spec); }
template <class A> void serialize(A &Ar, CancelJob &V) { Ar(V.m_Job); }
template <class A> void serialize(A &Ar, ChangeConfiguration &V) {
  Ar(V.m_Proposal);
}
template <class A> void serialize(A &Ar, AnnounceTarget &V) {
  Ar(V.m_Announcement);
}
template <class A> void serialize(A &Ar, MarkTargetLeaving &V) {
  Ar(V.m_Target);
}
template <class A> void serialize(A &Ar, MarkTargetLost &V) { Ar(V.m_Target); }
template <class A> void serialize(A &Ar, PlaceJob &V) { Ar(V.m_Decision); }
template <class A> void serialize(A &Ar, StartJob &V) {
  Ar(V.m_Job, V.m_Attempt);
}
template <class A> void serialize(A &Ar, AbortAttempt &V) {
  Ar(V.m_Job, V.m_Attempt, V.m_MayHaveRun);
}
template <class A> void serialize(A &Ar, ReclaimCapacity &V) {
  Ar(V.m_Decision);
}
template <class A> void serialize(A &Ar, ConfirmStopped &V) {
  Ar(V.m_Job, V.m_Attempt);
}
template <class A> void serialize(A &Ar, FinishTask &V) {
  Ar(V.m_Job, V.m_Attempt, V.m_Task, V.m_Succeeded, V.m_Answer);
}
template <class A> void serialize(A &Ar, RejectJob &V) {
  Ar(V.m_Job, V.m_Reason);
}
template <class A> void serialize(A &, ExpireJobs &) {}
template <class A> void serialize(A &Ar, AcceptWorkflow &V) { Ar(V.m_Spec); }
template <class A> void serialize(A &Ar, CancelWorkflow &V) {
  Ar(V.m_Workflow);
}
template <class A> void serialize(A &Ar, AssignTasks &V) {
  Ar(V.m_Workflow, V.m_Assign);
}
template <class A> void serialize(A &Ar, EndRun &V) {
  Ar(V.m_Workflow, V.m_End);
}
template <class A> void serialize(A &Ar, ReplaceConfiguration &V) {
  Ar(V.m_Replacement);
}
template <class A> void serialize(A &Ar, SetEvacuation &V) { Ar(V.m_Change); }
template <class A> void serialize(A &Ar, Batch &V) { Ar(V.m_At, V.m_Commands); }

template <class A> void serialize(A &Ar, Submit &V) { Ar(V.m_Spec); }
template <class A> void serialize(A &Ar, Fetch &V) { Ar(V.m_Job, V.m_Wait); }
template <class A> void serialize(A &Ar, Cancel &V) { Ar(V.m_Job); }
template <class A> void serialize(A &Ar, Explain &V) { Ar(V.m_Job); }
template <class A> void serialize(A &Ar, Configure &V) { Ar(V.m_Proposal); }
template <class A> void serialize(A &Ar, ReadConfiguration &V) {
  Ar(V.m_VersionOnly);
}
template <class A> void serialize(A &, ReadStatus &) {}
template <class A> void serialize(A &Ar, Announce &V) { Ar(V.m_Announcement); }
template <class A> void serialize(A &Ar, TaskResult &V) {
  Ar(V.m_Job, V.m_Attempt, V.m_Task, V.m_Succeeded, V.m_Answer);
}
template <class A> void serialize(A &Ar, ReportResults &V) {
  Ar(V.m_Target, V.m_Results);
}
template <class A> void serialize(A &Ar, Leave &V) { Ar(V.m_Target); }

template <class A> void serialize(A &Ar, QueueRequest &V) {
  Ar(V.m_Host, V.m_Path, V.m_Key);
}
template <class A> void serialize(A &Ar, SubmitWorkflow &V) {
  Ar(V.m_Call, V.m_Body, V.m_Steps);
}
template <class A> void serialize(A &Ar, FetchWorkflow &V) { Ar(V.m_Call); }
template <class A> void serialize(A &Ar, CancelWorkflowRequest &V) {
  Ar(V.m_Call);
}
template <class A> void serialize(A &Ar, PutConfiguration &V) {
  Ar(V.m_Replacement);
}

template <class A> void serialize(A &, ReadEvacuations &) {}
template <class A> void serialize(A &Ar, ChangeEvacuation &V) {
  Ar(V.m_Change, V.m_AllowUnknown);
}

template <class A> void serialize(A &Ar, EvacuationsView &V) {
  Ar(V.m_Domains);
}
template <class A> void serialize(A &Ar, WorkflowView &V) {
  Ar(V.m_Id, V.m_Phase, V.m_Started);
}
template <class A> void serialize(A &Ar, QueueView &V) { Ar(V.m_Pending); }
template <class A> void serialize(A &, Acknowledged &) {}
template <class A> void serialize(A &Ar, Failure &V) { Ar(V.m_Reason); }
template <class A> void serialize(A &Ar, JobView &V) {
  Ar(V.m_Job, V.m_Phase, V.m_Reason, V.m_Attempt, V.m_MayHaveRun,
     V.m_AcceptedAt, V.m_StartedAt, V.m_FinishedAt, V.m_Targets, V.m_Answers);
}
template <class A> void serialize(A &Ar, DecisionsView &V) {
  Ar(V.m_Decisions);
}
template <class A> void serialize(A &Ar, ConfigurationView &V) {
  Ar(V.m_Fields, V.m_CreatedVersion);
}
template <class A> void serialize(A &Ar, VmStatus &V) {
  Ar(V.m_Vm, V.m_Liveness, V.m_Role, V.m_ConfigurationVersion,
     V.m_EntriesBehind, V.m_BehindReason);
}
// Fields that were added at the end of a message are written only when they
// have a value, and read only when the message goes on. Earlier versions thus
// understand the message while the feature is not in use. This works only for a
// value that is the last one of its message.
template <class A> void save(A &Ar, const StatusView &V) {
  Ar(V.m_Leader, V.m_Term, V.m_Commit, V.m_ConfigurationVersion,
     V.m_JobsByOutcome, V.m_ActiveTargets, V.m_QuarantinedTargets,
     V.m_LostTargets, V.m_FreeAccelerators, V.m_Guarantees, V.m_Vms);
  if (!V.m_EvacuatedDomains.empty())
    Ar(V.m_EvacuatedDomains);
}
template <class A> void load(A &Ar, StatusView &V) {
  Ar(V.m_Leader, V.m_Term, V.m_Commit, V.m_ConfigurationVersion,
     V.m_JobsByOutcome, V.m_ActiveTargets, V.m_QuarantinedTargets,
     V.m_LostTargets, V.m_FreeAccelerators, V.m_Guarantees, V.m_Vms);
  if (Ar.bytesLeft() > 0)
    Ar(V.m_EvacuatedDomains);
}

template <class A> void save(A &Ar, const Tables &V) {
  std::vector<target::TargetFields> Targets;
  for (const auto &[Id, Value] : V.m_Targets)
    Targets.push_back(Value.fields());
  std::vector<job::JobFields> Jobs;
  for (const auto &[Key, Value] : V.m_Jobs)
    Jobs.push_back(Value.fields());
  std::vector<workflow::WorkflowFields> Workflows;
  for (const auto &[Id, Value] : V.m_Workflows)
    Workflows.push_back(Value.fields());
  Ar(V.m_Configuration, Targets, Jobs, V.m_Decisions, V.m_Estimates, Workflows,
     V.m_NextFence, V.m_LastBatchAt);
  if (V.m_Evacuations != evacuation::Evacuations())
    Ar(V.m_Evacuations.fields());
}
template <class A> void load(A &Ar, Tables &V) {
  std::vector<target::TargetFields> Targets;
  std::vector<job::JobFields> Jobs;
  std::vector<workflow::WorkflowFields> Workflows;
  Ar(V.m_Configuration, Targets, Jobs, V.m_Decisions, V.m_Estimates, Workflows,
     V.m_NextFence, V.m_LastBatchAt);
  if (Ar.bytesLeft() > 0) {
    evacuation::EvacuationFields Evacuations;
    Ar(Evacuations);
    V.m_Evacuations = evacuation::Evacuations::restore(std::move(Evacuations));
  }
  for (workflow::WorkflowFields &Fields : Workflows) {
    core::RequestId Id = Fields.m_Spec.m_Id;
    V.m_Workflows.emplace(std::move(Id),
                          workflow::Workflow::restore(std::move(Fields)));
  }
  for (target::TargetFields &Fields : Targets) {
    core::TargetId Id = Fields.m_Announcement.m_Id;
    V.m_Targets.emplace(std::move(Id),
                        target::Target::restore(std::move(Fields)));
  }
  for (job::JobFields &Fields : Jobs) {
    core::JobKey Key = Fields.m_Spec.m_Key;
    V.m_Jobs.emplace(std::move(Key), job::Job::restore(std::move(Fields)));
  }
}

} // namespace fireflydrift::control

namespace fireflydrift::membership {

template <class A> void serialize(A &Ar, Heartbeat &V) {
  Ar(V.m_From, V.m_ConfigurationVersion, V.m_Draining, V.m_Leader, V.m_Term,
     V.m_HoldsLease, V.m_Replicas);
}

} // namespace fireflydrift::membership

namespace fireflydrift::routing {

template <class A> void serialize(A &Ar, HeartbeatSummary &V) {
  Ar(V.m_Sequence, V.m_Full, V.m_Appeared, V.m_Vanished);
}

} // namespace fireflydrift::routing

namespace fireflydrift::replica {

template <class A> void serialize(A &Ar, Member &V) {
  Ar(V.m_Incarnation, V.m_Region, V.m_FailureDomain, V.m_Voter);
}
template <class A> void save(A &Ar, const Members &V) { Ar(V.all()); }
template <class A> void load(A &Ar, Members &V) {
  std::map<core::VmId, Member> All;
  Ar(All);
  V = Members(std::move(All));
}
template <class A> void serialize(A &Ar, Entry &V) {
  Ar(V.m_Index, V.m_Term, V.m_Commands, V.m_Members);
}
template <class A> void serialize(A &Ar, SnapshotPoint &V) {
  Ar(V.m_Index, V.m_Term, V.m_Members);
}
template <class A> void serialize(A &Ar, HardState &V) {
  Ar(V.m_Term, V.m_VotedFor, V.m_Incarnation, V.m_Joined);
}
template <class A> void serialize(A &Ar, VoteRequest &V) {
  Ar(V.m_Term, V.m_PreVote, V.m_Transfer, V.m_LastIndex, V.m_LastTerm);
}
template <class A> void serialize(A &Ar, VoteReply &V) {
  Ar(V.m_Term, V.m_PreVote, V.m_Granted, V.m_Incarnation);
}
template <class A> void serialize(A &Ar, Append &V) {
  Ar(V.m_Term, V.m_PreviousIndex, V.m_PreviousTerm, V.m_Commit, V.m_SentAt,
     V.m_Entries);
}
template <class A> void serialize(A &Ar, AppendReply &V) {
  Ar(V.m_Term, V.m_Accepted, V.m_Match, V.m_Incarnation, V.m_SentAt);
}
template <class A> void serialize(A &Ar, InstallSnapshot &V) {
  Ar(V.m_Term, V.m_Point, V.m_SentAt, V.m_State);
}
template <class A> void serialize(A &Ar, JoinRequest &V) {
  Ar(V.m_Incarnation, V.m_Region, V.m_FailureDomain);
}
template <class A> void serialize(A &Ar, JoinReply &V) {
  Ar(V.m_Uninitialized, V.m_Incarnation, V.m_Region, V.m_FailureDomain,
     V.m_Members);
}
template <class A> void serialize(A &Ar, TransferLeadership &V) {
  Ar(V.m_Term);
}

} // namespace fireflydrift::replica

namespace fireflydrift::messages {

template <class A> void serialize(A &Ar, ForwardOperation &V) {
  Ar(V.m_Id, V.m_Operation);
}
template <class A> void serialize(A &Ar, OperationReply &V) {
  Ar(V.m_Id, V.m_Reply);
}
template <class A> void serialize(A &Ar, NotLeader &V) { Ar(V.m_Id); }
template <class A> void serialize(A &Ar, ReportHeartbeats &V) {
  Ar(V.m_Summary);
}
template <class A> void serialize(A &, RequestHeartbeats &) {}
template <class A> void serialize(A &Ar, ReannounceTargets &V) {
  Ar(V.m_Targets);
}
template <class A> void serialize(A &Ar, ReplicaMessage &V) { Ar(V.m_Message); }
template <class A> void serialize(A &Ar, Envelope &V) {
  Ar(V.m_From, V.m_Body);
}
template <class A> void serialize(A &Ar, TruncateFrom &V) { Ar(V.m_Index); }
template <class A> void serialize(A &Ar, JournalRecord &V) { Ar(V.m_Value); }
template <class A> void serialize(A &Ar, SnapshotFile &V) {
  Ar(V.m_Point, V.m_State);
}

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_ARCHIVE_H
