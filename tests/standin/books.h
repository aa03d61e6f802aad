// What callers and targets saw, and which promises that breaks.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_BOOKS_H
#define FIREFLYDRIFT_TESTS_STANDIN_BOOKS_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::standin {

// ---- What a caller asked for -----------------------------------------------

struct StepFacts {
  int m_Tasks = 1;
  bool m_Gang = false;
  bool m_Saves = false;
  std::vector<int> m_After;
  core::Duration m_Work{300};

  friend bool operator==(const StepFacts &, const StepFacts &) = default;
};

struct JobFacts {
  std::string m_Id;
  std::string m_Body;
  int m_MaxAttempts = 3;
  std::vector<StepFacts> m_Steps;

  friend bool operator==(const JobFacts &, const JobFacts &) = default;
};

// One task, as the platform names it: "ID.0.STEP.INDEX".
struct TaskName {
  std::string m_Job;
  int m_Step = 0;
  int m_Index = 0;

  friend bool operator==(const TaskName &, const TaskName &) = default;
  friend auto operator<=>(const TaskName &, const TaskName &) = default;
};

[[nodiscard]] std::optional<TaskName> readTaskName(const std::string &Text);
[[nodiscard]] std::string toString(const TaskName &Name);

// ---- Books -----------------------------------------------------------------

struct Totals {
  std::size_t m_Accepted = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Completed = 0;
  std::size_t m_Cancelled = 0;
  std::size_t m_Failed = 0;
  std::size_t m_Starts = 0;
  std::size_t m_Lapsed = 0;
  std::size_t m_Alone = 0;

  friend bool operator==(const Totals &, const Totals &) = default;
};

// Each call records one thing that was seen. What breaks a promise is kept as
// a line that says which, of what, and when.
class Books {
public:
  // A cancelled job's tasks may be started for so long after the answer.
  static constexpr core::Duration CancelWithin{3000};
  // A manifest is in force everywhere so long after its acknowledgement.
  static constexpr core::Duration ConfigurationWithin{2500};
  // A withdrawn key is refused everywhere so long after it.
  static constexpr core::Duration RevocationWithin{5000};

  [[nodiscard]] const JobFacts *find(const std::string &Id) const;
  [[nodiscard]] const std::vector<std::string> &broken() const noexcept {
    return m_Broken;
  }
  [[nodiscard]] Totals totals() const;
  // Accepted jobs whose outcome no caller has seen yet.
  [[nodiscard]] std::vector<std::string> open() const;

  // ---- Callers
  void submitted(JobFacts Facts);
  void accepted(const std::string &Id);
  // Every attempt to hand the job in was answered "never runs".
  void refused(const std::string &Id, core::Time Now);
  void cancelled(const std::string &Id, core::Time Now);
  // The state that a caller was shown; "gone" when no such job is known.
  void shown(const std::string &Id, const std::string &State, core::Time Now);
  void keyWithdrawn(const std::string &Key, core::Time Now);
  void keyServed(const std::string &Key, core::Time SentAt, core::Time Now);

  // ---- Targets
  void started(const TaskName &Name, int Run, const std::string &Target,
               const std::string &Body, const std::string &Saved,
               core::Time Now);
  void saved(const TaskName &Name, const std::string &Value);
  void ended(const TaskName &Name, int Run, const std::string &Target,
             const std::string &How, core::Time Now);
  // The end was acknowledged to the target.
  void noted(const TaskName &Name, int Run, const std::string &How,
             core::Time Now);
  // The target and all that ran on it are gone.
  void gone(const std::string &Target);

  // ---- Operators
  void manifestAcknowledged(std::uint64_t Version, core::Time Now);
  void manifestRead(std::uint64_t Version, const std::string &Content,
                    core::Time SentAt, core::Time Now);

  // Notes a broken promise that was seen elsewhere.
  void violated(const char *Promise, const std::string &What, core::Time Now);

private:
  struct Task {
    // Where it runs now, by target.
    std::map<std::string, int> m_Running;
    // Ends with success by run, and whether one was noted.
    std::map<int, core::Time> m_Done;
    std::map<int, core::Time> m_StartedAt;
    std::set<int> m_NotedFailures;
    bool m_DoneNoted = false;
    std::set<std::string> m_Saved;
  };
  struct Job {
    JobFacts m_Facts;
    bool m_Accepted = false;
    bool m_Refused = false;
    std::optional<core::Time> m_CancelledAt;
    std::string m_Outcome;
  };

  [[nodiscard]] bool isDone(const Job &Of, int Step) const;
  [[nodiscard]] TaskName representative(const TaskName &Name) const;
  void checkStart(const TaskName &Name, int Run, const std::string &Body,
                  const std::string &Saved, core::Time Now);

  std::map<std::string, Job> m_Jobs;
  std::map<TaskName, Task> m_Tasks;
  std::map<std::string, core::Time> m_WithdrawnKeys;
  // Acknowledged versions with the time of the acknowledgement.
  std::map<std::uint64_t, core::Time> m_Acknowledged;
  std::map<std::uint64_t, std::string> m_Contents;
  std::vector<std::string> m_Broken;
  Totals m_Totals;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_BOOKS_H
