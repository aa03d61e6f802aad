// Is a tenant's guarantee kept beside long-running work of others?
#include "setup.h"

using namespace rig;

int main() {
  Deployment All;
  if (!All.begin(3, 8))
    return cannotRun("the deployment did not come up");
  Consumer Others = All.consumer(1, "lome41");
  Consumer Owner = All.consumer(2, "kaje80"); // guaranteedGpus 8
  // Another tenant uses what is idle: 24 of 24 GPUs.
  Json Fill{{"spec", "stay"},
            {"steps",
             {{{"count", 24},
               {"cpu", 5600},
               {"memoryLimitMb", 16000},
               {"gpu", 1},
               {"estimatedMs", 5000}}}}};
  if (trouble()) {
    Fill["steps"][0]["longRunning"] = true;
    Fill["steps"][0]["missAllowed"] = 24;
  }
  All.m_Needs.add(jobId(1), Fill, {100000});
  if (Others.submit(Bulk, jobId(1), Fill) != 200)
    return cannotRun("the other tenant's job was not accepted");
  double Until = nowMs() + 8000;
  while (All.m_Runs.atWork(jobId(1)) < 24 && nowMs() < Until)
    sleepMs(100);
  if (All.m_Runs.atWork(jobId(1)) < 24)
    return cannotRun("the other tenant's job did not start");
  sleepMs(6000);
  Json Job{{"spec", "urgent"},
           {"steps",
            {{{"count", 2},
              {"cpu", 7500},
              {"memoryLimitMb", 39000},
              {"gpu", 4},
              {"estimatedMs", 2100}}}}};
  All.m_Needs.add(jobId(3), Job, {2100});
  if (Owner.submit(Urgent, jobId(3), Job) != 200)
    return cannotRun("the urgent job was not accepted");
  double Acked = nowMs();
  while (nowMs() - Acked < 30000 && All.m_Runs.begun(jobId(3)) < 2)
    sleepMs(20);
  bool Began = All.m_Runs.begun(jobId(3)) >= 2;
  double Took = nowMs() - Acked;
  (void)Owner.state(Urgent, jobId(3));
  std::string When =
      Began ? "began after " + std::to_string(static_cast<int>(Took)) + " ms"
            : "had not begun after " + std::to_string(static_cast<int>(Took)) +
                  " ms";
  return verdict(!Began || Took > 5700,
                 "the job of priority 0, 8 GPUs of 8 guaranteed, " + When +
                     " (reclaimMs 5700)");
}
