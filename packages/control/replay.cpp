#include "control/replay.h"

#include <algorithm>
#include <queue>

namespace fireflydrift::control {

// Time after which a task on a failing target fails.
static constexpr core::Duration FailureDelay{50};

// ---- Invariants -------------------------------------------------------------

static bool isFullyPlacedOrUnplaced(const job::Job &Value) {
  bool HoldsCapacity = Value.holdsCapacity();
  std::size_t Members = Value.fields().m_Members.size();
  return !HoldsCapacity || Members == Value.spec().m_Shape.m_Tasks;
}

std::vector<std::string> violatedInvariants(const State &Value) {
  std::vector<std::string> Violations;
  for (const auto &[Id, Usage] : Value.m_Indexes.m_Fleet.targets())
    if (!Usage.m_Target.announcement().m_Capacity.covers(Usage.m_Used))
      Violations.push_back("target " + Id.text() + " is over-committed");
  for (const auto &[Key, Job] : Value.m_Tables.m_Jobs)
    if (!isFullyPlacedOrUnplaced(Job))
      Violations.push_back("job " + core::toString(Key) +
                           " holds capacity for only some of its tasks");
  for (const auto &[Id, Workspace] :
       Value.m_Tables.m_Configuration.workspaces()) {
    std::int64_t Used = Value.m_Indexes.m_Fleet.used(Id);
    if (Workspace.quotaStatus(Used, 0) == workspace::QuotaStatus::Exceeded)
      Violations.push_back("workspace " + Id.text() +
                           " exceeds its quota and borrowing limit");
  }
  return Violations;
}

// ---- The replay ------------------------------------------------------------

namespace {

// The tasks that one start call runs on one target.
struct Execution {
  core::Time m_EndsAt;
  Lease m_Lease;
  std::vector<std::uint32_t> m_Tasks;
  bool m_Succeeds = true;

  // Reversed, because std::priority_queue returns the largest element first and
  // the earliest end must come first.
  friend bool operator<(const Execution &A, const Execution &B) {
    return std::tie(B.m_EndsAt, B.m_Lease) < std::tie(A.m_EndsAt, A.m_Lease);
  }
};

struct ReplayState {
  const Trace &m_Trace;
  const ReplayOptions &m_Options;
  State m_State;
  Leader m_Leader;
  core::Time m_Now;
  ReplayResult m_Result;
  std::map<core::JobKey, core::Duration> m_RemainingRunTimes;
  std::priority_queue<Execution> m_Executions;
  std::set<Lease> m_StoppedLeases;
  std::set<core::TargetId> m_FailingTargets;
  std::set<core::TargetId> m_LostTargets;
  std::int64_t m_LostAcceleratorMs = 0;
  // Jobs chosen to be stopped for others.
  std::int64_t m_ReclaimedJobs = 0;
  // For each job that waits for reclaimed capacity, the time of the decision.
  std::map<core::JobKey, core::Time> m_ReclaimingSince;
  // Longest time from that decision until the job ran.
  core::Duration m_LongestReclaimWait{0};
  std::int64_t m_Passes = 0;
  std::int64_t m_StrandedPerMilleSum = 0;
  std::int64_t m_Samples = 0;
  core::Time m_SampledAt;
};

} // namespace

static void recordChange(ReplayState &R, const JobChange &Change) {
  const job::Job *Job = findJob(R.m_State, Change.m_Job);
  auto Known = R.m_Result.m_Jobs.find(Change.m_Job);
  if (!Job || Known == R.m_Result.m_Jobs.end())
    return;
  ReplayedJob &Replayed = Known->second;
  Replayed.m_Phase = Change.m_To;
  if (Change.m_To == job::Phase::Running) {
    ++Replayed.m_Starts;
    if (Replayed.m_Starts == 1)
      Replayed.m_FirstStartAt = R.m_Now;
    if (Replayed.m_Starts > 1 && !Job->spec().m_Idempotent)
      R.m_Result.m_Violations.push_back(
          core::toString(Change.m_Job) +
          " is not idempotent but was started more than once");
    auto Since = R.m_ReclaimingSince.find(Change.m_Job);
    if (Since != R.m_ReclaimingSince.end()) {
      R.m_LongestReclaimWait =
          std::max(R.m_LongestReclaimWait, R.m_Now - Since->second);
      R.m_ReclaimingSince.erase(Since);
    }
  }
  bool Interrupted = Change.m_From == job::Phase::Running &&
                     Change.m_To == job::Phase::Stopping;
  core::Duration Ran = R.m_Now - Job->fields().m_StartedAt;
  bool HasCheckpoint =
      Job->fields().m_StopCause == job::StopCause::Reclaimed &&
      Job->spec().m_Labels.find(job::CheckpointLabel) != nullptr;
  // A reclaimed job with the checkpoint label is assumed to have saved a
  // checkpoint and continues from it.
  if (Interrupted && HasCheckpoint)
    R.m_RemainingRunTimes[Change.m_Job] =
        std::max(R.m_RemainingRunTimes[Change.m_Job] - Ran, core::Duration(1));
  else if (Interrupted)
    R.m_LostAcceleratorMs +=
        Ran.count() * Job->spec().m_Shape.total().m_Accelerators;
  if (Job->isFinished()) {
    Replayed.m_EndedAt = R.m_Now;
    if (Change.m_To == job::Phase::NotRun && Replayed.m_Starts > 0)
      R.m_Result.m_Violations.push_back(
          core::toString(Change.m_Job) +
          " was started but has the outcome not-run");
  }
}

static void applyCommands(ReplayState &R, std::vector<Command> Commands) {
  if (Commands.empty())
    return;
  ApplyResult Applied =
      apply(std::move(R.m_State),
            {.m_At = R.m_Now, .m_Commands = std::move(Commands)});
  R.m_State = std::move(Applied.m_State);
  for (const JobChange &Each : Applied.m_JobChanges)
    recordChange(R, Each);
  R.m_Leader = afterApplied(std::move(R.m_Leader), R.m_State, Applied, R.m_Now);
  for (std::string &Each : violatedInvariants(R.m_State))
    R.m_Result.m_Violations.push_back(std::move(Each));
}

static CallOutcome simulateCall(ReplayState &R, const Call &Value) {
  if (R.m_LostTargets.contains(Value.m_Target))
    return CallOutcome::NoAnswer;
  switch (Value.m_Verb) {
  case Verb::Reserve:
    break;
  case Verb::Start: {
    bool Fails = R.m_FailingTargets.contains(Value.m_Target);
    core::Duration RunTime =
        Fails ? FailureDelay : R.m_RemainingRunTimes.at(Value.m_Lease.m_Job);
    R.m_Executions.push({.m_EndsAt = R.m_Now + RunTime,
                         .m_Lease = Value.m_Lease,
                         .m_Tasks = Value.m_Tasks,
                         .m_Succeeds = !Fails});
    break;
  }
  case Verb::Stop:
    R.m_StoppedLeases.insert(Value.m_Lease);
    break;
  }
  return CallOutcome::Accepted;
}

// Applies commands and makes calls until nothing more is due at this time.
static void runUntilIdle(ReplayState &R) {
  bool Progress = true;
  while (Progress) {
    LeaderStep Next = tick(std::move(R.m_Leader), R.m_State,
                           R.m_Options.m_Leader, /*MayPass=*/true, R.m_Now);
    R.m_Leader = std::move(Next.m_Leader);
    for (const placement::Decision &Decision : Next.m_NewDecisions)
      if (Decision.m_Verdict == placement::Verdict::Reclaiming) {
        R.m_ReclaimingSince.emplace(Decision.m_Job, R.m_Now);
        R.m_ReclaimedJobs +=
            static_cast<std::int64_t>(Decision.m_Victims.size());
      }
    Progress = !Next.m_Commands.empty() || !Next.m_Calls.empty();
    applyCommands(R, std::move(Next.m_Commands));
    for (const Call &Each : Next.m_Calls) {
      LeaderStep Step = handleCallReply(std::move(R.m_Leader), R.m_State,
                                        {.m_Verb = Each.m_Verb,
                                         .m_Target = Each.m_Target,
                                         .m_Lease = Each.m_Lease,
                                         .m_Outcome = simulateCall(R, Each)},
                                        R.m_Options.m_Leader, R.m_Now);
      R.m_Leader = std::move(Step.m_Leader);
      applyCommands(R, std::move(Step.m_Commands));
    }
  }
}

// ---- Events ----------------------------------------------------------------

static void applyEvent(ReplayState &R, const TraceSubmit &Value) {
  const configuration::Limits &Limits =
      R.m_State.m_Tables.m_Configuration.limits();
  R.m_RemainingRunTimes[Value.m_Spec.m_Key] = Value.m_RunTime;
  ReplayedJob Replayed{.m_Short = Value.m_RunTime <= Limits.m_ShortRunTime,
                       .m_Urgent = Value.m_Spec.m_Labels.has(job::UrgencyLabel,
                                                             job::UrgentValue),
                       .m_RunTime = Value.m_RunTime,
                       .m_SubmittedAt = R.m_Now};
  R.m_Result.m_Jobs.emplace(Value.m_Spec.m_Key, Replayed);
  applyCommands(R, {AcceptJob{.m_Spec = Value.m_Spec}});
}

static void applyEvent(ReplayState &R, const TraceCancel &Value) {
  applyCommands(R, {CancelJob{.m_Job = Value.m_Job}});
}

static void applyEvent(ReplayState &R, const TraceAnnounce &Value) {
  applyCommands(R, {AnnounceTarget{.m_Announcement = Value.m_Announcement}});
}

static void applyEvent(ReplayState &R, const TraceConfigure &Value) {
  applyCommands(R, {ChangeConfiguration{.m_Proposal = Value.m_Proposal}});
}

static void applyEvent(ReplayState &R, const TraceTargetLost &Value) {
  R.m_LostTargets.insert(Value.m_Target);
  applyCommands(R, {MarkTargetLost{.m_Target = Value.m_Target}});
}

static void applyEvent(ReplayState &R, const TraceTargetFails &Value) {
  R.m_FailingTargets.insert(Value.m_Target);
}

static void finishExecution(ReplayState &R, const Execution &Value) {
  if (R.m_StoppedLeases.contains(Value.m_Lease))
    return;
  std::vector<Command> Commands;
  for (std::uint32_t Task : Value.m_Tasks)
    Commands.push_back(FinishTask{.m_Job = Value.m_Lease.m_Job,
                                  .m_Attempt = Value.m_Lease.m_Attempt,
                                  .m_Task = Task,
                                  .m_Succeeded = Value.m_Succeeds,
                                  .m_Answer = "done"});
  applyCommands(R, std::move(Commands));
}

// ---- Measures --------------------------------------------------------------

// Returns the stranded share of all free accelerators of active targets, in
// thousandths. A target's free accelerators are stranded if its free capacity
// fits no task of any guaranteed shape. Zero without guarantees.
static std::int64_t strandedPerMille(const State &Value) {
  std::int64_t Free = 0;
  std::int64_t Stranded = 0;
  std::vector<core::Capacity> TaskSizes;
  for (const auto &[Id, Workspace] :
       Value.m_Tables.m_Configuration.workspaces())
    for (const workspace::Guarantee &Each : Workspace.spec().m_Guarantees)
      TaskSizes.push_back(Each.m_Shape.m_PerTask);
  if (TaskSizes.empty())
    return 0;
  for (const auto &[Id, Usage] : Value.m_Indexes.m_Fleet.targets()) {
    if (Usage.m_Target.presence() != target::Presence::Active)
      continue;
    std::int64_t TargetFree =
        std::max<std::int64_t>(Usage.free().m_Accelerators, 0);
    Free += TargetFree;
    core::Capacity FreeCapacity = Usage.free();
    bool Usable = std::any_of(
        TaskSizes.begin(), TaskSizes.end(),
        [&](const core::Capacity &Each) { return FreeCapacity.covers(Each); });
    if (!Usable)
      Stranded += TargetFree;
  }
  return Free == 0 ? 0 : Stranded * 1000 / Free;
}

static void sampleFragmentation(ReplayState &R) {
  if (R.m_Now - R.m_SampledAt < R.m_Options.m_SampleInterval)
    return;
  R.m_SampledAt = R.m_Now;
  ++R.m_Samples;
  R.m_StrandedPerMilleSum += strandedPerMille(R.m_State);
}

static std::int64_t percentile(std::vector<std::int64_t> Values,
                               std::size_t Percent) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[std::min(Values.size() - 1, Values.size() * Percent / 100)];
}

// A lower bound, under any schedule, on the time from the first submission to
// the end of the last answered job: the total work divided by all accelerators,
// or the latest end if every job started when it was submitted, whichever is
// longer.
static core::Duration makespanLowerBound(const ReplayState &R,
                                         core::Time FirstSubmittedAt) {
  std::int64_t TotalAccelerators = 0;
  for (const auto &[Id, Usage] : R.m_State.m_Indexes.m_Fleet.targets())
    TotalAccelerators +=
        Usage.m_Target.announcement().m_Capacity.m_Accelerators;
  std::int64_t Work = 0;
  core::Duration LongestSpan{0};
  for (const auto &[Key, Replayed] : R.m_Result.m_Jobs) {
    const job::Job *Job = findJob(R.m_State, Key);
    if (!Job || Replayed.m_Phase != job::Phase::Answered)
      continue;
    Work +=
        Replayed.m_RunTime.count() * Job->spec().m_Shape.total().m_Accelerators;
    LongestSpan =
        std::max(LongestSpan, Replayed.m_SubmittedAt + Replayed.m_RunTime -
                                  FirstSubmittedAt);
  }
  return std::max(
      LongestSpan,
      core::Duration(TotalAccelerators == 0 ? 0 : Work / TotalAccelerators));
}

static void measure(ReplayState &R) {
  std::vector<std::int64_t> TurnaroundTimesMs;
  std::vector<std::int64_t> ShortJobWaitsMs;
  std::vector<std::int64_t> ShortJobWaitPerMilleOfRunTime;
  std::vector<std::int64_t> UrgentWaitsMs;
  core::Time FirstSubmittedAt = R.m_Now;
  core::Time LastEndedAt;
  auto &Out = R.m_Result.m_Measures;
  for (const auto &[Key, Replayed] : R.m_Result.m_Jobs) {
    ++Out[std::string(job::outcomeName(Replayed.m_Phase))];
    FirstSubmittedAt = std::min(FirstSubmittedAt, Replayed.m_SubmittedAt);
    if (Replayed.m_Phase != job::Phase::Answered)
      continue;
    LastEndedAt = std::max(LastEndedAt, Replayed.m_EndedAt);
    TurnaroundTimesMs.push_back(
        (Replayed.m_EndedAt - Replayed.m_SubmittedAt).count());
    std::int64_t Wait =
        (Replayed.m_FirstStartAt - Replayed.m_SubmittedAt).count();
    if (Replayed.m_Short) {
      ShortJobWaitsMs.push_back(Wait);
      ShortJobWaitPerMilleOfRunTime.push_back(
          Wait * 1000 / std::max<std::int64_t>(Replayed.m_RunTime.count(), 1));
    }
    if (Replayed.m_Urgent)
      UrgentWaitsMs.push_back(Wait);
  }
  Out["jobs"] = static_cast<std::int64_t>(R.m_Result.m_Jobs.size());
  Out["completion_p50_ms"] = percentile(TurnaroundTimesMs, 50);
  Out["completion_p99_ms"] = percentile(TurnaroundTimesMs, 99);
  Out["short_wait_p99_ms"] = percentile(ShortJobWaitsMs, 99);
  Out["short_wait_p99_per_mille_of_run"] =
      percentile(ShortJobWaitPerMilleOfRunTime, 99);
  Out["urgent_wait_max_ms"] = percentile(UrgentWaitsMs, 100);
  Out["reclaimed_jobs"] = R.m_ReclaimedJobs;
  Out["reclaim_max_ms"] = R.m_LongestReclaimWait.count();
  Out["lost_accelerator_ms"] = R.m_LostAcceleratorMs;
  Out["stranded_free_per_mille"] =
      R.m_Samples == 0 ? 0 : R.m_StrandedPerMilleSum / R.m_Samples;
  core::Duration Bound = makespanLowerBound(R, FirstSubmittedAt);
  Out["makespan_ms"] = (LastEndedAt - FirstSubmittedAt).count();
  Out["lower_bound_ms"] = Bound.count();
  Out["makespan_per_mille_of_bound"] =
      Bound.count() == 0
          ? 0
          : (LastEndedAt - FirstSubmittedAt).count() * 1000 / Bound.count();
  Out["violations"] = static_cast<std::int64_t>(R.m_Result.m_Violations.size());
}

// ---- Simulation loop --------------------------------------------------------

static bool hasUnfinishedJobs(const ReplayState &R) {
  return !R.m_State.m_Indexes.m_Queued.empty() ||
         !R.m_State.m_Indexes.m_Placed.empty();
}

static core::Time nextTime(const ReplayState &R, std::size_t NextEventIndex) {
  constexpr core::Duration Never{1LL << 50U};
  core::Time Next = R.m_Now + Never;
  if (NextEventIndex < R.m_Trace.m_Events.size())
    Next = std::min(Next, R.m_Trace.m_Events[NextEventIndex].m_At);
  if (!R.m_Executions.empty())
    Next = std::min(Next, R.m_Executions.top().m_EndsAt);
  if (!R.m_Leader.m_Dispatcher.m_Jobs.empty())
    Next = std::min(Next, R.m_Now + R.m_Options.m_Leader.m_PassInterval);
  // While jobs are queued, the leader's tick is repeated because a quarantine
  // may have ended.
  if (!R.m_State.m_Indexes.m_Queued.empty())
    Next = std::min(Next, R.m_Now + core::Duration(1000));
  return Next;
}

ReplayResult replay(const Trace &Value, const ReplayOptions &Options) {
  // Simulated targets send no heartbeats; the trace says which targets are
  // lost.
  ReplayOptions SimulationOptions = Options;
  SimulationOptions.m_Leader.m_Heartbeats.m_SilentAfter =
      Options.m_MaxVirtualTime * 2;
  SimulationOptions.m_Leader.m_Heartbeats.m_LostAfter =
      Options.m_MaxVirtualTime * 2;
  SimulationOptions.m_Leader.m_ExpireInterval = Options.m_MaxVirtualTime * 2;
  ReplayState R{.m_Trace = Value, .m_Options = SimulationOptions};
  R.m_Now = core::timeFromMs(1);
  R.m_Leader = becomeLeader(R.m_State, R.m_Now);
  core::Time End = R.m_Now + Options.m_MaxVirtualTime;
  std::size_t NextEventIndex = 0;
  while (R.m_Now < End) {
    while (NextEventIndex < Value.m_Events.size() &&
           Value.m_Events[NextEventIndex].m_At <= R.m_Now) {
      std::visit([&](const auto &Event) { applyEvent(R, Event); },
                 Value.m_Events[NextEventIndex++].m_Event);
    }
    while (!R.m_Executions.empty() &&
           R.m_Executions.top().m_EndsAt <= R.m_Now) {
      Execution Done = R.m_Executions.top();
      R.m_Executions.pop();
      finishExecution(R, Done);
    }
    runUntilIdle(R);
    sampleFragmentation(R);
    if (NextEventIndex == Value.m_Events.size() && !hasUnfinishedJobs(R))
      break;
    core::Time Next = nextTime(R, NextEventIndex);
    R.m_Now = std::max(Next, R.m_Now + core::Duration(1));
  }
  measure(R);
  return std::move(R.m_Result);
}

std::vector<std::string> unmetExpectations(const Trace &Value,
                                           const ReplayResult &Result) {
  std::vector<std::string> Lines;
  for (const Expectation &Each : Value.m_Expectations) {
    auto Found = Result.m_Measures.find(Each.m_Measure);
    // A missing measure, such as the count of an outcome that no job has, is
    // zero.
    std::int64_t Actual = Found == Result.m_Measures.end() ? 0 : Found->second;
    if (Actual < Each.m_AtLeast || Actual > Each.m_AtMost)
      Lines.push_back(Each.m_Measure + " is " + std::to_string(Actual) +
                      ", expected " + std::to_string(Each.m_AtLeast) + " to " +
                      std::to_string(Each.m_AtMost));
  }
  for (const std::string &Each : Result.m_Violations)
    Lines.push_back(Each);
  return Lines;
}

} // namespace fireflydrift::control
