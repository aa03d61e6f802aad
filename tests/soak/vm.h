// One server process of the soak test, with its settings, its data folder and
// the faults of its clock and disk.
#ifndef FIREFLYDRIFT_TESTS_SOAK_VM_H
#define FIREFLYDRIFT_TESTS_SOAK_VM_H

#include "core/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace fireflydrift::soak {

struct VmOptions {
  // The server program and the fault library that LD_PRELOAD loads into it.
  std::string m_Program;
  std::string m_Shim;
  // Holds the settings, the log and the data of this VM.
  std::string m_Folder;
  std::string m_Settings;
  // Rate of the monotonic clock, in thousandths.
  int m_RatePermille = 1000;

  friend bool operator==(const VmOptions &, const VmOptions &) = default;
};

// The present faults of the clock and the disk.
struct LocalFaults {
  // Added to the wall clock.
  core::Duration m_ClockOffset{0};
  core::Duration m_SyncDelay{0};
  // "ok", "full" or "power", as described in shim.cpp.
  std::string m_Disk = "ok";

  friend bool operator==(const LocalFaults &, const LocalFaults &) = default;
};

class Vm {
public:
  explicit Vm(VmOptions Options);
  // Kills the process if it is still running.
  ~Vm();
  Vm(const Vm &) = delete;
  Vm &operator=(const Vm &) = delete;

  [[nodiscard]] bool isRunning() const noexcept { return m_Process > 0; }
  // Exit status of the last process, as waitpid reports it.
  [[nodiscard]] int lastStatus() const noexcept { return m_LastStatus; }

  void start();
  void signal(int Number) const;
  // Reaps the process if it has ended. Returns true if it was reaped.
  bool reap();
  void eraseData() const;
  void setFaults(const LocalFaults &Value) const;

private:
  VmOptions m_Options;
  pid_t m_Process = 0;
  int m_LastStatus = 0;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_VM_H
