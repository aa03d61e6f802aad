#include "standin/books.h"

#include <algorithm>
#include <charconv>

namespace fireflydrift::standin {

// ---- Names -----------------------------------------------------------------

static std::optional<int> readNumber(std::string_view Text) {
  int Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  bool Whole = Error == std::errc() && Stop == End;
  return Whole ? std::optional(Value) : std::nullopt;
}

std::optional<TaskName> readTaskName(const std::string &Text) {
  std::string_view Rest = Text;
  auto Index = Rest.rfind('.');
  if (Index == std::string_view::npos)
    return std::nullopt;
  auto Step = Rest.rfind('.', Index - 1);
  auto Repetition = Rest.find('.');
  if (Step == std::string_view::npos || Repetition >= Step)
    return std::nullopt;
  auto StepNumber = readNumber(Rest.substr(Step + 1, Index - Step - 1));
  auto IndexNumber = readNumber(Rest.substr(Index + 1));
  if (!StepNumber || !IndexNumber)
    return std::nullopt;
  return TaskName{.m_Job = std::string(Rest.substr(0, Repetition)),
                  .m_Step = *StepNumber,
                  .m_Index = *IndexNumber};
}

std::string toString(const TaskName &Name) {
  return Name.m_Job + ".0." + std::to_string(Name.m_Step) + "." +
         std::to_string(Name.m_Index);
}

// ---- Observation -----------------------------------------------------------

const JobFacts *Books::find(const std::string &Id) const {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : &Found->second.m_Facts;
}

Totals Books::totals() const {
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

std::vector<std::string> Books::open() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Each] : m_Jobs)
    if (Each.m_Accepted && Each.m_Outcome.empty())
      Ids.push_back(Id);
  return Ids;
}

void Books::violated(const char *Promise, const std::string &What,
                     core::Time Now) {
  m_Broken.push_back(std::string(Promise) + ": " + What + " at " +
                     std::to_string(core::toMs(Now)));
}

// One member's success stands for its whole gang.
TaskName Books::representative(const TaskName &Name) const {
  const JobFacts *Facts = find(Name.m_Job);
  bool Known = Facts && Name.m_Step < static_cast<int>(Facts->m_Steps.size());
  if (!Known || !Facts->m_Steps[Name.m_Step].m_Gang)
    return Name;
  return {.m_Job = Name.m_Job, .m_Step = Name.m_Step};
}

bool Books::isDone(const Job &Of, int Step) const {
  const StepFacts &Facts = Of.m_Facts.m_Steps[Step];
  int Needed = Facts.m_Gang ? 1 : Facts.m_Tasks;
  for (int Index = 0; Index < Needed; ++Index) {
    auto Found = m_Tasks.find(
        {.m_Job = Of.m_Facts.m_Id, .m_Step = Step, .m_Index = Index});
    if (Found == m_Tasks.end() || Found->second.m_Done.empty())
      return false;
  }
  return true;
}

// ---- Callers ---------------------------------------------------------------

void Books::submitted(JobFacts Facts) {
  std::string Id = Facts.m_Id;
  m_Jobs[Id].m_Facts = std::move(Facts);
}

void Books::accepted(const std::string &Id) { m_Jobs.at(Id).m_Accepted = true; }

void Books::refused(const std::string &Id, core::Time Now) {
  m_Jobs.at(Id).m_Refused = true;
  for (const auto &[Name, Each] : m_Tasks)
    if (Name.m_Job == Id && !Each.m_StartedAt.empty())
      violated("not run", toString(Name) + " ran and was refused", Now);
}

void Books::cancelled(const std::string &Id, core::Time Now) {
  Job &Of = m_Jobs.at(Id);
  if (!Of.m_CancelledAt)
    Of.m_CancelledAt = Now;
}

void Books::shown(const std::string &Id, const std::string &State,
                  core::Time Now) {
  Job &Of = m_Jobs.at(Id);
  if (!Of.m_Outcome.empty() && Of.m_Outcome != State)
    violated("whole answer", Id + " was " + Of.m_Outcome + ", now " + State,
             Now);
  if (State == "gone" && Of.m_Accepted)
    violated("lost", Id + " was accepted and is not known", Now);
  if (State == "cancelled" && !Of.m_CancelledAt)
    violated("lost", Id + " is cancelled and nobody asked for it", Now);
  if (State == "completed")
    for (int Step = 0; Step < static_cast<int>(Of.m_Facts.m_Steps.size());
         ++Step)
      if (!isDone(Of, Step))
        violated("whole answer",
                 Id + " is completed without step " + std::to_string(Step),
                 Now);
  if (State == "completed" || State == "failed" || State == "cancelled")
    Of.m_Outcome = State;
}

void Books::keyWithdrawn(const std::string &Key, core::Time Now) {
  m_WithdrawnKeys.emplace(Key, Now);
}

void Books::keyServed(const std::string &Key, core::Time SentAt,
                      core::Time Now) {
  auto Found = m_WithdrawnKeys.find(Key);
  if (Found != m_WithdrawnKeys.end() &&
      SentAt >= Found->second + RevocationWithin)
    violated("configuration", "the withdrawn key " + Key + " was served", Now);
}

// ---- Targets ---------------------------------------------------------------

void Books::checkStart(const TaskName &Name, int Run, const std::string &Body,
                       const std::string &Saved, core::Time Now) {
  std::string What = toString(Name) + " run " + std::to_string(Run);
  auto Found = m_Jobs.find(Name.m_Job);
  if (Found == m_Jobs.end() || Body != Found->second.m_Facts.m_Body)
    return violated("unasked", What + " was started", Now);
  const Job &Of = Found->second;
  const StepFacts &Step = Of.m_Facts.m_Steps[Name.m_Step];
  if (Of.m_Refused)
    violated("not run", What + " started and its job was refused", Now);
  if (Of.m_CancelledAt && Now > *Of.m_CancelledAt + CancelWithin)
    violated("unasked", What + " started after its job was cancelled", Now);
  for (int Earlier : Step.m_After)
    if (!isDone(Of, Earlier))
      violated("order",
               What + " started before step " + std::to_string(Earlier), Now);
  const Task &Same = m_Tasks[Name];
  if (m_Tasks[representative(Name)].m_DoneNoted)
    violated("runs once", What + " started after a success was noted", Now);
  for (const auto &[Target, Other] : Same.m_Running)
    violated("runs once",
             std::string(What)
                 .append(" started beside run ")
                 .append(std::to_string(Other))
                 .append(" on ")
                 .append(Target),
             Now);
  auto Failures =
      static_cast<int>(m_Tasks[representative(Name)].m_NotedFailures.size());
  if (Failures >= Of.m_Facts.m_MaxAttempts)
    violated("attempts", What + " started after the last attempt", Now);
  if (!Saved.empty() && !m_Tasks[representative(Name)].m_Saved.contains(Saved))
    violated("saved state", What + " got " + Saved + ", which is not its own",
             Now);
}

void Books::started(const TaskName &Name, int Run, const std::string &Target,
                    const std::string &Body, const std::string &Saved,
                    core::Time Now) {
  checkStart(Name, Run, Body, Saved, Now);
  ++m_Totals.m_Starts;
  Task &Value = m_Tasks[Name];
  Value.m_Running[Target] = Run;
  Value.m_StartedAt[Run] = Now;
}

void Books::saved(const TaskName &Name, const std::string &Value) {
  m_Tasks[representative(Name)].m_Saved.insert(Value);
}

void Books::ended(const TaskName &Name, int Run, const std::string &Target,
                  const std::string &How, core::Time Now) {
  m_Tasks[Name].m_Running.erase(Target);
  m_Totals.m_Lapsed += How == "lapsed" ? 1 : 0;
  m_Totals.m_Alone += How == "alone" ? 1 : 0;
  if (How == "done")
    m_Tasks[representative(Name)].m_Done.emplace(Run, Now);
}

void Books::noted(const TaskName &Name, int Run, const std::string &How,
                  core::Time Now) {
  Task &Value = m_Tasks[representative(Name)];
  if (How == "failed")
    Value.m_NotedFailures.insert(Run);
  if (How != "done")
    return;
  Value.m_DoneNoted = true;
  for (const auto &[Later, At] : m_Tasks[Name].m_StartedAt)
    if (Later > Run && Value.m_Done.contains(Run) && At > Value.m_Done.at(Run))
      violated("runs once",
               toString(Name) + " run " + std::to_string(Later) +
                   " started after run " + std::to_string(Run) + " was done",
               Now);
}

void Books::gone(const std::string &Target) {
  for (auto &[Name, Each] : m_Tasks)
    Each.m_Running.erase(Target);
}

// ---- Operators -------------------------------------------------------------

void Books::manifestAcknowledged(std::uint64_t Version, core::Time Now) {
  m_Acknowledged.emplace(Version, Now);
}

void Books::manifestRead(std::uint64_t Version, const std::string &Content,
                         core::Time SentAt, core::Time Now) {
  for (const auto &[Newer, At] : m_Acknowledged)
    if (Newer > Version && SentAt >= At + ConfigurationWithin)
      violated("configuration",
               "version " + std::to_string(Version) + " was read after " +
                   std::to_string(Newer) + " was acknowledged",
               Now);
  auto [Known, New] = m_Contents.emplace(Version, Content);
  if (!New && Known->second != Content)
    violated("configuration",
             "version " + std::to_string(Version) + " changed its content",
             Now);
}

} // namespace fireflydrift::standin
