#include "placement/pass.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::placement;

namespace {

const core::Time Now = core::timeFromMs(1000000);

// Racks of targets with eight accelerators, and jobs on them.
struct TestFleet {
  Fleet m_Fleet;
  configuration::Configuration m_Configuration;
  GuaranteeReservations m_Reservations;
  Estimates m_Estimates;

  [[nodiscard]] View view() const {
    return {.m_Fleet = &m_Fleet,
            .m_Configuration = &m_Configuration,
            .m_Reservations = &m_Reservations,
            .m_Estimates = &m_Estimates};
  }
  void updateReservations() {
    m_Reservations =
        reserveGuarantees(m_Fleet, m_Configuration, m_Reservations, Now);
  }
};

TestFleet makeTestFleet(int Racks, int PerRack,
                        std::vector<workspace::WorkspaceSpec> Workspaces,
                        configuration::Limits Limits = {}) {
  TestFleet Out;
  for (int Rack = 0; Rack < Racks; ++Rack)
    for (int I = 0; I < PerRack; ++I)
      Out.m_Fleet =
          std::move(Out.m_Fleet)
              .withTarget(*target::Target::create(
                  {.m_Id = core::TargetId("k" + std::to_string(Rack) + "t" +
                                          std::to_string(I)),
                   .m_Host = "127.0.0.1",
                   .m_Port = 1,
                   .m_Region = "r",
                   .m_FailureDomain = "d",
                   .m_Rack = "k" + std::to_string(Rack),
                   .m_Labels = core::Labels(std::map<std::string, std::string>{
                       {"rack", std::to_string(Rack)}}),
                   .m_Capacity = {8, 64, 1024}}));
  Out.m_Configuration =
      *configuration::applyProposal({}, {.m_Operation = core::OperationId("o"),
                                         .m_Workspaces = std::move(Workspaces),
                                         .m_Limits = Limits});
  return Out;
}

workspace::WorkspaceSpec team(const char *Name, std::int64_t Quota,
                              std::int64_t Borrow = 0) {
  return {
      .m_Id = core::WorkspaceId(Name), .m_Quota = Quota, .m_MayBorrow = Borrow};
}

workspace::WorkspaceSpec withRackGuarantee(workspace::WorkspaceSpec Spec,
                                           std::uint32_t Tasks) {
  Spec.m_Guarantees.push_back(
      {.m_Name = "rack",
       .m_Shape = {.m_Tasks = Tasks,
                   .m_PerTask = {8, 0, 0},
                   .m_Adjacency = core::Adjacency::Required}});
  return Spec;
}

job::Job makeJob(const char *Workspace, const char *Id, std::uint32_t Tasks,
                 std::int64_t Accelerators, bool Idempotent = true,
                 core::Duration Runs = core::Duration(3600000)) {
  return *job::Job::create(
      {.m_Key = {core::WorkspaceId(Workspace), core::RequestId(Id)},
       .m_Shape = {.m_Tasks = Tasks, .m_PerTask = {Accelerators, 0, 0}},
       .m_RunTime = Runs,
       .m_Idempotent = Idempotent},
      Now - core::Duration(100000));
}

void run(TestFleet &Test, const job::Job &Value,
         const std::vector<core::TargetId> &Targets,
         core::Duration Runs = core::Duration(3600000)) {
  job::Job Placed =
      *job::applyInput(Value, job::Place{.m_Targets = Targets}, Now);
  Placed = *job::applyInput(Placed, job::Start{}, Now);
  Test.m_Fleet = std::move(Test.m_Fleet).withAllocated(Placed, Now + Runs);
}

core::TargetId id(const char *Text) { return core::TargetId(Text); }

} // namespace

TEST(Place, FillsThePartlyUsedTargetFirst) {
  TestFleet Test = makeTestFleet(1, 2, {team("w", 64)});
  run(Test, makeJob("w", "a", 1, 4), {id("k0t1")});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("w", "b", 1, 2), Now);
  ASSERT_EQ(Result.m_Verdict, Verdict::Placed);
  EXPECT_EQ(Result.m_Targets[0], id("k0t1"));
}

TEST(Place, KeepsAGangOnOneRack) {
  TestFleet Test = makeTestFleet(2, 2, {team("w", 64)});
  run(Test, makeJob("w", "a", 1, 8), {id("k0t0")});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("w", "g", 2, 8), Now);
  ASSERT_EQ(Result.m_Verdict, Verdict::Placed);
  EXPECT_EQ(Result.m_Targets, (std::vector{id("k1t0"), id("k1t1")}));
}

TEST(Place, WaitsWhenQuotaAndBorrowingAreExhausted) {
  TestFleet Test = makeTestFleet(1, 2, {team("w", 4, 2)});
  run(Test, makeJob("w", "a", 1, 6), {id("k0t0")});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("w", "b", 1, 1), Now);
  EXPECT_EQ(Result.m_Verdict, Verdict::Waiting);
  EXPECT_EQ(Result.m_Rule, "over quota");
}

TEST(Place, NonIdempotentJobNeitherBorrowsNorUsesReservedTargets) {
  TestFleet Test = makeTestFleet(
      1, 2, {withRackGuarantee(team("owner", 16), 2), team("w", 8, 8)});
  Test.updateReservations();
  ASSERT_TRUE(Test.m_Reservations.m_Unsatisfied.empty());
  Decision Once =
      placeWithReservations(Test.view(), makeJob("w", "a", 1, 1, false), Now);
  EXPECT_EQ(Once.m_Verdict, Verdict::Waiting);
  EXPECT_EQ(Once.m_RuledOut.count("guaranteed to others"), 1U);
  // Jobs that can be stopped, or end in time, may use the reserved capacity.
  EXPECT_EQ(placeWithReservations(Test.view(), makeJob("w", "b", 1, 1), Now)
                .m_Verdict,
            Verdict::Placed);
  EXPECT_EQ(placeWithReservations(
                Test.view(),
                makeJob("w", "c", 1, 1, false, core::Duration(2000)), Now)
                .m_Verdict,
            Verdict::Placed);
}

TEST(Place, LeavesTheShortReserveToShortWork) {
  TestFleet Test = makeTestFleet(1, 1, {team("w", 64)}, {.m_ShortReserve = 2});
  run(Test, makeJob("w", "a", 1, 5), {id("k0t0")});
  EXPECT_EQ(placeWithReservations(Test.view(), makeJob("w", "long", 1, 2), Now)
                .m_Verdict,
            Verdict::Waiting);
  EXPECT_EQ(placeWithReservations(
                Test.view(),
                makeJob("w", "short", 1, 2, true, core::Duration(500)), Now)
                .m_Verdict,
            Verdict::Placed);
}

TEST(Place, ClaimsAGuaranteeByStoppingTheLeastWork) {
  TestFleet Test = makeTestFleet(
      2, 2, {withRackGuarantee(team("owner", 16), 2), team("w", 0, 64)});
  Test.updateReservations();
  for (const char *Each : {"k0t0", "k0t1", "k1t0", "k1t1"})
    run(Test, makeJob("w", Each, 1, 8), {id(Each)});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("owner", "claim", 2, 8), Now);
  ASSERT_EQ(Result.m_Verdict, Verdict::Reclaiming);
  EXPECT_EQ(Result.m_Victims.size(), 2U);
}

// Jobs on a target that could not be freed as a whole stayed chosen and were
// stopped for nothing.
TEST(Place, StopsNoJobsOnATargetThatItDoesNotUse) {
  TestFleet Test = makeTestFleet(
      1, 3, {withRackGuarantee(team("owner", 24), 3), team("w", 0, 64)});
  Test.updateReservations();
  // Two accelerators of the first target can't be taken back, because their job
  // must not be stopped.
  run(Test, makeJob("owner", "own", 1, 2, false), {id("k0t0")});
  run(Test, makeJob("w", "x", 1, 6), {id("k0t0")});
  run(Test, makeJob("w", "y", 1, 8), {id("k0t1")});
  run(Test, makeJob("w", "z", 1, 8), {id("k0t2")});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("owner", "claim", 2, 8), Now);
  ASSERT_EQ(Result.m_Verdict, Verdict::Reclaiming);
  EXPECT_EQ(Result.m_Targets,
            (std::vector<core::TargetId>{id("k0t1"), id("k0t2")}));
  EXPECT_EQ(Result.m_Victims.size(), 2U);
}

TEST(Place, ReclaimsBorrowedCapacityButNoMore) {
  TestFleet Test = makeTestFleet(1, 2, {team("a", 8), team("b", 8, 8)});
  run(Test, makeJob("b", "x", 1, 8), {id("k0t0")});
  run(Test, makeJob("b", "y", 1, 8), {id("k0t1")});
  Decision Result =
      placeWithReservations(Test.view(), makeJob("a", "mine", 1, 8), Now);
  EXPECT_EQ(Result.m_Verdict, Verdict::Reclaiming);
  EXPECT_EQ(Result.m_Victims.size(), 1U);
  // A workspace beyond its own quota reclaims nothing.
  Decision OverQuota =
      placeWithReservations(Test.view(), makeJob("a", "more", 2, 8), Now);
  EXPECT_EQ(OverQuota.m_Verdict, Verdict::Waiting);
}

TEST(GuaranteeReservation, IsReplacedWhenItsTargetIsRemoved) {
  TestFleet Test =
      makeTestFleet(2, 2, {withRackGuarantee(team("owner", 16), 2)});
  Test.updateReservations();
  core::TargetId Used =
      Test.m_Reservations.m_ByGuarantee.begin()->second.m_Tasks.begin()->first;
  Test.m_Fleet = std::move(Test.m_Fleet).withoutTarget(Used);
  Test.updateReservations();
  ASSERT_EQ(Test.m_Reservations.m_ByGuarantee.size(), 1U);
  EXPECT_FALSE(
      Test.m_Reservations.m_ByGuarantee.begin()->second.m_Tasks.contains(Used));
}

TEST(GuaranteeReservation, ReportsGuaranteesThatCannotBeReserved) {
  TestFleet Test = makeTestFleet(1, 2,
                                 {withRackGuarantee(team("a", 16), 2),
                                  withRackGuarantee(team("b", 16), 2)});
  Test.updateReservations();
  EXPECT_EQ(Test.m_Reservations.m_ByGuarantee.size(), 1U);
  EXPECT_EQ(Test.m_Reservations.m_Unsatisfied.size(), 1U);
}

TEST(Pass, ALargeJobIsNotStarvedByShorterOnes) {
  TestFleet Test = makeTestFleet(1, 2, {team("w", 64)});
  run(Test, makeJob("w", "r0", 1, 8), {id("k0t0")}, core::Duration(10000));
  job::Job Large = makeJob("w", "large", 2, 8);
  job::Job Long = makeJob("w", "long", 1, 8, true, core::Duration(50000));
  job::Job Fits = makeJob("w", "fits", 1, 8, true, core::Duration(5000));
  PassResult Result = runPass(Test.view(), {&Large, &Long, &Fits}, {}, Now);
  std::map<core::JobKey, Verdict> Verdicts;
  for (const Decision &Each : Result.m_Decisions)
    Verdicts[Each.m_Job] = Each.m_Verdict;
  EXPECT_EQ(Verdicts[Large.key()], Verdict::Waiting);
  EXPECT_EQ(Verdicts[Long.key()], Verdict::Waiting);
  EXPECT_EQ(Verdicts[Fits.key()], Verdict::Placed);
}

TEST(Pass, RefusesJobsThatCanNeverRun) {
  TestFleet Test = makeTestFleet(1, 2, {team("w", 64)});
  job::Job Never = makeJob("w", "never", 3, 8);
  PassResult Result = runPass(Test.view(), {&Never}, {}, Now);
  ASSERT_EQ(Result.m_Refused.size(), 1U);
  EXPECT_EQ(Result.m_Refused.begin()->second.m_Code,
            core::ReasonCode::Unplaceable);
}

TEST(Pass, NeverOverCommitsWithinOnePass) {
  TestFleet Test = makeTestFleet(1, 1, {team("w", 64)});
  std::vector<job::Job> Jobs;
  Jobs.reserve(12);
  for (int I = 0; I < 12; ++I)
    Jobs.push_back(makeJob("w", std::to_string(I).c_str(), 1, 1));
  std::vector<const job::Job *> Queued;
  Queued.reserve(Jobs.size());
  for (const job::Job &Each : Jobs)
    Queued.push_back(&Each);
  PassResult Result = runPass(Test.view(), Queued, {}, Now);
  int Placed = 0;
  for (const Decision &Each : Result.m_Decisions)
    Placed += Each.m_Verdict == Verdict::Placed ? 1 : 0;
  EXPECT_EQ(Placed, 8);
}

TEST(Order, SortsByClaimThenUrgencyThenUsage) {
  TestFleet Test = makeTestFleet(1, 4,
                                 {withRackGuarantee(team("owner", 16), 2),
                                  team("busy", 64), team("idle", 64)});
  run(Test, makeJob("busy", "r", 1, 8), {id("k0t0")});
  job::Job Busy = makeJob("busy", "b", 1, 1);
  job::Job Idle = makeJob("idle", "i", 1, 1);
  job::Job Claim = makeJob("owner", "c", 1, 8);
  job::JobSpec Spec = makeJob("busy", "u", 1, 1).spec();
  Spec.m_Labels = core::Labels(std::map<std::string, std::string>{
      {job::UrgencyLabel, job::UrgentValue}});
  job::Job Urgent = *job::Job::create(Spec, Now);
  auto Order =
      orderByPriority(Test.view(), {&Busy, &Idle, &Urgent, &Claim}, Now);
  EXPECT_EQ(Order,
            (std::vector<const job::Job *>{&Claim, &Urgent, &Idle, &Busy}));
}

TEST(Estimates, DeclaredRunTimeLosesWeightAsRunsAreObserved) {
  job::JobSpec Spec = makeJob("w", "a", 1, 1).spec();
  Spec.m_RunTime = core::Duration(100);
  Estimates Learned;
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(100));
  for (std::size_t I = 0; I < MaxRunsPerClass; ++I)
    Learned = std::move(Learned).withObservation(Spec, core::Duration(1000));
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(1000));
  Spec.m_RunTime = core::Duration(100000);
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(1000));
}
