// The JSON forms that callers, targets and operators see. Decoders name the
// field and the rule that it broke.
#ifndef FIREFLYDRIFT_MESSAGES_JSON_H
#define FIREFLYDRIFT_MESSAGES_JSON_H

#include "control/dispatcher.h"
#include "control/operation.h"

#include <string>

namespace fireflydrift::messages {

// ---- Requests --------------------------------------------------------------

[[nodiscard]] core::Outcome<job::JobSpec>
decodeJobSpec(const std::string &Text);
[[nodiscard]] core::Outcome<configuration::Proposal>
decodeProposal(const std::string &Text);
[[nodiscard]] core::Outcome<target::Announcement>
decodeAnnouncement(const std::string &Text);

// What a target reports: which start of its process it is, and results.
struct TargetReport {
  std::uint64_t m_Incarnation = 0;
  std::vector<control::TaskResult> m_Results;

  friend bool operator==(const TargetReport &, const TargetReport &) = default;
};
[[nodiscard]] core::Outcome<TargetReport> decodeReport(const std::string &Text);

[[nodiscard]] std::string encodeJobSpec(const job::JobSpec &Value);
[[nodiscard]] std::string encodeAnnouncement(const target::Announcement &Value);
[[nodiscard]] std::string encodeReport(const TargetReport &Value);

// ---- Replies ---------------------------------------------------------------

// Every reply has "outcome", and "reason" where there is one.
[[nodiscard]] std::string encodeReply(const control::Reply &Value);

// What an entry VM answers to a target's report.
struct ReportReply {
  // False when the target must announce itself first.
  bool m_Known = false;
  // How long the target's leases go on from now; zero renews nothing.
  core::Duration m_LeaseDuration{0};

  friend bool operator==(const ReportReply &, const ReportReply &) = default;
};
[[nodiscard]] std::string encodeReportReply(const ReportReply &Value);
[[nodiscard]] core::Outcome<ReportReply>
decodeReportReply(const std::string &Text);

// ---- Calls to targets ------------------------------------------------------

[[nodiscard]] std::string encodeCall(const control::Call &Value);
[[nodiscard]] core::Outcome<control::Call> decodeCall(const std::string &Text);
[[nodiscard]] std::string encodeCallOutcome(control::CallOutcome Value);
[[nodiscard]] control::CallOutcome decodeCallOutcome(const std::string &Text);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_JSON_H
