#include "placement/pass.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::placement;

namespace {

const core::Time Now = core::timeFromMs(1000000);

// Racks of targets with eight accelerators, and jobs on them.
struct Scene {
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
  void assignWitnesses() {
    m_Reservations =
        reserveGuarantees(m_Fleet, m_Configuration, m_Reservations, Now);
  }
};

Scene scene(int Racks, int PerRack,
            std::vector<workspace::WorkspaceSpec> Workspaces,
            configuration::Limits Limits = {}) {
  Scene Out;
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

workspace::WorkspaceSpec withRack(workspace::WorkspaceSpec Spec,
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

void run(Scene &On, const job::Job &Value,
         const std::vector<core::TargetId> &Targets,
         core::Duration Runs = core::Duration(3600000)) {
  job::Job Placed =
      *job::applyInput(Value, job::Place{.m_Targets = Targets}, Now);
  Placed = *job::applyInput(Placed, job::Start{}, Now);
  On.m_Fleet = std::move(On.m_Fleet).withAllocated(Placed, Now + Runs);
}

core::TargetId id(const char *Text) { return core::TargetId(Text); }

} // namespace

TEST(Place, FillsThePartlyUsedTargetFirst) {
  Scene On = scene(1, 2, {team("w", 64)});
  run(On, makeJob("w", "a", 1, 4), {id("k0t1")});
  Decision Said =
      placeWithReservations(On.view(), makeJob("w", "b", 1, 2), Now);
  ASSERT_EQ(Said.m_Verdict, Verdict::Placed);
  EXPECT_EQ(Said.m_Targets[0], id("k0t1"));
}

TEST(Place, KeepsAGangOnOneRack) {
  Scene On = scene(2, 2, {team("w", 64)});
  run(On, makeJob("w", "a", 1, 8), {id("k0t0")});
  Decision Said =
      placeWithReservations(On.view(), makeJob("w", "g", 2, 8), Now);
  ASSERT_EQ(Said.m_Verdict, Verdict::Placed);
  EXPECT_EQ(Said.m_Targets, (std::vector{id("k1t0"), id("k1t1")}));
}

TEST(Place, WaitsBeyondQuotaAndBorrowing) {
  Scene On = scene(1, 2, {team("w", 4, 2)});
  run(On, makeJob("w", "a", 1, 6), {id("k0t0")});
  Decision Said =
      placeWithReservations(On.view(), makeJob("w", "b", 1, 1), Now);
  EXPECT_EQ(Said.m_Verdict, Verdict::Waiting);
  EXPECT_EQ(Said.m_Rule, "over quota");
}

TEST(Place, WorkThatMustRunOnceNeitherBorrowsNorSitsOnAWitness) {
  Scene On = scene(1, 2, {withRack(team("owner", 16), 2), team("w", 8, 8)});
  On.assignWitnesses();
  ASSERT_TRUE(On.m_Reservations.m_Unsatisfied.empty());
  Decision Once =
      placeWithReservations(On.view(), makeJob("w", "a", 1, 1, false), Now);
  EXPECT_EQ(Once.m_Verdict, Verdict::Waiting);
  EXPECT_EQ(Once.m_RuledOut.count("guaranteed to others"), 1U);
  // What can be stopped, or ends in time, may use it meanwhile.
  EXPECT_EQ(
      placeWithReservations(On.view(), makeJob("w", "b", 1, 1), Now).m_Verdict,
      Verdict::Placed);
  EXPECT_EQ(
      placeWithReservations(
          On.view(), makeJob("w", "c", 1, 1, false, core::Duration(2000)), Now)
          .m_Verdict,
      Verdict::Placed);
}

TEST(Place, LeavesTheShortReserveToShortWork) {
  Scene On = scene(1, 1, {team("w", 64)}, {.m_ShortReserve = 2});
  run(On, makeJob("w", "a", 1, 5), {id("k0t0")});
  EXPECT_EQ(placeWithReservations(On.view(), makeJob("w", "long", 1, 2), Now)
                .m_Verdict,
            Verdict::Waiting);
  EXPECT_EQ(placeWithReservations(
                On.view(),
                makeJob("w", "short", 1, 2, true, core::Duration(500)), Now)
                .m_Verdict,
            Verdict::Placed);
}

TEST(Place, ClaimsAGuaranteeByStoppingTheLeastWork) {
  Scene On = scene(2, 2, {withRack(team("owner", 16), 2), team("w", 0, 64)});
  On.assignWitnesses();
  for (const char *Each : {"k0t0", "k0t1", "k1t0", "k1t1"})
    run(On, makeJob("w", Each, 1, 8), {id(Each)});
  Decision Said =
      placeWithReservations(On.view(), makeJob("owner", "claim", 2, 8), Now);
  ASSERT_EQ(Said.m_Verdict, Verdict::Reclaiming);
  EXPECT_EQ(Said.m_Victims.size(), 2U);
}

TEST(Place, TakesBackBorrowedRoomButNotMoreThanWasBorrowed) {
  Scene On = scene(1, 2, {team("a", 8), team("b", 8, 8)});
  run(On, makeJob("b", "x", 1, 8), {id("k0t0")});
  run(On, makeJob("b", "y", 1, 8), {id("k0t1")});
  Decision Said =
      placeWithReservations(On.view(), makeJob("a", "mine", 1, 8), Now);
  EXPECT_EQ(Said.m_Verdict, Verdict::Reclaiming);
  EXPECT_EQ(Said.m_Victims.size(), 1U);
  // Someone over its own quota takes nothing back.
  Decision Greedy =
      placeWithReservations(On.view(), makeJob("a", "more", 2, 8), Now);
  EXPECT_EQ(Greedy.m_Verdict, Verdict::Waiting);
}

TEST(Witness, IsRefoundWhenItsTargetGoes) {
  Scene On = scene(2, 2, {withRack(team("owner", 16), 2)});
  On.assignWitnesses();
  core::TargetId Used =
      On.m_Reservations.m_ByGuarantee.begin()->second.m_Tasks.begin()->first;
  On.m_Fleet = std::move(On.m_Fleet).withoutTarget(Used);
  On.assignWitnesses();
  ASSERT_EQ(On.m_Reservations.m_ByGuarantee.size(), 1U);
  EXPECT_FALSE(
      On.m_Reservations.m_ByGuarantee.begin()->second.m_Tasks.contains(Used));
}

TEST(Witness, SaysWhichShapesClash) {
  Scene On =
      scene(1, 2, {withRack(team("a", 16), 2), withRack(team("b", 16), 2)});
  On.assignWitnesses();
  EXPECT_EQ(On.m_Reservations.m_ByGuarantee.size(), 1U);
  EXPECT_EQ(On.m_Reservations.m_Unsatisfied.size(), 1U);
}

TEST(Pass, ALargeJobIsNotStarvedByShorterOnes) {
  Scene On = scene(1, 2, {team("w", 64)});
  run(On, makeJob("w", "r0", 1, 8), {id("k0t0")}, core::Duration(10000));
  job::Job Large = makeJob("w", "large", 2, 8);
  job::Job Long = makeJob("w", "long", 1, 8, true, core::Duration(50000));
  job::Job Fits = makeJob("w", "fits", 1, 8, true, core::Duration(5000));
  PassResult Result = runPass(On.view(), {&Large, &Long, &Fits}, {}, Now);
  std::map<core::JobKey, Verdict> Verdicts;
  for (const Decision &Each : Result.m_Decisions)
    Verdicts[Each.m_Job] = Each.m_Verdict;
  EXPECT_EQ(Verdicts[Large.key()], Verdict::Waiting);
  EXPECT_EQ(Verdicts[Long.key()], Verdict::Waiting);
  EXPECT_EQ(Verdicts[Fits.key()], Verdict::Placed);
}

TEST(Pass, RefusesWhatCanNeverRun) {
  Scene On = scene(1, 2, {team("w", 64)});
  job::Job Never = makeJob("w", "never", 3, 8);
  PassResult Result = runPass(On.view(), {&Never}, {}, Now);
  ASSERT_EQ(Result.m_Refused.size(), 1U);
  EXPECT_EQ(Result.m_Refused.begin()->second.m_Code,
            core::ReasonCode::Unplaceable);
}

TEST(Pass, NeverOverCommitsWithinOnePass) {
  Scene On = scene(1, 1, {team("w", 64)});
  std::vector<job::Job> Jobs;
  Jobs.reserve(12);
  for (int I = 0; I < 12; ++I)
    Jobs.push_back(makeJob("w", std::to_string(I).c_str(), 1, 1));
  std::vector<const job::Job *> Queued;
  Queued.reserve(Jobs.size());
  for (const job::Job &Each : Jobs)
    Queued.push_back(&Each);
  PassResult Result = runPass(On.view(), Queued, {}, Now);
  int Placed = 0;
  for (const Decision &Each : Result.m_Decisions)
    Placed += Each.m_Verdict == Verdict::Placed ? 1 : 0;
  EXPECT_EQ(Placed, 8);
}

TEST(Order, ClaimsThenUrgentThenShareOfUse) {
  Scene On = scene(
      1, 4,
      {withRack(team("owner", 16), 2), team("busy", 64), team("idle", 64)});
  run(On, makeJob("busy", "r", 1, 8), {id("k0t0")});
  job::Job Busy = makeJob("busy", "b", 1, 1);
  job::Job Idle = makeJob("idle", "i", 1, 1);
  job::Job Claim = makeJob("owner", "c", 1, 8);
  job::JobSpec Spec = makeJob("busy", "u", 1, 1).spec();
  Spec.m_Labels = core::Labels(std::map<std::string, std::string>{
      {job::UrgencyLabel, job::UrgentValue}});
  job::Job Urgent = *job::Job::create(Spec, Now);
  auto Order = orderByService(On.view(), {&Busy, &Idle, &Urgent, &Claim}, Now);
  EXPECT_EQ(Order,
            (std::vector<const job::Job *>{&Claim, &Urgent, &Idle, &Busy}));
}

TEST(Estimates, TheDeclarationFadesAsRunsAreSeen) {
  job::JobSpec Spec = makeJob("w", "a", 1, 1).spec();
  Spec.m_RunTime = core::Duration(100);
  Estimates Learned;
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(100));
  for (std::size_t I = 0; I < RememberedRuns; ++I)
    Learned = std::move(Learned).withObservation(Spec, core::Duration(1000));
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(1000));
  Spec.m_RunTime = core::Duration(100000);
  EXPECT_EQ(Learned.runTime(Spec), core::Duration(1000));
}
