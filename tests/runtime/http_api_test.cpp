// Tests the HTTP API of a single VM without sockets: requests go directly to
// HttpApi, and the test ticks the node itself.
#include "runtime/http_api.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;
namespace fs = std::filesystem;

namespace {

constexpr const char *Configuration =
    R"({"operation":"op1","replaces":0,"workspaces":[{"id":"w","quota":8}]})";
constexpr const char *Job =
    R"({"workspace":"w","id":"r1","tasks":2,"accelerators":1,"body":"x"})";

class HttpApiSingleVm : public testing::Test {
protected:
  void SetUp() override {
    m_Folder = fs::temp_directory_path() /
               ("fd-front-" + std::to_string(getpid()) + "-" +
                testing::UnitTest::GetInstance()->current_test_info()->name());
    fs::remove_all(m_Folder);
    start({});
  }
  void TearDown() override { fs::remove_all(m_Folder); }

  void start(const Tokens &ActiveTokens) {
    m_Api.reset();
    m_Node.reset();
    auto Values = parseSettings(
        "[vm]\nid = a\n[http]\nhost = 127.0.0.1\nport = 1\nmax_body_bytes = "
        "1024\n[replica]\ndata_folder = " +
            m_Folder.string() + "\n[vms]\na = 127.0.0.1:1 r d replica\n",
        "test");
    ASSERT_TRUE(Values) << core::toString(Values.reason());
    m_Node = std::make_unique<Node>(m_Loop, *Values);
    ASSERT_TRUE(m_Node->start());
    m_Api = std::make_unique<HttpApi>(*m_Node, ActiveTokens);
  }

  HttpResponse request(const std::string &Method, const std::string &Path,
                       const std::string &Body = "",
                       const std::string &Token = "") {
    std::optional<HttpResponse> Response;
    // Repeats the request while it gets a 503: a single VM becomes the leader
    // only after a few ticks, and no request depends on how many.
    for (int Tries = 0; Tries < 2000; ++Tries) {
      Response.reset();
      m_Api->handle({.m_Method = Method,
                     .m_Path = Path,
                     .m_Body = Body,
                     .m_Token = Token},
                    [&](HttpResponse Value) { Response = std::move(Value); });
      for (int Ticks = 0; Ticks < 10000 && !Response; ++Ticks) {
        (void)m_Node->tick();
        ::usleep(500);
      }
      if (!Response || Response->m_Status != 503 || !m_Node->isHealthy())
        break;
      (void)m_Node->tick();
      ::usleep(2000);
    }
    return Response ? *Response : HttpResponse{.m_Status = 0};
  }
  void configure() {
    EXPECT_EQ(request("PUT", "/v1/configuration", Configuration).m_Status, 200);
  }

  Loop m_Loop;
  fs::path m_Folder;
  std::unique_ptr<Node> m_Node;
  std::unique_ptr<HttpApi> m_Api;
};

bool contains(const HttpResponse &Value, const std::string &Text) {
  return Value.m_Body.find(Text) != std::string::npos;
}

} // namespace

TEST_F(HttpApiSingleVm, AcceptsFetchesAndCancels) {
  configure();
  HttpResponse Accepted = request("POST", "/v1/jobs", Job);
  EXPECT_EQ(Accepted.m_Status, 202);
  EXPECT_TRUE(contains(Accepted, R"("outcome":"queued")"));
  EXPECT_TRUE(
      contains(request("GET", "/v1/jobs/w/r1"), R"("outcome":"queued")"));
  HttpResponse Cancelled = request("DELETE", "/v1/jobs/w/r1");
  EXPECT_EQ(Cancelled.m_Status, 200);
  EXPECT_TRUE(contains(Cancelled, R"("outcome":"cancelled")"));
}

TEST_F(HttpApiSingleVm, AcceptedJobsSurviveRestart) {
  configure();
  EXPECT_EQ(request("POST", "/v1/jobs", Job).m_Status, 202);
  start({});
  EXPECT_TRUE(
      contains(request("GET", "/v1/jobs/w/r1"), R"("outcome":"queued")"));
  EXPECT_TRUE(contains(request("GET", "/v1/configuration"), R"("version":1)"));
}

TEST_F(HttpApiSingleVm, ResubmittedJobIsIdempotentAndChangedJobConflicts) {
  configure();
  EXPECT_EQ(request("POST", "/v1/jobs", Job).m_Status, 202);
  EXPECT_EQ(request("POST", "/v1/jobs", Job).m_Status, 202);
  HttpResponse Other = request(
      "POST", "/v1/jobs",
      R"({"workspace":"w","id":"r1","tasks":3,"accelerators":1,"body":"x"})");
  EXPECT_EQ(Other.m_Status, 409);
  EXPECT_TRUE(contains(Other, R"("field":"id")"));
}

TEST_F(HttpApiSingleVm, RejectsInvalidInputWithField) {
  configure();
  struct Case {
    const char *m_Method;
    const char *m_Path;
    std::string m_Body;
    int m_Status;
    const char *m_Field;
  };
  for (const Case &Each : std::vector<Case>{
           {"POST", "/v1/jobs", "{", 400, ""},
           {"POST", "/v1/jobs",
            R"({"workspace":"nobody","id":"r","accelerators":1})", 404,
            "workspace"},
           {"POST", "/v1/jobs",
            R"({"workspace":"w","id":"r","accelerators":1,"selector":"a b"})",
            400, "selector"},
           {"POST", "/v1/jobs",
            R"({"workspace":"w","id":"r","accelerators":1,"tasks":65})", 400,
            "tasks"},
           {"POST", "/v1/jobs", std::string(1025, ' '), 413, "body"},
           {"GET", "/v1/jobs/w/unknown", "", 404, "id"},
           {"GET", "/v1/nothing", "", 404, "path"},
           {"PUT", "/v1/configuration", R"({"operation":"x","replaces":7})",
            409, "replaces"}}) {
    HttpResponse Response = request(Each.m_Method, Each.m_Path, Each.m_Body);
    EXPECT_EQ(Response.m_Status, Each.m_Status) << Each.m_Path << Each.m_Body;
    EXPECT_TRUE(
        contains(Response, std::string(R"("field":")") + Each.m_Field + "\""))
        << Response.m_Body;
    EXPECT_TRUE(contains(Response, R"("outcome":"not_run")"))
        << Response.m_Body;
  }
  EXPECT_TRUE(m_Node->isHealthy());
}

TEST_F(HttpApiSingleVm, ResentProposalReturnsOriginalResult) {
  configure();
  HttpResponse Resent = request("PUT", "/v1/configuration", Configuration);
  EXPECT_EQ(Resent.m_Status, 200);
  EXPECT_TRUE(contains(Resent, R"("accepted_as":1)"));
}

TEST_F(HttpApiSingleVm, ChecksTokens) {
  std::ofstream(m_Folder.string() + ".operator") << "secret\n";
  std::ofstream(m_Folder.string() + ".workspaces") << "[tokens]\nw = mine\n";
  auto ActiveTokens =
      Tokens::read({.m_Operator = m_Folder.string() + ".operator",
                    .m_Workspaces = m_Folder.string() + ".workspaces"});
  fs::remove(m_Folder.string() + ".operator");
  fs::remove(m_Folder.string() + ".workspaces");
  ASSERT_TRUE(ActiveTokens);
  start(*ActiveTokens);
  EXPECT_EQ(request("PUT", "/v1/configuration", Configuration).m_Status, 401);
  EXPECT_EQ(
      request("PUT", "/v1/configuration", Configuration, "secret").m_Status,
      200);
  EXPECT_EQ(request("POST", "/v1/jobs", Job, "other").m_Status, 401);
  EXPECT_EQ(request("POST", "/v1/jobs", Job, "mine").m_Status, 202);
  EXPECT_EQ(request("GET", "/v1/jobs/w/r1", "", "").m_Status, 401);
}

TEST_F(HttpApiSingleVm, DrainingVmRejectsNewRequests) {
  configure();
  EXPECT_EQ(request("GET", "/v1/health").m_Status, 200);
  m_Node->drain(m_Node->now());
  EXPECT_EQ(request("GET", "/v1/health").m_Status, 503);
  EXPECT_EQ(request("POST", "/v1/jobs", Job).m_Status, 503);
  EXPECT_TRUE(m_Node->isDrained(m_Node->now()));
}

TEST_F(HttpApiSingleVm, UnplaceableJobEndsAsNotRun) {
  configure();
  EXPECT_EQ(request("POST", "/v1/targets",
                    R"({"id":"t1","host":"127.0.0.1","port":1,"region":"r",)"
                    R"("failure_domain":"d","rack":"k",)"
                    R"("capacity":{"accelerators":1}})")
                .m_Status,
            200);
  EXPECT_EQ(
      request("POST", "/v1/jobs",
              R"({"workspace":"w","id":"big","tasks":2,"accelerators":1})")
          .m_Status,
      202);
  HttpResponse Outcome;
  for (int I = 0; I < 100 && !contains(Outcome, "not_run"); ++I)
    Outcome = request("GET", "/v1/jobs/w/big");
  EXPECT_TRUE(contains(Outcome, R"("outcome":"not_run")")) << Outcome.m_Body;
  EXPECT_TRUE(contains(Outcome, "unplaceable")) << Outcome.m_Body;
}

TEST_F(HttpApiSingleVm, EvacuatesAndReopensAFailureDomain) {
  EXPECT_EQ(request("POST", "/v1/targets",
                    R"({"id":"t","host":"127.0.0.1","port":1,"incarnation":1,)"
                    R"("region":"r","failure_domain":"east","rack":"k",)"
                    R"("capacity":{"accelerators":1}})")
                .m_Status,
            200);
  const std::string Path = "/v1/evacuations/east";
  for (int Times = 0; Times < 2; ++Times) {
    HttpResponse Response = request("PUT", Path);
    EXPECT_EQ(Response.m_Status, 200) << Response.m_Body;
    EXPECT_TRUE(contains(Response, R"("evacuated":true)"));
  }
  EXPECT_TRUE(contains(request("GET", "/v1/status"),
                       R"("evacuated_domains":["east"])"));
  start({});
  EXPECT_TRUE(
      contains(request("GET", "/v1/evacuations"), R"("evacuated":true)"));
  EXPECT_EQ(request("DELETE", Path).m_Status, 200);
  EXPECT_TRUE(
      contains(request("GET", "/v1/evacuations"), R"("evacuated":false)"));
}

TEST_F(HttpApiSingleVm, RefusesInvalidEvacuations) {
  EXPECT_EQ(request("PUT", "/v1/evacuations/nowhere").m_Status, 404);
  EXPECT_EQ(request("PUT", "/v1/evacuations").m_Status, 404);
  EXPECT_EQ(request("POST", "/v1/evacuations/east").m_Status, 404);
  EXPECT_EQ(request("PUT", "/v1/evacuations/east", "{}").m_Status, 400);
  EXPECT_EQ(request("PUT", "/v1/evacuations/" + std::string(200, 'a')).m_Status,
            400);
  EXPECT_EQ(request("PUT", "/v1/evacuations/a%20b").m_Status, 400);
  EXPECT_TRUE(
      contains(request("GET", "/v1/evacuations"), R"("failure_domains":{})"));
}
