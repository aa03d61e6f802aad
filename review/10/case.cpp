// Many urgent jobs that can't be done: do other jobs still start?
#include "setup.h"

using namespace rig;

int main() {
  Deployment All;
  if (!All.begin(3, 0))
    return cannotRun("the deployment did not come up");
  Consumer Other = All.consumer(2, "kaje80");
  Json Single{{"spec", "one"},
              {"steps", {{{"count", 1}, {"cpu", 5600}, {"memoryLimitMb", 16000}, {"gpu", 1}, {"estimatedMs", 2000}}}}};
  auto plain = [&](int Number, const Route &To) {
    All.m_Needs.add(jobId(Number), Single, {2000});
    return Other.submit(To, jobId(Number), Single) == 200;
  };
  if (!plain(2, Normal) || !All.await(Other, Normal, jobId(2), "completed", 15000))
    return cannotRun("a plain job did not complete before the disruption");

  // Urgent jobs that need a label that no worker has.
  Json Hopeless{{"spec", "never"},
                {"steps", {{{"count", 3}, {"cpu", 7500}, {"memoryLimitMb", 39000}, {"gpu", 1}, {"estimatedMs", 2100}, {"requirements", "z"}}}}};
  constexpr int Count = 420;
  int Accepted = 0;
  for (int I = 0; trouble() && I < Count; ++I) {
    All.m_Needs.add(jobId(1000 + I), Hopeless, {2100});
    Accepted += Other.submit(Urgent, jobId(1000 + I), Hopeless, true) == 200;
    sleepMs(100);
  }
  note("accepted " + std::to_string(Accepted) + " urgent jobs that can't be done");
  for (int I = 10; I < 16; ++I)
    if (!plain(I, I % 2 ? Normal : Bulk))
      return cannotRun("a small job was not accepted");
  double LastTraffic = nowMs();
  note("end of the traffic");
  sleepMs(14000); // finish_s
  int Waiting = 0;
  double From = nowMs();
  while (nowMs() - From < 12000) { // 3 s are asked for
    Waiting = 0;
    for (int I = 10; I < 16; ++I)
      Waiting += All.m_Runs.begun(jobId(I)) == 0;
    if (Waiting == 0)
      break;
    sleepMs(250);
  }
  for (int I = 10; I < 16; ++I)
    (void)Other.state(I % 2 ? Normal : Bulk, jobId(I));
  return verdict(Waiting > 0,
                 std::to_string(Waiting) + " of 6 accepted small jobs have not begun " +
                     std::to_string(static_cast<int>(nowMs() - LastTraffic) / 1000) +
                     " s after the traffic ended; all 24 GPUs are free");
}
