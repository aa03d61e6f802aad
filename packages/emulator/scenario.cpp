#include "emulator/scenario.h"

#include "assignment/rank.h"
#include "emulator/target.h"

#include <algorithm>
#include <random>
#include <tuple>

namespace fireflydrift::emulator {

using workflow::TaskKey;

// Length of one step of virtual time.
static constexpr core::Duration Step{25};
// Time until a proposal is durable.
static constexpr core::Duration CommitAfter{50};
// A target drops an answer that comes later than this after its report.
static constexpr core::Duration AnswerWithin{1000};
static constexpr core::Duration ReportEvery{1500};
// A member of a gang waits so long for the others.
static constexpr core::Duration GangWithin{3000};
// Time after the load during which open work may end.
static constexpr core::Duration Settling{90000};

namespace {

// A report under way, or waiting for its answer.
struct Poll {
  roster::Report m_Report;
  core::Time m_SentAt;
  core::Time m_ArrivesAt;
  bool m_IsCopy = false;
};

struct Proposal {
  core::Time m_DurableAt;
  std::vector<control::Command> m_Commands;
};

// The working state of one play.
struct Play {
  explicit Play(const Scenario &Value)
      : m_Scenario(Value), m_Random(static_cast<std::uint32_t>(Value.m_Seed)) {}

  [[nodiscard]] bool draw(std::uint32_t Thousandths) {
    constexpr std::uint32_t Thousand = 1000;
    return m_Random() % Thousand < Thousandths;
  }
  [[nodiscard]] core::Duration drawUpTo(core::Duration Most) {
    return core::Duration(static_cast<core::Duration::rep>(
        m_Random() % static_cast<std::uint64_t>(Most.count() + 1)));
  }

  const Scenario &m_Scenario;
  std::mt19937 m_Random;
  core::Time m_Now = core::timeFromMs(1'000'000);
  std::vector<Target> m_Targets;
  std::vector<core::Time> m_NextReport;
  std::vector<Poll> m_Flying;
  // Reports that the leader holds, by target.
  std::map<core::TargetId, Poll> m_Held;
  control::State m_State;
  control::PollingState m_Polling;
  std::uint64_t m_Fence = 1;
  std::vector<Proposal> m_Proposals;
  std::map<core::RequestId, core::Time> m_CancelAt;
  std::set<core::RequestId> m_Begun;
  std::uint64_t m_NextIncarnation = 1;
  std::uint64_t m_NextWorkflow = 0;
  ScenarioResult m_Report;
};

} // namespace

// ---- Checking --------------------------------------------------------------

static void broken(Play &P, const char *Rule, const TaskKey &Key) {
  P.m_Report.m_Violations.push_back(std::string(Rule) + " " +
                                    workflow::toString(Key) + " at " +
                                    std::to_string(core::toMs(P.m_Now)));
}

static const workflow::Task *findTask(const Play &P, const TaskKey &Key) {
  const workflow::Workflow *Found =
      control::findWorkflow(P.m_State, Key.m_Workflow);
  return Found ? Found->find(Key.m_Step, Key.m_Index) : nullptr;
}

// What must hold for a run that begins now.
static void checkBegin(Play &P, const Target &On, const TaskKey &Key,
                       std::uint32_t Run) {
  const workflow::Workflow *Of =
      control::findWorkflow(P.m_State, Key.m_Workflow);
  const workflow::Task *Task = findTask(P, Key);
  if (!Task || Run > Task->m_Run) {
    broken(P, "unasked", Key);
    return;
  }
  if (Task->m_Phase == workflow::TaskPhase::Done)
    broken(P, "twice: begun after its end", Key);
  for (const Target &Other : P.m_Targets) {
    auto Found = Other.runs().find(Key);
    bool Runs = Other.life() != On.life() && Found != Other.runs().end() &&
                Found->second.m_BeginsAt <= P.m_Now;
    if (Runs)
      broken(P, "twice: on two targets", Key);
  }
  for (std::uint32_t Earlier : Of->spec().m_Steps[Key.m_Step].m_Dependencies)
    for (const workflow::Task &Each : Of->fields().m_Steps[Earlier].m_Tasks)
      if (Each.m_Phase != workflow::TaskPhase::Done)
        broken(P, "order", Key);
}

static void checkCapacity(Play &P, const Target &On) {
  core::Capacity Used;
  for (const auto &[Key, Each] : On.runs())
    if (Each.m_BeginsAt <= P.m_Now)
      if (const auto *Of = control::findWorkflow(P.m_State, Key.m_Workflow))
        Used = Used + Of->spec().m_Steps[Key.m_Step].m_PerTask;
  if (!On.capacity().covers(Used))
    broken(P, "capacity", {});
}

// ---- Targets ---------------------------------------------------------------

static void addTargets(Play &P) {
  constexpr core::Capacity Whole{8, 64000, 262144};
  for (std::uint32_t I = 0; I < P.m_Scenario.m_Targets; ++I) {
    P.m_Targets.emplace_back(
        core::TargetId("t" + std::to_string(I)), P.m_NextIncarnation++,
        "r" + std::to_string(I / P.m_Scenario.m_TargetsPerRack), Whole);
    P.m_NextReport.push_back(P.m_Now + P.drawUpTo(ReportEvery));
  }
}

// A gang ends as a whole: with a member that is done, or without one that
// ended otherwise.
static void endGangs(Play &P, const std::map<TaskKey, Run> &Before,
                     const Target &On) {
  for (const auto &[Key, Was] : Before) {
    if (On.runs().contains(Key))
      continue;
    const workflow::Workflow *Of =
        control::findWorkflow(P.m_State, Key.m_Workflow);
    if (!Of || !Of->spec().m_Steps[Key.m_Step].m_Gang)
      continue;
    bool Done = !Was.m_Fails && !Was.m_Stopping && P.m_Now >= Was.m_EndsAt;
    for (Target &Other : P.m_Targets) {
      std::vector<TaskKey> Members;
      for (const auto &[Each, Value] : Other.runs())
        if (Each.m_Workflow == Key.m_Workflow && Each.m_Step == Key.m_Step &&
            Value.m_Number == Was.m_Number)
          Members.push_back(Each);
      for (const TaskKey &Each : Members)
        Other.endRun(Each, Done ? roster::EndCause::Done
                                : roster::EndCause::GangBroken);
    }
  }
}

// Members of each gang run that have begun.
using GangRuns =
    std::map<std::tuple<core::RequestId, std::uint32_t, std::uint32_t>,
             std::uint32_t>;

static GangRuns countMembers(const Play &P) {
  GangRuns Begun;
  for (const Target &Each : P.m_Targets)
    for (const auto &[Key, Value] : Each.runs())
      if (Value.m_BeginsAt <= P.m_Now)
        ++Begun[{Key.m_Workflow, Key.m_Step, Value.m_Number}];
  return Begun;
}

// A gang makes no progress before all of its members are there, and a member
// gives up after a while.
static void waitForGangs(Play &P, Target &On, const GangRuns &Begun) {
  std::vector<TaskKey> Alone;
  std::vector<TaskKey> Waiting;
  for (const auto &[Key, Value] : On.runs()) {
    const workflow::Workflow *Of =
        control::findWorkflow(P.m_State, Key.m_Workflow);
    if (!Of || !Of->spec().m_Steps[Key.m_Step].m_Gang ||
        Value.m_BeginsAt > P.m_Now)
      continue;
    bool Complete = Begun.at({Key.m_Workflow, Key.m_Step, Value.m_Number}) ==
                    Of->spec().m_Steps[Key.m_Step].m_Tasks;
    if (Complete)
      continue;
    bool GivesUp = P.m_Now - Value.m_BeginsAt >= GangWithin;
    (GivesUp ? Alone : Waiting).push_back(Key);
  }
  for (const TaskKey &Each : Waiting)
    On.postpone(Each, Step);
  for (const TaskKey &Each : Alone)
    On.endRun(Each, roster::EndCause::GangIncomplete);
}

static void advanceTargets(Play &P) {
  GangRuns Begun = countMembers(P);
  for (Target &Each : P.m_Targets) {
    for (const auto &[Key, Value] : Each.runs())
      if (Value.m_BeginsAt <= P.m_Now && Value.m_BeginsAt > P.m_Now - Step)
        checkBegin(P, Each, Key, Value.m_Number);
    std::map<TaskKey, Run> Before = Each.runs();
    waitForGangs(P, Each, Begun);
    Each.advance(P.m_Now);
    if (Before.size() != Each.runs().size())
      endGangs(P, Before, Each);
    checkCapacity(P, Each);
  }
}

static void crashTargets(Play &P) {
  constexpr std::uint32_t StepsPerSecond = 40;
  for (Target &Each : P.m_Targets) {
    if (P.m_Random() % StepsPerSecond != 0 ||
        !P.draw(P.m_Scenario.m_Faults.m_Crashed))
      continue;
    roster::Report Last = Each.report(P.m_Now);
    Each = Target(Each.life().m_Target, P.m_NextIncarnation++, Last.m_Rack,
                  Each.capacity());
  }
}

// ---- Reports ---------------------------------------------------------------

static void sendReport(Play &P, std::size_t Index) {
  constexpr core::Duration Longest{40};
  constexpr core::Duration Late{3000};
  Poll Sent{.m_Report = P.m_Targets[Index].report(P.m_Now),
            .m_SentAt = P.m_Now,
            .m_ArrivesAt = P.m_Now + P.drawUpTo(Longest)};
  P.m_NextReport[Index] = P.m_Now + ReportEvery;
  if (P.draw(P.m_Scenario.m_Faults.m_Late)) {
    Poll Copy = Sent;
    Copy.m_IsCopy = true;
    Copy.m_ArrivesAt = P.m_Now + P.drawUpTo(Late);
    P.m_Flying.push_back(std::move(Copy));
  }
  if (!P.draw(P.m_Scenario.m_Faults.m_Lost))
    P.m_Flying.push_back(std::move(Sent));
}

static void propose(Play &P, std::vector<control::Command> Commands) {
  if (!Commands.empty())
    P.m_Proposals.push_back({.m_DurableAt = P.m_Now + CommitAfter,
                             .m_Commands = std::move(Commands)});
}

static Fate drawFate(Play &P, const roster::StartOrder &Value) {
  const Faults &Faults = P.m_Scenario.m_Faults;
  const workflow::Workflow *Of =
      control::findWorkflow(P.m_State, Value.m_Task.m_Workflow);
  Fate Drawn{.m_RunTime = Of->spec().m_Steps[Value.m_Task.m_Step].m_RunTime,
             .m_Fails = P.draw(Faults.m_Failed)};
  if (P.draw(Faults.m_Delayed))
    Drawn.m_Delay = P.drawUpTo(Faults.m_LongestDelay);
  return Drawn;
}

static void answer(Play &P, const Poll &To, const roster::Orders &Orders) {
  P.m_Polling = control::recordOrdersSent(
      std::move(P.m_Polling), P.m_State, To.m_Report.m_Target, Orders,
      P.m_Scenario.m_Polling, To.m_ArrivesAt, P.m_Now);
  bool Dropped = To.m_IsCopy || P.m_Now - To.m_SentAt > AnswerWithin ||
                 P.draw(P.m_Scenario.m_Faults.m_Lost);
  for (std::size_t I = 0; I < P.m_Targets.size() && !Dropped; ++I) {
    Target &Each = P.m_Targets[I];
    bool Same = Each.life().m_Target == To.m_Report.m_Target &&
                Each.life().m_Incarnation == To.m_Report.m_Incarnation;
    if (!Same)
      continue;
    P.m_Report.m_Starts += Orders.m_Starts.size();
    Each.take(Orders, To.m_SentAt, P.m_Now,
              [&](const auto &Start) { return drawFate(P, Start); });
    if (Orders.m_ReportAfter > core::Duration::zero())
      P.m_NextReport[I] = P.m_Now + Orders.m_ReportAfter;
  }
}

static void deliverReports(Play &P) {
  std::vector<Poll> Arrived;
  std::erase_if(P.m_Flying, [&](const Poll &Each) {
    if (Each.m_ArrivesAt > P.m_Now)
      return false;
    Arrived.push_back(Each);
    return true;
  });
  for (Poll &Each : Arrived) {
    bool Fresh = P.m_Polling.m_Roster.isNewer(Each.m_Report);
    control::PollingStep Next =
        control::handleReport(std::move(P.m_Polling), P.m_State, Each.m_Report,
                              P.m_Scenario.m_Polling, P.m_Now);
    P.m_Polling = std::move(Next.m_Polling);
    propose(P, std::move(Next.m_Commands));
    if (Fresh)
      P.m_Held.insert_or_assign(Each.m_Report.m_Target, Each);
  }
}

static void answerHeld(Play &P) {
  for (auto Each = P.m_Held.begin(); Each != P.m_Held.end();) {
    const roster::Member *To = P.m_Polling.m_Roster.find(Each->first);
    if (!To) {
      Each = P.m_Held.erase(Each);
      continue;
    }
    control::ReportResponse Said = control::ordersFor(
        P.m_Polling, P.m_State, *To, P.m_Scenario.m_Polling, P.m_Fence);
    bool Due =
        Said.m_SendNow || P.m_Now - Each->second.m_ArrivesAt >= Said.m_MaxDelay;
    if (!Due) {
      ++Each;
      continue;
    }
    Poll Taken = std::move(Each->second);
    Each = P.m_Held.erase(Each);
    answer(P, Taken, Said.m_Orders);
  }
}

// ---- The leader ------------------------------------------------------------

static void noteBegun(Play &P) {
  for (const auto &[Id, Value] : P.m_State.m_Tables.m_Workflows) {
    if (!Value.fields().m_Started || !P.m_Begun.insert(Id).second)
      continue;
    if (Value.spec().m_Policy.m_Priority == 0)
      P.m_Report.m_UrgentWaits.push_back(P.m_Now - Value.fields().m_AcceptedAt);
  }
}

static void applyDurable(Play &P) {
  bool Applied = false;
  while (!P.m_Proposals.empty() &&
         P.m_Proposals.front().m_DurableAt <= P.m_Now) {
    control::ApplyResult Result = control::apply(
        std::move(P.m_State),
        {.m_At = P.m_Now, .m_Commands = P.m_Proposals.front().m_Commands});
    P.m_Proposals.erase(P.m_Proposals.begin());
    P.m_State = std::move(Result.m_State);
    P.m_Polling =
        control::afterApplied(std::move(P.m_Polling), P.m_State, Result);
    Applied = true;
  }
  if (Applied)
    noteBegun(P);
}

// Another leader takes over: it knows what is durable and nothing else.
static void elect(Play &P) {
  constexpr std::uint32_t StepsPerSecond = 40;
  if (P.m_Random() % StepsPerSecond != 0 ||
      !P.draw(P.m_Scenario.m_Faults.m_Elections))
    return;
  P.m_Proposals.clear();
  P.m_Held.clear();
  P.m_Polling = control::beginPolling(P.m_Now);
  ++P.m_Fence;
}

static void lead(Play &P) {
  bool MayPass = P.m_Proposals.empty();
  control::PollingStep Next =
      control::tick(std::move(P.m_Polling), P.m_State, P.m_Scenario.m_Polling,
                    MayPass, P.m_Now);
  P.m_Polling = std::move(Next.m_Polling);
  P.m_Report.m_Displaced += Next.m_Preemptions.size();
  propose(P, std::move(Next.m_Commands));
}

// ---- The load --------------------------------------------------------------

static workflow::StepSpec drawStep(Play &P, bool Urgent) {
  constexpr std::int64_t Sizes[] = {1, 2, 4, 8};
  constexpr std::uint32_t MostTasks = 5;
  auto Accelerators = Sizes[P.m_Random() % std::size(Sizes)];
  bool Gang = P.m_Random() % 3 != 0;
  constexpr core::Duration Short{2000};
  constexpr core::Duration Long{9000};
  return {.m_Tasks = 1 + static_cast<std::uint32_t>(P.m_Random() % MostTasks),
          .m_PerTask = {Accelerators, 7000, 20000},
          .m_RunTime = core::Duration(500) + P.drawUpTo(Urgent ? Short : Long),
          .m_Gang = Gang,
          .m_RackAffinity = Gang && P.m_Random() % 2 == 0};
}

static void submit(Play &P) {
  constexpr std::uint32_t Percent = 100;
  constexpr std::uint32_t Attempts = 3;
  constexpr core::Duration LongestPatience{6000};
  bool Urgent = P.m_Random() % Percent < P.m_Scenario.m_UrgentPercent;
  workflow::WorkflowSpec Spec{
      .m_Id = core::RequestId("w" + std::to_string(++P.m_NextWorkflow)),
      .m_Workspace = core::WorkspaceId("team"),
      .m_Policy = {.m_Queue = "q",
                   .m_Pool = "pool",
                   .m_Priority = Urgent ? 0U : 1U,
                   .m_MaxAttempts = Attempts,
                   .m_SlackPercent = 200,
                   .m_TargetLatency = core::Duration(1000)},
      .m_Steps = {drawStep(P, Urgent)}};
  if (P.m_Random() % 4 == 0) {
    Spec.m_Steps.push_back(drawStep(P, Urgent));
    Spec.m_Steps.back().m_Dependencies = {0};
  }
  if (P.draw(P.m_Scenario.m_Faults.m_Cancelled))
    P.m_CancelAt[Spec.m_Id] = P.m_Now + P.drawUpTo(LongestPatience);
  ++P.m_Report.m_Accepted;
  // Accepted means durable; no election loses it.
  control::ApplyResult Result = control::apply(
      std::move(P.m_State),
      {.m_At = P.m_Now, .m_Commands = {control::AcceptWorkflow{Spec}}});
  P.m_State = std::move(Result.m_State);
  P.m_Polling =
      control::afterApplied(std::move(P.m_Polling), P.m_State, Result);
}

static void cancelDue(Play &P) {
  std::vector<control::Command> Commands;
  std::erase_if(P.m_CancelAt, [&](const auto &Each) {
    if (Each.second > P.m_Now)
      return false;
    Commands.push_back(control::CancelWorkflow{Each.first});
    return true;
  });
  propose(P, std::move(Commands));
}

// ---- Playing ---------------------------------------------------------------

static void configure(Play &P) {
  configuration::Replacement Value{
      .m_Version = 1,
      .m_Workspaces = {{.m_Id = core::WorkspaceId("team"),
                        .m_ReservedAccelerators = P.m_Scenario.m_Reserved}}};
  P.m_State =
      control::apply(
          std::move(P.m_State),
          {.m_At = P.m_Now,
           .m_Commands = {control::ReplaceConfiguration{std::move(Value)}}})
          .m_State;
}

static void countOutcomes(Play &P) {
  ScenarioResult &Out = P.m_Report;
  for (const auto &[Id, Value] : P.m_State.m_Tables.m_Workflows) {
    Out.m_Completed += Value.phase() == workflow::Phase::Completed ? 1 : 0;
    Out.m_Failed += Value.phase() == workflow::Phase::Failed ? 1 : 0;
    Out.m_Cancelled += Value.phase() == workflow::Phase::Cancelled ? 1 : 0;
    Out.m_Open += Value.phase() == workflow::Phase::Active ? 1 : 0;
    bool InTime = Value.phase() == workflow::Phase::Completed &&
                  Value.fields().m_FinishedAt <= assignment::objectiveOf(Value);
    Out.m_InTime += InTime ? 1 : 0;
  }
  std::sort(Out.m_UrgentWaits.begin(), Out.m_UrgentWaits.end());
}

ScenarioResult runScenario(const Scenario &Value) {
  Play P(Value);
  configure(P);
  addTargets(P);
  P.m_Polling = control::beginPolling(P.m_Now);
  core::Time LoadEnds = P.m_Now + Value.m_Length;
  core::Time End = LoadEnds + Settling;
  constexpr std::uint32_t StepsPerSecond = 40;
  for (; P.m_Now < End; P.m_Now += Step) {
    if (P.m_Now < LoadEnds && P.m_Random() % StepsPerSecond < Value.m_PerSecond)
      submit(P);
    cancelDue(P);
    applyDurable(P);
    advanceTargets(P);
    if (P.m_Now < LoadEnds) {
      crashTargets(P);
      elect(P);
    }
    for (std::size_t I = 0; I < P.m_Targets.size(); ++I)
      if (P.m_NextReport[I] <= P.m_Now)
        sendReport(P, I);
    deliverReports(P);
    lead(P);
    answerHeld(P);
  }
  countOutcomes(P);
  return std::move(P.m_Report);
}

// ---- Text ------------------------------------------------------------------

static std::string percentile(const std::vector<core::Duration> &Sorted,
                              std::size_t Percent) {
  if (Sorted.empty())
    return "-";
  constexpr std::size_t Whole = 100;
  std::size_t Index =
      std::min(Sorted.size() - 1, Sorted.size() * Percent / Whole);
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
  Line("open", std::to_string(Value.m_Open));
  Line("starts", std::to_string(Value.m_Starts));
  Line("displaced", std::to_string(Value.m_Displaced));
  constexpr std::size_t Median = 50;
  constexpr std::size_t Tail = 99;
  Line("urgent_wait_p50_ms", percentile(Value.m_UrgentWaits, Median));
  Line("urgent_wait_p99_ms", percentile(Value.m_UrgentWaits, Tail));
  for (const std::string &Each : Value.m_Violations)
    Line("broken", Each);
  return Text;
}

} // namespace fireflydrift::emulator
