// The system under test: the server processes, the relays that carry the
// traffic between them and from callers and targets, and the faults injected
// into both.
#ifndef FIREFLYDRIFT_TESTS_SOAK_SYSTEM_H
#define FIREFLYDRIFT_TESTS_SOAK_SYSTEM_H

#include "soak/plan.h"
#include "soak/relay.h"
#include "soak/vm.h"
#include "standin/queue_callers.h"
#include "standin/workers.h"

#include <deque>
#include <functional>

namespace fireflydrift::soak {

struct SystemOptions {
  std::string m_Program;
  std::string m_Shim;
  std::string m_Folder;
  std::uint64_t m_Seed = 1;
  int m_Replicas = 3;
  int m_Entries = 2;

  friend bool operator==(const SystemOptions &,
                         const SystemOptions &) = default;
};

class System {
public:
  System(runtime::Loop &EventLoop, const SystemOptions &Options,
         standin::HistoryChecker &Checker);

  [[nodiscard]] int vms() const noexcept {
    return m_Options.m_Replicas + m_Options.m_Entries;
  }
  // Relay addresses of the replicas, for targets and operators, and of the
  // entry VMs, for callers.
  [[nodiscard]] std::vector<standin::ControlAddress> controlAddresses() const;
  [[nodiscard]] std::vector<Endpoint> entries() const;

  void start();
  // Injects a fault into a VM and schedules its end. Ignores the kinds that
  // concern targets or operators.
  void apply(const Fault &Value, core::Time Now);
  // Runs all scheduled ends of faults at once. Clock steps stay, and processes
  // that are down restart when they would have.
  void endAllFaults(core::Time Now);
  // Sends SIGTERM to every process; none is restarted afterwards.
  void stop();
  [[nodiscard]] bool isStopped() const;
  // Reports unexpected exits to the checker, restarts processes that are down,
  // ends the faults that are due and forwards traffic. Returns true while a
  // relay has data queued.
  bool tick(core::Time Now);

private:
  // A VM with its present faults and the earliest time of its next start.
  struct VmState {
    std::unique_ptr<Vm> m_Vm;
    LocalFaults m_Faults;
    // The soak test killed the process or requested its shutdown.
    bool m_ExitExpected = false;
    bool m_PowerLossExpected = false;
    core::Time m_StartAt;
  };
  struct ScheduledAction {
    core::Time m_At;
    std::function<void(core::Time)> m_Action;
  };

  [[nodiscard]] VmState &vmState(int Vm) {
    return m_VmStates[static_cast<std::size_t>(Vm)];
  }
  [[nodiscard]] std::string host(int Vm) const;
  [[nodiscard]] std::string settingsOf(int Vm) const;
  // The relays of all traffic of a VM, from outside too.
  [[nodiscard]] std::vector<Relay *> linksOf(int Vm);
  // The relays of the connections that a VM opens and the datagrams that it
  // sends to other VMs.
  [[nodiscard]] std::vector<Relay *> linksFrom(int Vm) const;
  void setLink(Relay *Link, const LinkState &Value);
  void schedule(core::Time At, std::function<void(core::Time)> Action);
  void kill(int Vm, core::Time StartAt);
  void applyToProcess(const Fault &Value, core::Time Now);
  void breakOpenConnections(const Fault &Value);
  void applyToLinks(const Fault &Value, core::Time Now);
  void applyToClockOrDisk(const Fault &Value, core::Time Now);
  void reapAndRestart(int Vm, core::Time Now);

  runtime::Loop &m_Loop;
  SystemOptions m_Options;
  standin::HistoryChecker &m_Checker;
  std::vector<VmState> m_VmStates;
  // Relays from one VM to another, and from outside to each VM.
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> m_Links;
  std::vector<std::unique_ptr<Relay>> m_ExternalRelays;
  std::map<Relay *, LinkState> m_LinkStates;
  std::deque<ScheduledAction> m_ScheduledActions;
  bool m_Stopping = false;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_SYSTEM_H
