// The JSON encoding of the API for callers, targets and operators. Decoding
// errors name the field and the rule that it violates.
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

// A target's report: the incarnation of its process, and task results.
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

// Every reply has the field "outcome", and "reason" if there is one.
[[nodiscard]] std::string encodeReply(const control::Reply &Value);

// An entry VM's reply to a target's report.
struct ReportReply {
  // False when the target must announce itself first.
  bool m_Known = false;
  // The target's leases are extended to last this long from now; zero extends
  // none.
  core::Duration m_LeaseDuration{0};

  friend bool operator==(const ReportReply &, const ReportReply &) = default;
};
[[nodiscard]] std::string encodeReportReply(const ReportReply &Value);
[[nodiscard]] core::Outcome<ReportReply>
decodeReportReply(const std::string &Text);

// ---- Calls to targets ------------------------------------------------------

// The verb, the host and the port of a call are not part of its encoding.
[[nodiscard]] std::string encodeCall(const control::Call &Value);
[[nodiscard]] core::Outcome<control::Call> decodeCall(const std::string &Text);
[[nodiscard]] std::string encodeCallOutcome(control::CallOutcome Value);
// Returns NoAnswer when the text does not contain a known outcome.
[[nodiscard]] control::CallOutcome decodeCallOutcome(const std::string &Text);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_JSON_H
