#include "workflow/workflow.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::workflow;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static WorkflowSpec spec(std::vector<StepSpec> Steps,
                         std::uint32_t Attempts = 2) {
  return {.m_Id = core::RequestId("w"),
          .m_Policy = {.m_Queue = "q", .m_MaxAttempts = Attempts},
          .m_Steps = std::move(Steps)};
}

static Workflow create(std::vector<StepSpec> Steps,
                       std::uint32_t Attempts = 2) {
  auto Created = Workflow::create(spec(std::move(Steps), Attempts), at(1));
  EXPECT_TRUE(Created) << core::toString(Created.reason());
  return *std::move(Created);
}

static Workflow after(Workflow Before, const Input &Value) {
  core::Reason Reason = validateInput(Before, Value);
  EXPECT_EQ(Reason.m_Code, core::ReasonCode::None) << core::toString(Reason);
  return applyInput(std::move(Before), Value, at(10));
}

static TargetInstance instance(const char *Target) {
  return {.m_Target = core::TargetId(Target), .m_Incarnation = 1};
}

static Assign assign(std::uint32_t Step, std::uint32_t Run,
                     std::uint32_t Tasks) {
  Assign Value{.m_Step = Step, .m_Run = Run};
  for (std::uint32_t I = 0; I < Tasks; ++I)
    Value.m_Placements.push_back({.m_Index = I, .m_Instance = instance("t")});
  return Value;
}

static RunEnded end(std::uint32_t Index, std::uint32_t Run, RunOutcome Outcome,
                    std::string Checkpoint = "") {
  return {.m_Index = Index,
          .m_Run = Run,
          .m_Outcome = Outcome,
          .m_Checkpoint = std::move(Checkpoint)};
}

TEST(Workflow, RejectsInvalidSpecs) {
  EXPECT_FALSE(Workflow::create(spec({}), at(1)));
  EXPECT_FALSE(Workflow::create(spec({{.m_Tasks = 0}}), at(1)));
  auto SelfDependent = Workflow::create(spec({{.m_Dependencies = {0}}}), at(1));
  ASSERT_FALSE(SelfDependent);
  EXPECT_EQ(SelfDependent.reason().m_Field, "steps.0.after");
}

TEST(Workflow, IsCompletedByTheLastTask) {
  Workflow Value = create({{.m_Tasks = 2}});
  Value = after(Value, assign(0, 1, 2));
  Value = after(Value, end(0, 1, RunOutcome::Done));
  EXPECT_EQ(Value.phase(), Phase::Active);
  Value = after(Value, end(1, 1, RunOutcome::Done));
  EXPECT_EQ(Value.phase(), Phase::Completed);
  EXPECT_EQ(Value.fields().m_FinishedAt, at(10));
}

TEST(Workflow, StepWaitsForItsDependencies) {
  Workflow Value = create({{}, {.m_Dependencies = {0}}});
  EXPECT_TRUE(Value.isReady(0));
  EXPECT_FALSE(Value.isReady(1));
  EXPECT_NE(validateInput(Value, assign(1, 1, 1)).m_Code,
            core::ReasonCode::None);
  Value = after(after(Value, assign(0, 1, 1)), end(0, 1, RunOutcome::Done));
  EXPECT_TRUE(Value.isReady(1));
}

TEST(Workflow, RunNumbersIncreaseAndStaleEndsAreIgnored) {
  Workflow Value = after(create({{}}), assign(0, 1, 1));
  Value = after(Value, end(0, 1, RunOutcome::Interrupted));
  EXPECT_NE(validateInput(Value, assign(0, 1, 1)).m_Code,
            core::ReasonCode::None);
  Value = after(Value, assign(0, 2, 1));
  Workflow Unchanged = after(Value, end(0, 1, RunOutcome::Done));
  EXPECT_EQ(Unchanged, Value);
}

TEST(Workflow, FailsAfterMaxAttempts) {
  Workflow Value = create({{}}, 2);
  Value =
      after(after(Value, assign(0, 1, 1)), end(0, 1, RunOutcome::Interrupted));
  Value = after(after(Value, assign(0, 2, 1)), end(0, 2, RunOutcome::Failed));
  EXPECT_EQ(Value.phase(), Phase::Active);
  Value = after(after(Value, assign(0, 3, 1)), end(0, 3, RunOutcome::Failed));
  EXPECT_EQ(Value.phase(), Phase::Failed);
}

TEST(Workflow, AGangIsAssignedAsAWhole) {
  Workflow Value = create({{.m_Tasks = 3, .m_Gang = true}});
  EXPECT_NE(validateInput(Value, assign(0, 1, 2)).m_Code,
            core::ReasonCode::None);
  Value = after(Value, assign(0, 1, 3));
  EXPECT_FALSE(Value.isReady(0));
}

TEST(Workflow, GangCompletesWhenOneMemberIsDone) {
  Workflow Value =
      after(create({{.m_Tasks = 3, .m_Gang = true}}), assign(0, 1, 3));
  Value = after(Value, end(2, 1, RunOutcome::Done));
  EXPECT_EQ(Value.phase(), Phase::Completed);
}

TEST(Workflow, GangThatLostAMemberStopsAndIsReassignedAsAWhole) {
  Workflow Value =
      after(create({{.m_Tasks = 2, .m_Gang = true}}), assign(0, 1, 2));
  EXPECT_TRUE(Value.shouldRun(0, 1));
  Value = after(Value, end(0, 1, RunOutcome::Interrupted));
  EXPECT_FALSE(Value.shouldRun(0, 1));
  EXPECT_FALSE(Value.isReady(0));
  Value = after(Value, end(1, 1, RunOutcome::Interrupted));
  EXPECT_TRUE(Value.isReady(0));
  EXPECT_EQ(Value.nextRun(0, 0), 2U);
}

TEST(Workflow, GangFailureCountsOncePerRun) {
  Workflow Value =
      after(create({{.m_Tasks = 2, .m_Gang = true}}, 2), assign(0, 1, 2));
  Value = after(Value, end(0, 1, RunOutcome::Failed));
  Value = after(Value, end(1, 1, RunOutcome::Failed));
  EXPECT_EQ(Value.phase(), Phase::Active);
  EXPECT_EQ(Value.fields().m_Steps[0].m_GangFailures, 1U);
}

TEST(Workflow, GangMembersShareTheNewestCheckpoint) {
  Workflow Value =
      after(create({{.m_Tasks = 2, .m_Gang = true, .m_Checkpoints = true}}),
            assign(0, 1, 2));
  Value = after(Value, end(0, 1, RunOutcome::Interrupted, "0009"));
  Value = after(Value, end(1, 1, RunOutcome::Interrupted, "0004"));
  EXPECT_EQ(Value.find(0, 0)->m_Checkpoint, "0009");
  EXPECT_EQ(Value.find(0, 1)->m_Checkpoint, "0009");
}

TEST(Workflow, CancelStopsAssignedRunsWithoutEndingThem) {
  Workflow Value = after(after(create({{}}), assign(0, 1, 1)), Cancel{});
  EXPECT_EQ(Value.phase(), Phase::Cancelled);
  EXPECT_FALSE(Value.shouldRun(0, 0));
  EXPECT_EQ(Value.find(0, 0)->m_Phase, TaskPhase::Assigned);
  Value = after(Value, end(0, 1, RunOutcome::Done));
  EXPECT_EQ(Value.phase(), Phase::Cancelled);
}

TEST(Workflow, LongRunningTasksNeverFinishTheWorkflow) {
  Workflow Value = create({{.m_LongRunning = true}}, 1);
  Value = after(after(Value, assign(0, 1, 1)), end(0, 1, RunOutcome::Failed));
  Value = after(after(Value, assign(0, 2, 1)), end(0, 2, RunOutcome::Done));
  EXPECT_EQ(Value.phase(), Phase::Active);
  EXPECT_TRUE(Value.isReady(0));
}

TEST(Workflow, CriticalPathAddsUpSteps) {
  using std::chrono::milliseconds;
  WorkflowSpec Value =
      spec({{.m_RunTime = milliseconds(5)},
            {.m_RunTime = milliseconds(7), .m_Dependencies = {0}},
            {.m_RunTime = milliseconds(9)}});
  EXPECT_EQ(criticalPathTime(Value), milliseconds(12));
}
