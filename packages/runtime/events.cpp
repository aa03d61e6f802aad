#include "runtime/events.h"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <iostream>

namespace fireflydrift::runtime {

namespace logging = boost::log;
namespace expr = boost::log::expressions;

// ---- Catalogue -------------------------------------------------------------

const std::vector<EventInfo> &allEvents() {
  static const std::vector<EventInfo> Events{
      {Event::Started, Severity::Info, "started"},

      {Event::Stopping, Severity::Info, "stopping"},
      {Event::Stopped, Severity::Info, "stopped"},
      {Event::ListenFailed, Severity::Error, "listen_failed"},
      {Event::TokensReloaded, Severity::Info, "tokens_reloaded"},
      {Event::JobAccepted, Severity::Info, "job_accepted"},
      {Event::JobPlaced, Severity::Info, "job_placed"},
      {Event::JobWaiting, Severity::Info, "job_waiting"},
      {Event::JobRefused, Severity::Info, "job_refused"},
      {Event::JobReclaiming, Severity::Info, "job_reclaiming"},
      {Event::JobFinished, Severity::Info, "job_finished"},
      {Event::JobStopping, Severity::Info, "job_stopping"},
      {Event::RequestRefused, Severity::Info, "request_refused"},
      {Event::RequestRouted, Severity::Info, "request_routed"},
      {Event::WorkflowAccepted, Severity::Info, "workflow_accepted"},
      {Event::WorkflowFinished, Severity::Info, "workflow_finished"},
      {Event::TasksAssigned, Severity::Info, "tasks_assigned"},
      {Event::RunStarted, Severity::Info, "run_started"},
      {Event::RunStopping, Severity::Info, "run_stopping"},
      {Event::RunEnded, Severity::Info, "run_ended"},
      {Event::RunDisplaced, Severity::Info, "run_displaced"},
      {Event::TargetAnnounced, Severity::Info, "target_announced"},
      {Event::TargetLost, Severity::Warning, "target_lost"},
      {Event::TargetLeaving, Severity::Info, "target_leaving"},
      {Event::TargetQuarantined, Severity::Warning, "target_quarantined"},
      {Event::TargetCallFailed, Severity::Info, "target_call_failed"},
      {Event::TargetReporting, Severity::Info, "target_reporting"},
      {Event::TargetDraining, Severity::Info, "target_draining"},
      {Event::ReportStale, Severity::Info, "report_stale"},
      {Event::RoleChanged, Severity::Info, "role_changed"},
      {Event::ConfigurationInForce, Severity::Info, "configuration_in_force"},
      {Event::GuaranteeMissing, Severity::Warning, "guarantee_missing"},
      {Event::GuaranteeRestored, Severity::Info, "guarantee_restored"},
      {Event::SnapshotWritten, Severity::Info, "snapshot_written"},
      {Event::SnapshotInstalled, Severity::Info, "snapshot_installed"},
      {Event::RecoveredFromDisk, Severity::Info, "recovered_from_disk"},
      {Event::DiskFailed, Severity::Error, "disk_failed"},
      {Event::ConnectionSilent, Severity::Warning, "connection_silent"},
      {Event::VmLiveness, Severity::Warning, "vm_liveness"},
      {Event::MessageRefused, Severity::Warning, "message_refused"},
      {Event::ReplicasChanged, Severity::Info, "replicas_changed"},
  };
  return Events;
}

static const EventInfo &infoOf(Event Value) {
  const std::vector<EventInfo> &Events = allEvents();
  auto Found =
      std::find_if(Events.begin(), Events.end(), [&](const EventInfo &Each) {
        return Each.m_Event == Value;
      });
  return Found == Events.end() ? Events.front() : *Found;
}

// ---- Writing ---------------------------------------------------------------

// Found by Boost.Log when it prints the severity attribute.
std::ostream &operator<<(std::ostream &Stream, Severity Value) {
  static constexpr const char *Names[] = {"debug", "info", "warning", "error"};
  return Stream << Names[static_cast<std::size_t>(Value)];
}

BOOST_LOG_ATTRIBUTE_KEYWORD(SeverityOf, "Severity", Severity)

static boost::log::sources::severity_logger<Severity> &logger() {
  static boost::log::sources::severity_logger<Severity> Logger;
  return Logger;
}

core::Outcome<bool> openLog(const std::string &Level, const std::string &File) {
  static const std::vector<std::pair<std::string, Severity>> Levels{
      {"debug", Severity::Debug},
      {"info", Severity::Info},
      {"warning", Severity::Warning},
      {"error", Severity::Error}};
  auto Found =
      std::find_if(Levels.begin(), Levels.end(),
                   [&](const auto &Each) { return Each.first == Level; });
  if (Found == Levels.end())
    return core::Reason{core::ReasonCode::InvalidInput, "log.level",
                        "must be debug, info, warning or error"};
  auto Format = expr::stream
                << expr::format_date_time<boost::posix_time::ptime>(
                       "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                << ' ' << SeverityOf << ' ' << expr::smessage;
  logging::add_common_attributes();
  if (File.empty())
    logging::add_console_log(std::clog, logging::keywords::format = Format,
                             logging::keywords::auto_flush = true);
  else
    logging::add_file_log(logging::keywords::file_name = File,
                          logging::keywords::open_mode = std::ios::app,
                          logging::keywords::format = Format,
                          logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(SeverityOf >= Found->second);
  return true;
}

static std::string quoted(const std::string &Text) {
  bool Plain =
      !Text.empty() && Text.find_first_of(" \"\n\r\t=") == std::string::npos;
  if (Plain)
    return Text;
  std::string Quoted = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Quoted += '\\';
    Quoted += C == '\n' || C == '\r' ? ' ' : C;
  }
  return Quoted + "\"";
}

void logEvent(Event Value, const Fields &Details) {
  const EventInfo &Info = infoOf(Value);
  std::string Line =
      "FD" + std::to_string(static_cast<unsigned>(Value)) + " " + Info.m_Name;
  for (const auto &[Key, Text] : Details)
    Line += std::string(" ") + Key + "=" + quoted(Text);
  BOOST_LOG_SEV(logger(), Info.m_Severity) << Line;
}

} // namespace fireflydrift::runtime
