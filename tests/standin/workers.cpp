#include "standin/workers.h"

#include <algorithm>

namespace fireflydrift::standin {

using runtime::HttpClientResponse;
using Json = nlohmann::json;

// An answer that takes longer is dropped.
static constexpr core::Duration AnswerWithin{1000};
static constexpr core::Duration RetryAfter{100};
// A report follows an end by so much.
static constexpr core::Duration ReportAfterEnd{50};

Workers::Workers(runtime::Loop &On, Books &Into, WorkerOptions Options,
                 OnLeader Leader)
    : m_Loop(On), m_Books(Into), m_Options(std::move(Options)),
      m_OnLeader(std::move(Leader)), m_Client(On) {
  for (int I = 0; I < m_Options.m_Count; ++I)
    m_Workers.push_back({.m_Id = "i-" + std::to_string(I),
                         .m_Control = static_cast<std::size_t>(I)});
}

// ---- Work ------------------------------------------------------------------

const StepFacts &Workers::stepOf(const TaskName &Name) const {
  return m_Books.find(Name.m_Job)->m_Steps[Name.m_Step];
}

core::Duration Workers::doneBy(const Run &Value, core::Time Now) const {
  core::Duration Here =
      Value.m_BegunAt ? Now - *Value.m_BegunAt : core::Duration(0);
  return Value.m_DoneBefore + Here;
}

static std::string writeSaved(const TaskName &Name, bool Gang,
                              core::Duration Done) {
  constexpr std::size_t Width = 8;
  std::string Digits = std::to_string(Done.count());
  return Name.m_Job + "." + std::to_string(Name.m_Step) + "." +
         (Gang ? "g" : std::to_string(Name.m_Index)) + ":" +
         std::string(Width - Digits.size(), '0') + Digits;
}

static core::Duration readSaved(const std::string &Text) {
  auto Colon = Text.find(':');
  return Colon == std::string::npos
             ? core::Duration(0)
             : core::Duration(std::stoll(Text.substr(Colon + 1)));
}

void Workers::list(Worker &Of, const TaskName &Name, int Number,
                   const char *How, const std::string &Saved) {
  std::string Text = toString(Name);
  Of.m_Barred[Text] = std::max(Of.m_Barred[Text], Number);
  Of.m_Ended.push_back({++Of.m_Ends, Text, Number, How, Saved});
  if (!Of.m_InFlight)
    Of.m_NextAt = std::min(Of.m_NextAt, m_Loop.now() + ReportAfterEnd);
}

void Workers::end(Worker &Of, const std::string &Name, const char *How,
                  core::Time Now) {
  Run Value = Of.m_Runs.at(Name);
  Of.m_Runs.erase(Name);
  m_Books.ended(Value.m_Name, Value.m_Number, Of.m_Id, How, Now);
  list(Of, Value.m_Name, Value.m_Number, How, Value.m_Saved);
  bool Whole = std::string(How) == "done";
  if (stepOf(Value.m_Name).m_Gang)
    breakGang(Value, Whole ? "done" : "broken", Now);
}

// The other members of a gang end together with one of them.
void Workers::breakGang(const Run &Lost, const char *How, core::Time Now) {
  for (Worker &Each : m_Workers) {
    std::erase_if(Each.m_Runs, [&](const auto &Entry) {
      const Run &Member = Entry.second;
      bool Same = Member.m_Name.m_Job == Lost.m_Name.m_Job &&
                  Member.m_Name.m_Step == Lost.m_Name.m_Step &&
                  Member.m_Number == Lost.m_Number && Member.m_BegunAt;
      if (!Same)
        return false;
      m_Books.ended(Member.m_Name, Member.m_Number, Each.m_Id, How, Now);
      list(Each, Member.m_Name, Member.m_Number, How, Member.m_Saved);
      return true;
    });
  }
}

// Gangs work from the moment at which all members of one run are present.
void Workers::beginGangs(core::Time Now) {
  using Key = std::tuple<std::string, int, int>;
  std::map<Key, std::vector<Run *>> Gangs;
  for (Worker &Each : m_Workers)
    for (auto &[Name, Value] : Each.m_Runs)
      if (stepOf(Value.m_Name).m_Gang && !Value.m_BegunAt)
        Gangs[{Value.m_Name.m_Job, Value.m_Name.m_Step, Value.m_Number}]
            .push_back(&Value);
  for (auto &[Of, Members] : Gangs) {
    const StepFacts &Step = stepOf(Members.front()->m_Name);
    if (static_cast<int>(Members.size()) != Step.m_Tasks)
      continue;
    for (Run *Each : Members)
      Each->m_BegunAt = Now;
  }
}

void Workers::progress(Worker &Of, core::Time Now) {
  if (Now >= Of.m_LeaseUntil)
    Of.m_LapsedThrough = Of.m_Ends;
  std::vector<std::pair<std::string, const char *>> Ends;
  for (auto &[Name, Value] : Of.m_Runs) {
    const StepFacts &Step = stepOf(Value.m_Name);
    core::Duration Done = doneBy(Value, Now);
    if (Step.m_Saves && Value.m_BegunAt) {
      auto Kept = Done / m_Options.m_SavesEvery * m_Options.m_SavesEvery;
      if (Kept > readSaved(Value.m_Saved)) {
        Value.m_Saved = writeSaved(Value.m_Name, Step.m_Gang, Kept);
        m_Books.saved(Value.m_Name, Value.m_Saved);
      }
    }
    if (Now >= Of.m_LeaseUntil)
      Ends.emplace_back(Name, "lapsed");
    else if (!Value.m_BegunAt &&
             Now - Value.m_ArrivedAt >= m_Options.m_GangWithin)
      Ends.emplace_back(Name, "alone");
    else if (Value.m_BegunAt && Now < Of.m_FailsUntil)
      Ends.emplace_back(Name, "failed");
    else if (Value.m_BegunAt && Done >= Step.m_Work)
      Ends.emplace_back(Name, "done");
  }
  for (const auto &[Name, How] : Ends)
    if (Of.m_Runs.contains(Name))
      end(Of, Name, How, Now);
}

// ---- Reports ---------------------------------------------------------------

void Workers::turn(core::Time Now) {
  m_Client.expire(Now);
  beginGangs(Now);
  for (Worker &Each : m_Workers)
    progress(Each, Now);
  for (Worker &Each : m_Workers)
    if (!Each.m_InFlight && Now >= Each.m_NextAt && Now >= Each.m_CutUntil)
      report(Each, Now);
}

void Workers::report(Worker &Of, core::Time Now) {
  Of.m_InFlight = true;
  constexpr int Half = 50;
  Json Running = Json::array();
  for (const auto &[Name, Value] : Of.m_Runs)
    Running.push_back({Name, Value.m_Number, Value.m_Saved, Half});
  Json Body{{"service", "pool"},
            {"address", Of.m_Id + ":80"},
            {"zone", "z"},
            {"state", "ready"},
            {"born", Of.m_Born},
            {"sequence", ++Of.m_Sequence},
            {"labels", {"a", "r1"}},
            {"capacity",
             {{"cpu", 8000},
              {"memoryLimitMb", 8000},
              {"gpu", m_Options.m_Accelerators}}},
            {"running", Running},
            {"ended", Of.m_Ended}};
  const ControlAddress &To =
      m_Options.m_Controls[Of.m_Control % m_Options.m_Controls.size()];
  m_Client.send({.m_Method = "PUT",
                 .m_Host = To.m_Host,
                 .m_Port = To.m_Port,
                 .m_Path = "/-/instances/" + Of.m_Id,
                 .m_Body = Body.dump(),
                 .m_Timeout = AnswerWithin},
                [this, &Of, SentAt = Now, Born = Of.m_Born](
                    const std::optional<HttpClientResponse> &Answer) {
                  // An answer to an earlier life reaches nobody.
                  if (Of.m_Born != Born)
                    return;
                  Of.m_InFlight = false;
                  core::Time Then = m_Loop.now();
                  bool Counts = Answer && Answer->m_Status == 200 &&
                                Then - SentAt <= AnswerWithin &&
                                Then >= Of.m_CutUntil;
                  if (Counts)
                    return take(Of, *Answer, SentAt);
                  ++Of.m_Control;
                  Of.m_NextAt = Then + RetryAfter;
                });
}

void Workers::take(Worker &Of, const HttpClientResponse &Answer,
                   core::Time SentAt) {
  core::Time Now = m_Loop.now();
  Json Orders = Json::parse(Answer.m_Body);
  std::string Address = Orders.value("heartbeatAddress", "");
  std::string Host = Address.substr(0, Address.find(':'));
  for (std::size_t I = 0; I < m_Options.m_Controls.size(); ++I)
    if (m_Options.m_Controls[I].m_NamesItself == Host)
      Of.m_Control = I;
  if (!Host.empty() && Host != m_Leader) {
    m_Leader = Host;
    m_OnLeader(Host);
  }
  Of.m_NextAt = Now + core::Duration(Orders.value(
                          "retryAfterMs", m_Options.m_ReportEvery.count()));
  acknowledge(Of, Orders.value("ackedThrough", std::uint64_t{0}), Now);
  auto Fence = Orders.value("fencingToken", std::uint64_t{0});
  if (Fence < Of.m_Fence || !Orders.contains("holdMs"))
    return;
  Of.m_Fence = Fence;
  core::Time Until = SentAt + core::Duration(Orders["holdMs"].get<int>());
  Of.m_LeaseUntil = std::max(Of.m_LeaseUntil, Until);
  for (const Json &Each : Orders.value("stop", Json::array())) {
    auto Name = Each[0].get<std::string>();
    auto Found = Of.m_Runs.find(Name);
    if (Found != Of.m_Runs.end() &&
        Found->second.m_Number <= Each[1].get<int>())
      end(Of, Name, "stopped", Now);
    else
      Of.m_Barred[Name] = std::max(Of.m_Barred[Name], Each[1].get<int>());
  }
  for (const Json &Each : Orders.value("start", Json::array()))
    start(Of, Each, Now);
}

void Workers::acknowledge(Worker &Of, std::uint64_t Through, core::Time Now) {
  Json Left = Json::array();
  for (const Json &Each : Of.m_Ended) {
    auto Number = Each[0].get<std::uint64_t>();
    if (Number > Through) {
      Left.push_back(Each);
      continue;
    }
    auto Name = readTaskName(Each[1].get<std::string>());
    if (Name && Number > Of.m_LapsedThrough)
      m_Books.noted(*Name, Each[2].get<int>(), Each[3].get<std::string>(), Now);
  }
  Of.m_Ended = std::move(Left);
}

// [subtask, run, spec, saved]
void Workers::start(Worker &Of, const Json &Order, core::Time Now) {
  auto Text = Order[0].get<std::string>();
  int Number = Order[1].get<int>();
  auto Name = readTaskName(Text);
  if (!Name || Of.m_Runs.contains(Text))
    return;
  if (Of.m_Barred.contains(Text) && Number <= Of.m_Barred[Text])
    return list(Of, *Name, Number, "refused", "");
  if (static_cast<int>(Of.m_Runs.size()) >= m_Options.m_Accelerators)
    return list(Of, *Name, Number, "refused", "");
  auto Saved = Order[3].get<std::string>();
  m_Books.started(*Name, Number, Of.m_Id, Order[2].get<std::string>(), Saved,
                  Now);
  if (!m_Books.find(Name->m_Job))
    return;
  Run Value{.m_Name = *Name,
            .m_Number = Number,
            .m_ArrivedAt = Now,
            .m_DoneBefore = readSaved(Saved),
            .m_Saved = Saved};
  if (!stepOf(*Name).m_Gang)
    Value.m_BegunAt = Now;
  Of.m_Runs.emplace(Text, std::move(Value));
}

// ---- Faults ----------------------------------------------------------------

void Workers::crash(int Which, core::Time Now) {
  Worker &Of = m_Workers[static_cast<std::size_t>(Which)];
  std::map<std::string, Run> Lost = std::exchange(Of.m_Runs, {});
  m_Books.gone(Of.m_Id);
  for (const auto &[Name, Value] : Lost)
    if (stepOf(Value.m_Name).m_Gang)
      breakGang(Value, "broken", Now);
  Of = {.m_Id = Of.m_Id,
        .m_Control = Of.m_Control,
        .m_Born = Of.m_Born + 1,
        .m_NextAt = Now + m_Options.m_ReportEvery};
}

void Workers::cutUntil(int Which, core::Time Until) {
  m_Workers[static_cast<std::size_t>(Which)].m_CutUntil = Until;
}

void Workers::failUntil(int Which, core::Time Until) {
  m_Workers[static_cast<std::size_t>(Which)].m_FailsUntil = Until;
}

} // namespace fireflydrift::standin
