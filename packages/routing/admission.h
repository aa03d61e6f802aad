// Admission control at an entry VM: rejects excess requests before they are
// accepted.
#ifndef FIREFLYDRIFT_ROUTING_ADMISSION_H
#define FIREFLYDRIFT_ROUTING_ADMISSION_H

#include "core/ids.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <map>

namespace fireflydrift::routing {

struct AdmissionOptions {
  // Maximum number of concurrent requests at this VM.
  std::uint32_t m_MaxHeld = 2048;
  // Percentage of that maximum that one workspace may use, so that the others
  // are admitted as well.
  std::uint32_t m_WorkspacePercent = 50;
  // A VM rejects all requests after this long without a heartbeat from a
  // leader.
  core::Duration m_LeaderTimeout{4000};

  friend bool operator==(const AdmissionOptions &,
                         const AdmissionOptions &) = default;
  friend auto operator<=>(const AdmissionOptions &,
                          const AdmissionOptions &) = default;
};

// The state of admission control at this VM: its concurrent requests, by
// workspace and in total.
struct Admission {
  std::map<core::WorkspaceId, std::uint32_t> m_Held;
  std::uint32_t m_Total = 0;
  core::Time m_LastLeaderHeartbeatAt;
  bool m_Draining = false;

  friend bool operator==(const Admission &, const Admission &) = default;
};

// Checks the limits on concurrent requests. Returns why one more request is
// rejected, or code None if it is not.
[[nodiscard]] core::Reason checkCapacity(const Admission &Current,
                                         const AdmissionOptions &Options,
                                         const core::WorkspaceId &Id);
// Checks whether a request of this workspace is admitted at Now. Returns why it
// is rejected, or code None if it is admitted. A rejected request has not been
// accepted anywhere.
[[nodiscard]] core::Reason check(const Admission &Current,
                                 const AdmissionOptions &Options,
                                 const core::WorkspaceId &Id, core::Time Now);
[[nodiscard]] Admission admitted(Admission Before, const core::WorkspaceId &Id);
[[nodiscard]] Admission finished(Admission Before, const core::WorkspaceId &Id);

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_ADMISSION_H
