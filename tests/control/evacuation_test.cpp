// Nothing new may start in an evacuated failure domain, whichever of the
// evacuation, the assignment and the target's reports comes first.
#include "control/leader.h"
#include "control/operation.h"
#include "control/polling.h"
#include "messages/codec.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::control;

namespace {

constexpr core::Capacity Whole{8, 64000, 256000};
const core::RequestId Job("w");

core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

SetEvacuation evacuate(const State &Current, const char *Domain,
                       bool Evacuated = true) {
  return {{.m_FailureDomain = Domain,
           .m_Evacuated = Evacuated,
           .m_ReplacesRevision =
               Current.m_Tables.m_Evacuations.revisionOf(Domain)}};
}

State with(State Before, std::vector<Command> Commands, core::Time Now) {
  return apply(std::move(Before),
               {.m_At = Now, .m_Commands = std::move(Commands)})
      .m_State;
}

workflow::TargetInstance instance(const char *Id) {
  return {.m_Target = core::TargetId(Id), .m_Incarnation = 1};
}

// A leader with a target in each of two failure domains, and one workflow with
// a step of two tasks, which may be a gang.
class Leading {
public:
  explicit Leading(bool Gang) {
    m_State =
        with({},
             {AcceptWorkflow{{.m_Id = Job,
                              .m_Policy = {.m_Pool = "pool"},
                              .m_Steps = {{.m_Tasks = 2,
                                           .m_PerTask = {.m_Accelerators = 1},
                                           .m_Gang = Gang}}}}},
             at(0));
    m_Polling = beginPolling(at(0));
    // The second report confirms each target.
    for (int I = 0; I < 2; ++I)
      for (const char *Id : {"east", "west"})
        report(Id);
  }

  // Returns the commands that the report leads to.
  std::vector<Command> report(const char *Id,
                              std::vector<roster::RunningTask> Running = {},
                              core::Duration Later = core::Duration(1)) {
    m_Now += Later;
    PollingStep Next = handleReport(std::move(m_Polling), m_State,
                                    {.m_Target = core::TargetId(Id),
                                     .m_Incarnation = 1,
                                     .m_Sequence = ++m_Sequence,
                                     .m_Pool = "pool",
                                     .m_Address = std::string(Id) + ":1",
                                     .m_FailureDomain = Id,
                                     .m_Capacity = Whole,
                                     .m_Running = std::move(Running)},
                                    m_Options, m_Now);
    m_Polling = std::move(Next.m_Polling);
    roster::Orders Orders = orders(Id);
    m_Polling =
        recordOrdersSent(std::move(m_Polling), m_State, core::TargetId(Id),
                         Orders, m_Options, m_Now, m_Now);
    return Next.m_Commands;
  }
  roster::Orders orders(const char *Id) const {
    return ordersFor(m_Polling, m_State,
                     *m_Polling.m_Roster.find(core::TargetId(Id)), m_Options, 1)
        .m_Orders;
  }
  void apply(std::vector<Command> Commands) {
    m_State = with(std::move(m_State), std::move(Commands), m_Now);
  }
  void assign(const char *First, const char *Second) {
    apply({AssignTasks{.m_Workflow = Job,
                       .m_Assign = {.m_Run = 1,
                                    .m_Placements = {{0, instance(First)},
                                                     {1, instance(Second)}}}}});
  }
  PollingStep tickAfter(core::Duration Time) {
    m_Now += Time;
    PollingStep Next =
        tick(std::move(m_Polling), m_State, m_Options, true, m_Now);
    m_Polling = Next.m_Polling;
    return Next;
  }
  std::vector<core::TargetId> assignedTargets() {
    std::vector<core::TargetId> Targets;
    for (const Command &Each :
         tickAfter(m_Options.m_MaxPassInterval).m_Commands)
      if (const auto *Assigned = std::get_if<AssignTasks>(&Each))
        for (const auto &Placement : Assigned->m_Assign.m_Placements)
          Targets.push_back(Placement.m_Instance.m_Target);
    return Targets;
  }

  State m_State;
  PollingState m_Polling;
  PollingOptions m_Options;
  core::Time m_Now = at(0);
  std::uint64_t m_Sequence = 0;
};

} // namespace

TEST(ControlEvacuation, PassesPlaceNothingThere) {
  Leading Leader(false);
  Leader.apply({evacuate(Leader.m_State, "east")});
  std::vector<core::TargetId> Targets = Leader.assignedTargets();
  EXPECT_EQ(Targets, std::vector(2, core::TargetId("west")));
}

TEST(ControlEvacuation, AllDomainsEvacuatedMeansThatWorkWaits) {
  Leading Leader(false);
  Leader.apply({evacuate(Leader.m_State, "east")});
  Leader.apply({evacuate(Leader.m_State, "west")});
  EXPECT_TRUE(Leader.assignedTargets().empty());
  Leader.apply({evacuate(Leader.m_State, "west", false)});
  EXPECT_EQ(Leader.assignedTargets().size(), 2U);
}

// A run that was assigned before the evacuation, but is in no report, must not
// be started by this leader or a later one, and is placed elsewhere in the end.
TEST(ControlEvacuation, WithdrawsAnAssignedRunThatHasNotStarted) {
  Leading Leader(false);
  Leader.assign("east", "west");
  EXPECT_EQ(Leader.orders("east").m_Starts.size(), 1U);
  Leader.apply({evacuate(Leader.m_State, "east")});
  EXPECT_TRUE(Leader.orders("east").m_Starts.empty());
  EXPECT_EQ(Leader.orders("west").m_Starts.size(), 1U);
  // A later leader has no volatile state of this one.
  Leading Later(false);
  Later.m_State = Leader.m_State;
  EXPECT_TRUE(Later.orders("east").m_Starts.empty());

  EXPECT_EQ(Leader.tickAfter(Leader.m_Options.m_WithdrawInterval).m_Withdrawn,
            (std::vector<Withdrawal>{{.m_Task = {Job, 0, 0}, .m_Run = 1}}));
  EXPECT_EQ(Leader.orders("east").m_Stops.size(), 1U);
  bool Ended = false;
  for (int I = 0; I < 10 && !Ended; ++I)
    Ended = !Leader.report("east", {}, core::Duration(500)).empty();
  EXPECT_TRUE(Ended);
}

// An assignment that was proposed before the evacuation and is applied after it
// must not start either.
TEST(ControlEvacuation, StartsNoRunThatIsAssignedAfterwards) {
  Leading Leader(false);
  Leader.apply({evacuate(Leader.m_State, "east")});
  Leader.assign("east", "west");
  EXPECT_TRUE(Leader.orders("east").m_Starts.empty());
  EXPECT_EQ(Leader.orders("west").m_Starts.size(), 1U);
}

TEST(ControlEvacuation, RunningWorkRunsOn) {
  Leading Leader(false);
  Leader.assign("east", "west");
  Leader.report("east", {{.m_Task = {Job, 0, 0}, .m_Run = 1}});
  Leader.apply({evacuate(Leader.m_State, "east")});
  EXPECT_TRUE(Leader.tickAfter(Leader.m_Options.m_WithdrawInterval)
                  .m_Withdrawn.empty());
  EXPECT_TRUE(Leader.orders("east").m_Stops.empty());
}

// A gang can't work when one member may not start; the others would wait for it
// and end alone.
TEST(ControlEvacuation, WithdrawsAWholeGangOfWhichOneMemberHasNotStarted) {
  Leading Leader(true);
  Leader.assign("east", "west");
  Leader.report("west", {{.m_Task = {Job, 0, 1}, .m_Run = 1}});
  Leader.apply({evacuate(Leader.m_State, "east")});
  EXPECT_EQ(
      Leader.tickAfter(Leader.m_Options.m_WithdrawInterval).m_Withdrawn.size(),
      2U);
  EXPECT_EQ(Leader.orders("west").m_Stops.size(), 1U);
  // It is reported once.
  EXPECT_TRUE(Leader.tickAfter(Leader.m_Options.m_WithdrawInterval)
                  .m_Withdrawn.empty());
}

// ---- Targets that are called ----------------------------------------------

namespace {

const core::JobKey Called{core::WorkspaceId("w"), core::RequestId("r")};

State withCalledTargets() {
  auto Target = [](const char *Id) {
    return AnnounceTarget{{.m_Id = core::TargetId(Id),
                           .m_Host = "127.0.0.1",
                           .m_Port = 1,
                           .m_Region = "r",
                           .m_FailureDomain = Id,
                           .m_Rack = "k",
                           .m_Capacity = {8, 8, 8}}};
  };
  workspace::WorkspaceSpec Owner{.m_Id = core::WorkspaceId("w"), .m_Quota = 8};
  Owner.m_Guarantees.push_back(
      {.m_Name = "g", .m_Shape = {.m_Tasks = 1, .m_PerTask = {8, 0, 0}}});
  return with(
      {},
      {ChangeConfiguration{
           {.m_Operation = core::OperationId("o"), .m_Workspaces = {Owner}}},
       Target("east"), Target("west"),
       AcceptJob{{.m_Key = Called, .m_Shape = {.m_PerTask = {1, 0, 0}}}}},
      at(0));
}

PlaceJob placeOn(const char *Id) {
  return PlaceJob{{.m_Job = Called, .m_Targets = {core::TargetId(Id)}}};
}

job::Phase phaseOf(const State &Current) {
  return findJob(Current, Called)->phase();
}

} // namespace

TEST(ControlEvacuation, RefusesAPlacementThatWasDecidedBefore) {
  State Current = withCalledTargets();
  Current = with(std::move(Current), {evacuate({}, "east")}, at(1));
  Current = with(std::move(Current), {placeOn("east")}, at(2));
  EXPECT_EQ(phaseOf(Current), job::Phase::Queued);
  Current = with(std::move(Current), {placeOn("west")}, at(3));
  EXPECT_EQ(phaseOf(Current), job::Phase::Reserving);
}

TEST(ControlEvacuation, AReservedJobIsPlacedAgainInsteadOfStarted) {
  State Current = with(withCalledTargets(), {placeOn("east")}, at(1));
  Current = with(std::move(Current),
                 {evacuate({}, "east"), StartJob{Called, 1}}, at(2));
  EXPECT_EQ(phaseOf(Current), job::Phase::Stopping);
  Current = with(std::move(Current), {ConfirmStopped{Called, 1}}, at(3));
  EXPECT_EQ(phaseOf(Current), job::Phase::Queued);
}

// A start call without an answer is repeated; not once the domain is evacuated.
TEST(ControlEvacuation, RepeatsNoStartCall) {
  State Current =
      with(withCalledTargets(), {placeOn("east"), StartJob{Called, 1}}, at(1));
  DispatchStep Next =
      sendDueCalls(updateJob({}, Current, Called, at(1)), Current, {}, at(1));
  ASSERT_EQ(Next.m_Calls.size(), 1U);
  const Call &Sent = Next.m_Calls.front();
  Next = handleReply(std::move(Next.m_Dispatcher), Current,
                     {.m_Verb = Sent.m_Verb,
                      .m_Target = Sent.m_Target,
                      .m_Lease = Sent.m_Lease,
                      .m_Outcome = CallOutcome::NoAnswer},
                     {}, at(2));
  Current = with(std::move(Current), {evacuate({}, "east")}, at(3));
  Next = sendDueCalls(std::move(Next.m_Dispatcher), Current, {}, at(60000));
  EXPECT_TRUE(Next.m_Calls.empty());
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::get<AbortAttempt>(Next.m_Commands.front()).m_MayHaveRun);
}

// A new leader repeats the start calls of jobs that run already; it must not
// stop them instead.
TEST(ControlEvacuation, ANewLeaderStopsNoRunningJob) {
  State Current =
      with(withCalledTargets(), {placeOn("east"), StartJob{Called, 1}}, at(1));
  Current = with(std::move(Current), {evacuate({}, "east")}, at(2));
  DispatchStep Next =
      sendDueCalls(rebuildDispatcher(Current, at(3)), Current, {}, at(3));
  EXPECT_TRUE(Next.m_Commands.empty());
  ASSERT_EQ(Next.m_Calls.size(), 1U);
  EXPECT_EQ(Next.m_Calls.front().m_Verb, Verb::Start);
}

TEST(ControlEvacuation, GuaranteesCountNoCapacityThere) {
  State Current = withCalledTargets();
  const auto &Configuration = Current.m_Tables.m_Configuration;
  EXPECT_EQ(Current.m_Indexes.m_Fleet.freeAccelerators(), 16);
  State Half = with(State(Current), {evacuate({}, "east")}, at(1));
  EXPECT_EQ(Half.m_Indexes.m_Fleet.freeAccelerators(), 8);
  auto Reserved = placement::reserveGuarantees(Half.m_Indexes.m_Fleet,
                                               Configuration, {}, at(1));
  ASSERT_EQ(Reserved.m_ByGuarantee.size(), 1U);
  EXPECT_TRUE(Reserved.m_ByGuarantee.begin()->second.m_Tasks.contains(
      core::TargetId("west")));
  State None = with(std::move(Half), {evacuate({}, "west")}, at(2));
  EXPECT_EQ(placement::reserveGuarantees(None.m_Indexes.m_Fleet, Configuration,
                                         {}, at(2))
                .m_Unsatisfied.size(),
            1U);
}

// ---- Operations and storage -----------------------------------------------

TEST(ControlEvacuation, AnsweredOnlyOnceDurableAndRepeatedWithoutEffect) {
  State Current = withCalledTargets();
  ChangeEvacuation Request{{.m_FailureDomain = "east"}};
  HandleResult First = handle(Current, Request, {}, at(1));
  EXPECT_FALSE(First.m_Reply);
  ASSERT_EQ(First.m_Commands.size(), 1U);
  ApplyResult Applied = apply(std::move(Current),
                              {.m_At = at(1), .m_Commands = First.m_Commands});
  EXPECT_EQ(Applied.m_EvacuationChanges.size(), 1U);
  auto Reply = replyAfterApply(Applied.m_State, Request, Applied.m_Results[0]);
  EXPECT_TRUE(
      std::get<EvacuationsView>(Reply).m_Domains.at("east").m_Evacuated);
  HandleResult Again = handle(Applied.m_State, Request, {}, at(2));
  EXPECT_TRUE(Again.m_Commands.empty());
  EXPECT_EQ(std::get<EvacuationsView>(*Again.m_Reply),
            std::get<EvacuationsView>(Reply));
}

// The evacuation is part of a snapshot, and the derived tables are rebuilt from
// it.
TEST(ControlEvacuation, SurvivesASnapshot) {
  State Current = with(withCalledTargets(), {evacuate({}, "east")}, at(1));
  auto Decoded = messages::decodeTables(messages::encode(Current.m_Tables));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(restore(*std::move(Decoded)), Current);
}

// Data that an earlier version stored has no evacuations, and an earlier
// version can read what this one stores while none was ever requested.
TEST(ControlEvacuation, ASnapshotWithoutEvacuationsHasTheEarlierForm) {
  State Current = withCalledTargets();
  std::string Plain = messages::encode(Current.m_Tables);
  Current = with(std::move(Current), {evacuate({}, "east")}, at(0));
  EXPECT_GT(messages::encode(Current.m_Tables).size(), Plain.size());
  auto Decoded = messages::decodeTables(Plain);
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->m_Evacuations, evacuation::Evacuations());
}
