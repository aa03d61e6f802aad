// The membership aggregate: the system's own VMs and the last messages that
// this VM received from them.
#ifndef FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H
#define FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::membership {

// The address and location of a VM, from the settings.
struct VmAddress {
  core::VmId m_Id;
  std::string m_Host;
  // Port for both TCP and UDP between the system's VMs.
  std::uint16_t m_Port = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  // True if the VM has a data folder and can therefore be a replica.
  bool m_Replica = false;

  friend bool operator==(const VmAddress &, const VmAddress &) = default;
  friend auto operator<=>(const VmAddress &, const VmAddress &) = default;
};

enum class Liveness : std::uint8_t { Unknown, Alive, Suspect, Gone };

// What this VM knows about another one.
struct Contact {
  VmAddress m_Address;
  // True once any message from the VM has arrived.
  bool m_MessageReceived = false;
  // Time of discovery, for a VM that the settings do not list.
  core::Time m_DiscoveredAt;
  // Times of the last UDP datagram and of the last message on a TCP connection.
  core::Time m_LastDatagram;
  core::Time m_LastFrame;
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_Draining = false;
  // The leader that the VM's latest heartbeat names, and its term.
  core::VmId m_Leader;
  std::uint64_t m_Term = 0;

  friend bool operator==(const Contact &, const Contact &) = default;
};

// Times after its last message at which a VM is considered suspect and gone.
struct DetectionOptions {
  core::Duration m_SuspectAfter{1500};
  core::Duration m_GoneAfter{5000};

  friend bool operator==(const DetectionOptions &,
                         const DetectionOptions &) = default;
};

// The heartbeat that a VM sends by datagram.
struct Heartbeat {
  core::VmId m_From;
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_Draining = false;
  // The leader that the sender follows; empty while it knows none.
  core::VmId m_Leader;
  std::uint64_t m_Term = 0;
  // True if the sender itself is the leader and holds its lease.
  bool m_HoldsLease = false;
  // The replicas that the sender knows, if VMs are discovered through seeds.
  std::vector<core::VmId> m_Replicas;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

// Returns the address of a VM that was discovered through seeds: its id is its
// host, and all VMs use the same port.
[[nodiscard]] VmAddress addressById(const core::VmId &Vm, std::uint16_t Port);

// All VMs of the system as known to this one.
class Membership {
public:
  Membership() = default;
  Membership(core::VmId Self, const std::vector<VmAddress> &Addresses);
  // Creates a membership that adds every VM it discovers. Seeds are known from
  // the start and never removed.
  [[nodiscard]] static Membership
  withDiscovery(const VmAddress &Self, const std::vector<VmAddress> &Seeds);

  [[nodiscard]] const core::VmId &self() const noexcept { return m_Self; }
  [[nodiscard]] const std::map<core::VmId, Contact> &contacts() const noexcept {
    return m_Contacts;
  }
  // Returns what is known about Vm, or nullptr for an unknown VM.
  [[nodiscard]] const Contact *find(const core::VmId &Vm) const;
  [[nodiscard]] Liveness liveness(const core::VmId &Vm, core::Time Now,
                                  const DetectionOptions &Options) const;
  // Returns true if datagrams of Vm still arrive but frames on its connection
  // do not: the connection has stalled, not the VM.
  [[nodiscard]] bool isConnectionStalled(const core::VmId &Vm, core::Time Now,
                                         const DetectionOptions &Options) const;

  // Returns the VMs that are alive but whose connections have stalled.
  [[nodiscard]] std::vector<core::VmId>
  stalledConnections(core::Time Now, const DetectionOptions &Options) const;

  // Returns the leader that the VMs' latest heartbeats name with the highest
  // term, or an empty id. Heartbeats older than m_SuspectAfter are ignored.
  [[nodiscard]] core::VmId leader(core::Time Now,
                                  const DetectionOptions &Options) const;

  // Returns true if VMs that the settings do not list are added when they are
  // discovered.
  [[nodiscard]] bool hasDiscovery() const noexcept {
    return m_DiscoveryPort != 0;
  }

  // These return the changed membership and consume this one: a copy for each
  // message would make the cost of a message grow with the number of VMs.
  //
  // With discovery, adds these VMs, which this VM's own log names as replicas,
  // and does not remove them as unresponsive until a later call omits them.
  // After a power loss they may be all that is left of the replica set, and the
  // seeds may know no other VM.
  [[nodiscard]] Membership withReplicas(const std::vector<core::VmId> &Replicas,
                                        core::Time Now) &&;
  // With discovery, removes the VMs that have been silent for at least Timeout,
  // except this VM, the seeds and the replicas.
  [[nodiscard]] Membership withoutUnresponsive(core::Time Now,
                                               core::Duration Timeout) &&;
  // After a datagram or a frame from a VM arrived.
  [[nodiscard]] Membership withDatagram(const Heartbeat &Value,
                                        core::Time Now) &&;
  [[nodiscard]] Membership withFrame(const core::VmId &From, core::Time Now) &&;

  friend bool operator==(const Membership &, const Membership &) = default;

private:
  void addDiscovered(const core::VmId &Vm, core::Time Now);

  core::VmId m_Self;
  std::map<core::VmId, Contact> m_Contacts;
  std::set<core::VmId> m_Seeds;
  std::set<core::VmId> m_Replicas;
  // Port of all VMs if VMs are discovered, otherwise zero.
  std::uint16_t m_DiscoveryPort = 0;
};

[[nodiscard]] const char *toString(Liveness Value) noexcept;

} // namespace fireflydrift::membership

#endif // FIREFLYDRIFT_MEMBERSHIP_MEMBERSHIP_H
