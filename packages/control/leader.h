// The leader's duties: keep witnesses, run placement passes, call targets,
// notice lost targets, forget expired outcomes.
#ifndef FIREFLYDRIFT_CONTROL_LEADER_H
#define FIREFLYDRIFT_CONTROL_LEADER_H

#include "control/dispatcher.h"
#include "control/polling.h"
#include "control/schedule.h"
#include "routing/heartbeats.h"

namespace fireflydrift::control {

// ---- Options ---------------------------------------------------------------

struct LeaderOptions {
  DispatchOptions m_Dispatch;
  placement::PassOptions m_Pass;
  routing::HeartbeatOptions m_Heartbeats;
  PollingOptions m_Polling;
  // Time between two passes over an unchanged queue.
  core::Duration m_PassInterval{250};
  core::Duration m_ExpireInterval{30000};
  core::Duration m_ReservationInterval{5000};
  core::Duration m_SilenceCheckInterval{200};

  friend bool operator==(const LeaderOptions &,
                         const LeaderOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// The leader's working state; a new leader starts with an empty one.
struct Leader {
  Dispatcher m_Dispatcher;
  placement::GuaranteeReservations m_Reservations;
  routing::LeaderHeartbeats m_Heartbeats;
  // Why each queued job waits, for explanations.
  std::map<core::JobKey, placement::Decision> m_WaitingDecisions;
  std::set<core::TargetId> m_Silent;
  std::set<core::TargetId> m_LossProposed;
  // True when something changed that may let a queued job be placed.
  bool m_PassNeeded = true;
  bool m_ReservationsNeeded = true;
  core::Time m_LastPassAt;
  core::Time m_LastExpireAt;
  core::Time m_LastReservationAt;
  core::Time m_LastSilenceCheckAt;

  friend bool operator==(const Leader &, const Leader &) = default;
};

// ---- Steps -----------------------------------------------------------------

struct LeaderStep {
  Leader m_Leader;
  std::vector<Command> m_Commands;
  std::vector<Call> m_Calls;
  // Decisions that differ from what was decided for the job before.
  std::vector<placement::Decision> m_NewDecisions;

  friend bool operator==(const LeaderStep &, const LeaderStep &) = default;
};

// A leader that has just been elected.
[[nodiscard]] Leader becomeLeader(const State &Current, core::Time Now);

// After a batch was applied.
[[nodiscard]] Leader afterApplied(Leader Before, const State &Current,
                                  const ApplyResult &Result, core::Time Now);

// After a call to a target was answered.
[[nodiscard]] LeaderStep handleCallReply(Leader Before, const State &Current,
                                         const CallReply &Reply,
                                         const LeaderOptions &Options,
                                         core::Time Now);

// What is due at Now. MayPass is false while commands of an earlier pass are
// not applied yet.
[[nodiscard]] LeaderStep tick(Leader Before, const State &Current,
                              const LeaderOptions &Options, bool MayPass,
                              core::Time Now);

// Targets that the entry VM hears although they were given up. They must
// announce themselves anew before they get work.
[[nodiscard]] std::vector<core::TargetId>
lostTargetsStillHeard(const Leader &Current, const State &State,
                      const core::VmId &Entry);

// Targets without a sign of life, which get no new work.
[[nodiscard]] std::set<core::TargetId>
silentTargets(const Leader &Current, const State &State,
              const routing::HeartbeatOptions &Options, core::Time Now);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_LEADER_H
