#include "emulator/scenario.h"

#include "assignment/rank.h"
#include "emulator/target.h"

#include <algorithm>
#include <random>
#include <tuple>

namespace fireflydrift::emulator {

using workflow::TaskKey;

// Virtual time advances in steps of this length.
static constexpr core::Duration TickInterval{25};
// Time from a proposal until it is durable.
static constexpr core::Duration CommitLatency{50};
// A target ignores a reply that arrives later than this after its report.
static constexpr core::Duration ReplyTimeout{1000};
static constexpr core::Duration ReportInterval{1500};
// Time after which a member of a gang stops waiting for the others.
static constexpr core::Duration GangStartTimeout{3000};
// Time after the end of the load in which open work may finish.
static constexpr core::Duration SettleTime{90000};

namespace {

// A report in flight, or received and waiting for its reply.
struct PendingReport {
  roster::Report m_Report;
  core::Time m_SentAt;
  core::Time m_ArrivesAt;
  // True for a duplicate with an arrival time of its own; the reply to it is
  // dropped.
  bool m_IsCopy = false;
};

struct Proposal {
  core::Time m_DurableAt;
  std::vector<control::Command> m_Commands;
};

// State of one simulation.
struct Simulation {
  explicit Simulation(const Scenario &Value)
      : m_Scenario(Value), m_Random(static_cast<std::uint32_t>(Value.m_Seed)) {}

  // Returns true with the given probability.
  [[nodiscard]] bool draw(std::uint32_t Thousandths) {
    constexpr std::uint32_t Thousand = 1000;
    return m_Random() % Thousand < Thousandths;
  }
  [[nodiscard]] core::Duration drawUpTo(core::Duration Max) {
    return core::Duration(static_cast<core::Duration::rep>(
        m_Random() % static_cast<std::uint64_t>(Max.count() + 1)));
  }

  const Scenario &m_Scenario;
  std::mt19937 m_Random;
  core::Time m_Now = core::timeFromMs(1'000'000);
  std::vector<Target> m_Targets;
  // Time of the next report of each target, by its index in m_Targets.
  std::vector<core::Time> m_NextReport;
  std::vector<PendingReport> m_InFlight;
  // Reports that the leader has not answered yet, by target.
  std::map<core::TargetId, PendingReport> m_UnansweredReports;
  control::State m_State;
  control::PollingState m_Polling;
  std::uint64_t m_FencingToken = 1;
  std::vector<Proposal> m_Proposals;
  std::map<core::RequestId, core::Time> m_CancelAt;
  std::set<core::RequestId> m_Started;
  std::uint64_t m_NextIncarnation = 1;
  std::uint64_t m_NextWorkflow = 0;
  ScenarioResult m_Result;
};

} // namespace

// ---- Checking --------------------------------------------------------------

static void recordViolation(Simulation &Sim, const char *Rule,
                            const TaskKey &Key) {
  Sim.m_Result.m_Violations.push_back(std::string(Rule) + " " +
                                      workflow::toString(Key) + " at " +
                                      std::to_string(core::toMs(Sim.m_Now)));
}

static const workflow::Task *findTask(const Simulation &Sim,
                                      const TaskKey &Key) {
  const workflow::Workflow *Found =
      control::findWorkflow(Sim.m_State, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

// Checks the invariants for a run that begins now.
static void checkStart(Simulation &Sim, const Target &EmulatedTarget,
                       const TaskKey &Key, std::uint32_t Run) {
  const workflow::Workflow *Workflow =
      control::findWorkflow(Sim.m_State, Key.m_Workflow);
  const workflow::Task *Task = findTask(Sim, Key);
  if (!Task || Run > Task->m_Run) {
    recordViolation(Sim, "unasked", Key);
    return;
  }
  if (Task->m_Phase == workflow::TaskPhase::Done)
    recordViolation(Sim, "twice: begun after its end", Key);
  for (const Target &Other : Sim.m_Targets) {
    auto Found = Other.runs().find(Key);
    bool Runs = Other.instance() != EmulatedTarget.instance() &&
                Found != Other.runs().end() &&
                Found->second.m_BeginsAt <= Sim.m_Now;
    if (Runs)
      recordViolation(Sim, "twice: on two targets", Key);
  }
  for (std::uint32_t Earlier :
       Workflow->spec().m_Steps[Key.m_Step].m_Dependencies)
    for (const workflow::Task &Each :
         Workflow->fields().m_Steps[Earlier].m_Tasks)
      if (Each.m_Phase != workflow::TaskPhase::Done)
        recordViolation(Sim, "order", Key);
}

static void checkCapacity(Simulation &Sim, const Target &EmulatedTarget) {
  core::Capacity Used;
  for (const auto &[Key, Each] : EmulatedTarget.runs())
    if (Each.m_BeginsAt <= Sim.m_Now)
      if (const auto *Workflow =
              control::findWorkflow(Sim.m_State, Key.m_Workflow))
        Used = Used + Workflow->spec().m_Steps[Key.m_Step].m_PerTask;
  if (!EmulatedTarget.capacity().covers(Used))
    recordViolation(Sim, "capacity", {});
}

// ---- Targets ---------------------------------------------------------------

static void addTargets(Simulation &Sim) {
  constexpr core::Capacity FullCapacity{8, 64000, 262144};
  for (std::uint32_t I = 0; I < Sim.m_Scenario.m_Targets; ++I) {
    Sim.m_Targets.emplace_back(
        core::TargetId("t" + std::to_string(I)), Sim.m_NextIncarnation++,
        "r" + std::to_string(I / Sim.m_Scenario.m_TargetsPerRack),
        FullCapacity);
    Sim.m_NextReport.push_back(Sim.m_Now + Sim.drawUpTo(ReportInterval));
  }
}

// Ends a gang as a whole: as done when a member is done, and as broken when a
// member ended for any other reason.
static void endGangs(Simulation &Sim, const std::map<TaskKey, Run> &Before,
                     const Target &EmulatedTarget) {
  for (const auto &[Key, Previous] : Before) {
    if (EmulatedTarget.runs().contains(Key))
      continue;
    const workflow::Workflow *Workflow =
        control::findWorkflow(Sim.m_State, Key.m_Workflow);
    if (!Workflow || !Workflow->spec().m_Steps[Key.m_Step].m_Gang)
      continue;
    bool Done = !Previous.m_Fails && !Previous.m_Stopping &&
                Sim.m_Now >= Previous.m_EndsAt;
    for (Target &Other : Sim.m_Targets) {
      std::vector<TaskKey> Members;
      for (const auto &[Each, Value] : Other.runs())
        if (Each.m_Workflow == Key.m_Workflow && Each.m_Step == Key.m_Step &&
            Value.m_Number == Previous.m_Number)
          Members.push_back(Each);
      for (const TaskKey &Each : Members)
        Other.endRun(Each, Done ? roster::EndCause::Done
                                : roster::EndCause::GangBroken);
    }
  }
}

// Number of running members by workflow, step and run.
using GangMemberCounts =
    std::map<std::tuple<core::RequestId, std::uint32_t, std::uint32_t>,
             std::uint32_t>;

static GangMemberCounts countMembers(const Simulation &Sim) {
  GangMemberCounts RunningMembers;
  for (const Target &Each : Sim.m_Targets)
    for (const auto &[Key, Value] : Each.runs())
      if (Value.m_BeginsAt <= Sim.m_Now)
        ++RunningMembers[{Key.m_Workflow, Key.m_Step, Value.m_Number}];
  return RunningMembers;
}

// Members of an incomplete gang make no progress, and end after the gang
// timeout.
static void waitForGangs(Simulation &Sim, Target &EmulatedTarget,
                         const GangMemberCounts &RunningMembers) {
  std::vector<TaskKey> TimedOut;
  std::vector<TaskKey> Waiting;
  for (const auto &[Key, Value] : EmulatedTarget.runs()) {
    const workflow::Workflow *Workflow =
        control::findWorkflow(Sim.m_State, Key.m_Workflow);
    if (!Workflow || !Workflow->spec().m_Steps[Key.m_Step].m_Gang ||
        Value.m_BeginsAt > Sim.m_Now)
      continue;
    bool Complete =
        RunningMembers.at({Key.m_Workflow, Key.m_Step, Value.m_Number}) ==
        Workflow->spec().m_Steps[Key.m_Step].m_Tasks;
    if (Complete)
      continue;
    bool IsTimedOut = Sim.m_Now - Value.m_BeginsAt >= GangStartTimeout;
    (IsTimedOut ? TimedOut : Waiting).push_back(Key);
  }
  for (const TaskKey &Each : Waiting)
    EmulatedTarget.postponeEnd(Each, TickInterval);
  for (const TaskKey &Each : TimedOut)
    EmulatedTarget.endRun(Each, roster::EndCause::GangIncomplete);
}

static void advanceTargets(Simulation &Sim) {
  GangMemberCounts RunningMembers = countMembers(Sim);
  for (Target &Each : Sim.m_Targets) {
    for (const auto &[Key, Value] : Each.runs())
      if (Value.m_BeginsAt <= Sim.m_Now &&
          Value.m_BeginsAt > Sim.m_Now - TickInterval)
        checkStart(Sim, Each, Key, Value.m_Number);
    std::map<TaskKey, Run> Before = Each.runs();
    waitForGangs(Sim, Each, RunningMembers);
    Each.advance(Sim.m_Now);
    if (Before.size() != Each.runs().size())
      endGangs(Sim, Before, Each);
    checkCapacity(Sim, Each);
  }
}

static void crashTargets(Simulation &Sim) {
  constexpr std::uint32_t TicksPerSecond = 40;
  for (Target &Each : Sim.m_Targets) {
    if (Sim.m_Random() % TicksPerSecond != 0 ||
        !Sim.draw(Sim.m_Scenario.m_Faults.m_TargetCrashes))
      continue;
    roster::Report Last = Each.report(Sim.m_Now);
    Each = Target(Each.instance().m_Target, Sim.m_NextIncarnation++,
                  Last.m_Rack, Each.capacity());
  }
}

// ---- Reports ---------------------------------------------------------------

static void sendReport(Simulation &Sim, std::size_t Index) {
  constexpr core::Duration MaxTransit{40};
  constexpr core::Duration MaxLateness{3000};
  PendingReport Sent{.m_Report = Sim.m_Targets[Index].report(Sim.m_Now),
                     .m_SentAt = Sim.m_Now,
                     .m_ArrivesAt = Sim.m_Now + Sim.drawUpTo(MaxTransit)};
  Sim.m_NextReport[Index] = Sim.m_Now + ReportInterval;
  if (Sim.draw(Sim.m_Scenario.m_Faults.m_DuplicateReports)) {
    PendingReport Copy = Sent;
    Copy.m_IsCopy = true;
    Copy.m_ArrivesAt = Sim.m_Now + Sim.drawUpTo(MaxLateness);
    Sim.m_InFlight.push_back(std::move(Copy));
  }
  if (!Sim.draw(Sim.m_Scenario.m_Faults.m_LostReports))
    Sim.m_InFlight.push_back(std::move(Sent));
}

static void propose(Simulation &Sim, std::vector<control::Command> Commands) {
  if (!Commands.empty())
    Sim.m_Proposals.push_back({.m_DurableAt = Sim.m_Now + CommitLatency,
                               .m_Commands = std::move(Commands)});
}

static SimulatedRun drawRun(Simulation &Sim, const roster::StartOrder &Value) {
  const Faults &Faults = Sim.m_Scenario.m_Faults;
  const workflow::Workflow *Workflow =
      control::findWorkflow(Sim.m_State, Value.m_Task.m_Workflow);
  SimulatedRun Drawn{
      .m_RunTime = Workflow->spec().m_Steps[Value.m_Task.m_Step].m_RunTime,
      .m_Fails = Sim.draw(Faults.m_FailedRuns)};
  if (Sim.draw(Faults.m_DelayedStarts))
    Drawn.m_Delay = Sim.drawUpTo(Faults.m_MaxStartDelay);
  return Drawn;
}

static void sendReply(Simulation &Sim, const PendingReport &Pending,
                      const roster::Orders &Orders) {
  Sim.m_Polling = control::recordOrdersSent(
      std::move(Sim.m_Polling), Sim.m_State, Pending.m_Report.m_Target, Orders,
      Sim.m_Scenario.m_Polling, Pending.m_ArrivesAt, Sim.m_Now);
  bool Dropped = Pending.m_IsCopy ||
                 Sim.m_Now - Pending.m_SentAt > ReplyTimeout ||
                 Sim.draw(Sim.m_Scenario.m_Faults.m_LostReports);
  for (std::size_t I = 0; I < Sim.m_Targets.size() && !Dropped; ++I) {
    Target &Each = Sim.m_Targets[I];
    bool Same = Each.instance().m_Target == Pending.m_Report.m_Target &&
                Each.instance().m_Incarnation == Pending.m_Report.m_Incarnation;
    if (!Same)
      continue;
    Sim.m_Result.m_Starts += Orders.m_Starts.size();
    Each.handleOrders(Orders, Pending.m_SentAt, Sim.m_Now,
                      [&](const auto &Start) { return drawRun(Sim, Start); });
    if (Orders.m_ReportAfter > core::Duration::zero())
      Sim.m_NextReport[I] = Sim.m_Now + Orders.m_ReportAfter;
  }
}

static void deliverReports(Simulation &Sim) {
  std::vector<PendingReport> Arrived;
  std::erase_if(Sim.m_InFlight, [&](const PendingReport &Each) {
    if (Each.m_ArrivesAt > Sim.m_Now)
      return false;
    Arrived.push_back(Each);
    return true;
  });
  for (PendingReport &Each : Arrived) {
    bool IsAccepted = Sim.m_Polling.m_Roster.judge(
                          Each.m_Report, Sim.m_Scenario.m_Polling.m_Roster,
                          Sim.m_Now) == roster::ReportVerdict::Accepted;
    control::PollingStep Next = control::handleReport(
        std::move(Sim.m_Polling), Sim.m_State, Each.m_Report,
        Sim.m_Scenario.m_Polling, Sim.m_Now);
    Sim.m_Polling = std::move(Next.m_Polling);
    propose(Sim, std::move(Next.m_Commands));
    if (IsAccepted)
      Sim.m_UnansweredReports.insert_or_assign(Each.m_Report.m_Target, Each);
  }
}

static void answerDueReports(Simulation &Sim) {
  for (auto Each = Sim.m_UnansweredReports.begin();
       Each != Sim.m_UnansweredReports.end();) {
    const roster::Member *Member = Sim.m_Polling.m_Roster.find(Each->first);
    if (!Member) {
      Each = Sim.m_UnansweredReports.erase(Each);
      continue;
    }
    control::ReportResponse Response =
        control::ordersFor(Sim.m_Polling, Sim.m_State, *Member,
                           Sim.m_Scenario.m_Polling, Sim.m_FencingToken);
    bool Due = Response.m_SendNow ||
               Sim.m_Now - Each->second.m_ArrivesAt >= Response.m_MaxDelay;
    if (!Due) {
      ++Each;
      continue;
    }
    PendingReport Pending = std::move(Each->second);
    Each = Sim.m_UnansweredReports.erase(Each);
    sendReply(Sim, Pending, Response.m_Orders);
  }
}

// ---- The leader ------------------------------------------------------------

static void recordFirstStarts(Simulation &Sim) {
  for (const auto &[Id, Value] : Sim.m_State.m_Tables.m_Workflows) {
    if (!Value.fields().m_Started || !Sim.m_Started.insert(Id).second)
      continue;
    if (Value.spec().m_Policy.m_Priority == 0)
      Sim.m_Result.m_UrgentWaits.push_back(Sim.m_Now -
                                           Value.fields().m_AcceptedAt);
  }
}

static void applyDurable(Simulation &Sim) {
  bool Applied = false;
  while (!Sim.m_Proposals.empty() &&
         Sim.m_Proposals.front().m_DurableAt <= Sim.m_Now) {
    control::ApplyResult Result = control::apply(
        std::move(Sim.m_State),
        {.m_At = Sim.m_Now, .m_Commands = Sim.m_Proposals.front().m_Commands});
    Sim.m_Proposals.erase(Sim.m_Proposals.begin());
    Sim.m_State = std::move(Result.m_State);
    Sim.m_Polling =
        control::afterApplied(std::move(Sim.m_Polling), Sim.m_State, Result);
    Applied = true;
  }
  if (Applied)
    recordFirstStarts(Sim);
}

// Simulates a leader change. The new leader knows only the durable state.
static void changeLeader(Simulation &Sim) {
  constexpr std::uint32_t TicksPerSecond = 40;
  if (Sim.m_Random() % TicksPerSecond != 0 ||
      !Sim.draw(Sim.m_Scenario.m_Faults.m_Elections))
    return;
  Sim.m_Proposals.clear();
  Sim.m_UnansweredReports.clear();
  Sim.m_Polling = control::beginPolling(Sim.m_Now);
  ++Sim.m_FencingToken;
}

static void tickLeader(Simulation &Sim) {
  bool MayPass = Sim.m_Proposals.empty();
  control::PollingStep Next =
      control::tick(std::move(Sim.m_Polling), Sim.m_State,
                    Sim.m_Scenario.m_Polling, MayPass, Sim.m_Now);
  Sim.m_Polling = std::move(Next.m_Polling);
  Sim.m_Result.m_Preempted += Next.m_Preemptions.size();
  propose(Sim, std::move(Next.m_Commands));
}

// ---- The load --------------------------------------------------------------

static workflow::StepSpec drawStep(Simulation &Sim, bool Urgent) {
  constexpr std::int64_t Sizes[] = {1, 2, 4, 8};
  constexpr std::uint32_t MaxTasks = 5;
  auto Accelerators = Sizes[Sim.m_Random() % std::size(Sizes)];
  bool Gang = Sim.m_Random() % 3 != 0;
  constexpr core::Duration MaxShort{2000};
  constexpr core::Duration MaxLong{9000};
  return {.m_Tasks = 1 + static_cast<std::uint32_t>(Sim.m_Random() % MaxTasks),
          .m_PerTask = {Accelerators, 7000, 20000},
          .m_RunTime =
              core::Duration(500) + Sim.drawUpTo(Urgent ? MaxShort : MaxLong),
          .m_Gang = Gang,
          .m_RackAffinity = Gang && Sim.m_Random() % 2 == 0};
}

static void submit(Simulation &Sim) {
  constexpr std::uint32_t Percent = 100;
  constexpr std::uint32_t Attempts = 3;
  constexpr core::Duration MaxCancelDelay{6000};
  bool Urgent = Sim.m_Random() % Percent < Sim.m_Scenario.m_UrgentPercent;
  workflow::WorkflowSpec Spec{
      .m_Id = core::RequestId("w" + std::to_string(++Sim.m_NextWorkflow)),
      .m_Workspace = core::WorkspaceId("team"),
      .m_Policy = {.m_Queue = "q",
                   .m_Pool = "pool",
                   .m_Priority = Urgent ? 0U : 1U,
                   .m_MaxAttempts = Attempts,
                   .m_SlackPercent = 200,
                   .m_TargetLatency = core::Duration(1000)},
      .m_Steps = {drawStep(Sim, Urgent)}};
  if (Sim.m_Random() % 4 == 0) {
    Spec.m_Steps.push_back(drawStep(Sim, Urgent));
    Spec.m_Steps.back().m_Dependencies = {0};
  }
  if (Sim.draw(Sim.m_Scenario.m_Faults.m_CancelledWorkflows))
    Sim.m_CancelAt[Spec.m_Id] = Sim.m_Now + Sim.drawUpTo(MaxCancelDelay);
  ++Sim.m_Result.m_Accepted;
  // Applied at once, without CommitLatency: a workflow counts as accepted only
  // when it is durable, so a leader change must not drop the command.
  control::ApplyResult Result = control::apply(
      std::move(Sim.m_State),
      {.m_At = Sim.m_Now, .m_Commands = {control::AcceptWorkflow{Spec}}});
  Sim.m_State = std::move(Result.m_State);
  Sim.m_Polling =
      control::afterApplied(std::move(Sim.m_Polling), Sim.m_State, Result);
}

static void cancelDue(Simulation &Sim) {
  std::vector<control::Command> Commands;
  std::erase_if(Sim.m_CancelAt, [&](const auto &Each) {
    if (Each.second > Sim.m_Now)
      return false;
    Commands.push_back(control::CancelWorkflow{Each.first});
    return true;
  });
  propose(Sim, std::move(Commands));
}

// ---- Running ---------------------------------------------------------------

static void configure(Simulation &Sim) {
  configuration::Replacement Value{
      .m_Version = 1,
      .m_Workspaces = {
          {.m_Id = core::WorkspaceId("team"),
           .m_ReservedAccelerators = Sim.m_Scenario.m_ReservedAccelerators}}};
  Sim.m_State =
      control::apply(
          std::move(Sim.m_State),
          {.m_At = Sim.m_Now,
           .m_Commands = {control::ReplaceConfiguration{std::move(Value)}}})
          .m_State;
}

static void countOutcomes(Simulation &Sim) {
  ScenarioResult &Out = Sim.m_Result;
  for (const auto &[Id, Value] : Sim.m_State.m_Tables.m_Workflows) {
    Out.m_Completed += Value.phase() == workflow::Phase::Completed ? 1 : 0;
    Out.m_Failed += Value.phase() == workflow::Phase::Failed ? 1 : 0;
    Out.m_Cancelled += Value.phase() == workflow::Phase::Cancelled ? 1 : 0;
    Out.m_Unfinished += Value.phase() == workflow::Phase::Active ? 1 : 0;
    bool InTime = Value.phase() == workflow::Phase::Completed &&
                  Value.fields().m_FinishedAt <= assignment::objectiveOf(Value);
    Out.m_InTime += InTime ? 1 : 0;
  }
  std::sort(Out.m_UrgentWaits.begin(), Out.m_UrgentWaits.end());
}

ScenarioResult runScenario(const Scenario &Value) {
  Simulation Sim(Value);
  configure(Sim);
  addTargets(Sim);
  Sim.m_Polling = control::beginPolling(Sim.m_Now);
  core::Time LoadEnds = Sim.m_Now + Value.m_LoadDuration;
  core::Time End = LoadEnds + SettleTime;
  constexpr std::uint32_t TicksPerSecond = 40;
  for (; Sim.m_Now < End; Sim.m_Now += TickInterval) {
    if (Sim.m_Now < LoadEnds &&
        Sim.m_Random() % TicksPerSecond < Value.m_WorkflowsPerSecond)
      submit(Sim);
    cancelDue(Sim);
    applyDurable(Sim);
    advanceTargets(Sim);
    if (Sim.m_Now < LoadEnds) {
      crashTargets(Sim);
      changeLeader(Sim);
    }
    for (std::size_t I = 0; I < Sim.m_Targets.size(); ++I)
      if (Sim.m_NextReport[I] <= Sim.m_Now)
        sendReport(Sim, I);
    deliverReports(Sim);
    tickLeader(Sim);
    answerDueReports(Sim);
  }
  countOutcomes(Sim);
  return std::move(Sim.m_Result);
}

// ---- Text ------------------------------------------------------------------

static std::string percentile(const std::vector<core::Duration> &Sorted,
                              std::size_t Percent) {
  if (Sorted.empty())
    return "-";
  constexpr std::size_t HundredPercent = 100;
  std::size_t Index =
      std::min(Sorted.size() - 1, Sorted.size() * Percent / HundredPercent);
  return std::to_string(Sorted[Index].count());
}

std::string toText(const ScenarioResult &Value) {
  std::string Text;
  auto Line = [&](const char *Name, const std::string &Number) {
    Text.append(Name).append(" ").append(Number).append("\n");
  };
  Line("accepted", std::to_string(Value.m_Accepted));
  Line("completed", std::to_string(Value.m_Completed));
  Line("in_time", std::to_string(Value.m_InTime));
  Line("failed", std::to_string(Value.m_Failed));
  Line("cancelled", std::to_string(Value.m_Cancelled));
  Line("open", std::to_string(Value.m_Unfinished));
  Line("starts", std::to_string(Value.m_Starts));
  Line("displaced", std::to_string(Value.m_Preempted));
  constexpr std::size_t Median = 50;
  constexpr std::size_t P99 = 99;
  Line("urgent_wait_p50_ms", percentile(Value.m_UrgentWaits, Median));
  Line("urgent_wait_p99_ms", percentile(Value.m_UrgentWaits, P99));
  for (const std::string &Each : Value.m_Violations)
    Line("broken", Each);
  return Text;
}

} // namespace fireflydrift::emulator
