// A channel between an entry and the leader goes silent just after a request
// has passed through it that is then refused. See claim.txt.
#include "harness.h"

#include <algorithm>

using namespace review;

static constexpr const char *FirstKey = "key-of-tenant-one-0001";
static constexpr const char *SecondKey = "key-of-tenant-two-0002";

static const QueueOptions Normal{.m_Name = "r-normal", .m_Prefix = "/normal/"};

int main(int, char **Argv) {
  openRecord(Argv[1]);
  Deployment System({.m_RelayEntriesToReplicas = true});
  System.start();
  System.waitUntilReady();
  std::vector<TenantOptions> Tenants{{.m_Name = "one", .m_Keys = {FirstKey}}};
  if (!putManifest(System.controlAddresses(), manifest(7, {Normal}, Tenants)))
    cannotRun("the manifest was not acknowledged");
  Fleet Servers(System.controlAddresses());
  Servers.addWorker({.m_Id = "i-000", .m_Host = System.hostFor(21)});
  if (!waitFor([&] { return Servers.hasReported("i-000"); }, 10000))
    cannotRun("the worker did not register");
  sleepMs(2000);
  std::string Entry = System.entryAddress(0);

  // An ordinary job runs.
  JobOptions Ordinary{.m_Id = jobId(1), .m_WorkMs = 500};
  Servers.add(Ordinary);
  if (submit(Entry, Normal.m_Prefix, FirstKey, Ordinary) != 200 ||
      !waitFor([&] { return Servers.starts(Ordinary.m_Id) == 1; }, 5000))
    cannotRun("an ordinary job did not run");
  sleepMs(1500);

  // A tenant uses its key before the manifest that adds it: its job is refused,
  // and it doesn't send the job again.
  JobOptions Early{.m_Id = jobId(2), .m_WorkMs = 500};
  Servers.add(Early);
  if (hasTrouble())
    for (auto &Each : System.relays())
      Each->silenceAfter(Early.m_Id);
  int Status = submit(Entry, Normal.m_Prefix, SecondKey, Early, 1);
  if (Status != 401)
    cannotRun("the early job was not refused with 401");
  if (hasTrouble() &&
      std::none_of(System.relays().begin(), System.relays().end(),
                   [](const auto &Each) { return Each->isSilent(); }))
    cannotRun("no channel has gone silent");

  // The manifest adds the key.
  Tenants.push_back({.m_Name = "two", .m_Keys = {SecondKey}});
  if (!putManifest(System.controlAddresses(), manifest(8, {Normal}, Tenants)))
    cannotRun("the second manifest was not acknowledged");
  sleepMs(8000);
  std::string State = stateOf(Entry, Normal.m_Prefix, SecondKey, Early.m_Id);
  int Starts = Servers.starts(Early.m_Id);
  record("the refused job " + Early.m_Id + " has " + std::to_string(Starts) +
         " starts; its state is " + State);
  if (Starts > 0)
    record("BROKEN REFUSED: its only attempt was rejected with 401, and its "
           "subtask has started");
  Servers.stop();
  return Starts > 0 ? ExitBroken : ExitHeld;
}
