// Structured log events with stable numbers. docs/EVENTS.md lists them.
#ifndef FIREFLYDRIFT_RUNTIME_EVENTS_H
#define FIREFLYDRIFT_RUNTIME_EVENTS_H

#include "core/outcome.h"
#include "runtime/log_writer.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflydrift::runtime {

// The numbers are a stable interface: the meaning of a number never changes.
enum class Event : std::uint16_t {
  Started = 1001,

  Stopping = 1003,
  Stopped = 1004,
  ListenFailed = 1005,
  TokensReloaded = 1006,
  LinesLeftOut = 1007,
  ClientsClosed = 1008,
  JobAccepted = 2001,
  JobPlaced = 2002,
  JobWaiting = 2003,
  JobRefused = 2004,
  JobReclaiming = 2005,
  JobFinished = 2006,
  JobStopping = 2007,
  RequestRefused = 2008,
  RequestRouted = 2009,
  WorkflowAccepted = 2010,
  WorkflowFinished = 2011,
  TasksAssigned = 2012,
  RunStarted = 2013,
  RunStopping = 2014,
  RunEnded = 2015,
  RunPreempted = 2016,
  RunStalled = 2017,
  RunWithdrawn = 2018,
  TargetAnnounced = 3001,
  TargetLost = 3002,
  TargetLeaving = 3003,
  TargetQuarantined = 3004,
  TargetCallFailed = 3005,
  TargetReporting = 3006,
  TargetDraining = 3007,
  ReportStale = 3008,
  RoleChanged = 4001,
  ConfigurationInForce = 4002,
  GuaranteeMissing = 4003,
  GuaranteeRestored = 4004,
  SnapshotWritten = 4005,
  SnapshotInstalled = 4006,
  RecoveredFromDisk = 4007,
  DiskFailed = 4008,
  ConnectionSilent = 4009,
  VmLiveness = 4010,
  MessageRefused = 4011,
  ReplicasChanged = 4012,
  DiskRecovered = 4013,
  DomainEvacuated = 4014,
  DomainReopened = 4015,
};

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

// Severity and name of an event, as listed in docs/EVENTS.md.
struct EventInfo {
  Event m_Event;
  Severity m_Severity;
  const char *m_Name;
};

// All events, ordered by number.
[[nodiscard]] const std::vector<EventInfo> &allEvents();

using Fields = std::vector<std::pair<const char *, std::string>>;

struct LogOptions {
  std::string m_Level = "info";
  // Log file; empty for standard output.
  std::string m_File;
  LogRateLimitOptions m_RateLimit;

  friend bool operator==(const LogOptions &, const LogOptions &) = default;
};

// Opens the log. Fails with InvalidInput for an unknown level and with Io when
// the file can't be opened.
[[nodiscard]] core::Outcome<bool> openLog(const LogOptions &Options);

// Logs one line: time, severity, "FD" with the event number, event name and
// key=value fields. Lines above the rate limit are suppressed, and their number
// is logged before the next line. Errors are never suppressed.
void logEvent(Event Value, const Fields &Details);

// Writes the log lines that are still buffered; to be called after each
// iteration of the event loop. Errors are written at once without it.
void flushLog();

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_EVENTS_H
