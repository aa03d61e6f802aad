#include "runtime/leader_driver.h"

#include "runtime/events.h"

namespace fireflydrift::runtime {

LeaderDriver::LeaderDriver(control::LeaderOptions Options, Counters &Metrics,
                           LeaderCallbacks Callbacks)
    : m_Options(Options), m_Counters(Metrics),
      m_Callbacks(std::move(Callbacks)),
      m_Polling(
          m_Options.m_Polling, Metrics,
          {.m_Propose =
               [this](std::vector<control::Command> Commands) {
                 propose(std::move(Commands), std::nullopt);
               },
           .m_HoldsLease = [this] { return m_Callbacks.m_HoldsLease(); }}) {}

bool LeaderDriver::hasWork(const control::State &State) const {
  if (!m_Leader)
    return false;
  bool NeedsPass = m_Leader->m_PassNeeded && !State.m_Indexes.m_Queued.empty();
  return NeedsPass || control::hasUnsentCalls(m_Leader->m_Dispatcher);
}

// ---- Starting and ending leadership ----------------------------------------

void LeaderDriver::begin(const control::State &State, std::uint64_t Term,
                         core::Time Now) {
  m_Leader = control::becomeLeader(State, Now);
  m_Term = Term;
  m_Polling.begin(Term, Now);
  m_WorkflowPassIndex = 0;
  m_WorkflowPassProposed = false;
  m_JobPassIndex = 0;
  m_JobPassProposed = false;
}

void LeaderDriver::end() {
  m_Leader.reset();
  m_Polling.end();
  auto Reject = [&](const std::optional<PendingOperation> &Each) {
    if (Each)
      m_Callbacks.m_RejectNotLeader(Each->m_Origin);
  };
  for (const auto &[Index, All] : m_PendingByIndex)
    for (const std::optional<PendingOperation> &Each : All)
      Reject(Each);
  for (const std::optional<PendingOperation> &Each : m_ProposalOperations)
    Reject(Each);
  for (const auto &[From, Each] : m_Fetches)
    m_Callbacks.m_RejectNotLeader(From);
  m_PendingByIndex.clear();
  m_ProposedAt.clear();
  m_Proposals.clear();
  m_ProposalOperations.clear();
  m_Fetches.clear();
}

// ---- Operations ------------------------------------------------------------

control::Reply
LeaderDriver::complete(control::Reply Value,
                       const control::Operation &Operation) const {
  if (auto *Status = std::get_if<control::StatusView>(&Value))
    m_Callbacks.m_CompleteStatus(*Status);
  auto *Decisions = std::get_if<control::DecisionsView>(&Value);
  const auto *Explain = std::get_if<control::Explain>(&Operation);
  if (Decisions && Explain) {
    // Why a job waits is kept in the leader's working state only, which is not
    // replicated.
    auto Waiting = m_Leader->m_WaitingDecisions.find(Explain->m_Job);
    if (Waiting != m_Leader->m_WaitingDecisions.end())
      Decisions->m_Decisions.push_back(Waiting->second);
  }
  return Value;
}

bool LeaderDriver::waitForOutcome(const Origin &From,
                                  const control::Operation &Value,
                                  const control::State &State, core::Time Now) {
  const auto *Fetch = std::get_if<control::Fetch>(&Value);
  if (!Fetch || Fetch->m_Wait <= core::Duration::zero())
    return false;
  const job::Job *Found = control::findJob(State, Fetch->m_Job);
  if (!Found || Found->isFinished())
    return false;
  // A fetch that its origin sent again keeps its first deadline.
  m_Fetches.emplace(From, PendingFetch{.m_Job = Fetch->m_Job,
                                       .m_Until = Now + Fetch->m_Wait});
  return true;
}

core::Reason LeaderDriver::checkDomain(const control::Operation &Value,
                                       const control::State &State,
                                       core::Time Now) const {
  const auto *Typed = std::get_if<control::ChangeEvacuation>(&Value);
  // An invalid name is refused by the aggregate, with its own reason.
  bool NeedsCheck = Typed && !Typed->m_AllowUnknown &&
                    core::isValidId(Typed->m_Change.m_FailureDomain);
  return NeedsCheck ? m_Polling.checkFailureDomain(
                          Typed->m_Change.m_FailureDomain, State, Now)
                    : core::Reason();
}

void LeaderDriver::decide(const Origin &From, const control::Operation &Value,
                          const control::State &State, core::Time Now) {
  if (!m_Leader)
    return m_Callbacks.m_RejectNotLeader(From);
  m_Counters.add("fireflydrift_operations_total");
  if (waitForOutcome(From, Value, State, Now))
    return;
  core::Reason Unknown = checkDomain(Value, State, Now);
  if (Unknown.m_Code != core::ReasonCode::None)
    return m_Callbacks.m_Reply(
        From, control::Failure{.m_Reason = std::move(Unknown)});
  control::HandleResult Next =
      control::handle(State, Value, m_Leader->m_Reservations, Now);
  if (Next.m_Reply) {
    m_Callbacks.m_Reply(From, complete(*std::move(Next.m_Reply), Value));
    return;
  }
  propose(std::move(Next.m_Commands),
          PendingOperation{.m_Origin = From, .m_Operation = Value});
}

// ---- Proposing -------------------------------------------------------------

void LeaderDriver::propose(std::vector<control::Command> Commands,
                           std::optional<PendingOperation> Pending) {
  for (control::Command &Each : Commands) {
    m_Proposals.push_back(std::move(Each));
    // The operation is answered with its first command's result.
    m_ProposalOperations.push_back(std::exchange(Pending, std::nullopt));
  }
}

void LeaderDriver::flush(core::Time Now) {
  if (m_Proposals.empty())
    return;
  control::Batch Value{.m_At = Now,
                       .m_Commands = std::exchange(m_Proposals, {})};
  std::uint64_t Index = m_Callbacks.m_Propose(Value);
  m_PendingByIndex.emplace(Index, std::exchange(m_ProposalOperations, {}));
  m_ProposedAt.emplace(Index, Now);
  if (std::exchange(m_JobPassProposed, false))
    m_JobPassIndex = Index;
  if (std::exchange(m_WorkflowPassProposed, false))
    m_WorkflowPassIndex = Index;
}

static void logEvacuations(const control::ApplyResult &Result) {
  for (const control::EvacuationChange &Each : Result.m_EvacuationChanges)
    logEvent(Each.m_Evacuated ? Event::DomainEvacuated : Event::DomainReopened,
             {{"failure_domain", Each.m_FailureDomain}});
}

static void logTargetChanges(const control::ApplyResult &Result) {
  for (const control::TargetChange &Each : Result.m_TargetChanges) {
    Fields Details{{"target", Each.m_Target.text()}};
    if (Each.m_Quarantined)
      logEvent(Event::TargetQuarantined, Details);
    if (Each.m_From == Each.m_To)
      continue;
    if (Each.m_To == target::Presence::Lost)
      logEvent(Event::TargetLost, Details);
    else if (Each.m_To == target::Presence::Leaving)
      logEvent(Event::TargetLeaving, Details);
  }
}

void LeaderDriver::onApplied(std::uint64_t Index,
                             const control::ApplyResult &Result,
                             const control::State &State, core::Time Now) {
  m_AppliedIndex = Index;
  if (!m_Leader)
    return;
  if (auto Proposed = m_ProposedAt.extract(Index); !Proposed.empty())
    m_Counters.observe("fireflydrift_commit_ms", Now - Proposed.mapped());
  recordStartLatency(Result, State);
  logJobChanges(Result, State);
  logTargetChanges(Result);
  logEvacuations(Result);
  logWorkflows(Result, State);
  m_Polling.onApplied(Result, State);
  m_Leader = control::afterApplied(*std::move(m_Leader), State, Result, Now);
  answerFetches(Result, State);
  auto Found = m_PendingByIndex.find(Index);
  if (Found == m_PendingByIndex.end())
    return;
  PendingOperations All = std::move(Found->second);
  m_PendingByIndex.erase(Found);
  for (std::size_t I = 0; I < All.size() && I < Result.m_Results.size(); ++I)
    if (All[I])
      m_Callbacks.m_Reply(All[I]->m_Origin,
                          control::replyAfterApply(State, All[I]->m_Operation,
                                                   Result.m_Results[I]));
}

void LeaderDriver::answerFetches(const control::ApplyResult &Result,
                                 const control::State &State) {
  if (m_Fetches.empty())
    return;
  for (const control::JobChange &Each : Result.m_JobChanges) {
    const job::Job *Job = control::findJob(State, Each.m_Job);
    if (!Job || !Job->isFinished())
      continue;
    std::erase_if(m_Fetches, [&](const auto &Pair) {
      bool Matches = Pair.second.m_Job == Each.m_Job;
      if (Matches)
        m_Callbacks.m_Reply(Pair.first, control::viewOf(*Job));
      return Matches;
    });
  }
}

void LeaderDriver::expireFetches(const control::State &State, core::Time Now) {
  std::erase_if(m_Fetches, [&](const auto &Pair) {
    if (Now < Pair.second.m_Until)
      return false;
    const job::Job *Job = control::findJob(State, Pair.second.m_Job);
    if (Job)
      m_Callbacks.m_Reply(Pair.first, control::viewOf(*Job));
    return true;
  });
}

// ---- Ticks and calls -------------------------------------------------------

void LeaderDriver::execute(control::LeaderStep Step) {
  m_Leader = std::move(Step.m_Leader);
  for (const placement::Decision &Each : Step.m_NewDecisions)
    logDecision(Each);
  propose(std::move(Step.m_Commands), std::nullopt);
  for (const control::Call &Each : Step.m_Calls)
    m_Callbacks.m_Call(Each);
}

void LeaderDriver::tick(const control::State &State, core::Time Now) {
  if (!m_Leader || Now - m_LastTickAt < TickInterval)
    return;
  m_LastTickAt = Now;
  bool MayPass = m_AppliedIndex >= m_JobPassIndex && !m_JobPassProposed;
  core::Time PassBefore = m_Leader->m_LastPassAt;
  execute(control::tick(*std::move(m_Leader), State, m_Options, MayPass, Now));
  m_JobPassProposed = m_JobPassProposed || m_Leader->m_LastPassAt != PassBefore;
  // A pass without commands leaves no batch to wait for.
  if (m_Proposals.empty())
    m_JobPassProposed = false;
  bool MayAssign =
      m_AppliedIndex >= m_WorkflowPassIndex && !m_WorkflowPassProposed;
  if (m_Polling.tick(State, MayAssign, Now))
    m_WorkflowPassProposed = true;
  expireFetches(State, Now);
  logGuarantees();
}

void LeaderDriver::onCallReply(const control::CallReply &Reply,
                               const control::State &State, core::Time Now) {
  m_Counters.add("fireflydrift_target_calls_total", 1,
                 std::string("outcome=\"") +
                     control::toString(Reply.m_Outcome) + "\"");
  if (Reply.m_Outcome != control::CallOutcome::Accepted)
    logEvent(Event::TargetCallFailed,
             {{"target", Reply.m_Target.text()},
              {"verb", control::toString(Reply.m_Verb)},
              {"job", core::toString(Reply.m_Lease.m_Job)},
              {"attempt", std::to_string(Reply.m_Lease.m_Attempt)},
              {"outcome", control::toString(Reply.m_Outcome)}});
  if (m_Leader)
    execute(control::handleCallReply(*std::move(m_Leader), State, Reply,
                                     m_Options, Now));
}

bool LeaderDriver::onHeartbeatSummary(const core::VmId &Entry,
                                      const routing::HeartbeatSummary &Value,
                                      core::Time Now) {
  if (!m_Leader)
    return false;
  routing::SummaryResult Next =
      routing::applySummary(std::move(m_Leader->m_Heartbeats), Entry, Value,
                            m_Options.m_Heartbeats, Now);
  m_Leader->m_Heartbeats = std::move(Next.m_Heartbeats);
  return Next.m_NeedsFull;
}

std::vector<core::TargetId>
LeaderDriver::lostTargetsStillHeard(const core::VmId &Entry,
                                    const control::State &State) const {
  if (!m_Leader)
    return {};
  return control::lostTargetsStillHeard(*m_Leader, State, Entry);
}

// ---- Events ----------------------------------------------------------------

static Event eventFor(placement::Verdict Value) {
  switch (Value) {
  case placement::Verdict::Placed:
    return Event::JobPlaced;
  case placement::Verdict::Waiting:
    return Event::JobWaiting;
  case placement::Verdict::Reclaiming:
    return Event::JobReclaiming;
  case placement::Verdict::Refused:
    return Event::JobRefused;
  }
  return Event::JobWaiting;
}

void LeaderDriver::logDecision(const placement::Decision &Value) {
  m_Counters.add("fireflydrift_placements_total", 1,
                 std::string("verdict=\"") +
                     placement::toString(Value.m_Verdict) + "\"");
  logEvent(eventFor(Value.m_Verdict),
           {{"decision", placement::toString(Value)}});
}

void LeaderDriver::logJobChanges(const control::ApplyResult &Result,
                                 const control::State &State) {
  for (const control::JobChange &Each : Result.m_JobChanges) {
    const job::Job *Job = control::findJob(State, Each.m_Job);
    if (!Job)
      continue;
    // A newly accepted job is listed as a change from Queued to Queued.
    bool Accepted =
        Each.m_To == job::Phase::Queued && Each.m_From == job::Phase::Queued;
    Fields Details{{"job", core::toString(Each.m_Job)},
                   {"attempt", std::to_string(Job->fields().m_Attempt)}};
    if (Accepted) {
      logEvent(Event::JobAccepted, Details);
    } else if (Each.m_To == job::Phase::Stopping) {
      Details.emplace_back("cause", job::toString(Job->fields().m_StopCause));
      logEvent(Event::JobStopping, Details);
    } else if (Job->isFinished()) {
      Details.emplace_back("outcome", job::outcomeName(Job->phase()));
      Details.emplace_back("reason", core::toString(Job->fields().m_Reason));
      logEvent(Event::JobFinished, Details);
    }
  }
}

// Records how long the workflows that have just started had waited since they
// were accepted.
void LeaderDriver::recordStartLatency(const control::ApplyResult &Result,
                                      const control::State &State) {
  for (const control::WorkflowChange &Each : Result.m_WorkflowChanges) {
    const workflow::Workflow *Found =
        control::findWorkflow(State, Each.m_Workflow);
    if (Found && Each.m_Started)
      m_Counters.observe("fireflydrift_start_wait_ms",
                         State.m_Tables.m_LastBatchAt -
                             Found->fields().m_AcceptedAt);
  }
}

void LeaderDriver::logWorkflows(const control::ApplyResult &Result,
                                const control::State &State) {
  for (const control::WorkflowChange &Each : Result.m_WorkflowChanges) {
    const workflow::Workflow *Found =
        control::findWorkflow(State, Each.m_Workflow);
    if (!Found)
      continue;
    Fields Details{{"id", Each.m_Workflow.text()},
                   {"queue", Found->spec().m_Policy.m_Queue}};
    if (Each.m_Accepted)
      logEvent(Event::WorkflowAccepted, Details);
    if (Each.m_From == Each.m_To)
      continue;
    Details.emplace_back("outcome", workflow::toString(Each.m_To));
    logEvent(Event::WorkflowFinished, Details);
  }
}

void LeaderDriver::logGuarantees() {
  std::set<placement::GuaranteeKey> Missing(
      m_Leader->m_Reservations.m_Unsatisfied.begin(),
      m_Leader->m_Reservations.m_Unsatisfied.end());
  if (Missing == m_MissingGuarantees)
    return;
  auto Log = [](Event Value, const placement::GuaranteeKey &Key) {
    logEvent(Value, {{"workspace", Key.m_Workspace.text()},
                     {"guarantee", Key.m_Name}});
  };
  for (const placement::GuaranteeKey &Each : Missing)
    if (!m_MissingGuarantees.contains(Each))
      Log(Event::GuaranteeMissing, Each);
  for (const placement::GuaranteeKey &Each : m_MissingGuarantees)
    if (!Missing.contains(Each))
      Log(Event::GuaranteeRestored, Each);
  m_MissingGuarantees = std::move(Missing);
  m_Counters.set("fireflydrift_missing_guarantees", m_MissingGuarantees.size());
}

} // namespace fireflydrift::runtime
