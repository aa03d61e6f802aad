#include "runtime/entry.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

Entry::Entry(EntryOptions Options, Counters &Metrics, Send SendCallback)
    : m_Options(Options), m_Counters(Metrics), m_Send(std::move(SendCallback)),
      m_NextId(Options.m_FirstOperation) {
  m_Forwarding.m_Budget = routing::fullBudget(m_Options.m_Retry);
}

// ---- Observation -----------------------------------------------------------

core::Reason Entry::checkAdmission(const core::WorkspaceId &Id,
                                   core::Time Now) const {
  return routing::check(m_Admission, m_Options.m_Admission, Id, Now);
}

core::Reason Entry::checkCapacity() const {
  // For callers that don't know the workspace of a request, because only the
  // leader can tell it. All such requests share the whole limit of this VM.
  routing::AdmissionOptions Limits = m_Options.m_Admission;
  constexpr std::uint32_t FullPercent = 100;
  Limits.m_WorkspacePercent = FullPercent;
  return routing::checkCapacity(m_Admission, Limits, core::WorkspaceId());
}

messages::ReportReply Entry::reportReply(const core::TargetId &Id,
                                         core::Time Now) const {
  bool LeaderKnown = Now - m_Admission.m_LastLeaderHeartbeatAt <=
                     m_Options.m_Admission.m_LeaderTimeout;
  // Leases may be extended only while a leader is known.
  return {.m_Known = m_Announced.contains(Id),
          .m_LeaseDuration =
              LeaderKnown ? m_Options.m_TargetLease : core::Duration(0)};
}

// ---- Requests --------------------------------------------------------------

static core::Duration requestedWait(const control::Operation &Value) {
  const auto *Fetch = std::get_if<control::Fetch>(&Value);
  return Fetch ? Fetch->m_Wait : core::Duration(0);
}

void Entry::submit(control::Operation Value, const core::WorkspaceId &Workspace,
                   ReplyCallback Callback, core::Time Now,
                   std::optional<core::Duration> Timeout) {
  std::uint64_t Id = m_NextId++;
  core::Time Deadline = Now + Timeout.value_or(m_Options.m_OperationTimeout) +
                        requestedWait(Value);
  m_Admission = routing::admitted(std::move(m_Admission), Workspace);
  m_Pending.emplace(Id, PendingRequest{.m_Operation = std::move(Value),
                                       .m_Workspace = Workspace,
                                       .m_Callback = std::move(Callback),
                                       .m_Since = Now});
  m_Forwarding = routing::added(std::move(m_Forwarding), Id, Deadline, Now);
}

static core::Reason undecided() {
  return {core::ReasonCode::Undecided, "",
          "no leader decided the request in time; it may still take effect. "
          "Send it again, under the same id if it has one"};
}

// True for operations that create work. To their caller, a rejection means that
// nothing will run.
static bool createsWork(const control::Operation &Value) {
  return std::holds_alternative<control::Submit>(Value) ||
         std::holds_alternative<control::SubmitWorkflow>(Value);
}

void Entry::complete(std::uint64_t Id, control::Reply Value, core::Time Now) {
  auto Found = m_Pending.find(Id);
  // The operation was already answered by an earlier reply, or has expired.
  if (Found == m_Pending.end())
    return;
  bool Rejected = std::holds_alternative<control::Failure>(Value);
  // An earlier attempt may have been accepted although its reply was lost.
  if (Rejected && createsWork(Found->second.m_Operation) &&
      routing::wasRetried(m_Forwarding, Id))
    Value = control::Failure{undecided()};
  PendingRequest Completed = std::move(Found->second);
  m_Counters.observe("fireflydrift_forward_ms", Now - Completed.m_Since);
  m_Pending.erase(Found);
  m_Forwarding = routing::removed(std::move(m_Forwarding), Id);
  m_Admission =
      routing::finished(std::move(m_Admission), Completed.m_Workspace);
  Completed.m_Callback(std::move(Value));
}

void Entry::onNotLeader(std::uint64_t Id, core::Time Now) {
  m_Forwarding = routing::rejectedByNonLeader(std::move(m_Forwarding), Id,
                                              m_Options.m_Retry, Now);
}

void Entry::onUnacknowledged(const core::VmId &To,
                             const std::vector<std::uint64_t> &Ids,
                             core::Time Now) {
  for (std::uint64_t Id : Ids)
    m_Forwarding =
        routing::unacknowledged(std::move(m_Forwarding), Id, To, Now);
}

static const char *operationName(const control::Operation &Value) {
  static constexpr const char *Names[] = {
      "submit",          "fetch",   "cancel",           "explain",
      "configure",       "read",    "status",           "announce",
      "report",          "leave",   "submit_workflow",  "fetch_workflow",
      "cancel_workflow", "replace", "read_evacuations", "change_evacuation"};
  static_assert(std::size(Names) == std::variant_size_v<control::Operation>);
  return Names[Value.index()];
}

static core::Reason expiryReason(const routing::Expired &Value) {
  if (Value.m_WasSent)
    return undecided();
  return {core::ReasonCode::Unavailable, "",
          "no leader was available in time; the request had no effect"};
}

// The job, path or version that the operation refers to; empty for other
// operations. It is logged so that the log lines of a request can be found by
// the caller's id.
static std::string subjectOf(const control::Operation &Value) {
  if (const auto *Typed = std::get_if<control::Submit>(&Value))
    return core::toString(Typed->m_Spec.m_Key);
  if (const auto *Typed = std::get_if<control::Fetch>(&Value))
    return core::toString(Typed->m_Job);
  if (const auto *Typed = std::get_if<control::Cancel>(&Value))
    return core::toString(Typed->m_Job);
  if (const auto *Typed = std::get_if<control::SubmitWorkflow>(&Value))
    return Typed->m_Call.m_Path;
  if (const auto *Typed = std::get_if<control::FetchWorkflow>(&Value))
    return Typed->m_Call.m_Path;
  if (const auto *Typed = std::get_if<control::CancelWorkflowRequest>(&Value))
    return Typed->m_Call.m_Path;
  if (const auto *Typed = std::get_if<control::ChangeEvacuation>(&Value))
    return Typed->m_Change.m_FailureDomain;
  if (const auto *Typed = std::get_if<control::PutConfiguration>(&Value))
    return "version " + std::to_string(Typed->m_Replacement.m_Version);
  return {};
}

void Entry::forward(const core::VmId &Leader, core::Time Now) {
  routing::ForwardingStep Next = routing::dispatchDue(
      std::move(m_Forwarding), Leader, m_Options.m_Retry, Now);
  m_Forwarding = std::move(Next.m_Forwarding);
  for (std::uint64_t Id : Next.m_Send) {
    std::uint32_t Tries = m_Forwarding.m_Pending.at(Id).m_Tries;
    if (Tries > 1)
      m_Counters.add("fireflydrift_retries_total");
    auto Found = m_Pending.find(Id);
    if (Found == m_Pending.end())
      continue;
    logEvent(Event::RequestRouted,
             {{"operation", std::to_string(Id)},
              {"kind", operationName(Found->second.m_Operation)},
              {"subject", subjectOf(Found->second.m_Operation)},
              {"leader", Leader.text()},
              {"try", std::to_string(Tries)}});
    m_Send(Leader, messages::ForwardOperation{
                       .m_Id = Id, .m_Operation = Found->second.m_Operation});
  }
  for (const routing::Expired &Each : Next.m_Expired)
    complete(Each.m_Id, control::Failure{expiryReason(Each)}, Now);
}

// ---- Heartbeats ------------------------------------------------------------

void Entry::recordLeaderHeartbeat(core::Time Now) {
  m_Admission.m_LastLeaderHeartbeatAt =
      std::max(m_Admission.m_LastLeaderHeartbeatAt, Now);
}

void Entry::recordTargetHeartbeat(const core::TargetId &Id, core::Time Now) {
  m_Heartbeats = routing::recordHeartbeat(std::move(m_Heartbeats), Id, Now);
}

void Entry::recordAnnouncement(const core::TargetId &Id) {
  m_Announced.insert(Id);
}

void Entry::sendHeartbeatSummary(const core::VmId &Leader, core::Time Now) {
  if (!routing::summaryIsDue(m_Heartbeats, m_Options.m_Heartbeats, Now))
    return;
  bool Full = std::exchange(m_FullSummary, false) || m_SummaryLeader != Leader;
  m_SummaryLeader = Leader;
  routing::SummaryStep Next = routing::summarise(
      std::move(m_Heartbeats), m_Options.m_Heartbeats, Full, Now);
  m_Heartbeats = std::move(Next.m_Heartbeats);
  // A target whose heartbeats stopped announces itself again when it returns.
  for (const core::TargetId &Id : Next.m_Summary.m_Vanished)
    m_Announced.erase(Id);
  m_Send(Leader,
         messages::ReportHeartbeats{.m_Summary = std::move(Next.m_Summary)});
}

void Entry::tick(const core::VmId &Leader, core::Time Now) {
  forward(Leader, Now);
  if (!Leader.empty())
    sendHeartbeatSummary(Leader, Now);
}

} // namespace fireflydrift::runtime
