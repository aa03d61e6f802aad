#include "standin/history_checker.h"

#include <algorithm>
#include <charconv>

namespace fireflydrift::standin {

// ---- Names -----------------------------------------------------------------

static std::optional<int> parseNumber(std::string_view Text) {
  int Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  bool Whole = Error == std::errc() && Stop == End;
  return Whole ? std::optional(Value) : std::nullopt;
}

std::optional<TaskName> parseTaskName(const std::string &Text) {
  std::string_view Rest = Text;
  auto IndexDot = Rest.rfind('.');
  if (IndexDot == std::string_view::npos)
    return std::nullopt;
  auto StepDot = Rest.rfind('.', IndexDot - 1);
  auto IdEnd = Rest.find('.');
  if (StepDot == std::string_view::npos || IdEnd >= StepDot)
    return std::nullopt;
  auto Step = parseNumber(Rest.substr(StepDot + 1, IndexDot - StepDot - 1));
  auto Index = parseNumber(Rest.substr(IndexDot + 1));
  if (!Step || !Index)
    return std::nullopt;
  return TaskName{.m_Job = std::string(Rest.substr(0, IdEnd)),
                  .m_Step = *Step,
                  .m_Index = *Index};
}

std::string toString(const TaskName &Name) {
  return Name.m_Job + ".0." + std::to_string(Name.m_Step) + "." +
         std::to_string(Name.m_Index);
}

// ---- Results ---------------------------------------------------------------

const JobDescription *HistoryChecker::find(const std::string &Id) const {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : &Found->second.m_Description;
}

Totals HistoryChecker::totals() const {
  Totals Out = m_Totals;
  for (const auto &[Id, Each] : m_Jobs) {
    Out.m_Accepted += Each.m_Accepted ? 1 : 0;
    Out.m_Refused += Each.m_Refused ? 1 : 0;
    Out.m_Completed += Each.m_Outcome == "completed" ? 1 : 0;
    Out.m_Cancelled += Each.m_Outcome == "cancelled" ? 1 : 0;
    Out.m_Failed += Each.m_Outcome == "failed" ? 1 : 0;
  }
  return Out;
}

std::vector<std::string> HistoryChecker::openJobs() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Each] : m_Jobs)
    if (Each.m_Accepted && Each.m_Outcome.empty())
      Ids.push_back(Id);
  return Ids;
}

void HistoryChecker::recordViolation(const char *Guarantee,
                                     const std::string &Detail,
                                     core::Time Now) {
  m_Violations.push_back(std::string(Guarantee) + ": " + Detail + " at " +
                         std::to_string(core::toMs(Now)));
}

// The task under which results are kept: for a gang, the first task of its
// step, because the success of one member completes the step.
TaskName HistoryChecker::resultKey(const TaskName &Name) const {
  const JobDescription *Description = find(Name.m_Job);
  bool Known = Description &&
               Name.m_Step < static_cast<int>(Description->m_Steps.size());
  if (!Known || !Description->m_Steps[Name.m_Step].m_Gang)
    return Name;
  return {.m_Job = Name.m_Job, .m_Step = Name.m_Step};
}

bool HistoryChecker::isDone(const Job &Record, int Step) const {
  const StepDescription &Description = Record.m_Description.m_Steps[Step];
  int Needed = Description.m_Gang ? 1 : Description.m_Tasks;
  for (int Index = 0; Index < Needed; ++Index) {
    auto Found = m_Tasks.find(
        {.m_Job = Record.m_Description.m_Id, .m_Step = Step, .m_Index = Index});
    if (Found == m_Tasks.end() || Found->second.m_SucceededAt.empty())
      return false;
  }
  return true;
}

// ---- Callers ---------------------------------------------------------------

void HistoryChecker::recordSubmission(JobDescription Description) {
  std::string Id = Description.m_Id;
  m_Jobs[Id].m_Description = std::move(Description);
}

void HistoryChecker::recordAcceptance(const std::string &Id) {
  m_Jobs.at(Id).m_Accepted = true;
}

void HistoryChecker::recordRefusal(const std::string &Id, core::Time Now) {
  m_Jobs.at(Id).m_Refused = true;
  for (const auto &[Name, Each] : m_Tasks)
    if (Name.m_Job == Id && !Each.m_StartedAt.empty())
      recordViolation(
          "not run", toString(Name) + " ran although its job was refused", Now);
}

void HistoryChecker::recordCancellation(const std::string &Id, core::Time Now) {
  Job &Record = m_Jobs.at(Id);
  if (!Record.m_CancelledAt)
    Record.m_CancelledAt = Now;
}

void HistoryChecker::recordState(const std::string &Id,
                                 const std::string &State, core::Time Now) {
  Job &Record = m_Jobs.at(Id);
  if (!Record.m_Outcome.empty() && Record.m_Outcome != State)
    recordViolation("whole answer",
                    Id + " changed from " + Record.m_Outcome + " to " + State,
                    Now);
  if (State == "gone" && Record.m_Accepted)
    recordViolation("lost",
                    Id + " was accepted and is now unknown to the system", Now);
  if (State == "cancelled" && !Record.m_CancelledAt)
    recordViolation("lost", Id + " was cancelled without a request", Now);
  if (State == "completed")
    for (int Step = 0;
         Step < static_cast<int>(Record.m_Description.m_Steps.size()); ++Step)
      if (!isDone(Record, Step))
        recordViolation(
            "whole answer",
            Id + " is completed without step " + std::to_string(Step), Now);
  if (State == "completed" || State == "failed" || State == "cancelled")
    Record.m_Outcome = State;
}

void HistoryChecker::recordKeyRevocation(const std::string &Key,
                                         core::Time Now) {
  m_RevokedKeys.emplace(Key, Now);
}

void HistoryChecker::recordKeyAccepted(const std::string &Key,
                                       core::Time SentAt, core::Time Now) {
  auto Found = m_RevokedKeys.find(Key);
  if (Found != m_RevokedKeys.end() &&
      SentAt >= Found->second + MaxRevocationDelay)
    recordViolation("configuration",
                    "the revoked API key " + Key + " was accepted", Now);
}

// ---- Targets ---------------------------------------------------------------

void HistoryChecker::checkStart(const TaskName &Name, int Run,
                                const std::string &Body,
                                const std::string &Checkpoint, core::Time Now) {
  std::string RunName = toString(Name) + " run " + std::to_string(Run);
  auto Found = m_Jobs.find(Name.m_Job);
  if (Found == m_Jobs.end() || Body != Found->second.m_Description.m_Body)
    return recordViolation("unasked", RunName + " was started", Now);
  const Job &Record = Found->second;
  const StepDescription &Step = Record.m_Description.m_Steps[Name.m_Step];
  if (Record.m_Refused)
    recordViolation("not run",
                    RunName + " started although its job was refused", Now);
  if (Record.m_CancelledAt && Now > *Record.m_CancelledAt + MaxCancelDelay)
    recordViolation("unasked", RunName + " started after its job was cancelled",
                    Now);
  for (int Earlier : Step.m_Dependencies)
    if (!isDone(Record, Earlier))
      recordViolation(
          "order", RunName + " started before step " + std::to_string(Earlier),
          Now);
  const Task &Recorded = m_Tasks[Name];
  if (m_Tasks[resultKey(Name)].m_SuccessAcknowledged)
    recordViolation("runs once",
                    RunName + " started after a success was acknowledged", Now);
  for (const auto &[Target, Other] : Recorded.m_Running)
    recordViolation("runs once",
                    std::string(RunName)
                        .append(" started in parallel with run ")
                        .append(std::to_string(Other))
                        .append(" on ")
                        .append(Target),
                    Now);
  auto Failures =
      static_cast<int>(m_Tasks[resultKey(Name)].m_AcknowledgedFailures.size());
  if (Failures >= Record.m_Description.m_MaxAttempts)
    recordViolation("attempts", RunName + " started after the last attempt",
                    Now);
  if (!Checkpoint.empty() &&
      !m_Tasks[resultKey(Name)].m_Checkpoints.contains(Checkpoint))
    recordViolation("saved state",
                    RunName + " got the checkpoint " + Checkpoint +
                        ", which its task never wrote",
                    Now);
}

void HistoryChecker::recordStart(const TaskName &Name, int Run,
                                 const std::string &Target,
                                 const std::string &Body,
                                 const std::string &Checkpoint,
                                 core::Time Now) {
  checkStart(Name, Run, Body, Checkpoint, Now);
  ++m_Totals.m_Starts;
  Task &Value = m_Tasks[Name];
  Value.m_Running[Target] = Run;
  Value.m_StartedAt[Run] = Now;
}

void HistoryChecker::recordCheckpoint(const TaskName &Name,
                                      const std::string &Value) {
  m_Tasks[resultKey(Name)].m_Checkpoints.insert(Value);
}

void HistoryChecker::recordEnd(const TaskName &Name, int Run,
                               const std::string &Target,
                               const std::string &Cause, core::Time Now) {
  m_Tasks[Name].m_Running.erase(Target);
  m_Totals.m_LeaseExpired += Cause == "lapsed" ? 1 : 0;
  m_Totals.m_GangIncomplete += Cause == "alone" ? 1 : 0;
  if (Cause == "done")
    m_Tasks[resultKey(Name)].m_SucceededAt.emplace(Run, Now);
}

void HistoryChecker::recordAcknowledgedEnd(const TaskName &Name, int Run,
                                           const std::string &Cause,
                                           core::Time Now) {
  Task &Value = m_Tasks[resultKey(Name)];
  if (Cause == "failed")
    Value.m_AcknowledgedFailures.insert(Run);
  if (Cause != "done")
    return;
  Value.m_SuccessAcknowledged = true;
  for (const auto &[Later, At] : m_Tasks[Name].m_StartedAt)
    if (Later > Run && Value.m_SucceededAt.contains(Run) &&
        At > Value.m_SucceededAt.at(Run))
      recordViolation("runs once",
                      toString(Name) + " run " + std::to_string(Later) +
                          " started after run " + std::to_string(Run) +
                          " was done",
                      Now);
}

void HistoryChecker::recordTargetCrash(const std::string &Target) {
  for (auto &[Name, Each] : m_Tasks)
    Each.m_Running.erase(Target);
}

// ---- Operators -------------------------------------------------------------

void HistoryChecker::recordManifestAcknowledgement(std::uint64_t Version,
                                                   core::Time Now) {
  m_Acknowledged.emplace(Version, Now);
}

void HistoryChecker::recordManifestRead(std::uint64_t Version,
                                        const std::string &Content,
                                        core::Time SentAt, core::Time Now) {
  for (const auto &[Newer, At] : m_Acknowledged)
    if (Newer > Version && SentAt >= At + MaxConfigurationDelay)
      recordViolation("configuration",
                      "version " + std::to_string(Version) +
                          " was read after " + std::to_string(Newer) +
                          " was acknowledged",
                      Now);
  auto [Known, New] = m_Contents.emplace(Version, Content);
  if (!New && Known->second != Content)
    recordViolation(
        "configuration",
        "version " + std::to_string(Version) + " changed its content", Now);
}

} // namespace fireflydrift::standin
