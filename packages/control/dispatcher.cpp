#include "control/dispatcher.h"

#include "core/exponential_delay.h"

#include <algorithm>

namespace fireflydrift::control {

// A new leader does not repeat the start calls of a job that started longer ago
// than this, measured by the times in the log: the targets have replied to the
// leader that sent the calls.
static constexpr core::Duration StartAnsweredAfter{60000};

// ---- Job changes ------------------------------------------------------------

static std::optional<Verb> verbFor(job::Phase Value) {
  switch (Value) {
  case job::Phase::Reserving:
    return Verb::Reserve;
  case job::Phase::Running:
    return Verb::Start;
  case job::Phase::Stopping:
    return Verb::Stop;
  case job::Phase::Queued:
  case job::Phase::Answered:
  case job::Phase::Failed:
  case job::Phase::Cancelled:
  case job::Phase::NotRun:
  case job::Phase::Unknown:
    break;
  }
  return std::nullopt;
}

static JobCalls makeJobCalls(const job::Job &Value, Verb Needed,
                             core::Time Now) {
  JobCalls Calls{.m_Attempt = Value.fields().m_Attempt, .m_Verb = Needed};
  for (const job::GangMember &Each : Value.fields().m_Members)
    Calls.m_Calls[Each.m_Target].m_NextAt = Now;
  return Calls;
}

// Ends a job's stage. Calls under way are no longer counted, because their
// replies will be ignored.
static Dispatcher dropJob(Dispatcher Before, const core::JobKey &Key) {
  auto Found = Before.m_Jobs.find(Key);
  if (Found == Before.m_Jobs.end())
    return Before;
  for (const auto &[Id, Each] : Found->second.m_Calls)
    if (Each.m_InFlight)
      --Before.m_InFlight;
  Before.m_Jobs.erase(Found);
  return Before;
}

Dispatcher updateJob(Dispatcher Before, const State &Current,
                     const core::JobKey &Key, core::Time Now) {
  const job::Job *Found = findJob(Current, Key);
  auto Needed = Found ? verbFor(Found->phase()) : std::nullopt;
  if (!Needed)
    return dropJob(std::move(Before), Key);
  auto Calls = Before.m_Jobs.find(Key);
  bool Same = Calls != Before.m_Jobs.end() &&
              Calls->second.m_Attempt == Found->fields().m_Attempt &&
              Calls->second.m_Verb == *Needed;
  if (Same)
    return Before;
  Before = dropJob(std::move(Before), Key);
  Before.m_Jobs.emplace(Key, makeJobCalls(*Found, *Needed, Now));
  return Before;
}

Dispatcher rebuildDispatcher(const State &Current, core::Time Now) {
  Dispatcher Rebuilt;
  for (const core::JobKey &Key : Current.m_Indexes.m_Placed) {
    const job::Job *Found = findJob(Current, Key);
    bool StartAnswered =
        Found->phase() == job::Phase::Running &&
        Current.m_Tables.m_LastBatchAt - Found->fields().m_StartedAt >
            StartAnsweredAfter;
    if (StartAnswered)
      continue;
    Rebuilt = updateJob(std::move(Rebuilt), Current, Key, Now);
    Rebuilt.m_Jobs.at(Key).m_FromEarlierLeader = true;
  }
  return Rebuilt;
}

// ---- Sending calls ----------------------------------------------------------

static Call makeCall(const target::Target &Target, const job::Job &Job,
                     Verb Needed, const DispatchOptions &Options) {
  const job::JobFields &Fields = Job.fields();
  const target::Announcement &Announcement = Target.announcement();
  Call Value{.m_Verb = Needed,
             .m_Target = Target.id(),
             .m_Host = Announcement.m_Host,
             .m_Port = Announcement.m_Port,
             .m_Lease = {.m_Job = Job.key(),
                         .m_Attempt = Fields.m_Attempt,
                         .m_FencingToken = Fields.m_FencingToken},
             .m_PerTask = Job.spec().m_Shape.m_PerTask,
             .m_LeaseLength = Options.m_Lease,
             .m_Checkpoint = Needed == Verb::Stop &&
                             Fields.m_StopCause == job::StopCause::Reclaimed};
  for (std::uint32_t I = 0; I < Fields.m_Members.size(); ++I)
    if (Fields.m_Members[I].m_Target == Target.id())
      Value.m_Tasks.push_back(I);
  if (Needed == Verb::Start)
    Value.m_Body = Job.spec().m_Body;
  return Value;
}

static bool allDone(const JobCalls &Value) {
  return std::all_of(Value.m_Calls.begin(), Value.m_Calls.end(),
                     [](const auto &Each) { return Each.second.m_Done; });
}

// The command that ends a stage once all its calls are done. A start stage ends
// without a command.
static std::optional<Command> endOfStage(const core::JobKey &Key,
                                         const JobCalls &Calls) {
  switch (Calls.m_Verb) {
  case Verb::Reserve:
    return StartJob{.m_Job = Key, .m_Attempt = Calls.m_Attempt};
  case Verb::Stop:
    return ConfirmStopped{.m_Job = Key, .m_Attempt = Calls.m_Attempt};
  case Verb::Start:
    break;
  }
  return std::nullopt;
}

static void proposeOnce(JobCalls &Calls, DispatchStep &Out, Command Value) {
  if (Calls.m_EndProposed)
    return;
  Calls.m_EndProposed = true;
  Out.m_Commands.push_back(std::move(Value));
}

// Proposes the end of the stage when every call is done.
static void proposeStageEnd(const core::JobKey &Key, JobCalls &Calls,
                            DispatchStep &Out) {
  if (!allDone(Calls))
    return;
  if (auto End = endOfStage(Key, Calls))
    proposeOnce(Calls, Out, *std::move(End));
}

static const target::Target *findTarget(const State &Current,
                                        const core::TargetId &Id) {
  auto Found = Current.m_Tables.m_Targets.find(Id);
  return Found == Current.m_Tables.m_Targets.end() ? nullptr : &Found->second;
}

// True once the lease on a lost target has ended, without a stop call. An entry
// VM may have extended it until the target was declared lost.
static bool hasLostItsLease(CallProgress &Progress,
                            const DispatchOptions &Options, core::Time Now) {
  if (!Progress.m_LostSince)
    Progress.m_LostSince = Now;
  return Now - *Progress.m_LostSince >= Options.m_Lease;
}

// True in the reserve stage. In the start stage, true only when no earlier
// leader may have sent start calls, and each of this leader's was refused or
// never sent.
static bool isCertainlyNotStarted(const JobCalls &Calls) {
  if (Calls.m_Verb == Verb::Reserve)
    return true;
  return !Calls.m_FromEarlierLeader &&
         std::none_of(Calls.m_Calls.begin(), Calls.m_Calls.end(),
                      [](const auto &Each) {
                        const CallProgress &Value = Each.second;
                        return Value.m_Done || Value.m_InFlight ||
                               Value.m_MayHaveArrived;
                      });
}

static void proposeAbort(const core::JobKey &Key, JobCalls &Calls,
                         DispatchStep &Out) {
  proposeOnce(Calls, Out,
              AbortAttempt{.m_Job = Key,
                           .m_Attempt = Calls.m_Attempt,
                           .m_MayHaveRun = !isCertainlyNotStarted(Calls)});
}

// True when a start call must not be sent or repeated, because the target's
// failure domain is evacuated. A job that an earlier leader has started runs
// on: targets take a repeated call for the same start.
static bool isStartForbidden(const State &Current, const JobCalls &Calls,
                             const core::TargetId &Id) {
  const placement::TargetUsage *Usage = Current.m_Indexes.m_Fleet.find(Id);
  return Calls.m_Verb == Verb::Start && !Calls.m_FromEarlierLeader && Usage &&
         Usage->m_Evacuated;
}

DispatchStep sendDueCalls(Dispatcher Before, const State &Current,
                          const DispatchOptions &Options, core::Time Now) {
  DispatchStep Out;
  std::vector<core::JobKey> Started;
  for (auto &[Key, Calls] : Before.m_Jobs) {
    const job::Job *Job = findJob(Current, Key);
    for (auto &[Id, Progress] : Calls.m_Calls) {
      const target::Target *Target = findTarget(Current, Id);
      bool Lost = !Target || Target->presence() == target::Presence::Lost;
      if (Calls.m_Verb == Verb::Stop && Lost)
        Progress.m_Done =
            Progress.m_Done || hasLostItsLease(Progress, Options, Now);
      bool Due = !Progress.m_Done && !Progress.m_InFlight && !Lost &&
                 !Calls.m_EndProposed && Progress.m_NextAt <= Now &&
                 Before.m_InFlight < Options.m_MaxInFlight;
      if (!Due)
        continue;
      if (isStartForbidden(Current, Calls, Id)) {
        proposeAbort(Key, Calls, Out);
        continue;
      }
      Progress.m_InFlight = true;
      ++Progress.m_Tries;
      ++Before.m_InFlight;
      Out.m_Calls.push_back(makeCall(*Target, *Job, Calls.m_Verb, Options));
    }
    proposeStageEnd(Key, Calls, Out);
    if (Calls.m_Verb == Verb::Start && allDone(Calls))
      Started.push_back(Key);
  }
  for (const core::JobKey &Key : Started)
    Before.m_Jobs.erase(Key);
  Out.m_Dispatcher = std::move(Before);
  return Out;
}

bool hasUnsentCalls(const Dispatcher &Value) {
  return std::any_of(
      Value.m_Jobs.begin(), Value.m_Jobs.end(), [](const auto &Each) {
        const JobCalls &Calls = Each.second;
        return !Calls.m_EndProposed &&
               std::any_of(
                   Calls.m_Calls.begin(), Calls.m_Calls.end(),
                   [](const auto &Call) { return Call.second.m_Tries == 0; });
      });
}

// ---- Replies ----------------------------------------------------------------

// The delay before the next try; Tries is at least 1.
static core::Duration retryDelay(const DispatchOptions &Options,
                                 std::uint32_t Tries) {
  return core::exponentialDelay(Options.m_InitialRetryDelay,
                                Options.m_MaxRetryDelay, Tries - 1);
}

static void applyReply(const core::JobKey &Key, JobCalls &Calls,
                       CallProgress &Progress, const CallReply &Reply,
                       const DispatchOptions &Options, core::Time Now,
                       DispatchStep &Out) {
  bool Stop = Calls.m_Verb == Verb::Stop;
  switch (Reply.m_Outcome) {
  case CallOutcome::Accepted:
    Progress.m_Done = true;
    break;
  case CallOutcome::UnknownLease:
    // Nothing is running under a lease that the target does not know.
    if (Stop)
      Progress.m_Done = true;
    else
      proposeAbort(Key, Calls, Out);
    break;
  case CallOutcome::Refused:
    if (!Stop)
      proposeAbort(Key, Calls, Out);
    else
      Progress.m_NextAt = Now + retryDelay(Options, Progress.m_Tries);
    break;
  case CallOutcome::NoAnswer:
    Progress.m_MayHaveArrived = true;
    Progress.m_NextAt = Now + retryDelay(Options, Progress.m_Tries);
    if (Calls.m_Verb == Verb::Reserve &&
        Progress.m_Tries >= Options.m_MaxReserveTries)
      proposeAbort(Key, Calls, Out);
    break;
  }
  proposeStageEnd(Key, Calls, Out);
}

DispatchStep handleReply(Dispatcher Before, const State &Current,
                         const CallReply &Reply, const DispatchOptions &Options,
                         core::Time Now) {
  DispatchStep Out;
  const core::JobKey &Key = Reply.m_Lease.m_Job;
  auto Found = Before.m_Jobs.find(Key);
  bool Expected = Found != Before.m_Jobs.end() &&
                  Found->second.m_Attempt == Reply.m_Lease.m_Attempt &&
                  Found->second.m_Verb == Reply.m_Verb;
  if (Expected) {
    JobCalls &Calls = Found->second;
    auto Progress = Calls.m_Calls.find(Reply.m_Target);
    if (Progress != Calls.m_Calls.end() && Progress->second.m_InFlight) {
      Progress->second.m_InFlight = false;
      --Before.m_InFlight;
      applyReply(Key, Calls, Progress->second, Reply, Options, Now, Out);
    }
    bool Started = Calls.m_Verb == Verb::Start && allDone(Calls);
    if (Started || !findJob(Current, Key))
      Before.m_Jobs.erase(Found);
  }
  Out.m_Dispatcher = std::move(Before);
  return Out;
}

const char *toString(Verb Value) noexcept {
  switch (Value) {
  case Verb::Reserve:
    return "reserve";
  case Verb::Start:
    return "start";
  case Verb::Stop:
    return "stop";
  }
  return "reserve";
}

const char *toString(CallOutcome Value) noexcept {
  switch (Value) {
  case CallOutcome::Accepted:
    return "accepted";
  case CallOutcome::Refused:
    return "refused";
  case CallOutcome::UnknownLease:
    return "unknown_lease";
  case CallOutcome::NoAnswer:
    return "no_answer";
  }
  return "no_answer";
}

} // namespace fireflydrift::control
