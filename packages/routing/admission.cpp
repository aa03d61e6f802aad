#include "routing/admission.h"

namespace fireflydrift::routing {

core::Reason check(const Admission &Current, const AdmissionOptions &Options,
                   const core::WorkspaceId &Id, core::Time Now) {
  if (Current.m_Draining)
    return {core::ReasonCode::Unavailable, "", "this VM is shutting down"};
  if (Now - Current.m_LastLeaderHeartbeatAt > Options.m_LeaderTimeout)
    return {core::ReasonCode::Unavailable, "",
            "no leader is known; the request was not accepted"};
  return checkCapacity(Current, Options, Id);
}

core::Reason checkCapacity(const Admission &Current,
                           const AdmissionOptions &Options,
                           const core::WorkspaceId &Id) {
  if (Current.m_Total >= Options.m_MaxHeld)
    return {core::ReasonCode::Overloaded, "",
            "this VM has reached its limit of concurrent requests"};
  auto Held = Current.m_Held.find(Id);
  std::uint32_t Share = Options.m_MaxHeld * Options.m_WorkspacePercent / 100;
  if (Held != Current.m_Held.end() && Held->second >= Share)
    return {core::ReasonCode::Overloaded, "workspace",
            "has reached its share of this VM's concurrent requests"};
  return {};
}

Admission admitted(Admission Before, const core::WorkspaceId &Id) {
  ++Before.m_Held[Id];
  ++Before.m_Total;
  return Before;
}

Admission finished(Admission Before, const core::WorkspaceId &Id) {
  auto Held = Before.m_Held.find(Id);
  if (Held == Before.m_Held.end())
    return Before;
  --Before.m_Total;
  if (--Held->second == 0)
    Before.m_Held.erase(Held);
  return Before;
}

} // namespace fireflydrift::routing
