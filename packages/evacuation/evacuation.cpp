#include "evacuation/evacuation.h"

#include "core/ids.h"

#include <algorithm>

namespace fireflydrift::evacuation {

Evacuations::Evacuations(EvacuationFields Fields)
    : m_Fields(std::move(Fields)),
      m_Evacuated(static_cast<std::size_t>(std::count_if(
          m_Fields.m_Domains.begin(), m_Fields.m_Domains.end(),
          [](const auto &Each) { return Each.second.m_Evacuated; }))) {}

Evacuations Evacuations::restore(EvacuationFields Fields) {
  return Evacuations(std::move(Fields));
}

bool Evacuations::isEvacuated(const std::string &FailureDomain) const {
  if (!hasEvacuatedDomain())
    return false;
  auto Found = m_Fields.m_Domains.find(FailureDomain);
  return Found != m_Fields.m_Domains.end() && Found->second.m_Evacuated;
}

std::uint64_t Evacuations::revisionOf(const std::string &Domain) const {
  auto Found = m_Fields.m_Domains.find(Domain);
  return Found == m_Fields.m_Domains.end() ? 0 : Found->second.m_Revision;
}

// Removes the oldest record of an ended evacuation when there are too many
// records. Returns false when all domains are evacuated.
static bool makeRoom(std::map<std::string, DomainRecord> &Domains) {
  if (Domains.size() < MaxDomains)
    return true;
  auto IsOlder = [](const auto &A, const auto &B) {
    return std::pair(A.second.m_Evacuated, A.second.m_Revision) <
           std::pair(B.second.m_Evacuated, B.second.m_Revision);
  };
  auto Oldest = std::min_element(Domains.begin(), Domains.end(), IsOlder);
  if (Oldest->second.m_Evacuated)
    return false;
  Domains.erase(Oldest);
  return true;
}

core::Outcome<Evacuations> applyChange(const Evacuations &Current,
                                       const Change &Value, core::Time Now) {
  const std::string &Domain = Value.m_FailureDomain;
  if (!core::isValidId(Domain))
    return core::Reason{core::ReasonCode::InvalidInput, "failure_domain",
                        "must be a valid identifier"};
  bool IsInForce = Current.isEvacuated(Domain) == Value.m_Evacuated;
  if (Current.revisionOf(Domain) != Value.m_ReplacesRevision) {
    if (IsInForce)
      return Current;
    return core::Reason{core::ReasonCode::Conflict, "failure_domain",
                        "was changed by a later request"};
  }
  EvacuationFields Next = Current.fields();
  bool HasRecord = Next.m_Domains.contains(Domain);
  if (!HasRecord && !makeRoom(Next.m_Domains))
    return core::Reason{core::ReasonCode::TooLarge, "failure_domain",
                        "too many failure domains are evacuated"};
  DomainRecord &Record = Next.m_Domains[Domain];
  if (!HasRecord || !IsInForce)
    Record.m_ChangedAt = Now;
  Record.m_Evacuated = Value.m_Evacuated;
  Record.m_Revision = ++Next.m_LastRevision;
  return Evacuations::restore(std::move(Next));
}

} // namespace fireflydrift::evacuation
