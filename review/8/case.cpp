// A waiting urgent gang, and one long-running job: does other work still start?
#include "setup.h"

using namespace rig;

int main() {
  Deployment All;
  if (!All.begin(3, 0))
    return cannotRun("the deployment did not come up");
  Consumer Lasting = All.consumer(1, "lome41");
  Consumer Other = All.consumer(2, "kaje80");
  auto submit = [&](Consumer &Caller, const Route &To, const std::string &Id,
                    const Json &Job, double WorkMs) {
    All.m_Needs.add(Id, Job, {WorkMs});
    return Caller.submit(To, Id, Job) == 200;
  };
  Json Single{{"spec", "one"},
              {"steps",
               {{{"count", 1},
                 {"cpu", 5600},
                 {"memoryLimitMb", 16000},
                 {"gpu", 1},
                 {"estimatedMs", 2000}}}}};

  // One long-running subtask on each worker: 3 of 24 GPUs.
  Json Stay{{"spec", "stay"},
            {"steps",
             {{{"count", 3},
               {"cpu", 5600},
               {"memoryLimitMb", 16000},
               {"gpu", 1},
               {"estimatedMs", 5000},
               {"longRunning", true},
               {"antiAffinity", 1},
               {"missAllowed", 3}}}}};
  if (!submit(Lasting, Bulk, jobId(1), Stay, -1))
    return cannotRun("the long-running job was not accepted");
  double Until = nowMs() + 8000;
  while (All.m_Runs.atWork(jobId(1)) < 3 && nowMs() < Until)
    sleepMs(100);
  if (All.m_Runs.atWork(jobId(1)) < 3)
    return cannotRun("the long-running job did not start");
  // Other work runs beside it.
  if (!submit(Other, Normal, jobId(2), Single, 2000) ||
      !All.await(Other, Normal, jobId(2), "completed", 15000))
    return cannotRun("a plain job did not complete before the disruption");
  sleepMs(6000);

  // Large urgent work: a gang that fits only on workers without other work.
  Json Gang{{"spec", "gang"},
            {"steps",
             {{{"count", 3},
               {"cpu", 7500},
               {"memoryLimitMb", 39000},
               {"gpu", 8},
               {"estimatedMs", 2100},
               {"gangScheduled", true}}}}};
  if (trouble() && !submit(Other, Urgent, jobId(3), Gang, 2100))
    return cannotRun("the gang was not accepted");
  sleepMs(1000);
  // The last traffic: small jobs. 21 of 24 GPUs are free for them.
  for (int I = 10; I < 16; ++I)
    if (!submit(Other, I % 2 ? Normal : Bulk, jobId(I), Single, 2000))
      return cannotRun("a small job was not accepted");
  double LastTraffic = nowMs();
  note("end of the traffic");
  sleepMs(14000); // finish_s
  int Waiting = 0;
  double From = nowMs();
  while (nowMs() - From < 20000) { // 3 s are asked for
    Waiting = 0;
    for (int I = 10; I < 16; ++I)
      Waiting += All.m_Runs.begun(jobId(I)) == 0;
    if (Waiting == 0)
      break;
    sleepMs(250);
  }
  for (int I = 10; I < 16; ++I)
    (void)Other.state(I % 2 ? Normal : Bulk, jobId(I));
  note("GPUs at work: " + std::to_string(All.m_Runs.atWork(jobId(1))) +
       " of 24");
  return verdict(
      Waiting > 0,
      std::to_string(Waiting) + " of 6 accepted small jobs have not begun " +
          std::to_string(static_cast<int>(nowMs() - LastTraffic) / 1000) +
          " s after the traffic ended; 21 of 24 GPUs are free");
}
