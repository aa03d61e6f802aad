#include "control/leader.h"

namespace fireflydrift::control {

Leader beginLeading(const State &Current, core::Time Now) {
  return {.m_Dispatcher = inherit(Current, Now),
          .m_Signs = {.m_Since = Now},
          .m_PassAt = Now,
          .m_ExpireAt = Now,
          .m_WitnessAt = Now,
          .m_SilenceAt = Now};
}

Leader afterApplied(Leader Before, const State &Current, const Applied &Result,
                    core::Time Now) {
  for (const Change &Each : Result.m_Changes) {
    Before.m_Dispatcher =
        follow(std::move(Before.m_Dispatcher), Current, Each.m_Job, Now);
    if (Each.m_To != job::Phase::Queued)
      Before.m_Waiting.erase(Each.m_Job);
  }
  bool Changed = Result.m_FleetChanged || !Result.m_Changes.empty();
  Before.m_PassNeeded = Before.m_PassNeeded || Changed;
  Before.m_WitnessesNeeded = Before.m_WitnessesNeeded || Result.m_FleetChanged;
  return Before;
}

LeaderStep afterCall(Leader Before, const State &Current,
                     const CallReply &Reply, const LeaderOptions &Options,
                     core::Time Now) {
  Dispatched Next = answered(std::move(Before.m_Dispatcher), Current, Reply,
                             Options.m_Dispatch, Now);
  Before.m_Dispatcher = std::move(Next.m_Dispatcher);
  return {.m_Leader = std::move(Before),
          .m_Commands = std::move(Next.m_Commands),
          .m_Calls = std::move(Next.m_Calls)};
}

// ---- Targets without signs of life -----------------------------------------

std::set<core::TargetId> silentTargets(const Leader &Current,
                                       const State &State,
                                       const routing::SignsOptions &Options,
                                       core::Time Now) {
  std::set<core::TargetId> Silent;
  for (const auto &[Id, Value] : State.m_Tables.m_Targets)
    if (Value.presence() != target::Presence::Lost &&
        Now - routing::lastSign(Current.m_Signs, Id) >= Options.m_SilentAfter)
      Silent.insert(Id);
  return Silent;
}

std::vector<core::TargetId> givenUpButHeard(const Leader &Current,
                                            const State &State,
                                            const core::VmId &Entry) {
  std::vector<core::TargetId> Found;
  auto Known = Current.m_Signs.m_Entries.find(Entry);
  if (Known == Current.m_Signs.m_Entries.end())
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
  if (Now - Self.m_SilenceAt < Options.m_SilenceEvery)
    return;
  Self.m_SilenceAt = Now;
  Self.m_Silent = silentTargets(Self, Current, Options.m_Signs, Now);
  std::erase_if(Self.m_LossProposed, [&](const core::TargetId &Id) {
    return !Self.m_Silent.contains(Id);
  });
  for (const core::TargetId &Id : Self.m_Silent) {
    bool Lost = Now - routing::lastSign(Self.m_Signs, Id) >=
                Options.m_Signs.m_LostAfter;
    if (Lost && Current.m_Tables.m_Targets.contains(Id) &&
        Self.m_LossProposed.insert(Id).second)
      Out.m_Commands.push_back(LoseTarget{.m_Target = Id});
  }
}

// ---- Passes ----------------------------------------------------------------

static void keepWitnesses(Leader &Self, const State &Current,
                          const LeaderOptions &Options, core::Time Now) {
  bool Due = Self.m_WitnessesNeeded ||
             Now - Self.m_WitnessAt >= Options.m_WitnessEvery;
  if (!Due)
    return;
  Self.m_Witnesses = placement::assign(Current.m_Indexes.m_Fleet,
                                       Current.m_Tables.m_Configuration,
                                       Self.m_Witnesses, Now);
  Self.m_WitnessesNeeded = false;
  Self.m_WitnessAt = Now;
}

static bool isNews(const Leader &Self, const placement::Decision &Said) {
  auto Before = Self.m_Waiting.find(Said.m_Job);
  return Before == Self.m_Waiting.end() ||
         Before->second.m_Verdict != Said.m_Verdict ||
         Before->second.m_Rule != Said.m_Rule;
}

static void runPass(LeaderStep &Out, const State &Current,
                    const LeaderOptions &Options, core::Time Now) {
  Leader &Self = Out.m_Leader;
  Self.m_PassNeeded = false;
  Self.m_PassAt = Now;
  Scheduled Pass =
      schedule(Current, Self.m_Witnesses, Self.m_Silent, Options.m_Pass, Now);
  for (placement::Decision &Said : Pass.m_Decisions) {
    if (!isNews(Self, Said))
      continue;
    if (Said.m_Verdict == placement::Verdict::Waiting ||
        Said.m_Verdict == placement::Verdict::Reclaiming)
      Self.m_Waiting.insert_or_assign(Said.m_Job, Said);
    Out.m_News.push_back(std::move(Said));
  }
  for (Command &Each : Pass.m_Commands)
    Out.m_Commands.push_back(std::move(Each));
}

LeaderStep lead(Leader Before, const State &Current,
                const LeaderOptions &Options, bool MayPass, core::Time Now) {
  LeaderStep Out{.m_Leader = std::move(Before)};
  Leader &Self = Out.m_Leader;
  noticeSilence(Out, Current, Options, Now);
  keepWitnesses(Self, Current, Options, Now);

  bool PassDue =
      !Current.m_Indexes.m_Queued.empty() &&
      (Self.m_PassNeeded || Now - Self.m_PassAt >= Options.m_PassEvery);
  if (MayPass && PassDue)
    runPass(Out, Current, Options, Now);
  if (Now - Self.m_ExpireAt >= Options.m_ExpireEvery) {
    Self.m_ExpireAt = Now;
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
