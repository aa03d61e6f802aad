// The decisions under overload: which waiting work goes first, and which
// running work is preempted.
#include "assignment/delay_cost.h"
#include "assignment/pass.h"

#include <gtest/gtest.h>
#include <list>

using namespace fireflydrift;
using namespace fireflydrift::assignment;
using workflow::StepSpec;
using workflow::Workflow;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

namespace {

constexpr core::Duration Lookahead{10000};

struct Request {
  const char *m_Id = "w";
  std::uint32_t m_Priority = 1;
  std::uint32_t m_Tasks = 1;
  std::int64_t m_Accelerators = 1;
  core::Duration::rep m_RunTimeMs = 1000;
  core::Duration::rep m_AcceptedMs = 0;
  bool m_Gang = false;

  friend bool operator==(const Request &, const Request &) = default;
};

class Overload : public testing::Test {
protected:
  PendingStep pending(const Request &Value) {
    StepSpec Step{.m_Tasks = Value.m_Tasks,
                  .m_PerTask = {Value.m_Accelerators, 0, 0},
                  .m_RunTime = core::Duration(Value.m_RunTimeMs),
                  .m_Gang = Value.m_Gang};
    auto Created =
        Workflow::create({.m_Id = core::RequestId(Value.m_Id),
                          .m_Policy = {.m_Pool = "pool",
                                       .m_Priority = Value.m_Priority,
                                       .m_SlackPercent = 200,
                                       .m_TargetLatency = core::Duration(1000)},
                          .m_Steps = {Step}},
                         at(Value.m_AcceptedMs));
    EXPECT_TRUE(Created);
    m_Workflows.push_back(*std::move(Created));
    PendingStep Pending{.m_Workflow = &m_Workflows.back(),
                        .m_RunTime = Step.m_RunTime,
                        .m_Remaining = Step.m_RunTime,
                        .m_RemainingWork = Value.m_RunTimeMs *
                                           Value.m_Accelerators *
                                           Value.m_Tasks};
    Pending.m_TotalWork = Pending.m_RemainingWork;
    for (std::uint32_t I = 0; I < Value.m_Tasks; ++I)
      Pending.m_Waiting.push_back(I);
    return Pending;
  }
  double cost(const Request &Value, core::Time Now = at(0)) {
    return delayCost(pending(Value), Lookahead, Now);
  }
  std::list<Workflow> m_Workflows;
};

} // namespace

// ---- Cost of delay --------------------------------------------------------

TEST_F(Overload, DelayCostsMoreForHigherPriority) {
  EXPECT_GT(cost({.m_Priority = 1}), cost({.m_Priority = 2}));
}

TEST_F(Overload, DelayCostsMoreTheLessWorkRemains) {
  PendingStep Step = pending({.m_Tasks = 16});
  double Untouched = delayCost(Step, Lookahead, at(0));
  Step.m_RemainingWork /= 2;
  EXPECT_EQ(delayCost(Step, Lookahead, at(0)), 2 * Untouched);
  Step.m_RemainingWork = 0;
  EXPECT_EQ(delayCost(Step, Lookahead, at(0)), 4 * Untouched);
}

// Large jobs must get their turn beside small ones of the same priority.
TEST_F(Overload, DelayCostsALargeJobAsMuchAsASmallOne) {
  EXPECT_EQ(cost({.m_Tasks = 16}), cost({.m_Tasks = 1}));
}

TEST_F(Overload, DelayCostsLessWhileThereIsSlack) {
  // The first may start 2 s later and be in time, the second 0.5 s.
  EXPECT_LT(cost({}), cost({.m_AcceptedMs = -1500}));
}

// Work that can't be finished in time must not push others out of theirs, and
// work that is of no use any more must not push out late work.
TEST_F(Overload, DelayCostsLittleOnceTheObjectiveIsMissed) {
  double OnTime = cost({.m_AcceptedMs = -1900});
  double Late = cost({.m_AcceptedMs = -2100});
  EXPECT_LT(Late, OnTime);
  EXPECT_GT(Late, 0);
  EXPECT_EQ(cost({.m_AcceptedMs = -20000}), 0);
}

// A wide gang must get its turn beside a stream of small steps.
TEST_F(Overload, AWideGangWithoutSlackGoesBeforeSmallStepsWithSlack) {
  Request Gang{.m_Id = "gang",
               .m_Tasks = 16,
               .m_RunTimeMs = 10000,
               .m_AcceptedMs = -11000,
               .m_Gang = true};
  Request Small{
      .m_Id = "small", .m_Priority = 2, .m_Tasks = 4, .m_RunTimeMs = 10000};
  std::vector<PendingStep> Steps{pending(Small), pending(Gang)};
  orderByDelayCost(Steps, at(0));
  EXPECT_EQ(Steps.front().m_Workflow->id(), core::RequestId("gang"));
}

TEST_F(Overload, UrgentStepsComeFirstWhateverTheyCost) {
  Request Urgent{
      .m_Id = "urgent", .m_Priority = 0, .m_Tasks = 64, .m_RunTimeMs = 60000};
  std::vector<PendingStep> Steps{pending({.m_Id = "small"}), pending(Urgent)};
  orderByDelayCost(Steps, at(0));
  EXPECT_EQ(Steps.front().m_Workflow->id(), core::RequestId("urgent"));
  EXPECT_EQ(Steps.size(), 2U);
}

// ---- Preemption ------------------------------------------------------------

// Of two works that lose the same, the one with the less valuable result is
// preempted.
TEST_F(Overload, PreemptsTheWorkOfLessValue) {
  PendingStep Valuable = pending({.m_Id = "valuable", .m_Accelerators = 8});
  PendingStep Other = pending({.m_Id = "other", .m_Accelerators = 8});
  PendingStep Urgent =
      pending({.m_Id = "urgent", .m_Priority = 0, .m_Accelerators = 8});
  auto RunsOn = [](const char *Id, const PendingStep &Step, double Value) {
    return TargetInfo{
        .m_Instance = {core::TargetId(Id), 1},
        .m_Pool = "pool",
        .m_Total = {8, 0, 0},
        .m_Allocations = {{.m_Task = {Step.m_Workflow->id(), 0, 0},
                           .m_Run = 1,
                           .m_Capacity = {8, 0, 0},
                           .m_Priority = 1,
                           .m_UnsavedRunTime = core::Duration(500),
                           .m_ResultValue = Value}}};
  };
  PassResult Result = runPass(
      {RunsOn("a", Valuable, 1), RunsOn("b", Other, 0.5)}, {Urgent}, {}, at(0));
  ASSERT_EQ(Result.m_Preemptions.size(), 1U);
  EXPECT_EQ(Result.m_Preemptions.front().m_Task.m_Workflow,
            core::RequestId("other"));
}

TEST_F(Overload, OrderOfNothingIsNothing) {
  std::vector<PendingStep> Steps;
  orderByDelayCost(Steps, at(0));
  EXPECT_TRUE(Steps.empty());
}
