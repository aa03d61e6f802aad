#include "runtime/counters.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <vector>

namespace fireflydrift::runtime {

namespace histogram = boost::histogram;

using Histogram =
    histogram::histogram<std::tuple<histogram::axis::variable<double>>,
                         histogram::unlimited_storage<>>;

// Bucket boundaries in milliseconds. The first is below every observation, the
// others are inclusive upper bounds.
static const std::vector<double> &bounds() {
  static const std::vector<double> Bounds{
      -1, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};
  return Bounds;
}

namespace {

// A histogram with the sum, in milliseconds, and the number of its
// observations.
struct HistogramData {
  Histogram m_Buckets{
      std::make_tuple(histogram::axis::variable<double>(bounds()))};
  std::uint64_t m_Sum = 0;
  std::uint64_t m_Count = 0;
};

} // namespace

struct Counters::Histograms {
  std::map<std::string, HistogramData> m_ByName;
};

Counters::Counters() : m_Histograms(std::make_unique<Histograms>()) {}
Counters::~Counters() = default;

const std::map<std::string, std::string> &allHistograms() {
  static const std::map<std::string, std::string> Metrics{
      {"fireflydrift_commit_ms", "Time from a proposal until it was applied"},
      {"fireflydrift_forward_ms",
       "Time from a caller's operation until its reply"},
      {"fireflydrift_report_held_ms",
       "Time for which a target's report waited for its answer"},
      {"fireflydrift_start_wait_ms",
       "Time from a workflow's acceptance to its first assignment"},
  };
  return Metrics;
}

const std::map<std::string, std::string> &allMetrics() {
  static const std::map<std::string, std::string> Metrics{
      {"fireflydrift_commits_total", "Log entries committed and applied"},
      {"fireflydrift_configuration_version",
       "Version of the configuration in force on this VM"},
      {"fireflydrift_evacuated_domains", "Failure domains that are evacuated"},
      {"fireflydrift_free_accelerators",
       "Accelerators free on active targets outside of evacuated failure "
       "domains"},
      {"fireflydrift_held_requests", "Requests this VM holds for callers"},
      {"fireflydrift_http_buffered_bytes",
       "Bytes that HTTP connections hold by listener"},
      {"fireflydrift_http_buffered_peak_bytes",
       "Most bytes that HTTP connections held at once"},
      {"fireflydrift_http_closed_total",
       "HTTP connections closed because they exceeded the memory budget or did "
       "not read a response, by listener and cause"},
      {"fireflydrift_jobs", "Jobs by outcome"},
      {"fireflydrift_jobs_accepted_total", "Requests accepted through this VM"},
      {"fireflydrift_journal_bytes_total", "Bytes written to the data folder"},
      {"fireflydrift_journal_syncs_total", "Syncs of the data folder"},
      {"fireflydrift_leader", "1 while this VM leads and holds its lease"},
      {"fireflydrift_link_bytes_in_total", "Bytes received from a VM"},
      {"fireflydrift_link_bytes_out_total", "Bytes sent to a VM"},
      {"fireflydrift_link_dropped_total", "Messages to a VM that were dropped"},
      {"fireflydrift_link_silent_total",
       "Connections to a VM closed because they had stalled"},
      {"fireflydrift_log_entries", "Log entries in memory"},
      {"fireflydrift_messages_refused_total",
       "Reports, frames and heartbeats refused as invalid or not credible"},
      {"fireflydrift_missing_guarantees", "Guarantees that can't be satisfied"},
      {"fireflydrift_operations_total", "Operations decided as leader"},
      {"fireflydrift_placements_total", "Placement decisions by verdict"},
      {"fireflydrift_reports_stale_total",
       "Reports that came later than a newer one or from an ended instance"},
      {"fireflydrift_reports_total", "Reports of targets that fetch orders"},
      {"fireflydrift_requests_refused_total", "Requests refused by reason"},
      {"fireflydrift_retries_total", "Operations sent to a leader again"},
      {"fireflydrift_runs_withdrawn_total",
       "Runs stopped to run elsewhere, by cause"},
      {"fireflydrift_starts_total", "Start orders given in answers to reports"},
      {"fireflydrift_stops_total", "Stop orders given in answers to reports"},
      {"fireflydrift_target_calls_total", "Calls to targets by outcome"},
      {"fireflydrift_term", "Term of the replicated log"},
  };
  return Metrics;
}

std::uint64_t Counters::value(const std::string &Name,
                              const std::string &Label) const {
  auto Found = m_Values.find(Name);
  if (Found == m_Values.end())
    return 0;
  auto Value = Found->second.find(Label);
  return Value == Found->second.end() ? 0 : Value->second;
}

// Buckets are cumulative, as the Prometheus text format requires.
static void addHistogram(std::string &Out, const std::string &Name,
                         const std::string &Help, const HistogramData &Value) {
  Out.append("# HELP ").append(Name).append(" ").append(Help);
  Out.append("\n# TYPE ").append(Name).append(" histogram\n");
  std::uint64_t Cumulative = 0;
  for (std::size_t I = 1; I < bounds().size(); ++I) {
    Cumulative += static_cast<std::uint64_t>(
        static_cast<double>(Value.m_Buckets.at(static_cast<int>(I) - 1)));
    Out.append(Name).append("_bucket{le=\"");
    Out.append(std::to_string(static_cast<std::uint64_t>(bounds()[I])));
    Out.append("\"} ").append(std::to_string(Cumulative)).append("\n");
  }
  std::string Count = std::to_string(Value.m_Count);
  Out.append(Name).append("_bucket{le=\"+Inf\"} ").append(Count);
  Out.append("\n").append(Name).append("_sum ");
  Out.append(std::to_string(Value.m_Sum)).append("\n");
  Out.append(Name).append("_count ").append(Count).append("\n");
}

std::string Counters::text() const {
  std::string Out;
  for (const auto &[Name, Help] : allMetrics()) {
    Out.append("# HELP ").append(Name).append(" ").append(Help);
    Out.append("\n# TYPE ").append(Name);
    Out.append(Name.ends_with("_total") ? " counter\n" : " gauge\n");
    auto Found = m_Values.find(Name);
    if (Found == m_Values.end()) {
      Out.append(Name).append(" 0\n");
      continue;
    }
    for (const auto &[Label, Value] : Found->second) {
      Out.append(Name);
      if (!Label.empty())
        Out.append("{").append(Label).append("}");
      Out.append(" ").append(std::to_string(Value)).append("\n");
    }
  }
  for (const auto &[Name, Help] : allHistograms())
    addHistogram(Out, Name, Help, m_Histograms->m_ByName[Name]);
  return Out;
}

void Counters::add(const std::string &Name, std::uint64_t Increment,
                   const std::string &Label) {
  m_Values[Name][Label] += Increment;
}

void Counters::observe(const std::string &Name, core::Duration Latency) {
  HistogramData &Data = m_Histograms->m_ByName[Name];
  auto Ms = static_cast<std::uint64_t>(
      std::max<core::Duration::rep>(Latency.count(), 0));
  // Upper bounds are exclusive in the library; observations are whole.
  constexpr double Half = 0.5;
  Data.m_Buckets(static_cast<double>(Ms) - Half);
  Data.m_Sum += Ms;
  ++Data.m_Count;
}

void Counters::set(const std::string &Name, std::uint64_t Value,
                   const std::string &Label) {
  m_Values[Name][Label] = Value;
}

} // namespace fireflydrift::runtime
