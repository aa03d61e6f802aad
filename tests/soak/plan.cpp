#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace fireflydrift::soak {

namespace {

enum class FaultScope : std::uint8_t { Vms, Replicas, Targets, None };

struct KindInfo {
  FaultKind m_Kind;
  const char *m_Name;
  FaultScope m_Scope;
};

// The last kind is drawn by itself, so that the plans of earlier seeds stay.
constexpr std::array<KindInfo, 24> Kinds{{
    {FaultKind::Kill, "kill", FaultScope::Vms},
    {FaultKind::Wipe, "wipe", FaultScope::Replicas},
    {FaultKind::PowerLoss, "power-loss", FaultScope::Replicas},
    {FaultKind::Freeze, "freeze", FaultScope::Vms},
    {FaultKind::Stop, "stop", FaultScope::Vms},
    {FaultKind::Reload, "reload", FaultScope::Vms},
    {FaultKind::Partition, "cut", FaultScope::Vms},
    {FaultKind::OneWayPartition, "cut-one-way", FaultScope::Vms},
    {FaultKind::Delay, "delay", FaultScope::Vms},
    {FaultKind::Loss, "loss", FaultScope::Vms},
    {FaultKind::Reset, "reset", FaultScope::Vms},
    {FaultKind::Blackhole, "silence", FaultScope::Vms},
    {FaultKind::ClockStep, "clock-step", FaultScope::Vms},
    {FaultKind::DiskSlow, "disk-slow", FaultScope::Replicas},
    {FaultKind::DiskFull, "disk-full", FaultScope::Replicas},
    {FaultKind::TargetCrash, "target-crash", FaultScope::Targets},
    {FaultKind::TargetPartition, "target-cut", FaultScope::Targets},
    {FaultKind::TaskFailures, "target-fails", FaultScope::Targets},
    {FaultKind::NewManifest, "change", FaultScope::None},
    {FaultKind::ConflictingManifests, "race", FaultScope::None},
    {FaultKind::InvalidManifest, "invalid", FaultScope::None},
    {FaultKind::AddKey, "add-key", FaultScope::None},
    {FaultKind::RevokeKey, "withdraw-key", FaultScope::None},
    {FaultKind::ForeignReports, "foreign", FaultScope::None},
}};

} // namespace

static int victimCount(FaultScope Scope, const PlanOptions &Options) {
  switch (Scope) {
  case FaultScope::Vms:
    return Options.m_Vms;
  case FaultScope::Replicas:
    return Options.m_Replicas;
  case FaultScope::Targets:
    return Options.m_Targets;
  case FaultScope::None:
    return 1;
  }
  return 1;
}

static void addForeignBursts(std::vector<Fault> &Plan,
                             const PlanOptions &Options) {
  std::mt19937_64 Random(~Options.m_Seed);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return core::Duration(
        std::uniform_int_distribution<std::int64_t>(Min, Max)(Random));
  };
  constexpr std::int64_t ShortestMs = 500;
  constexpr std::int64_t LongestMs = 8000;
  for (int I = 0; I < Options.m_ForeignBursts; ++I)
    Plan.push_back({.m_At = Draw(0, Options.m_Length.count()),
                    .m_Kind = FaultKind::ForeignReports,
                    .m_Duration = Draw(ShortestMs, LongestMs)});
}

std::vector<Fault> makePlan(const PlanOptions &Options) {
  std::mt19937_64 Random(Options.m_Seed);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  constexpr std::int64_t ShortestMs = 200;
  constexpr std::int64_t LongestMs = 5000;
  std::vector<Fault> Plan;
  bool Wiped = false;
  for (int I = 0; I < Options.m_Faults; ++I) {
    const KindInfo &Kind = Kinds.at(static_cast<std::size_t>(
        Draw(0, static_cast<std::int64_t>(Kinds.size()) - 2)));
    Fault Each{.m_At = core::Duration(Draw(0, Options.m_Length.count())),
               .m_Kind = Kind.m_Kind,
               .m_Victim = static_cast<int>(
                   Draw(0, victimCount(Kind.m_Scope, Options) - 1)),
               .m_Duration = core::Duration(Draw(ShortestMs, LongestMs))};
    if (Each.m_Kind == FaultKind::Wipe && std::exchange(Wiped, true))
      Each.m_Kind = FaultKind::Kill;
    Plan.push_back(Each);
  }
  addForeignBursts(Plan, Options);
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
