// Runs the fault soak test for one seed: starts real server processes, injects
// faults from outside and checks what callers, targets and operators observe
// against the system's guarantees. Prints one summary line and every violation.
// Exits with 0 only if there is no violation.
#include "soak/system.h"
#include "standin/foreign_writer.h"
#include "standin/manifest_operator.h"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace fireflydrift;
using namespace fireflydrift::soak;

namespace {

constexpr const char *PermanentKey = "key-lasting";
// Time after the end of all faults within which every accepted job must have an
// outcome and every manifest must be acknowledged or, if invalid, refused.
constexpr core::Duration RecoveryTimeout{90000};
constexpr core::Duration StopTimeout{30000};
constexpr core::Duration ConfigurationTimeout{30000};

class Soak {
public:
  Soak(runtime::Loop &EventLoop, const SystemOptions &Options)
      : m_Loop(EventLoop), m_System(EventLoop, Options, m_Checker),
        m_Workers(EventLoop, m_Checker,
                  {.m_ControlAddresses = m_System.controlAddresses(),
                   .m_Count = TargetCount},
                  [](const std::string &) {}),
        m_Foreign(EventLoop, {.m_ControlAddresses = m_System.controlAddresses(),
                              .m_Targets = TargetCount}),
        m_Operator(EventLoop, m_Checker,
                   {.m_ControlAddresses = m_System.controlAddresses(),
                    .m_QueueHost = m_System.entries().front().m_Host,
                    .m_PermanentKey = PermanentKey}),
        m_Callers(EventLoop, m_Checker,
                  {.m_Entries = m_System.entries(),
                   .m_Jobs = 90,
                   .m_Seed = Options.m_Seed,
                   .m_Key = PermanentKey}),
        m_PlanOptions{.m_Seed = Options.m_Seed,
                      .m_Vms = m_System.vms(),
                      .m_Targets = TargetCount},
        m_Plan(makePlan(m_PlanOptions)) {}

  // Advances the test. Returns how long the event loop may wait for events;
  // stops the loop at the end of the run.
  core::Duration tick() {
    core::Time Now = m_Loop.now();
    bool HasQueuedData = m_System.tick(Now);
    m_Workers.tick(Now);
    m_Foreign.tick(Now);
    m_Operator.tick(Now);
    switch (m_Stage) {
    case Stage::Configuring:
      awaitConfiguration(Now);
      break;
    case Stage::InjectingFaults:
      m_Callers.tick(Now);
      injectFaults(Now);
      break;
    case Stage::Recovering:
      m_Callers.tick(Now);
      awaitRecovery(Now);
      break;
    case Stage::Stopping:
      if (m_System.isStopped() || Now >= m_StageAt + StopTimeout)
        finish(Now);
      break;
    }
    constexpr core::Duration BusyInterval{2};
    constexpr core::Duration IdleInterval{10};
    return HasQueuedData ? BusyInterval : IdleInterval;
  }

  void start() {
    m_StageAt = m_Loop.now();
    m_System.start();
    m_Operator.sendNext(m_StageAt);
  }

  // Prints the summary and the violations. Returns true if there are none.
  [[nodiscard]] bool print() const {
    standin::Totals Sum = m_Checker.totals();
    std::cout << "soak: seed " << m_PlanOptions.m_Seed << ": " << Sum.m_Accepted
              << " accepted, " << Sum.m_Completed << " completed, "
              << Sum.m_Cancelled << " cancelled, " << Sum.m_Failed
              << " failed, " << Sum.m_Refused << " refused, "
              << m_Callers.unknown() << " unknown; " << Sum.m_Starts
              << " starts, " << Sum.m_LeaseExpired << " lapsed, "
              << Sum.m_GangIncomplete << " alone; "
              << m_Checker.violations().size() << " broken" << std::endl;
    for (const std::string &Each : m_Checker.violations())
      std::cout << "broken: " << Each << std::endl;
    return m_Checker.violations().empty();
  }

  // Writes each fault with its planned start time, to correlate with the
  // servers' logs.
  void writePlan(const std::string &FileName) const {
    std::ofstream File(FileName);
    for (const Fault &Each : m_Plan)
      File << core::toMs(m_FaultsStartedAt + Each.m_At) << " "
           << toString(Each.m_Kind) << " " << Each.m_Victim << " for "
           << Each.m_Duration.count() << " ms\n";
  }

private:
  enum class Stage : std::uint8_t {
    Configuring,
    InjectingFaults,
    Recovering,
    Stopping
  };
  static constexpr int TargetCount = 6;

  void enter(Stage Next, core::Time Now) {
    m_Stage = Next;
    m_StageAt = Now;
  }

  void awaitConfiguration(core::Time Now) {
    if (Now >= m_StageAt + ConfigurationTimeout) {
      m_Checker.recordViolation(
          "configuration", "the first manifest was not acknowledged in time",
          Now);
      return finish(Now);
    }
    if (!m_Operator.isConfigured())
      return;
    m_FaultsStartedAt = Now;
    enter(Stage::InjectingFaults, Now);
  }

  void injectFaults(core::Time Now) {
    while (m_NextFault < m_Plan.size() &&
           Now >= m_StageAt + m_Plan[m_NextFault].m_At)
      inject(m_Plan[m_NextFault++], Now);
    if (Now < m_StageAt + m_PlanOptions.m_Length)
      return;
    m_System.endAllFaults(Now);
    m_Callers.stop();
    enter(Stage::Recovering, Now);
  }

  void inject(const Fault &Value, core::Time Now) {
    core::Time End = Now + Value.m_Duration;
    switch (Value.m_Kind) {
    case FaultKind::TargetCrash:
      return m_Workers.crash(Value.m_Victim, Now);
    case FaultKind::TargetPartition:
      return m_Workers.partitionUntil(Value.m_Victim, End);
    case FaultKind::TaskFailures:
      return m_Workers.failUntil(Value.m_Victim, End);
    case FaultKind::ForeignReports:
      return m_Foreign.writeUntil(End);
    case FaultKind::NewManifest:
      return m_Operator.sendNext(Now);
    case FaultKind::ConflictingManifests:
      return m_Operator.sendConflicting(Now);
    case FaultKind::InvalidManifest:
      return m_Operator.sendInvalid(Now);
    case FaultKind::AddKey:
      return m_Callers.useKey(m_Operator.addKey(Now));
    case FaultKind::RevokeKey:
      return m_Operator.revokeKey(Now);
    default:
      return m_System.apply(Value, Now);
    }
  }

  void awaitRecovery(core::Time Now) {
    bool Late = Now >= m_StageAt + RecoveryTimeout;
    if (!Late && !(m_Callers.isDone() && m_Operator.hasNonePending()))
      return;
    for (const std::string &Id : m_Checker.openJobs())
      m_Checker.recordViolation("lost", Id + " was accepted and has no outcome",
                                Now);
    if (!m_Operator.hasNonePending())
      m_Checker.recordViolation(
          "configuration", "a manifest was neither acknowledged nor refused",
          Now);
    if (m_Foreign.wronglyAccepted() > 0)
      m_Checker.recordViolation("foreign", "an invalid report was accepted",
                                Now);
    m_System.stop();
    enter(Stage::Stopping, Now);
  }

  void finish(core::Time Now) {
    if (!m_System.isStopped() && m_Stage == Stage::Stopping)
      m_Checker.recordViolation("shutdown",
                                "a server process did not exit in time", Now);
    m_Loop.stop();
  }

  runtime::Loop &m_Loop;
  standin::HistoryChecker m_Checker;
  System m_System;
  standin::Workers m_Workers;
  standin::ForeignWriter m_Foreign;
  standin::ManifestOperator m_Operator;
  standin::QueueCallers m_Callers;
  PlanOptions m_PlanOptions;
  std::vector<Fault> m_Plan;
  std::size_t m_NextFault = 0;
  Stage m_Stage = Stage::Configuring;
  core::Time m_StageAt;
  core::Time m_FaultsStartedAt;
};

} // namespace

// Usage: soak PROGRAM SHIM FOLDER SEED
int main(int Argc, char **Argv) {
  constexpr int ArgCount = 5;
  if (Argc != ArgCount)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  runtime::Loop EventLoop;
  Soak Run(EventLoop, {.m_Program = Argv[1],
                       .m_Shim = Argv[2],
                       .m_Folder = Argv[3],
                       .m_Seed = std::stoull(Argv[4])});
  Run.start();
  EventLoop.run([&] { return Run.tick(); });
  Run.writePlan(std::string(Argv[3]) + "/plan");
  return Run.print() ? 0 : 1;
}
