#include "assignment/pass.h"

#include <algorithm>
#include <functional>
#include <map>

namespace fireflydrift::assignment {

namespace {

// The working state of one pass.
struct Work {
  std::vector<TargetInfo> m_Rooms;
  const PassOptions &m_Options;
  core::Time m_Now;
  std::vector<BackfillReservation> m_Holds;
  std::vector<Victim> m_Victims;
  bool m_VictimsKnown = false;
  std::size_t m_Preempting = 0;
  PassResult m_Out;
};

} // namespace

// Rooms that no hold keeps from a task that runs so long.
static RoomIndexes withoutHeld(const Work &W, const RoomIndexes &Suitable,
                               const PendingStep &For) {
  RoomIndexes Open;
  for (std::size_t Index : Suitable) {
    bool Held = std::any_of(W.m_Holds.begin(), W.m_Holds.end(),
                            [&](const BackfillReservation &Each) {
                              return Each.m_Rooms.contains(Index) &&
                                     W.m_Now + For.m_RunTime > Each.m_Until;
                            });
    if (!Held)
      Open.push_back(Index);
  }
  return Open;
}

static void takeRoom(Work &W, const PendingStep &For,
                     const RoomIndexes &Chosen) {
  for (std::size_t Index : Chosen)
    W.m_Rooms[Index].m_Free = W.m_Rooms[Index].m_Free - For.spec().m_PerTask;
}

static workflow::Assign::TaskPlacement place(const Work &W, std::uint32_t Task,
                                             std::size_t Room) {
  return {.m_Index = Task, .m_Instance = W.m_Rooms[Room].m_Instance};
}

static void assignGang(Work &W, const PendingStep &For,
                       const RoomIndexes &Chosen) {
  workflow::Assign Value{.m_Step = For.m_Step,
                         .m_Run = For.m_Workflow->nextRun(For.m_Step, 0)};
  for (std::uint32_t I = 0; I < Chosen.size(); ++I)
    Value.m_Placements.push_back(place(W, I, Chosen[I]));
  W.m_Out.m_Assignments.push_back(
      {.m_Workflow = For.m_Workflow->id(), .m_Assign = std::move(Value)});
  takeRoom(W, For, Chosen);
}

// Tasks that run one by one have run numbers of their own, so each number
// makes an assignment.
static void assignSingles(Work &W, const PendingStep &For,
                          const RoomIndexes &Chosen) {
  std::map<std::uint32_t, workflow::Assign> ByRun;
  for (std::size_t I = 0; I < Chosen.size(); ++I) {
    std::uint32_t Task = For.m_Waiting[I];
    std::uint32_t Run = For.m_Workflow->nextRun(For.m_Step, Task);
    workflow::Assign &Value = ByRun[Run];
    Value.m_Step = For.m_Step;
    Value.m_Run = Run;
    Value.m_Placements.push_back(place(W, Task, Chosen[I]));
  }
  for (auto &[Run, Value] : ByRun)
    W.m_Out.m_Assignments.push_back(
        {.m_Workflow = For.m_Workflow->id(), .m_Assign = std::move(Value)});
  takeRoom(W, For, Chosen);
}

// Keeps room for a demand that must wait for running tasks to end.
static void hold(Work &W, const PendingStep &For, const RoomIndexes &Suitable) {
  if (W.m_Holds.size() >= W.m_Options.m_MaxReservations)
    return;
  if (auto Kept = holdFor(W.m_Rooms, Suitable, For, W.m_Now))
    W.m_Holds.push_back(*std::move(Kept));
}

// Keeps what a demand will need in these rooms: first of what comes back, then
// of what is free.
static void reserveSoon(Work &W, const PendingStep &For,
                        const RoomIndexes &Chosen) {
  for (std::size_t Index : Chosen) {
    TargetInfo &Value = W.m_Rooms[Index];
    const core::Capacity &Needed = For.spec().m_PerTask;
    core::Capacity Returned = lesser(Value.m_Releasing, Needed);
    Value.m_Releasing = Value.m_Releasing - Returned;
    Value.m_Free = Value.m_Free - (Needed - Returned);
  }
}

// Reserves room that is free or comes back soon. Returns false when that does
// not suffice for all waiting tasks.
static bool awaitRoom(Work &W, const PendingStep &For,
                      const RoomIndexes &Suitable) {
  RoomIndexes Soon = fit(W.m_Rooms, Suitable, For, freeSoon);
  if (Soon.size() != For.m_Waiting.size())
    return false;
  reserveSoon(W, For, Soon);
  return true;
}

// Stops other work for an urgent demand. Returns false when no stop helps.
static bool preempt(Work &W, const PendingStep &For,
                    const RoomIndexes &Suitable) {
  if (W.m_Preempting >= W.m_Options.m_MaxPreemptingSteps)
    return false;
  if (!std::exchange(W.m_VictimsKnown, true))
    W.m_Victims = victimsIn(W.m_Rooms);
  std::vector<std::size_t> Chosen =
      chooseVictims(W.m_Rooms, W.m_Victims, Suitable, For);
  if (Chosen.empty())
    return false;
  ++W.m_Preempting;
  for (std::size_t Each : Chosen) {
    const Victim &Value = W.m_Victims[Each];
    for (const workflow::TaskKey &Task : Value.m_Tasks)
      W.m_Out.m_Preemptions.push_back({.m_Task = Task,
                                       .m_Run = Value.m_Run,
                                       .m_For = For.m_Workflow->id()});
    for (const auto &[Room, Capacity] : Value.m_Occupies)
      W.m_Rooms[Room].m_Releasing = W.m_Rooms[Room].m_Releasing + Capacity;
  }
  std::sort(Chosen.begin(), Chosen.end(), std::greater<>());
  for (std::size_t Each : Chosen)
    W.m_Victims.erase(W.m_Victims.begin() + static_cast<std::ptrdiff_t>(Each));
  return awaitRoom(W, For, Suitable);
}

// True when the gang has waited long enough for a rack in a pool that is mostly
// idle: its room may be scattered over the racks for good.
static bool maySpread(const Work &W, const PendingStep &For,
                      const RoomIndexes &Suitable) {
  std::int64_t Free = 0;
  std::int64_t Total = 0;
  for (std::size_t Index : Suitable) {
    Free += W.m_Rooms[Index].m_Free.m_Accelerators;
    Total += W.m_Rooms[Index].m_Total.m_Accelerators;
  }
  return For.m_Waited >= W.m_Options.m_SpreadAfter && Free * 2 > Total;
}

static void decide(Work &W, PendingStep For) {
  RoomIndexes Suitable = suitableRooms(W.m_Rooms, For);
  RoomIndexes Open = withoutHeld(W, Suitable, For);
  bool Gang = For.spec().m_Gang;
  RoomIndexes Chosen = fit(W.m_Rooms, Open, For, freeNow);
  if (Gang && Chosen.empty() && maySpread(W, For, Suitable)) {
    For.m_Spread = true;
    Chosen = fitGang(W.m_Rooms, Open, For, freeNow);
    For.m_Spread = false;
  }
  if (!Chosen.empty()) {
    if (Gang)
      assignGang(W, For, Chosen);
    else
      assignSingles(W, For, Chosen);
  }
  if (Chosen.size() == For.m_Waiting.size())
    return;
  ++W.m_Out.m_Waiting;
  For.m_Waiting.erase(For.m_Waiting.begin(),
                      For.m_Waiting.begin() +
                          static_cast<std::ptrdiff_t>(Chosen.size()));
  bool Urgent = For.terms().m_Priority == 0 && W.m_Options.m_AllowPreemption;
  bool Helped =
      Urgent && (awaitRoom(W, For, Suitable) || preempt(W, For, Suitable));
  if (!Helped && Gang)
    hold(W, For, Suitable);
}

PassResult runPass(std::vector<TargetInfo> Rooms,
                   std::vector<PendingStep> Demands, const PassOptions &Options,
                   core::Time Now) {
  Work W{.m_Rooms = std::move(Rooms), .m_Options = Options, .m_Now = Now};
  Options.m_Order(Demands, Now);
  if (Demands.size() > Options.m_MaxDemands)
    Demands.resize(Options.m_MaxDemands);
  for (PendingStep &Each : Demands)
    decide(W, std::move(Each));
  return std::move(W.m_Out);
}

} // namespace fireflydrift::assignment
