// The job aggregate: the lifecycle of a request from acceptance to its outcome,
// as a state transition table.
#ifndef FIREFLYDRIFT_JOB_JOB_H
#define FIREFLYDRIFT_JOB_JOB_H

#include "core/ids.h"
#include "core/labels.h"
#include "core/outcome.h"
#include "core/shape.h"
#include "core/time.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fireflydrift::job {

// Maximum size of a request body and of one task's answer, in bytes.
inline constexpr std::size_t MaxBodyBytes = 262144;
// An idempotent job fails once its tasks have failed on this many different
// targets, because the job itself is then the likely fault.
inline constexpr std::size_t MaxFailedTargets = 3;
// Maximum run time that a caller may declare: thirty days.
inline constexpr core::Duration MaxRunTime{30LL * 24 * 3600 * 1000};

// ---- Job specification -----------------------------------------------------

// A caller's validated request.
struct JobSpec {
  core::JobKey m_Key;
  core::Shape m_Shape;
  // Declared run time of the longest task; a scheduling estimate, not a limit.
  core::Duration m_RunTime{1000};
  bool m_Idempotent = true;
  core::Selector m_Selector;
  core::Labels m_Labels;
  std::string m_Body;

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
  friend auto operator<=>(const JobSpec &, const JobSpec &) = default;
};

// Labels and values that the system interprets.
inline constexpr const char *UrgencyLabel = "urgency";
inline constexpr const char *UrgentValue = "urgent";
inline constexpr const char *CheckpointLabel = "checkpoint";

// Validates every field. The reason names the first invalid one; code None when
// all are valid.
[[nodiscard]] core::Reason check(const JobSpec &Spec);

// ---- Job state -------------------------------------------------------------

enum class Phase : std::uint8_t {
  Queued,
  Reserving,
  Running,
  Stopping,
  Answered,
  Failed,
  Cancelled,
  NotRun,
  Unknown,
};
inline constexpr std::size_t PhaseCount = 9;

// Why a placed job is being stopped.
enum class StopCause : std::uint8_t {
  None,
  Refused,
  Cancelled,
  Reclaimed,
  MemberLost,
  TaskFailed,
};

// The state of one task of the gang on its target.
struct GangMember {
  core::TargetId m_Target;
  bool m_Done = false;
  std::string m_Answer;

  friend bool operator==(const GangMember &, const GangMember &) = default;
  friend auto operator<=>(const GangMember &, const GangMember &) = default;
};

// The serialized state of a job.
struct JobFields {
  JobSpec m_Spec;
  Phase m_Phase = Phase::Queued;
  // Number of placements; answers of earlier attempts are ignored.
  std::uint32_t m_Attempt = 0;
  // Fencing token of the current attempt's leases.
  std::uint64_t m_FencingToken = 0;
  std::vector<GangMember> m_Members;
  core::Time m_AcceptedAt;
  core::Time m_StartedAt;
  core::Time m_FinishedAt;
  StopCause m_StopCause = StopCause::None;
  // True once a start may have reached any target in the current attempt; reset
  // when it is certain that no member has started.
  bool m_MayHaveRun = false;
  // Targets on which a task of the job failed.
  std::set<core::TargetId> m_FailedTargets;
  std::uint32_t m_ReclaimCount = 0;
  core::Reason m_Reason;

  friend bool operator==(const JobFields &, const JobFields &) = default;
  friend auto operator<=>(const JobFields &, const JobFields &) = default;
};

// ---- Inputs of the transition table ----------------------------------------

// Targets were chosen for the job.
struct Place {
  std::uint64_t m_FencingToken = 0;
  // One target per task, in the order of the tasks.
  std::vector<core::TargetId> m_Targets;
  friend bool operator==(const Place &, const Place &) = default;
};
// Every member confirmed its reservation; the start orders may now be sent.
struct Start {
  friend bool operator==(const Start &, const Start &) = default;
};
struct TaskDone {
  std::uint32_t m_Task = 0;
  bool m_Succeeded = true;
  std::string m_Answer;
  friend bool operator==(const TaskDone &, const TaskDone &) = default;
};
struct MemberLost {
  core::TargetId m_Target;
  friend bool operator==(const MemberLost &, const MemberLost &) = default;
};
struct Cancel {
  friend bool operator==(const Cancel &, const Cancel &) = default;
};
// A member refused its reservation or its start.
struct StartRefused {
  // False only when it is certain that no member has started.
  bool m_MayHaveRun = false;
  friend bool operator==(const StartRefused &, const StartRefused &) = default;
};
struct Reclaim {
  friend bool operator==(const Reclaim &, const Reclaim &) = default;
};
// Every member confirmed that it stopped, or its lease has expired.
struct Stopped {
  friend bool operator==(const Stopped &, const Stopped &) = default;
};
// The job can never be placed.
struct Reject {
  core::Reason m_Reason;
  friend bool operator==(const Reject &, const Reject &) = default;
};

using Input = std::variant<Place, Start, TaskDone, MemberLost, Cancel,
                           StartRefused, Reclaim, Stopped, Reject>;
inline constexpr std::size_t InputCount = std::variant_size_v<Input>;

// One accepted request.
class Job {
public:
  // Fails with the reason returned by check().
  [[nodiscard]] static core::Outcome<Job> create(JobSpec Spec, core::Time Now);
  // Restores a job from its serialized state.
  [[nodiscard]] static Job restore(JobFields Fields) noexcept;

  [[nodiscard]] const JobFields &fields() const noexcept { return m_Fields; }
  [[nodiscard]] const JobSpec &spec() const noexcept { return m_Fields.m_Spec; }
  [[nodiscard]] const core::JobKey &key() const noexcept {
    return spec().m_Key;
  }
  [[nodiscard]] Phase phase() const noexcept { return m_Fields.m_Phase; }
  [[nodiscard]] bool isUrgent() const;
  // True when the job has capacity allocated on targets.
  [[nodiscard]] bool holdsCapacity() const noexcept;
  // True when the job has reached its final outcome.
  [[nodiscard]] bool isFinished() const noexcept;
  // True when the job is idempotent, so that it may be stopped and requeued to
  // satisfy another workspace's guarantee.
  [[nodiscard]] bool isReclaimable() const noexcept;

  friend bool operator==(const Job &, const Job &) = default;

private:
  explicit Job(JobFields Fields) noexcept : m_Fields(std::move(Fields)) {}

  JobFields m_Fields;
};

// True when the transition table allows the input in this phase. InputIndex is
// the index of its alternative in Input. The table covers every pair of phase
// and input.
[[nodiscard]] bool isLegal(Phase From, std::size_t InputIndex) noexcept;

// Returns the job after applying Value at Now. Fails with IllegalTransition
// when the table does not allow the input in the job's phase; callers treat
// that as a stale input.
[[nodiscard]] core::Outcome<Job> applyInput(const Job &Current,
                                            const Input &Value, core::Time Now);

// The phase as the API's "outcome" field names it; an unfinished job is
// "queued" or "running".
[[nodiscard]] const char *outcomeName(Phase Value) noexcept;
[[nodiscard]] const char *toString(StopCause Value) noexcept;

} // namespace fireflydrift::job

#endif // FIREFLYDRIFT_JOB_JOB_H
