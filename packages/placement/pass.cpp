#include "placement/pass.h"

#include <algorithm>

namespace fireflydrift::placement {

namespace {

// Equal for jobs that are treated alike in one pass: once one of them has to
// wait, the others wait as well. Does not include the time that a job has
// waited and the targets on which it has failed.
struct EquivalenceClass {
  core::WorkspaceId m_Workspace;
  core::Shape m_Shape;
  core::Selector m_Selector;
  bool m_Reclaimable = false;
  bool m_Urgent = false;
  core::Duration m_RunTime;

  friend auto operator<=>(const EquivalenceClass &,
                          const EquivalenceClass &) = default;
};

} // namespace

static EquivalenceClass equivalenceClassOf(const View &Context,
                                           const job::Job &Value) {
  return {.m_Workspace = Value.key().m_Workspace,
          .m_Shape = Value.spec().m_Shape,
          .m_Selector = Value.spec().m_Selector,
          .m_Reclaimable = Value.isReclaimable(),
          .m_Urgent = Value.isUrgent(),
          .m_RunTime = Context.m_Estimates->runTime(Value.spec())};
}

static Fleet withPlaced(Fleet Before, const View &Context,
                        const job::Job &Value, const Decision &Decided,
                        core::Time Now) {
  auto Placed =
      job::applyInput(Value, job::Place{.m_Targets = Decided.m_Targets}, Now);
  if (!Placed)
    return Before;
  return std::move(Before).withAllocated(
      *Placed, Now + Context.m_Estimates->runTime(Value.spec()));
}

// The reservation that a job gets after its decision: on the targets reclaimed
// for it or, if it waits and ReserveEarliestFit is set, on those where it fits
// soonest.
static std::optional<BackfillReservation>
reservationAfter(const View &Context, const job::Job &Value,
                 const Decision &Decided, bool ReserveEarliestFit,
                 core::Time Now) {
  if (Decided.m_Verdict == Verdict::Reclaiming)
    return BackfillReservation{
        .m_Job = Value.key(),
        .m_Targets = {Decided.m_Targets.begin(), Decided.m_Targets.end()},
        .m_Until = Now};
  if (!ReserveEarliestFit || Decided.m_Verdict != Verdict::Waiting)
    return std::nullopt;
  return reservationFor(Context, Value, Now);
}

// The job that has waited longest.
static const job::Job *oldest(const std::vector<const job::Job *> &Queued) {
  auto Found = std::min_element(
      Queued.begin(), Queued.end(), [](const job::Job *A, const job::Job *B) {
        return A->fields().m_AcceptedAt < B->fields().m_AcceptedAt;
      });
  return Found == Queued.end() ? nullptr : *Found;
}

// Before anything is placed, the oldest queued job gets a backfill reservation
// if it lacks only capacity, so that jobs earlier in the sort order can't
// starve it.
static void reserveForOldest(View &Working,
                             const std::vector<const job::Job *> &Queued,
                             const PassOptions &Options, core::Time Now) {
  const job::Job *Oldest = oldest(Queued);
  if (!Options.m_ReserveForOldest || !Oldest)
    return;
  Decision Decided = Options.m_Policy(Working, *Oldest, Now);
  bool LacksCapacity =
      Decided.m_Verdict == Verdict::Waiting && Decided.m_Considered > 0;
  if (auto Reservation =
          reservationAfter(Working, *Oldest, Decided, LacksCapacity, Now))
    Working.m_BackfillReservations.push_back(*std::move(Reservation));
}

PassResult runPass(const View &Context,
                   const std::vector<const job::Job *> &Queued,
                   const PassOptions &Options, core::Time Now) {
  PassResult Result;
  if (Queued.empty())
    return Result;
  Fleet Remaining = *Context.m_Fleet;
  View Working = Context;
  Working.m_Fleet = &Remaining;
  reserveForOldest(Working, Queued, Options, Now);

  std::set<EquivalenceClass> Waiting;
  for (const job::Job *Each : Options.m_Order(Working, Queued, Now)) {
    if (Result.m_Decisions.size() >= Options.m_MaxDecisions)
      break;
    EquivalenceClass Class = equivalenceClassOf(Working, *Each);
    // No capacity is released within a pass, so equivalent jobs wait as well.
    if (Waiting.contains(Class))
      continue;
    core::Reason Unplaceable = checkPlaceable(Working, *Each);
    if (Unplaceable.m_Code != core::ReasonCode::None) {
      Result.m_Refused.emplace(Each->key(), Unplaceable);
      continue;
    }
    Decision Decided = Options.m_Policy(Working, *Each, Now);
    if (Decided.m_Verdict == Verdict::Placed) {
      Remaining =
          withPlaced(std::move(Remaining), Working, *Each, Decided, Now);
    } else {
      Waiting.insert(Class);
      if (Decided.m_Verdict == Verdict::Reclaiming)
        if (auto Reservation =
                reservationAfter(Working, *Each, Decided, false, Now))
          Working.m_BackfillReservations.push_back(*std::move(Reservation));
    }
    Result.m_Decisions.push_back(std::move(Decided));
  }
  return Result;
}

} // namespace fireflydrift::placement
