// A stand-in for the users' platform: targets that poll for orders, an
// operator, callers that poll their jobs, and a foreign writer beside the
// targets. Counts accepted jobs that did not complete as lost, and reports
// every violated guarantee, such as a task that ran twice.
#include "standin/foreign_writer.h"
#include "standin/manifest_operator.h"
#include "standin/queue_callers.h"

#include <csignal>
#include <iostream>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::standin;

static constexpr const char *Key = "key";

static std::vector<ControlAddress> parseControls(const std::string &Hosts,
                                                 std::uint16_t Port) {
  std::vector<ControlAddress> Controls;
  std::istringstream Stream(Hosts);
  std::string Host;
  while (std::getline(Stream, Host, ','))
    Controls.push_back(
        {.m_Host = Host, .m_Port = Port, .m_AdvertisedHost = Host});
  return Controls;
}

// Usage: standin_platform CONTROL_HOSTS CONTROL_PORT ENTRY_HOST ENTRY_PORT JOBS
int main(int Argc, char **Argv) {
  constexpr int ArgCount = 6;
  if (Argc != ArgCount)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<ControlAddress> Controls =
      parseControls(Argv[1], static_cast<std::uint16_t>(std::stoi(Argv[2])));
  Endpoint Entry{.m_Host = Argv[3],
                 .m_Port = static_cast<std::uint16_t>(std::stoi(Argv[4]))};
  auto Jobs = static_cast<std::size_t>(std::stoi(Argv[5]));

  runtime::Loop EventLoop;
  HistoryChecker Checker;
  // tools/platform reads the "leader" line to kill the leader.
  Workers Targets(EventLoop, Checker, {.m_ControlAddresses = Controls},
                  [](const std::string &Host) {
                    std::cout << "leader " << Host << std::endl;
                  });
  ManifestOperator Operator(EventLoop, Checker,
                            {.m_ControlAddresses = Controls,
                             .m_QueueHost = Entry.m_Host,
                             .m_PermanentKey = Key});
  QueueCallers Callers(EventLoop, Checker,
                       {.m_Entries = {Entry},
                        .m_Jobs = Jobs,
                        .m_CancelPercent = 0,
                        .m_Key = Key});
  ForeignWriter Foreign(EventLoop, {.m_ControlAddresses = Controls,
                                    .m_Targets = Targets.count()});
  constexpr core::Duration TickInterval{20};
  constexpr core::Duration Timeout{120000};
  core::Time End = EventLoop.now() + Timeout;
  Foreign.writeUntil(End);
  bool ReportedHalf = false;
  Operator.sendNext(EventLoop.now());
  EventLoop.run([&] {
    core::Time Now = EventLoop.now();
    Targets.tick(Now);
    Foreign.tick(Now);
    Operator.tick(Now);
    if (Operator.isConfigured())
      Callers.tick(Now);
    if (Callers.ended() >= Jobs / 2 && !std::exchange(ReportedHalf, true))
      std::cout << "half" << std::endl;
    if (Callers.isDone() || Now >= End)
      EventLoop.stop();
    return TickInterval;
  });

  Totals Sum = Checker.totals();
  if (Foreign.wronglyAccepted() > 0)
    Checker.recordViolation("foreign",
                            std::to_string(Foreign.wronglyAccepted()) +
                                " invalid reports were accepted",
                            EventLoop.now());
  for (const std::string &Each : Checker.violations())
    std::cout << "broken: " << Each << std::endl;
  std::cout << "platform: " << Sum.m_Accepted << " accepted, "
            << Sum.m_Completed << " completed, "
            << Sum.m_Accepted - Sum.m_Completed << " lost, "
            << Checker.violations().size() << " broken, " << Foreign.sent()
            << " foreign messages" << std::endl;
  bool AllCompleted = Sum.m_Accepted == Jobs && Sum.m_Completed == Jobs;
  return AllCompleted && Checker.violations().empty() ? 0 : 1;
}
