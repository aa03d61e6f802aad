#include "assignment/fit.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>

namespace fireflydrift::assignment {

core::Capacity freeNow(const TargetInfo &Value) { return Value.m_Free; }
core::Capacity freeAfterRelease(const TargetInfo &Value) {
  return Value.m_Free + Value.m_Releasing;
}
core::Capacity freeWhenEmpty(const TargetInfo &Value) { return Value.m_Total; }

std::uint32_t countFits(const core::Capacity &Available,
                        const workflow::StepSpec &Step) noexcept {
  std::uint32_t Fits = Available.count(Step.m_PerTask);
  return Step.m_MaxPerTarget == 0 ? Fits : std::min(Fits, Step.m_MaxPerTarget);
}

TargetIndexes eligibleTargets(const std::vector<TargetInfo> &Targets,
                              const PendingStep &Pending) {
  const workflow::StepSpec &Step = Pending.spec();
  TargetIndexes Found;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const TargetInfo &Each = Targets[I];
    bool HasLabel = Step.m_RequiredLabel.empty() ||
                    std::find(Each.m_Labels.begin(), Each.m_Labels.end(),
                              Step.m_RequiredLabel) != Each.m_Labels.end();
    if (Each.m_Pool == Pending.policy().m_Pool && HasLabel)
      Found.push_back(I);
  }
  return Found;
}

namespace {

// A target and the number of tasks that fit on it.
struct Candidate {
  std::size_t m_Target = 0;
  std::uint32_t m_Tasks = 0;
  // The target is suspect or has failed a task of the step; it is chosen last.
  bool m_IsAvoided = false;
  bool m_FarFromData = false;
  std::int64_t m_FreeAccelerators = 0;
  std::int64_t m_FreeMemory = 0;

  // Healthy targets first, then those near the data, then the fullest, so that
  // whole targets stay free.
  friend bool operator<(const Candidate &A, const Candidate &B) {
    auto Key = [](const Candidate &Value) {
      return std::tie(Value.m_IsAvoided, Value.m_FarFromData,
                      Value.m_FreeAccelerators, Value.m_FreeMemory);
    };
    return Key(A) < Key(B);
  }
};

using Candidates = std::vector<Candidate>;

} // namespace

// Tasks of the same step that already run on the target, up to the limit. Tasks
// being stopped count until their end is known.
static std::uint32_t tasksPresent(const TargetInfo &Value,
                                  const PendingStep &Pending) {
  auto Same = [&](const workflow::TaskKey &Each) {
    return Each.m_Workflow == Pending.m_Workflow->id() &&
           Each.m_Step == Pending.m_Step;
  };
  auto Present =
      std::count_if(
          Value.m_Allocations.begin(), Value.m_Allocations.end(),
          [&](const TaskAllocation &Each) { return Same(Each.m_Task); }) +
      std::count_if(Value.m_Stopping.begin(), Value.m_Stopping.end(), Same);
  return std::min(static_cast<std::uint32_t>(Present),
                  Pending.spec().m_MaxPerTarget);
}

static Candidates findCandidates(const std::vector<TargetInfo> &Targets,
                                 const TargetIndexes &Eligible,
                                 const PendingStep &Pending,
                                 CapacityOf Capacity) {
  const workflow::StepSpec &Step = Pending.spec();
  Candidates Found;
  for (std::size_t Index : Eligible) {
    const TargetInfo &Each = Targets[Index];
    core::Capacity Free = Capacity(Each);
    std::uint32_t Tasks = countFits(Free, Step);
    if (Step.m_MaxPerTarget > 0)
      Tasks =
          std::min(Tasks, Step.m_MaxPerTarget - tasksPresent(Each, Pending));
    if (Tasks == 0)
      continue;
    Found.push_back(
        {.m_Target = Index,
         .m_Tasks = Tasks,
         .m_IsAvoided = Each.m_Suspect || Pending.m_FailedTargets.contains(
                                              Each.m_Instance.m_Target),
         .m_FarFromData =
             !Step.m_DataRack.empty() && Step.m_DataRack != Each.m_Rack,
         .m_FreeAccelerators = Free.m_Accelerators,
         .m_FreeMemory = Free.m_MemoryMb});
  }
  return Found;
}

static std::uint64_t totalTasks(const Candidates &Found) {
  return std::accumulate(Found.begin(), Found.end(), std::uint64_t{0},
                         [](std::uint64_t Sum, const Candidate &Each) {
                           return Sum + Each.m_Tasks;
                         });
}

// Targets in order of preference, until every task has one; else empty.
static TargetIndexes selectTargets(Candidates Found, std::size_t Tasks) {
  std::stable_sort(Found.begin(), Found.end());
  TargetIndexes Chosen;
  for (const Candidate &Each : Found)
    for (std::uint32_t I = 0; I < Each.m_Tasks && Chosen.size() < Tasks; ++I)
      Chosen.push_back(Each.m_Target);
  return Chosen.size() == Tasks ? Chosen : TargetIndexes();
}

static std::map<std::string, Candidates>
byRack(const std::vector<TargetInfo> &Targets, const Candidates &Found) {
  std::map<std::string, Candidates> Racks;
  for (const Candidate &Each : Found)
    Racks[Targets[Each.m_Target].m_Rack].push_back(Each);
  return Racks;
}

// Fits the gang onto one rack: if possible without targets to avoid, then if
// possible near the data, then on the rack with the fewest free accelerators.
static TargetIndexes selectOneRack(const std::vector<TargetInfo> &Targets,
                                   const Candidates &Found, std::size_t Tasks) {
  TargetIndexes Best;
  auto BestKey =
      std::tuple(true, true, std::numeric_limits<std::int64_t>::max());
  for (const auto &[Rack, OnRack] : byRack(Targets, Found)) {
    if (totalTasks(OnRack) < Tasks)
      continue;
    TargetIndexes Chosen = selectTargets(OnRack, Tasks);
    bool UsesAvoided = false;
    bool FarFromData = false;
    std::int64_t Free = 0;
    for (const Candidate &Each : OnRack) {
      bool IsUsed = std::find(Chosen.begin(), Chosen.end(), Each.m_Target) !=
                    Chosen.end();
      UsesAvoided = UsesAvoided || (IsUsed && Each.m_IsAvoided);
      FarFromData = FarFromData || Each.m_FarFromData;
      Free += Each.m_FreeAccelerators;
    }
    auto Key = std::tuple(UsesAvoided, FarFromData, Free);
    if (Best.empty() || Key < BestKey) {
      Best = std::move(Chosen);
      BestKey = Key;
    }
  }
  return Best;
}

bool needsOneRack(const std::vector<TargetInfo> &Targets,
                  const TargetIndexes &Eligible, const PendingStep &Pending) {
  const workflow::StepSpec &Step = Pending.spec();
  if (!Step.m_Gang || !Step.m_RackAffinity || Pending.m_AllowMultipleRacks)
    return false;
  Candidates Empty = findCandidates(Targets, Eligible, Pending, freeWhenEmpty);
  std::map<std::string, Candidates> Racks = byRack(Targets, Empty);
  return std::any_of(Racks.begin(), Racks.end(), [&](const auto &Each) {
    return totalTasks(Each.second) >= Step.m_Tasks;
  });
}

TargetIndexes fitGang(const std::vector<TargetInfo> &Targets,
                      const TargetIndexes &Eligible, const PendingStep &Pending,
                      CapacityOf Capacity) {
  Candidates Found = findCandidates(Targets, Eligible, Pending, Capacity);
  std::size_t Tasks = Pending.spec().m_Tasks;
  if (totalTasks(Found) < Tasks)
    return {};
  if (needsOneRack(Targets, Eligible, Pending))
    return selectOneRack(Targets, Found, Tasks);
  return selectTargets(std::move(Found), Tasks);
}

TargetIndexes fitSingles(const std::vector<TargetInfo> &Targets,
                         const TargetIndexes &Eligible,
                         const PendingStep &Pending, CapacityOf Capacity) {
  Candidates Found = findCandidates(Targets, Eligible, Pending, Capacity);
  std::size_t Fits =
      std::min<std::uint64_t>(totalTasks(Found), Pending.m_Waiting.size());
  return selectTargets(std::move(Found), Fits);
}

TargetIndexes fit(const std::vector<TargetInfo> &Targets,
                  const TargetIndexes &Eligible, const PendingStep &Pending,
                  CapacityOf Capacity) {
  return Pending.spec().m_Gang
             ? fitGang(Targets, Eligible, Pending, Capacity)
             : fitSingles(Targets, Eligible, Pending, Capacity);
}

std::vector<TargetIndexes>
placementGroups(const std::vector<TargetInfo> &Targets,
                const TargetIndexes &Eligible, const PendingStep &Pending) {
  if (!needsOneRack(Targets, Eligible, Pending))
    return {Eligible};
  std::map<std::string, TargetIndexes> Racks;
  for (std::size_t Index : Eligible)
    Racks[Targets[Index].m_Rack].push_back(Index);
  std::vector<TargetIndexes> Groups;
  Groups.reserve(Racks.size());
  for (auto &[Rack, Group] : Racks)
    Groups.push_back(std::move(Group));
  return Groups;
}

} // namespace fireflydrift::assignment
