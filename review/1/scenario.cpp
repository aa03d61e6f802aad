// An entry VM's process is killed while it holds calls, and started again. Exit
// 0 when every job that was accepted is known, 1 when an accepted job is
// unknown, 2 when the case could not run.
#include "platform.h"

using namespace review;

static constexpr long KillAfterMs = 4;
static constexpr int EarlyConsumers = 8;
static constexpr long VisibleMs = 3000; // visible_ms
static constexpr int Rounds = 25;
static constexpr int LateConsumers = 60;

static bool isReady(const Machines &All, const std::string &Entry) {
  return call({.m_Host = Entry,
               .m_Port = All.readinessPort(),
               .m_Path = "/-/readiness",
               .m_TimeoutMs = 500})
             .m_Status == 200;
}

int main(int, char **Argv) {
  std::string Work = Argv[1];
  Record Log(Argv[2]);
  bool Trouble = troubleIsOn();
  Machines All(Work, Log);
  std::string Entry = All.entry(1);
  std::string Other = All.entry(2);
  std::vector<std::string> Replicas{All.replica(1), All.replica(2),
                                    All.replica(3)};
  for (const std::string &Host : Replicas)
    All.start(Host, true, true);
  All.start(Other, false, true);
  if (!putManifest(Replicas, All.controlPort(), manifest(1), 20000, Log))
    return 2;
  Worker Target({.m_Id = "i-1",
                 .m_Host = All.worker(1),
                 .m_Controls = Replicas,
                 .m_ControlPort = All.controlPort(),
                 .m_Gpus = 64},
                Log);
  int Port = All.frontendPort();
  if (!submit({Other}, Port, jobId(1), job(1, 300), 10000, Log))
    return 2;
  int Lost = 0;
  int Accepted = 0;
  for (int Round = 1; Round <= Rounds && Lost == 0; ++Round) {
    Log.line("round " + std::to_string(Round));
    All.start(Entry, false, false);
    for (long Until = nowMs() + 5000; !isReady(All, Entry); sleepMs(5))
      if (nowMs() > Until)
        return 2;
    // Consumers hand jobs in, one after the other; after a broken channel,
    // again elsewhere.
    std::atomic<bool> Stop{false};
    std::vector<std::thread> Early;
    for (int I = 0; I < EarlyConsumers; ++I)
      Early.emplace_back([&, I] {
        for (int Number = 0; !Stop && Number < 100; ++Number) {
          std::string Id = jobId(1000000 + 10000 * Round + 100 * I + Number);
          if (consume("POST", Entry, Port, Id, job(1, 300), Log).m_Status != 0)
            continue;
          (void)submit({Other}, Port, Id, job(1, 300), 10000, Log);
          return;
        }
      });
    sleepMs(KillAfterMs);
    if (Trouble) {
      All.kill(Entry);
      All.start(Entry, false, false);
    }
    Stop = true;
    // Other consumers hand in jobs of 300 s.
    std::mutex Mutex;
    std::set<std::string> Acknowledged;
    std::vector<std::thread> Threads;
    for (int I = 0; I < LateConsumers; ++I)
      Threads.emplace_back([&, Id = jobId(100 * Round + I)] {
        Answer Got;
        for (long Until = nowMs() + 2000; Got.m_Status == 0 && nowMs() < Until;
             sleepMs(1))
          Got = consume("POST", Entry, Port, Id, job(1, 300000), Log, 3000);
        std::lock_guard Lock(Mutex);
        if (Got.m_Status == 200)
          Acknowledged.insert(Id);
      });
    for (std::thread &Each : Early)
      Each.join();
    for (std::thread &Each : Threads)
      Each.join();
    Accepted += static_cast<int>(Acknowledged.size());
    // The other entry VM was not touched.
    std::set<std::string> Unknown;
    for (const std::string &Id : Acknowledged)
      if (consume("GET", Other, Port, Id, "", Log).m_Status == 410)
        Unknown.insert(Id);
    if (!Unknown.empty())
      sleepMs(VisibleMs + 1000);
    for (const std::string &Id : Unknown)
      if (consume("GET", Other, Port, Id, "", Log).m_Status == 410) {
        Log.line(Id + " was accepted and is unknown");
        ++Lost;
      }
    All.kill(Entry);
    sleepMs(1000);
  }
  Log.line(std::to_string(Accepted) + " jobs accepted after the restarts, " +
           std::to_string(Lost) + " of them unknown");
  Log.line(Lost > 0 ? "BROKEN: LOST" : "held");
  return Lost > 0 ? 1 : 0;
}
