// Is a tenant's guarantee kept for a step with antiAffinity?
#include "setup.h"

using namespace rig;

int main() {
  Deployment All;
  if (!All.begin(3, 8))
    return cannotRun("the deployment did not come up");
  Consumer Others = All.consumer(1, "lome41");
  Consumer Owner = All.consumer(2, "kaje80"); // guaranteedGpus 8
  // Another tenant uses 16 of 24 GPUs: two workers are full, one is empty.
  Json Fill{{"spec", "fill"},
            {"steps", {{{"count", 16}, {"cpu", 5600}, {"memoryLimitMb", 16000}, {"gpu", 1}, {"estimatedMs", 90000}}}}};
  All.m_Needs.add(jobId(1), Fill, {90000});
  if (Others.submit(Bulk, jobId(1), Fill) != 200)
    return cannotRun("the other tenant's job was not accepted");
  double Until = nowMs() + 8000;
  while (All.m_Runs.atWork(jobId(1)) < 16 && nowMs() < Until)
    sleepMs(100);
  if (All.m_Runs.atWork(jobId(1)) < 16)
    return cannotRun("the other tenant's job did not start");
  sleepMs(6000);
  Json Job{{"spec", "urgent"},
           {"steps", {{{"count", 2}, {"cpu", 7500}, {"memoryLimitMb", 39000}, {"gpu", 4}, {"estimatedMs", 30000}}}}};
  if (trouble())
    Job["steps"][0]["antiAffinity"] = 1;
  All.m_Needs.add(jobId(3), Job, {30000});
  if (Owner.submit(Urgent, jobId(3), Job) != 200)
    return cannotRun("the urgent job was not accepted");
  double Acked = nowMs();
  while (nowMs() - Acked < 30000 && All.m_Runs.begun(jobId(3)) < 2)
    sleepMs(20);
  int Begun = All.m_Runs.begun(jobId(3));
  double Took = nowMs() - Acked;
  (void)Owner.state(Urgent, jobId(3));
  return verdict(Begun < 2 || Took > 5700, "job of priority 0, 8 GPUs of 8 guaranteed: " + std::to_string(Begun) + " of 2 subtasks had begun after " + std::to_string(static_cast<int>(Took)) + " ms (reclaimMs 5700)");
}
