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
  // Silence after which an instance counts as ended when a newer one reports
  // from the same host. Longer than the gap between two reports of a target
  // that works.
  core::Duration m_TakeoverAfter{2000};
  // Silence after which a target is forgotten. Longer than any lease.
  core::Duration m_ForgetAfter{120000};

  friend bool operator==(const RosterOptions &,
                         const RosterOptions &) = default;
};

// ---- State -----------------------------------------------------------------

// A message that a target departs.
struct Departure {
  core::TargetId m_Target;
  // The instance that departs, if the message names one.
  std::optional<std::uint64_t> m_Incarnation;
  // The host from which the message arrived; empty when unknown.
  std::string m_SourceHost;

  friend bool operator==(const Departure &, const Departure &) = default;
};

// The current instance of one target.
struct Member {
  Report m_LastReport;
  core::Time m_FirstReportAt;
  core::Time m_LastReportAt;
  // No lease on the target ends later than this.
  core::Time m_LeaseUntil;
  // True once a report was answered with a lease.
  bool m_Answered = false;
  // True once another report arrived after that: the target receives its
  // answers. A delayed report of a target that has left, or a single foreign
  // one, is never confirmed.
  bool m_Confirmed = false;

  [[nodiscard]] workflow::TargetInstance instance() const {
    return {.m_Target = m_LastReport.m_Target,
            .m_Incarnation = m_LastReport.m_Incarnation};
  }
  friend bool operator==(const Member &, const Member &) = default;
};

// How a report relates to what is known of its target and of its address.
enum class ReportVerdict : std::uint8_t {
  Accepted,
  // Older than the newest report, or from an instance that has ended.
  Outdated,
  // Names another address or pool than earlier reports of the same instance, or
  // comes from elsewhere although those came from the target's own host.
  Mismatched,
  // A new instance claims the id or the address of one that may still run
  // tasks.
  Contested,
};

// Decides for each report whether it may change what is known of a target.
// Reports are not authenticated, so anyone who reaches the leader can send one
// in a target's name. An instance therefore keeps its id and its address until
// its leases have expired in silence, or until a newer instance reports from
// the same host.
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
  // The targets that have been silent for m_ForgetAfter.
  [[nodiscard]] std::vector<core::TargetId>
  forgettable(const RosterOptions &Options, core::Time Now) const;
  [[nodiscard]] ReportVerdict judge(const Report &Value,
                                    const RosterOptions &Options,
                                    core::Time Now) const;
  // True when no run that was assigned to this instance can still be running.
  [[nodiscard]] bool isExpired(const workflow::TargetInstance &Instance,
                               const RosterOptions &Options,
                               core::Time Now) const;
  // True when the target may get new work: it is confirmed, not silent and not
  // draining.
  [[nodiscard]] bool isSchedulable(const Member &Value,
                                   const RosterOptions &Options,
                                   core::Time Now) const noexcept;

  // These return the changed roster and consume this one to avoid a copy.
  // After a report; one that is not accepted changes nothing.
  [[nodiscard]] Roster withReport(Report Value, const RosterOptions &Options,
                                  core::Time Now) &&;
  // After the reply to a report received at ReportedAt extended the leases.
  [[nodiscard]] Roster withExtendedLease(const core::TargetId &Id,
                                         const RosterOptions &Options,
                                         core::Time ReportedAt) &&;
  // After a message that the target departs. Ends the current instance if the
  // message names it and the target is draining or sent it from its own host.
  // Marks the target as draining if the message names no instance, or names the
  // current one without such evidence. Changes nothing otherwise.
  [[nodiscard]] Roster withDeparture(const Departure &Value) &&;
  [[nodiscard]] Roster without(const std::vector<core::TargetId> &Ids) &&;

  friend bool operator==(const Roster &, const Roster &) = default;

private:
  [[nodiscard]] const Member *ownerOf(const std::string &Address) const;
  void removeMember(const core::TargetId &Id);
  void endInstance(const core::TargetId &Id, std::uint64_t Incarnation);
  void replaceHolder(const core::TargetId &Id, const Report &Claim,
                     const RosterOptions &Options, core::Time Now);

  core::Time m_LeaderSince;
  std::map<core::TargetId, Member> m_Members;
  // The newest incarnation of each target that is known to have ended.
  std::map<core::TargetId, std::uint64_t> m_EndedIncarnations;
  // Instances that lost their id or address while a lease of theirs may have
  // been valid, and when the last of their leases ends.
  std::map<workflow::TargetInstance, core::Time> m_Displaced;
  // The member that reports from each address.
  std::map<std::string, core::TargetId> m_Addresses;
};

[[nodiscard]] const char *toString(ReportVerdict Value) noexcept;

} // namespace fireflydrift::roster

#endif // FIREFLYDRIFT_ROSTER_ROSTER_H
