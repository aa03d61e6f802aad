#include "control/apply.h"

#include <algorithm>

namespace fireflydrift::control {

// Limit on finished jobs; the oldest are removed even within their retention
// period.
static constexpr std::size_t MaxFinishedJobs = 20000;

using impl::ApplyContext;
using impl::applyOne;

// ---- Indexes ---------------------------------------------------------------

static core::Time expectedEnd(const Tables &Value, const job::Job &Job) {
  core::Time From = Job.phase() == job::Phase::Reserving
                        ? Value.m_LastBatchAt
                        : Job.fields().m_StartedAt;
  return From + Value.m_Estimates.runTime(Job.spec());
}

static std::size_t answerBytes(const job::Job &Value) {
  std::size_t Bytes = 0;
  for (const job::GangMember &Each : Value.fields().m_Members)
    Bytes += Each.m_Answer.size();
  return Bytes;
}

static void addToIndexes(const Tables &Stored, Indexes &Index,
                         const job::Job &Value) {
  const core::JobKey &Key = Value.key();
  if (Value.phase() == job::Phase::Queued) {
    Index.m_Queued.insert(Key);
    ++Index.m_QueuedByWorkspace[Key.m_Workspace];
  } else if (Value.holdsCapacity()) {
    Index.m_Placed.insert(Key);
    Index.m_Fleet = std::move(Index.m_Fleet)
                        .withAllocated(Value, expectedEnd(Stored, Value));
  } else {
    Index.m_Finished.emplace(Value.fields().m_FinishedAt, Key);
    Index.m_AnswerBytes += answerBytes(Value);
  }
}

static void removeFromIndexes(Indexes &From, const job::Job &Value) {
  const core::JobKey &Key = Value.key();
  if (Value.phase() == job::Phase::Queued) {
    From.m_Queued.erase(Key);
    auto Count = From.m_QueuedByWorkspace.find(Key.m_Workspace);
    if (--Count->second == 0)
      From.m_QueuedByWorkspace.erase(Count);
  } else if (Value.holdsCapacity()) {
    From.m_Placed.erase(Key);
    From.m_Fleet = std::move(From.m_Fleet).withReleased(Value);
  } else {
    From.m_Finished.erase({Value.fields().m_FinishedAt, Key});
    From.m_AnswerBytes -= answerBytes(Value);
  }
}

State restore(Tables Stored) {
  State Restored;
  Restored.m_Indexes.m_Fleet = std::move(Restored.m_Indexes.m_Fleet)
                                   .withEvacuations(Stored.m_Evacuations);
  for (const auto &[Id, Value] : Stored.m_Targets)
    Restored.m_Indexes.m_Fleet =
        std::move(Restored.m_Indexes.m_Fleet).withTarget(Value);
  for (const auto &[Key, Value] : Stored.m_Jobs)
    addToIndexes(Stored, Restored.m_Indexes, Value);
  for (const auto &[Id, Value] : Stored.m_Workflows)
    impl::addToIndexes(Restored.m_Indexes, Value);
  Restored.m_Tables = std::move(Stored);
  return Restored;
}

core::Reason lostTargetReason() {
  return {
      core::ReasonCode::Conflict, "incarnation",
      "was declared lost; drop all leases and announce with a new incarnation"};
}

const job::Job *findJob(const State &Value, const core::JobKey &Key) {
  auto Found = Value.m_Tables.m_Jobs.find(Key);
  return Found == Value.m_Tables.m_Jobs.end() ? nullptr : &Found->second;
}

// ---- Replacing one value in a table ----------------------------------------

static void replaceJob(ApplyContext &W, const job::Job &Before,
                       job::Job After) {
  bool NeedsReindex = Before.phase() != After.phase() ||
                      Before.fields().m_Attempt != After.fields().m_Attempt;
  if (NeedsReindex) {
    removeFromIndexes(W.indexes(), Before);
    W.m_Result.m_JobChanges.push_back({.m_Job = After.key(),
                                       .m_From = Before.phase(),
                                       .m_To = After.phase()});
    addToIndexes(W.tables(), W.indexes(), After);
  }
  W.tables().m_Jobs.insert_or_assign(After.key(), std::move(After));
}

static core::Reason changeJob(ApplyContext &W, const core::JobKey &Key,
                              const job::Input &Value) {
  const job::Job *Found = findJob(W.m_Result.m_State, Key);
  if (!Found)
    return {core::ReasonCode::NotFound, "id", "no such job"};
  auto Next = job::applyInput(*Found, Value, W.now());
  if (!Next)
    return Next.reason();
  replaceJob(W, job::Job(*Found), *std::move(Next));
  return {};
}

// Like changeJob, but rejects inputs that belong to another attempt.
static core::Reason changeAttempt(ApplyContext &W, const core::JobKey &Key,
                                  std::uint32_t Attempt,
                                  const job::Input &Value) {
  const job::Job *Found = findJob(W.m_Result.m_State, Key);
  if (Found && Found->fields().m_Attempt != Attempt)
    return {core::ReasonCode::Conflict, "attempt",
            "attempt " + std::to_string(Found->fields().m_Attempt) +
                " is the current one"};
  return changeJob(W, Key, Value);
}

static void recordTargetChange(ApplyContext &W, const target::Target &After) {
  auto Known = W.tables().m_Targets.find(After.id());
  if (Known == W.tables().m_Targets.end())
    return;
  const target::TargetFields &Old = Known->second.fields();
  bool Quarantined = After.fields().m_QuarantinedUntil > Old.m_QuarantinedUntil;
  if (Old.m_Presence != After.presence() || Quarantined)
    W.m_Result.m_TargetChanges.push_back({.m_Target = After.id(),
                                          .m_From = Old.m_Presence,
                                          .m_To = After.presence(),
                                          .m_Quarantined = Quarantined});
}

static void replaceTarget(ApplyContext &W, target::Target After) {
  recordTargetChange(W, After);
  W.indexes().m_Fleet = std::move(W.indexes().m_Fleet).withTarget(After);
  W.tables().m_Targets.insert_or_assign(After.id(), std::move(After));
  W.m_Result.m_FleetChanged = true;
}

static void recordDecision(ApplyContext &W, const placement::Decision &Value) {
  std::vector<placement::Decision> &Kept = W.tables().m_Decisions[Value.m_Job];
  Kept.push_back(Value);
  if (Kept.size() > DecisionsPerJob)
    Kept.erase(Kept.begin());
}

// Marks the members on the target as lost in every job that has some there.
static void markMembersLost(ApplyContext &W, const core::TargetId &Id) {
  const placement::TargetUsage *Usage = W.indexes().m_Fleet.find(Id);
  if (!Usage)
    return;
  std::vector<core::JobKey> Affected;
  for (const placement::JobAllocation &Each : Usage->m_Allocations)
    Affected.push_back(Each.m_Job);
  for (const core::JobKey &Key : Affected)
    (void)changeJob(W, Key, job::MemberLost{.m_Target = Id});
}

// ---- One function for each command -----------------------------------------

static core::Reason applyOne(ApplyContext &W, const AcceptJob &Value) {
  const core::JobKey &Key = Value.m_Spec.m_Key;
  if (const job::Job *Known = findJob(W.m_Result.m_State, Key)) {
    if (Known->spec() == Value.m_Spec)
      return {};
    return {core::ReasonCode::Conflict, "id",
            "is already used by a request with different content"};
  }
  if (!W.tables().m_Configuration.find(Key.m_Workspace))
    return {core::ReasonCode::NotFound, "workspace", "is not configured"};
  auto Created = job::Job::create(Value.m_Spec, W.now());
  if (!Created)
    return Created.reason();
  addToIndexes(W.tables(), W.indexes(), *Created);
  W.m_Result.m_JobChanges.push_back({.m_Job = Key});
  W.tables().m_Jobs.emplace(Key, *std::move(Created));
  return {};
}

static core::Reason applyOne(ApplyContext &W, const CancelJob &Value) {
  const job::Job *Found = findJob(W.m_Result.m_State, Value.m_Job);
  // A repeated cancel, or one that arrives after the job has finished, has no
  // effect.
  if (Found && (Found->isFinished() ||
                Found->fields().m_StopCause == job::StopCause::Cancelled))
    return {};
  return changeJob(W, Value.m_Job, job::Cancel{});
}

static core::Reason applyOne(ApplyContext &W,
                             const ChangeConfiguration &Value) {
  auto Next = configuration::applyProposal(W.tables().m_Configuration,
                                           Value.m_Proposal);
  if (!Next)
    return Next.reason();
  W.tables().m_Configuration = *std::move(Next);
  W.m_Result.m_FleetChanged = true;
  return {};
}

static core::Reason applyOne(ApplyContext &W, const AnnounceTarget &Value) {
  auto Created = target::Target::create(Value.m_Announcement);
  if (!Created)
    return Created.reason();
  const core::TargetId &Id = Created->id();
  auto Known = W.tables().m_Targets.find(Id);
  if (Known == W.tables().m_Targets.end()) {
    replaceTarget(W, *std::move(Created));
    return {};
  }
  if (Known->second.isLostIncarnation(Value.m_Announcement))
    return lostTargetReason();
  bool Restarted = Known->second.announcement().m_Incarnation !=
                   Value.m_Announcement.m_Incarnation;
  target::Target Next = Known->second.withAnnouncement(Value.m_Announcement);
  if (Restarted)
    markMembersLost(W, Id);
  replaceTarget(W, std::move(Next));
  return {};
}

static core::Reason setPresence(ApplyContext &W, const core::TargetId &Id,
                                target::Presence Value) {
  auto Known = W.tables().m_Targets.find(Id);
  if (Known == W.tables().m_Targets.end())
    return {core::ReasonCode::NotFound, "target", "has not announced itself"};
  replaceTarget(W, Known->second.withPresence(Value));
  return {};
}

static core::Reason applyOne(ApplyContext &W, const MarkTargetLeaving &Value) {
  return setPresence(W, Value.m_Target, target::Presence::Leaving);
}

static core::Reason applyOne(ApplyContext &W, const MarkTargetLost &Value) {
  markMembersLost(W, Value.m_Target);
  return setPresence(W, Value.m_Target, target::Presence::Lost);
}

// True when new work must not start on the target, because its failure domain
// is evacuated.
static bool isEvacuated(const ApplyContext &W, const core::TargetId &Id) {
  const placement::TargetUsage *Found =
      W.m_Result.m_State.m_Indexes.m_Fleet.find(Id);
  return Found && Found->m_Evacuated;
}

static core::Reason applyOne(ApplyContext &W, const PlaceJob &Value) {
  const placement::Decision &Decision = Value.m_Decision;
  // The decision may have been made before the evacuation was applied.
  for (const core::TargetId &Each : Decision.m_Targets)
    if (isEvacuated(W, Each))
      return {core::ReasonCode::Conflict, "targets",
              "a failure domain is evacuated"};
  core::Reason Reason =
      changeJob(W, Decision.m_Job,
                job::Place{.m_FencingToken = W.tables().m_NextFence,
                           .m_Targets = Decision.m_Targets});
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  ++W.tables().m_NextFence;
  recordDecision(W, Decision);
  return {};
}

static core::Reason applyOne(ApplyContext &W, const StartJob &Value) {
  const job::Job *Found = findJob(W.m_Result.m_State, Value.m_Job);
  bool MayStart = !Found || std::none_of(Found->fields().m_Members.begin(),
                                         Found->fields().m_Members.end(),
                                         [&](const job::GangMember &Each) {
                                           return isEvacuated(W, Each.m_Target);
                                         });
  // Nothing has been started yet, so the job is placed again elsewhere.
  if (!MayStart)
    return changeAttempt(W, Value.m_Job, Value.m_Attempt,
                         job::StartRefused{.m_MayHaveRun = false});
  return changeAttempt(W, Value.m_Job, Value.m_Attempt, job::Start{});
}

static core::Reason applyOne(ApplyContext &W, const AbortAttempt &Value) {
  return changeAttempt(W, Value.m_Job, Value.m_Attempt,
                       job::StartRefused{.m_MayHaveRun = Value.m_MayHaveRun});
}

static core::Reason applyOne(ApplyContext &W, const ReclaimCapacity &Value) {
  recordDecision(W, Value.m_Decision);
  for (const core::JobKey &Victim : Value.m_Decision.m_Victims)
    (void)changeJob(W, Victim, job::Reclaim{});
  return {};
}

static core::Reason applyOne(ApplyContext &W, const ConfirmStopped &Value) {
  return changeAttempt(W, Value.m_Job, Value.m_Attempt, job::Stopped{});
}

// Records a task's success or failure at its target and, once the whole gang
// has answered, adds the run time to the estimates.
static void recordTaskResult(ApplyContext &W, const FinishTask &Value,
                             const job::Job &Before) {
  const core::TargetId &Id = Before.fields().m_Members[Value.m_Task].m_Target;
  auto Known = W.tables().m_Targets.find(Id);
  if (Known != W.tables().m_Targets.end()) {
    target::Target Next = Value.m_Succeeded
                              ? Known->second.afterSuccess()
                              : Known->second.afterFailure(W.now());
    if (Next != Known->second)
      replaceTarget(W, std::move(Next));
  }
  const job::Job *After = findJob(W.m_Result.m_State, Value.m_Job);
  if (After && After->phase() == job::Phase::Answered)
    W.tables().m_Estimates =
        std::move(W.tables().m_Estimates)
            .withObservation(After->spec(),
                             W.now() - After->fields().m_StartedAt);
}

static core::Reason applyOne(ApplyContext &W, const FinishTask &Value) {
  const job::Job *Found = findJob(W.m_Result.m_State, Value.m_Job);
  if (!Found)
    return {core::ReasonCode::NotFound, "id", "no such job"};
  job::Job Before = *Found;
  core::Reason Reason =
      changeAttempt(W, Value.m_Job, Value.m_Attempt,
                    job::TaskDone{.m_Task = Value.m_Task,
                                  .m_Succeeded = Value.m_Succeeded,
                                  .m_Answer = Value.m_Answer});
  bool TookEffect = Reason.m_Code == core::ReasonCode::None &&
                    Value.m_Task < Before.fields().m_Members.size();
  if (TookEffect)
    recordTaskResult(W, Value, Before);
  return Reason;
}

static core::Reason applyOne(ApplyContext &W, const RejectJob &Value) {
  return changeJob(W, Value.m_Job, job::Reject{.m_Reason = Value.m_Reason});
}

static core::Reason applyOne(ApplyContext &W, const ExpireJobs &) {
  core::Duration Retention = W.tables().m_Configuration.limits().m_Retention;
  auto &Finished = W.indexes().m_Finished;
  while (!Finished.empty() && (Finished.begin()->first + Retention <= W.now() ||
                               Finished.size() > MaxFinishedJobs)) {
    core::JobKey Key = Finished.begin()->second;
    removeFromIndexes(W.indexes(), W.tables().m_Jobs.at(Key));
    W.tables().m_Jobs.erase(Key);
    W.tables().m_Decisions.erase(Key);
  }
  impl::expireWorkflows(W);
  return {};
}

static core::Reason applyOne(ApplyContext &W,
                             const ReplaceConfiguration &Value) {
  auto Next = configuration::applyReplacement(W.tables().m_Configuration,
                                              Value.m_Replacement);
  if (!Next)
    return Next.reason();
  bool Changed = Next->version() != W.tables().m_Configuration.version();
  W.m_Result.m_FleetChanged = W.m_Result.m_FleetChanged || Changed;
  W.tables().m_Configuration = *std::move(Next);
  return {};
}

static core::Reason applyOne(ApplyContext &W, const SetEvacuation &Value) {
  evacuation::Evacuations &Known = W.tables().m_Evacuations;
  auto Next = evacuation::applyChange(Known, Value.m_Change, W.now());
  if (!Next)
    return Next.reason();
  const std::string &Domain = Value.m_Change.m_FailureDomain;
  bool Changes = Next->isEvacuated(Domain) != Known.isEvacuated(Domain);
  Known = *std::move(Next);
  if (!Changes)
    return {};
  W.indexes().m_Fleet = std::move(W.indexes().m_Fleet).withEvacuations(Known);
  W.m_Result.m_FleetChanged = true;
  W.m_Result.m_EvacuationChanges.push_back(
      {.m_FailureDomain = Domain, .m_Evacuated = Value.m_Change.m_Evacuated});
  return {};
}

ApplyResult apply(State Current, const Batch &Value) {
  ApplyContext W{.m_Result = {.m_State = std::move(Current)}};
  // The clocks of successive leaders differ, but the state's time must not
  // decrease.
  W.tables().m_LastBatchAt = std::max(W.tables().m_LastBatchAt, Value.m_At);
  for (const Command &Each : Value.m_Commands)
    W.m_Result.m_Results.push_back(std::visit(
        [&](const auto &Typed) { return applyOne(W, Typed); }, Each));
  return std::move(W.m_Result);
}

} // namespace fireflydrift::control
