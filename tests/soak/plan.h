// The schedule of injected faults, generated from a seed. Faults can overlap.
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
  // Network links of one VM.
  Partition,
  OneWayPartition,
  Delay,
  Loss,
  Reset,
  Blackhole,
  // Clock and disk of one VM.
  ClockStep,
  DiskSlow,
  DiskFull,
  // Targets.
  TargetCrash,
  TargetPartition,
  TaskFailures,
  // Operators.
  NewManifest,
  ConflictingManifests,
  InvalidManifest,
  AddKey,
  RevokeKey,
  // Another writer beside the targets.
  ForeignReports,
};

struct Fault {
  // Time since the start of fault injection.
  core::Duration m_At{0};
  FaultKind m_Kind = FaultKind::Kill;
  // Zero-based index of the VM or target; 0 for the faults of operators.
  int m_Victim = 0;
  core::Duration m_Duration{0};

  friend bool operator==(const Fault &, const Fault &) = default;
  friend auto operator<=>(const Fault &, const Fault &) = default;
};

struct PlanOptions {
  std::uint64_t m_Seed = 1;
  core::Duration m_Length{20000};
  int m_Faults = 24;
  int m_ForeignBursts = 2;
  int m_Replicas = 3;
  // All VMs, of which the first m_Replicas are replicas.
  int m_Vms = 5;
  int m_Targets = 6;

  friend bool operator==(const PlanOptions &, const PlanOptions &) = default;
};

// Returns the faults sorted by start time. At most one of them erases a data
// folder.
[[nodiscard]] std::vector<Fault> makePlan(const PlanOptions &Options);

[[nodiscard]] const char *toString(FaultKind Value) noexcept;

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_PLAN_H
