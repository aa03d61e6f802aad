#include "placement/order.h"

#include <algorithm>

namespace fireflydrift::placement {

namespace {

// Smaller ranks go first; members in order of importance.
struct Rank {
  // A claim goes before urgent work, or urgent work that was stopped for the
  // claim would take its place again.
  bool m_NoClaim = true;
  bool m_NotUrgent = true;
  bool m_NotAged = true;
  bool m_Long = true;
  std::int64_t m_UsedPerWeight = 0;
  core::Time m_AcceptedAt;
  const job::Job *m_Job = nullptr;

  friend bool operator<(const Rank &A, const Rank &B) {
    auto Key = [](const Rank &Value) {
      return std::tie(Value.m_NoClaim, Value.m_NotUrgent, Value.m_NotAged,
                      Value.m_Long, Value.m_UsedPerWeight, Value.m_AcceptedAt);
    };
    return Key(A) < Key(B);
  }
};

} // namespace

static Rank rankOf(const View &All, const job::Job &Value, core::Time Now) {
  const core::WorkspaceId &Id = Value.key().m_Workspace;
  const workspace::Workspace *Owner = All.m_Configuration->find(Id);
  std::int64_t Used = All.m_Fleet->used(Id);
  std::int64_t More = Value.spec().m_Shape.total().m_Accelerators;
  std::int64_t Weight = Owner ? Owner->spec().m_Weight : 1;
  std::int64_t Guaranteed = Owner ? Owner->guaranteedAccelerators() : 0;
  // Scaled so that small differences between weights still show.
  constexpr std::int64_t Scale = 1000;
  return {.m_NoClaim = Used + More > Guaranteed,
          .m_NotUrgent = !Value.isUrgent(),
          .m_NotAged =
              Now -
              Value.fields()
                  .m_AcceptedAt<AgedAfter, .m_Long = All.m_Estimates->runTime(
                                               Value.spec())>
                      All.m_Configuration->limits()
                  .m_ShortRunTime,
          .m_UsedPerWeight = Used * Scale / Weight,
          .m_AcceptedAt = Value.fields().m_AcceptedAt,
          .m_Job = &Value};
}

std::vector<const job::Job *>
orderByService(const View &All, std::vector<const job::Job *> Queued,
               core::Time Now) {
  std::vector<Rank> Ranks;
  Ranks.reserve(Queued.size());
  for (const job::Job *Each : Queued)
    Ranks.push_back(rankOf(All, *Each, Now));
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
