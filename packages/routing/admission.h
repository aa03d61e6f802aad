// Admission at an entry VM: early and truthful shedding.
#ifndef FIREFLYDRIFT_ROUTING_ADMISSION_H
#define FIREFLYDRIFT_ROUTING_ADMISSION_H

#include "core/ids.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <map>

namespace fireflydrift::routing {

struct AdmissionOptions {
  // Requests that this VM holds at once.
  std::uint32_t m_MaxHeld = 2048;
  // Part of them, in percent, that one workspace may take while others wait.
  std::uint32_t m_WorkspacePercent = 50;
  // A VM that heard no leader for this long takes no request.
  core::Duration m_LeaderTimeout{4000};

  friend bool operator==(const AdmissionOptions &,
                         const AdmissionOptions &) = default;
  friend auto operator<=>(const AdmissionOptions &,
                          const AdmissionOptions &) = default;
};

// Requests that this VM holds, by workspace.
struct Admission {
  std::map<core::WorkspaceId, std::uint32_t> m_Held;
  std::uint32_t m_Total = 0;
  core::Time m_LeaderHeardAt;
  bool m_Draining = false;

  friend bool operator==(const Admission &, const Admission &) = default;
};

// Why this VM has no room for one more request; code None when it has.
[[nodiscard]] core::Reason checkCapacity(const Admission &Current,
                                         const AdmissionOptions &Options,
                                         const core::WorkspaceId &Id);
// Why a request of this workspace is not taken at Now; code None when it is.
// A refused request has not been accepted anywhere.
[[nodiscard]] core::Reason check(const Admission &Current,
                                 const AdmissionOptions &Options,
                                 const core::WorkspaceId &Id, core::Time Now);
[[nodiscard]] Admission admitted(Admission Before, const core::WorkspaceId &Id);
[[nodiscard]] Admission finished(Admission Before, const core::WorkspaceId &Id);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_ADMISSION_H
