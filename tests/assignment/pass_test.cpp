#include "assignment/pass.h"

#include <gtest/gtest.h>
#include <list>

using namespace fireflydrift;
using namespace fireflydrift::assignment;
using workflow::StepSpec;
using workflow::Workflow;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

namespace {

// Targets in racks of two, and workflows of one step.
class Pass : public testing::Test {
protected:
  void addTarget(const char *Id, const char *Rack, core::Capacity Free) {
    m_Targets.push_back({.m_Instance = {core::TargetId(Id), 1},
                         .m_Pool = "pool",
                         .m_Rack = Rack,
                         .m_Total = {8, 64000, 256000},
                         .m_Free = Free});
  }
  void addEmptyRacks(int Racks) {
    for (int I = 0; I < Racks; ++I)
      for (const char *Part : {"a", "b"}) {
        m_Names.push_back(Part + std::to_string(I));
        addTarget(m_Names.back().c_str(), ("r" + std::to_string(I)).c_str(),
                  {8, 64000, 256000});
      }
  }
  const Workflow &add(const char *Id, StepSpec Step, std::uint32_t Priority,
                      core::Duration::rep AcceptedMs = 0) {
    auto Created =
        Workflow::create({.m_Id = core::RequestId(Id),
                          .m_Policy = {.m_Pool = "pool",
                                       .m_Priority = Priority,
                                       .m_SlackPercent = 200,
                                       .m_TargetLatency = core::Duration(1000)},
                          .m_Steps = {std::move(Step)}},
                         at(AcceptedMs));
    EXPECT_TRUE(Created);
    m_Workflows.push_back(*std::move(Created));
    return m_Workflows.back();
  }
  // Adds a running task of the workflow to a target.
  void addRunningTask(std::size_t Target, const Workflow &Owner,
                      std::uint32_t Index, core::Duration Unsaved) {
    const StepSpec &Step = Owner.spec().m_Steps[0];
    m_Targets[Target].m_Free = m_Targets[Target].m_Free - Step.m_PerTask;
    m_Targets[Target].m_Allocations.push_back(
        {.m_Task = {.m_Workflow = Owner.id(), .m_Index = Index},
         .m_Run = 1,
         .m_Capacity = Step.m_PerTask,
         .m_Priority = Owner.spec().m_Policy.m_Priority,
         .m_ExpectedEnd = at(5000),
         .m_UnsavedRunTime = Unsaved,
         .m_Gang = Step.m_Gang});
  }
  [[nodiscard]] static PendingStep pendingStep(const Workflow &Owner) {
    const StepSpec &Step = Owner.spec().m_Steps[0];
    PendingStep Value{.m_Workflow = &Owner,
                      .m_RunTime = Step.m_RunTime,
                      .m_Remaining = Step.m_RunTime};
    for (std::uint32_t I = 0; I < Step.m_Tasks; ++I)
      Value.m_Waiting.push_back(I);
    return Value;
  }
  PassResult run(std::vector<PendingStep> Steps, PassOptions Options = {}) {
    return runPass(m_Targets, std::move(Steps), Options, at(0));
  }
  static std::set<std::string> targets(const Assignment &Value) {
    std::set<std::string> Found;
    for (const auto &Each : Value.m_Assign.m_Placements)
      Found.insert(Each.m_Instance.m_Target.text());
    return Found;
  }

  std::vector<TargetInfo> m_Targets;
  std::list<Workflow> m_Workflows;
  std::list<std::string> m_Names;
};

} // namespace

static StepSpec gang(std::uint32_t Tasks, std::int64_t Accelerators) {
  return {.m_Tasks = Tasks,
          .m_PerTask = {Accelerators, 1000, 1000},
          .m_RunTime = core::Duration(2000),
          .m_Gang = true,
          .m_RackAffinity = true};
}

TEST_F(Pass, GangIsPlacedOnOneRack) {
  addTarget("a0", "r0", {8, 64000, 256000});
  addTarget("a1", "r1", {4, 64000, 256000});
  addTarget("b1", "r1", {8, 64000, 256000});
  PassResult Out = run({pendingStep(add("w", gang(3, 4), 1))});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(targets(Out.m_Assignments[0]), (std::set<std::string>{"a1", "b1"}));
}

TEST_F(Pass, GangWaitsWhenItFitsOnlyOnSeveralRacks) {
  addTarget("a0", "r0", {4, 64000, 256000});
  addTarget("a1", "r1", {4, 64000, 256000});
  PassResult Out = run({pendingStep(add("w", gang(2, 4), 1))});
  EXPECT_TRUE(Out.m_Assignments.empty());
  EXPECT_EQ(Out.m_Waiting, 1U);
}

// Small tasks on every rack must not starve a gang while most targets are idle.
TEST_F(Pass, GangUsesSeveralRacksAfterWaitingInIdlePool) {
  for (const char *Rack : {"r0", "r1", "r2"}) {
    m_Names.push_back(std::string("busy-") + Rack);
    addTarget(m_Names.back().c_str(), Rack, {7, 64000, 256000});
    m_Names.push_back(std::string("idle-") + Rack);
    addTarget(m_Names.back().c_str(), Rack, {8, 64000, 256000});
  }
  PendingStep Gang = pendingStep(add("w", gang(2, 8), 1));
  EXPECT_TRUE(run({Gang}).m_Assignments.empty());
  Gang.m_Waited = PassOptions().m_MultipleRacksAfter;
  EXPECT_EQ(run({Gang}).m_Assignments.size(), 1U);
  // While no more than half of the pool is free, the gang waits for one rack.
  for (std::size_t I = 0; I < m_Targets.size(); I += 2)
    m_Targets[I].m_Free = {};
  EXPECT_TRUE(run({Gang}).m_Assignments.empty());
}

TEST_F(Pass, GangLargerThanEveryRackUsesSeveral) {
  addEmptyRacks(2);
  PassResult Out = run({pendingStep(add("w", gang(4, 8), 1))});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(targets(Out.m_Assignments[0]).size(), 4U);
}

TEST_F(Pass, SingleTasksArePlacedUpToFreeCapacity) {
  addTarget("a0", "r0", {3, 64000, 256000});
  StepSpec Step{.m_Tasks = 5, .m_PerTask = {1, 1000, 1000}};
  PassResult Out = run({pendingStep(add("w", Step, 1))});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(Out.m_Assignments[0].m_Assign.m_Placements.size(), 3U);
}

TEST_F(Pass, MemoryLimitsPlacement) {
  addEmptyRacks(1);
  StepSpec Step{.m_Tasks = 4, .m_PerTask = {1, 1000, 140000}};
  PassResult Out = run({pendingStep(add("w", Step, 1))});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(Out.m_Assignments[0].m_Assign.m_Placements.size(), 2U);
}

TEST_F(Pass, MaxPerTargetCountsRunningTasks) {
  addEmptyRacks(1);
  StepSpec Step{
      .m_Tasks = 4, .m_PerTask = {1, 1000, 1000}, .m_MaxPerTarget = 2};
  const Workflow &Owner = add("w", Step, 1);
  addRunningTask(0, Owner, 3, core::Duration(0));
  PendingStep Rest = pendingStep(Owner);
  Rest.m_Waiting = {0, 1, 2};
  PassResult Out = run({Rest});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  std::map<std::string, int> Count;
  for (const auto &Each : Out.m_Assignments[0].m_Assign.m_Placements)
    ++Count[Each.m_Instance.m_Target.text()];
  EXPECT_EQ(Count["a0"], 1);
  EXPECT_EQ(Count["b0"], 2);
}

TEST_F(Pass, UrgentWorkPreemptsCheapestSufficientGang) {
  addEmptyRacks(2);
  const Workflow &Young = add("young", gang(2, 8), 2);
  const Workflow &Old = add("old", gang(2, 8), 2);
  for (std::uint32_t I = 0; I < 2; ++I) {
    addRunningTask(I, Old, I, core::Duration(9000));
    addRunningTask(2 + I, Young, I, core::Duration(100));
  }
  PassResult Out = run({pendingStep(add("urgent", gang(1, 4), 0))});
  EXPECT_TRUE(Out.m_Assignments.empty());
  // The whole gang is preempted, although one target would suffice.
  ASSERT_EQ(Out.m_Preemptions.size(), 2U);
  for (const Preemption &Each : Out.m_Preemptions)
    EXPECT_EQ(Each.m_Task.m_Workflow, Young.id());
}

TEST_F(Pass, UrgentWorkWaitsForCapacityBeingReleased) {
  addEmptyRacks(1);
  const Workflow &Other = add("other", gang(1, 8), 2);
  addRunningTask(0, Other, 0, core::Duration(100));
  m_Targets[1].m_Free = {};
  m_Targets[1].m_Releasing = {8, 64000, 256000};
  PassResult Out = run({pendingStep(add("urgent", gang(1, 8), 0))});
  EXPECT_TRUE(Out.m_Preemptions.empty());
}

TEST_F(Pass, UnreservedUrgentWorkNeverPreemptsUrgentWork) {
  addEmptyRacks(1);
  const Workflow &Other = add("other", gang(2, 8), 0);
  addRunningTask(0, Other, 0, core::Duration(100));
  addRunningTask(1, Other, 1, core::Duration(100));
  EXPECT_TRUE(
      run({pendingStep(add("urgent", gang(1, 8), 0))}).m_Preemptions.empty());
}

TEST_F(Pass, ReservedWorkPreemptsUnreservedUrgentWorkAfterWaiting) {
  addEmptyRacks(1);
  const Workflow &Other = add("other", gang(2, 8), 0);
  addRunningTask(0, Other, 0, core::Duration(100));
  addRunningTask(1, Other, 1, core::Duration(100));
  PendingStep Entitled = pendingStep(add("owner", gang(2, 8), 0));
  Entitled.m_Reserved = true;
  EXPECT_TRUE(run({Entitled}).m_Preemptions.empty());
  Entitled.m_Waited = MinWaitToPreemptUrgent;
  EXPECT_EQ(run({Entitled}).m_Preemptions.size(), 2U);
  for (TargetInfo &Each : m_Targets)
    for (TaskAllocation &Allocation : Each.m_Allocations)
      Allocation.m_Reserved = true;
  EXPECT_TRUE(run({Entitled}).m_Preemptions.empty());
}

// A burst of small urgent steps must not starve a large urgent gang.
TEST_F(Pass, UrgentGangWithoutVictimsGetsBackfillReservation) {
  addEmptyRacks(1);
  const Workflow &Other = add("other", gang(1, 8), 0);
  addRunningTask(0, Other, 0, core::Duration(100));
  PendingStep Large = pendingStep(add("large", gang(2, 8), 0));
  Large.m_Reserved = true;
  StepSpec Long = gang(1, 1);
  Long.m_RunTime = core::Duration(60000);
  PendingStep Small = pendingStep(add("small", Long, 0));
  EXPECT_TRUE(run({Small, Large}).m_Assignments.empty());
}

// Capacity being released for one step must not go to another in the meantime.
TEST_F(Pass, ReleasingAndFreeCapacityAreReservedTogether) {
  addTarget("a0", "r0", {2, 64000, 256000});
  m_Targets[0].m_Releasing = {6, 0, 0};
  PendingStep Urgent = pendingStep(add("urgent", gang(1, 8), 0));
  PendingStep Small = pendingStep(add("small", gang(1, 1), 2));
  EXPECT_TRUE(run({Urgent, Small}).m_Assignments.empty());
}

TEST_F(Pass, BackfillReservationExcludesGangsThatEndTooLate) {
  addEmptyRacks(1);
  const Workflow &Running = add("running", gang(1, 8), 1);
  addRunningTask(0, Running, 0, core::Duration(0));
  const Workflow &Large = add("large", gang(2, 8), 1);
  StepSpec Long = gang(1, 1);
  Long.m_RunTime = core::Duration(60000);
  const Workflow &Small = add("small", Long, 2, 1);
  EXPECT_TRUE(
      run({pendingStep(Large), pendingStep(Small)}).m_Assignments.empty());
  StepSpec Short = gang(1, 1);
  Short.m_RunTime = core::Duration(1000);
  const Workflow &Quick = add("quick", Short, 2, 1);
  EXPECT_EQ(run({pendingStep(Large), pendingStep(Quick)}).m_Assignments.size(),
            1U);
}

TEST_F(Pass, OnTimeWorkflowsGoBeforeLateOnes) {
  addTarget("a0", "r0", {8, 64000, 256000});
  const Workflow &Late = add("late", gang(1, 8), 1, -10000);
  const Workflow &InTime = add("in-time", gang(1, 8), 1, 0);
  PassResult Out = run({pendingStep(Late), pendingStep(InTime)});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(Out.m_Assignments[0].m_Workflow, InTime.id());
  Out = run({pendingStep(Late), pendingStep(InTime)},
            {.m_Order = orderByArrival});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(Out.m_Assignments[0].m_Workflow, Late.id());
}

TEST_F(Pass, TasksAvoidTargetsOnWhichTheyFailed) {
  addEmptyRacks(1);
  m_Targets[0].m_Free = {1, 64000, 256000};
  PendingStep Again = pendingStep(add("w", {.m_PerTask = {1, 1, 1}}, 1));
  Again.m_FailedTargets = {core::TargetId("a0")};
  PassResult Out = run({Again});
  ASSERT_EQ(Out.m_Assignments.size(), 1U);
  EXPECT_EQ(targets(Out.m_Assignments[0]), (std::set<std::string>{"b0"}));
}
