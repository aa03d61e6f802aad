#include "assignment/pass.h"

#include <algorithm>
#include <functional>
#include <map>

namespace fireflydrift::assignment {

namespace {

// The working state of one pass.
struct PassState {
  std::vector<TargetInfo> m_Targets;
  const PassOptions &m_Options;
  core::Time m_Now;
  std::vector<BackfillReservation> m_BackfillReservations;
  std::vector<Victim> m_Victims;
  bool m_VictimsKnown = false;
  std::size_t m_PreemptingSteps = 0;
  PassResult m_Result;
};

} // namespace

// Eligible targets without a backfill reservation, or on which the step's tasks
// are expected to end no later than m_Until of each reservation.
static TargetIndexes backfillableTargets(const PassState &State,
                                         const TargetIndexes &Eligible,
                                         const PendingStep &Pending) {
  TargetIndexes Backfillable;
  for (std::size_t Index : Eligible) {
    bool ConflictsWithReservation =
        std::any_of(State.m_BackfillReservations.begin(),
                    State.m_BackfillReservations.end(),
                    [&](const BackfillReservation &Each) {
                      return Each.m_Targets.contains(Index) &&
                             State.m_Now + Pending.m_RunTime > Each.m_Until;
                    });
    if (!ConflictsWithReservation)
      Backfillable.push_back(Index);
  }
  return Backfillable;
}

static void allocate(PassState &State, const PendingStep &Pending,
                     const TargetIndexes &Chosen) {
  for (std::size_t Index : Chosen)
    State.m_Targets[Index].m_Free =
        State.m_Targets[Index].m_Free - Pending.spec().m_PerTask;
}

static workflow::Assign::TaskPlacement
makePlacement(const PassState &State, std::uint32_t Task, std::size_t Target) {
  return {.m_Index = Task, .m_Instance = State.m_Targets[Target].m_Instance};
}

// The tasks of a gang share a run number, so the first task gives it.
static void assignGang(PassState &State, const PendingStep &Pending,
                       const TargetIndexes &Chosen) {
  workflow::Assign Assignment{
      .m_Step = Pending.m_Step,
      .m_Run = Pending.m_Workflow->nextRun(Pending.m_Step, 0)};
  for (std::uint32_t I = 0; I < Chosen.size(); ++I)
    Assignment.m_Placements.push_back(makePlacement(State, I, Chosen[I]));
  State.m_Result.m_Assignments.push_back(
      {.m_Workflow = Pending.m_Workflow->id(),
       .m_Assign = std::move(Assignment)});
  allocate(State, Pending, Chosen);
}

// Tasks that are not in a gang have independent run numbers, so there is one
// assignment for each run number.
static void assignSingles(PassState &State, const PendingStep &Pending,
                          const TargetIndexes &Chosen) {
  std::map<std::uint32_t, workflow::Assign> ByRun;
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    std::uint32_t Task = Pending.m_Waiting[I];
    std::uint32_t Run = Pending.m_Workflow->nextRun(Pending.m_Step, Task);
    workflow::Assign &Assignment = ByRun[Run];
    Assignment.m_Step = Pending.m_Step;
    Assignment.m_Run = Run;
    Assignment.m_Placements.push_back(makePlacement(State, Task, Chosen[I]));
  }
  for (auto &[Run, Assignment] : ByRun)
    State.m_Result.m_Assignments.push_back(
        {.m_Workflow = Pending.m_Workflow->id(),
         .m_Assign = std::move(Assignment)});
  allocate(State, Pending, Chosen);
}

// Adds a backfill reservation for a gang that has to wait for running tasks,
// unless the limit is reached or no targets could hold it.
static void addBackfillReservation(PassState &State, const PendingStep &Pending,
                                   const TargetIndexes &Eligible) {
  if (State.m_BackfillReservations.size() >= State.m_Options.m_MaxReservations)
    return;
  if (auto Reservation =
          reservationFor(State.m_Targets, Eligible, Pending, State.m_Now))
    State.m_BackfillReservations.push_back(*std::move(Reservation));
}

// For the rest of the pass, withholds from later steps the capacity that this
// step needs on these targets: first capacity that is being released, then free
// capacity.
static void withholdCapacity(PassState &State, const PendingStep &Pending,
                             const TargetIndexes &Chosen) {
  for (std::size_t Index : Chosen) {
    TargetInfo &Target = State.m_Targets[Index];
    const core::Capacity &Needed = Pending.spec().m_PerTask;
    core::Capacity FromReleasing = lesser(Target.m_Releasing, Needed);
    Target.m_Releasing = Target.m_Releasing - FromReleasing;
    Target.m_Free = Target.m_Free - (Needed - FromReleasing);
  }
}

// Withholds capacity that is free or being released. Returns false when that
// does not suffice for all waiting tasks.
static bool tryWithholdCapacity(PassState &State, const PendingStep &Pending,
                                const TargetIndexes &Eligible) {
  TargetIndexes Chosen =
      fit(State.m_Targets, Eligible, Pending, freeAfterRelease);
  if (Chosen.size() != Pending.m_Waiting.size())
    return false;
  withholdCapacity(State, Pending, Chosen);
  return true;
}

// Preempts other work for an urgent step. Returns true when the step's capacity
// is withheld; false when the limit of preempting steps is reached, no victims
// are chosen, or the capacity does not suffice after the preemption. In the
// last case the preemptions stay in the result.
static bool preempt(PassState &State, const PendingStep &Pending,
                    const TargetIndexes &Eligible) {
  if (State.m_PreemptingSteps >= State.m_Options.m_MaxPreemptingSteps)
    return false;
  if (!std::exchange(State.m_VictimsKnown, true))
    State.m_Victims = findVictims(State.m_Targets);
  std::vector<std::size_t> Chosen =
      chooseVictims(State.m_Targets, State.m_Victims, Eligible, Pending);
  if (Chosen.empty())
    return false;
  ++State.m_PreemptingSteps;
  for (std::size_t Index : Chosen) {
    const Victim &Preempted = State.m_Victims[Index];
    for (const workflow::TaskKey &Task : Preempted.m_Tasks)
      State.m_Result.m_Preemptions.push_back(
          {.m_Task = Task,
           .m_Run = Preempted.m_Run,
           .m_Preemptor = Pending.m_Workflow->id()});
    for (const auto &[Target, Capacity] : Preempted.m_Allocated)
      State.m_Targets[Target].m_Releasing =
          State.m_Targets[Target].m_Releasing + Capacity;
  }
  std::sort(Chosen.begin(), Chosen.end(), std::greater<>());
  for (std::size_t Each : Chosen)
    State.m_Victims.erase(State.m_Victims.begin() +
                          static_cast<std::ptrdiff_t>(Each));
  return tryWithholdCapacity(State, Pending, Eligible);
}

// True when the gang's workflow was accepted at least m_MultipleRacksAfter ago
// and more than half of the accelerators of the eligible targets are free.
// Without this rule such a gang could wait as long as the free capacity stays
// fragmented over the racks, which may be indefinitely.
static bool mayUseMultipleRacks(const PassState &State,
                                const PendingStep &Pending,
                                const TargetIndexes &Eligible) {
  std::int64_t Free = 0;
  std::int64_t Total = 0;
  for (std::size_t Index : Eligible) {
    Free += State.m_Targets[Index].m_Free.m_Accelerators;
    Total += State.m_Targets[Index].m_Total.m_Accelerators;
  }
  return State.m_Options.m_FleetIsKnown &&
         Pending.m_Waited >= State.m_Options.m_MultipleRacksAfter &&
         Free * 2 > Total;
}

// Assigns the waiting tasks of one step. If some do not fit, an urgent step may
// preempt other work, and a gang that still does not fit gets a backfill
// reservation unless the limit is reached.
static void scheduleStep(PassState &State, PendingStep Pending) {
  TargetIndexes Eligible = eligibleTargets(State.m_Targets, Pending);
  TargetIndexes Backfillable = backfillableTargets(State, Eligible, Pending);
  bool Gang = Pending.spec().m_Gang;
  TargetIndexes Chosen = fit(State.m_Targets, Backfillable, Pending, freeNow);
  if (Gang && Chosen.empty() && mayUseMultipleRacks(State, Pending, Eligible)) {
    Pending.m_AllowMultipleRacks = true;
    Chosen = fitGang(State.m_Targets, Backfillable, Pending, freeNow);
    Pending.m_AllowMultipleRacks = false;
  }
  if (!Chosen.empty()) {
    if (Gang)
      assignGang(State, Pending, Chosen);
    else
      assignSingles(State, Pending, Chosen);
  }
  if (Chosen.size() == Pending.m_Waiting.size())
    return;
  ++State.m_Result.m_Waiting;
  Pending.m_Waiting.erase(Pending.m_Waiting.begin(),
                          Pending.m_Waiting.begin() +
                              static_cast<std::ptrdiff_t>(Chosen.size()));
  bool MayPreempt = Pending.policy().m_Priority == 0 &&
                    State.m_Options.m_AllowPreemption &&
                    State.m_Options.m_FleetIsKnown;
  bool IsCapacityWithheld =
      MayPreempt && (tryWithholdCapacity(State, Pending, Eligible) ||
                     preempt(State, Pending, Eligible));
  if (!IsCapacityWithheld && Gang)
    addBackfillReservation(State, Pending, Eligible);
}

PassResult runPass(std::vector<TargetInfo> Targets,
                   std::vector<PendingStep> Steps, const PassOptions &Options,
                   core::Time Now) {
  PassState State{
      .m_Targets = std::move(Targets), .m_Options = Options, .m_Now = Now};
  Options.m_Order(Steps, Now);
  if (Steps.size() > Options.m_MaxSteps)
    Steps.resize(Options.m_MaxSteps);
  for (PendingStep &Each : Steps)
    scheduleStep(State, std::move(Each));
  return std::move(State.m_Result);
}

} // namespace fireflydrift::assignment
