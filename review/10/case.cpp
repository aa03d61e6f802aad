// Is a tenant's guarantee kept for a step with antiAffinity?
#include "setup.h"

using namespace rig;

int main() {
  Deployment All;
  if (!All.begin(3, 8))
    return cannotRun("the deployment did not come up");
  Consumer Others = All.consumer(1, "lome41");
  Consumer Owner = All.consumer(2, "kaje80"); // guaranteedGpus 8
  // Two plain jobs of another tenant: 94 subtasks with one GPU each, 4 to 12 s.
  // Each asks for the rack of one of two workers, and keeps it full all the
  // while; the third worker is empty.
  constexpr int Jobs = 2;
  const char *Racks[] = {"r0-1", "r1-1"};
  for (int I = 0; I < Jobs; ++I) {
    Json Fill{{"spec", "fill"},
              {"steps",
               {{{"count", 94},
                 {"cpu", 5600},
                 {"memoryLimitMb", 16000},
                 {"gpu", 1},
                 {"estimatedMs", 8000},
                 {"requirements", Racks[I]}}}}};
    All.m_Needs.add(jobId(100 + I), Fill, {8000}, true);
    if (Others.submit(Bulk, jobId(100 + I), Fill) != 200)
      return cannotRun("a job of the other tenant was not accepted");
  }
  auto fillAtWork = [&] {
    int Count = 0;
    for (int I = 0; I < Jobs; ++I)
      Count += All.m_Runs.atWork(jobId(100 + I));
    return Count;
  };
  double Until = nowMs() + 8000;
  while (fillAtWork() < 16 && nowMs() < Until)
    sleepMs(100);
  if (fillAtWork() < 16)
    return cannotRun("the other tenant's jobs did not start");
  sleepMs(6000);
  Json Job{{"spec", "urgent"},
           {"steps",
            {{{"count", 2},
              {"cpu", 7500},
              {"memoryLimitMb", 39000},
              {"gpu", 4},
              {"estimatedMs", 60000}}}}};
  if (trouble())
    Job["steps"][0]["antiAffinity"] = 1;
  All.m_Needs.add(jobId(3), Job, {60000});
  if (Owner.submit(Urgent, jobId(3), Job) != 200)
    return cannotRun("the urgent job was not accepted");
  double Acked = nowMs();
  while (nowMs() - Acked < 50000 && All.m_Runs.begun(jobId(3)) < 2)
    sleepMs(20);
  int Begun = All.m_Runs.begun(jobId(3));
  double Took = nowMs() - Acked;
  note("GPUs at work for the other tenant: " + std::to_string(fillAtWork()));
  (void)Owner.state(Urgent, jobId(3));
  return verdict(
      Begun < 2 || Took > 5700,
      "job of priority 0, 8 GPUs of 8 guaranteed: " + std::to_string(Begun) +
          " of 2 subtasks had begun after " +
          std::to_string(static_cast<int>(Took)) + " ms (reclaimMs 5700)");
}
