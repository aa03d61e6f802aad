#include "job/job.h"

#include <algorithm>
#include <array>

namespace fireflydrift::job {

// ---- Validation ------------------------------------------------------------

static core::Reason invalid(const char *Field, const char *Message) {
  return {.m_Code = core::ReasonCode::InvalidInput,
          .m_Field = Field,
          .m_Message = Message};
}

static core::Reason checkShape(const core::Shape &Shape) {
  if (Shape.m_Tasks == 0 || Shape.m_Tasks > core::MaxGangTasks)
    return invalid("tasks", "must be 1 to 64");
  if (!Shape.m_PerTask.covers({}))
    return invalid("per_task", "capacity must not be negative");
  if (Shape.m_PerTask == core::Capacity{})
    return invalid("per_task", "must request some capacity");
  return {};
}

core::Reason check(const JobSpec &Spec) {
  if (!core::isValidId(Spec.m_Key.m_Workspace.text()))
    return invalid("workspace",
                   "must be 1 to 128 characters of A-Z a-z 0-9 - _ . :");
  if (!core::isValidId(Spec.m_Key.m_Request.text()))
    return invalid("id", "must be 1 to 128 characters of A-Z a-z 0-9 - _ . :");
  core::Reason Reason = checkShape(Spec.m_Shape);
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  if (Spec.m_RunTime <= core::Duration::zero() || Spec.m_RunTime > MaxRunTime)
    return invalid("per_task.run_time_ms", "must be 1 ms to 30 days");
  if (Spec.m_Labels.entries().size() > core::MaxLabels)
    return invalid("labels", "must have at most 32 entries");
  if (Spec.m_Body.size() > MaxBodyBytes)
    return {.m_Code = core::ReasonCode::TooLarge,
            .m_Field = "body",
            .m_Message = "must be at most 262144 bytes"};
  return {};
}

// ---- Construction and accessors --------------------------------------------

core::Outcome<Job> Job::create(JobSpec Spec, core::Time Now) {
  core::Reason Reason = check(Spec);
  if (Reason.m_Code != core::ReasonCode::None)
    return Reason;
  return Job(JobFields{.m_Spec = std::move(Spec), .m_AcceptedAt = Now});
}

Job Job::restore(JobFields Fields) noexcept { return Job(std::move(Fields)); }

bool Job::isUrgent() const {
  return spec().m_Labels.has(UrgencyLabel, UrgentValue);
}

bool Job::holdsCapacity() const noexcept {
  return phase() == Phase::Reserving || phase() == Phase::Running ||
         phase() == Phase::Stopping;
}

bool Job::isFinished() const noexcept {
  return phase() != Phase::Queued && !holdsCapacity();
}

bool Job::isReclaimable() const noexcept {
  // A non-idempotent job can't be stopped and run again.
  return spec().m_Idempotent;
}

// ---- The transition table --------------------------------------------------

namespace {

// Rows are phases, columns the alternatives of Input in their order:
// Place, Start, TaskDone, MemberLost, Cancel, StartRefused, Reclaim, Stopped,
// Reject.
using Row = std::array<bool, InputCount>;
constexpr std::array<Row, PhaseCount> LegalInputs{{
    /* Queued    */ {true, false, false, false, true, false, false, false,
                     true},
    /* Reserving */
    {false, true, false, true, true, true, true, false, false},
    /* Running   */
    {false, false, true, true, true, true, true, false, false},
    /* Stopping  */
    {false, false, true, true, true, false, false, true, false},
    /* Answered  */ {},
    /* Failed    */ {},
    /* Cancelled */ {},
    /* NotRun    */ {},
    /* Unknown   */ {},
}};

} // namespace

bool isLegal(Phase From, std::size_t InputIndex) noexcept {
  auto PhaseIndex = static_cast<std::size_t>(From);
  return PhaseIndex < PhaseCount && InputIndex < InputCount &&
         LegalInputs[PhaseIndex][InputIndex];
}

static JobFields finish(JobFields Fields, Phase FinalPhase, core::Reason Reason,
                        core::Time Now) {
  Fields.m_Phase = FinalPhase;
  Fields.m_Reason = std::move(Reason);
  Fields.m_FinishedAt = Now;
  Fields.m_StopCause = StopCause::None;
  if (FinalPhase != Phase::Answered)
    Fields.m_Members.clear();
  return Fields;
}

static JobFields requeue(JobFields Fields) {
  Fields.m_Phase = Phase::Queued;
  Fields.m_Members.clear();
  Fields.m_StopCause = StopCause::None;
  Fields.m_MayHaveRun = false;
  return Fields;
}

static JobFields beginStop(JobFields Fields, StopCause Cause) {
  Fields.m_Phase = Phase::Stopping;
  Fields.m_StopCause = Cause;
  return Fields;
}

static JobFields apply(JobFields Fields, const Place &Value, core::Time) {
  Fields.m_Phase = Phase::Reserving;
  ++Fields.m_Attempt;
  Fields.m_FencingToken = Value.m_FencingToken;
  Fields.m_Members.clear();
  for (const core::TargetId &Target : Value.m_Targets)
    Fields.m_Members.push_back({.m_Target = Target});
  return Fields;
}

static JobFields apply(JobFields Fields, const Start &, core::Time Now) {
  Fields.m_Phase = Phase::Running;
  Fields.m_MayHaveRun = true;
  Fields.m_StartedAt = Now;
  return Fields;
}

static bool allDone(const JobFields &Fields) {
  return std::all_of(Fields.m_Members.begin(), Fields.m_Members.end(),
                     [](const GangMember &Value) { return Value.m_Done; });
}

static JobFields apply(JobFields Fields, const TaskDone &Value,
                       core::Time Now) {
  if (Value.m_Task >= Fields.m_Members.size() ||
      Fields.m_Members[Value.m_Task].m_Done)
    return Fields;
  if (!Value.m_Succeeded) {
    Fields.m_FailedTargets.insert(Fields.m_Members[Value.m_Task].m_Target);
    return Fields.m_Phase == Phase::Running
               ? beginStop(std::move(Fields), StopCause::TaskFailed)
               : Fields;
  }
  Fields.m_Members[Value.m_Task].m_Done = true;
  Fields.m_Members[Value.m_Task].m_Answer = Value.m_Answer;
  // The last answer takes precedence over a stop that is still in progress.
  if (allDone(Fields))
    return finish(std::move(Fields), Phase::Answered, {}, Now);
  return Fields;
}

static bool isMember(const JobFields &Fields, const core::TargetId &Target) {
  return std::any_of(
      Fields.m_Members.begin(), Fields.m_Members.end(),
      [&](const GangMember &Value) { return Value.m_Target == Target; });
}

static JobFields apply(JobFields Fields, const MemberLost &Value, core::Time) {
  if (!isMember(Fields, Value.m_Target) || Fields.m_Phase == Phase::Stopping)
    return Fields;
  return beginStop(std::move(Fields), StopCause::MemberLost);
}

static JobFields apply(JobFields Fields, const Cancel &, core::Time Now) {
  if (Fields.m_Phase == Phase::Queued)
    return finish(
        std::move(Fields), Phase::Cancelled,
        {core::ReasonCode::Cancelled, "", "cancelled before it was placed"},
        Now);
  return beginStop(std::move(Fields), StopCause::Cancelled);
}

static JobFields apply(JobFields Fields, const StartRefused &Value,
                       core::Time) {
  // When no start took effect, even a non-idempotent job can be placed again.
  Fields.m_MayHaveRun = Fields.m_MayHaveRun && Value.m_MayHaveRun;
  return beginStop(std::move(Fields), StopCause::Refused);
}

static JobFields apply(JobFields Fields, const Reclaim &, core::Time) {
  ++Fields.m_ReclaimCount;
  return beginStop(std::move(Fields), StopCause::Reclaimed);
}

static JobFields finishCancelled(JobFields Fields, core::Time Now) {
  const char *Message = Fields.m_MayHaveRun ? "stopped; it may have run in part"
                                            : "cancelled before it started";
  return finish(std::move(Fields), Phase::Cancelled,
                {core::ReasonCode::Cancelled, "", Message}, Now);
}

static JobFields requeueOrFail(JobFields Fields, core::Time Now) {
  bool Retry = Fields.m_Spec.m_Idempotent &&
               Fields.m_FailedTargets.size() < MaxFailedTargets;
  if (Retry)
    return requeue(std::move(Fields));
  return finish(std::move(Fields), Phase::Failed,
                {core::ReasonCode::TaskFailed, "", "a task failed"}, Now);
}

static JobFields requeueOrMarkUnknown(JobFields Fields, core::Time Now) {
  if (Fields.m_Spec.m_Idempotent || !Fields.m_MayHaveRun)
    return requeue(std::move(Fields));
  return finish(std::move(Fields), Phase::Unknown,
                {core::ReasonCode::TargetLost, "",
                 "a target was lost after the start; it may have run"},
                Now);
}

static JobFields apply(JobFields Fields, const Stopped &, core::Time Now) {
  switch (Fields.m_StopCause) {
  case StopCause::Cancelled:
    return finishCancelled(std::move(Fields), Now);
  case StopCause::TaskFailed:
    return requeueOrFail(std::move(Fields), Now);
  case StopCause::None:
  case StopCause::Refused:
  case StopCause::Reclaimed:
  case StopCause::MemberLost:
    break;
  }
  // Whatever the cause, a non-idempotent job that may have run is not requeued.
  return requeueOrMarkUnknown(std::move(Fields), Now);
}

static JobFields apply(JobFields Fields, const Reject &Value, core::Time Now) {
  return finish(std::move(Fields), Phase::NotRun, Value.m_Reason, Now);
}

core::Outcome<Job> applyInput(const Job &Current, const Input &Value,
                              core::Time Now) {
  if (!isLegal(Current.phase(), Value.index()))
    return core::Reason{.m_Code = core::ReasonCode::IllegalTransition,
                        .m_Field = "job",
                        .m_Message = std::string("input is not allowed in ") +
                                     outcomeName(Current.phase())};
  JobFields Next = std::visit(
      [&](const auto &Typed) { return apply(Current.fields(), Typed, Now); },
      Value);
  return Job::restore(std::move(Next));
}

// ---- Names -----------------------------------------------------------------

const char *outcomeName(Phase Value) noexcept {
  switch (Value) {
  case Phase::Queued:
  case Phase::Reserving:
    return "queued";
  case Phase::Running:
  case Phase::Stopping:
    return "running";
  case Phase::Answered:
    return "answered";
  case Phase::Failed:
    return "failed";
  case Phase::Cancelled:
    return "cancelled";
  case Phase::NotRun:
    return "not_run";
  case Phase::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *toString(StopCause Value) noexcept {
  switch (Value) {
  case StopCause::None:
    return "none";
  case StopCause::Refused:
    return "refused";
  case StopCause::Cancelled:
    return "cancelled";
  case StopCause::Reclaimed:
    return "reclaimed";
  case StopCause::MemberLost:
    return "member_lost";
  case StopCause::TaskFailed:
    return "task_failed";
  }
  return "none";
}

} // namespace fireflydrift::job
