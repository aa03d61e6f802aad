#include "placement/place.h"

#include "placement/candidates.h"
#include "placement/reclaim.h"

namespace fireflydrift::placement {

using impl::Candidates;

// ---- Policies --------------------------------------------------------------

static Decision startDecision(const job::Job &Value, core::Time Now) {
  return {.m_Job = Value.key(), .m_At = Now};
}

static bool violatesQuota(const View &Context, const job::Job &Value,
                          Decision &Result) {
  const core::WorkspaceId &Id = Value.key().m_Workspace;
  const workspace::Workspace *Owner = Context.m_Configuration->find(Id);
  std::int64_t Requested = Value.spec().m_Shape.total().m_Accelerators;
  if (!Owner) {
    Result.m_Rule = "the workspace is not configured any more";
    return true;
  }
  workspace::QuotaStatus Status =
      Owner->quotaStatus(Context.m_Fleet->used(Id), Requested);
  if (Status == workspace::QuotaStatus::Exceeded)
    Result.m_Rule = "over quota";
  // Borrowed capacity must be reclaimable, so the workspace's work that can't
  // be stopped must fit into the quota by itself; only its other work may
  // exceed the quota.
  else if (!Value.isReclaimable() &&
           Owner->quotaStatus(Context.m_Fleet->usedNonReclaimable(Id),
                              Requested) != workspace::QuotaStatus::WithinQuota)
    Result.m_Rule = "work that must run once does not borrow";
  return !Result.m_Rule.empty();
}

static bool violatesShortReserve(const View &Context, const job::Job &Value,
                                 Decision &Result) {
  const configuration::Limits &Limits = Context.m_Configuration->limits();
  bool Short =
      Context.m_Estimates->runTime(Value.spec()) <= Limits.m_ShortRunTime;
  if (Short || Value.isUrgent() || Limits.m_ShortReserve == 0)
    return false;
  std::int64_t Remaining = Context.m_Fleet->freeAccelerators() -
                           Value.spec().m_Shape.total().m_Accelerators;
  if (Remaining >= Limits.m_ShortReserve)
    return false;
  Result.m_Rule = "the rest is reserved for short work";
  return true;
}

Decision placeWithReservations(const View &Context, const job::Job &Value,
                               core::Time Now) {
  Decision Result = startDecision(Value, Now);
  if (violatesQuota(Context, Value, Result))
    return Result;
  bool HeldByReserve = violatesShortReserve(Context, Value, Result);
  if (!HeldByReserve) {
    Candidates Found = impl::findCandidates(Context, Value, Now, true, Result);
    Result.m_Targets =
        impl::chooseTargets(Found, Value.spec().m_Shape, Result.m_Rule);
  }
  if (!Result.m_Targets.empty())
    Result.m_Verdict = Verdict::Placed;
  else if (!impl::planGuaranteeReclaim(Context, Value, Now, Result))
    (void)impl::planQuotaReclaim(Context, Value, Now, HeldByReserve, Result);
  return Result;
}

static Decision placeWithoutReservations(const View &Context,
                                         const job::Job &Value, core::Time Now,
                                         impl::FillOrder Order,
                                         const char *Rule) {
  Decision Result = startDecision(Value, Now);
  if (violatesQuota(Context, Value, Result))
    return Result;
  const core::Shape &Shape = Value.spec().m_Shape;
  Candidates Found = impl::findCandidates(Context, Value, Now, false, Result);
  if (Shape.m_Adjacency == core::Adjacency::Required) {
    for (const auto &[Rack, Here] : impl::byRack(Found))
      if (Result.m_Targets.empty())
        Result.m_Targets = impl::fill(Here, Shape.m_Tasks, Order);
  } else {
    Result.m_Targets = impl::fill(std::move(Found), Shape.m_Tasks, Order);
  }
  bool Placed = !Result.m_Targets.empty();
  Result.m_Verdict = Placed ? Verdict::Placed : Verdict::Waiting;
  Result.m_Rule = Placed ? Rule : "not enough room";
  return Result;
}

Decision placeFirstFit(const View &Context, const job::Job &Value,
                       core::Time Now) {
  return placeWithoutReservations(Context, Value, Now, impl::inGivenOrder,
                                  "first fit");
}

Decision placeBestFit(const View &Context, const job::Job &Value,
                      core::Time Now) {
  return placeWithoutReservations(Context, Value, Now, impl::leastFreeFirst,
                                  "best fit");
}

// ---- Jobs that can never run -----------------------------------------------

core::Reason checkPlaceable(const View &Context, const job::Job &Value) {
  const job::JobSpec &Spec = Value.spec();
  const core::Shape &Shape = Spec.m_Shape;
  const workspace::Workspace *Owner =
      Context.m_Configuration->find(Value.key().m_Workspace);
  if (Owner && Owner->quotaStatus(0, Shape.total().m_Accelerators) ==
                   workspace::QuotaStatus::Exceeded)
    return {.m_Code = core::ReasonCode::QuotaExceeded,
            .m_Field = "tasks",
            .m_Message = "asks for more than the quota and all it may borrow"};
  std::map<std::string, std::uint64_t> TasksByRack;
  std::uint64_t Total = 0;
  bool AnyTarget = false;
  for (const auto &[Id, Each] : Context.m_Fleet->targets()) {
    const target::Announcement &Announced = Each.m_Target.announcement();
    AnyTarget = true;
    if (!Spec.m_Selector.matches(Announced.m_Labels))
      continue;
    std::uint64_t Here = std::min(Announced.m_Capacity.count(Shape.m_PerTask),
                                  core::MaxGangTasks);
    Total += Here;
    TasksByRack[Announced.m_Rack] += Here;
  }
  // Until the first target announces itself, no job is known to be unplaceable.
  if (!AnyTarget)
    return {};
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  bool Fits = !OneRack && Total >= Shape.m_Tasks;
  for (const auto &[Rack, Here] : TasksByRack)
    Fits = Fits || Here >= Shape.m_Tasks;
  if (Fits)
    return {};
  return {.m_Code = core::ReasonCode::Unplaceable,
          .m_Field = Total == 0 ? "selector" : "tasks",
          .m_Message = OneRack
                           ? "no rack could hold the gang even if empty"
                           : "no targets could hold the gang even if empty"};
}

} // namespace fireflydrift::placement
