#include "control/dispatcher.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::control;

namespace {

const core::Time Now = core::timeFromMs(1000);
const core::JobKey Key{core::WorkspaceId("w"), core::RequestId("r")};

// A state in which a gang of two is placed on two targets.
State placed(bool Idempotent) {
  auto Target = [](const char *Id) {
    return AnnounceTarget{{.m_Id = core::TargetId(Id),
                           .m_Host = "127.0.0.1",
                           .m_Port = 1,
                           .m_Region = "r",
                           .m_FailureDomain = "d",
                           .m_Rack = "k",
                           .m_Capacity = {8, 8, 8}}};
  };
  return apply(
             {},
             {.m_At = Now,
              .m_Commands =
                  {ChangeConfiguration{
                       {.m_Operation = core::OperationId("o"),
                        .m_Workspaces = {{.m_Id = core::WorkspaceId("w"),
                                          .m_Quota = 8}}}},
                   Target("a"), Target("b"),
                   AcceptJob{{.m_Key = Key,
                              .m_Shape = {.m_Tasks = 2, .m_PerTask = {1, 0, 0}},
                              .m_Idempotent = Idempotent}},
                   PlaceJob{{.m_Job = Key,
                             .m_Targets = {core::TargetId("a"),
                                           core::TargetId("b")}}}}})
      .m_State;
}

CallReply reply(const Call &To, CallOutcome Outcome) {
  return {.m_Verb = To.m_Verb,
          .m_Target = To.m_Target,
          .m_Lease = To.m_Lease,
          .m_Outcome = Outcome};
}

State after(State Current, const Command &Value) {
  return apply(std::move(Current), {.m_At = Now, .m_Commands = {Value}})
      .m_State;
}

} // namespace

TEST(Dispatcher, StartsOnlyOnceEveryMemberReserved) {
  State State = placed(true);
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  ASSERT_EQ(Next.m_Calls.size(), 2U);
  Call First = Next.m_Calls[0];
  Call Second = Next.m_Calls[1];
  EXPECT_EQ(First.m_Verb, Verb::Reserve);
  EXPECT_EQ(First.m_Lease.m_FencingToken, 1U);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(First, CallOutcome::Accepted), {}, Now);
  EXPECT_TRUE(Next.m_Commands.empty());
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Second, CallOutcome::Accepted), {}, Now);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StartJob>(Next.m_Commands[0]));
}

TEST(Dispatcher, ARefusedReserveCallAbortsTheAttempt) {
  State State = placed(false);
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  Call Second = Next.m_Calls[1];
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Second, CallOutcome::Refused), {}, Now);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_FALSE(std::get<AbortAttempt>(Next.m_Commands[0]).m_MayHaveRun);
}

TEST(Dispatcher, AStartWithoutAnswerIsRepeatedUnderTheSameLease) {
  State State = after(placed(false), StartJob{Key, 1});
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  Call First = Next.m_Calls[0];
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(First, CallOutcome::NoAnswer), {}, Now);
  EXPECT_TRUE(Next.m_Commands.empty());
  DispatchOptions Options;
  Next = sendDueCalls(std::move(Next.m_Dispatcher), State, Options,
                      Now + Options.m_InitialRetryDelay);
  ASSERT_EQ(Next.m_Calls.size(), 1U);
  EXPECT_EQ(Next.m_Calls[0].m_Lease, First.m_Lease);
}

TEST(Dispatcher, UnansweredStartIsReportedAsMayHaveRun) {
  State State = after(placed(false), StartJob{Key, 1});
  DispatchOptions Options;
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, Options, Now);
  Call First = Next.m_Calls[0];
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(First, CallOutcome::NoAnswer), Options, Now);
  core::Time Later = Now + Options.m_InitialRetryDelay;
  Next = sendDueCalls(std::move(Next.m_Dispatcher), State, Options, Later);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(First, CallOutcome::UnknownLease), Options, Later);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::get<AbortAttempt>(Next.m_Commands[0]).m_MayHaveRun);
}

// A start call without an answer that waits for its retry was taken for one
// that was never sent: another target's refusal put a job back into the queue
// that must not run twice.
TEST(Dispatcher, AnUnansweredStartMayHaveRunBeforeItsRetry) {
  State State = after(placed(false), StartJob{Key, 1});
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  ASSERT_EQ(Next.m_Calls.size(), 2U);
  std::vector<Call> Calls = Next.m_Calls;
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Calls[0], CallOutcome::NoAnswer), {}, Now);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Calls[1], CallOutcome::UnknownLease), {}, Now);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::get<AbortAttempt>(Next.m_Commands[0]).m_MayHaveRun);
}

TEST(Dispatcher, NewLeaderReportsEarlierStartsAsMayHaveRun) {
  State State = after(placed(false), StartJob{Key, 1});
  DispatchStep Next =
      sendDueCalls(rebuildDispatcher(State, Now), State, {}, Now);
  ASSERT_EQ(Next.m_Calls.size(), 2U);
  Next =
      handleReply(std::move(Next.m_Dispatcher), State,
                  reply(Next.m_Calls[0], CallOutcome::UnknownLease), {}, Now);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::get<AbortAttempt>(Next.m_Commands[0]).m_MayHaveRun);
}

// A target was declared lost after 6 s of silence while its leases lasted 15 s:
// its work was started again beside the runs that went on.
TEST(Dispatcher, StopEndsWhenEachMemberConfirmsOrItsLeaseHasEnded) {
  State State = after(after(placed(true), StartJob{Key, 1}), CancelJob{Key});
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  ASSERT_EQ(Next.m_Calls.size(), 2U);
  EXPECT_EQ(Next.m_Calls[0].m_Verb, Verb::Stop);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Next.m_Calls[0], CallOutcome::Accepted), {}, Now);
  EXPECT_TRUE(Next.m_Commands.empty());
  State = after(std::move(State), MarkTargetLost{core::TargetId("b")});
  const DispatchOptions Options;
  for (core::Duration Passed : {core::Duration(0), Options.m_Lease / 2,
                                Options.m_Lease - core::Duration(1)}) {
    Next = sendDueCalls(std::move(Next.m_Dispatcher), State, Options,
                        Now + Passed);
    EXPECT_TRUE(Next.m_Commands.empty());
  }
  Next = sendDueCalls(std::move(Next.m_Dispatcher), State, Options,
                      Now + Options.m_Lease);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ConfirmStopped>(Next.m_Commands[0]));
}

// The loss of a target that had confirmed its stop made the dispatcher wait for
// the end of its lease as well.
TEST(Dispatcher, AConfirmedStopStaysConfirmedWhenItsTargetIsLost) {
  State State = after(after(placed(true), StartJob{Key, 1}), CancelJob{Key});
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  std::vector<Call> Calls = Next.m_Calls;
  ASSERT_EQ(Calls.size(), 2U);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Calls[0], CallOutcome::Accepted), {}, Now);
  State = after(std::move(State), MarkTargetLost{Calls[0].m_Target});
  Next = sendDueCalls(std::move(Next.m_Dispatcher), State, {}, Now);
  Next = handleReply(std::move(Next.m_Dispatcher), State,
                     reply(Calls[1], CallOutcome::Accepted), {}, Now);
  ASSERT_EQ(Next.m_Commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ConfirmStopped>(Next.m_Commands[0]));
}

TEST(Dispatcher, RepliesToAnotherAttemptAreIgnored) {
  State State = placed(true);
  DispatchStep Next =
      sendDueCalls(updateJob({}, State, Key, Now), State, {}, Now);
  CallReply Late = reply(Next.m_Calls[0], CallOutcome::Refused);
  Late.m_Lease.m_Attempt = 0;
  Dispatcher Before = Next.m_Dispatcher;
  Next = handleReply(std::move(Next.m_Dispatcher), State, Late, {}, Now);
  EXPECT_TRUE(Next.m_Commands.empty());
  EXPECT_EQ(Next.m_Dispatcher, Before);
}
