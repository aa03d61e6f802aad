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

// Another writer may name a workflow of ours with a step that it does not have.
TEST(Polling, SurvivesAReportOfAStepThatDoesNotExist) {
  State Current = oneWorkflow();
  PollingOptions Options;
  roster::Report Said{
      .m_Target = core::TargetId("t"),
      .m_Incarnation = 1,
      .m_Running = {{.m_Task = {core::RequestId("w"), 999, 0}, .m_Run = 1}},
      .m_Ended = {{.m_Number = 1, .m_Task = {core::RequestId("w"), 999, 0}}}};
  PollingState Self = beginPolling(at(0));
  for (core::Time Now : {at(0), at(0) + Options.m_Health.m_StalledAfter}) {
    ++Said.m_Sequence;
    PollingStep Next =
        handleReport(std::move(Self), Current, Said, Options, Now);
    EXPECT_TRUE(Next.m_Commands.empty());
    EXPECT_TRUE(Next.m_Stalled.empty());
    Self = std::move(Next.m_Polling);
  }
}

// Found by hunts of a grown installation: a target was silent until its lease
// was over, and reported again while the end of its run was on its way into the
// log. It was told to start the run that was then given to another target.
TEST(Polling, DoesNotStartARunWhoseEndIsProposed) {
  const core::TargetId Target("t");
  const workflow::TargetInstance Life{.m_Target = Target, .m_Incarnation = 1};
  PollingOptions Options;
  roster::Report Said{.m_Target = Target, .m_Incarnation = 1};
  State Current = oneWorkflow();
  AssignTasks Assigned{
      .m_Workflow = core::RequestId("w"),
      .m_Assign = {.m_Run = 1, .m_Placements = {{.m_Instance = Life}}}};
  Current = apply(std::move(Current),
                  {.m_At = at(0), .m_Commands = {std::move(Assigned)}})
                .m_State;
  PollingState Self =
      handleReport(beginPolling(at(0)), Current, Said, Options, at(0))
          .m_Polling;
  auto Starts = [&] {
    return ordersFor(Self, Current, *Self.m_Roster.find(Target), Options, 1)
        .m_Orders.m_Starts.size();
  };
  EXPECT_EQ(Starts(), 1U);

  core::Time Late = at(0) + 2 * Options.m_Roster.m_Lease;
  PollingStep Lost = tick(std::move(Self), Current, Options, false, Late);
  ASSERT_EQ(Lost.m_Commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<EndRun>(Lost.m_Commands.front()));
  ++Said.m_Sequence;
  Self = handleReport(std::move(Lost.m_Polling), Current, Said, Options, Late)
             .m_Polling;
  EXPECT_EQ(Starts(), 0U);
}

// Found by a hunt: a run was displaced while its target was cut off, another
// task of the step was assigned there, and the next leader, which knew nothing
// of the displacement, started both.
TEST(Polling, CountsARunThatIsBeingStoppedAgainstTheLimitOfItsStep) {
  const core::TargetId Target("t");
  const workflow::TargetInstance Life{.m_Target = Target, .m_Incarnation = 1};
  constexpr core::Capacity Whole{8, 64000, 256000};
  workflow::WorkflowSpec Spec{.m_Id = core::RequestId("w"),
                              .m_Policy = {.m_Pool = "pool"},
                              .m_Steps = {{.m_Tasks = 2,
                                           .m_PerTask = {.m_Accelerators = 1},
                                           .m_MaxPerTarget = 1}}};
  AssignTasks First{.m_Workflow = Spec.m_Id,
                    .m_Assign = {.m_Run = 1, .m_Placements = {{0, Life}}}};
  State Current =
      apply({}, {.m_At = at(0), .m_Commands = {AcceptWorkflow{Spec}, First}})
          .m_State;
  PollingOptions Options;
  roster::Report Said{.m_Target = Target,
                      .m_Incarnation = 1,
                      .m_Pool = "pool",
                      .m_Capacity = Whole};
  PollingState Self =
      handleReport(beginPolling(at(0)), Current, Said, Options, at(0))
          .m_Polling;
  Self.m_Displaced[{Spec.m_Id, 0, 0}] = 1;
  core::Time Later = at(0) + Options.m_PassAgain;
  EXPECT_TRUE(
      tick(std::move(Self), Current, Options, true, Later).m_Commands.empty());
}
