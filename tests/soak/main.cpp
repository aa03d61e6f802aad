// Plays one seed of the fault soak: real server processes under faults from
// outside, and checks what callers, targets and operators saw. Prints one line,
// and what was broken. Exit 0 only if no promise was.
#include "soak/system.h"
#include "standin/manifest_operator.h"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace fireflydrift;
using namespace fireflydrift::soak;

namespace {

constexpr const char *LastingKey = "key-lasting";
// Everything must be answered so long after the last fault.
constexpr core::Duration CalmWithin{90000};
constexpr core::Duration StopWithin{30000};
constexpr core::Duration BeginWithin{30000};

class Soak {
public:
  Soak(runtime::Loop &On, const SystemOptions &Options)
      : m_Loop(On), m_System(On, Options, m_Books),
        m_Workers(On, m_Books,
                  {.m_Controls = m_System.controls(), .m_Count = TargetCount},
                  [](const std::string &) {}),
        m_Operator(On, m_Books,
                   {.m_Controls = m_System.controls(),
                    .m_QueueHost = m_System.entries().front().m_Host,
                    .m_LastingKey = LastingKey}),
        m_Callers(On, m_Books,
                  {.m_Entries = m_System.entries(),
                   .m_Jobs = 90,
                   .m_Seed = Options.m_Seed,
                   .m_Key = LastingKey}),
        m_PlanOptions{.m_Seed = Options.m_Seed,
                      .m_Vms = m_System.vms(),
                      .m_Targets = TargetCount},
        m_Plan(makePlan(m_PlanOptions)) {}

  // Returns how long the loop may wait; stops it at the end.
  core::Duration turn() {
    core::Time Now = m_Loop.now();
    bool Waits = m_System.turn(Now);
    m_Workers.turn(Now);
    m_Operator.turn(Now);
    switch (m_Stage) {
    case Stage::Begins:
      begin(Now);
      break;
    case Stage::Plays:
      m_Callers.turn(Now);
      play(Now);
      break;
    case Stage::Calms:
      m_Callers.turn(Now);
      calm(Now);
      break;
    case Stage::Stops:
      if (m_System.isStopped() || Now >= m_StageAt + StopWithin)
        finish(Now);
      break;
    }
    constexpr core::Duration Soon{2};
    constexpr core::Duration Idle{10};
    return Waits ? Soon : Idle;
  }

  void begin() {
    m_StageAt = m_Loop.now();
    m_System.start();
    m_Operator.change(m_StageAt);
  }

  [[nodiscard]] bool print() const {
    standin::Totals Sum = m_Books.totals();
    std::cout << "soak: seed " << m_PlanOptions.m_Seed << ": " << Sum.m_Accepted
              << " accepted, " << Sum.m_Completed << " completed, "
              << Sum.m_Cancelled << " cancelled, " << Sum.m_Failed
              << " failed, " << Sum.m_Refused << " refused, "
              << m_Callers.unknown() << " unknown; " << Sum.m_Starts
              << " starts, " << Sum.m_Lapsed << " lapsed, " << Sum.m_Alone
              << " alone; " << m_Books.broken().size() << " broken"
              << std::endl;
    for (const std::string &Each : m_Books.broken())
      std::cout << "broken: " << Each << std::endl;
    return m_Books.broken().empty();
  }

  // Writes when each fault came, to read beside the servers' logs.
  void writePlan(const std::string &FileName) const {
    std::ofstream Into(FileName);
    for (const Fault &Each : m_Plan)
      Into << core::toMs(m_PlaysAt + Each.m_At) << " " << toString(Each.m_Kind)
           << " " << Each.m_Victim << " for " << Each.m_Lasts.count()
           << " ms\n";
  }

private:
  enum class Stage : std::uint8_t { Begins, Plays, Calms, Stops };
  static constexpr int TargetCount = 6;

  void enter(Stage Next, core::Time Now) {
    m_Stage = Next;
    m_StageAt = Now;
  }

  void begin(core::Time Now) {
    if (Now >= m_StageAt + BeginWithin) {
      m_Books.violated("configuration", "the first was never acknowledged",
                       Now);
      return finish(Now);
    }
    if (!m_Operator.hasBegun())
      return;
    m_PlaysAt = Now;
    enter(Stage::Plays, Now);
  }

  void play(core::Time Now) {
    while (m_NextFault < m_Plan.size() &&
           Now >= m_StageAt + m_Plan[m_NextFault].m_At)
      apply(m_Plan[m_NextFault++], Now);
    if (Now < m_StageAt + m_PlanOptions.m_Length)
      return;
    m_System.heal(Now);
    m_Callers.stop();
    enter(Stage::Calms, Now);
  }

  void apply(const Fault &Value, core::Time Now) {
    core::Time End = Now + Value.m_Lasts;
    switch (Value.m_Kind) {
    case FaultKind::TargetCrash:
      return m_Workers.crash(Value.m_Victim, Now);
    case FaultKind::TargetCut:
      return m_Workers.cutUntil(Value.m_Victim, End);
    case FaultKind::TargetFails:
      return m_Workers.failUntil(Value.m_Victim, End);
    case FaultKind::Change:
      return m_Operator.change(Now);
    case FaultKind::Race:
      return m_Operator.race(Now);
    case FaultKind::Invalid:
      return m_Operator.sendInvalid(Now);
    case FaultKind::AddKey:
      return m_Callers.useKey(m_Operator.addKey(Now));
    case FaultKind::WithdrawKey:
      return m_Operator.withdrawKey(Now);
    default:
      return m_System.apply(Value, Now);
    }
  }

  void calm(core::Time Now) {
    bool Late = Now >= m_StageAt + CalmWithin;
    if (!Late && !(m_Callers.isDone() && m_Operator.isSettled()))
      return;
    for (const std::string &Id : m_Books.open())
      m_Books.violated("lost", Id + " was accepted and has no outcome", Now);
    if (!m_Operator.isSettled())
      m_Books.violated("configuration", "a valid one was never acknowledged",
                       Now);
    m_System.stop();
    enter(Stage::Stops, Now);
  }

  void finish(core::Time Now) {
    if (!m_System.isStopped() && m_Stage == Stage::Stops)
      m_Books.violated("shutdown", "a server did not end in time", Now);
    m_Loop.stop();
  }

  runtime::Loop &m_Loop;
  standin::Books m_Books;
  System m_System;
  standin::Workers m_Workers;
  standin::ManifestOperator m_Operator;
  standin::QueueCallers m_Callers;
  PlanOptions m_PlanOptions;
  std::vector<Fault> m_Plan;
  std::size_t m_NextFault = 0;
  Stage m_Stage = Stage::Begins;
  core::Time m_StageAt;
  core::Time m_PlaysAt;
};

} // namespace

// Usage: soak PROGRAM SHIM FOLDER SEED
int main(int Count, char **Words) {
  constexpr int WordCount = 5;
  if (Count != WordCount)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  runtime::Loop On;
  Soak Self(On, {.m_Program = Words[1],
                 .m_Shim = Words[2],
                 .m_Folder = Words[3],
                 .m_Seed = std::stoull(Words[4])});
  Self.begin();
  On.run([&] { return Self.turn(); });
  Self.writePlan(std::string(Words[3]) + "/plan");
  return Self.print() ? 0 : 1;
}
