#include "runtime/events.h"

#include "runtime/counters.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

using namespace fireflydrift::runtime;

static std::string readPage(const char *Name) {
  std::ifstream Stream(std::string(FIREFLYDRIFT_SOURCE) + "/docs/" + Name);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

TEST(Events, AreAllDocumented) {
  std::string Page = readPage("EVENTS.md");
  std::size_t Rows = 0;
  for (std::size_t Offset = Page.find("\n| FD"); Offset != std::string::npos;
       Offset = Page.find("\n| FD", Offset + 1))
    ++Rows;
  EXPECT_EQ(Rows, allEvents().size());
  static const char *Severities[] = {"debug", "info", "warning", "error"};
  for (const EventInfo &Each : allEvents()) {
    std::string Row =
        "| FD" + std::to_string(static_cast<unsigned>(Each.m_Event)) + " | " +
        Each.m_Name + " | " +
        Severities[static_cast<std::size_t>(Each.m_Severity)] + " | ";
    EXPECT_NE(Page.find(Row), std::string::npos) << Row;
  }
}

TEST(Events, NumbersAreUniqueAndInOrder) {
  std::set<Event> Seen;
  for (const EventInfo &Each : allEvents()) {
    EXPECT_TRUE(Seen.empty() || *Seen.rbegin() < Each.m_Event);
    Seen.insert(Each.m_Event);
  }
}

static std::string rowOf(const std::string &Name, const std::string &Help) {
  return std::string("| ").append(Name).append(" | ").append(Help);
}

TEST(Counters, HistogramsAreDocumentedAndCumulative) {
  std::string Page = readPage("METRICS.md");
  Counters Values;
  // A value that equals a bound counts as within it.
  for (int Ms : {0, 5, 7, 700, 99999})
    Values.observe("fireflydrift_commit_ms", fireflydrift::core::Duration(Ms));
  std::string Text = Values.text();
  for (const auto &[Name, Help] : allHistograms())
    EXPECT_NE(Page.find(rowOf(Name, Help)), std::string::npos) << Name;
  for (const char *Line : {"fireflydrift_commit_ms_bucket{le=\"1\"} 1\n",
                           "fireflydrift_commit_ms_bucket{le=\"2\"} 1\n",
                           "fireflydrift_commit_ms_bucket{le=\"5\"} 2\n",
                           "fireflydrift_commit_ms_bucket{le=\"1000\"} 4\n",
                           "fireflydrift_commit_ms_bucket{le=\"+Inf\"} 5\n",
                           "fireflydrift_commit_ms_sum 100711\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line;
}

TEST(Counters, AreAllDocumentedAndPrinted) {
  std::string Page = readPage("METRICS.md");
  Counters Values;
  Values.add("fireflydrift_retries_total", 3);
  Values.set("fireflydrift_jobs", 2, "outcome=\"queued\"");
  std::string Text = Values.text();
  for (const auto &[Name, Help] : allMetrics()) {
    EXPECT_NE(Page.find(rowOf(Name, Help)), std::string::npos) << Name;
    EXPECT_NE(Text.find("\n" + Name), std::string::npos) << Name;
  }
  EXPECT_NE(Text.find("fireflydrift_retries_total 3\n"), std::string::npos);
  EXPECT_NE(Text.find("fireflydrift_jobs{outcome=\"queued\"} 2\n"),
            std::string::npos);
  EXPECT_EQ(Values.value("fireflydrift_retries_total"), 3U);
}
