// The roster: the targets that report to this leader, and until when each may
// hold leases. It is the leader's own working state; a new leader starts with
// an empty one and learns it from the reports.
#ifndef FIREFLYDRIFT_ROSTER_ROSTER_H
#define FIREFLYDRIFT_ROSTER_ROSTER_H

#include "roster/report.h"

#include <map>
#include <optional>

namespace fireflydrift::roster {

// ---- Options ---------------------------------------------------------------

struct RosterOptions {
  // How long each answered report extends the leases on a target.
  core::Duration m_Lease{6000};
  // How much slower than ours a target's clock may run, in percent.
  std::uint32_t m_ClockDriftPercent = 2;
  // Added to the end of a lease before it counts as over.
  core::Duration m_LeaseMargin{300};
  // Silence after which a target gets no new work.
  core::Duration m_SilentAfter{3500};

  friend bool operator==(const RosterOptions &,
                         const RosterOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// One target in its present life.
struct Member {
  Report m_LastReport;
  core::Time m_FirstReportAt;
  core::Time m_LastReportAt;
  // No lease on the target reaches beyond this.
  core::Time m_LeaseUntil;

  [[nodiscard]] workflow::TargetInstance instance() const {
    return {.m_Target = m_LastReport.m_Target,
            .m_Incarnation = m_LastReport.m_Incarnation};
  }
  friend bool operator==(const Member &, const Member &) = default;
};

class Roster {
public:
  Roster() = default;
  // A leader's roster when it begins to lead. Earlier leaders may have granted
  // leases until then.
  explicit Roster(core::Time Since) noexcept : m_Since(Since) {}

  [[nodiscard]] const std::map<core::TargetId, Member> &
  members() const noexcept {
    return m_Members;
  }
  [[nodiscard]] const Member *find(const core::TargetId &Id) const;
  // True when the report is not older than what is known of the target.
  [[nodiscard]] bool isNewer(const Report &Value) const;
  // True when nothing that was assigned to this life can be running any more.
  [[nodiscard]] bool isExpired(const workflow::TargetInstance &Life,
                               const RosterOptions &Options,
                               core::Time Now) const;
  // True when the target may get new work.
  [[nodiscard]] bool isSchedulable(const Member &Value,
                                   const RosterOptions &Options,
                                   core::Time Now) const noexcept;

  // These return the changed roster; they consume it so nothing is copied.
  // After a report; one that is not fresh changes nothing.
  [[nodiscard]] Roster withReport(Report Value, const RosterOptions &Options,
                                  core::Time Now) &&;
  // After leases were extended in the answer to a report heard at ReportedAt.
  [[nodiscard]] Roster withExtendedLease(const core::TargetId &Id,
                                         const RosterOptions &Options,
                                         core::Time ReportedAt) &&;
  // After the target's present life ended by its own word.
  [[nodiscard]] Roster
  withDeparture(const core::TargetId &Id,
                std::optional<std::uint64_t> Incarnation) &&;

  friend bool operator==(const Roster &, const Roster &) = default;

private:
  void endInstance(const core::TargetId &Id, std::uint64_t Incarnation);

  core::Time m_Since;
  std::map<core::TargetId, Member> m_Members;
  // The newest life of each target that is known to be over.
  std::map<core::TargetId, std::uint64_t> m_Ended;
  // Which target reports from which address.
  std::map<std::string, core::TargetId> m_Addresses;
};

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_ROSTER_H
