#include "routing/admission.h"
#include "routing/forwarding.h"
#include "routing/heartbeats.h"
#include "routing/retry.h"

#include <gtest/gtest.h>
#include <random>

using namespace fireflydrift;
using namespace fireflydrift::routing;

static const core::VmId A("a");
static const core::VmId B("b");
static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

TEST(Admission, RejectsRequestsOverTheLimits) {
  AdmissionOptions Options{.m_MaxHeld = 4, .m_WorkspacePercent = 50};
  Admission Value{.m_LastLeaderHeartbeatAt = at(1000)};
  core::WorkspaceId W("w");
  core::WorkspaceId V("v");
  Value = admitted(admitted(std::move(Value), W), W);
  EXPECT_EQ(check(Value, Options, W, at(1001)).m_Code,
            core::ReasonCode::Overloaded);
  EXPECT_EQ(check(Value, Options, V, at(1001)).m_Code, core::ReasonCode::None);
  Value = finished(std::move(Value), W);
  EXPECT_EQ(check(Value, Options, W, at(1001)).m_Code, core::ReasonCode::None);
}

TEST(Admission, RejectsRequestsWithoutALeaderOrWhileDraining) {
  Admission Value{.m_LastLeaderHeartbeatAt = at(1000)};
  AdmissionOptions Options;
  core::WorkspaceId W("w");
  EXPECT_EQ(check(Value, Options, W, at(1000) + Options.m_LeaderTimeout).m_Code,
            core::ReasonCode::None);
  EXPECT_EQ(check(Value, Options, W, at(1001) + Options.m_LeaderTimeout).m_Code,
            core::ReasonCode::Unavailable);
  Value.m_Draining = true;
  EXPECT_EQ(check(Value, Options, W, at(1000)).m_Code,
            core::ReasonCode::Unavailable);
}

TEST(RetryBudget, AllowsTwentyPercentRetries) {
  RetryOptions Options{.m_MaxBurst = 0};
  RetryBudget Budget{};
  int Retries = 0;
  Options.m_MaxBurst = 10;
  for (int I = 0; I < 1000; ++I) {
    Budget = afterFirstTry(Budget, Options);
    if (auto Left = afterRetry(Budget)) {
      Budget = *Left;
      ++Retries;
    }
  }
  EXPECT_EQ(Retries, 200);
}

TEST(RetryDelay, StaysInRangeAndIsDeterministic) {
  RetryOptions Options;
  EXPECT_EQ(retryDelay(Options, 7, 2), retryDelay(Options, 7, 2));
  for (std::uint32_t Tries = 1; Tries < 10; ++Tries) {
    EXPECT_GE(retryDelay(Options, 7, Tries), Options.m_FirstDelay / 2);
    EXPECT_LE(retryDelay(Options, 7, Tries), Options.m_LongestDelay);
  }
}

TEST(Forwarding, WaitsForALeaderAndFollowsItsChange) {
  RetryOptions Options;
  Forwarding Value =
      added({.m_Budget = fullBudget(Options)}, 1, at(9000), at(0));
  ForwardingStep Next = dispatchDue(std::move(Value), {}, Options, at(1));
  EXPECT_TRUE(Next.m_Send.empty());
  Next = dispatchDue(std::move(Next.m_Forwarding), A, Options, at(2));
  EXPECT_EQ(Next.m_Send.size(), 1U);
  Next = dispatchDue(std::move(Next.m_Forwarding), A, Options, at(3));
  EXPECT_TRUE(Next.m_Send.empty());
  Next = dispatchDue(std::move(Next.m_Forwarding), B, Options, at(4));
  EXPECT_EQ(Next.m_Send.size(), 1U);
  Next = dispatchDue(std::move(Next.m_Forwarding), B, Options, at(9000));
  EXPECT_EQ(Next.m_Expired.size(), 1U);
  EXPECT_TRUE(Next.m_Forwarding.m_Pending.empty());
}

TEST(Forwarding, ReportsOperationsSentMoreThanOnce) {
  constexpr std::uint64_t Id = 7;
  RetryOptions Options;
  Forwarding Value =
      added({.m_Budget = fullBudget(Options)}, Id, at(9000), at(0));
  EXPECT_FALSE(wasRetried(Value, Id));
  Value = dispatchDue(std::move(Value), A, Options, at(1)).m_Forwarding;
  EXPECT_FALSE(wasRetried(Value, Id));
  Value = dispatchDue(std::move(Value), B, Options, at(2)).m_Forwarding;
  EXPECT_TRUE(wasRetried(Value, Id));
  EXPECT_FALSE(wasRetried(removed(std::move(Value), Id), Id));
}

// Guards against callers that wait for a request that was lost with its
// connection, and against callers that are told "not run" although the lost
// copy arrived.
TEST(Forwarding, SendsUnacknowledgedOperationsAgainAtOnce) {
  constexpr std::uint64_t Id = 7;
  RetryOptions Options{.m_PercentOfFirstTries = 0, .m_MaxBurst = 0};
  Forwarding Value = added({}, Id, at(9000), at(0));
  Value = dispatchDue(std::move(Value), A, Options, at(1)).m_Forwarding;
  // A connection to a VM that the operation was not last sent to says nothing.
  Value = unacknowledged(std::move(Value), Id, B, at(2));
  EXPECT_TRUE(dispatchDue(Value, A, Options, at(2)).m_Send.empty());
  Value = unacknowledged(std::move(Value), Id, A, at(2));
  ForwardingStep Next = dispatchDue(std::move(Value), A, Options, at(2));
  EXPECT_EQ(Next.m_Send, std::vector<std::uint64_t>{Id});
  EXPECT_TRUE(wasRetried(Next.m_Forwarding, Id));
  // A VM that breaks every connection gets no more than the usual retries.
  Value = unacknowledged(std::move(Next.m_Forwarding), Id, A, at(3));
  EXPECT_TRUE(dispatchDue(std::move(Value), A, Options, at(3)).m_Send.empty());
  EXPECT_EQ(unacknowledged({}, Id, A, at(3)), Forwarding{});
}

// Guards against operations that expire after a change of leader: retries to a
// failed leader used up the budget, and the next leader did not receive the
// operations before their deadlines.
TEST(Forwarding, SendsAllToANewLeaderDespiteAnEmptyBudget) {
  constexpr std::uint64_t Operations = 50;
  RetryOptions Options{.m_PercentOfFirstTries = 0, .m_MaxBurst = 0};
  Forwarding Value{.m_Budget = fullBudget(Options)};
  for (std::uint64_t Id = 1; Id <= Operations; ++Id)
    Value = added(std::move(Value), Id, at(9000), at(0));
  ForwardingStep Next = dispatchDue(std::move(Value), A, Options, at(1));
  EXPECT_EQ(Next.m_Send.size(), Operations);
  Next = dispatchDue(std::move(Next.m_Forwarding), A, Options, at(2000));
  EXPECT_TRUE(Next.m_Send.empty());
  Next = dispatchDue(std::move(Next.m_Forwarding), B, Options, at(2001));
  EXPECT_EQ(Next.m_Send.size(), Operations);
  Value =
      rejectedByNonLeader(std::move(Next.m_Forwarding), 1, Options, at(2002));
  Next = dispatchDue(std::move(Value), B, Options, at(4000));
  EXPECT_EQ(Next.m_Send, (std::vector<std::uint64_t>{1}));
}

// With half of all attempts lost, the number sent stays within 1.2 times the
// number of requests plus the initial burst of 32 retries.
TEST(Forwarding, KeepsAmplificationWithinTheBudget) {
  RetryOptions Options{.m_MaxBurst = 32};
  Forwarding Value{.m_Budget = fullBudget(Options)};
  std::uint64_t Sent = 0;
  std::minstd_rand Random(3);
  constexpr std::uint64_t Requests = 5000;
  core::Time Now = at(0);
  for (std::uint64_t Id = 1; Id <= Requests; ++Id) {
    Now += core::Duration(10);
    Value = added(std::move(Value), Id, Now + core::Duration(10000), Now);
    ForwardingStep Next = dispatchDue(std::move(Value), A, Options, Now);
    Value = std::move(Next.m_Forwarding);
    for (std::uint64_t Each : Next.m_Send) {
      ++Sent;
      if (Random() % 2 == 0)
        Value = removed(std::move(Value), Each);
    }
  }
  EXPECT_LE(Sent * 100, Requests * 120 + 3200);
  EXPECT_GT(Sent, Requests);
}

TEST(Heartbeats, SummaryContainsOnlyChanges) {
  HeartbeatOptions Options;
  core::TargetId T("t");
  EntryHeartbeats Entry = recordHeartbeat({}, T, at(1000));
  SummaryStep First = summarise(std::move(Entry), Options, true, at(1000));
  EXPECT_EQ(First.m_Summary.m_Appeared.size(), 1U);
  Entry = recordHeartbeat(std::move(First.m_Heartbeats), T, at(1500));
  SummaryStep Second = summarise(std::move(Entry), Options, false, at(1500));
  EXPECT_TRUE(Second.m_Summary.m_Appeared.empty());
  SummaryStep Third = summarise(std::move(Second.m_Heartbeats), Options, false,
                                at(1500) + Options.m_GoneAfter);
  EXPECT_EQ(Third.m_Summary.m_Vanished.size(), 1U);
}

TEST(Heartbeats, GapRequestsAFullSummary) {
  HeartbeatOptions Options;
  SummaryResult First =
      applySummary({}, A, {.m_Sequence = 1, .m_Full = true}, Options, at(0));
  EXPECT_FALSE(First.m_NeedsFull);
  SummaryResult Gap =
      applySummary(First.m_Heartbeats, A, {.m_Sequence = 3}, Options, at(1));
  EXPECT_TRUE(Gap.m_NeedsFull);
}

// Measures from the target's last heartbeat until the leader considers it
// silent and places nothing more on it.
TEST(Heartbeats, SilentTargetGetsNoWorkAfterThreeSeconds) {
  HeartbeatOptions Options;
  core::TargetId T("t");
  EntryHeartbeats Entry;
  LeaderHeartbeats Leader{.m_Since = at(0)};
  core::Time Last = at(5000);
  core::Time SilentAt;
  for (core::Time Now = at(0); Now < at(20000); Now += core::Duration(100)) {
    if (Now <= Last)
      Entry = recordHeartbeat(std::move(Entry), T, Now);
    if (summaryIsDue(Entry, Options, Now)) {
      SummaryStep Next =
          summarise(std::move(Entry), Options, Now == at(0), Now);
      Entry = std::move(Next.m_Heartbeats);
      Leader = applySummary(std::move(Leader), A, Next.m_Summary, Options, Now)
                   .m_Heartbeats;
    }
    bool Silent = Now - lastHeartbeat(Leader, T) >= Options.m_SilentAfter;
    EXPECT_FALSE(Silent && Now <= Last);
    if (Silent && SilentAt == core::Time())
      SilentAt = Now;
  }
  ASSERT_NE(SilentAt, core::Time());
  EXPECT_LE(SilentAt - Last, core::Duration(3000));
}
