#include "control/leader.h"

namespace fireflydrift::control {

Leader becomeLeader(const State &Current, core::Time Now) {
  return {.m_Dispatcher = rebuildDispatcher(Current, Now),
          .m_Heartbeats = {.m_Since = Now},
          .m_LastPassAt = Now,
          .m_LastExpireAt = Now,
          .m_LastReservationAt = Now,
          .m_LastSilenceCheckAt = Now};
}

Leader afterApplied(Leader Before, const State &Current,
                    const ApplyResult &Result, core::Time Now) {
  for (const JobChange &Each : Result.m_JobChanges) {
    Before.m_Dispatcher =
        updateJob(std::move(Before.m_Dispatcher), Current, Each.m_Job, Now);
    if (Each.m_To != job::Phase::Queued)
      Before.m_WaitingDecisions.erase(Each.m_Job);
  }
  bool Changed = Result.m_FleetChanged || !Result.m_JobChanges.empty();
  Before.m_PassNeeded = Before.m_PassNeeded || Changed;
  Before.m_ReservationsNeeded =
      Before.m_ReservationsNeeded || Result.m_FleetChanged;
  return Before;
}

LeaderStep handleCallReply(Leader Before, const State &Current,
                           const CallReply &Reply, const LeaderOptions &Options,
                           core::Time Now) {
  DispatchStep Next = handleReply(std::move(Before.m_Dispatcher), Current,
                                  Reply, Options.m_Dispatch, Now);
  Before.m_Dispatcher = std::move(Next.m_Dispatcher);
  return {.m_Leader = std::move(Before),
          .m_Commands = std::move(Next.m_Commands),
          .m_Calls = std::move(Next.m_Calls)};
}

// ---- Silent targets ---------------------------------------------------------

std::set<core::TargetId> silentTargets(const Leader &Current,
                                       const State &State,
                                       const routing::HeartbeatOptions &Options,
                                       core::Time Now) {
  std::set<core::TargetId> Silent;
  for (const auto &[Id, Value] : State.m_Tables.m_Targets)
    if (Value.presence() != target::Presence::Lost &&
        Now - routing::lastHeartbeat(Current.m_Heartbeats, Id) >=
            Options.m_SilentAfter)
      Silent.insert(Id);
  return Silent;
}

std::vector<core::TargetId> lostTargetsStillHeard(const Leader &Current,
                                                  const State &State,
                                                  const core::VmId &Entry) {
  std::vector<core::TargetId> Found;
  auto Known = Current.m_Heartbeats.m_Entries.find(Entry);
  if (Known == Current.m_Heartbeats.m_Entries.end())
    return Found;
  for (const core::TargetId &Id : Known->second.m_Targets) {
    auto Target = State.m_Tables.m_Targets.find(Id);
    if (Target != State.m_Tables.m_Targets.end() &&
        Target->second.presence() == target::Presence::Lost)
      Found.push_back(Id);
  }
  return Found;
}

static void checkSilentTargets(LeaderStep &Out, const State &Current,
                               const LeaderOptions &Options, core::Time Now) {
  Leader &Leader = Out.m_Leader;
  if (Now - Leader.m_LastSilenceCheckAt < Options.m_SilenceCheckInterval)
    return;
  Leader.m_LastSilenceCheckAt = Now;
  Leader.m_SilentTargets =
      silentTargets(Leader, Current, Options.m_Heartbeats, Now);
  std::erase_if(Leader.m_LossProposed, [&](const core::TargetId &Id) {
    return !Leader.m_SilentTargets.contains(Id);
  });
  for (const core::TargetId &Id : Leader.m_SilentTargets) {
    bool Lost = Now - routing::lastHeartbeat(Leader.m_Heartbeats, Id) >=
                Options.m_Heartbeats.m_LostAfter;
    if (Lost && Current.m_Tables.m_Targets.contains(Id) &&
        Leader.m_LossProposed.insert(Id).second)
      Out.m_Commands.push_back(MarkTargetLost{.m_Target = Id});
  }
}

// ---- Passes ----------------------------------------------------------------

static void refreshReservations(Leader &Leader, const State &Current,
                                const LeaderOptions &Options, core::Time Now) {
  bool Due = Leader.m_ReservationsNeeded ||
             Now - Leader.m_LastReservationAt >= Options.m_ReservationInterval;
  if (!Due)
    return;
  Leader.m_Reservations = placement::reserveGuarantees(
      Current.m_Indexes.m_Fleet, Current.m_Tables.m_Configuration,
      Leader.m_Reservations, Now);
  Leader.m_ReservationsNeeded = false;
  Leader.m_LastReservationAt = Now;
}

static bool isNewDecision(const Leader &Leader,
                          const placement::Decision &Decision) {
  auto Before = Leader.m_WaitingDecisions.find(Decision.m_Job);
  return Before == Leader.m_WaitingDecisions.end() ||
         Before->second.m_Verdict != Decision.m_Verdict ||
         Before->second.m_Rule != Decision.m_Rule;
}

static void runPass(LeaderStep &Out, const State &Current,
                    const LeaderOptions &Options, core::Time Now) {
  Leader &Leader = Out.m_Leader;
  Leader.m_PassNeeded = false;
  Leader.m_LastPassAt = Now;
  ScheduleResult Pass = schedule(Current, Leader.m_Reservations,
                                 Leader.m_SilentTargets, Options.m_Pass, Now);
  for (placement::Decision &Decision : Pass.m_Decisions) {
    if (!isNewDecision(Leader, Decision))
      continue;
    if (Decision.m_Verdict == placement::Verdict::Waiting ||
        Decision.m_Verdict == placement::Verdict::Reclaiming)
      Leader.m_WaitingDecisions.insert_or_assign(Decision.m_Job, Decision);
    Out.m_NewDecisions.push_back(std::move(Decision));
  }
  for (Command &Each : Pass.m_Commands)
    Out.m_Commands.push_back(std::move(Each));
}

LeaderStep tick(Leader Before, const State &Current,
                const LeaderOptions &Options, bool MayPass, core::Time Now) {
  LeaderStep Out{.m_Leader = std::move(Before)};
  Leader &Leader = Out.m_Leader;
  checkSilentTargets(Out, Current, Options, Now);
  refreshReservations(Leader, Current, Options, Now);

  bool PassDue = !Current.m_Indexes.m_Queued.empty() &&
                 (Leader.m_PassNeeded ||
                  Now - Leader.m_LastPassAt >= Options.m_PassInterval);
  if (MayPass && PassDue)
    runPass(Out, Current, Options, Now);
  if (Now - Leader.m_LastExpireAt >= Options.m_ExpireInterval) {
    Leader.m_LastExpireAt = Now;
    Out.m_Commands.push_back(ExpireJobs{});
  }
  DispatchStep Next = sendDueCalls(std::move(Leader.m_Dispatcher), Current,
                                   Options.m_Dispatch, Now);
  Leader.m_Dispatcher = std::move(Next.m_Dispatcher);
  for (Command &Each : Next.m_Commands)
    Out.m_Commands.push_back(std::move(Each));
  Out.m_Calls = std::move(Next.m_Calls);
  return Out;
}

} // namespace fireflydrift::control
