#include "soak/vm.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fireflydrift::soak {

namespace fs = std::filesystem;

Vm::Vm(VmOptions Options) : m_Options(std::move(Options)) {
  fs::create_directories(m_Options.m_Folder);
  std::ofstream(m_Options.m_Folder + "/settings.ini") << m_Options.m_Settings;
  setFaults({});
}

Vm::~Vm() {
  if (!isRunning())
    return;
  kill(m_Process, SIGKILL);
  waitpid(m_Process, nullptr, 0);
}

void Vm::setFaults(const LocalFaults &Value) const {
  // Writes a new file and renames it, so that the process never reads a partial
  // one.
  std::string Path = m_Options.m_Folder + "/faults";
  std::ofstream(Path + ".new")
      << Value.m_ClockOffset.count() << " " << m_Options.m_RatePermille << " "
      << Value.m_SyncDelay.count() << " " << Value.m_Disk << "\n";
  fs::rename(Path + ".new", Path);
}

void Vm::eraseData() const { fs::remove_all(m_Options.m_Folder + "/data"); }

void Vm::start() {
  std::string Settings = m_Options.m_Folder + "/settings.ini";
  std::string Log = m_Options.m_Folder + "/log";
  std::string Faults = "SOAK_FAULTS=" + m_Options.m_Folder + "/faults";
  std::string Preload = "LD_PRELOAD=" + m_Options.m_Shim;
  std::string Program = m_Options.m_Program;
  std::string Flag = "--settings";
  std::array<char *, 4> Arguments{Program.data(), Flag.data(), Settings.data(),
                                  nullptr};
  std::array<char *, 3> Environment{Faults.data(), Preload.data(), nullptr};
  m_Process = fork();
  if (m_Process < 0) {
    std::cerr << "soak: can't fork a server process" << std::endl;
    std::abort();
  }
  if (m_Process > 0)
    return;
  // The server is killed when the soak test ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  // The child must not inherit the sockets of the soak test.
  constexpr unsigned FirstDescriptor = 3;
  close_range(FirstDescriptor, ~0U, 0);
  execve(Program.c_str(), Arguments.data(), Environment.data());
  _exit(1);
}

void Vm::signal(int Number) const {
  if (isRunning())
    kill(m_Process, Number);
}

bool Vm::reap() {
  if (!isRunning() || waitpid(m_Process, &m_LastStatus, WNOHANG) != m_Process)
    return false;
  m_Process = 0;
  return true;
}

} // namespace fireflydrift::soak
