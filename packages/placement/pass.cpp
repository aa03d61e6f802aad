#include "placement/pass.h"

#include <algorithm>

namespace fireflydrift::placement {

namespace {

// Jobs for which every policy decides the same in one pass.
struct Alike {
  core::WorkspaceId m_Workspace;
  core::Shape m_Shape;
  core::Selector m_Selector;
  bool m_Reclaimable = false;
  bool m_Urgent = false;
  core::Duration m_RunTime;

  friend auto operator<=>(const Alike &, const Alike &) = default;
};

} // namespace

static Alike alikeOf(const View &All, const job::Job &Value) {
  return {.m_Workspace = Value.key().m_Workspace,
          .m_Shape = Value.spec().m_Shape,
          .m_Selector = Value.spec().m_Selector,
          .m_Reclaimable = Value.isReclaimable(),
          .m_Urgent = Value.isUrgent(),
          .m_RunTime = All.m_Estimates->runTime(Value.spec())};
}

static Fleet withPlaced(Fleet Before, const View &All, const job::Job &Value,
                        const Decision &Said, core::Time Now) {
  auto Placed =
      job::applyInput(Value, job::Place{.m_Targets = Said.m_Targets}, Now);
  if (!Placed)
    return Before;
  return std::move(Before).withAllocated(
      *Placed, Now + All.m_Estimates->runTime(Value.spec()));
}

// The targets that the job keeps for itself: those being reclaimed for it, or,
// for the first in line, those where it fits soonest.
static std::optional<BackfillReservation>
holdAfter(const View &All, const job::Job &Value, const Decision &Said,
          bool First, core::Time Now) {
  if (Said.m_Verdict == Verdict::Reclaiming)
    return BackfillReservation{
        .m_Job = Value.key(),
        .m_Targets = {Said.m_Targets.begin(), Said.m_Targets.end()},
        .m_Until = Now};
  if (!First || Said.m_Verdict != Verdict::Waiting)
    return std::nullopt;
  return holdFor(All, Value, Now);
}

// The job that has waited longest.
static const job::Job *oldest(const std::vector<const job::Job *> &Queued) {
  auto Found = std::min_element(
      Queued.begin(), Queued.end(), [](const job::Job *A, const job::Job *B) {
        return A->fields().m_AcceptedAt < B->fields().m_AcceptedAt;
      });
  return Found == Queued.end() ? nullptr : *Found;
}

// Before anything is placed, the oldest waiting job that lacks only room takes
// a hold, so that work placed earlier in the order can't starve it.
static void holdForOldest(View &Working,
                          const std::vector<const job::Job *> &Queued,
                          const PassOptions &Options, core::Time Now) {
  const job::Job *Oldest = oldest(Queued);
  if (!Options.m_ReserveForOldest || !Oldest)
    return;
  Decision Said = Options.m_Policy(Working, *Oldest, Now);
  bool LacksRoom = Said.m_Verdict == Verdict::Waiting && Said.m_Considered > 0;
  if (auto Kept = holdAfter(Working, *Oldest, Said, LacksRoom, Now))
    Working.m_BackfillReservations.push_back(*std::move(Kept));
}

PassResult runPass(const View &All, const std::vector<const job::Job *> &Queued,
                   const PassOptions &Options, core::Time Now) {
  PassResult Result;
  if (Queued.empty())
    return Result;
  Fleet Room = *All.m_Fleet;
  View Working = All;
  Working.m_Fleet = &Room;
  holdForOldest(Working, Queued, Options, Now);

  std::set<Alike> Waiting;
  for (const job::Job *Each : Options.m_Order(Working, Queued, Now)) {
    if (Result.m_Decisions.size() >= Options.m_MaxDecisions)
      break;
    Alike Class = alikeOf(Working, *Each);
    // Nothing that frees room happens within a pass.
    if (Waiting.contains(Class))
      continue;
    core::Reason Never = checkPlaceable(Working, *Each);
    if (Never.m_Code != core::ReasonCode::None) {
      Result.m_Refused.emplace(Each->key(), Never);
      continue;
    }
    Decision Said = Options.m_Policy(Working, *Each, Now);
    if (Said.m_Verdict == Verdict::Placed) {
      Room = withPlaced(std::move(Room), Working, *Each, Said, Now);
    } else {
      Waiting.insert(Class);
      if (Said.m_Verdict == Verdict::Reclaiming)
        if (auto Kept = holdAfter(Working, *Each, Said, false, Now))
          Working.m_BackfillReservations.push_back(*std::move(Kept));
    }
    Result.m_Decisions.push_back(std::move(Said));
  }
  return Result;
}

} // namespace fireflydrift::placement
