// The system under soak: server processes, the relays between them and their
// callers and targets, and the faults that are laid on both.
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
  System(runtime::Loop &On, const SystemOptions &Options,
         standin::Books &Books);

  [[nodiscard]] int vms() const noexcept {
    return m_Options.m_Replicas + m_Options.m_Entries;
  }
  // Where targets and operators, and callers, reach the VMs: at the relays.
  [[nodiscard]] std::vector<standin::ControlAddress> controls() const;
  [[nodiscard]] std::vector<Endpoint> entries() const;

  void start();
  // Lays a fault on a VM and plans its end.
  void apply(const Fault &Value, core::Time Now);
  // Ends every fault at once.
  void heal(core::Time Now);
  // Asks every process to stop.
  void stop();
  [[nodiscard]] bool isStopped() const;
  // Ends what is due and restarts what is down. Returns true while bytes wait
  // for their time.
  bool turn(core::Time Now);

private:
  // A VM and what the soak has done to it.
  struct Slot {
    std::unique_ptr<Vm> m_Vm;
    LocalFaults m_Faults;
    // The soak ended the process, or asked it to end.
    bool m_EndExpected = false;
    core::Time m_StartAt;
  };
  struct Later {
    core::Time m_At;
    std::function<void(core::Time)> m_Do;
  };

  [[nodiscard]] Slot &slot(int Vm) {
    return m_Slots[static_cast<std::size_t>(Vm)];
  }
  [[nodiscard]] std::string host(int Vm) const;
  [[nodiscard]] std::string settingsOf(int Vm) const;
  // All relays of a VM, and those that carry what it sends to other VMs.
  [[nodiscard]] std::vector<Relay *> linksOf(int Vm);
  [[nodiscard]] std::vector<Relay *> linksFrom(int Vm) const;
  void setLink(Relay *Link, const LinkState &Value);
  void after(core::Time At, std::function<void(core::Time)> Do);
  void kill(int Vm, core::Time StartAt);
  void applyToProcess(const Fault &Value, core::Time Now);
  void breakOpenConnections(const Fault &Value);
  void applyToLinks(const Fault &Value, core::Time Now);
  void applyToDisk(const Fault &Value, core::Time Now);
  void collect(int Vm, core::Time Now);

  runtime::Loop &m_Loop;
  SystemOptions m_Options;
  standin::Books &m_Books;
  std::vector<Slot> m_Slots;
  // From one VM to another; and from outside to each VM.
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> m_Links;
  std::vector<std::unique_ptr<Relay>> m_Doors;
  std::map<Relay *, LinkState> m_LinkStates;
  std::deque<Later> m_Later;
  bool m_Stopping = false;
};

} // namespace fireflydrift::soak

#endif // FIREFLYDRIFT_TESTS_SOAK_SYSTEM_H
