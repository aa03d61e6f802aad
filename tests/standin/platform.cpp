// A stand-in for the users' platform, without faults of its own: targets that
// fetch their orders, an operator, and callers that follow their jobs. Counts
// from what they saw what was lost or done twice.
#include "standin/manifest_operator.h"
#include "standin/queue_callers.h"

#include <csignal>
#include <iostream>
#include <sstream>

using namespace fireflydrift;
using namespace fireflydrift::standin;

static constexpr const char *Key = "key";

static std::vector<ControlAddress> readControls(const std::string &Hosts,
                                                std::uint16_t Port) {
  std::vector<ControlAddress> Controls;
  std::istringstream Stream(Hosts);
  std::string Host;
  while (std::getline(Stream, Host, ','))
    Controls.push_back({.m_Host = Host, .m_Port = Port, .m_NamesItself = Host});
  return Controls;
}

// Usage: standin_platform CONTROL_HOSTS CONTROL_PORT ENTRY_HOST ENTRY_PORT JOBS
int main(int Count, char **Words) {
  constexpr int WordCount = 6;
  if (Count != WordCount)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<ControlAddress> Controls =
      readControls(Words[1], static_cast<std::uint16_t>(std::stoi(Words[2])));
  Endpoint Entry{.m_Host = Words[3],
                 .m_Port = static_cast<std::uint16_t>(std::stoi(Words[4]))};
  auto Jobs = static_cast<std::size_t>(std::stoi(Words[5]));

  runtime::Loop On;
  Books Seen;
  // The script that reads this kills the leader.
  Workers Targets(On, Seen, {.m_Controls = Controls},
                  [](const std::string &Host) {
                    std::cout << "leader " << Host << std::endl;
                  });
  ManifestOperator Operator(On, Seen,
                            {.m_Controls = Controls,
                             .m_QueueHost = Entry.m_Host,
                             .m_LastingKey = Key});
  QueueCallers Callers(On, Seen,
                       {.m_Entries = {Entry},
                        .m_Jobs = Jobs,
                        .m_CancelPercent = 0,
                        .m_Key = Key});
  constexpr core::Duration Turn{20};
  constexpr core::Duration GivesUpAfter{120000};
  core::Time End = On.now() + GivesUpAfter;
  bool SaidHalf = false;
  Operator.change(On.now());
  On.run([&] {
    core::Time Now = On.now();
    Targets.turn(Now);
    Operator.turn(Now);
    if (Operator.hasBegun())
      Callers.turn(Now);
    if (Callers.completed() >= Jobs / 2 && !std::exchange(SaidHalf, true))
      std::cout << "half" << std::endl;
    if (Callers.isDone() || Now >= End)
      On.stop();
    return Turn;
  });

  Totals Sum = Seen.totals();
  for (const std::string &Each : Seen.broken())
    std::cout << "broken: " << Each << std::endl;
  std::cout << "platform: " << Sum.m_Accepted << " accepted, "
            << Sum.m_Completed << " completed, "
            << Sum.m_Accepted - Sum.m_Completed << " lost, "
            << Seen.broken().size() << " broken" << std::endl;
  bool Whole = Sum.m_Accepted == Jobs && Sum.m_Completed == Jobs;
  return Whole && Seen.broken().empty() ? 0 : 1;
}
