#include "job/job.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::job;

static const core::Time Accepted = core::timeFromMs(1000);

static JobSpec spec(bool Idempotent = true) {
  return {.m_Key = {core::WorkspaceId("w"), core::RequestId("r")},
          .m_Shape = {.m_Tasks = 2, .m_PerTask = {1, 0, 0}},
          .m_Idempotent = Idempotent};
}

static Job queued(bool Idempotent = true) {
  return *Job::create(spec(Idempotent), Accepted);
}

static Job after(const Job &Value, const Input &Event) {
  auto Next = applyInput(Value, Event, Accepted);
  EXPECT_TRUE(Next) << Next.reason().m_Message;
  return Next ? *Next : Value;
}

static Job placed(bool Idempotent = true) {
  return after(queued(Idempotent),
               Place{.m_FencingToken = 7,
                     .m_Targets = {core::TargetId("a"), core::TargetId("b")}});
}

static Job running(bool Idempotent = true) {
  return after(placed(Idempotent), job::Start{});
}

TEST(Job, RefusesAGangAboveSixtyFour) {
  JobSpec Spec = spec();
  Spec.m_Shape.m_Tasks = core::MaxGangTasks + 1;
  auto Created = Job::create(Spec, Accepted);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.reason().m_Field, "tasks");
}

TEST(Job, RefusesABodyOverTheLimit) {
  JobSpec Spec = spec();
  Spec.m_Body.assign(MaxBodyBytes + 1, 'x');
  EXPECT_EQ(check(Spec).m_Code, core::ReasonCode::TooLarge);
}

TEST(Job, IsAnsweredAfterAllTasksAreDone) {
  Job Value = after(running(), TaskDone{.m_Task = 1, .m_Answer = "b"});
  EXPECT_EQ(Value.phase(), Phase::Running);
  Value = after(Value, TaskDone{.m_Task = 0, .m_Answer = "a"});
  EXPECT_EQ(Value.phase(), Phase::Answered);
  EXPECT_EQ(Value.fields().m_Members[1].m_Answer, "b");
}

TEST(Job, KeepsTheFirstAnswerOfATask) {
  Job Value = after(running(), TaskDone{.m_Task = 0, .m_Answer = "first"});
  Value = after(Value, TaskDone{.m_Task = 0, .m_Answer = "second"});
  EXPECT_EQ(Value.fields().m_Members[0].m_Answer, "first");
}

TEST(Job, NonIdempotentLossAfterStartIsUnknown) {
  Job Value = after(running(false), MemberLost{core::TargetId("a")});
  Value = after(Value, Stopped{});
  EXPECT_EQ(Value.phase(), Phase::Unknown);
}

TEST(Job, NonIdempotentLossBeforeStartIsPlacedAgain) {
  Job Value = after(placed(false), MemberLost{core::TargetId("a")});
  Value = after(Value, Stopped{});
  EXPECT_EQ(Value.phase(), Phase::Queued);
}

TEST(Job, IdempotentLossRunsAgain) {
  Job Value =
      after(after(running(), MemberLost{core::TargetId("a")}), Stopped{});
  EXPECT_EQ(Value.phase(), Phase::Queued);
  EXPECT_FALSE(Value.fields().m_MayHaveRun);
}

TEST(Job, RefusedStartOfNonIdempotentJobIsRequeuedOrUnknown) {
  Job NotStarted = after(running(false), StartRefused{.m_MayHaveRun = false});
  EXPECT_EQ(after(NotStarted, Stopped{}).phase(), Phase::Queued);
  Job MaybeStarted = after(running(false), StartRefused{.m_MayHaveRun = true});
  EXPECT_EQ(after(MaybeStarted, Stopped{}).phase(), Phase::Unknown);
}

TEST(Job, RepeatedFailuresOnOneTargetRequeueTheJob) {
  Job Value = running();
  for (int I = 0; I < 5; ++I) {
    Value = after(Value, TaskDone{.m_Task = 0, .m_Succeeded = false});
    Value = after(Value, Stopped{});
    ASSERT_EQ(Value.phase(), Phase::Queued)
        << "failures on one target must not fail the job";
    Value = after(after(Value, Place{.m_Targets = {core::TargetId("a"),
                                                   core::TargetId("b")}}),
                  job::Start{});
  }
}

TEST(Job, FailsAfterItFailedOnSeveralTargets) {
  Job Value = running();
  for (std::size_t I = 0; I < MaxFailedTargets; ++I) {
    Value = after(Value, TaskDone{.m_Task = 0, .m_Succeeded = false});
    Value = after(Value, Stopped{});
    if (Value.phase() == Phase::Queued)
      Value = after(
          after(Value,
                Place{.m_Targets = {core::TargetId("t" + std::to_string(I)),
                                    core::TargetId("b")}}),
          job::Start{});
  }
  EXPECT_EQ(Value.phase(), Phase::Failed);
}

TEST(Job, LastAnswerWinsARaceAgainstACancel) {
  Job Value = after(running(), TaskDone{.m_Task = 0});
  Value = after(Value, Cancel{});
  Value = after(Value, TaskDone{.m_Task = 1});
  EXPECT_EQ(Value.phase(), Phase::Answered);
  EXPECT_FALSE(applyInput(Value, Stopped{}, Accepted));
}

TEST(Job, CancelAfterStartSaysThatItMayHaveRun) {
  Job Value = after(after(running(false), Cancel{}), Stopped{});
  EXPECT_EQ(Value.phase(), Phase::Cancelled);
  EXPECT_TRUE(Value.fields().m_MayHaveRun);
}

// Applies every input to the jobs that are reachable within three placements,
// up to MaxTransitions, and checks the invariants: the transition table matches
// the transitions, a non-idempotent job starts at most once, a job that is
// reported as not run never started, and a final outcome never changes.
TEST(Job, TransitionInvariantsHoldOnEveryPath) {
  std::vector<Input> Inputs{
      Place{.m_Targets = {core::TargetId("a"), core::TargetId("b")}},
      job::Start{},
      TaskDone{.m_Task = 0},
      TaskDone{.m_Task = 1},
      TaskDone{.m_Task = 0, .m_Succeeded = false},
      MemberLost{core::TargetId("a")},
      Cancel{},
      StartRefused{.m_MayHaveRun = true},
      Reclaim{},
      Stopped{},
      Reject{}};
  std::vector<Job> Reached{queued(false)};
  std::vector<std::uint32_t> Starts{0};
  std::size_t Transitions = 0;
  constexpr std::size_t MaxTransitions = 20000;
  for (std::size_t I = 0; I < Reached.size() && Transitions < MaxTransitions;
       ++I) {
    for (const Input &Event : Inputs) {
      Job Value = Reached[I];
      auto Next = applyInput(Value, Event, Accepted);
      EXPECT_EQ(bool(Next), isLegal(Value.phase(), Event.index()));
      if (!Next)
        continue;
      ++Transitions;
      std::uint32_t Started =
          Starts[I] + (std::holds_alternative<job::Start>(Event) ? 1 : 0);
      EXPECT_LE(Started, 1U) << "a non-idempotent job was started twice";
      if (Next->phase() == Phase::NotRun) {
        EXPECT_EQ(Started, 0U);
      }
      EXPECT_FALSE(Value.isFinished()) << "a final outcome changed";
      if (*Next != Value && Next->fields().m_Attempt < 4) {
        Reached.push_back(*Next);
        Starts.push_back(Started);
      }
    }
  }
  EXPECT_GT(Transitions, 100U);
}
