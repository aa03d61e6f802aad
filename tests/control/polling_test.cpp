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
  Polling Self = beginPolling(at(0));
  for (core::Time Now : {at(0), at(0) + Options.m_Health.m_StalledAfter}) {
    ++Said.m_Sequence;
    PollingStep Next = polled(std::move(Self), Current, Said, Options, Now);
    EXPECT_TRUE(Next.m_Commands.empty());
    EXPECT_TRUE(Next.m_Stalled.empty());
    Self = std::move(Next.m_Polling);
  }
}
