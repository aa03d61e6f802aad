#include "runtime/counters.h"

namespace fireflydrift::runtime {

const std::map<std::string, std::string> &allMetrics() {
  static const std::map<std::string, std::string> Metrics{
      {"fireflydrift_commits_total", "Log entries committed and applied"},
      {"fireflydrift_configuration_version", "Configuration in force here"},
      {"fireflydrift_free_accelerators", "Accelerators free on active targets"},
      {"fireflydrift_held_requests", "Requests this VM holds for callers"},
      {"fireflydrift_jobs", "Jobs by outcome"},
      {"fireflydrift_jobs_accepted_total", "Requests accepted through this VM"},
      {"fireflydrift_journal_bytes_total", "Bytes written to the data folder"},
      {"fireflydrift_journal_syncs_total", "Syncs of the data folder"},
      {"fireflydrift_leader", "1 while this VM leads and holds its lease"},
      {"fireflydrift_link_bytes_in_total", "Bytes received from a VM"},
      {"fireflydrift_link_bytes_out_total", "Bytes sent to a VM"},
      {"fireflydrift_link_dropped_total", "Messages to a VM that were dropped"},
      {"fireflydrift_link_silent_total",
       "Connections to a VM given up because they went silent"},
      {"fireflydrift_log_entries", "Log entries in memory"},
      {"fireflydrift_missing_guarantees", "Guarantees that can't be assembled"},
      {"fireflydrift_operations_total", "Operations decided as leader"},
      {"fireflydrift_placements_total", "Placement decisions by verdict"},
      {"fireflydrift_reports_total", "Reports of targets that fetch orders"},
      {"fireflydrift_requests_refused_total", "Requests refused by reason"},
      {"fireflydrift_retries_total", "Operations sent to a leader again"},
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
  return Out;
}

void Counters::add(const std::string &Name, std::uint64_t More,
                   const std::string &Label) {
  m_Values[Name][Label] += More;
}

void Counters::set(const std::string &Name, std::uint64_t Value,
                   const std::string &Label) {
  m_Values[Name][Label] = Value;
}

} // namespace fireflydrift::runtime
