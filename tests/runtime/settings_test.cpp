#include "runtime/settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static const std::string ValidText = "[vm]\n"
                                     "id = a\n"
                                     "[http]\n"
                                     "host = 127.0.0.1\n"
                                     "port = 7600\n"
                                     "[replica]\n"
                                     "data_folder = /var/lib/fireflydrift\n"
                                     "[vms]\n"
                                     "a = 127.0.0.1:7700 r1 d1 replica\n"
                                     "b = 127.0.0.1:7701 r1 d2 replica\n"
                                     "c = 127.0.0.1:7702 r2 d3 replica\n";

TEST(Settings, ParsesACompleteFile) {
  auto Values = parseSettings(ValidText, "x.ini");
  ASSERT_TRUE(Values) << core::toString(Values.reason());
  EXPECT_EQ(Values->m_Vms.size(), 3U);
  EXPECT_EQ(Values->m_Self.m_FailureDomain, "d1");
  EXPECT_TRUE(Values->m_Self.m_Replica);
}

TEST(Settings, ErrorsNameFileLineKeyAndRule) {
  struct Case {
    std::string m_Text;
    std::string m_Field;
  };
  for (const Case &Each : std::vector<Case>{
           {"[vm]\nid = a\nnoise = 1\n", "x.ini:3 vm.noise"},
           {"[http]\nport = 70000\n", "x.ini:2 http.port"},
           {"[http]\nport = 7\nport = 8\n", "x.ini:3 http.port"},
           {"[vms]\na = 127.0.0.1 r d replica\n", "x.ini:2 vms.a"},
           {"nonsense\n", "x.ini:1 "},
           {ValidText + "[entry]\nmax_held = many\n",
            "x.ini:13 entry.max_held"}}) {
    auto Values = parseSettings(Each.m_Text, "x.ini");
    ASSERT_FALSE(Values) << Each.m_Text;
    EXPECT_EQ(Values.reason().m_Field, Each.m_Field);
    EXPECT_FALSE(Values.reason().m_Message.empty());
  }
}

TEST(Settings, RejectsInvalidCombinations) {
  EXPECT_FALSE(parseSettings(ValidText + "[log]\nlevel = loud\n", "x"));
  std::string Clash = ValidText;
  Clash.replace(Clash.find("[vms]"), 0, "heartbeat_ms = 900\n");
  auto Values = parseSettings(Clash, "x");
  ASSERT_FALSE(Values);
  EXPECT_NE(Values.reason().m_Field.find("heartbeat_ms"), std::string::npos);
  std::string Copies = ValidText;
  Copies.replace(Copies.find("[vms]"), 0, "copies = 4\n");
  EXPECT_FALSE(parseSettings(Copies, "x"));
  std::string NoFolder = ValidText;
  NoFolder.erase(NoFolder.find("data_folder"),
                 std::string("data_folder = /var/lib/fireflydrift\n").size());
  EXPECT_FALSE(parseSettings(NoFolder, "x"));
}

TEST(Settings, RejectsUnsupportedOrderDelivery) {
  EXPECT_TRUE(
      parseSettings(ValidText + "[targets]\norders = heartbeat\n", "x"));
  EXPECT_TRUE(parseSettings(ValidText + "[targets]\norders =\n", "x"));
  auto Values = parseSettings(ValidText + "[targets]\norders = request\n", "x");
  ASSERT_FALSE(Values);
  EXPECT_EQ(Values.reason().m_Field, "x:13 targets.orders");
}

TEST(Settings, AreAllDocumented) {
  std::ifstream Stream(std::string(FIREFLYDRIFT_SOURCE) + "/docs/SETTINGS.md");
  std::ostringstream Page;
  Page << Stream.rdbuf();
  for (const SettingInfo &Each : allSettings()) {
    std::string Row = std::string("| ") + Each.m_Section + " | " + Each.m_Key +
                      " | " + Each.m_Help;
    EXPECT_NE(Page.str().find(Row), std::string::npos) << Row;
  }
}

static const std::string SeedsText = "[vm]\n"
                                     "id = 10.0.0.2\n"
                                     "region = r1\n"
                                     "failure_domain = d1\n"
                                     "[http]\n"
                                     "host = 10.0.0.2\n"
                                     "port = 7600\n"
                                     "[discovery]\n"
                                     "seeds = 10.0.0.1:8526,10.0.0.2:8526\n"
                                     "link_port = 7000\n"
                                     "first_start = false\n";

TEST(Settings, SeedsReplaceTheVmList) {
  auto Values = parseSettings(SeedsText, "x.ini");
  ASSERT_TRUE(Values) << core::toString(Values.reason());
  ASSERT_EQ(Values->m_Vms.size(), 2U);
  EXPECT_EQ(Values->m_Self.m_Host, "10.0.0.2");
  EXPECT_EQ(Values->m_Vms[1].m_Host, "10.0.0.1");
  EXPECT_EQ(Values->m_Vms[1].m_Port, 7000);
  EXPECT_FALSE(Values->m_MayBootstrap);
}

TEST(Settings, SeedsAndVmListAreMutuallyExclusive) {
  auto Values = parseSettings(
      SeedsText + "[vms]\n10.0.0.2 = 10.0.0.2:7000 r1 d1 replica\n", "x.ini");
  ASSERT_FALSE(Values);
  EXPECT_NE(core::toString(Values.reason()).find("mutually exclusive"),
            std::string::npos);
}

TEST(Settings, ReadsSecondsWithAFraction) {
  auto With = [](const std::string &Value) {
    return parseSettings(std::string(ValidText) +
                             "[targets]\ncheckpoint_interval_s = " + Value +
                             "\n",
                         "x");
  };
  auto Interval = [&](const char *Value) {
    auto Values = With(Value);
    EXPECT_TRUE(Values) << core::toString(Values.reason());
    return Values ? Values->m_Leader.m_Polling.m_CheckpointInterval
                  : core::Duration(0);
  };
  EXPECT_EQ(Interval("0.5"), core::Duration(500));
  EXPECT_EQ(Interval("2"), core::Duration(2000));
  EXPECT_EQ(Interval("0.0000001"), core::Duration(1));
  for (const char *Wrong :
       {"0", "-1", "nan", "inf", "1e300", "86401", "1s", ""})
    EXPECT_FALSE(With(Wrong)) << Wrong;
}

TEST(Settings, ReadsTheSchedulingPolicy) {
  auto With = [](const std::string &Value) {
    return parseSettings(
        std::string(ValidText) + "[scheduling]\npolicy = " + Value + "\n", "x");
  };
  auto ByCost = With("delay_cost");
  ASSERT_TRUE(ByCost);
  EXPECT_TRUE(ByCost->m_Leader.m_Polling.m_Pass.m_WeightLossByValue);
  auto ByStart = With("latest_start");
  ASSERT_TRUE(ByStart);
  EXPECT_EQ(ByStart->m_Leader.m_Polling.m_Pass, assignment::PassOptions());
  EXPECT_FALSE(With("fastest"));
}

TEST(Settings, OverridesGoBeforeTheFile) {
  std::string File =
      testing::TempDir() + "fd-settings-" + std::to_string(getpid()) + ".ini";
  std::ofstream(File) << ValidText + "[targets]\nstop_within_ms = 100\n";
  auto Values = readSettings(File, {"targets.stop_within_ms=200"});
  ASSERT_TRUE(Values) << core::toString(Values.reason());
  EXPECT_EQ(Values->m_Leader.m_Polling.m_StopWithin, core::Duration(200));
  // An environment may not know the value.
  Values = readSettings(File, {"targets.stop_within_ms="});
  ASSERT_TRUE(Values) << core::toString(Values.reason());
  EXPECT_EQ(Values->m_Leader.m_Polling.m_StopWithin, core::Duration(100));
  for (const char *Wrong : {"targets.stop_within_ms", "stop_within_ms=200", "",
                            "=", "targets.unknown=1",
                            "targets.unknown=", "vms.a=127.0.0.1:1 r d replica",
                            "targets.stop_within_ms=x", "a=b.c=d",
                            "targets.stop_within_ms=1\n[vm]\nid = b"})
    EXPECT_FALSE(readSettings(File, {Wrong})) << Wrong;
  std::remove(File.c_str());
}

// Guards against a budget with less room than one permitted request needs: each
// such request would be closed.
TEST(Settings, MemoryBudgetHasRoomForTheLargestRequest) {
  auto With = [](const std::string &Lines) {
    std::string Text = ValidText;
    Text.insert(Text.find("[replica]"), Lines);
    return parseSettings(Text, "x");
  };
  constexpr std::size_t MiB = std::size_t{1} << 20;
  auto Default = With("");
  ASSERT_TRUE(Default);
  EXPECT_GE(Default->m_Memory.m_MaxBytes, 16 * MiB);
  EXPECT_LE(Default->m_Memory.m_MaxBytes, 32 * MiB);
  EXPECT_EQ(Default->m_Memory.m_OperatorPercent, 25U);
  EXPECT_TRUE(With("max_buffered_bytes = 8388608\n"));
  auto Small = With("max_buffered_bytes = 4194304\n");
  ASSERT_FALSE(Small);
  EXPECT_EQ(Small.reason().m_Field, "x:6 http.max_buffered_bytes");
  EXPECT_TRUE(With("max_buffered_bytes = 4194304\nmax_body_bytes = 262144\n"));
  auto Raised = With("max_body_bytes = 16777216\n");
  ASSERT_TRUE(Raised);
  EXPECT_GE(routing::callersBudget(Raised->m_Memory), 64 * MiB);
  EXPECT_FALSE(With("operator_percent = 76\n"));
  EXPECT_FALSE(With("max_buffered_bytes = 1000\n"));
}
