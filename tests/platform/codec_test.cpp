#include "platform/codec.h"

#include <gtest/gtest.h>
#include <random>

using namespace fireflydrift;
using namespace fireflydrift::platform;

static const std::string ReportBody =
    R"({"service":"pool","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,)"
    R"("memoryLimitMb":32768,"gpu":8},"labels":["a","r1-3"],"born":1700,)"
    R"("sequence":4,"running":[["5c0e.0.1.17",2,"0bb8",41,0]],)"
    R"("ended":[[58,"5c0e.0.1.9",1,"lapsed",""]]})";

static const std::string Manifest =
    R"({"version":7,"routes":[{"name":"q","host":"h.example",)"
    R"("pathPrefix":"/p/","kind":"non_idempotent","timeoutMs":3000,)"
    R"("targetLatencyMs":4000,"priority":2,"service":"pool","maxAttempts":4,)"
    R"("slackFactor":1.5,"public":false}],"services":[{"name":"pool"}],)"
    R"("limits":{},"tenants":[{"name":"w","apiKeys":["k1","k2"],)"
    R"("guaranteedGpus":{"gpu":72}}]})";

static std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  auto At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

TEST(PlatformCodec, ReadsAJob) {
  auto Job = decodeJob(
      R"({"spec":"text","new":1,"steps":[{"count":4,"cpu":500,"gpu":2,)"
      R"("memoryLimitMb":256,"estimatedMs":900,"gangScheduled":true,)"
      R"("rackAffinity":true,"antiAffinity":2},)"
      R"({"count":1,"dependencies":[0],"checkpointing":true}]})");
  ASSERT_TRUE(Job) << core::toString(Job.reason());
  ASSERT_EQ(Job->m_Steps.size(), 2U);
  EXPECT_EQ(Job->m_Body, "text");
  EXPECT_EQ(Job->m_Steps[0].m_PerTask, (core::Capacity{2, 500, 256}));
  EXPECT_TRUE(Job->m_Steps[0].m_Gang && Job->m_Steps[0].m_RackAffinity);
  EXPECT_EQ(Job->m_Steps[0].m_MaxPerTarget, 2U);
  EXPECT_EQ(Job->m_Steps[1].m_Dependencies, std::vector<std::uint32_t>{0});
}

TEST(PlatformCodec, RejectsUnsupportedFeatures) {
  auto Job = decodeJob(R"({"steps":[{"count":1}],"repetitions":3})");
  ASSERT_FALSE(Job);
  EXPECT_EQ(Job.reason().m_Code, core::ReasonCode::Overloaded);
}

TEST(PlatformCodec, ReadsAReport) {
  auto Report = decodeReport("i-1", ReportBody);
  ASSERT_TRUE(Report) << core::toString(Report.reason());
  EXPECT_EQ(Report->m_Incarnation, 1700U);
  EXPECT_EQ(Report->m_Rack, "r1-3");
  ASSERT_EQ(Report->m_Running.size(), 1U);
  EXPECT_EQ(Report->m_Running[0].m_Task,
            (workflow::TaskKey{core::RequestId("5c0e"), 1, 17}));
  ASSERT_EQ(Report->m_Ended.size(), 1U);
  EXPECT_EQ(Report->m_Ended[0].m_Cause, roster::EndCause::LeaseExpired);
}

TEST(PlatformCodec, RejectsMalformedReports) {
  for (const auto &[From, To] : std::map<std::string, std::string>{
           {R"("born":1700,)", ""},
           {R"("sequence":4)", R"("sequence":"4")"},
           {R"("ready")", R"("sleeping")"},
           {R"("labels":["a","r1-3"])", R"("labels":"a")"},
           {R"(["5c0e.0.1.17",2,"0bb8",41,0])", R"(["5c0e.0.1.17",2])"},
           {R"("lapsed")", R"("vanished")"},
           {R"("gpu":8)", R"("gpu":-8)"},
           {R"("born":1700)", R"("born":1e400)"},
           {R"("born":1700)", R"("born":18446744073709551616)"},
           {R"("born":1700)", R"("born":-1)"},
           {R"("sequence":4)", R"("sequence":4.5)"}})
    EXPECT_FALSE(decodeReport("i-1", replaced(ReportBody, From, To))) << From;
  EXPECT_FALSE(decodeReport("i-1", "\xff\xfe{"));
}

// Numbers above 32 bits were cut: run 4294967296 became run 0.
TEST(PlatformCodec, DoesNotCutNumbers) {
  EXPECT_FALSE(decodeReport(
      "i-1", replaced(ReportBody, R"(17",2,)", R"(17",4294967296,)")));
  EXPECT_FALSE(decodeReport(
      "i-1", replaced(ReportBody, R"(9",1,)", R"(9",4294967297,)")));
  auto Report = decodeReport(
      "i-1", replaced(ReportBody, R"("0bb8",41)", R"("0bb8",1e300)"));
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->m_Running[0].m_Percent, 100);
  EXPECT_FALSE(decodeJob(
      R"({"steps":[{"count":1},{"count":1,"dependencies":[4294967296]}]})"));
}

// A few bytes for each level must not take memory for a tree of any depth.
TEST(PlatformCodec, RejectsDeepNesting) {
  constexpr std::size_t Depth = 500000;
  std::string Deep = std::string(Depth, '[') + std::string(Depth, ']');
  std::string Field = R"("x":)" + Deep + ",";
  EXPECT_FALSE(decodeReport("i-1", "{" + Field + ReportBody.substr(1)));
  EXPECT_FALSE(decodeManifest("{" + Field + Manifest.substr(1)));
  EXPECT_FALSE(decodeJob("{" + Field + R"("steps":[{"count":1}]})"));
  EXPECT_FALSE(decodeJob(Deep));
}

TEST(PlatformCodec, ReadsAManifestAndKeepsItsText) {
  auto Read = decodeManifest(Manifest);
  ASSERT_TRUE(Read) << core::toString(Read.reason());
  EXPECT_EQ(Read->m_Version, 7U);
  EXPECT_EQ(Read->m_Document, Manifest);
  ASSERT_EQ(Read->m_Queues.size(), 1U);
  EXPECT_EQ(Read->m_Queues[0].m_SlackPercent, 150U);
  EXPECT_EQ(Read->m_Workspaces.at(0).m_ReservedAccelerators, 72);
  EXPECT_EQ(Read->m_Workspaces.at(0).m_Keys.size(), 2U);
}

TEST(PlatformCodec, RefusesInvalidManifests) {
  for (const auto &[From, To] : std::map<std::string, std::string>{
           {R"("timeoutMs":3000)", R"("timeoutMs":0)"},
           {R"("service":"pool")", R"("service":"other")"},
           {R"("version":7)", R"("version":0)"},
           {R"("services":[{"name":"pool"}],)", ""},
           {R"("host":"h.example",)", ""}})
    EXPECT_FALSE(decodeManifest(replaced(Manifest, From, To))) << From;
  EXPECT_FALSE(decodeManifest(Manifest.substr(0, Manifest.size() / 2)));
}

TEST(PlatformCodec, WritesOrders) {
  roster::Orders Value{
      .m_FencingToken = 3,
      .m_Lease = core::Duration(6000),
      .m_AcknowledgedThrough = 58,
      .m_Starts = {{{core::RequestId("5c0e"), 1, 18}, 1, "text", ""}},
      .m_Stops = {{{core::RequestId("5c0e"), 1, 17}, 2}}};
  EXPECT_EQ(encodeOrders(Value, "10.0.0.1:80"),
            R"({"ackedThrough":58,"fencingToken":3,)"
            R"("heartbeatAddress":"10.0.0.1:80","holdMs":6000,)"
            R"("start":[["5c0e.0.1.18",1,"text",""]],)"
            R"("stop":[["5c0e.0.1.17",2]]})");
}

TEST(PlatformCodec, OrdersWithoutLeaseCarryOnlyTheAddress) {
  EXPECT_EQ(encodeOrders(roster::Orders{.m_FencingToken = 3}, "a:1"),
            R"({"heartbeatAddress":"a:1"})");
}

// ---- Fuzzing ---------------------------------------------------------------

static const std::string JobBody =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"gpu":2,)"
    R"("memoryLimitMb":256,"estimatedMs":900,"gangScheduled":true,)"
    R"("rackAffinity":true,"antiAffinity":2,"remoteFactor":3},)"
    R"({"count":1,"dependencies":[0],"checkpointing":true,)"
    R"("requirements":"a","dataRack":"r1-3","longRunning":false}]})";

// Values that another writer may leave in place of any other.
static const std::vector<std::string> OddValues{
    "null",
    "true",
    "-1",
    "0",
    "1e400",
    "1e300",
    "-0.0",
    "\"\"",
    "[]",
    "{}",
    "[[]]",
    "\"\\u0000\"",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "\"999.1.1.1:99999\"",
    "[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]"};

// Replaces one value of the text, found by the colon before it.
static void replaceValue(std::string &Text, std::minstd_rand &Random) {
  auto Colon = Text.find(':', Random() % Text.size());
  if (Colon == std::string::npos)
    return;
  auto End = Text.find_first_of(",}]", Colon);
  Text.replace(Colon + 1, End == std::string::npos ? End : End - Colon - 1,
               OddValues[Random() % OddValues.size()]);
}

static std::string mutated(std::string Text, int Round,
                           std::minstd_rand &Random) {
  for (int Edits = 0; Edits < 1 + Round % 3; ++Edits)
    switch (Random() % 4) {
    case 0:
      Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
      break;
    case 1:
      Text.insert(Random() % Text.size(), Text, Random() % Text.size(),
                  Random() % 40);
      break;
    case 2:
      Text.resize(Text.size() - Random() % 3);
      break;
    default:
      replaceValue(Text, Random);
      break;
    }
  return Text;
}

// Corrupted bodies must be decoded or rejected, never crash a decoder, and what
// is decoded must keep its bounds.
TEST(PlatformCodec, HandlesCorruptedBodies) {
  std::minstd_rand Random(7);
  constexpr int Rounds = 6000;
  int Accepted = 0;
  for (const std::string &Original : {ReportBody, Manifest, JobBody})
    for (int I = 0; I < Rounds; ++I) {
      std::string Text = mutated(Original, I, Random);
      if (auto Report = decodeReport("i-1", Text)) {
        ++Accepted;
        for (const roster::RunningTask &Each : Report->m_Running)
          EXPECT_TRUE(Each.m_Percent >= 0 && Each.m_Percent <= 100) << Text;
      }
      Accepted += decodeManifest(Text) ? 1 : 0;
      Accepted += decodeJob(Text) ? 1 : 0;
      (void)decodeLeaveIncarnation(Text);
    }
  EXPECT_GT(Accepted, 1000);
}
