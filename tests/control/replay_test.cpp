// Every recorded trace must meet its expectations, and each replay of it must
// give the same result.
#include "control/replay.h"
#include "messages/trace.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace fireflydrift;

namespace {

std::vector<std::string> traceFiles() {
  std::vector<std::string> Names;
  for (const auto &Each : std::filesystem::directory_iterator(
           std::string(FIREFLYDRIFT_SOURCE) + "/traces"))
    if (Each.path().extension() == ".json" &&
        Each.path().stem() != "demo-configuration")
      Names.push_back(Each.path().stem());
  std::sort(Names.begin(), Names.end());
  return Names;
}

control::Trace readTrace(const std::string &Name) {
  std::ifstream Stream(std::string(FIREFLYDRIFT_SOURCE) + "/traces/" + Name +
                       ".json");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  auto Decoded = messages::decodeTrace(Text.str());
  EXPECT_TRUE(Decoded) << core::toString(Decoded.reason());
  return Decoded ? *Decoded : control::Trace();
}

class Traces : public testing::TestWithParam<std::string> {};

} // namespace

TEST_P(Traces, MeetTheirExpectations) {
  control::Trace Trace = readTrace(GetParam());
  ASSERT_FALSE(Trace.m_Expectations.empty());
  control::ReplayResult Result = control::replay(Trace, {});
  for (const std::string &Line : control::unmetExpectations(Trace, Result))
    ADD_FAILURE() << Line;
}

TEST_P(Traces, ReplayTheSameEachTime) {
  control::Trace Trace = readTrace(GetParam());
  EXPECT_EQ(control::replay(Trace, {}), control::replay(Trace, {}));
}

INSTANTIATE_TEST_SUITE_P(Recorded, Traces, testing::ValuesIn(traceFiles()),
                         [](const auto &Info) {
                           std::string Name = Info.param;
                           std::replace(Name.begin(), Name.end(), '-', '_');
                           return Name;
                         });
