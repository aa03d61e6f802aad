#include "workspace/workspace.h"

#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::workspace;

static WorkspaceSpec spec() {
  return {
      .m_Id = core::WorkspaceId("plumes"),
      .m_Quota = 64,
      .m_MayBorrow = 16,
      .m_Guarantees = {{.m_Name = "rack",
                        .m_Shape = {.m_Tasks = 8, .m_PerTask = {8, 0, 0}}}}};
}

TEST(Workspace, AcceptsValidSpec) {
  auto Created = Workspace::create(spec());
  ASSERT_TRUE(Created);
  EXPECT_EQ(Created->guaranteedAccelerators(), 64);
}

TEST(Workspace, RejectsGuaranteesBeyondTheQuota) {
  WorkspaceSpec Spec = spec();
  Spec.m_Quota = 63;
  auto Created = Workspace::create(Spec);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.reason().m_Field, "quota");
}

TEST(Workspace, RejectsTwoGuaranteesOfOneName) {
  WorkspaceSpec Spec = spec();
  Spec.m_Quota = 200;
  Spec.m_Guarantees.push_back(Spec.m_Guarantees[0]);
  EXPECT_FALSE(Workspace::create(Spec));
}

TEST(Workspace, RejectsAGuaranteeWithMoreThanMaxGangTasks) {
  WorkspaceSpec Spec = spec();
  Spec.m_Quota = 2000;
  Spec.m_Guarantees[0].m_Shape.m_Tasks = core::MaxGangTasks + 1;
  EXPECT_FALSE(Workspace::create(Spec));
}

TEST(Workspace, ReportsTheQuotaStatus) {
  auto Created = Workspace::create(spec());
  ASSERT_TRUE(Created);
  EXPECT_EQ(Created->quotaStatus(60, 4), QuotaStatus::WithinQuota);
  EXPECT_EQ(Created->quotaStatus(60, 5), QuotaStatus::Borrowing);
  EXPECT_EQ(Created->quotaStatus(60, 21), QuotaStatus::Exceeded);
}
