#include "messages/timeline.h"

#include <gtest/gtest.h>

using namespace fireflydrift::messages;

static const std::string EntryLog =
    "2026-03-19T03:08:30.1 info FD2009 request_routed operation=5 "
    "kind=submit_workflow subject=/p/4a29 leader=10.1.0.1 try=1\n"
    "2026-03-19T03:08:31.0 info FD2008 request_refused method=GET "
    "path=/p/ffff reason=\"unauthorized: key: belongs to no workspace\"\n";
static const std::string LeaderLog =
    "  1.5 core-1 2026-03-19T03:08:30.9 info FD2015 run_ended task=4a29/0/0 "
    "run=2 cause=done target=i-2\n"
    "  1.2 core-1 2026-03-19T03:08:30.2 info FD2010 workflow_accepted id=4a29\n"
    "  1.3 core-1 2026-03-19T03:08:30.3 info FD2016 run_displaced "
    "task=4a29/0/0 run=1 for=77aa\n"
    "  1.6 core-1 2026-03-19T03:08:31.1 info FD2011 workflow_finished id=4a29 "
    "outcome=completed\n";

TEST(Timeline, MergesLogsByTimeAndReportsTheCause) {
  Timeline Found = buildTimeline("4a29", {EntryLog, LeaderLog});
  ASSERT_EQ(Found.m_Lines.size(), 5U);
  EXPECT_NE(Found.m_Lines[0].find("request_routed"), std::string::npos);
  EXPECT_NE(Found.m_Lines[4].find("workflow_finished"), std::string::npos);
  EXPECT_EQ(Found.m_Cause, "it ended as completed; it was preempted for 77aa");
}

TEST(Timeline, ReportsRefusalAsCause) {
  EXPECT_EQ(buildTimeline("ffff", {EntryLog, LeaderLog}).m_Cause,
            "it was refused: unauthorized: key: belongs to no workspace");
}

TEST(Timeline, ReportsUnknownId) {
  EXPECT_EQ(buildTimeline("0000", {EntryLog}).m_Cause,
            "no log line contains this id");
}
