#include "runtime/polling_driver.h"

#include "runtime/events.h"

#include <algorithm>

namespace fireflydrift::runtime {

PollingDriver::PollingDriver(control::PollingOptions Options, Counters &Metrics,
                             PollingCallbacks Callbacks)
    : m_Options(Options), m_Counters(Metrics),
      m_Callbacks(std::move(Callbacks)) {}

core::Reason PollingDriver::checkFailureDomain(const std::string &FailureDomain,
                                               const control::State &State,
                                               core::Time Now) const {
  return control::checkFailureDomain(*m_Polling, State, FailureDomain,
                                     m_Options, Now);
}

core::Duration PollingDriver::timeUntilDue(core::Time Now,
                                           core::Duration MaxWait) const {
  if (!m_Polling)
    return MaxWait;
  core::Duration Wait = MaxWait;
  if (m_Polling->m_PassNeeded)
    Wait = std::min(Wait, m_Polling->m_LastPassAt +
                              m_Options.m_MinPassInterval - Now);
  if (!m_Deadlines.empty())
    Wait = std::min(Wait, m_Deadlines.begin()->first - Now);
  return std::max(Wait, core::Duration(1));
}

// ---- Starting and ending leadership ----------------------------------------

void PollingDriver::begin(std::uint64_t FencingToken, core::Time Now) {
  m_Polling = control::beginPolling(Now);
  m_FencingToken = FencingToken;
}

void PollingDriver::end() {
  m_Polling.reset();
  m_Deadlines.clear();
  m_Affected.clear();
  for (auto &[Id, Each] : std::exchange(m_PendingReports, {}))
    Each.m_Answer(std::nullopt);
}

// ---- Reports ---------------------------------------------------------------

static void logReport(const roster::Report &Value, bool NewInstance) {
  if (NewInstance)
    logEvent(Event::TargetReporting,
             {{"target", Value.m_Target.text()},
              {"incarnation", std::to_string(Value.m_Incarnation)},
              {"address", Value.m_Address},
              {"source", Value.m_SourceHost},
              {"rack", Value.m_Rack}});
  for (const roster::EndedTask &Each : Value.m_Ended)
    logEvent(Event::RunEnded, {{"task", workflow::toString(Each.m_Task)},
                               {"run", std::to_string(Each.m_Run)},
                               {"cause", roster::toString(Each.m_Cause)},
                               {"target", Value.m_Target.text()}});
}

// Late reports are frequent: a line for each would crowd out the decisions.
void PollingDriver::countStale(const roster::Report &Value, core::Time Now) {
  m_Counters.add("fireflydrift_reports_stale_total");
  constexpr core::Duration LogInterval{1000};
  if (Now - m_StaleLoggedAt < LogInterval)
    return;
  m_StaleLoggedAt = Now;
  logEvent(Event::ReportStale,
           {{"target", Value.m_Target.text()},
            {"sequence", std::to_string(Value.m_Sequence)},
            {"stale_total", std::to_string(m_Counters.value(
                                "fireflydrift_reports_stale_total"))}});
}

void PollingDriver::refuse(const roster::Report &Value,
                           roster::ReportVerdict Verdict, core::Time Now) {
  if (Verdict == roster::ReportVerdict::Outdated)
    return countStale(Value, Now);
  bool Contested = Verdict == roster::ReportVerdict::Contested;
  m_Refusals = recordRefusal(
      m_Refusals, m_Counters,
      {.m_Kind = "report",
       .m_Source = Value.m_SourceHost,
       .m_Subject = Value.m_Target.text(),
       .m_Reason = {core::ReasonCode::Conflict, roster::toString(Verdict),
                    Contested ? "another instance with this id or address may "
                                "still run tasks"
                              : "address, pool or source differ from earlier "
                                "reports of the instance"}},
      Now);
}

void PollingDriver::report(roster::Report Value, OrdersCallback Answer,
                           const control::State &State, core::Time Now) {
  if (!m_Polling)
    return Answer(std::nullopt);
  m_Counters.add("fireflydrift_reports_total");
  core::TargetId Id = Value.m_Target;
  roster::ReportVerdict Verdict =
      m_Polling->m_Roster.judge(Value, m_Options.m_Roster, Now);
  if (Verdict != roster::ReportVerdict::Accepted) {
    refuse(Value, Verdict, Now);
    // Without a lease. A target whose earlier instance still holds leases
    // reports again until these have expired.
    return Answer(roster::Orders{.m_FencingToken = m_FencingToken});
  }
  const roster::Member *Known = m_Polling->m_Roster.find(Id);
  bool WasDraining = Known && Known->m_LastReport.m_Draining;
  logReport(Value,
            !Known || Known->m_LastReport.m_Incarnation != Value.m_Incarnation);
  if (Value.m_Draining && !WasDraining)
    logEvent(Event::TargetDraining,
             {{"target", Id.text()},
              {"remaining_ms", Value.m_Remaining
                                   ? std::to_string(Value.m_Remaining->count())
                                   : std::string()}});
  // The target no longer waits for the answer to its earlier report.
  if (auto Earlier = take(Id))
    Earlier->m_Answer(std::nullopt);
  control::PollingStep Next = control::handleReport(
      *std::move(m_Polling), State, std::move(Value), m_Options, Now);
  m_Polling = std::move(Next.m_Polling);
  for (const roster::RunningTask &Each : Next.m_Stalled)
    logEvent(Event::RunStalled, {{"task", workflow::toString(Each.m_Task)},
                                 {"run", std::to_string(Each.m_Run)},
                                 {"percent", std::to_string(Each.m_Percent)},
                                 {"target", Id.text()}});
  recordWithdrawals(Next.m_Withdrawn, State);
  m_Callbacks.m_Propose(std::move(Next.m_Commands));
  const roster::Member *From = m_Polling->m_Roster.find(Id);
  control::ReportResponse Response =
      control::ordersFor(*m_Polling, State, *From, m_Options, m_FencingToken);
  PendingReport Pending{.m_Answer = std::move(Answer),
                        .m_ReportedAt = Now,
                        .m_Until = Now + Response.m_MaxDelay};
  bool Due =
      Response.m_SendNow || Response.m_MaxDelay <= core::Duration::zero();
  if (Due && !m_Callbacks.m_HoldsLease())
    Pending.m_Answer(std::nullopt);
  else if (Due)
    answer(Id, Pending, Response.m_Orders, State, Now);
  else
    hold(Id, std::move(Pending));
}

void PollingDriver::leave(const roster::Departure &Value) {
  if (!m_Polling)
    return;
  logEvent(Event::TargetLeaving,
           {{"target", Value.m_Target.text()}, {"source", Value.m_SourceHost}});
  m_Polling = control::handleLeave(*std::move(m_Polling), Value);
  m_Affected.insert(Value.m_Target);
}

// ---- Answers ---------------------------------------------------------------

void PollingDriver::logOrders(const core::TargetId &Id,
                              const roster::Orders &Orders) {
  for (const roster::StartOrder &Each : Orders.m_Starts)
    logEvent(Event::RunStarted, {{"task", workflow::toString(Each.m_Task)},
                                 {"run", std::to_string(Each.m_Run)},
                                 {"target", Id.text()},
                                 {"saved", Each.m_Checkpoint}});
  for (const roster::StopOrder &Each : Orders.m_Stops)
    logEvent(Event::RunStopping, {{"task", workflow::toString(Each.m_Task)},
                                  {"run", std::to_string(Each.m_Run)},
                                  {"target", Id.text()}});
  m_Counters.add("fireflydrift_starts_total", Orders.m_Starts.size());
  m_Counters.add("fireflydrift_stops_total", Orders.m_Stops.size());
}

void PollingDriver::answer(const core::TargetId &Id, const PendingReport &Value,
                           const roster::Orders &Orders,
                           const control::State &State, core::Time Now) {
  m_Polling =
      control::recordOrdersSent(*std::move(m_Polling), State, Id, Orders,
                                m_Options, Value.m_ReportedAt, Now);
  m_Counters.observe("fireflydrift_report_held_ms", Now - Value.m_ReportedAt);
  logOrders(Id, Orders);
  Value.m_Answer(Orders);
}

void PollingDriver::hold(const core::TargetId &Id, PendingReport Value) {
  m_Deadlines.emplace(Value.m_Until, Id);
  m_PendingReports.emplace(Id, std::move(Value));
}

std::optional<PollingDriver::PendingReport>
PollingDriver::take(const core::TargetId &Id) {
  auto Found = m_PendingReports.extract(Id);
  if (Found.empty())
    return std::nullopt;
  m_Deadlines.erase({Found.mapped().m_Until, Id});
  return std::move(Found.mapped());
}

void PollingDriver::answerIfDue(const core::TargetId &Id,
                                const control::State &State, core::Time Now) {
  auto Pending = m_PendingReports.find(Id);
  if (Pending == m_PendingReports.end())
    return;
  const roster::Member *To = m_Polling->m_Roster.find(Id);
  if (!To) {
    take(Id)->m_Answer(std::nullopt);
    return;
  }
  control::ReportResponse Response =
      control::ordersFor(*m_Polling, State, *To, m_Options, m_FencingToken);
  if (Response.m_SendNow || Now >= Pending->second.m_Until)
    answer(Id, *take(Id), Response.m_Orders, State, Now);
}

void PollingDriver::answerPending(const control::State &State, core::Time Now) {
  // The process may have been paused since the lease was last checked. Answers
  // wait until it is renewed, or end() rejects them.
  if (!m_Callbacks.m_HoldsLease())
    return;
  std::set<core::TargetId> Due = std::exchange(m_Affected, {});
  for (const auto &[Until, Id] : m_Deadlines) {
    if (Now < Until)
      break;
    Due.insert(Id);
  }
  for (const core::TargetId &Id : Due)
    answerIfDue(Id, State, Now);
}

// ---- Ticks -----------------------------------------------------------------

void PollingDriver::onApplied(const control::ApplyResult &Result,
                              const control::State &State) {
  if (!m_Polling)
    return;
  m_Polling = control::afterApplied(*std::move(m_Polling), State, Result);
  for (const control::WorkflowChange &Each : Result.m_WorkflowChanges)
    markAffected(State, Each.m_Workflow);
}

void PollingDriver::recordWithdrawals(
    const std::vector<control::Withdrawal> &All, const control::State &State) {
  for (const control::Withdrawal &Each : All) {
    std::string Cause = control::toString(Each.m_Cause);
    logEvent(Event::RunWithdrawn, {{"task", workflow::toString(Each.m_Task)},
                                   {"run", std::to_string(Each.m_Run)},
                                   {"cause", Cause}});
    m_Counters.add("fireflydrift_runs_withdrawn_total", 1,
                   "cause=\"" + Cause + "\"");
    markAffected(State, Each.m_Task.m_Workflow);
  }
}

// A change of one task can change the orders for all tasks of its workflow.
void PollingDriver::markAffected(const control::State &State,
                                 const core::RequestId &Workflow) {
  const workflow::Workflow *Found = control::findWorkflow(State, Workflow);
  if (!Found)
    return;
  for (const workflow::Step &Step : Found->fields().m_Steps)
    for (const workflow::Task &Each : Step.m_Tasks)
      if (m_PendingReports.contains(Each.m_Instance.m_Target))
        m_Affected.insert(Each.m_Instance.m_Target);
}

static void logAssignment(const control::AssignTasks &Value) {
  std::string Targets;
  for (const auto &Each : Value.m_Assign.m_Placements)
    Targets += (Targets.empty() ? "" : ",") + Each.m_Instance.m_Target.text();
  logEvent(Event::TasksAssigned,
           {{"id", Value.m_Workflow.text()},
            {"step", std::to_string(Value.m_Assign.m_Step)},
            {"run", std::to_string(Value.m_Assign.m_Run)},
            {"targets", Targets}});
}

bool PollingDriver::tick(const control::State &State, bool MayPass,
                         core::Time Now) {
  if (!m_Polling)
    return false;
  control::PollingStep Next =
      control::tick(*std::move(m_Polling), State, m_Options, MayPass, Now);
  m_Polling = std::move(Next.m_Polling);
  for (const assignment::Preemption &Each : Next.m_Preemptions)
    logEvent(Event::RunPreempted, {{"task", workflow::toString(Each.m_Task)},
                                   {"run", std::to_string(Each.m_Run)},
                                   {"for", Each.m_Preemptor.text()}});
  for (const assignment::Preemption &Each : Next.m_Preemptions)
    markAffected(State, Each.m_Task.m_Workflow);
  recordWithdrawals(Next.m_Withdrawn, State);
  for (const control::Command &Each : Next.m_Commands)
    if (const auto *Assigned = std::get_if<control::AssignTasks>(&Each))
      logAssignment(*Assigned);
  bool Proposed = !Next.m_Commands.empty();
  m_Callbacks.m_Propose(std::move(Next.m_Commands));
  answerPending(State, Now);
  return Proposed;
}

} // namespace fireflydrift::runtime
