#include "runtime/entry.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static core::Time at(int Ms) { return core::timeFromMs(1000 + Ms); }

static const core::VmId A("a");
static const core::VmId B("b");

static const control::Reply Refusal = control::Failure{
    {core::ReasonCode::Unauthorized, "key", "belongs to no workspace"}};

// Sends one operation to one leader after the other, has the last one refuse
// it, and returns what its caller is told.
static core::ReasonCode refusedBy(control::Operation Value,
                                  const std::vector<core::VmId> &Leaders) {
  Counters Counts;
  std::uint64_t Sent = 0;
  Entry Self({}, Counts, [&](const core::VmId &, messages::Body Body) {
    if (const auto *Typed = std::get_if<messages::ForwardOperation>(&Body))
      Sent = Typed->m_Id;
  });
  core::ReasonCode Told = core::ReasonCode::None;
  Self.submit(
      std::move(Value), core::WorkspaceId(),
      [&](const control::Reply &Reply) {
        Told = std::get<control::Failure>(Reply).m_Reason.m_Code;
      },
      at(0));
  int Ms = 0;
  for (const core::VmId &Leader : Leaders)
    Self.tick(Leader, at(++Ms));
  Self.complete(Sent, Refusal, at(++Ms));
  return Told;
}

TEST(Entry, PassesOnARefusalOfTheFirstTry) {
  EXPECT_EQ(refusedBy(control::SubmitWorkflow{}, {A}),
            core::ReasonCode::Unauthorized);
}

// Found by the fault soak, seed 36: the first leader had accepted the job and
// its answer was lost; the next one refused the key, which had gone meanwhile.
TEST(Entry, ARefusalOfALaterTryDoesNotSayThatNothingRuns) {
  EXPECT_EQ(refusedBy(control::SubmitWorkflow{}, {A, B}),
            core::ReasonCode::Undecided);
  EXPECT_EQ(refusedBy(control::Submit{}, {A, B}), core::ReasonCode::Undecided);
}

TEST(Entry, ARefusalOfAQuestionStandsWheneverItComes) {
  EXPECT_EQ(refusedBy(control::FetchWorkflow{}, {A, B}),
            core::ReasonCode::Unauthorized);
}
