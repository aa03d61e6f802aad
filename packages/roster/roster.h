// The roster: the targets that report to this leader, and until when each may
// hold leases. It is volatile state of the leader; a new leader starts with an
// empty roster and fills it from the reports.
#ifndef FIREFLYDRIFT_ROSTER_ROSTER_H
#define FIREFLYDRIFT_ROSTER_ROSTER_H

#include "roster/report.h"

#include <map>
#include <optional>

namespace fireflydrift::roster {

// ---- Options ---------------------------------------------------------------

struct RosterOptions {
  // Duration by which the reply to a report extends the leases on a target.
  core::Duration m_Lease{6000};
  // How much slower than the leader's clock a target's may run, in percent.
  std::uint32_t m_ClockDriftPercent = 2;
  // Added to the end of a lease before it counts as expired.
  core::Duration m_LeaseMargin{300};
  // Time without a report after which a target gets no new work.
  core::Duration m_SilentAfter{3500};

  friend bool operator==(const RosterOptions &,
                         const RosterOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// The current instance of one target.
struct Member {
  Report m_LastReport;
  core::Time m_FirstReportAt;
  core::Time m_LastReportAt;
  // No lease on the target ends later than this.
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
  // The roster of a leader that becomes leader at Since. Earlier leaders may
  // have granted leases until then.
  explicit Roster(core::Time Since) noexcept : m_LeaderSince(Since) {}

  [[nodiscard]] const std::map<core::TargetId, Member> &
  members() const noexcept {
    return m_Members;
  }
  [[nodiscard]] const Member *find(const core::TargetId &Id) const;
  // True when the report is newer than what is known of the target and, for a
  // new instance, not older than the instance that reports from its address.
  [[nodiscard]] bool isNewer(const Report &Value) const;
  // True when no run that was assigned to this instance can still be running.
  [[nodiscard]] bool isExpired(const workflow::TargetInstance &Instance,
                               const RosterOptions &Options,
                               core::Time Now) const;
  // True when the target may get new work.
  [[nodiscard]] bool isSchedulable(const Member &Value,
                                   const RosterOptions &Options,
                                   core::Time Now) const noexcept;

  // These return the changed roster and consume this one to avoid a copy.
  // After a report; one that is not newer changes nothing.
  [[nodiscard]] Roster withReport(Report Value, const RosterOptions &Options,
                                  core::Time Now) &&;
  // After the reply to a report received at ReportedAt extended the leases.
  [[nodiscard]] Roster withExtendedLease(const core::TargetId &Id,
                                         const RosterOptions &Options,
                                         core::Time ReportedAt) &&;
  // After the target announced its departure: ends the current instance if
  // Incarnation names it, marks it as draining if none is named, and otherwise
  // changes nothing.
  [[nodiscard]] Roster
  withDeparture(const core::TargetId &Id,
                std::optional<std::uint64_t> Incarnation) &&;

  friend bool operator==(const Roster &, const Roster &) = default;

private:
  void endInstance(const core::TargetId &Id, std::uint64_t Incarnation);

  core::Time m_LeaderSince;
  std::map<core::TargetId, Member> m_Members;
  // The newest incarnation of each target that is known to have ended.
  std::map<core::TargetId, std::uint64_t> m_EndedIncarnations;
  // The target that last reported from each address.
  std::map<std::string, core::TargetId> m_Addresses;
};

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_ROSTER_H
