// Runs the leader's decisions under random faults from fixed seeds: calls lost,
// answered late or refused, targets restarted and lost, leaders replaced, jobs
// cancelled. Checks the invariants after each step.
#include "control/leader.h"
#include "control/operation.h"
#include "control/replay.h"

#include <gtest/gtest.h>
#include <random>

using namespace fireflydrift;
using namespace fireflydrift::control;

namespace {

// Simulates a target's side of the lease protocol.
struct FakeTarget {
  std::uint64_t m_Incarnation = 1;
  bool m_Up = true;
  std::map<core::JobKey, std::uint64_t> m_FencingTokens;
  std::map<Lease, Call> m_Reserved;
  std::map<Lease, Call> m_Started;
  std::set<Lease> m_Finished;
};

class FaultSimulation {
public:
  explicit FaultSimulation(unsigned Seed) : m_Random(Seed) {
    commit({ChangeConfiguration{
        {.m_Operation = core::OperationId("op"),
         .m_Workspaces = {
             {.m_Id = core::WorkspaceId("w"),
              .m_Quota = 20,
              .m_MayBorrow = 12,
              .m_Guarantees = {{.m_Name = "g",
                                .m_Shape = {.m_Tasks = 2,
                                            .m_PerTask = {4, 0, 0}}}}},
             {.m_Id = core::WorkspaceId("v"),
              .m_Quota = 8,
              .m_MayBorrow = 24}}}}});
    for (int I = 0; I < 4; ++I)
      announce(core::TargetId("t" + std::to_string(I)));
    m_Leader = becomeLeader(m_State, m_Now);
  }

  void step() {
    m_Now += core::Duration(50);
    unsigned Roll = m_Random() % 1000;
    if (Roll < 120)
      submit();
    else if (Roll < 140)
      cancel();
    else if (Roll < 148)
      restartTarget();
    else if (Roll < 152)
      loseTarget();
    else if (Roll < 170)
      recoverTarget();
    else if (Roll < 176)
      // The new leader does not know which calls are under way.
      m_Leader = becomeLeader(m_State, m_Now);
    finishTasksOnAnyTarget();
    answerSomeCalls();
    tickLeader();
    check();
  }

  // Stops injecting faults and runs until every job has an outcome.
  void runUntilFinished() {
    m_Faults = false;
    for (auto &[Id, Each] : m_Targets)
      if (!Each.m_Up)
        announce(Id);
    for (int I = 0; I < 4000 && !allFinished(); ++I) {
      m_Now += core::Duration(100);
      finishTasksOnAnyTarget();
      finishTasksOnAnyTarget();
      // Targets repeat their reports, also when no other task ends.
      deliverReports();
      answerSomeCalls();
      tickLeader();
      check();
    }
    EXPECT_TRUE(allFinished()) << "an accepted request has no outcome";
  }

  void checkAtEnd() {
    for (const auto &[Key, Job] : m_State.m_Tables.m_Jobs) {
      auto Starts = m_Starts.find(Key);
      if (Job.phase() == job::Phase::NotRun) {
        EXPECT_EQ(Starts, m_Starts.end()) << core::toString(Key);
      }
      if (Job.phase() != job::Phase::Answered)
        continue;
      for (std::size_t I = 0; I < Job.fields().m_Members.size(); ++I)
        EXPECT_EQ(Job.fields().m_Members[I].m_Answer,
                  core::toString(Key) + "#" + std::to_string(I));
    }
    EXPECT_EQ(m_State, restore(m_State.m_Tables))
        << "the indexes differ from those rebuilt from the tables";
  }

private:
  bool chance(unsigned PerMille) {
    return m_Faults && m_Random() % 1000 < PerMille;
  }

  void commit(std::vector<Command> Commands) {
    if (Commands.empty())
      return;
    ApplyResult Next = apply(
        std::move(m_State), {.m_At = m_Now, .m_Commands = std::move(Commands)});
    m_State = std::move(Next.m_State);
    m_Leader = afterApplied(std::move(m_Leader), m_State, Next, m_Now);
  }

  void announce(const core::TargetId &Id) {
    FakeTarget &Each = m_Targets[Id];
    Each.m_Up = true;
    commit({AnnounceTarget{{.m_Id = Id,
                            .m_Host = "127.0.0.1",
                            .m_Port = 1,
                            .m_Incarnation = Each.m_Incarnation,
                            .m_Region = "r",
                            .m_FailureDomain = "d",
                            .m_Rack = "k",
                            .m_Capacity = {8, 64, 1024}}}});
  }
  core::TargetId anyTarget() {
    return core::TargetId("t" + std::to_string(m_Random() % 4));
  }
  void restartTarget() {
    core::TargetId Id = anyTarget();
    std::uint64_t Incarnation = m_Targets[Id].m_Incarnation + 1;
    m_Targets[Id] = {.m_Incarnation = Incarnation};
    announce(Id);
  }
  void loseTarget() {
    core::TargetId Id = anyTarget();
    if (!m_Targets[Id].m_Up)
      return;
    // The target is silent: its tasks end when their leases expire, and nothing
    // is reported.
    std::uint64_t Incarnation = m_Targets[Id].m_Incarnation;
    m_Targets[Id] = {.m_Incarnation = Incarnation, .m_Up = false};
    commit({MarkTargetLost{Id}});
  }
  void recoverTarget() {
    core::TargetId Id = anyTarget();
    if (m_Targets[Id].m_Up)
      return;
    ++m_Targets[Id].m_Incarnation;
    announce(Id);
  }

  void submit() {
    bool Gang = m_Random() % 3 == 0;
    core::JobKey Key{core::WorkspaceId(m_Random() % 2 == 0 ? "w" : "v"),
                     core::RequestId(std::to_string(++m_Submitted))};
    job::JobSpec Spec{.m_Key = Key,
                      .m_Shape = {.m_Tasks = Gang ? static_cast<std::uint32_t>(
                                                        2 + m_Random() % 3)
                                                  : 1U,
                                  .m_PerTask = {2, 0, 0}},
                      .m_Idempotent = m_Random() % 2 == 0};
    HandleResult Next =
        handle(m_State, Submit{Spec}, m_Leader.m_Reservations, m_Now);
    commit(Next.m_Commands);
    // The caller repeats the request through another VM.
    if (m_Random() % 4 == 0) {
      HandleResult Again =
          handle(m_State, Submit{Spec}, m_Leader.m_Reservations, m_Now);
      EXPECT_TRUE(Again.m_Reply);
      EXPECT_TRUE(Again.m_Commands.empty());
    }
    m_Specs[Key] = Spec;
  }
  void cancel() {
    if (m_Specs.empty())
      return;
    auto It = m_Specs.begin();
    std::advance(It, m_Random() % m_Specs.size());
    commit(handle(m_State, Cancel{It->first}, m_Leader.m_Reservations, m_Now)
               .m_Commands);
  }

  CallOutcome perform(const Call &Value) {
    FakeTarget &Each = m_Targets[Value.m_Target];
    if (!Each.m_Up)
      return CallOutcome::NoAnswer;
    std::uint64_t &Token = Each.m_FencingTokens[Value.m_Lease.m_Job];
    if (Value.m_Lease.m_FencingToken < Token)
      return CallOutcome::Refused;
    Token = Value.m_Lease.m_FencingToken;
    bool Started = Each.m_Started.contains(Value.m_Lease) ||
                   Each.m_Finished.contains(Value.m_Lease);
    switch (Value.m_Verb) {
    case Verb::Reserve:
      if (chance(30))
        return CallOutcome::Refused;
      if (!Started)
        Each.m_Reserved[Value.m_Lease] = Value;
      return CallOutcome::Accepted;
    case Verb::Start:
      if (Started)
        return CallOutcome::Accepted;
      if (Each.m_Reserved.erase(Value.m_Lease) == 0)
        return CallOutcome::UnknownLease;
      Each.m_Started[Value.m_Lease] = Value;
      recordStart(Value);
      return CallOutcome::Accepted;
    case Verb::Stop:
      return Each.m_Reserved.erase(Value.m_Lease) +
                         Each.m_Started.erase(Value.m_Lease) >
                     0
                 ? CallOutcome::Accepted
                 : CallOutcome::UnknownLease;
    }
    return CallOutcome::NoAnswer;
  }

  void recordStart(const Call &Value) {
    const core::JobKey &Key = Value.m_Lease.m_Job;
    for (std::uint32_t Task : Value.m_Tasks) {
      int Count = ++m_Starts[Key][Task];
      if (!m_Specs.at(Key).m_Idempotent) {
        EXPECT_EQ(Count, 1) << core::toString(Key)
                            << " must run at most once but was started again";
      }
    }
  }

  void tickLeader() {
    LeaderStep Next =
        tick(std::move(m_Leader), m_State, options(), true, m_Now);
    m_Leader = std::move(Next.m_Leader);
    commit(std::move(Next.m_Commands));
    for (Call &Each : Next.m_Calls)
      m_Calls.push_back(std::move(Each));
  }

  // Calls and replies are delayed, duplicated, reordered or lost.
  void answerSomeCalls() {
    std::vector<Call> Waiting = std::exchange(m_Calls, {});
    for (Call &Each : Waiting) {
      if (chance(200)) {
        m_Calls.push_back(std::move(Each));
        continue;
      }
      CallOutcome Outcome = chance(60) ? CallOutcome::NoAnswer : perform(Each);
      if (chance(40))
        (void)perform(Each);
      if (chance(60))
        Outcome = CallOutcome::NoAnswer;
      LeaderStep Next = handleCallReply(std::move(m_Leader), m_State,
                                        {.m_Verb = Each.m_Verb,
                                         .m_Target = Each.m_Target,
                                         .m_Lease = Each.m_Lease,
                                         .m_Outcome = Outcome},
                                        options(), m_Now);
      m_Leader = std::move(Next.m_Leader);
      commit(std::move(Next.m_Commands));
      for (Call &More : Next.m_Calls)
        m_Calls.push_back(std::move(More));
    }
  }

  void finishTasksOnAnyTarget() {
    FakeTarget &Each = m_Targets[anyTarget()];
    if (!Each.m_Up || Each.m_Started.empty())
      return;
    auto [Lease, Call] = *Each.m_Started.begin();
    Each.m_Started.erase(Each.m_Started.begin());
    Each.m_Finished.insert(Lease);
    bool Fails = chance(100);
    std::vector<TaskResult> Results;
    for (std::uint32_t Task : Call.m_Tasks)
      Results.push_back({.m_Job = Lease.m_Job,
                         .m_Attempt = Lease.m_Attempt,
                         .m_Task = Task,
                         .m_Succeeded = !Fails,
                         .m_Answer = core::toString(Lease.m_Job) + "#" +
                                     std::to_string(Task)});
    m_Reports.push_back(std::move(Results));
    // Reports are delayed, reordered and duplicated.
    std::size_t Pick = m_Random() % m_Reports.size();
    commit(handle(m_State, ReportResults{.m_Results = m_Reports[Pick]},
                  m_Leader.m_Reservations, m_Now)
               .m_Commands);
    if (!m_Faults || m_Random() % 2 == 0)
      deliverReports();
  }

  void deliverReports() {
    for (const auto &Report : std::exchange(m_Reports, {}))
      commit(handle(m_State, ReportResults{.m_Results = Report},
                    m_Leader.m_Reservations, m_Now)
                 .m_Commands);
  }

  [[nodiscard]] bool allFinished() const {
    return m_State.m_Indexes.m_Queued.empty() &&
           m_State.m_Indexes.m_Placed.empty();
  }

  void check() {
    for (const std::string &Each : violatedInvariants(m_State))
      ADD_FAILURE() << Each;
    EXPECT_EQ(m_State.m_Tables.m_Jobs.size(), m_Specs.size())
        << "an accepted request is missing";
  }

  static const LeaderOptions &options() {
    static const LeaderOptions Options = [] {
      LeaderOptions Values;
      Values.m_Heartbeats.m_SilentAfter = core::Duration(1LL << 40U);
      Values.m_Heartbeats.m_LostAfter = core::Duration(1LL << 40U);
      return Values;
    }();
    return Options;
  }

  std::minstd_rand m_Random;
  bool m_Faults = true;
  core::Time m_Now = core::timeFromMs(1000);
  State m_State;
  Leader m_Leader;
  std::map<core::TargetId, FakeTarget> m_Targets;
  std::map<core::JobKey, job::JobSpec> m_Specs;
  std::map<core::JobKey, std::map<std::uint32_t, int>> m_Starts;
  std::vector<Call> m_Calls;
  std::vector<std::vector<TaskResult>> m_Reports;
  int m_Submitted = 0;
};

} // namespace

TEST(Faults, InvariantsHoldUnderRandomFaults) {
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    FaultSimulation Simulation(Seed);
    for (int I = 0; I < 1500 && !testing::Test::HasFailure(); ++I)
      Simulation.step();
    Simulation.runUntilFinished();
    Simulation.checkAtEnd();
    if (testing::Test::HasFailure())
      return;
  }
}
