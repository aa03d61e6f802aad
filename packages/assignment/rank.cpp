#include "assignment/rank.h"

#include <algorithm>
#include <tuple>

namespace fireflydrift::assignment {

// A workflow that takes more than so many times its objective is of no use to
// its caller any more.
static constexpr int UselessAfter = 3;

static core::Duration allowance(const workflow::Workflow &Value) {
  constexpr int Percent = 100;
  const workflow::WorkflowSpec &Spec = Value.spec();
  return workflow::criticalPathTime(Spec) * Spec.m_Policy.m_SlackPercent /
             Percent +
         Spec.m_Policy.m_TargetLatency;
}

core::Time objectiveOf(const workflow::Workflow &Value) {
  return Value.fields().m_AcceptedAt + allowance(Value);
}

namespace {

enum class Prospect : std::uint8_t { InTime, Late, Useless };

// Members in order of importance; smaller goes first.
struct Rank {
  bool m_NotUrgent = true;
  bool m_NotReserved = true;
  Prospect m_Prospect = Prospect::InTime;
  core::Time m_LatestStart;
  core::RequestId m_Workflow;
  std::uint32_t m_Step = 0;

  friend auto operator<=>(const Rank &, const Rank &) = default;
};

} // namespace

static Rank rankOf(const PendingStep &Value, core::Time Now) {
  const workflow::Workflow &Of = *Value.m_Workflow;
  core::Time End = Now + Value.m_Remaining;
  core::Time Useless = Of.fields().m_AcceptedAt + allowance(Of) * UselessAfter;
  Prospect Seen = End <= objectiveOf(Of) ? Prospect::InTime
                  : End <= Useless       ? Prospect::Late
                                         : Prospect::Useless;
  return {.m_NotUrgent = Value.terms().m_Priority != 0,
          .m_NotReserved = !Value.m_Reserved,
          .m_Prospect = Seen,
          .m_LatestStart = objectiveOf(Of) - Value.m_Remaining,
          .m_Workflow = Of.id(),
          .m_Step = Value.m_Step};
}

void orderByUrgency(std::vector<PendingStep> &All, core::Time Now) {
  std::vector<std::pair<Rank, std::size_t>> Ranks;
  for (std::size_t I = 0; I < All.size(); ++I)
    Ranks.emplace_back(rankOf(All[I], Now), I);
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<PendingStep> Sorted;
  Sorted.reserve(All.size());
  for (const auto &[Rank, Index] : Ranks)
    Sorted.push_back(std::move(All[Index]));
  All = std::move(Sorted);
}

void orderByArrival(std::vector<PendingStep> &All, core::Time) {
  std::stable_sort(All.begin(), All.end(),
                   [](const PendingStep &A, const PendingStep &B) {
                     return A.m_Workflow->fields().m_AcceptedAt <
                            B.m_Workflow->fields().m_AcceptedAt;
                   });
}

} // namespace fireflydrift::assignment
