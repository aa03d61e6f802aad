// The leader's calls to targets. A gang is reserved on the targets of all its
// members before any of them is started; a stop must be confirmed by all.
//
// The dispatcher is volatile state of the leader. A new leader rebuilds it from
// the jobs that hold capacity. Calls are idempotent: targets treat repeated
// calls under one lease as the same call.
#ifndef FIREFLYDRIFT_CONTROL_DISPATCHER_H
#define FIREFLYDRIFT_CONTROL_DISPATCHER_H

#include "control/state.h"

#include <optional>

namespace fireflydrift::control {

// ---- Options ---------------------------------------------------------------

struct DispatchOptions {
  // Delay before an unanswered call is retried. Doubles with each retry up to
  // the maximum.
  core::Duration m_InitialRetryDelay{200};
  core::Duration m_MaxRetryDelay{2000};
  // Unanswered reserve calls to a target after which the gang is placed again.
  std::uint32_t m_MaxReserveTries = 3;
  // Limit on concurrent calls.
  std::size_t m_MaxInFlight = 256;
  // How long a lease on a target stays valid after the target's last contact.
  core::Duration m_Lease{15000};

  friend bool operator==(const DispatchOptions &,
                         const DispatchOptions &) = default;
  friend auto operator<=>(const DispatchOptions &,
                          const DispatchOptions &) = default;
};

// ---- Calls -----------------------------------------------------------------

enum class Verb : std::uint8_t { Reserve, Start, Stop };

// Permission to run one attempt of a job. A target refuses a lease whose
// fencing token is lower than one that it has seen for the job.
struct Lease {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_FencingToken = 0;

  friend bool operator==(const Lease &, const Lease &) = default;
  friend auto operator<=>(const Lease &, const Lease &) = default;
};

// A call to one target, for all of the gang's tasks on it.
struct Call {
  Verb m_Verb = Verb::Reserve;
  core::TargetId m_Target;
  std::string m_Host;
  std::uint16_t m_Port = 0;
  Lease m_Lease;
  std::vector<std::uint32_t> m_Tasks;
  core::Capacity m_PerTask;
  core::Duration m_LeaseLength{0};
  // Stop only: if true, tasks that support checkpoints save one before they
  // stop.
  bool m_Checkpoint = false;
  // Start only: the request's body.
  std::string m_Body;

  friend bool operator==(const Call &, const Call &) = default;
};

enum class CallOutcome : std::uint8_t {
  Accepted,
  Refused,
  // The target does not know the lease.
  UnknownLease,
  NoAnswer,
};

struct CallReply {
  Verb m_Verb = Verb::Reserve;
  core::TargetId m_Target;
  Lease m_Lease;
  CallOutcome m_Outcome = CallOutcome::NoAnswer;

  friend bool operator==(const CallReply &, const CallReply &) = default;
};

// ---- State -----------------------------------------------------------------

struct CallProgress {
  bool m_InFlight = false;
  bool m_Done = false;
  std::uint32_t m_Tries = 0;
  // True once a try got no answer: its target may have carried it out.
  bool m_MayHaveArrived = false;
  // Earliest time of the next try.
  core::Time m_NextAt;
  // When the target was first seen as lost.
  std::optional<core::Time> m_LostSince;

  friend bool operator==(const CallProgress &, const CallProgress &) = default;
};

// The calls of one job in its current stage: reserve, start or stop.
struct JobCalls {
  std::uint32_t m_Attempt = 0;
  Verb m_Verb = Verb::Reserve;
  std::map<core::TargetId, CallProgress> m_Calls;
  // True when an earlier leader may have sent calls for the job.
  bool m_FromEarlierLeader = false;
  // True once the command that ends this stage has been proposed.
  bool m_EndProposed = false;

  friend bool operator==(const JobCalls &, const JobCalls &) = default;
};

struct Dispatcher {
  std::map<core::JobKey, JobCalls> m_Jobs;
  std::size_t m_InFlight = 0;

  friend bool operator==(const Dispatcher &, const Dispatcher &) = default;
};

// The updated dispatcher, calls to send and commands to propose.
struct DispatchStep {
  Dispatcher m_Dispatcher;
  std::vector<Call> m_Calls;
  std::vector<Command> m_Commands;

  friend bool operator==(const DispatchStep &, const DispatchStep &) = default;
};

// ---- Functions -------------------------------------------------------------

// Builds a new leader's dispatcher from the jobs that hold capacity. Leaves out
// running jobs that started so long ago that the targets must have replied to
// the start calls.
[[nodiscard]] Dispatcher rebuildDispatcher(const State &Current,
                                           core::Time Now);

// Updates the calls of a job after its phase or attempt changed.
[[nodiscard]] Dispatcher updateJob(Dispatcher Before, const State &Current,
                                   const core::JobKey &Key, core::Time Now);

// Returns the calls that are due, and the commands that end stages of which
// every call is done.
[[nodiscard]] DispatchStep sendDueCalls(Dispatcher Before, const State &Current,
                                        const DispatchOptions &Options,
                                        core::Time Now);

// True when some call has never been sent and the end of its stage has not been
// proposed.
[[nodiscard]] bool hasUnsentCalls(const Dispatcher &Value);

// Handles the reply to a call, or its timeout.
[[nodiscard]] DispatchStep handleReply(Dispatcher Before, const State &Current,
                                       const CallReply &Reply,
                                       const DispatchOptions &Options,
                                       core::Time Now);

[[nodiscard]] const char *toString(Verb Value) noexcept;
[[nodiscard]] const char *toString(CallOutcome Value) noexcept;

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_DISPATCHER_H
