#include "messages/json.h"

#include "messages/json_reader.h"

namespace fireflydrift::messages {

using impl::Json;
using impl::ObjectReader;

// ---- Common fields ---------------------------------------------------------

static core::Capacity readCapacity(ObjectReader &Reader) {
  return {.m_Accelerators = Reader.integer("accelerators", 0),
          .m_Processors = Reader.integer("processors", 0),
          .m_MemoryMb = Reader.integer("memory_mb", 0)};
}

static core::Adjacency readAdjacency(ObjectReader &Reader) {
  std::string Text = Reader.text("adjacent", "", true);
  if (Text == "preferred")
    return core::Adjacency::Preferred;
  if (Text == "true")
    return core::Adjacency::Required;
  if (!Text.empty() && Text != "false")
    Reader.fail("adjacent", "must be true, false or \"preferred\"");
  return core::Adjacency::None;
}

static core::Selector readSelector(ObjectReader &Reader) {
  auto Parsed = core::Selector::parse(Reader.text("selector", ""));
  if (!Parsed) {
    Reader.fail("selector", Parsed.reason().m_Message);
    return {};
  }
  return *std::move(Parsed);
}

// Reads a shape and, unless RunTime is null, the run time of its tasks.
static core::Shape readShape(ObjectReader &Reader, core::Duration *RunTime) {
  core::Shape Shape;
  std::int64_t Tasks = Reader.integer("tasks", 1);
  if (Tasks < 1 || Tasks > core::MaxGangTasks)
    Reader.fail("tasks", "must be 1 to 64");
  else
    Shape.m_Tasks = static_cast<std::uint32_t>(Tasks);
  Shape.m_Adjacency = readAdjacency(Reader);
  auto ReadInto = [&](ObjectReader &From) {
    Shape.m_PerTask = readCapacity(From);
    if (RunTime)
      *RunTime = core::Duration(From.integer("run_time_ms", RunTime->count()));
  };
  if (Reader.has("per_task")) {
    ObjectReader PerTask = Reader.object("per_task");
    ReadInto(PerTask);
    Reader.mergeError(PerTask);
  } else {
    // The fields of per_task are also accepted in the enclosing object, as a
    // shorthand.
    ReadInto(Reader);
  }
  return Shape;
}

static Json writeCapacity(const core::Capacity &Value) {
  return {{"accelerators", Value.m_Accelerators},
          {"processors", Value.m_Processors},
          {"memory_mb", Value.m_MemoryMb}};
}

static Json writeAdjacency(core::Adjacency Value) {
  switch (Value) {
  case core::Adjacency::Preferred:
    return "preferred";
  case core::Adjacency::Required:
    return true;
  case core::Adjacency::None:
    break;
  }
  return false;
}

static core::JobKey readKey(ObjectReader &Reader) {
  return {.m_Workspace = core::WorkspaceId(Reader.text("workspace")),
          .m_Request = core::RequestId(Reader.text("id"))};
}

// ---- Jobs ------------------------------------------------------------------

core::Outcome<job::JobSpec> decodeJobSpec(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  job::JobSpec Spec;
  Spec.m_Key = readKey(Reader);
  Spec.m_Shape = readShape(Reader, &Spec.m_RunTime);
  Spec.m_Idempotent = Reader.boolean("idempotent", true);
  Spec.m_Selector = readSelector(Reader);
  Spec.m_Labels = core::Labels(Reader.stringMap("labels"));
  Spec.m_Body = Reader.text("body", "");
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code == core::ReasonCode::None)
    Reason = job::check(Spec);
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Spec;
}

std::string encodeJobSpec(const job::JobSpec &Value) {
  Json PerTask = writeCapacity(Value.m_Shape.m_PerTask);
  PerTask["run_time_ms"] = Value.m_RunTime.count();
  Json Out{{"workspace", Value.m_Key.m_Workspace.text()},
           {"id", Value.m_Key.m_Request.text()},
           {"tasks", Value.m_Shape.m_Tasks},
           {"per_task", PerTask},
           {"adjacent", writeAdjacency(Value.m_Shape.m_Adjacency)},
           {"idempotent", Value.m_Idempotent},
           {"selector", core::toString(Value.m_Selector)},
           {"labels", Value.m_Labels.entries()},
           {"body", Value.m_Body}};
  return impl::write(Out);
}

// ---- Configuration ---------------------------------------------------------

static workspace::Guarantee readGuarantee(ObjectReader &Reader) {
  workspace::Guarantee Value;
  Value.m_Name = Reader.text("name");
  Value.m_Shape = readShape(Reader, nullptr);
  Value.m_Selector = readSelector(Reader);
  Value.m_ReclaimWithin = core::Duration(
      Reader.integer("reclaim_within_ms", Value.m_ReclaimWithin.count()));
  return Value;
}

static workspace::WorkspaceSpec readWorkspace(ObjectReader &Reader) {
  workspace::WorkspaceSpec Spec;
  Spec.m_Id = core::WorkspaceId(Reader.text("id"));
  Spec.m_Quota = Reader.integer("quota", 0);
  Spec.m_MayBorrow = Reader.integer("may_borrow", 0);
  Spec.m_Weight = static_cast<std::uint32_t>(
      Reader.integerUpTo("weight", 1, workspace::MaxWeight));
  for (ObjectReader &Each : Reader.objects("guarantees")) {
    Spec.m_Guarantees.push_back(readGuarantee(Each));
    Reader.mergeError(Each);
  }
  return Spec;
}

static configuration::Limits readLimits(ObjectReader &Reader) {
  configuration::Limits Value;
  constexpr std::int64_t MaxQueued = 1000000;
  Value.m_QueuedPerWorkspace = static_cast<std::uint32_t>(Reader.integerUpTo(
      "queued_per_workspace", Value.m_QueuedPerWorkspace, MaxQueued));
  Value.m_ShortReserve = Reader.integer("short_reserve", Value.m_ShortReserve);
  Value.m_ShortRunTime = core::Duration(
      Reader.integer("short_run_time_ms", Value.m_ShortRunTime.count()));
  Value.m_Retention =
      core::Duration(Reader.integer("retention_ms", Value.m_Retention.count()));
  return Value;
}

core::Outcome<configuration::Proposal> decodeProposal(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  configuration::Proposal Value;
  Value.m_Operation = core::OperationId(Reader.text("operation"));
  Value.m_Replaces = static_cast<std::uint64_t>(Reader.integer("replaces", 0));
  for (ObjectReader &Each : Reader.objects("workspaces")) {
    Value.m_Workspaces.push_back(readWorkspace(Each));
    Reader.mergeError(Each);
  }
  if (Reader.has("limits")) {
    ObjectReader Limits = Reader.object("limits");
    Value.m_Limits = readLimits(Limits);
    Reader.mergeError(Limits);
  }
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Value;
}

static Json writeGuarantee(const workspace::Guarantee &Value) {
  return {{"name", Value.m_Name},
          {"tasks", Value.m_Shape.m_Tasks},
          {"per_task", writeCapacity(Value.m_Shape.m_PerTask)},
          {"adjacent", writeAdjacency(Value.m_Shape.m_Adjacency)},
          {"selector", core::toString(Value.m_Selector)},
          {"reclaim_within_ms", Value.m_ReclaimWithin.count()}};
}

static Json writeWorkspace(const workspace::WorkspaceSpec &Value) {
  Json Guarantees = Json::array();
  for (const workspace::Guarantee &Each : Value.m_Guarantees)
    Guarantees.push_back(writeGuarantee(Each));
  return {{"id", Value.m_Id.text()},
          {"quota", Value.m_Quota},
          {"may_borrow", Value.m_MayBorrow},
          {"weight", Value.m_Weight},
          {"guarantees", std::move(Guarantees)}};
}

static Json writeLimits(const configuration::Limits &Value) {
  return {{"queued_per_workspace", Value.m_QueuedPerWorkspace},
          {"short_reserve", Value.m_ShortReserve},
          {"short_run_time_ms", Value.m_ShortRunTime.count()},
          {"retention_ms", Value.m_Retention.count()}};
}

// ---- Targets ---------------------------------------------------------------

core::Outcome<target::Announcement>
decodeAnnouncement(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  target::Announcement Value;
  constexpr std::int64_t MaxPort = 65535;
  Value.m_Id = core::TargetId(Reader.text("id"));
  Value.m_Host = Reader.text("host");
  Value.m_Port =
      static_cast<std::uint16_t>(Reader.integerUpTo("port", 0, MaxPort));
  Value.m_Incarnation =
      static_cast<std::uint64_t>(Reader.integer("incarnation", 0));
  Value.m_Region = Reader.text("region");
  Value.m_FailureDomain = Reader.text("failure_domain");
  Value.m_Rack = Reader.text("rack");
  Value.m_Labels = core::Labels(Reader.stringMap("labels"));
  ObjectReader Capacity = Reader.object("capacity");
  Value.m_Capacity = readCapacity(Capacity);
  Reader.mergeError(Capacity);
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Value;
}

std::string encodeAnnouncement(const target::Announcement &Value) {
  Json Out{{"id", Value.m_Id.text()},
           {"host", Value.m_Host},
           {"port", Value.m_Port},
           {"incarnation", Value.m_Incarnation},
           {"region", Value.m_Region},
           {"failure_domain", Value.m_FailureDomain},
           {"rack", Value.m_Rack},
           {"labels", Value.m_Labels.entries()},
           {"capacity", writeCapacity(Value.m_Capacity)}};
  return impl::write(Out);
}

static control::TaskResult readResult(ObjectReader &Reader) {
  control::TaskResult Value;
  Value.m_Job = readKey(Reader);
  Value.m_Attempt = Reader.index("attempt");
  Value.m_Task = Reader.index("task");
  Value.m_Succeeded = Reader.boolean("succeeded", true);
  Value.m_Answer = Reader.text("answer", "");
  if (Value.m_Answer.size() > job::MaxBodyBytes)
    Reader.fail("answer", "must be at most 262144 bytes");
  return Value;
}

core::Outcome<TargetReport> decodeReport(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  TargetReport Value;
  Value.m_Incarnation =
      static_cast<std::uint64_t>(Reader.integer("incarnation", 0));
  for (ObjectReader &Each : Reader.objects("results")) {
    Value.m_Results.push_back(readResult(Each));
    Reader.mergeError(Each);
  }
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Value;
}

std::string encodeReport(const TargetReport &Value) {
  Json Results = Json::array();
  for (const control::TaskResult &Each : Value.m_Results)
    Results.push_back({{"workspace", Each.m_Job.m_Workspace.text()},
                       {"id", Each.m_Job.m_Request.text()},
                       {"attempt", Each.m_Attempt},
                       {"task", Each.m_Task},
                       {"succeeded", Each.m_Succeeded},
                       {"answer", Each.m_Answer}});
  return impl::write(
      Json{{"incarnation", Value.m_Incarnation}, {"results", Results}});
}

std::string encodeReportReply(const ReportReply &Value) {
  return impl::write(Json{{"outcome", "acknowledged"},
                          {"known", Value.m_Known},
                          {"lease_ms", Value.m_LeaseDuration.count()}});
}

core::Outcome<ReportReply> decodeReportReply(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  (void)Reader.text("outcome", "");
  ReportReply Value{.m_Known = Reader.boolean("known", false),
                    .m_LeaseDuration =
                        core::Duration(Reader.integer("lease_ms", 0))};
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Value;
}

// ---- Calls to targets ------------------------------------------------------

std::string encodeCall(const control::Call &Value) {
  Json Out{{"target", Value.m_Target.text()},
           {"workspace", Value.m_Lease.m_Job.m_Workspace.text()},
           {"id", Value.m_Lease.m_Job.m_Request.text()},
           {"attempt", Value.m_Lease.m_Attempt},
           {"fence", Value.m_Lease.m_FencingToken},
           {"tasks", Value.m_Tasks},
           {"per_task", writeCapacity(Value.m_PerTask)},
           {"lease_ms", Value.m_LeaseLength.count()},
           {"checkpoint", Value.m_Checkpoint}};
  if (Value.m_Verb == control::Verb::Start)
    Out["body"] = Value.m_Body;
  return impl::write(Out);
}

core::Outcome<control::Call> decodeCall(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  control::Call Value;
  Value.m_Target = core::TargetId(Reader.text("target"));
  Value.m_Lease.m_Job = readKey(Reader);
  Value.m_Lease.m_Attempt = Reader.index("attempt");
  Value.m_Lease.m_FencingToken =
      static_cast<std::uint64_t>(Reader.integer("fence", 0));
  Value.m_Tasks = Reader.indexes("tasks");
  ObjectReader PerTask = Reader.object("per_task");
  Value.m_PerTask = readCapacity(PerTask);
  Reader.mergeError(PerTask);
  Value.m_LeaseLength = core::Duration(Reader.integer("lease_ms", 0));
  Value.m_Checkpoint = Reader.boolean("checkpoint", false);
  Value.m_Body = Reader.text("body", "");
  core::Reason Reason = Reader.finish();
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Value;
}

std::string encodeCallOutcome(control::CallOutcome Value) {
  return impl::write(Json{{"outcome", control::toString(Value)}});
}

control::CallOutcome decodeCallOutcome(const std::string &Text) {
  ObjectReader Reader = ObjectReader::parse(Text);
  std::string OutcomeName = Reader.text("outcome", "");
  for (auto Known :
       {control::CallOutcome::Accepted, control::CallOutcome::Refused,
        control::CallOutcome::UnknownLease})
    if (OutcomeName == control::toString(Known))
      return Known;
  return control::CallOutcome::NoAnswer;
}

// ---- Replies ---------------------------------------------------------------

static void addReason(Json &Out, const core::Reason &Reason) {
  if (Reason.m_Code == core::ReasonCode::None)
    return;
  Out["reason"] = {{"code", core::toString(Reason.m_Code)},
                   {"field", Reason.m_Field},
                   {"rule", Reason.m_Message}};
}

static Json writeIds(const std::vector<core::TargetId> &Ids) {
  Json Out = Json::array();
  for (const core::TargetId &Id : Ids)
    Out.push_back(Id.text());
  return Out;
}

static Json toJson(const control::Acknowledged &) {
  return {{"outcome", "acknowledged"}};
}

static Json toJson(const control::JobView &Value) {
  Json Out{{"outcome", job::outcomeName(Value.m_Phase)},
           {"workspace", Value.m_Job.m_Workspace.text()},
           {"id", Value.m_Job.m_Request.text()},
           {"attempt", Value.m_Attempt},
           {"may_have_run", Value.m_MayHaveRun},
           {"accepted_at_ms", core::toMs(Value.m_AcceptedAt)},
           {"started_at_ms", core::toMs(Value.m_StartedAt)},
           {"finished_at_ms", core::toMs(Value.m_FinishedAt)},
           {"targets", writeIds(Value.m_Targets)}};
  if (Value.m_Phase == job::Phase::Answered)
    Out["answers"] = Value.m_Answers;
  addReason(Out, Value.m_Reason);
  return Out;
}

static Json toJson(const control::DecisionsView &Value) {
  Json Decisions = Json::array();
  for (const placement::Decision &Each : Value.m_Decisions) {
    Json Victims = Json::array();
    for (const core::JobKey &Key : Each.m_Victims)
      Victims.push_back(core::toString(Key));
    Decisions.push_back({{"at_ms", core::toMs(Each.m_At)},
                         {"verdict", placement::toString(Each.m_Verdict)},
                         {"considered", Each.m_Considered},
                         {"ruled_out", Each.m_RuledOut},
                         {"rule", Each.m_Rule},
                         {"targets", writeIds(Each.m_Targets)},
                         {"victims", Victims},
                         {"text", placement::toString(Each)}});
  }
  return {{"outcome", "decisions"}, {"decisions", std::move(Decisions)}};
}

static Json toJson(const control::ConfigurationView &Value) {
  Json Workspaces = Json::array();
  for (const workspace::WorkspaceSpec &Each : Value.m_Fields.m_Workspaces)
    Workspaces.push_back(writeWorkspace(Each));
  Json Out{{"outcome", "configuration"},
           {"version", Value.m_Fields.m_Version},
           {"operation", Value.m_Fields.m_Operation.text()},
           {"workspaces", std::move(Workspaces)},
           {"limits", writeLimits(Value.m_Fields.m_Limits)}};
  if (Value.m_CreatedVersion != 0)
    Out["accepted_as"] = Value.m_CreatedVersion;
  return Out;
}

static Json toJson(const control::StatusView &Value) {
  Json Vms = Json::array();
  for (const control::VmStatus &Each : Value.m_Vms)
    Vms.push_back({{"vm", Each.m_Vm.text()},
                   {"liveness", Each.m_Liveness},
                   {"role", Each.m_Role},
                   {"configuration_version", Each.m_ConfigurationVersion},
                   {"entries_behind", Each.m_EntriesBehind},
                   {"behind", Each.m_BehindReason}});
  return {{"outcome", "status"},
          {"leader", Value.m_Leader.text()},
          {"term", Value.m_Term},
          {"commit", Value.m_Commit},
          {"configuration_version", Value.m_ConfigurationVersion},
          {"jobs", Value.m_JobsByOutcome},
          {"active_targets", Value.m_ActiveTargets},
          {"quarantined_targets", Value.m_QuarantinedTargets},
          {"lost_targets", Value.m_LostTargets},
          {"free_accelerators", Value.m_FreeAccelerators},
          {"guarantees", Value.m_Guarantees},
          {"evacuated_domains", Value.m_EvacuatedDomains},
          {"vms", std::move(Vms)}};
}

static Json toJson(const control::Failure &Value) {
  // A rejected request did not run. Unavailable and Undecided leave open
  // whether the request was accepted.
  bool Uncertain = Value.m_Reason.m_Code == core::ReasonCode::Unavailable ||
                   Value.m_Reason.m_Code == core::ReasonCode::Undecided;
  Json Out{{"outcome", Uncertain ? "unknown" : "not_run"}};
  addReason(Out, Value.m_Reason);
  return Out;
}

static Json toJson(const control::EvacuationsView &Value) {
  Json Domains = Json::object();
  for (const auto &[Domain, Each] : Value.m_Domains)
    Domains[Domain] = {{"evacuated", Each.m_Evacuated},
                       {"changed_at_ms", core::toMs(Each.m_ChangedAt)},
                       {"revision", Each.m_Revision}};
  return {{"outcome", "evacuations"}, {"failure_domains", std::move(Domains)}};
}

static Json toJson(const control::WorkflowView &Value) {
  return {{"outcome", workflow::toString(Value.m_Phase)},
          {"id", Value.m_Id.text()},
          {"begun", Value.m_Started}};
}

static Json toJson(const control::QueueView &Value) {
  return {{"outcome", "pending"}, {"pending", Value.m_Pending}};
}

std::string encodeReply(const control::Reply &Value) {
  return impl::write(
      std::visit([](const auto &Typed) { return toJson(Typed); }, Value));
}

} // namespace fireflydrift::messages
