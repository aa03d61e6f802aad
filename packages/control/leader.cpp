#include "control/leader.h"

namespace fireflydrift::control {

Leader becomeLeader(const State &Current, core::Time Now) {
  return {.m_Dispatcher = inherit(Current, Now),
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
        follow(std::move(Before.m_Dispatcher), Current, Each.m_Job, Now);
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
  Dispatched Next = handleReply(std::move(Before.m_Dispatcher), Current, Reply,
                                Options.m_Dispatch, Now);
  Before.m_Dispatcher = std::move(Next.m_Dispatcher);
  return {.m_Leader = std::move(Before),
          .m_Commands = std::move(Next.m_Commands),
          .m_Calls = std::move(Next.m_Calls)};
}

// ---- Targets without signs of life -----------------------------------------

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

static void noticeSilence(LeaderStep &Out, const State &Current,
                          const LeaderOptions &Options, core::Time Now) {
  Leader &Self = Out.m_Leader;
  if (Now - Self.m_LastSilenceCheckAt < Options.m_SilenceCheckInterval)
    return;
  Self.m_LastSilenceCheckAt = Now;
  Self.m_Silent = silentTargets(Self, Current, Options.m_Heartbeats, Now);
  std::erase_if(Self.m_LossProposed, [&](const core::TargetId &Id) {
    return !Self.m_Silent.contains(Id);
  });
  for (const core::TargetId &Id : Self.m_Silent) {
    bool Lost = Now - routing::lastHeartbeat(Self.m_Heartbeats, Id) >=
                Options.m_Heartbeats.m_LostAfter;
    if (Lost && Current.m_Tables.m_Targets.contains(Id) &&
        Self.m_LossProposed.insert(Id).second)
      Out.m_Commands.push_back(MarkTargetLost{.m_Target = Id});
  }
}

// ---- Passes ----------------------------------------------------------------

static void keepWitnesses(Leader &Self, const State &Current,
                          const LeaderOptions &Options, core::Time Now) {
  bool Due = Self.m_ReservationsNeeded ||
             Now - Self.m_LastReservationAt >= Options.m_ReservationInterval;
  if (!Due)
    return;
  Self.m_Reservations = placement::reserveGuarantees(
      Current.m_Indexes.m_Fleet, Current.m_Tables.m_Configuration,
      Self.m_Reservations, Now);
  Self.m_ReservationsNeeded = false;
  Self.m_LastReservationAt = Now;
}

static bool isNews(const Leader &Self, const placement::Decision &Said) {
  auto Before = Self.m_WaitingDecisions.find(Said.m_Job);
  return Before == Self.m_WaitingDecisions.end() ||
         Before->second.m_Verdict != Said.m_Verdict ||
         Before->second.m_Rule != Said.m_Rule;
}

static void runPass(LeaderStep &Out, const State &Current,
                    const LeaderOptions &Options, core::Time Now) {
  Leader &Self = Out.m_Leader;
  Self.m_PassNeeded = false;
  Self.m_LastPassAt = Now;
  Scheduled Pass = schedule(Current, Self.m_Reservations, Self.m_Silent,
                            Options.m_Pass, Now);
  for (placement::Decision &Said : Pass.m_Decisions) {
    if (!isNews(Self, Said))
      continue;
    if (Said.m_Verdict == placement::Verdict::Waiting ||
        Said.m_Verdict == placement::Verdict::Reclaiming)
      Self.m_WaitingDecisions.insert_or_assign(Said.m_Job, Said);
    Out.m_NewDecisions.push_back(std::move(Said));
  }
  for (Command &Each : Pass.m_Commands)
    Out.m_Commands.push_back(std::move(Each));
}

LeaderStep tick(Leader Before, const State &Current,
                const LeaderOptions &Options, bool MayPass, core::Time Now) {
  LeaderStep Out{.m_Leader = std::move(Before)};
  Leader &Self = Out.m_Leader;
  noticeSilence(Out, Current, Options, Now);
  keepWitnesses(Self, Current, Options, Now);

  bool PassDue =
      !Current.m_Indexes.m_Queued.empty() &&
      (Self.m_PassNeeded || Now - Self.m_LastPassAt >= Options.m_PassInterval);
  if (MayPass && PassDue)
    runPass(Out, Current, Options, Now);
  if (Now - Self.m_LastExpireAt >= Options.m_ExpireInterval) {
    Self.m_LastExpireAt = Now;
    Out.m_Commands.push_back(ExpireJobs{});
  }
  Dispatched Next =
      due(std::move(Self.m_Dispatcher), Current, Options.m_Dispatch, Now);
  Self.m_Dispatcher = std::move(Next.m_Dispatcher);
  for (Command &Each : Next.m_Commands)
    Out.m_Commands.push_back(std::move(Each));
  Out.m_Calls = std::move(Next.m_Calls);
  return Out;
}

} // namespace fireflydrift::control
