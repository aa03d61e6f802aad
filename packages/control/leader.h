// The leader's periodic work: keeps guarantee reservations up to date, runs
// placement passes, calls targets, detects lost targets and removes expired
// jobs.
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
  // Interval between placement passes while nothing has changed.
  core::Duration m_PassInterval{250};
  core::Duration m_ExpireInterval{30000};
  core::Duration m_ReservationInterval{5000};
  core::Duration m_SilenceCheckInterval{200};

  friend bool operator==(const LeaderOptions &,
                         const LeaderOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// Volatile state of the leader. It is not replicated: a new leader starts with
// an empty one, apart from the rebuilt dispatcher.
struct Leader {
  Dispatcher m_Dispatcher;
  placement::GuaranteeReservations m_Reservations;
  routing::LeaderHeartbeats m_Heartbeats;
  // The latest decision that kept each queued job waiting, for Explain.
  std::map<core::JobKey, placement::Decision> m_WaitingDecisions;
  std::set<core::TargetId> m_SilentTargets;
  // Silent targets for which MarkTargetLost has been proposed.
  std::set<core::TargetId> m_LossProposed;
  // True after a change that may allow a queued job to be placed.
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
  // Decisions for jobs that had none in m_WaitingDecisions, or one with another
  // verdict or rule.
  std::vector<placement::Decision> m_NewDecisions;

  friend bool operator==(const LeaderStep &, const LeaderStep &) = default;
};

// The state of a newly elected leader.
[[nodiscard]] Leader becomeLeader(const State &Current, core::Time Now);

// Updates the leader after a batch was applied.
[[nodiscard]] Leader afterApplied(Leader Before, const State &Current,
                                  const ApplyResult &Result, core::Time Now);

// Handles the reply to a call to a target.
[[nodiscard]] LeaderStep handleCallReply(Leader Before, const State &Current,
                                         const CallReply &Reply,
                                         const LeaderOptions &Options,
                                         core::Time Now);

// Does the work that is due at Now. MayPass is false while commands of an
// earlier pass have not been applied.
[[nodiscard]] LeaderStep tick(Leader Before, const State &Current,
                              const LeaderOptions &Options, bool MayPass,
                              core::Time Now);

// Lost targets whose heartbeats the entry VM still receives. They must announce
// a new incarnation before they get work.
[[nodiscard]] std::vector<core::TargetId>
lostTargetsStillHeard(const Leader &Current, const State &State,
                      const core::VmId &Entry);

// Targets that have sent no heartbeat recently but are not marked as lost. They
// get no new work.
[[nodiscard]] std::set<core::TargetId>
silentTargets(const Leader &Current, const State &State,
              const routing::HeartbeatOptions &Options, core::Time Now);

} // namespace fireflydrift::control

#endif // FIREFLYDRIFT_CONTROL_LEADER_H
