#include "placement/order.h"

#include <algorithm>

namespace fireflydrift::placement {

namespace {

// Sort key: members in order of importance; smaller keys go first.
struct Rank {
  // A claim on a guarantee goes before urgent jobs; otherwise an urgent job
  // that was stopped for the claim would be placed there again.
  bool m_NoGuaranteeClaim = true;
  bool m_NotUrgent = true;
  bool m_NotAged = true;
  bool m_Long = true;
  std::int64_t m_UsedPerWeight = 0;
  core::Time m_AcceptedAt;
  const job::Job *m_Job = nullptr;

  friend bool operator<(const Rank &A, const Rank &B) {
    auto Key = [](const Rank &Value) {
      return std::tie(Value.m_NoGuaranteeClaim, Value.m_NotUrgent,
                      Value.m_NotAged, Value.m_Long, Value.m_UsedPerWeight,
                      Value.m_AcceptedAt);
    };
    return Key(A) < Key(B);
  }
};

} // namespace

static Rank rankOf(const View &Context, const job::Job &Value, core::Time Now) {
  const core::WorkspaceId &Id = Value.key().m_Workspace;
  const workspace::Workspace *Owner = Context.m_Configuration->find(Id);
  std::int64_t Used = Context.m_Fleet->used(Id);
  std::int64_t Requested = Value.spec().m_Shape.total().m_Accelerators;
  std::int64_t Weight = Owner ? Owner->spec().m_Weight : 1;
  std::int64_t Guaranteed = Owner ? Owner->guaranteedAccelerators() : 0;
  // Keeps small differences between weights visible in integer division.
  constexpr std::int64_t Scale = 1000;
  return {.m_NoGuaranteeClaim = Used + Requested > Guaranteed,
          .m_NotUrgent = !Value.isUrgent(),
          .m_NotAged =
              Now - Value.fields()
                        .m_AcceptedAt<AgingThreshold,
                                      .m_Long = Context.m_Estimates->runTime(
                                          Value.spec())>
                            Context.m_Configuration->limits()
                        .m_ShortRunTime,
          .m_UsedPerWeight = Used * Scale / Weight,
          .m_AcceptedAt = Value.fields().m_AcceptedAt,
          .m_Job = &Value};
}

std::vector<const job::Job *>
orderByPriority(const View &Context, std::vector<const job::Job *> Queued,
                core::Time Now) {
  std::vector<Rank> Ranks;
  Ranks.reserve(Queued.size());
  for (const job::Job *Each : Queued)
    Ranks.push_back(rankOf(Context, *Each, Now));
  std::stable_sort(Ranks.begin(), Ranks.end());
  std::transform(Ranks.begin(), Ranks.end(), Queued.begin(),
                 [](const Rank &Each) { return Each.m_Job; });
  return Queued;
}

std::vector<const job::Job *>
orderByArrival(const View &, std::vector<const job::Job *> Queued, core::Time) {
  std::stable_sort(Queued.begin(), Queued.end(),
                   [](const job::Job *A, const job::Job *B) {
                     return A->fields().m_AcceptedAt < B->fields().m_AcceptedAt;
                   });
  return Queued;
}

} // namespace fireflydrift::placement
