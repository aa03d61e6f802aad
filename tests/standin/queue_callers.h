// Stand-in callers of the platform's queues: they hand jobs in, try again as
// the platform's callers do, follow them to their outcome and cancel some.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H
#define FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H

#include "runtime/http_client.h"
#include "standin/books.h"
#include "standin/endpoint.h"

#include <random>

namespace fireflydrift::standin {

struct CallerOptions {
  std::vector<Endpoint> m_Entries;
  std::size_t m_Jobs = 60;
  // Mean time between two jobs.
  core::Duration m_Every{250};
  std::uint64_t m_Seed = 1;
  // Percent of jobs that are cancelled, and that are sent once more after they
  // were accepted.
  int m_CancelPercent = 10;
  int m_ResendPercent = 10;
  // Percent of jobs that are handed in with the extra key.
  int m_ExtraKeyPercent = 20;
  // A key that is never withdrawn.
  std::string m_Key;

  friend bool operator==(const CallerOptions &,
                         const CallerOptions &) = default;
};

class QueueCallers {
public:
  QueueCallers(runtime::Loop &On, Books &Into, CallerOptions Options);

  // True when every job has an outcome, was refused, or is unknown to its
  // caller after the last attempt.
  [[nodiscard]] bool isDone() const;
  [[nodiscard]] std::size_t completed() const;
  [[nodiscard]] std::size_t unknown() const;
  void turn(core::Time Now);
  // Some of the new jobs are handed in with this key, also once it is
  // withdrawn.
  void useKey(std::string Key) { m_ExtraKey = std::move(Key); }
  // No further job is handed in.
  void stop() { m_Stopped = true; }

private:
  enum class Phase : std::uint8_t {
    HandingIn,
    Following,
    Ended,
    Refused,
    Unknown
  };
  struct Job {
    JobFacts m_Facts;
    std::string m_Key;
    Phase m_Phase = Phase::HandingIn;
    int m_Attempts = 0;
    // True once an attempt had an answer other than "never runs".
    bool m_MayRun = false;
    bool m_InFlight = false;
    core::Time m_NextAt;
    std::optional<core::Time> m_CancelAt;
    std::optional<core::Time> m_ResendAt;
  };

  [[nodiscard]] std::size_t count(Phase Value) const;
  [[nodiscard]] JobFacts draw();
  void arrive(core::Time Now);
  // The method of the call that is due for the job, or nullptr.
  [[nodiscard]] static const char *nextCall(const Job &Of, core::Time Now);
  void call(Job &Of, const char *Method, core::Time Now);
  void handedIn(Job &Of, int Status, core::Time SentAt, core::Time Now);
  void followed(Job &Of, const runtime::HttpClientResponse &Answer,
                core::Time Now);

  runtime::Loop &m_Loop;
  Books &m_Books;
  CallerOptions m_Options;
  runtime::HttpClient m_Client;
  std::mt19937_64 m_Random;
  // A list, because answers refer to their jobs.
  std::vector<std::unique_ptr<Job>> m_Jobs;
  core::Time m_NextJobAt;
  std::string m_ExtraKey;
  bool m_Stopped = false;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_QUEUE_CALLERS_H
