// The evacuation aggregate: the failure domains in which operators allow no new
// work. Work that runs there runs on.
#ifndef FIREFLYDRIFT_EVACUATION_EVACUATION_H
#define FIREFLYDRIFT_EVACUATION_EVACUATION_H

#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace fireflydrift::evacuation {

// Maximum number of failure domains of which the last change is recorded.
inline constexpr std::size_t MaxDomains = 256;

// The last change of one failure domain. It is kept after the evacuation has
// ended, so that a delayed request to evacuate the domain is recognized.
struct DomainRecord {
  bool m_Evacuated = false;
  // When the domain was last evacuated or reopened.
  core::Time m_ChangedAt;
  // Number of the last request that took effect, counted over all failure
  // domains.
  std::uint64_t m_Revision = 0;

  friend bool operator==(const DomainRecord &, const DomainRecord &) = default;
  friend auto operator<=>(const DomainRecord &, const DomainRecord &) = default;
};

// An operator's request to evacuate a failure domain or to end its evacuation.
struct Change {
  std::string m_FailureDomain;
  bool m_Evacuated = true;
  // The domain's revision when the request arrived; zero if it had none. A
  // request that was overtaken by a later change has no effect.
  std::uint64_t m_ReplacesRevision = 0;

  friend bool operator==(const Change &, const Change &) = default;
  friend auto operator<=>(const Change &, const Change &) = default;
};

// The stored form of the evacuations.
struct EvacuationFields {
  std::uint64_t m_LastRevision = 0;
  std::map<std::string, DomainRecord> m_Domains;

  friend bool operator==(const EvacuationFields &,
                         const EvacuationFields &) = default;
};

class Evacuations {
public:
  Evacuations() = default;
  // Rebuilds the evacuations from their stored form.
  [[nodiscard]] static Evacuations restore(EvacuationFields Fields);

  [[nodiscard]] const EvacuationFields &fields() const noexcept {
    return m_Fields;
  }
  [[nodiscard]] bool isEvacuated(const std::string &FailureDomain) const;
  [[nodiscard]] bool hasEvacuatedDomain() const noexcept {
    return m_Evacuated > 0;
  }
  // The revision of the domain's last change; zero if it has none.
  [[nodiscard]] std::uint64_t revisionOf(const std::string &Domain) const;

  friend bool operator==(const Evacuations &, const Evacuations &) = default;

private:
  explicit Evacuations(EvacuationFields Fields);

  EvacuationFields m_Fields;
  std::size_t m_Evacuated = 0;
};

// Returns the evacuations after the change. A request for the state that is in
// force gets a revision too, so that an older request for the other state is
// refused once this one was acknowledged. One that names an outdated revision
// is a repetition, and changes nothing. Fails with InvalidInput for a name that
// is not a valid identifier, with Conflict when the domain has changed since
// m_ReplacesRevision, and with TooLarge when MaxDomains are evacuated.
[[nodiscard]] core::Outcome<Evacuations>
applyChange(const Evacuations &Current, const Change &Value, core::Time Now);

} // namespace fireflydrift::evacuation

#endif // FIREFLYDRIFT_EVACUATION_EVACUATION_H
