#include "control/dispatcher.h"

#include "core/exponential_delay.h"

#include <algorithm>

namespace fireflydrift::control {

// A start that is older than this, by the log's own time, has been answered
// under the leader that sent it.
static constexpr core::Duration StartSettled{60000};

// ---- Following jobs --------------------------------------------------------

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

static OpenJob openJob(const job::Job &Value, Verb Needed, core::Time Now) {
  OpenJob Open{.m_Attempt = Value.fields().m_Attempt, .m_Verb = Needed};
  for (const job::GangMember &Each : Value.fields().m_Members)
    Open.m_Calls[Each.m_Target].m_NextAt = Now;
  return Open;
}

// Calls of an abandoned stage do not come back to it.
static Dispatcher closed(Dispatcher Before, const core::JobKey &Key) {
  auto Found = Before.m_Open.find(Key);
  if (Found == Before.m_Open.end())
    return Before;
  for (const auto &[Id, Each] : Found->second.m_Calls)
    if (Each.m_InFlight)
      --Before.m_InFlight;
  Before.m_Open.erase(Found);
  return Before;
}

Dispatcher follow(Dispatcher Before, const State &Current,
                  const core::JobKey &Key, core::Time Now) {
  const job::Job *Found = findJob(Current, Key);
  auto Needed = Found ? verbFor(Found->phase()) : std::nullopt;
  if (!Needed)
    return closed(std::move(Before), Key);
  auto Open = Before.m_Open.find(Key);
  bool Same = Open != Before.m_Open.end() &&
              Open->second.m_Attempt == Found->fields().m_Attempt &&
              Open->second.m_Verb == *Needed;
  if (Same)
    return Before;
  Before = closed(std::move(Before), Key);
  Before.m_Open.emplace(Key, openJob(*Found, *Needed, Now));
  return Before;
}

Dispatcher inherit(const State &Current, core::Time Now) {
  Dispatcher Fresh;
  for (const core::JobKey &Key : Current.m_Indexes.m_Placed) {
    const job::Job *Found = findJob(Current, Key);
    bool Settled =
        Found->phase() == job::Phase::Running &&
        Current.m_Tables.m_LastBatchAt - Found->fields().m_StartedAt >
            StartSettled;
    if (Settled)
      continue;
    Fresh = follow(std::move(Fresh), Current, Key, Now);
    Fresh.m_Open.at(Key).m_Inherited = true;
  }
  return Fresh;
}

// ---- Making calls ----------------------------------------------------------

static Call makeCall(const target::Target &To, const job::Job &For, Verb Needed,
                     const DispatchOptions &Options) {
  const job::JobFields &Fields = For.fields();
  const target::Announcement &Said = To.announcement();
  Call Value{.m_Verb = Needed,
             .m_Target = To.id(),
             .m_Host = Said.m_Host,
             .m_Port = Said.m_Port,
             .m_Lease = {.m_Job = For.key(),
                         .m_Attempt = Fields.m_Attempt,
                         .m_FencingToken = Fields.m_FencingToken},
             .m_PerTask = For.spec().m_Shape.m_PerTask,
             .m_LeaseLength = Options.m_Lease,
             .m_Checkpoint = Needed == Verb::Stop &&
                             Fields.m_StopCause == job::StopCause::Reclaimed};
  for (std::uint32_t I = 0; I < Fields.m_Members.size(); ++I)
    if (Fields.m_Members[I].m_Target == To.id())
      Value.m_Tasks.push_back(I);
  if (Needed == Verb::Start)
    Value.m_Body = For.spec().m_Body;
  return Value;
}

static bool allDone(const OpenJob &Value) {
  return std::all_of(Value.m_Calls.begin(), Value.m_Calls.end(),
                     [](const auto &Each) { return Each.second.m_Done; });
}

// The command that ends a stage whose calls all succeeded.
static std::optional<Command> endOfStage(const core::JobKey &Key,
                                         const OpenJob &Open) {
  switch (Open.m_Verb) {
  case Verb::Reserve:
    return StartJob{.m_Job = Key, .m_Attempt = Open.m_Attempt};
  case Verb::Stop:
    return ConfirmStopped{.m_Job = Key, .m_Attempt = Open.m_Attempt};
  case Verb::Start:
    break;
  }
  return std::nullopt;
}

static void proposeOnce(OpenJob &Open, Dispatched &Out, Command Value) {
  if (Open.m_Proposed)
    return;
  Open.m_Proposed = true;
  Out.m_Commands.push_back(std::move(Value));
}

// Closes the stage when every call is done.
static void finishStage(const core::JobKey &Key, OpenJob &Open,
                        Dispatched &Out) {
  if (!allDone(Open))
    return;
  if (auto End = endOfStage(Key, Open))
    proposeOnce(Open, Out, *std::move(End));
}

static const target::Target *findTarget(const State &Current,
                                        const core::TargetId &Id) {
  auto Found = Current.m_Tables.m_Targets.find(Id);
  return Found == Current.m_Tables.m_Targets.end() ? nullptr : &Found->second;
}

Dispatched due(Dispatcher Before, const State &Current,
               const DispatchOptions &Options, core::Time Now) {
  Dispatched Out;
  std::vector<core::JobKey> Settled;
  for (auto &[Key, Open] : Before.m_Open) {
    const job::Job *Job = findJob(Current, Key);
    for (auto &[Id, Progress] : Open.m_Calls) {
      const target::Target *Target = findTarget(Current, Id);
      bool Lost = !Target || Target->presence() == target::Presence::Lost;
      // A lost target's lease ends by itself.
      if (Open.m_Verb == Verb::Stop && Lost)
        Progress.m_Done = true;
      bool Due = !Progress.m_Done && !Progress.m_InFlight && !Lost &&
                 !Open.m_Proposed && Progress.m_NextAt <= Now &&
                 Before.m_InFlight < Options.m_MaxInFlight;
      if (!Due)
        continue;
      Progress.m_InFlight = true;
      ++Progress.m_Tries;
      ++Before.m_InFlight;
      Out.m_Calls.push_back(makeCall(*Target, *Job, Open.m_Verb, Options));
    }
    finishStage(Key, Open, Out);
    if (Open.m_Verb == Verb::Start && allDone(Open))
      Settled.push_back(Key);
  }
  for (const core::JobKey &Key : Settled)
    Before.m_Open.erase(Key);
  Out.m_Dispatcher = std::move(Before);
  return Out;
}

bool hasUnsentCalls(const Dispatcher &Value) {
  return std::any_of(
      Value.m_Open.begin(), Value.m_Open.end(), [](const auto &Each) {
        const OpenJob &Open = Each.second;
        return !Open.m_Proposed &&
               std::any_of(
                   Open.m_Calls.begin(), Open.m_Calls.end(),
                   [](const auto &Call) { return Call.second.m_Tries == 0; });
      });
}

// ---- Answers ---------------------------------------------------------------

// The wait after so many tries, of which there is at least one.
static core::Duration retryDelay(const DispatchOptions &Options,
                                 std::uint32_t Tries) {
  return core::exponentialDelay(Options.m_FirstRetry, Options.m_LongestRetry,
                                Tries - 1);
}

// Certain only when this leader made every start call and each was refused at
// its first try.
static bool noneStarted(const OpenJob &Open) {
  if (Open.m_Verb == Verb::Reserve)
    return true;
  return !Open.m_Inherited &&
         std::none_of(
             Open.m_Calls.begin(), Open.m_Calls.end(), [](const auto &Each) {
               const CallProgress &Value = Each.second;
               return Value.m_Done || Value.m_InFlight || Value.m_Tries > 1;
             });
}

static void refuse(const core::JobKey &Key, OpenJob &Open, Dispatched &Out) {
  proposeOnce(Open, Out,
              AbortAttempt{.m_Job = Key,
                           .m_Attempt = Open.m_Attempt,
                           .m_MayHaveRun = !noneStarted(Open)});
}

static void take(const core::JobKey &Key, OpenJob &Open, CallProgress &Progress,
                 const CallReply &Reply, const DispatchOptions &Options,
                 core::Time Now, Dispatched &Out) {
  bool Stop = Open.m_Verb == Verb::Stop;
  switch (Reply.m_Outcome) {
  case CallOutcome::Accepted:
    Progress.m_Done = true;
    break;
  case CallOutcome::UnknownLease:
    // Nothing runs under a lease that the target does not know.
    if (Stop)
      Progress.m_Done = true;
    else
      refuse(Key, Open, Out);
    break;
  case CallOutcome::Refused:
    if (!Stop)
      refuse(Key, Open, Out);
    else
      Progress.m_NextAt = Now + retryDelay(Options, Progress.m_Tries);
    break;
  case CallOutcome::NoAnswer:
    Progress.m_NextAt = Now + retryDelay(Options, Progress.m_Tries);
    if (Open.m_Verb == Verb::Reserve &&
        Progress.m_Tries >= Options.m_ReserveTries)
      refuse(Key, Open, Out);
    break;
  }
  finishStage(Key, Open, Out);
}

Dispatched handleReply(Dispatcher Before, const State &Current,
                       const CallReply &Reply, const DispatchOptions &Options,
                       core::Time Now) {
  Dispatched Out;
  const core::JobKey &Key = Reply.m_Lease.m_Job;
  auto Found = Before.m_Open.find(Key);
  bool Expected = Found != Before.m_Open.end() &&
                  Found->second.m_Attempt == Reply.m_Lease.m_Attempt &&
                  Found->second.m_Verb == Reply.m_Verb;
  if (Expected) {
    OpenJob &Open = Found->second;
    auto Progress = Open.m_Calls.find(Reply.m_Target);
    if (Progress != Open.m_Calls.end() && Progress->second.m_InFlight) {
      Progress->second.m_InFlight = false;
      --Before.m_InFlight;
      take(Key, Open, Progress->second, Reply, Options, Now, Out);
    }
    bool Started = Open.m_Verb == Verb::Start && allDone(Open);
    if (Started || !findJob(Current, Key))
      Before.m_Open.erase(Found);
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
