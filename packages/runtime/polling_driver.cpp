#include "runtime/polling_driver.h"

#include "runtime/events.h"

#include <algorithm>

namespace fireflydrift::runtime {

PollingDriver::PollingDriver(control::PollingOptions Options, Counters &Counts,
                             Propose Proposer)
    : m_Options(Options), m_Counters(Counts), m_Propose(std::move(Proposer)) {}

core::Duration PollingDriver::quietFor(core::Time Now,
                                       core::Duration Most) const {
  if (!m_Polling)
    return Most;
  core::Duration Wait = Most;
  if (m_Polling->m_PassNeeded)
    Wait = std::min(Wait, m_Polling->m_LastPassAt +
                              m_Options.m_MinPassInterval - Now);
  for (const auto &[Id, Each] : m_Held)
    Wait = std::min(Wait, Each.m_Until - Now);
  return std::max(Wait, core::Duration(1));
}

// ---- Taking over and giving up ---------------------------------------------

void PollingDriver::begin(std::uint64_t Fence, core::Time Now) {
  m_Polling = control::beginPolling(Now);
  m_Fence = Fence;
}

void PollingDriver::end() {
  m_Polling.reset();
  for (auto &[Id, Each] : std::exchange(m_Held, {}))
    Each.m_Answer(std::nullopt);
}

// ---- Reports ---------------------------------------------------------------

static void logReport(const roster::Report &Value, bool NewLife) {
  if (NewLife)
    logEvent(Event::TargetReporting,
             {{"target", Value.m_Target.text()},
              {"incarnation", std::to_string(Value.m_Incarnation)},
              {"address", Value.m_Address},
              {"rack", Value.m_Rack}});
  for (const roster::EndedTask &Each : Value.m_Ended)
    logEvent(Event::RunEnded, {{"task", workflow::toString(Each.m_Task)},
                               {"run", std::to_string(Each.m_Run)},
                               {"cause", roster::toString(Each.m_Cause)},
                               {"target", Value.m_Target.text()}});
}

void PollingDriver::report(roster::Report Value, OnOrders Answer,
                           const control::State &State, core::Time Now) {
  if (!m_Polling)
    return Answer(std::nullopt);
  m_Counters.add("fireflydrift_reports_total");
  core::TargetId Id = Value.m_Target;
  if (!m_Polling->m_Roster.isNewer(Value)) {
    logEvent(Event::ReportStale,
             {{"target", Id.text()},
              {"sequence", std::to_string(Value.m_Sequence)}});
    return Answer(roster::Orders{.m_FencingToken = m_Fence});
  }
  const roster::Member *Known = m_Polling->m_Roster.find(Id);
  bool WasDraining = Known && Known->m_LastReport.m_Draining;
  logReport(Value,
            !Known || Known->m_LastReport.m_Incarnation != Value.m_Incarnation);
  if (Value.m_Draining && !WasDraining)
    logEvent(Event::TargetDraining,
             {{"target", Id.text()},
              {"remaining_ms", std::to_string(Value.m_Remaining.count())}});
  // The target has given up on its earlier report.
  if (auto Earlier = m_Held.extract(Id); !Earlier.empty())
    Earlier.mapped().m_Answer(std::nullopt);
  control::PollingStep Next = control::handleReport(
      *std::move(m_Polling), State, std::move(Value), m_Options, Now);
  m_Polling = std::move(Next.m_Polling);
  for (const roster::RunningTask &Each : Next.m_Stalled)
    logEvent(Event::RunStalled, {{"task", workflow::toString(Each.m_Task)},
                                 {"run", std::to_string(Each.m_Run)},
                                 {"percent", std::to_string(Each.m_Percent)},
                                 {"target", Id.text()}});
  m_Propose(std::move(Next.m_Commands));
  const roster::Member *From = m_Polling->m_Roster.find(Id);
  control::ReportResponse Said =
      control::ordersFor(*m_Polling, State, *From, m_Options, m_Fence);
  Held Waiting{.m_Answer = std::move(Answer),
               .m_ReportedAt = Now,
               .m_Until = Now + Said.m_MaxDelay};
  if (Said.m_SendNow || Said.m_MaxDelay <= core::Duration::zero())
    answer(Id, Waiting, Said.m_Orders, State, Now);
  else
    m_Held.emplace(Id, std::move(Waiting));
}

void PollingDriver::leave(const core::TargetId &Id,
                          std::optional<std::uint64_t> Incarnation) {
  if (!m_Polling)
    return;
  logEvent(Event::TargetLeaving, {{"target", Id.text()}});
  m_Polling = control::handleLeave(*std::move(m_Polling), Id, Incarnation);
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

void PollingDriver::answer(const core::TargetId &Id, const Held &Value,
                           const roster::Orders &Orders,
                           const control::State &State, core::Time Now) {
  m_Polling =
      control::recordOrdersSent(*std::move(m_Polling), State, Id, Orders,
                                m_Options, Value.m_ReportedAt, Now);
  m_Counters.observe("fireflydrift_report_held_ms", Now - Value.m_ReportedAt);
  logOrders(Id, Orders);
  Value.m_Answer(Orders);
}

void PollingDriver::answerHeld(const control::State &State, core::Time Now) {
  bool News = std::exchange(m_News, false);
  for (auto Each = m_Held.begin(); Each != m_Held.end();) {
    if (!News && Now < Each->second.m_Until) {
      ++Each;
      continue;
    }
    const roster::Member *To = m_Polling->m_Roster.find(Each->first);
    control::ReportResponse Said =
        To ? control::ordersFor(*m_Polling, State, *To, m_Options, m_Fence)
           : control::ReportResponse{};
    if (To && !Said.m_SendNow && Now < Each->second.m_Until) {
      ++Each;
      continue;
    }
    auto Taken = m_Held.extract(Each++);
    if (To)
      answer(Taken.key(), Taken.mapped(), Said.m_Orders, State, Now);
    else
      Taken.mapped().m_Answer(std::nullopt);
  }
}

// ---- Duties ----------------------------------------------------------------

void PollingDriver::onApplied(const control::ApplyResult &Result,
                              const control::State &State) {
  if (!m_Polling)
    return;
  m_Polling = control::afterApplied(*std::move(m_Polling), State, Result);
  m_News = m_News || !Result.m_WorkflowChanges.empty();
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
                                   {"for", Each.m_For.text()}});
  m_News = m_News || !Next.m_Preemptions.empty();
  for (const control::Command &Each : Next.m_Commands)
    if (const auto *Assigned = std::get_if<control::AssignTasks>(&Each))
      logAssignment(*Assigned);
  bool Proposed = !Next.m_Commands.empty();
  m_Propose(std::move(Next.m_Commands));
  answerHeld(State, Now);
  return Proposed;
}

} // namespace fireflydrift::runtime
