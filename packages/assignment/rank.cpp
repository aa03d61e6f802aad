#include "assignment/rank.h"

#include <algorithm>
#include <tuple>

namespace fireflydrift::assignment {

// A workflow that takes more than this many times its latency budget is
// expired: its result is of no use to the caller any more.
static constexpr int ExpiryFactor = 3;

static core::Duration latencyBudget(const workflow::Workflow &Value) {
  constexpr int Percent = 100;
  const workflow::WorkflowSpec &Spec = Value.spec();
  return workflow::criticalPathTime(Spec) * Spec.m_Policy.m_SlackPercent /
             Percent +
         Spec.m_Policy.m_TargetLatency;
}

core::Time objectiveOf(const workflow::Workflow &Value) {
  return Value.fields().m_AcceptedAt + latencyBudget(Value);
}

core::Time expiryOf(const workflow::Workflow &Value) {
  return Value.fields().m_AcceptedAt + latencyBudget(Value) * ExpiryFactor;
}

namespace {

enum class DeadlineStatus : std::uint8_t { OnTime, Late, Expired };

// Sort key: members in order of importance; smaller keys go first.
struct Rank {
  bool m_NotUrgent = true;
  bool m_NotReserved = true;
  DeadlineStatus m_DeadlineStatus = DeadlineStatus::OnTime;
  core::Time m_LatestStart;
  core::RequestId m_Workflow;
  std::uint32_t m_Step = 0;

  friend auto operator<=>(const Rank &, const Rank &) = default;
};

} // namespace

static Rank rankOf(const PendingStep &Value, core::Time Now) {
  const workflow::Workflow &Owner = *Value.m_Workflow;
  core::Time End = Now + Value.m_Remaining;
  DeadlineStatus Status = End <= objectiveOf(Owner) ? DeadlineStatus::OnTime
                          : End <= expiryOf(Owner)  ? DeadlineStatus::Late
                                                    : DeadlineStatus::Expired;
  return {.m_NotUrgent = Value.policy().m_Priority != 0,
          .m_NotReserved = !Value.m_Reserved,
          .m_DeadlineStatus = Status,
          .m_LatestStart = objectiveOf(Owner) - Value.m_Remaining,
          .m_Workflow = Owner.id(),
          .m_Step = Value.m_Step};
}

void orderByUrgency(std::vector<PendingStep> &Steps, core::Time Now) {
  std::vector<std::pair<Rank, std::size_t>> Ranks;
  for (std::size_t I = 0; I < Steps.size(); ++I)
    Ranks.emplace_back(rankOf(Steps[I], Now), I);
  std::sort(Ranks.begin(), Ranks.end());
  std::vector<PendingStep> Sorted;
  Sorted.reserve(Steps.size());
  for (const auto &[Rank, Index] : Ranks)
    Sorted.push_back(std::move(Steps[Index]));
  Steps = std::move(Sorted);
}

void orderByArrival(std::vector<PendingStep> &Steps, core::Time) {
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const PendingStep &A, const PendingStep &B) {
                     return A.m_Workflow->fields().m_AcceptedAt <
                            B.m_Workflow->fields().m_AcceptedAt;
                   });
}

} // namespace fireflydrift::assignment
