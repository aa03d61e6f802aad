#include "runtime/entry.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static core::Time at(int Ms) { return core::timeFromMs(1000 + Ms); }

static const core::VmId A("a");
static const core::VmId B("b");

static const control::Reply Rejection = control::Failure{
    {core::ReasonCode::Unauthorized, "key", "belongs to no workspace"}};

// Forwards one operation to each of the leaders in turn, lets the last one
// reject it, and returns the reason code that the caller receives.
static core::ReasonCode
reasonAfterRejection(control::Operation Value,
                     const std::vector<core::VmId> &Leaders) {
  Counters Counts;
  std::uint64_t Sent = 0;
  Entry Self({}, Counts, [&](const core::VmId &, messages::Body Body) {
    if (const auto *Typed = std::get_if<messages::ForwardOperation>(&Body))
      Sent = Typed->m_Id;
  });
  core::ReasonCode Received = core::ReasonCode::None;
  Self.submit(
      std::move(Value), core::WorkspaceId(),
      [&](const control::Reply &Reply) {
        Received = std::get<control::Failure>(Reply).m_Reason.m_Code;
      },
      at(0));
  int Ms = 0;
  for (const core::VmId &Leader : Leaders)
    Self.tick(Leader, at(++Ms));
  Self.complete(Sent, Rejection, at(++Ms));
  return Received;
}

TEST(Entry, ForwardsRejectionOfFirstAttempt) {
  EXPECT_EQ(reasonAfterRejection(control::SubmitWorkflow{}, {A}),
            core::ReasonCode::Unauthorized);
}

// Guards against telling the caller that nothing runs after a retry. Found by
// the fault soak, seed 36: the first leader accepted the job but its reply was
// lost, and the next one rejected the key, which was removed in between.
TEST(Entry, RejectionAfterRetryIsUndecided) {
  EXPECT_EQ(reasonAfterRejection(control::SubmitWorkflow{}, {A, B}),
            core::ReasonCode::Undecided);
  EXPECT_EQ(reasonAfterRejection(control::Submit{}, {A, B}),
            core::ReasonCode::Undecided);
}

TEST(Entry, RejectionOfReadIsForwardedAfterRetry) {
  EXPECT_EQ(reasonAfterRejection(control::FetchWorkflow{}, {A, B}),
            core::ReasonCode::Unauthorized);
}
