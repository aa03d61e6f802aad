// A tenant's urgent job within its guaranteed accelerators, while a lasting job
// of another tenant uses them. See claim.txt.
#include "harness.h"

using namespace review;

static constexpr const char *FirstKey = "key-of-tenant-one-0001";
static constexpr const char *SecondKey = "key-of-tenant-two-0002";
static constexpr int Workers = 4;
static constexpr int GpusPerWorker = 8;
static constexpr int Guaranteed = 16;
static constexpr std::int64_t ReclaimMs = 5700;

static const QueueOptions Urgent{
    .m_Name = "r-urgent", .m_Prefix = "/urgent/", .m_Priority = 0};
static const QueueOptions Low{
    .m_Name = "r-low", .m_Prefix = "/low/", .m_Priority = 2};

int main(int, char **Argv) {
  openRecord(Argv[1]);
  Deployment System({});
  System.start();
  System.waitUntilReady();
  if (!putManifest(System.controlAddresses(),
                   manifest(7, {Urgent, Low},
                            {{.m_Name = "one",
                              .m_Keys = {FirstKey},
                              .m_GuaranteedGpus = Guaranteed},
                             {.m_Name = "two", .m_Keys = {SecondKey}}})))
    cannotRun("the manifest was not acknowledged");
  Fleet Servers(System.controlAddresses());
  for (int I = 0; I < Workers; ++I)
    Servers.addWorker({.m_Id = "i-00" + std::to_string(I),
                       .m_Host = System.hostFor(21 + I)});
  bool Reported = waitFor(
      [&] {
        for (int I = 0; I < Workers; ++I)
          if (!Servers.hasReported("i-00" + std::to_string(I)))
            return false;
        return true;
      },
      10000);
  if (!Reported)
    cannotRun("the workers did not register");
  sleepMs(2000);
  std::string Entry = System.entryAddress(0);

  // A lasting job of the other tenant. With trouble it takes all accelerators,
  // otherwise those that are not guaranteed.
  int All = Workers * GpusPerWorker;
  JobOptions Lasting{.m_Id = jobId(1),
                     .m_Step = {.m_Count = hasTrouble() ? All : All - Guaranteed,
                                .m_EstimatedMs = 1000,
                                .m_LongRunning = true}};
  Servers.add(Lasting);
  if (submit(Entry, Low.m_Prefix, SecondKey, Lasting) != 200 ||
      !waitFor(
          [&] {
            return Servers.running(Lasting.m_Id) == Lasting.m_Step.m_Count;
          },
          10000))
    cannotRun("the lasting job did not start");
  record("the lasting job of tenant two uses " +
         std::to_string(Servers.usedGpus()) + " of " + std::to_string(All) +
         " accelerators");
  sleepMs(5000);

  // The guaranteed tenant's only job.
  JobOptions Wanted{.m_Id = jobId(2),
                    .m_WorkMs = 2000,
                    .m_Step = {.m_Count = 4,
                               .m_Gpus = 2,
                               .m_EstimatedMs = 2000}};
  Servers.add(Wanted);
  if (submit(Entry, Urgent.m_Prefix, FirstKey, Wanted) != 200)
    cannotRun("the urgent job was not accepted");
  std::int64_t AcceptedAt = nowMs();
  bool InTime = waitFor(
      [&] { return Servers.starts(Wanted.m_Id) >= Wanted.m_Step.m_Count; },
      ReclaimMs);
  record("the urgent job of tenant one, with " +
         std::to_string(Wanted.m_Step.m_Count * Wanted.m_Step.m_Gpus) +
         " of its " + std::to_string(Guaranteed) +
         " guaranteed accelerators, has begun " +
         std::to_string(Servers.starts(Wanted.m_Id)) + " of its " +
         std::to_string(Wanted.m_Step.m_Count) + " subtasks " +
         std::to_string(nowMs() - AcceptedAt) + " ms after its ack");
  if (!InTime) {
    record("BROKEN RECLAIM: not all subtasks have begun after reclaimMs");
    sleepMs(30000);
    record("30 s later it has begun " +
           std::to_string(Servers.starts(Wanted.m_Id)) + "; its state is " +
           stateOf(Entry, Urgent.m_Prefix, FirstKey, Wanted.m_Id));
  }
  Servers.stop();
  return InTime ? ExitHeld : ExitBroken;
}
