#include "control/operation.h"

#include <algorithm>

namespace fireflydrift::control {

// ---- Views -----------------------------------------------------------------

JobView viewOf(const job::Job &Value) {
  const job::JobFields &Fields = Value.fields();
  JobView View{.m_Job = Value.key(),
               .m_Phase = Value.phase(),
               .m_Reason = Fields.m_Reason,
               .m_Attempt = Fields.m_Attempt,
               .m_MayHaveRun = Fields.m_MayHaveRun,
               .m_AcceptedAt = Fields.m_AcceptedAt,
               .m_StartedAt = Fields.m_StartedAt,
               .m_FinishedAt = Fields.m_FinishedAt,
               .m_Targets = placement::targetsOf(Value)};
  // Answers are shown only once all members have answered.
  if (Value.phase() == job::Phase::Answered)
    for (const job::GangMember &Each : Fields.m_Members)
      View.m_Answers.push_back(Each.m_Answer);
  return View;
}

static void countTargets(const State &Current, core::Time Now,
                         StatusView &View) {
  for (const auto &[Id, Value] : Current.m_Tables.m_Targets) {
    if (Value.presence() == target::Presence::Lost)
      ++View.m_LostTargets;
    else if (Value.isQuarantined(Now))
      ++View.m_QuarantinedTargets;
    else if (Value.presence() == target::Presence::Active)
      ++View.m_ActiveTargets;
  }
}

StatusView statusOf(const State &Current,
                    const placement::GuaranteeReservations &Reservations,
                    core::Time Now) {
  StatusView View;
  View.m_ConfigurationVersion = Current.m_Tables.m_Configuration.version();
  for (const auto &[Key, Value] : Current.m_Tables.m_Jobs)
    ++View.m_JobsByOutcome[job::outcomeName(Value.phase())];
  countTargets(Current, Now, View);
  for (const auto &[Domain, Each] :
       Current.m_Tables.m_Evacuations.fields().m_Domains)
    if (Each.m_Evacuated)
      View.m_EvacuatedDomains.push_back(Domain);
  View.m_FreeAccelerators = Current.m_Indexes.m_Fleet.freeAccelerators();
  auto Name = [](const placement::GuaranteeKey &Key) {
    return Key.m_Workspace.text() + "/" + Key.m_Name;
  };
  for (const auto &[Key, Value] : Reservations.m_ByGuarantee)
    View.m_Guarantees.emplace(Name(Key), true);
  for (const placement::GuaranteeKey &Key : Reservations.m_Unsatisfied)
    View.m_Guarantees.emplace(Name(Key), false);
  return View;
}

// ---- Handling operations ----------------------------------------------------

static HandleResult replyNow(Reply Value) {
  return {.m_Reply = std::move(Value)};
}

static HandleResult fail(core::ReasonCode Code, std::string Field,
                         std::string Message) {
  return replyNow(
      Failure{.m_Reason = {Code, std::move(Field), std::move(Message)}});
}

static HandleResult propose(Command Value) {
  return {.m_Commands = {std::move(Value)}};
}

static HandleResult jobNotFound() {
  return fail(core::ReasonCode::NotFound, "id",
              "no such job, or its outcome has expired");
}

namespace {

struct Context {
  const State &m_State;
  const placement::GuaranteeReservations &m_Reservations;
  core::Time m_Now;
};

} // namespace

static HandleResult handleOne(const Context &C, const Submit &Value) {
  core::Reason Reason = job::check(Value.m_Spec);
  if (Reason.m_Code != core::ReasonCode::None)
    return replyNow(Failure{.m_Reason = std::move(Reason)});
  const core::JobKey &Key = Value.m_Spec.m_Key;
  if (const job::Job *Known = findJob(C.m_State, Key)) {
    if (Known->spec() == Value.m_Spec)
      return replyNow(viewOf(*Known));
    return fail(core::ReasonCode::Conflict, "id",
                "is already used by a request with different content");
  }
  const Tables &Stored = C.m_State.m_Tables;
  if (!Stored.m_Configuration.find(Key.m_Workspace))
    return fail(core::ReasonCode::NotFound, "workspace", "is not configured");
  const auto &Queued = C.m_State.m_Indexes.m_QueuedByWorkspace;
  auto Count = Queued.find(Key.m_Workspace);
  if (Count != Queued.end() &&
      Count->second >= Stored.m_Configuration.limits().m_QueuedPerWorkspace)
    return fail(core::ReasonCode::Overloaded, "workspace",
                "its queue is full; the request was not accepted");
  if (C.m_State.m_Indexes.m_AnswerBytes >= MaxAnswerBytes)
    return fail(
        core::ReasonCode::Overloaded, "",
        "stored answers have reached their size limit; the request was not "
        "accepted");
  return propose(AcceptJob{.m_Spec = Value.m_Spec});
}

static HandleResult handleOne(const Context &C, const Fetch &Value) {
  const job::Job *Found = findJob(C.m_State, Value.m_Job);
  return Found ? replyNow(viewOf(*Found)) : jobNotFound();
}

static HandleResult handleOne(const Context &C, const Cancel &Value) {
  const job::Job *Found = findJob(C.m_State, Value.m_Job);
  if (!Found)
    return jobNotFound();
  if (Found->isFinished())
    return replyNow(viewOf(*Found));
  return propose(CancelJob{.m_Job = Value.m_Job});
}

static HandleResult handleOne(const Context &C, const Explain &Value) {
  if (!findJob(C.m_State, Value.m_Job))
    return jobNotFound();
  auto Found = C.m_State.m_Tables.m_Decisions.find(Value.m_Job);
  DecisionsView View;
  if (Found != C.m_State.m_Tables.m_Decisions.end())
    View.m_Decisions = Found->second;
  return replyNow(std::move(View));
}

static ConfigurationView
configurationView(const configuration::Configuration &Value,
                  const core::OperationId &Operation) {
  return {.m_Fields = Value.fields(),
          .m_CreatedVersion = Value.acceptedAs(Operation).value_or(0)};
}

// The guaranteed shapes that could not be assembled at the same time even on an
// idle fleet.
static std::string
conflictingGuarantees(const State &Current,
                      const configuration::Configuration &Next,
                      core::Time Now) {
  placement::Fleet Idle;
  for (const auto &[Id, Value] : Current.m_Tables.m_Targets)
    Idle = std::move(Idle).withTarget(Value);
  std::string Shapes;
  for (const placement::GuaranteeKey &Key :
       placement::reserveGuarantees(Idle, Next, {}, Now).m_Unsatisfied)
    Shapes += (Shapes.empty() ? "" : ", ") + Key.m_Workspace.text() + "/" +
              Key.m_Name;
  return Shapes;
}

static HandleResult handleOne(const Context &C, const Configure &Value) {
  const Tables &Stored = C.m_State.m_Tables;
  auto Next =
      configuration::applyProposal(Stored.m_Configuration, Value.m_Proposal);
  if (!Next)
    return replyNow(Failure{.m_Reason = Next.reason()});
  if (Next->version() == Stored.m_Configuration.version())
    return replyNow(configurationView(Stored.m_Configuration,
                                      Value.m_Proposal.m_Operation));
  // Without targets no conflict between guarantees can be detected.
  if (!Stored.m_Targets.empty()) {
    std::string Clash = conflictingGuarantees(C.m_State, *Next, C.m_Now);
    if (!Clash.empty())
      return fail(core::ReasonCode::Unplaceable, "guarantees",
                  "can't all be satisfied at the same time: " + Clash);
  }
  return propose(ChangeConfiguration{.m_Proposal = Value.m_Proposal});
}

static HandleResult handleOne(const Context &C,
                              const ReadConfiguration &Value) {
  if (Value.m_VersionOnly)
    return replyNow(ConfigurationView{
        .m_Fields = {.m_Version =
                         C.m_State.m_Tables.m_Configuration.version()}});
  return replyNow(configurationView(C.m_State.m_Tables.m_Configuration, {}));
}

static HandleResult handleOne(const Context &C, const ReadStatus &) {
  return replyNow(statusOf(C.m_State, C.m_Reservations, C.m_Now));
}

static HandleResult handleOne(const Context &C, const Announce &Value) {
  auto Created = target::Target::create(Value.m_Announcement);
  if (!Created)
    return replyNow(Failure{.m_Reason = Created.reason()});
  auto Known = C.m_State.m_Tables.m_Targets.find(Created->id());
  bool IsKnown = Known != C.m_State.m_Tables.m_Targets.end();
  if (IsKnown && Known->second.isLostIncarnation(Value.m_Announcement))
    return replyNow(Failure{.m_Reason = lostTargetReason()});
  bool Unchanged = IsKnown &&
                   Known->second.announcement() == Value.m_Announcement &&
                   Known->second.presence() == target::Presence::Active;
  if (Unchanged)
    return replyNow(Acknowledged{});
  return propose(AnnounceTarget{.m_Announcement = Value.m_Announcement});
}

// True when the result would still change its job.
static bool changesJob(const State &Current, const TaskResult &Value) {
  const job::Job *Found = findJob(Current, Value.m_Job);
  if (!Found || !Found->holdsCapacity() ||
      Found->fields().m_Attempt != Value.m_Attempt)
    return false;
  const auto &Members = Found->fields().m_Members;
  return Value.m_Task < Members.size() && !Members[Value.m_Task].m_Done;
}

static HandleResult handleOne(const Context &C, const ReportResults &Value) {
  HandleResult Out;
  for (const TaskResult &Each : Value.m_Results)
    if (changesJob(C.m_State, Each))
      Out.m_Commands.push_back(FinishTask{.m_Job = Each.m_Job,
                                          .m_Attempt = Each.m_Attempt,
                                          .m_Task = Each.m_Task,
                                          .m_Succeeded = Each.m_Succeeded,
                                          .m_Answer = Each.m_Answer});
  if (Out.m_Commands.empty())
    Out.m_Reply = Acknowledged{};
  return Out;
}

static HandleResult handleOne(const Context &C, const Leave &Value) {
  if (!C.m_State.m_Tables.m_Targets.contains(Value.m_Target))
    return fail(core::ReasonCode::NotFound, "target",
                "has not announced itself");
  return propose(MarkTargetLeaving{.m_Target = Value.m_Target});
}

// ---- Workflows -------------------------------------------------------------

namespace {

// A queue request that has passed authorization.
struct QueueAccess {
  const configuration::Queue *m_Queue = nullptr;
  core::WorkspaceId m_Workspace;
  // The rest of the path: a workflow's id, or empty.
  core::RequestId m_Workflow;
};

} // namespace

static core::Outcome<QueueAccess> resolveQueue(const State &Current,
                                               const QueueRequest &Call) {
  const configuration::Configuration &InForce =
      Current.m_Tables.m_Configuration;
  if (InForce.version() == 0)
    return core::Reason{core::ReasonCode::Unavailable, "configuration",
                        "none is in force yet"};
  configuration::QueueMatch Match = configuration::findQueue(
      InForce.fields().m_Queues, Call.m_Host, Call.m_Path);
  if (!Match.m_Queue)
    return core::Reason{core::ReasonCode::NotFound, "queue",
                        "no queue has this host and path"};
  const workspace::Workspace *Owner = InForce.findByKey(Call.m_Key);
  if (!Owner && !Match.m_Queue->m_Public)
    return core::Reason{core::ReasonCode::Unauthorized, "key",
                        "belongs to no workspace"};
  return QueueAccess{.m_Queue = Match.m_Queue,
                     .m_Workspace = Owner ? Owner->id() : core::WorkspaceId(),
                     .m_Workflow = core::RequestId(Match.m_Rest)};
}

static WorkflowView viewOf(const workflow::Workflow &Value) {
  return {.m_Id = Value.id(),
          .m_Phase = Value.phase(),
          .m_Started = Value.fields().m_Started};
}

// Limit on unfinished workflows, which bounds the size of the state.
static constexpr std::size_t MaxActiveWorkflows = 20000;

static HandleResult handleOne(const Context &C, const SubmitWorkflow &Value) {
  auto Access = resolveQueue(C.m_State, Value.m_Call);
  if (!Access)
    return replyNow(Failure{.m_Reason = Access.reason()});
  if (const auto *Known = findWorkflow(C.m_State, Access->m_Workflow))
    return replyNow(viewOf(*Known));
  const configuration::Queue &Queue = *Access->m_Queue;
  workflow::WorkflowSpec Spec{
      .m_Id = Access->m_Workflow,
      .m_Workspace = Access->m_Workspace,
      .m_Policy = {.m_Queue = Queue.m_Name,
                   .m_Pool = Queue.m_Pool,
                   .m_Priority = Queue.m_Priority,
                   .m_MaxAttempts = Queue.m_MaxAttempts,
                   .m_SlackPercent = Queue.m_SlackPercent,
                   .m_TargetLatency = Queue.m_TargetLatency},
      .m_Body = Value.m_Body,
      .m_Steps = Value.m_Steps};
  core::Reason Reason = workflow::check(Spec);
  if (Reason.m_Code != core::ReasonCode::None)
    return replyNow(Failure{.m_Reason = std::move(Reason)});
  if (C.m_State.m_Indexes.m_ActiveWorkflows.size() >= MaxActiveWorkflows)
    return fail(core::ReasonCode::Overloaded, "queue",
                "too many unfinished workflows; the request was not accepted");
  return propose(AcceptWorkflow{.m_Spec = std::move(Spec)});
}

static std::uint64_t countPending(const State &Current,
                                  const std::string &Queue) {
  std::uint64_t Pending = 0;
  for (const core::RequestId &Id : Current.m_Indexes.m_ActiveWorkflows) {
    const workflow::Workflow &Value = *findWorkflow(Current, Id);
    if (Value.spec().m_Policy.m_Queue == Queue && !Value.fields().m_Started)
      ++Pending;
  }
  return Pending;
}

static HandleResult handleOne(const Context &C, const FetchWorkflow &Value) {
  auto Access = resolveQueue(C.m_State, Value.m_Call);
  if (!Access)
    return replyNow(Failure{.m_Reason = Access.reason()});
  if (Access->m_Workflow.empty())
    return replyNow(QueueView{
        .m_Pending = countPending(C.m_State, Access->m_Queue->m_Name)});
  const auto *Known = findWorkflow(C.m_State, Access->m_Workflow);
  return Known ? replyNow(viewOf(*Known)) : jobNotFound();
}

static HandleResult handleOne(const Context &C,
                              const CancelWorkflowRequest &Value) {
  auto Access = resolveQueue(C.m_State, Value.m_Call);
  if (!Access)
    return replyNow(Failure{.m_Reason = Access.reason()});
  const auto *Known = findWorkflow(C.m_State, Access->m_Workflow);
  if (!Known)
    return jobNotFound();
  if (Known->phase() != workflow::Phase::Active)
    return replyNow(viewOf(*Known));
  return propose(CancelWorkflow{.m_Workflow = Access->m_Workflow});
}

static HandleResult handleOne(const Context &C, const PutConfiguration &Value) {
  const configuration::Configuration &InForce =
      C.m_State.m_Tables.m_Configuration;
  auto Next = configuration::applyReplacement(InForce, Value.m_Replacement);
  if (!Next)
    return replyNow(Failure{.m_Reason = Next.reason()});
  // The newest version stays in force; an older or repeated one is acknowledged
  // without effect.
  if (Next->version() == InForce.version())
    return replyNow(Acknowledged{});
  return propose(ReplaceConfiguration{.m_Replacement = Value.m_Replacement});
}

// ---- Evacuations -----------------------------------------------------------

static EvacuationsView viewOf(const evacuation::Evacuations &Value) {
  return {.m_Domains = Value.fields().m_Domains};
}

static HandleResult handleOne(const Context &C, const ReadEvacuations &) {
  return replyNow(viewOf(C.m_State.m_Tables.m_Evacuations));
}

static HandleResult handleOne(const Context &C, const ChangeEvacuation &Value) {
  const evacuation::Evacuations &Known = C.m_State.m_Tables.m_Evacuations;
  auto Next = evacuation::applyChange(Known, Value.m_Change, C.m_Now);
  if (!Next)
    return replyNow(Failure{.m_Reason = Next.reason()});
  if (*Next == Known)
    return replyNow(viewOf(Known));
  return propose(SetEvacuation{.m_Change = Value.m_Change});
}

HandleResult handle(const State &Current, const Operation &Value,
                    const placement::GuaranteeReservations &Reservations,
                    core::Time Now) {
  Context C{.m_State = Current, .m_Reservations = Reservations, .m_Now = Now};
  return std::visit([&](const auto &Typed) { return handleOne(C, Typed); },
                    Value);
}

// ---- Replying --------------------------------------------------------------

static Reply viewOrFailure(const State &Current, const core::JobKey &Key) {
  if (const job::Job *Found = findJob(Current, Key))
    return viewOf(*Found);
  return *jobNotFound().m_Reply;
}

// The workflow that a request just created or cancelled. Its queue may have
// been removed in the meantime, so the id is taken from the end of the path.
static Reply workflowReply(const State &Current, const QueueRequest &Call) {
  core::RequestId Id(Call.m_Path.substr(Call.m_Path.rfind('/') + 1));
  if (const auto *Found = findWorkflow(Current, Id))
    return viewOf(*Found);
  return *jobNotFound().m_Reply;
}

Reply replyAfterApply(const State &Current, const Operation &Value,
                      const core::Reason &Result) {
  bool Refused = Result.m_Code != core::ReasonCode::None;
  // A result that came too late is acknowledged so that the target does not
  // resend it.
  if (std::holds_alternative<ReportResults>(Value))
    return Acknowledged{};
  if (Refused)
    return Failure{.m_Reason = Result};
  if (const auto *Typed = std::get_if<Submit>(&Value))
    return viewOrFailure(Current, Typed->m_Spec.m_Key);
  if (const auto *Typed = std::get_if<Cancel>(&Value))
    return viewOrFailure(Current, Typed->m_Job);
  if (const auto *Typed = std::get_if<SubmitWorkflow>(&Value))
    return workflowReply(Current, Typed->m_Call);
  if (const auto *Typed = std::get_if<CancelWorkflowRequest>(&Value))
    return workflowReply(Current, Typed->m_Call);
  if (const auto *Typed = std::get_if<Configure>(&Value))
    return configurationView(Current.m_Tables.m_Configuration,
                             Typed->m_Proposal.m_Operation);
  if (std::holds_alternative<ChangeEvacuation>(Value))
    return viewOf(Current.m_Tables.m_Evacuations);
  return Acknowledged{};
}

} // namespace fireflydrift::control
