// The membership aggregate: the system's own VMs and the last signs of life
// that this VM has had of them.
#ifndef FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H
#define FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::membership {

// Where a VM is, from settings.
struct VmAddress {
  core::VmId m_Id;
  std::string m_Host;
  // Port for both TCP and UDP between the system's VMs.
  std::uint16_t m_Port = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  // True when the VM has a data folder and so can be a replica.
  bool m_Replica = false;

  friend bool operator==(const VmAddress &, const VmAddress &) = default;
  friend auto operator<=>(const VmAddress &, const VmAddress &) = default;
};

enum class Liveness : std::uint8_t { Unheard, Alive, Suspect, Gone };

// What is known of one VM.
struct Contact {
  VmAddress m_Address;
  bool m_Heard = false;
  // When another VM named it, for a VM that settings do not list.
  core::Time m_MetAt;
  core::Time m_LastDatagram;
  core::Time m_LastFrame;
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_Draining = false;
  // The newest leader that the VM has named, and its term.
  core::VmId m_Leader;
  std::uint64_t m_Term = 0;

  friend bool operator==(const Contact &, const Contact &) = default;
};

// Times after the last sign of life at which a VM counts as suspect and gone.
struct DetectionOptions {
  core::Duration m_SuspectAfter{1500};
  core::Duration m_GoneAfter{5000};

  friend bool operator==(const DetectionOptions &,
                         const DetectionOptions &) = default;
};

// A sign of life that a VM sends by datagram.
struct Heartbeat {
  core::VmId m_From;
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_Draining = false;
  // The leader that the sender follows; empty while it knows none.
  core::VmId m_Leader;
  std::uint64_t m_Term = 0;
  // True when the sender itself leads and holds its lease.
  bool m_HoldsLease = false;
  // The replicas that the sender knows, where VMs find each other by seeds.
  std::vector<core::VmId> m_Replicas;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

// The address of a VM that was found by seeds: there a VM's id is its host, and
// all VMs use the same port.
[[nodiscard]] VmAddress addressById(const core::VmId &Vm, std::uint16_t Port);

// All VMs of the system as this one sees them.
class Membership {
public:
  Membership() = default;
  Membership(core::VmId Self, const std::vector<VmAddress> &Addresses);
  // A membership that takes in every VM that it hears of. Seeds are known from
  // the start and never forgotten.
  [[nodiscard]] static Membership
  withDiscovery(const VmAddress &Self, const std::vector<VmAddress> &Seeds);

  [[nodiscard]] const core::VmId &self() const noexcept { return m_Self; }
  [[nodiscard]] const std::map<core::VmId, Contact> &contacts() const noexcept {
    return m_Contacts;
  }
  // The contact, or nullptr for a VM that settings do not name.
  [[nodiscard]] const Contact *find(const core::VmId &Vm) const;
  [[nodiscard]] Liveness liveness(const core::VmId &Vm, core::Time Now,
                                  const DetectionOptions &Options) const;
  // True when datagrams of Vm still arrive but frames on its connection do
  // not: the connection is silent, not the VM.
  [[nodiscard]] bool connectionIsSilent(const core::VmId &Vm, core::Time Now,
                                        const DetectionOptions &Options) const;

  // VMs whose connections are silent though they are not.
  [[nodiscard]] std::vector<core::VmId>
  silentConnections(core::Time Now, const DetectionOptions &Options) const;

  // The leader of the highest term that any VM heard within the time names.
  [[nodiscard]] core::VmId leader(core::Time Now,
                                  const DetectionOptions &Options) const;

  // True when any VM that is heard of belongs to the system.
  [[nodiscard]] bool hasDiscovery() const noexcept { return m_OpenPort != 0; }

  // An open membership that also knows these VMs, which this VM's own log names
  // as replicas, and forgets none of them. After a loss of power they may be
  // all that is left of the set, and the seeds may know nobody.
  [[nodiscard]] Membership withReplicas(const std::vector<core::VmId> &Replicas,
                                        core::Time Now) const;
  // An open membership without the VMs that have been silent for so long.
  [[nodiscard]] Membership withoutUnresponsive(core::Time Now,
                                               core::Duration After) const;
  // The membership after a datagram or a frame from a VM arrived.
  [[nodiscard]] Membership heardDatagram(const Heartbeat &Value,
                                         core::Time Now) const;
  [[nodiscard]] Membership heardFrame(const core::VmId &From,
                                      core::Time Now) const;

  friend bool operator==(const Membership &, const Membership &) = default;

private:
  void meet(const core::VmId &Vm, core::Time Now);

  core::VmId m_Self;
  std::map<core::VmId, Contact> m_Contacts;
  std::set<core::VmId> m_Seeds;
  std::set<core::VmId> m_Replicas;
  // Port of all VMs where the membership is open, otherwise zero.
  std::uint16_t m_OpenPort = 0;
};

[[nodiscard]] const char *toString(Liveness Value) noexcept;

} // namespace fireflydrift::membership

#endif // FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H
