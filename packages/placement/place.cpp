#include "placement/place.h"

#include "placement/candidates.h"
#include "placement/reclaim.h"

namespace fireflydrift::placement {

using impl::Candidates;

// ---- Policies --------------------------------------------------------------

static Decision startDecision(const job::Job &Value, core::Time Now) {
  return {.m_Job = Value.key(), .m_At = Now};
}

static bool breaksQuota(const View &All, const job::Job &Value,
                        Decision &Said) {
  const core::WorkspaceId &Id = Value.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  std::int64_t More = Value.spec().m_Shape.total().m_Accelerators;
  if (!Owner) {
    Said.m_Rule = "the workspace is not configured any more";
    return true;
  }
  workspace::QuotaStatus Stands =
      Owner->quotaStatus(All.m_Fleet->used(Id), More);
  if (Stands == workspace::QuotaStatus::Exceeded)
    Said.m_Rule = "over quota";
  // Borrowed capacity must come back, so what can't be stopped must fit into
  // the quota by itself; the workspace's other work counts as the borrower.
  else if (!Value.isReclaimable() &&
           Owner->quotaStatus(All.m_Fleet->usedFixed(Id), More) !=
               workspace::QuotaStatus::WithinQuota)
    Said.m_Rule = "work that must run once does not borrow";
  return !Said.m_Rule.empty();
}

static bool breaksShortReserve(const View &All, const job::Job &Value,
                               Decision &Said) {
  const configuration::Limits &Limits = All.m_Configuration->limits();
  bool Short = All.m_Estimates->runTime(Value.spec()) <= Limits.m_ShortRunTime;
  if (Short || Value.isUrgent() || Limits.m_ShortReserve == 0)
    return false;
  std::int64_t Left = All.m_Fleet->freeAccelerators() -
                      Value.spec().m_Shape.total().m_Accelerators;
  if (Left >= Limits.m_ShortReserve)
    return false;
  Said.m_Rule = "the rest is reserved for short work";
  return true;
}

Decision placeWithReservations(const View &All, const job::Job &Value,
                               core::Time Now) {
  Decision Said = startDecision(Value, Now);
  if (breaksQuota(All, Value, Said))
    return Said;
  bool Reserved = breaksShortReserve(All, Value, Said);
  if (!Reserved) {
    Candidates Found = impl::findCandidates(All, Value, Now, true, Said);
    Said.m_Targets =
        impl::chooseTargets(Found, Value.spec().m_Shape, Said.m_Rule);
  }
  if (!Said.m_Targets.empty())
    Said.m_Verdict = Verdict::Placed;
  else if (!impl::planReclaim(All, Value, Now, Said))
    (void)impl::planTakeBack(All, Value, Now, Reserved, Said);
  return Said;
}

static Decision placeUnguarded(const View &All, const job::Job &Value,
                               core::Time Now, impl::FillOrder Order,
                               const char *Rule) {
  Decision Said = startDecision(Value, Now);
  if (breaksQuota(All, Value, Said))
    return Said;
  const core::Shape &Shape = Value.spec().m_Shape;
  Candidates Found = impl::findCandidates(All, Value, Now, false, Said);
  if (Shape.m_Adjacency == core::Adjacency::Required) {
    for (const auto &[Rack, Here] : impl::byRack(Found))
      if (Said.m_Targets.empty())
        Said.m_Targets = impl::fill(Here, Shape.m_Tasks, Order);
  } else {
    Said.m_Targets = impl::fill(std::move(Found), Shape.m_Tasks, Order);
  }
  bool Placed = !Said.m_Targets.empty();
  Said.m_Verdict = Placed ? Verdict::Placed : Verdict::Waiting;
  Said.m_Rule = Placed ? Rule : "not enough room";
  return Said;
}

Decision placeFirstFit(const View &All, const job::Job &Value, core::Time Now) {
  return placeUnguarded(All, Value, Now, impl::inGivenOrder, "first fit");
}

Decision placeBestFit(const View &All, const job::Job &Value, core::Time Now) {
  return placeUnguarded(All, Value, Now, impl::leastFreeFirst, "best fit");
}

// ---- Jobs that can never run -----------------------------------------------

core::Reason checkPlaceable(const View &All, const job::Job &Value) {
  const job::JobSpec &Spec = Value.spec();
  const core::Shape &Shape = Spec.m_Shape;
  const workspace::Workspace *Owner =
      All.m_Configuration->find(Value.key().m_Workspace);
  if (Owner && Owner->quotaStatus(0, Shape.total().m_Accelerators) ==
                   workspace::QuotaStatus::Exceeded)
    return {.m_Code = core::ReasonCode::QuotaExceeded,
            .m_Field = "tasks",
            .m_Message = "asks for more than the quota and all it may borrow"};
  std::map<std::string, std::uint64_t> RoomByRack;
  std::uint64_t Room = 0;
  bool AnyTarget = false;
  for (const auto &[Id, Each] : All.m_Fleet->targets()) {
    const target::Announcement &Said = Each.m_Target.announcement();
    AnyTarget = true;
    if (!Spec.m_Selector.matches(Said.m_Labels))
      continue;
    std::uint64_t Here =
        std::min(Said.m_Capacity.count(Shape.m_PerTask), core::MaxGangTasks);
    Room += Here;
    RoomByRack[Said.m_Rack] += Here;
  }
  // Before any target has announced itself nothing is known to be impossible.
  if (!AnyTarget)
    return {};
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  bool Fits = !OneRack && Room >= Shape.m_Tasks;
  for (const auto &[Rack, Here] : RoomByRack)
    Fits = Fits || Here >= Shape.m_Tasks;
  if (Fits)
    return {};
  return {.m_Code = core::ReasonCode::Unplaceable,
          .m_Field = Room == 0 ? "selector" : "tasks",
          .m_Message = OneRack
                           ? "no rack could hold the gang even if empty"
                           : "no targets could hold the gang even if empty"};
}

} // namespace fireflydrift::placement
