// One server process of a soak, with its settings, its data folder and the
// faults of its clock and disk.
#ifndef FIREFLYDRIFT_TESTS_SOAK_VM_H
#define FIREFLYDRIFT_TESTS_SOAK_VM_H

#include "core/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace fireflydrift::soak {

struct VmOptions {
  // The program and the library that is loaded before its own.
  std::string m_Program;
  std::string m_Shim;
  // Everything of this VM lives here: settings, log, data.
  std::string m_Folder;
  std::string m_Settings;
  // How fast its steady clock runs.
  int m_RatePermille = 1000;

  friend bool operator==(const VmOptions &, const VmOptions &) = default;
};

// What is wrong with the clock and the disk now.
struct LocalFaults {
  core::Duration m_ClockStep{0};
  core::Duration m_SyncTakes{0};
  std::string m_Disk = "ok";

  friend bool operator==(const LocalFaults &, const LocalFaults &) = default;
};

class Vm {
public:
  explicit Vm(VmOptions Options);
  // Kills the process if it still runs.
  ~Vm();
  Vm(const Vm &) = delete;
  Vm &operator=(const Vm &) = delete;

  [[nodiscard]] bool isRunning() const noexcept { return m_Process > 0; }
  // How the last process ended, as a status of waitpid.
  [[nodiscard]] int lastStatus() const noexcept { return m_LastStatus; }

  void start();
  void signal(int Number) const;
  // Collects the process if it ended. Returns true when it just did.
  bool collect();
  void eraseData() const;
  void set(const LocalFaults &Value) const;

private:
  VmOptions m_Options;
  pid_t m_Process = 0;
  int m_LastStatus = 0;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_VM_H
