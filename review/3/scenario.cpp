// A replica is replaced as planned; a few seconds later another one loses its
// disk. Exit 0 when what was acknowledged is still answered, 1 when it is not,
// 2 when the case could not run.
#include "../1/platform.h"

#include <algorithm>

using namespace review;

static constexpr long CatchUpMs = 4000;   // catchUpS
static constexpr long RecoveryMs = 12000; // recoveryS
static constexpr long FinishMs = 14000;   // finish_s

int main(int, char **Argv) {
  std::string Work = Argv[1];
  Record Log(Argv[2]);
  bool Trouble = troubleIsOn();
  Machines All(Work, Log);
  std::string Entry = All.entry(1);
  std::vector<std::string> Old{All.replica(1), All.replica(2), All.replica(3)};
  std::vector<std::string> New{All.replica(2), All.replica(3), All.replica(4)};
  for (const std::string &Host : Old)
    All.start(Host, true, true);
  All.start(Entry, false, true);
  if (!putManifest(Old, All.controlPort(), manifest(1), 20000, Log))
    return 2;
  std::vector<std::string> Controls = Old;
  Controls.push_back(All.replica(4));
  std::vector<std::unique_ptr<Worker>> Workers;
  for (int I = 1; I <= 2; ++I)
    Workers.push_back(std::make_unique<Worker>(
        Worker::Options{.m_Id = "i-" + std::to_string(I),
                        .m_Host = All.worker(I),
                        .m_Controls = Controls,
                        .m_ControlPort = All.controlPort()},
        Log));
  if (!submit({Entry}, All.frontendPort(), jobId(1), job(2, 1000), 10000, Log))
    return 2;

  // replace_core, planned: the new one first, then SIGTERM.
  All.start(All.replica(4), true, false);
  sleepMs(CatchUpMs + 2000);
  All.stop(All.replica(1));
  // The workers hear of the next leader.
  for (long Until = nowMs() + 2000;
       Workers.front()->told() == All.replica(1) && nowMs() < Until;)
    sleepMs(20);
  if (!submit({Entry}, All.frontendPort(), jobId(2), job(2, 1000), 10000,
              Log) ||
      !putManifest(New, All.controlPort(), manifest(2), 10000, Log))
    return 2;

  // The leader acknowledges one more manifest.
  std::string Leader = Workers.front()->told();
  if (std::find(New.begin(), New.end(), Leader) == New.end() ||
      !putManifest({Leader}, All.controlPort(), manifest(3), 2000, Log))
    return 2;
  // after_ack_wipe: it is dark for a second and comes back with an empty disk.
  if (Trouble) {
    All.kill(Leader);
    All.wipe(Leader);
    sleepMs(1000);
    All.start(Leader, true, false);
  }
  sleepMs(RecoveryMs);
  int Version = readManifest(New, All.controlPort(), FinishMs, Log);
  bool Known = true;
  for (int Number = 1; Number <= 2; ++Number) {
    int Status = 0;
    for (long Until = nowMs() + FinishMs; Status != 200 && nowMs() < Until;
         sleepMs(500))
      Status = consume("GET", Entry, All.frontendPort(), jobId(Number), "", Log)
                   .m_Status;
    Known = Known && Status == 200;
  }
  for (const std::string &Host : New)
    Log.line(Host + (All.runs(Host) ? " runs" : " does not run"));
  bool Broken = Version != 3 || !Known;
  Log.line(Broken ? "BROKEN: CONFIG, LOST" : "held");
  return Broken ? 1 : 0;
}
