// A channel between an entry and the leader goes silent just after a request
// with a revoked key has passed through it. See claim.txt.
#include "harness.h"

#include <algorithm>

using namespace review;

static constexpr const char *FirstKey = "key-of-tenant-one-0001";
static constexpr const char *SecondKey = "key-of-tenant-two-0002";

static constexpr std::int64_t RevocationMs = 5000;

static const QueueOptions Normal{.m_Name = "r-normal", .m_Prefix = "/normal/"};

int main(int, char **Argv) {
  openRecord(Argv[1]);
  Deployment System({.m_RelayEntriesToReplicas = true});
  System.start();
  System.waitUntilReady();
  const std::vector<TenantOptions> Both{
      {.m_Name = "one", .m_Keys = {FirstKey}},
      {.m_Name = "two", .m_Keys = {SecondKey}}};
  const std::vector<TenantOptions> WithoutKey{
      {.m_Name = "one", .m_Keys = {FirstKey}}, {.m_Name = "two"}};
  if (!putManifest(System.controlAddresses(), manifest(7, {Normal}, Both)))
    cannotRun("the manifest was not acknowledged");
  Fleet Servers(System.controlAddresses());
  Servers.addWorker({.m_Id = "i-000", .m_Host = System.hostFor(21)});
  if (!waitFor([&] { return Servers.hasReported("i-000"); }, 10000))
    cannotRun("the worker did not register");
  sleepMs(2000);
  std::string Entry = System.entryAddress(0);

  // A job of the second tenant runs.
  JobOptions Ordinary{.m_Id = jobId(1), .m_WorkMs = 500};
  Servers.add(Ordinary);
  if (submit(Entry, Normal.m_Prefix, SecondKey, Ordinary) != 200 ||
      !waitFor([&] { return Servers.starts(Ordinary.m_Id) == 1; }, 5000))
    cannotRun("an ordinary job did not run");

  // The tenant's key is taken away, and the tenant goes on using it.
  if (!putManifest(System.controlAddresses(),
                   manifest(8, {Normal}, WithoutKey)))
    cannotRun("the second manifest was not acknowledged");
  sleepMs(RevocationMs + 500);
  JobOptions Refused{.m_Id = jobId(2), .m_WorkMs = 500};
  Servers.add(Refused);
  if (hasTrouble())
    for (auto &Each : System.relays())
      Each->silenceAfter(Refused.m_Id);
  int Status = submit(Entry, Normal.m_Prefix, SecondKey, Refused, 1);
  if (Status != 401)
    cannotRun("the job was not refused with 401");
  if (hasTrouble() &&
      std::none_of(System.relays().begin(), System.relays().end(),
                   [](const auto &Each) { return Each->isSilent(); }))
    cannotRun("no channel has gone silent");

  // The next manifest gives the key back.
  if (!putManifest(System.controlAddresses(), manifest(9, {Normal}, Both)))
    cannotRun("the third manifest was not acknowledged");
  sleepMs(8000);
  std::string State = stateOf(Entry, Normal.m_Prefix, SecondKey, Refused.m_Id);
  int Starts = Servers.starts(Refused.m_Id);
  record("the refused job " + Refused.m_Id + " has " + std::to_string(Starts) +
         " starts; its state is " + State);
  if (Starts > 0)
    record("BROKEN REFUSED, CONFIG: its only attempt was sent over "
           "revocationMs after the ack of the manifest that took its key away "
           "and was rejected with 401, and its subtask has started");
  Servers.stop();
  return Starts > 0 ? ExitBroken : ExitHeld;
}
