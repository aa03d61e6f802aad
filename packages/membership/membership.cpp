#include "membership/membership.h"

#include <algorithm>

namespace fireflydrift::membership {

Membership::Membership(core::VmId Self, const std::vector<VmAddress> &Addresses)
    : m_Self(std::move(Self)) {
  for (const VmAddress &Address : Addresses)
    m_Contacts.emplace(Address.m_Id, Contact{.m_Address = Address});
}

VmAddress addressById(const core::VmId &Vm, std::uint16_t Port) {
  return {.m_Id = Vm, .m_Host = Vm.text(), .m_Port = Port};
}

Membership Membership::withDiscovery(const VmAddress &Self,
                                     const std::vector<VmAddress> &Seeds) {
  Membership Result(Self.m_Id, Seeds);
  Result.m_DiscoveryPort = Self.m_Port;
  for (const VmAddress &Seed : Seeds)
    Result.m_Seeds.insert(Seed.m_Id);
  Result.m_Contacts.insert_or_assign(Self.m_Id, Contact{.m_Address = Self});
  return Result;
}

void Membership::addDiscovered(const core::VmId &Vm, core::Time Now) {
  if (hasDiscovery() && !m_Contacts.contains(Vm))
    m_Contacts.emplace(Vm,
                       Contact{.m_Address = addressById(Vm, m_DiscoveryPort),
                               .m_DiscoveredAt = Now});
}

Membership Membership::withReplicas(const std::vector<core::VmId> &Replicas,
                                    core::Time Now) && {
  for (const core::VmId &Vm : Replicas)
    addDiscovered(Vm, Now);
  m_Replicas = {Replicas.begin(), Replicas.end()};
  return std::move(*this);
}

Membership Membership::withoutUnresponsive(core::Time Now,
                                           core::Duration Timeout) && {
  if (!hasDiscovery())
    return std::move(*this);
  std::erase_if(m_Contacts, [&](const auto &Each) {
    const auto &[Vm, Known] = Each;
    core::Time Last = std::max(
        {Known.m_LastDatagram, Known.m_LastFrame, Known.m_DiscoveredAt});
    bool Kept = Vm == m_Self || m_Seeds.contains(Vm) || m_Replicas.contains(Vm);
    return !Kept && Now - Last >= Timeout;
  });
  return std::move(*this);
}

const Contact *Membership::find(const core::VmId &Vm) const {
  auto Found = m_Contacts.find(Vm);
  return Found == m_Contacts.end() ? nullptr : &Found->second;
}

Liveness Membership::liveness(const core::VmId &Vm, core::Time Now,
                              const DetectionOptions &Options) const {
  if (Vm == m_Self)
    return Liveness::Alive;
  const Contact *Known = find(Vm);
  if (!Known || !Known->m_MessageReceived)
    return Liveness::Unknown;
  core::Duration Silence =
      Now - std::max(Known->m_LastDatagram, Known->m_LastFrame);
  if (Silence >= Options.m_GoneAfter)
    return Liveness::Gone;
  return Silence >= Options.m_SuspectAfter ? Liveness::Suspect
                                           : Liveness::Alive;
}

bool Membership::isConnectionStalled(const core::VmId &Vm, core::Time Now,
                                     const DetectionOptions &Options) const {
  const Contact *Known = find(Vm);
  return Known && Known->m_MessageReceived &&
         Now - Known->m_LastDatagram < Options.m_SuspectAfter &&
         Now - Known->m_LastFrame >= Options.m_SuspectAfter;
}

std::vector<core::VmId>
Membership::stalledConnections(core::Time Now,
                               const DetectionOptions &Options) const {
  std::vector<core::VmId> Stalled;
  for (const auto &[Vm, Known] : m_Contacts)
    if (Vm != m_Self && isConnectionStalled(Vm, Now, Options))
      Stalled.push_back(Vm);
  return Stalled;
}

core::VmId Membership::leader(core::Time Now,
                              const DetectionOptions &Options) const {
  const Contact *Best = nullptr;
  for (const auto &[Vm, Known] : m_Contacts) {
    bool Fresh = Known.m_MessageReceived &&
                 Now - Known.m_LastDatagram < Options.m_SuspectAfter;
    if (Fresh && !Known.m_Leader.empty() &&
        (!Best || Known.m_Term > Best->m_Term))
      Best = &Known;
  }
  return Best ? Best->m_Leader : core::VmId();
}

Membership Membership::withDatagram(const Heartbeat &Value, core::Time Now) && {
  addDiscovered(Value.m_From, Now);
  for (const core::VmId &Vm : Value.m_Replicas)
    addDiscovered(Vm, Now);
  auto Found = m_Contacts.find(Value.m_From);
  if (Found == m_Contacts.end())
    return std::move(*this);
  Contact &Known = Found->second;
  Known.m_MessageReceived = true;
  Known.m_LastDatagram = std::max(Known.m_LastDatagram, Now);
  // Datagrams may arrive out of order; the version must never decrease.
  Known.m_ConfigurationVersion =
      std::max(Known.m_ConfigurationVersion, Value.m_ConfigurationVersion);
  Known.m_Draining = Value.m_Draining;
  Known.m_Leader = Value.m_Leader;
  Known.m_Term = Value.m_Term;
  return std::move(*this);
}

Membership Membership::withFrame(const core::VmId &From, core::Time Now) && {
  addDiscovered(From, Now);
  auto Found = m_Contacts.find(From);
  if (Found == m_Contacts.end())
    return std::move(*this);
  Found->second.m_MessageReceived = true;
  Found->second.m_LastFrame = std::max(Found->second.m_LastFrame, Now);
  return std::move(*this);
}

const char *toString(Liveness Value) noexcept {
  switch (Value) {
  case Liveness::Unknown:
    return "unheard";
  case Liveness::Alive:
    return "alive";
  case Liveness::Suspect:
    return "suspect";
  case Liveness::Gone:
    return "gone";
  }
  return "unheard";
}

} // namespace fireflydrift::membership
