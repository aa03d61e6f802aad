// Stand-ins for callers of the platform's queues: they submit jobs, retry as
// the platform's callers do, poll each job until it has an outcome, and cancel
// some.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H
#define FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H

#include "runtime/http_client.h"
#include "standin/endpoint.h"
#include "standin/history_checker.h"

#include <random>

namespace fireflydrift::standin {

struct CallerOptions {
  std::vector<Endpoint> m_Entries;
  std::size_t m_Jobs = 60;
  // Mean time between two new jobs.
  core::Duration m_MeanInterval{250};
  std::uint64_t m_Seed = 1;
  // Percentage of jobs that are cancelled, and of jobs that are submitted again
  // after they were accepted.
  int m_CancelPercent = 10;
  int m_ResendPercent = 10;
  // Percentage of jobs that are submitted with the extra API key.
  int m_ExtraKeyPercent = 20;
  // An API key that is never revoked.
  std::string m_Key;

  friend bool operator==(const CallerOptions &,
                         const CallerOptions &) = default;
};

class QueueCallers {
public:
  QueueCallers(runtime::Loop &EventLoop, HistoryChecker &Checker,
               CallerOptions Options);

  // True when no job remains to be added and each has ended, was refused, or
  // has a caller that gave up without knowing whether it was accepted.
  [[nodiscard]] bool isDone() const;
  // Number of jobs that a caller has read as completed, failed, cancelled or
  // gone.
  [[nodiscard]] std::size_t ended() const;
  // Number of jobs whose caller gave up without knowing whether they were
  // accepted.
  [[nodiscard]] std::size_t unknown() const;
  void tick(core::Time Now);
  // Sets the extra API key, which some of the new jobs use, also after it was
  // revoked.
  void useKey(std::string Key) { m_ExtraKey = std::move(Key); }
  // Adds no further jobs.
  void stop() { m_Stopped = true; }

private:
  enum class Phase : std::uint8_t {
    Submitting,
    Polling,
    Ended,
    Refused,
    Unknown
  };
  struct Job {
    JobDescription m_Description;
    std::string m_Key;
    Phase m_Phase = Phase::Submitting;
    int m_Attempts = 0;
    // True once an attempt failed, or had no answer, so that it is open whether
    // the job will run.
    bool m_MayRun = false;
    bool m_InFlight = false;
    core::Time m_NextAt;
    std::optional<core::Time> m_CancelAt;
    std::optional<core::Time> m_ResendAt;
  };

  [[nodiscard]] std::size_t count(Phase Value) const;
  [[nodiscard]] JobDescription drawJob();
  void addDueJob(core::Time Now);
  // The HTTP method of the request that is due for the job, or nullptr.
  [[nodiscard]] static const char *nextMethod(const Job &Submission,
                                              core::Time Now);
  void call(Job &Submission, const char *Method, core::Time Now);
  void handleSubmitAnswer(Job &Submission, int Status, core::Time SentAt,
                          core::Time Now);
  void handleStateAnswer(Job &Submission,
                         const runtime::HttpClientResponse &Answer,
                         core::Time Now);

  runtime::Loop &m_Loop;
  HistoryChecker &m_Checker;
  CallerOptions m_Options;
  runtime::HttpClient m_Client;
  std::mt19937_64 m_Random;
  // Allocated one by one, because callbacks of requests refer to their jobs.
  std::vector<std::unique_ptr<Job>> m_Jobs;
  core::Time m_NextJobAt;
  std::string m_ExtraKey;
  bool m_Stopped = false;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H
