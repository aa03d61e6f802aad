#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace fireflydrift::soak {

namespace {

enum class Of : std::uint8_t { Vms, Replicas, Targets, Nobody };

struct KindInfo {
  FaultKind m_Kind;
  const char *m_Name;
  Of m_Victims;
};

constexpr std::array<KindInfo, 23> Kinds{{
    {FaultKind::Kill, "kill", Of::Vms},
    {FaultKind::Wipe, "wipe", Of::Replicas},
    {FaultKind::PowerLoss, "power-loss", Of::Replicas},
    {FaultKind::Freeze, "freeze", Of::Vms},
    {FaultKind::Stop, "stop", Of::Vms},
    {FaultKind::Reload, "reload", Of::Vms},
    {FaultKind::Cut, "cut", Of::Vms},
    {FaultKind::CutOneWay, "cut-one-way", Of::Vms},
    {FaultKind::Delay, "delay", Of::Vms},
    {FaultKind::Loss, "loss", Of::Vms},
    {FaultKind::Reset, "reset", Of::Vms},
    {FaultKind::Silence, "silence", Of::Vms},
    {FaultKind::ClockStep, "clock-step", Of::Vms},
    {FaultKind::DiskSlow, "disk-slow", Of::Replicas},
    {FaultKind::DiskFull, "disk-full", Of::Replicas},
    {FaultKind::TargetCrash, "target-crash", Of::Targets},
    {FaultKind::TargetCut, "target-cut", Of::Targets},
    {FaultKind::TargetFails, "target-fails", Of::Targets},
    {FaultKind::Change, "change", Of::Nobody},
    {FaultKind::Race, "race", Of::Nobody},
    {FaultKind::Invalid, "invalid", Of::Nobody},
    {FaultKind::AddKey, "add-key", Of::Nobody},
    {FaultKind::WithdrawKey, "withdraw-key", Of::Nobody},
}};

} // namespace

static int countOf(Of Victims, const PlanOptions &Options) {
  switch (Victims) {
  case Of::Vms:
    return Options.m_Vms;
  case Of::Replicas:
    return Options.m_Replicas;
  case Of::Targets:
    return Options.m_Targets;
  case Of::Nobody:
    return 1;
  }
  return 1;
}

std::vector<Fault> makePlan(const PlanOptions &Options) {
  std::mt19937_64 Random(Options.m_Seed);
  auto Draw = [&](std::int64_t Least, std::int64_t Most) {
    return std::uniform_int_distribution<std::int64_t>(Least, Most)(Random);
  };
  constexpr std::int64_t ShortestMs = 200;
  constexpr std::int64_t LongestMs = 5000;
  std::vector<Fault> Plan;
  bool Wiped = false;
  for (int I = 0; I < Options.m_Faults; ++I) {
    const KindInfo &Kind = Kinds.at(static_cast<std::size_t>(
        Draw(0, static_cast<std::int64_t>(Kinds.size()) - 1)));
    Fault Each{.m_At = core::Duration(Draw(0, Options.m_Length.count())),
               .m_Kind = Kind.m_Kind,
               .m_Victim = static_cast<int>(
                   Draw(0, countOf(Kind.m_Victims, Options) - 1)),
               .m_Lasts = core::Duration(Draw(ShortestMs, LongestMs))};
    if (Each.m_Kind == FaultKind::Wipe && std::exchange(Wiped, true))
      Each.m_Kind = FaultKind::Kill;
    Plan.push_back(Each);
  }
  std::sort(Plan.begin(), Plan.end());
  return Plan;
}

const char *toString(FaultKind Value) noexcept {
  for (const KindInfo &Each : Kinds)
    if (Each.m_Kind == Value)
      return Each.m_Name;
  return "kill";
}

} // namespace fireflydrift::soak
