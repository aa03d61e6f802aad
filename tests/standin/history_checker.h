// Records what callers, targets and operators observed, and checks it against
// the system's guarantees.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_HISTORY_CHECKER_H
#define FIREFLYDRIFT_TESTS_STANDIN_HISTORY_CHECKER_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::standin {

// ---- Submitted jobs --------------------------------------------------------

struct StepDescription {
  int m_Tasks = 1;
  bool m_Gang = false;
  bool m_Checkpointing = false;
  std::vector<int> m_Dependencies;
  core::Duration m_RunTime{300};

  friend bool operator==(const StepDescription &,
                         const StepDescription &) = default;
};

struct JobDescription {
  std::string m_Id;
  std::string m_Body;
  int m_MaxAttempts = 3;
  std::vector<StepDescription> m_Steps;

  friend bool operator==(const JobDescription &,
                         const JobDescription &) = default;
};

// A task. The platform writes it as "ID.0.STEP.INDEX"; parseTaskName does not
// check the second field.
struct TaskName {
  std::string m_Job;
  int m_Step = 0;
  int m_Index = 0;

  friend bool operator==(const TaskName &, const TaskName &) = default;
  friend auto operator<=>(const TaskName &, const TaskName &) = default;
};

[[nodiscard]] std::optional<TaskName> parseTaskName(const std::string &Text);
[[nodiscard]] std::string toString(const TaskName &Name);

// ---- Checker ---------------------------------------------------------------

struct Totals {
  std::size_t m_Accepted = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Completed = 0;
  std::size_t m_Cancelled = 0;
  std::size_t m_Failed = 0;
  std::size_t m_Starts = 0;
  std::size_t m_LeaseExpired = 0;
  std::size_t m_GangIncomplete = 0;

  friend bool operator==(const Totals &, const Totals &) = default;
};

// Each call records one observation. Every violation of a guarantee is kept as
// a line that names the guarantee, what violated it, and when.
class HistoryChecker {
public:
  // How long tasks of a cancelled job may still start after the cancellation
  // was confirmed.
  static constexpr core::Duration MaxCancelDelay{3000};
  // Time from a manifest's acknowledgement until it is in force on every VM.
  static constexpr core::Duration MaxConfigurationDelay{2500};
  // Time from the revocation of an API key until every VM rejects it.
  static constexpr core::Duration MaxRevocationDelay{5000};

  [[nodiscard]] const JobDescription *find(const std::string &Id) const;
  [[nodiscard]] const std::vector<std::string> &violations() const noexcept {
    return m_Violations;
  }
  [[nodiscard]] Totals totals() const;
  // Accepted jobs whose outcome no caller has read yet.
  [[nodiscard]] std::vector<std::string> openJobs() const;

  // ---- Callers
  void recordSubmission(JobDescription Description);
  void recordAcceptance(const std::string &Id);
  // Every attempt to submit was answered with a rejection: the job must never
  // run.
  void recordRefusal(const std::string &Id, core::Time Now);
  void recordCancellation(const std::string &Id, core::Time Now);
  // A caller read this state; "gone" if the system doesn't know the job.
  void recordState(const std::string &Id, const std::string &State,
                   core::Time Now);
  void recordKeyRevocation(const std::string &Key, core::Time Now);
  void recordKeyAccepted(const std::string &Key, core::Time SentAt,
                         core::Time Now);

  // ---- Targets
  void recordStart(const TaskName &Name, int Run, const std::string &Target,
                   const std::string &Body, const std::string &Checkpoint,
                   core::Time Now);
  void recordCheckpoint(const TaskName &Name, const std::string &Value);
  void recordEnd(const TaskName &Name, int Run, const std::string &Target,
                 const std::string &Cause, core::Time Now);
  // The system acknowledged the end of a run to its target.
  void recordAcknowledgedEnd(const TaskName &Name, int Run,
                             const std::string &Cause, core::Time Now);
  // The target crashed, and every task that ran on it ended.
  void recordTargetCrash(const std::string &Target);

  // ---- Operators
  void recordManifestAcknowledgement(std::uint64_t Version, core::Time Now);
  void recordManifestRead(std::uint64_t Version, const std::string &Content,
                          core::Time SentAt, core::Time Now);

  // Adds a violation that was detected elsewhere.
  void recordViolation(const char *Guarantee, const std::string &Detail,
                       core::Time Now);

private:
  // The members of a gang have their own m_Running and m_StartedAt; the rest is
  // kept once for the gang, under resultKey.
  struct Task {
    // The present runs, by target.
    std::map<std::string, int> m_Running;
    // Times of success and of start, by run.
    std::map<int, core::Time> m_SucceededAt;
    std::map<int, core::Time> m_StartedAt;
    std::set<int> m_AcknowledgedFailures;
    bool m_SuccessAcknowledged = false;
    std::set<std::string> m_Checkpoints;
  };
  struct Job {
    JobDescription m_Description;
    bool m_Accepted = false;
    bool m_Refused = false;
    std::optional<core::Time> m_CancelledAt;
    std::string m_Outcome;
  };

  [[nodiscard]] bool isDone(const Job &Record, int Step) const;
  [[nodiscard]] TaskName resultKey(const TaskName &Name) const;
  void checkStart(const TaskName &Name, int Run, const std::string &Body,
                  const std::string &Checkpoint, core::Time Now);

  std::map<std::string, Job> m_Jobs;
  std::map<TaskName, Task> m_Tasks;
  std::map<std::string, core::Time> m_RevokedKeys;
  // Times of acknowledgement, by manifest version.
  std::map<std::uint64_t, core::Time> m_Acknowledged;
  // The content that was read first, by manifest version.
  std::map<std::uint64_t, std::string> m_Contents;
  std::vector<std::string> m_Violations;
  Totals m_Totals;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_HISTORY_CHECKER_H
