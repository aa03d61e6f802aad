#include "runtime/entry.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

Entry::Entry(EntryOptions Options, Counters &Counts, Send Sender)
    : m_Options(Options), m_Counters(Counts), m_Send(std::move(Sender)) {
  m_Forwarding.m_Budget = routing::fullBudget(m_Options.m_Retry);
}

// ---- Observation -----------------------------------------------------------

core::Reason Entry::admit(const core::WorkspaceId &Id, core::Time Now) const {
  return routing::check(m_Admission, m_Options.m_Admission, Id, Now);
}

core::Reason Entry::checkCapacity() const {
  // Whose request it is, only the leader can tell; all share one bound.
  routing::AdmissionOptions Whole = m_Options.m_Admission;
  constexpr std::uint32_t All = 100;
  Whole.m_WorkspacePercent = All;
  return routing::checkCapacity(m_Admission, Whole, core::WorkspaceId());
}

messages::ReportReply Entry::reportReply(const core::TargetId &Id,
                                         core::Time Now) const {
  bool LeaderKnown = Now - m_Admission.m_LeaderHeardAt <=
                     m_Options.m_Admission.m_LeaderTimeout;
  // Without a leader nobody may promise a target that its leases go on.
  return {.m_Known = m_Announced.contains(Id),
          .m_LeaseDuration =
              LeaderKnown ? m_Options.m_Lease : core::Duration(0)};
}

// ---- Requests --------------------------------------------------------------

static core::Duration ownWait(const control::Operation &Value) {
  const auto *Asked = std::get_if<control::Fetch>(&Value);
  return Asked ? Asked->m_Wait : core::Duration(0);
}

void Entry::submit(control::Operation Value, const core::WorkspaceId &Holder,
                   OnReply Callback, core::Time Now,
                   std::optional<core::Duration> Within) {
  std::uint64_t Id = ++m_NextId;
  core::Time Deadline =
      Now + Within.value_or(m_Options.m_Deadline) + ownWait(Value);
  m_Admission = routing::admitted(std::move(m_Admission), Holder);
  m_Held.emplace(Id, Held{.m_Operation = std::move(Value),
                          .m_Holder = Holder,
                          .m_Callback = std::move(Callback),
                          .m_Since = Now});
  m_Forwarding = routing::added(std::move(m_Forwarding), Id, Deadline, Now);
}

static core::Reason undecided() {
  return {core::ReasonCode::Undecided, "",
          "no leader decided in time; ask again under the same id"};
}

// Whether a refusal promises that nothing will run.
static bool handsInWork(const control::Operation &Value) {
  return std::holds_alternative<control::Submit>(Value) ||
         std::holds_alternative<control::SubmitWorkflow>(Value);
}

void Entry::complete(std::uint64_t Id, control::Reply Value, core::Time Now) {
  auto Found = m_Held.find(Id);
  // A second reply to a repeated operation.
  if (Found == m_Held.end())
    return;
  bool Refused = std::holds_alternative<control::Failure>(Value);
  if (Refused && handsInWork(Found->second.m_Operation) &&
      routing::wasRetried(m_Forwarding, Id))
    Value = control::Failure{undecided()};
  Held Done = std::move(Found->second);
  m_Counters.observe("fireflydrift_forward_ms", Now - Done.m_Since);
  m_Held.erase(Found);
  m_Forwarding = routing::removed(std::move(m_Forwarding), Id);
  m_Admission = routing::finished(std::move(m_Admission), Done.m_Holder);
  Done.m_Callback(std::move(Value));
}

void Entry::bounced(std::uint64_t Id, core::Time Now) {
  m_Forwarding = routing::rejectedByNonLeader(std::move(m_Forwarding), Id,
                                              m_Options.m_Retry, Now);
}

static const char *kindOf(const control::Operation &Value) {
  static constexpr const char *Names[] = {
      "submit",          "fetch",  "cancel",          "explain",
      "configure",       "read",   "status",          "announce",
      "report",          "leave",  "submit_workflow", "fetch_workflow",
      "cancel_workflow", "replace"};
  static_assert(std::size(Names) == std::variant_size_v<control::Operation>);
  return Names[Value.index()];
}

static core::Reason expiryReason(const routing::Expired &Value) {
  if (Value.m_WasSent)
    return undecided();
  return {core::ReasonCode::Unavailable, "",
          "no leader was found in time; nothing was done"};
}

// What the operation is about, so that a caller's id leads to its lines.
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
    auto Found = m_Held.find(Id);
    if (Found == m_Held.end())
      continue;
    logEvent(Event::RequestRouted,
             {{"operation", std::to_string(Id)},
              {"kind", kindOf(Found->second.m_Operation)},
              {"subject", subjectOf(Found->second.m_Operation)},
              {"leader", Leader.text()},
              {"try", std::to_string(Tries)}});
    m_Send(Leader, messages::ForwardOperation{
                       .m_Id = Id, .m_Operation = Found->second.m_Operation});
  }
  for (const routing::Expired &Each : Next.m_Expired)
    complete(Each.m_Id, control::Failure{expiryReason(Each)}, Now);
}

// ---- Targets ---------------------------------------------------------------

void Entry::heardLeader(core::Time Now) {
  m_Admission.m_LeaderHeardAt = std::max(m_Admission.m_LeaderHeardAt, Now);
}

void Entry::heardTarget(const core::TargetId &Id, core::Time Now) {
  m_Signs = routing::recordHeartbeat(std::move(m_Signs), Id, Now);
}

void Entry::targetAnnounced(const core::TargetId &Id) {
  m_Announced.insert(Id);
}

void Entry::summarise(const core::VmId &Leader, core::Time Now) {
  if (!routing::summaryIsDue(m_Signs, m_Options.m_Signs, Now))
    return;
  bool Full = std::exchange(m_FullSummary, false) || m_SummaryLeader != Leader;
  m_SummaryLeader = Leader;
  routing::SummaryStep Next =
      routing::summarise(std::move(m_Signs), m_Options.m_Signs, Full, Now);
  m_Signs = std::move(Next.m_Heartbeats);
  // A target that went away announces itself again when it is back.
  for (const core::TargetId &Id : Next.m_Summary.m_Vanished)
    m_Announced.erase(Id);
  m_Send(Leader,
         messages::ReportHeartbeats{.m_Summary = std::move(Next.m_Summary)});
}

void Entry::tick(const core::VmId &Leader, core::Time Now) {
  forward(Leader, Now);
  if (!Leader.empty())
    summarise(Leader, Now);
}

} // namespace fireflydrift::runtime
