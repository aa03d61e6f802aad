// Guards against connections that hold more memory than the process has, and
// against closing those that must stay: requests that are being handled, and
// the operators' part of the budget.
#include "routing/memory_budget.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace fireflydrift;
using namespace fireflydrift::routing;

static core::Time at(core::Duration::rep Ms) { return core::timeFromMs(Ms); }

static constexpr std::size_t Callers = 0;
static constexpr std::size_t Control = 1;

static MemoryBudgetOptions options() {
  return {
      .m_MaxBytes = 1000,
      .m_OperatorPercent = 25,
      .m_ResponseTimeout = core::Duration(100),
      .m_Listeners = {{.m_ForOperators = false, .m_MaxConnectionBytes = 500},
                      {.m_ForOperators = true, .m_MaxConnectionBytes = 500}}};
}

TEST(MemoryBudget, DefaultFollowsTheMemoryOfTheVm) {
  constexpr std::size_t MiB = std::size_t{1} << 20;
  EXPECT_EQ(defaultMemoryBudget(100 * MiB), 16 * MiB);
  EXPECT_EQ(defaultMemoryBudget(200 * MiB), 25 * MiB);
  EXPECT_EQ(defaultMemoryBudget(4000 * MiB), 32 * MiB);
  EXPECT_EQ(callersBudget(options()), 750U);
}

TEST(MemoryBudget, ClosesNothingWithinIt) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1, .m_Listener = Callers, .m_Bytes = 500},
      {.m_Id = 2, .m_Listener = Callers, .m_Bytes = 250},
      {.m_Id = 3, .m_Listener = Control, .m_Bytes = 250}};
  EXPECT_TRUE(connectionsToClose(Loads, options(), at(0)).empty());
}

TEST(MemoryBudget, ClosesThoseWithTheMostBytesFirst) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1, .m_Listener = Control, .m_Bytes = 300},
      {.m_Id = 2, .m_Listener = Control, .m_Bytes = 400},
      {.m_Id = 3, .m_Listener = Callers, .m_Bytes = 350},
      {.m_Id = 4, .m_Listener = Callers, .m_Bytes = 0}};
  EXPECT_EQ(connectionsToClose(Loads, options(), at(0)),
            (std::vector<ClosedConnection>{{2, Control, CloseCause::Budget}}));
}

// Clients on the callers' address must not use up what targets and operators
// need, nor have their connections closed for it.
TEST(MemoryBudget, KeepsThePartOfOperators) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1, .m_Listener = Control, .m_Bytes = 250},
      {.m_Id = 2, .m_Listener = Callers, .m_Bytes = 200},
      {.m_Id = 3, .m_Listener = Callers, .m_Bytes = 200},
      {.m_Id = 4, .m_Listener = Callers, .m_Bytes = 200},
      {.m_Id = 5, .m_Listener = Callers, .m_Bytes = 200}};
  EXPECT_EQ(connectionsToClose(Loads, options(), at(0)),
            (std::vector<ClosedConnection>{{2, Callers, CloseCause::Budget}}));
}

// Such a request was accepted; its caller must get its answer.
TEST(MemoryBudget, NeverClosesARequestThatIsHandled) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1, .m_Listener = Callers, .m_Bytes = 900, .m_Handling = true},
      {.m_Id = 2, .m_Listener = Callers, .m_Bytes = 1}};
  EXPECT_EQ(connectionsToClose(Loads, options(), at(0)),
            (std::vector<ClosedConnection>{{2, Callers, CloseCause::Budget}}));
  EXPECT_FALSE(mayAccept(Loads, options(), Callers));
  EXPECT_TRUE(mayAccept(Loads, options(), Control));
  Loads[0].m_Handling = false;
  EXPECT_TRUE(mayAccept(Loads, options(), Callers));
}

TEST(MemoryBudget, ClosesAConnectionOverItsMaximum) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1, .m_Listener = Callers, .m_Bytes = 501}};
  EXPECT_EQ(
      connectionsToClose(Loads, options(), at(0)),
      (std::vector<ClosedConnection>{{1, Callers, CloseCause::TooLarge}}));
}

// The maximum is that of a request; a caller must get its whole response.
TEST(MemoryBudget, LetsALargeResponsePass) {
  std::vector<ConnectionLoad> Loads{{.m_Id = 1,
                                     .m_Listener = Callers,
                                     .m_Bytes = 700,
                                     .m_Since = at(1000),
                                     .m_Responding = true}};
  EXPECT_TRUE(connectionsToClose(Loads, options(), at(1050)).empty());
}

TEST(MemoryBudget, ClosesAClientThatReadsNoResponse) {
  std::vector<ConnectionLoad> Loads{
      {.m_Id = 1,
       .m_Listener = Callers,
       .m_Bytes = 10,
       .m_Since = at(1000),
       .m_Responding = true},
      {.m_Id = 2, .m_Listener = Callers, .m_Bytes = 10, .m_Since = at(0)}};
  EXPECT_TRUE(connectionsToClose(Loads, options(), at(1099)).empty());
  EXPECT_EQ(connectionsToClose(Loads, options(), at(1100)),
            (std::vector<ClosedConnection>{{1, Callers, CloseCause::Timeout}}));
}

// Whatever the connections hold: the rest fits the budget unless only handled
// requests are left.
TEST(MemoryBudget, RestFitsForAnyLoad) {
  std::mt19937 Random(8);
  for (int Round = 0; Round < 500; ++Round) {
    std::vector<ConnectionLoad> Loads(Random() % 20);
    for (std::size_t I = 0; I < Loads.size(); ++I)
      Loads[I] = {.m_Id = I,
                  .m_Listener = Random() % 2,
                  .m_Bytes = Random() % 500,
                  .m_Handling = Random() % 4 == 0};
    auto Closed = connectionsToClose(Loads, options(), at(0));
    std::size_t Held = 0;
    std::size_t HeldByCallers = 0;
    bool MoreToClose = false;
    bool MoreCallersToClose = false;
    for (const ConnectionLoad &Each : Loads) {
      bool IsClosed = std::any_of(Closed.begin(), Closed.end(),
                                  [&](const ClosedConnection &Other) {
                                    return Other.m_Id == Each.m_Id;
                                  });
      ASSERT_FALSE(IsClosed && Each.m_Handling);
      if (IsClosed)
        continue;
      bool MayClose = !Each.m_Handling && Each.m_Bytes > 0;
      Held += Each.m_Bytes;
      MoreToClose |= MayClose;
      HeldByCallers += Each.m_Listener == Callers ? Each.m_Bytes : 0;
      MoreCallersToClose |= MayClose && Each.m_Listener == Callers;
    }
    EXPECT_TRUE(Held <= 1000 || !MoreToClose);
    EXPECT_TRUE(HeldByCallers <= 750 || !MoreCallersToClose);
  }
}
