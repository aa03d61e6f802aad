#include "control/polling.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::control;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static State oneWorkflow() {
  workflow::WorkflowSpec Spec{.m_Id = core::RequestId("w"),
                              .m_Steps = {workflow::StepSpec{}}};
  return apply({}, {.m_At = at(0), .m_Commands = {AcceptWorkflow{Spec}}})
      .m_State;
}

// Guards against an access out of bounds: a malformed report may name a known
// workflow with a step that it does not have.
TEST(Polling, SurvivesAReportOfAStepThatDoesNotExist) {
  State Current = oneWorkflow();
  PollingOptions Options;
  roster::Report Report{
      .m_Target = core::TargetId("t"),
      .m_Incarnation = 1,
      .m_Running = {{.m_Task = {core::RequestId("w"), 999, 0}, .m_Run = 1}},
      .m_Ended = {{.m_Number = 1, .m_Task = {core::RequestId("w"), 999, 0}}}};
  PollingState Polling = beginPolling(at(0));
  for (core::Time Now : {at(0), at(0) + Options.m_Health.m_StalledAfter}) {
    ++Report.m_Sequence;
    PollingStep Next =
        handleReport(std::move(Polling), Current, Report, Options, Now);
    EXPECT_TRUE(Next.m_Commands.empty());
    EXPECT_TRUE(Next.m_Stalled.empty());
    Polling = std::move(Next.m_Polling);
  }
}

// Guards against starting a run twice: a target is silent until its lease has
// expired and reports again while the end of its run is proposed but not
// durable. It must not be ordered to start that run, because the task is about
// to be assigned to another target.
TEST(Polling, DoesNotStartARunWhoseEndIsProposed) {
  const core::TargetId Target("t");
  const workflow::TargetInstance Instance{.m_Target = Target,
                                          .m_Incarnation = 1};
  PollingOptions Options;
  roster::Report Report{.m_Target = Target, .m_Incarnation = 1};
  State Current = oneWorkflow();
  AssignTasks Assigned{
      .m_Workflow = core::RequestId("w"),
      .m_Assign = {.m_Run = 1, .m_Placements = {{.m_Instance = Instance}}}};
  Current = apply(std::move(Current),
                  {.m_At = at(0), .m_Commands = {std::move(Assigned)}})
                .m_State;
  PollingState Polling =
      handleReport(beginPolling(at(0)), Current, Report, Options, at(0))
          .m_Polling;
  auto Starts = [&] {
    return ordersFor(Polling, Current, *Polling.m_Roster.find(Target), Options,
                     1)
        .m_Orders.m_Starts.size();
  };
  EXPECT_EQ(Starts(), 1U);

  core::Time Late = at(0) + 2 * Options.m_Roster.m_Lease;
  PollingStep Lost = tick(std::move(Polling), Current, Options, false, Late);
  ASSERT_EQ(Lost.m_Commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<EndRun>(Lost.m_Commands.front()));
  ++Report.m_Sequence;
  Polling =
      handleReport(std::move(Lost.m_Polling), Current, Report, Options, Late)
          .m_Polling;
  EXPECT_EQ(Starts(), 0U);
}

// Guards against exceeding the step's limit per target: a run is preempted
// while its target is unreachable, another task of the step is assigned there,
// and the next leader, which does not know of the preemption, starts both.
TEST(Polling, CountsARunThatIsBeingStoppedAgainstTheLimitOfItsStep) {
  const core::TargetId Target("t");
  const workflow::TargetInstance Instance{.m_Target = Target,
                                          .m_Incarnation = 1};
  constexpr core::Capacity Whole{8, 64000, 256000};
  workflow::WorkflowSpec Spec{.m_Id = core::RequestId("w"),
                              .m_Policy = {.m_Pool = "pool"},
                              .m_Steps = {{.m_Tasks = 2,
                                           .m_PerTask = {.m_Accelerators = 1},
                                           .m_MaxPerTarget = 1}}};
  AssignTasks First{.m_Workflow = Spec.m_Id,
                    .m_Assign = {.m_Run = 1, .m_Placements = {{0, Instance}}}};
  State Current =
      apply({}, {.m_At = at(0), .m_Commands = {AcceptWorkflow{Spec}, First}})
          .m_State;
  PollingOptions Options;
  roster::Report Report{.m_Target = Target,
                        .m_Incarnation = 1,
                        .m_Pool = "pool",
                        .m_Capacity = Whole};
  PollingState Polling =
      handleReport(beginPolling(at(0)), Current, Report, Options, at(0))
          .m_Polling;
  // The target's next report confirms it, so that it may get new work.
  Polling = recordOrdersSent(std::move(Polling), Current, Target, {}, Options,
                             at(0), at(0));
  ++Report.m_Sequence;
  Polling = handleReport(std::move(Polling), Current, Report, Options, at(0))
                .m_Polling;
  ASSERT_TRUE(Polling.m_Roster.isSchedulable(*Polling.m_Roster.find(Target),
                                             Options.m_Roster, at(0)));
  Polling.m_Preempted[{Spec.m_Id, 0, 0}] = 1;
  core::Time Later = at(0) + Options.m_MaxPassInterval;
  EXPECT_TRUE(tick(std::move(Polling), Current, Options, true, Later)
                  .m_Commands.empty());
}

// With hundreds of targets their reports alone would take the leader's whole
// processor, and all at once when it takes over.
TEST(Polling, ReportsGrowMoreSlowlyThanTheFleet) {
  const PollingOptions Options;
  EXPECT_EQ(reportInterval(Options, 48), Options.m_ReportInterval);
  EXPECT_EQ(reportInterval(Options, 540), Options.m_ReportInterval);
  EXPECT_EQ(reportInterval(Options, 1500), core::Duration(500));
  EXPECT_EQ(reportInterval(Options, 100000), Options.m_MaxReportInterval);
  EXPECT_EQ(confirmationDelay(Options, 0), core::Duration(1));
  EXPECT_EQ(confirmationDelay(Options, 500), core::Duration(100));
  EXPECT_LE(confirmationDelay(Options, 100000), core::Duration(1000));
}

// A leader that has just taken over has heard from a few targets only. It must
// not stop work there for want of capacity that others have.
TEST(Polling, PreemptsNothingUntilTheFleetIsKnown) {
  const core::TargetId Target("t");
  const workflow::TargetInstance Instance{.m_Target = Target,
                                          .m_Incarnation = 1};
  constexpr core::Capacity Whole{8, 64000, 256000};
  auto Spec = [&](const char *Id, std::uint32_t Priority) {
    return workflow::WorkflowSpec{
        .m_Id = core::RequestId(Id),
        .m_Policy = {.m_Pool = "pool", .m_Priority = Priority},
        .m_Steps = {{.m_Tasks = 1, .m_PerTask = {.m_Accelerators = 8}}}};
  };
  AssignTasks Running{
      .m_Workflow = core::RequestId("long"),
      .m_Assign = {.m_Run = 1, .m_Placements = {{.m_Instance = Instance}}}};
  State Current =
      apply({}, {.m_At = at(0),
                 .m_Commands = {AcceptWorkflow{Spec("long", 1)},
                                AcceptWorkflow{Spec("urgent", 0)}, Running}})
          .m_State;
  PollingOptions Options;
  roster::Report Report{.m_Target = Target,
                        .m_Incarnation = 1,
                        .m_Pool = "pool",
                        .m_Capacity = Whole};
  PollingState Polling = beginPolling(at(0));
  for (int I = 0; I < 2; ++I) {
    ++Report.m_Sequence;
    Polling = handleReport(std::move(Polling), Current, Report, Options, at(10))
                  .m_Polling;
    Polling = recordOrdersSent(std::move(Polling), Current, Target, {}, Options,
                               at(10), at(10));
  }
  auto PreemptionsAt = [&](core::Time Now) {
    return tick(PollingState(Polling), Current, Options, true, Now)
        .m_Preemptions.size();
  };
  EXPECT_EQ(PreemptionsAt(at(300)), 0U);
  EXPECT_EQ(PreemptionsAt(at(-1) + Options.m_FleetKnownAfter), 0U);
  EXPECT_EQ(PreemptionsAt(at(0) + Options.m_FleetKnownAfter), 1U);
}

namespace {

// A target that leaves in a stated time, with a run of a workflow on it.
struct Departing {
  static constexpr core::Duration Before{400};

  Departing()
      : m_State(apply(oneWorkflow(),
                      {.m_At = at(0),
                       .m_Commands = {AssignTasks{
                           .m_Workflow = core::RequestId("w"),
                           .m_Assign = {.m_Run = 1,
                                        .m_Placements = {{.m_Instance =
                                                              m_Instance}}}}}})
                    .m_State) {
    m_Options.m_StopWithin = Before - m_Options.m_StopTransit;
    for (int I = 0; I < 2; ++I)
      (void)report(std::nullopt);
  }

  PollingStep report(std::optional<core::Duration> Remaining,
                     const std::vector<roster::EndedTask> &Ended = {}) {
    PollingStep Next = handleReport(
        std::move(m_Polling), m_State,
        {.m_Target = m_Instance.m_Target,
         .m_Incarnation = 1,
         .m_Sequence = ++m_Sequence,
         .m_Draining = true,
         .m_Remaining = Remaining,
         .m_Running = Ended.empty() ? std::vector{m_Running}
                                    : std::vector<roster::RunningTask>(),
         .m_Ended = Ended},
        m_Options, at(10));
    m_Polling = Next.m_Polling;
    m_Orders =
        ordersFor(m_Polling, m_State,
                  *m_Polling.m_Roster.find(m_Instance.m_Target), m_Options, 1)
            .m_Orders;
    m_Polling =
        recordOrdersSent(std::move(m_Polling), m_State, m_Instance.m_Target,
                         m_Orders, m_Options, at(10), at(10));
    return Next;
  }

  const workflow::TargetInstance m_Instance{.m_Target = core::TargetId("t"),
                                            .m_Incarnation = 1};
  const roster::RunningTask m_Running{.m_Task = {core::RequestId("w"), 0, 0},
                                      .m_Run = 1};
  PollingOptions m_Options;
  State m_State;
  PollingState m_Polling = beginPolling(at(0));
  roster::Orders m_Orders;
  std::uint64_t m_Sequence = 0;
};

} // namespace

// Guards against running a task twice: a run ends in the last moment before its
// target leaves, which reports the end to nobody, and the leader assigns the
// task again once the target's lease has ended.
TEST(Polling, StopsRunsWhileTheirTargetCanStillReportTheEnds) {
  Departing Target;
  EXPECT_TRUE(
      Target.report(Target.Before + core::Duration(1)).m_Withdrawn.empty());
  EXPECT_TRUE(Target.m_Orders.m_Stops.empty());
  EXPECT_EQ(Target.report(Target.Before).m_Withdrawn.size(), 1U);
  EXPECT_EQ(Target.m_Orders.m_Stops.size(), 1U);
  // The stop is repeated until the end is reported, and decided once.
  EXPECT_TRUE(Target.report(core::Duration(0)).m_Withdrawn.empty());
  EXPECT_EQ(Target.m_Orders.m_Stops.size(), 1U);
}

TEST(Polling, LetsRunsGoOnWhileTheDepartureIsNotKnown) {
  Departing Target;
  EXPECT_TRUE(Target.report(std::nullopt).m_Withdrawn.empty());
  EXPECT_TRUE(Target.m_Orders.m_Stops.empty());
}

TEST(Polling, DoesNotStopARunWhoseEndIsReported) {
  Departing Target;
  PollingStep Next =
      Target.report(Target.Before, {{.m_Number = 1,
                                     .m_Task = Target.m_Running.m_Task,
                                     .m_Run = 1,
                                     .m_Cause = roster::EndCause::Done}});
  EXPECT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(Next.m_Withdrawn.empty());
}

// The target has to report when it is time to stop its runs, not up to an
// interval later.
TEST(Polling, AsksADepartingTargetToReportInTime) {
  Departing Target;
  (void)Target.report(Target.Before + core::Duration(40));
  EXPECT_EQ(Target.m_Orders.m_ReportAfter, core::Duration(40));
  (void)Target.report(Target.Before + core::Duration(5000));
  EXPECT_EQ(Target.m_Orders.m_ReportAfter, Target.m_Options.m_ReportInterval);
}
