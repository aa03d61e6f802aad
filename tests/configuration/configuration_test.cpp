#include "configuration/configuration.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::configuration;

static Proposal proposal(const char *Operation, std::uint64_t Replaces) {
  return {.m_Operation = core::OperationId(Operation),
          .m_Replaces = Replaces,
          .m_Workspaces = {{.m_Id = core::WorkspaceId("w")}}};
}

TEST(Configuration, IncrementsTheVersion) {
  auto First = applyProposal(Configuration(), proposal("a", 0));
  ASSERT_TRUE(First);
  EXPECT_EQ(First->version(), 1U);
  EXPECT_NE(First->find(core::WorkspaceId("w")), nullptr);
}

TEST(Configuration, ConflictNamesTheWinningOperation) {
  auto First = applyProposal(Configuration(), proposal("a", 0));
  auto Second = applyProposal(*First, proposal("b", 0));
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.reason().m_Code, core::ReasonCode::Conflict);
  EXPECT_NE(Second.reason().m_Message.find("'a'"), std::string::npos);
}

TEST(Configuration, ResentProposalChangesNothing) {
  auto First = applyProposal(Configuration(), proposal("a", 0));
  auto Second = applyProposal(*First, proposal("b", 1));
  auto Resent = applyProposal(*Second, proposal("a", 0));
  ASSERT_TRUE(Resent);
  EXPECT_EQ(*Resent, *Second);
  EXPECT_EQ(Resent->acceptedAs(core::OperationId("a")), 1U);
}

TEST(Configuration, NamesTheInvalidWorkspace) {
  Proposal Value = proposal("a", 0);
  Value.m_Workspaces[0].m_Quota = -1;
  auto Next = applyProposal(Configuration(), Value);
  ASSERT_FALSE(Next);
  EXPECT_EQ(Next.reason().m_Field, "workspaces.w.quota");
}

TEST(Configuration, RetainsOnlyTheNewestOperations) {
  Configuration Value;
  for (std::size_t I = 0; I < MaxRetainedOperations + 5; ++I)
    Value =
        *applyProposal(Value, proposal(("op" + std::to_string(I)).c_str(), I));
  EXPECT_EQ(Value.fields().m_Accepted.size(), MaxRetainedOperations);
  EXPECT_FALSE(Value.acceptedAs(core::OperationId("op0")));
  EXPECT_TRUE(Value.acceptedAs(core::OperationId("op9")));
}
