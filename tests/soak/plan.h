// Which faults come when: drawn from a seed, in series and overlapping.
#ifndef FIREFLYDRIFT_TESTS_SOAK_PLAN_H
#define FIREFLYDRIFT_TESTS_SOAK_PLAN_H

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflydrift::soak {

enum class FaultKind : std::uint8_t {
  // Processes.
  Kill,
  Wipe,
  PowerLoss,
  Freeze,
  Stop,
  Reload,
  // Links of one VM.
  Cut,
  CutOneWay,
  Delay,
  Loss,
  Reset,
  Silence,
  // Clock and disk of one VM.
  ClockStep,
  DiskSlow,
  DiskFull,
  // Targets.
  TargetCrash,
  TargetCut,
  TargetFails,
  // Operators.
  Change,
  Race,
  Invalid,
  AddKey,
  WithdrawKey,
};

struct Fault {
  core::Duration m_At{0};
  FaultKind m_Kind = FaultKind::Kill;
  // Which VM or target, counted from zero.
  int m_Victim = 0;
  core::Duration m_Lasts{0};

  friend bool operator==(const Fault &, const Fault &) = default;
  friend auto operator<=>(const Fault &, const Fault &) = default;
};

struct PlanOptions {
  std::uint64_t m_Seed = 1;
  core::Duration m_Length{20000};
  int m_Faults = 24;
  int m_Replicas = 3;
  int m_Vms = 5;
  int m_Targets = 6;

  friend bool operator==(const PlanOptions &, const PlanOptions &) = default;
};

// The faults in order of time. At most one of them loses a disk.
[[nodiscard]] std::vector<Fault> makePlan(const PlanOptions &Options);

[[nodiscard]] const char *toString(FaultKind Value) noexcept;

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_PLAN_H
