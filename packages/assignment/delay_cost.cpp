#include "assignment/delay_cost.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fireflydrift::assignment {

// A delay matters once the slack is within this many mean run times.
static constexpr int LookaheadRunTimes = 2;
static constexpr double LateValue = 0.5;
// The most by which work that is done raises the cost of delaying the rest.
static constexpr double MaxProgress = 4;

// Each priority counts half as much as the one before it.
static double weightOf(std::uint32_t Priority) {
  return std::exp2(1 - static_cast<double>(Priority));
}

double resultValue(const workflow::Workflow &Value, core::Time End) {
  double Weight = weightOf(Value.spec().m_Policy.m_Priority);
  if (End <= objectiveOf(Value))
    return Weight;
  return End <= expiryOf(Value) ? Weight * LateValue : 0;
}

double delayCost(const PendingStep &Value, core::Duration Lookahead,
                 core::Time Now) {
  core::Time End = Now + Value.m_Remaining;
  auto Slack =
      std::max(objectiveOf(*Value.m_Workflow) - End, core::Duration::zero());
  double Progress = std::min(
      static_cast<double>(Value.m_TotalWork) /
          static_cast<double>(std::max<std::int64_t>(Value.m_RemainingWork, 1)),
      MaxProgress);
  double Urgency = std::exp(-static_cast<double>(Slack.count()) /
                            static_cast<double>(Lookahead.count()));
  return resultValue(*Value.m_Workflow, End) * Urgency * Progress;
}

static core::Duration lookaheadFor(const std::vector<PendingStep> &Steps) {
  core::Duration Total{0};
  for (const PendingStep &Each : Steps)
    Total += Each.m_RunTime;
  auto Count =
      static_cast<core::Duration::rep>(std::max(Steps.size(), std::size_t{1}));
  return std::max(Total * LookaheadRunTimes / Count, core::Duration(1));
}

void orderByDelayCost(std::vector<PendingStep> &Steps, core::Time Now) {
  auto Others = std::stable_partition(
      Steps.begin(), Steps.end(),
      [](const PendingStep &Each) { return Each.policy().m_Priority == 0; });
  std::vector<PendingStep> Waiting(std::make_move_iterator(Others),
                                   std::make_move_iterator(Steps.end()));
  Steps.erase(Others, Steps.end());
  orderByUrgency(Steps, Now);
  core::Duration Lookahead = lookaheadFor(Waiting);
  // Smaller keys go first.
  std::vector<std::tuple<double, core::Time, std::size_t>> Keys;
  for (std::size_t I = 0; I < Waiting.size(); ++I)
    Keys.emplace_back(-delayCost(Waiting[I], Lookahead, Now),
                      Waiting[I].m_Workflow->fields().m_AcceptedAt, I);
  std::sort(Keys.begin(), Keys.end());
  for (const auto &[Cost, AcceptedAt, Index] : Keys)
    Steps.push_back(std::move(Waiting[Index]));
}

} // namespace fireflydrift::assignment
