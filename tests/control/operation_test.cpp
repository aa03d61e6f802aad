#include "control/operation.h"

#include "control/leader.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::control;

namespace {

const core::JobKey Key{core::WorkspaceId("w"), core::RequestId("r")};

job::JobSpec spec(const char *Id) {
  return {.m_Key = {core::WorkspaceId("w"), core::RequestId(Id)},
          .m_Shape = {.m_PerTask = {1, 0, 0}}};
}

State configured() {
  return apply({}, {.m_At = core::timeFromMs(1),
                    .m_Commands = {ChangeConfiguration{
                        {.m_Operation = core::OperationId("o"),
                         .m_Workspaces = {{.m_Id = core::WorkspaceId("w"),
                                           .m_Quota = 64}},
                         .m_Limits = {.m_QueuedPerWorkspace = 2}}}}})
      .m_State;
}

State with(State Before, std::vector<Command> Commands, int Ms = 2) {
  return apply(std::move(Before), {.m_At = core::timeFromMs(Ms),
                                   .m_Commands = std::move(Commands)})
      .m_State;
}

core::ReasonCode refusalOf(const HandleResult &Value) {
  const auto *Failed =
      Value.m_Reply ? std::get_if<Failure>(&*Value.m_Reply) : nullptr;
  return Failed ? Failed->m_Reason.m_Code : core::ReasonCode::None;
}

// The state with one more job, whose answer has this many bytes.
State answered(State Before, const char *Id, std::size_t Bytes) {
  core::JobKey Job = spec(Id).m_Key;
  return with(std::move(Before),
              {AcceptJob{spec(Id)},
               PlaceJob{{.m_Job = Job, .m_Targets = {core::TargetId("t")}}},
               StartJob{Job, 1},
               FinishTask{.m_Job = Job,
                          .m_Attempt = 1,
                          .m_Answer = std::string(Bytes, 'x')}});
}

} // namespace

TEST(Operation, RejectsSubmitWhenQueueIsFull) {
  State State =
      with(configured(), {AcceptJob{spec("1")}, AcceptJob{spec("2")}});
  HandleResult Next = handle(State, Submit{spec("3")}, {}, core::timeFromMs(3));
  EXPECT_EQ(refusalOf(Next), core::ReasonCode::Overloaded);
  EXPECT_TRUE(Next.m_Commands.empty());
  // A request that was accepted before is still found.
  EXPECT_TRUE(std::holds_alternative<JobView>(
      *handle(State, Submit{spec("2")}, {}, core::timeFromMs(3)).m_Reply));
}

TEST(Operation, KeepsAnswersAndLimitsTheirTotalSize) {
  State State = configured();
  constexpr std::size_t Each = std::size_t{1} << 20U;
  for (std::size_t I = 0; I < MaxAnswerBytes / Each; ++I)
    State = answered(std::move(State), std::to_string(I).c_str(), Each);
  EXPECT_EQ(
      refusalOf(handle(State, Submit{spec("new")}, {}, core::timeFromMs(3))),
      core::ReasonCode::Overloaded);
  // No answer was dropped, and new requests are accepted once the answers have
  // expired.
  EXPECT_NE(findJob(State, spec("0").m_Key), nullptr);
  State = with(std::move(State), {ExpireJobs{}}, 3600000 + 10);
  EXPECT_EQ(State.m_Indexes.m_AnswerBytes, 0U);
  EXPECT_EQ(
      refusalOf(handle(State, Submit{spec("new")}, {}, core::timeFromMs(3))),
      core::ReasonCode::None);
}

// A target that was declared lost while its tasks were still running must not
// continue part of a gang whose other members were stopped.
TEST(Operation, LostTargetMustReturnWithNewIncarnation) {
  target::Announcement Announcement{.m_Id = core::TargetId("t"),
                                    .m_Host = "127.0.0.1",
                                    .m_Port = 1,
                                    .m_Incarnation = 1,
                                    .m_Region = "r",
                                    .m_FailureDomain = "d",
                                    .m_Rack = "k",
                                    .m_Capacity = {8, 8, 8}};
  State State = with(configured(), {AnnounceTarget{Announcement},
                                    MarkTargetLost{core::TargetId("t")}});
  HandleResult Same =
      handle(State, Announce{Announcement}, {}, core::timeFromMs(3));
  EXPECT_EQ(refusalOf(Same), core::ReasonCode::Conflict);
  ApplyResult Race =
      apply(State, {.m_At = core::timeFromMs(3),
                    .m_Commands = {AnnounceTarget{Announcement}}});
  EXPECT_EQ(Race.m_Results[0].m_Code, core::ReasonCode::Conflict);
  // An entry VM that still receives its heartbeats learns that it must announce
  // again.
  Leader Leader;
  Leader.m_Heartbeats.m_Entries[core::VmId("e")].m_Targets.insert(
      Announcement.m_Id);
  EXPECT_EQ(lostTargetsStillHeard(Leader, State, core::VmId("e")),
            std::vector{Announcement.m_Id});
  ++Announcement.m_Incarnation;
  State = with(std::move(State), {AnnounceTarget{Announcement}}, 4);
  EXPECT_TRUE(lostTargetsStillHeard(Leader, State, core::VmId("e")).empty());
}

TEST(Operation, ACancelAfterTheAnswerGetsTheAnswer) {
  State State = answered(configured(), "r", 3);
  HandleResult Next = handle(State, Cancel{Key}, {}, core::timeFromMs(3));
  ASSERT_TRUE(Next.m_Reply);
  EXPECT_EQ(std::get<JobView>(*Next.m_Reply).m_Phase, job::Phase::Answered);
}

TEST(Operation, AConfigurationWhoseGuaranteesClashIsRefused) {
  State State = with(configured(), {AnnounceTarget{{.m_Id = core::TargetId("t"),
                                                    .m_Host = "127.0.0.1",
                                                    .m_Port = 1,
                                                    .m_Region = "r",
                                                    .m_FailureDomain = "d",
                                                    .m_Rack = "k",
                                                    .m_Capacity = {8, 8, 8}}}});
  auto WithGuarantee = [](const char *Id) {
    return workspace::WorkspaceSpec{
        .m_Id = core::WorkspaceId(Id),
        .m_Quota = 8,
        .m_Guarantees = {
            {.m_Name = "all", .m_Shape = {.m_PerTask = {8, 0, 0}}}}};
  };
  configuration::Proposal Value{
      .m_Operation = core::OperationId("p"),
      .m_Replaces = 1,
      .m_Workspaces = {WithGuarantee("a"), WithGuarantee("b")}};
  HandleResult Next = handle(State, Configure{Value}, {}, core::timeFromMs(3));
  EXPECT_EQ(refusalOf(Next), core::ReasonCode::Unplaceable);
  EXPECT_NE(std::get<Failure>(*Next.m_Reply).m_Reason.m_Message.find("b/all"),
            std::string::npos);
}
