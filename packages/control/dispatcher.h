// The leader's calls to targets: reserve on every member, start, stop.
//
// The dispatcher is the leader's own working state. A new leader rebuilds it
// from the jobs that hold capacity; targets treat repeated calls under one
// lease as the same call.
#ifndef FIREFLYDRIFT_CONTROL_DISPATCHER_H
#define FIREFLYDRIFT_CONTROL_DISPATCHER_H

#include "control/state.h"

namespace fireflydrift::control {

// ---- Options ---------------------------------------------------------------

struct DispatchOptions {
  // A call without an answer is repeated after this long, twice as long each
  // time up to the longest.
  core::Duration m_FirstRetry{200};
  core::Duration m_LongestRetry{2000};
  // Reservations without an answer after which the gang is placed anew.
  std::uint32_t m_ReserveTries = 3;
  // Calls under way at once.
  std::size_t m_MaxInFlight = 256;
  // How long a target keeps a lease after its last contact.
  core::Duration m_Lease{15000};

  friend bool operator==(const DispatchOptions &,
                         const DispatchOptions &) = default;
  friend auto operator<=>(const DispatchOptions &,
                          const DispatchOptions &) = default;
};

// ---- Calls -----------------------------------------------------------------

enum class Verb : std::uint8_t { Reserve, Start, Stop };

// The right to run one attempt of a job. Targets refuse a lease whose fencing
// number is lower than one they have seen for the job.
struct Lease {
  core::JobKey m_Job;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_FencingToken = 0;

  friend bool operator==(const Lease &, const Lease &) = default;
  friend auto operator<=>(const Lease &, const Lease &) = default;
};

// One call to one target, for all of the gang's tasks there.
struct Call {
  Verb m_Verb = Verb::Reserve;
  core::TargetId m_Target;
  std::string m_Host;
  std::uint16_t m_Port = 0;
  Lease m_Lease;
  std::vector<std::uint32_t> m_Tasks;
  core::Capacity m_PerTask;
  core::Duration m_LeaseLength{0};
  // Stop only: save the work first where the task can.
  bool m_Checkpoint = false;
  // Start only.
  std::string m_Body;

  friend bool operator==(const Call &, const Call &) = default;
};

enum class CallOutcome : std::uint8_t {
  Accepted,
  Refused,
  // The target knows nothing of the lease.
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
  core::Time m_NextAt;

  friend bool operator==(const CallProgress &, const CallProgress &) = default;
};

// A job with calls still to be made.
struct OpenJob {
  std::uint32_t m_Attempt = 0;
  Verb m_Verb = Verb::Reserve;
  std::map<core::TargetId, CallProgress> m_Calls;
  // True when an earlier leader may have made calls for it.
  bool m_Inherited = false;
  // True once the command that ends this stage was proposed.
  bool m_Proposed = false;

  friend bool operator==(const OpenJob &, const OpenJob &) = default;
};

struct Dispatcher {
  std::map<core::JobKey, OpenJob> m_Open;
  std::size_t m_InFlight = 0;

  friend bool operator==(const Dispatcher &, const Dispatcher &) = default;
};

// The changed dispatcher with calls to make and commands to propose.
struct Dispatched {
  Dispatcher m_Dispatcher;
  std::vector<Call> m_Calls;
  std::vector<Command> m_Commands;

  friend bool operator==(const Dispatched &, const Dispatched &) = default;
};

// ---- Functions -------------------------------------------------------------

// A new leader's dispatcher, for every job that holds capacity.
[[nodiscard]] Dispatcher inherit(const State &Current, core::Time Now);

// The dispatcher after a job changed.
[[nodiscard]] Dispatcher follow(Dispatcher Before, const State &Current,
                                const core::JobKey &Key, core::Time Now);

// The calls that are due, and stages that ended without one.
[[nodiscard]] Dispatched due(Dispatcher Before, const State &Current,
                             const DispatchOptions &Options, core::Time Now);

// True when a call waits that is neither done nor under way.
[[nodiscard]] bool hasUnsentCalls(const Dispatcher &Value);

// The dispatcher after a call was answered or timed out.
[[nodiscard]] Dispatched handleReply(Dispatcher Before, const State &Current,
                                     const CallReply &Reply,
                                     const DispatchOptions &Options,
                                     core::Time Now);

[[nodiscard]] const char *toString(Verb Value) noexcept;
[[nodiscard]] const char *toString(CallOutcome Value) noexcept;

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_DISPATCHER_H
