#include "messages/json.h"

#include "messages/trace.h"

#include <gtest/gtest.h>
#include <random>

using namespace fireflydrift;
using namespace fireflydrift::messages;

static const char *GoodJob =
    R"({"workspace":"w","id":"r1","tasks":4,"per_task":{"accelerators":2,)"
    R"("processors":1,"memory_mb":64,"run_time_ms":500},"adjacent":true,)"
    R"("idempotent":false,"selector":"site=a","labels":{"kind":"report"},)"
    R"("body":"hello"})";

TEST(Json, ReadsAJob) {
  auto Spec = decodeJobSpec(GoodJob);
  ASSERT_TRUE(Spec) << core::toString(Spec.reason());
  EXPECT_EQ(Spec->m_Shape.m_Tasks, 4U);
  EXPECT_EQ(Spec->m_Shape.m_PerTask.m_Accelerators, 2);
  EXPECT_EQ(Spec->m_Shape.m_Adjacency, core::Adjacency::Required);
  EXPECT_EQ(Spec->m_RunTime, core::Duration(500));
  EXPECT_FALSE(Spec->m_Idempotent);
  EXPECT_EQ(decodeJobSpec(encodeJobSpec(*Spec)), Spec);
}

TEST(Json, ReadsTheFlatShorthand) {
  auto Spec = decodeJobSpec(
      R"({"workspace":"w","id":"r","accelerators":1,"run_time_ms":9})");
  ASSERT_TRUE(Spec);
  EXPECT_EQ(Spec->m_Shape.m_PerTask.m_Accelerators, 1);
  EXPECT_EQ(Spec->m_RunTime, core::Duration(9));
}

TEST(Json, ReportsFieldAndRuleOfError) {
  struct Case {
    const char *m_Text;
    const char *m_Field;
  };
  for (const Case &Each : std::vector<Case>{
           {"{", ""},
           {"[]", ""},
           {R"({"id":"r"})", "workspace"},
           {R"({"workspace":"w","id":"r","tasks":65,"accelerators":1})",
            "tasks"},
           {R"({"workspace":"w","id":"r","tasks":-1,"accelerators":1})",
            "tasks"},
           {R"({"workspace":"w","id":"r","tasks":1.5,"accelerators":1})",
            "tasks"},
           {R"({"workspace":"w","id":"r","per_task":{"accelerators":"2"}})",
            "per_task.accelerators"},
           {R"({"workspace":"w","id":"r","accelerators":1,"selector":"="})",
            "selector"},
           {R"({"workspace":"w","id":"r","accelerators":1,"labels":{"a":1}})",
            "labels"},
           {R"({"workspace":"w","id":"r","accelerators":1,"taks":2})", "taks"},
           {R"({"workspace":"w/x","id":"r","accelerators":1})", "workspace"},
           {R"({"workspace":"w","id":"r"})", "per_task"},
           {R"({"workspace":"w","id":"r","accelerators":1,"adjacent":"x"})",
            "adjacent"}}) {
    auto Spec = decodeJobSpec(Each.m_Text);
    ASSERT_FALSE(Spec) << Each.m_Text;
    EXPECT_EQ(Spec.reason().m_Field, Each.m_Field) << Each.m_Text;
    EXPECT_FALSE(Spec.reason().m_Message.empty());
  }
}

TEST(Json, ReadsConfigurationAndReportsErrorPath) {
  auto Good = decodeProposal(
      R"({"operation":"o","replaces":3,"workspaces":[{"id":"w","quota":8,)"
      R"("guarantees":[{"name":"g","tasks":1,"per_task":{"accelerators":8}}]}]})");
  ASSERT_TRUE(Good) << core::toString(Good.reason());
  EXPECT_EQ(Good->m_Replaces, 3U);
  auto Bad = decodeProposal(
      R"({"operation":"o","workspaces":[{"id":"w","quota":"8"}]})");
  ASSERT_FALSE(Bad);
  EXPECT_EQ(Bad.reason().m_Field, "workspaces[0].quota");
}

TEST(Json, RoundTripsCallsAndReports) {
  control::Call Call{
      .m_Verb = control::Verb::Start,
      .m_Target = core::TargetId("t"),
      .m_Lease = {{core::WorkspaceId("w"), core::RequestId("r")}, 3, 9},
      .m_Tasks = {0, 2},
      .m_PerTask = {1, 2, 3},
      .m_LeaseLength = core::Duration(10),
      .m_Body = "b"};
  auto Back = decodeCall(encodeCall(Call));
  ASSERT_TRUE(Back);
  EXPECT_EQ(Back->m_Lease, Call.m_Lease);
  EXPECT_EQ(Back->m_Tasks, Call.m_Tasks);
  EXPECT_EQ(Back->m_Body, Call.m_Body);
  TargetReport Original{.m_Incarnation = 4,
                        .m_Results = {{.m_Job = Call.m_Lease.m_Job,
                                       .m_Attempt = 1,
                                       .m_Task = 2,
                                       .m_Answer = "a"}}};
  EXPECT_EQ(*decodeReport(encodeReport(Original)), Original);
  EXPECT_EQ(decodeCallOutcome("garbage"), control::CallOutcome::NoAnswer);
}

TEST(Json, RefusalIsNotRunAndUncertainFailureIsUnknown) {
  EXPECT_NE(encodeReply(control::Failure{{core::ReasonCode::Conflict, "", ""}})
                .find(R"("outcome":"not_run")"),
            std::string::npos);
  EXPECT_NE(
      encodeReply(control::Failure{{core::ReasonCode::Unavailable, "", ""}})
          .find(R"("outcome":"unknown")"),
      std::string::npos);
}

TEST(Json, HidesPartialAnswers) {
  control::JobView View{.m_Phase = job::Phase::Running, .m_Answers = {"half"}};
  EXPECT_EQ(encodeReply(View).find("half"), std::string::npos);
}

// Corrupted text must make every decoder return a value or a reason, never
// crash.
TEST(Json, DecodersHandleCorruptedInput) {
  std::minstd_rand Random(23);
  const std::string Alphabet = "{}[]\",:0123456789truefalsn\\u-.eE \x01\xff";
  int Refused = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Text = GoodJob;
    for (unsigned Edits = 1 + Random() % 4; Edits > 0; --Edits) {
      std::size_t At = Random() % Text.size();
      char New = Alphabet[Random() % Alphabet.size()];
      if (Random() % 3 == 0)
        Text.erase(At, 1 + Random() % 5);
      else if (Random() % 2 == 0)
        Text.insert(At, 1, New);
      else
        Text[At] = New;
      if (Text.empty())
        Text = "{";
    }
    auto Spec = decodeJobSpec(Text);
    Refused += Spec ? 0 : 1;
    if (Spec) {
      EXPECT_EQ(job::check(*Spec).m_Code, core::ReasonCode::None);
    }
    (void)decodeProposal(Text);
    (void)decodeAnnouncement(Text);
    (void)decodeReport(Text);
    (void)decodeCall(Text);
    (void)decodeTrace(Text);
  }
  EXPECT_GT(Refused, 5000);
  // Fields of another type made the decoder throw.
  const std::string Trace =
      R"({"configuration":{},"expect":{},"name":"n","targets":[{"site":"s"}],)"
      R"("events":[{"submit":{"id":"x"},"count":2},{"cancel":{"id":"x"}},)"
      R"({"lose":"t0"}]})";
  for (const auto &[From, To] : std::map<std::string, std::string>{
           {R"("name":"n")", R"("name":7)"},
           {R"([{"site":"s"}])", "[7]"},
           {R"([{"site":"s"}])", R"([{"site":7}])"},
           {R"({"id":"x"},"count")", R"({"id":7},"count")"},
           {R"("cancel":{"id":"x"})", R"("cancel":{"id":7})"},
           {R"("cancel":{"id":"x"})", R"("cancel":7)"},
           {R"("lose":"t0")", R"("lose":7)"},
           {R"({"submit":{"id":"x"},)", R"({"submit":7,)"}}) {
    std::string Text = Trace;
    Text.replace(Text.find(From), From.size(), To);
    EXPECT_FALSE(decodeTrace(Text)) << Text;
  }
  std::string Deep(100000, '[');
  EXPECT_FALSE(decodeJobSpec(Deep));
}
