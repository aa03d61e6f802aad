#include "runtime/events.h"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace fireflydrift::runtime {

namespace logging = boost::log;
namespace expr = boost::log::expressions;

// ---- Event table -----------------------------------------------------------

const std::vector<EventInfo> &allEvents() {
  static const std::vector<EventInfo> Events{
      {Event::Started, Severity::Info, "started"},

      {Event::Stopping, Severity::Info, "stopping"},
      {Event::Stopped, Severity::Info, "stopped"},
      {Event::ListenFailed, Severity::Error, "listen_failed"},
      {Event::TokensReloaded, Severity::Info, "tokens_reloaded"},
      {Event::LinesLeftOut, Severity::Warning, "lines_left_out"},
      {Event::ClientsClosed, Severity::Warning, "clients_closed"},
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
      {Event::RunPreempted, Severity::Info, "run_displaced"},
      {Event::RunStalled, Severity::Info, "run_stalled"},
      {Event::RunWithdrawn, Severity::Info, "run_withdrawn"},
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
      {Event::DiskRecovered, Severity::Info, "disk_recovered"},
      {Event::DomainEvacuated, Severity::Info, "domain_evacuated"},
      {Event::DomainReopened, Severity::Info, "domain_reopened"},
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

// Boost.Log finds this by argument-dependent lookup when it prints the
// severity.
std::ostream &operator<<(std::ostream &Stream, Severity Value) {
  static constexpr const char *Names[] = {"debug", "info", "warning", "error"};
  return Stream << Names[static_cast<std::size_t>(Value)];
}

BOOST_LOG_ATTRIBUTE_KEYWORD(SeverityOf, "Severity", Severity)

namespace {

// Boost.Log sink backend that passes formatted lines to a LogWriter.
class WriterBackend : public logging::sinks::basic_formatted_sink_backend<
                          char, logging::sinks::synchronized_feeding> {
public:
  explicit WriterBackend(int File) : m_Writer(File) {}
  void consume(const logging::record_view &, const std::string &Line) {
    m_Writer.append(Line);
  }
  [[nodiscard]] LogWriter &writer() noexcept { return m_Writer; }

private:
  LogWriter m_Writer;
};

// The log of the process.
struct Log {
  boost::log::sources::severity_logger<Severity> m_Logger;
  boost::shared_ptr<WriterBackend> m_Backend;
  LogRateLimitOptions m_RateLimit;
  LogRateLimiter m_RateLimiter;
};

} // namespace

static Log &log() {
  static Log Value;
  return Value;
}

static core::Time wallTime() {
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

core::Outcome<bool> openLog(const LogOptions &Options) {
  static const std::vector<std::pair<std::string, Severity>> Levels{
      {"debug", Severity::Debug},
      {"info", Severity::Info},
      {"warning", Severity::Warning},
      {"error", Severity::Error}};
  auto Found =
      std::find_if(Levels.begin(), Levels.end(), [&](const auto &Each) {
        return Each.first == Options.m_Level;
      });
  if (Found == Levels.end())
    return core::Reason{core::ReasonCode::InvalidInput, "log.level",
                        "must be debug, info, warning or error"};
  int File = STDOUT_FILENO;
  if (!Options.m_File.empty())
    File = ::open(Options.m_File.c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File < 0)
    return core::Reason{core::ReasonCode::Io, "log.file", "can't be opened"};
  logging::add_common_attributes();
  log().m_RateLimit = Options.m_RateLimit;
  log().m_RateLimiter = makeLogRateLimiter(Options.m_RateLimit, wallTime());
  log().m_Backend = boost::make_shared<WriterBackend>(File);
  auto Sink =
      boost::make_shared<logging::sinks::synchronous_sink<WriterBackend>>(
          log().m_Backend);
  Sink->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << ' ' << SeverityOf << ' ' << expr::smessage);
  logging::core::get()->add_sink(Sink);
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

static void writeLine(const EventInfo &Info, const Fields &Details) {
  std::string Line = "FD" +
                     std::to_string(static_cast<unsigned>(Info.m_Event)) + " " +
                     Info.m_Name;
  for (const auto &[Key, Text] : Details)
    Line += std::string(" ") + Key + "=" + quoted(Text);
  BOOST_LOG_SEV(log().m_Logger, Info.m_Severity) << Line;
}

void logEvent(Event Value, const Fields &Details) {
  const EventInfo &Info = infoOf(Value);
  LogRateLimiter &Limiter = log().m_RateLimiter;
  if (log().m_Backend && Info.m_Severity != Severity::Error) {
    std::uint64_t Suppressed = Limiter.m_SuppressedLines;
    Limiter = chargeLine(Limiter, log().m_RateLimit, wallTime());
    if (Limiter.m_SuppressedLines > Suppressed)
      return;
  }
  if (std::uint64_t Suppressed = std::exchange(Limiter.m_SuppressedLines, 0);
      Suppressed > 0)
    writeLine(infoOf(Event::LinesLeftOut),
              {{"lines", std::to_string(Suppressed)}});
  writeLine(Info, Details);
  if (Info.m_Severity == Severity::Error)
    flushLog();
}

void flushLog() {
  if (log().m_Backend)
    log().m_Backend->writer().flush();
}

} // namespace fireflydrift::runtime
