#include "standin/workers.h"

#include <algorithm>

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

// An answer that takes longer is ignored.
static constexpr core::Duration ResponseTimeout{1000};
static constexpr core::Duration RetryDelay{100};
// Longest delay of the next report after a run has ended, unless a report is in
// flight.
static constexpr core::Duration ReportDelayAfterEnd{50};

std::string workerId(int Index) { return "i-" + std::to_string(Index); }

std::string workerAddress(int Index) {
  return "10.9.0." + std::to_string(Index + 1) + ":80";
}

Workers::Workers(runtime::Loop &EventLoop, HistoryChecker &Checker,
                 WorkerOptions Options, OnLeaderChange OnChange)
    : m_Loop(EventLoop), m_Checker(Checker), m_Options(std::move(Options)),
      m_OnLeaderChange(std::move(OnChange)), m_Client(EventLoop) {
  for (int I = 0; I < m_Options.m_Count; ++I)
    m_Workers.push_back({.m_Id = workerId(I),
                         .m_Address = workerAddress(I),
                         .m_Control = static_cast<std::size_t>(I)});
}

// ---- Runs ------------------------------------------------------------------

const StepDescription &Workers::stepOf(const TaskName &Name) const {
  return m_Checker.find(Name.m_Job)->m_Steps[Name.m_Step];
}

core::Duration Workers::progressAt(const Run &Value, core::Time Now) const {
  core::Duration SinceStart =
      Value.m_StartedAt ? Now - *Value.m_StartedAt : core::Duration(0);
  return Value.m_ResumedProgress + SinceStart;
}

static std::string encodeCheckpoint(const TaskName &Name, bool Gang,
                                    core::Duration Done) {
  constexpr std::size_t Width = 8;
  std::string Digits = std::to_string(Done.count());
  return Name.m_Job + "." + std::to_string(Name.m_Step) + "." +
         (Gang ? "g" : std::to_string(Name.m_Index)) + ":" +
         std::string(Width - Digits.size(), '0') + Digits;
}

static core::Duration decodeCheckpoint(const std::string &Text) {
  auto Colon = Text.find(':');
  return Colon == std::string::npos
             ? core::Duration(0)
             : core::Duration(std::stoll(Text.substr(Colon + 1)));
}

void Workers::addEndToReport(Worker &Target, const TaskName &Name, int Number,
                             const char *Cause, const std::string &Checkpoint) {
  std::string Text = toString(Name);
  Target.m_LastClosedRun[Text] = std::max(Target.m_LastClosedRun[Text], Number);
  Target.m_Ended.push_back(
      {++Target.m_LastEndNumber, Text, Number, Cause, Checkpoint});
  if (!Target.m_InFlight)
    Target.m_NextAt =
        std::min(Target.m_NextAt, m_Loop.now() + ReportDelayAfterEnd);
}

void Workers::end(Worker &Target, const std::string &Name, const char *Cause,
                  core::Time Now) {
  Run Value = Target.m_Runs.at(Name);
  Target.m_Runs.erase(Name);
  m_Checker.recordEnd(Value.m_Name, Value.m_Number, Target.m_Id, Cause, Now);
  addEndToReport(Target, Value.m_Name, Value.m_Number, Cause,
                 Value.m_Checkpoint);
  bool Succeeded = std::string(Cause) == "done";
  if (stepOf(Value.m_Name).m_Gang)
    endGangMembers(Value, Succeeded ? "done" : "broken", Now);
}

// When one member of a gang ends, the others that have started end as well.
void Workers::endGangMembers(const Run &EndedRun, const char *Cause,
                             core::Time Now) {
  for (Worker &Each : m_Workers) {
    std::erase_if(Each.m_Runs, [&](const auto &Entry) {
      const Run &Member = Entry.second;
      bool Same = Member.m_Name.m_Job == EndedRun.m_Name.m_Job &&
                  Member.m_Name.m_Step == EndedRun.m_Name.m_Step &&
                  Member.m_Number == EndedRun.m_Number && Member.m_StartedAt;
      if (!Same)
        return false;
      m_Checker.recordEnd(Member.m_Name, Member.m_Number, Each.m_Id, Cause,
                          Now);
      addEndToReport(Each, Member.m_Name, Member.m_Number, Cause,
                     Member.m_Checkpoint);
      return true;
    });
  }
}

// A gang starts work when all members of one run are present.
void Workers::startCompleteGangs(core::Time Now) {
  using Key = std::tuple<std::string, int, int>;
  std::map<Key, std::vector<Run *>> Gangs;
  for (Worker &Each : m_Workers)
    for (auto &[Name, Value] : Each.m_Runs)
      if (stepOf(Value.m_Name).m_Gang && !Value.m_StartedAt)
        Gangs[{Value.m_Name.m_Job, Value.m_Name.m_Step, Value.m_Number}]
            .push_back(&Value);
  for (auto &[GangKey, Members] : Gangs) {
    const StepDescription &Step = stepOf(Members.front()->m_Name);
    if (static_cast<int>(Members.size()) != Step.m_Tasks)
      continue;
    for (Run *Each : Members)
      Each->m_StartedAt = Now;
  }
}

void Workers::advanceRuns(Worker &Target, core::Time Now) {
  if (Now >= Target.m_LeaseUntil)
    Target.m_ExpiredThrough = Target.m_LastEndNumber;
  std::vector<std::pair<std::string, const char *>> Ends;
  for (auto &[Name, Value] : Target.m_Runs) {
    const StepDescription &Step = stepOf(Value.m_Name);
    core::Duration Done = progressAt(Value, Now);
    if (Step.m_Checkpointing && Value.m_StartedAt) {
      auto Kept = Done / m_Options.m_CheckpointInterval *
                  m_Options.m_CheckpointInterval;
      if (Kept > decodeCheckpoint(Value.m_Checkpoint)) {
        Value.m_Checkpoint = encodeCheckpoint(Value.m_Name, Step.m_Gang, Kept);
        m_Checker.recordCheckpoint(Value.m_Name, Value.m_Checkpoint);
      }
    }
    if (Now >= Target.m_LeaseUntil)
      Ends.emplace_back(Name, "lapsed");
    else if (!Value.m_StartedAt &&
             Now - Value.m_ReceivedAt >= m_Options.m_GangTimeout)
      Ends.emplace_back(Name, "alone");
    else if (Value.m_StartedAt && Now < Target.m_FailUntil)
      Ends.emplace_back(Name, "failed");
    else if (Value.m_StartedAt && Done >= Step.m_RunTime)
      Ends.emplace_back(Name, "done");
  }
  for (const auto &[Name, Cause] : Ends)
    if (Target.m_Runs.contains(Name))
      end(Target, Name, Cause, Now);
}

// ---- Reports ---------------------------------------------------------------

void Workers::tick(core::Time Now) {
  m_Client.expire(Now);
  startCompleteGangs(Now);
  for (Worker &Each : m_Workers)
    advanceRuns(Each, Now);
  for (Worker &Each : m_Workers)
    if (!Each.m_InFlight && Now >= Each.m_NextAt &&
        Now >= Each.m_PartitionedUntil)
      report(Each, Now);
}

void Workers::report(Worker &Target, core::Time Now) {
  Target.m_InFlight = true;
  constexpr int ReportedPercent = 50;
  Json Running = Json::array();
  for (const auto &[Name, Value] : Target.m_Runs)
    Running.push_back(
        {Name, Value.m_Number, Value.m_Checkpoint, ReportedPercent});
  Json Body{{"service", "pool"},
            {"address", Target.m_Address},
            {"zone", "z"},
            {"state", "ready"},
            {"born", Target.m_Incarnation},
            {"sequence", ++Target.m_Sequence},
            {"labels", {"a", "r1"}},
            {"capacity",
             {{"cpu", 8000},
              {"memoryLimitMb", 8000},
              {"gpu", m_Options.m_Accelerators}}},
            {"running", Running},
            {"ended", Target.m_Ended}};
  const ControlAddress &To =
      m_Options.m_ControlAddresses[Target.m_Control %
                                   m_Options.m_ControlAddresses.size()];
  m_Client.send(
      {.m_Method = "PUT",
       .m_Host = To.m_Host,
       .m_Port = To.m_Port,
       .m_Path = "/-/instances/" + Target.m_Id,
       .m_Body = Body.dump(),
       .m_Timeout = ResponseTimeout},
      [this, &Target, SentAt = Now, Incarnation = Target.m_Incarnation](
          const std::optional<HttpClientResponse> &Answer) {
        // Ignores an answer to a report from before a crash.
        if (Target.m_Incarnation != Incarnation)
          return;
        Target.m_InFlight = false;
        core::Time ReceivedAt = m_Loop.now();
        bool IsValid = Answer && Answer->m_Status == 200 &&
                       ReceivedAt - SentAt <= ResponseTimeout &&
                       ReceivedAt >= Target.m_PartitionedUntil;
        if (IsValid)
          return handleOrders(Target, *Answer, SentAt);
        ++Target.m_Control;
        Target.m_NextAt = ReceivedAt + RetryDelay;
      });
}

void Workers::handleOrders(Worker &Target, const HttpClientResponse &Answer,
                           core::Time SentAt) {
  core::Time Now = m_Loop.now();
  Json Orders = Json::parse(Answer.m_Body);
  std::string Address = Orders.value("heartbeatAddress", "");
  std::string Host = Address.substr(0, Address.find(':'));
  for (std::size_t I = 0; I < m_Options.m_ControlAddresses.size(); ++I)
    if (m_Options.m_ControlAddresses[I].m_AdvertisedHost == Host)
      Target.m_Control = I;
  if (!Host.empty() && Host != m_Leader) {
    m_Leader = Host;
    m_OnLeaderChange(Host);
  }
  Target.m_NextAt =
      Now + core::Duration(Orders.value("retryAfterMs",
                                        m_Options.m_ReportInterval.count()));
  acknowledge(Target, Orders.value("ackedThrough", std::uint64_t{0}), Now);
  auto FencingToken = Orders.value("fencingToken", std::uint64_t{0});
  if (FencingToken < Target.m_FencingToken || !Orders.contains("holdMs"))
    return;
  Target.m_FencingToken = FencingToken;
  core::Time Until = SentAt + core::Duration(Orders["holdMs"].get<int>());
  Target.m_LeaseUntil = std::max(Target.m_LeaseUntil, Until);
  for (const Json &Each : Orders.value("stop", Json::array())) {
    auto Name = Each[0].get<std::string>();
    auto Found = Target.m_Runs.find(Name);
    if (Found != Target.m_Runs.end() &&
        Found->second.m_Number <= Each[1].get<int>())
      end(Target, Name, "stopped", Now);
    else
      Target.m_LastClosedRun[Name] =
          std::max(Target.m_LastClosedRun[Name], Each[1].get<int>());
  }
  for (const Json &Each : Orders.value("start", Json::array()))
    start(Target, Each, Now);
}

void Workers::acknowledge(Worker &Target, std::uint64_t Through,
                          core::Time Now) {
  Json Remaining = Json::array();
  for (const Json &Each : Target.m_Ended) {
    auto Number = Each[0].get<std::uint64_t>();
    if (Number > Through) {
      Remaining.push_back(Each);
      continue;
    }
    auto Name = parseTaskName(Each[1].get<std::string>());
    if (Name && Number > Target.m_ExpiredThrough)
      m_Checker.recordAcknowledgedEnd(*Name, Each[2].get<int>(),
                                      Each[3].get<std::string>(), Now);
  }
  Target.m_Ended = std::move(Remaining);
}

// An order is the array [task, run, body, checkpoint].
void Workers::start(Worker &Target, const Json &Order, core::Time Now) {
  auto Text = Order[0].get<std::string>();
  int Number = Order[1].get<int>();
  auto Name = parseTaskName(Text);
  if (!Name || Target.m_Runs.contains(Text))
    return;
  if (Target.m_LastClosedRun.contains(Text) &&
      Number <= Target.m_LastClosedRun[Text])
    return addEndToReport(Target, *Name, Number, "refused", "");
  if (static_cast<int>(Target.m_Runs.size()) >= m_Options.m_Accelerators)
    return addEndToReport(Target, *Name, Number, "refused", "");
  auto Checkpoint = Order[3].get<std::string>();
  m_Checker.recordStart(*Name, Number, Target.m_Id, Order[2].get<std::string>(),
                        Checkpoint, Now);
  if (!m_Checker.find(Name->m_Job))
    return;
  Run Value{.m_Name = *Name,
            .m_Number = Number,
            .m_ReceivedAt = Now,
            .m_ResumedProgress = decodeCheckpoint(Checkpoint),
            .m_Checkpoint = Checkpoint};
  if (!stepOf(*Name).m_Gang)
    Value.m_StartedAt = Now;
  Target.m_Runs.emplace(Text, std::move(Value));
}

// ---- Faults ----------------------------------------------------------------

void Workers::crash(int Index, core::Time Now) {
  Worker &Target = m_Workers[static_cast<std::size_t>(Index)];
  std::map<std::string, Run> LostRuns = std::exchange(Target.m_Runs, {});
  m_Checker.recordTargetCrash(Target.m_Id);
  for (const auto &[Name, Value] : LostRuns)
    if (stepOf(Value.m_Name).m_Gang)
      endGangMembers(Value, "broken", Now);
  Target = {.m_Id = Target.m_Id,
            .m_Address = Target.m_Address,
            .m_Control = Target.m_Control,
            .m_Incarnation = Target.m_Incarnation + 1,
            .m_NextAt = Now + m_Options.m_ReportInterval};
}

void Workers::partitionUntil(int Index, core::Time Until) {
  m_Workers[static_cast<std::size_t>(Index)].m_PartitionedUntil = Until;
}

void Workers::failUntil(int Index, core::Time Until) {
  m_Workers[static_cast<std::size_t>(Index)].m_FailUntil = Until;
}

} // namespace fireflydrift::standin
