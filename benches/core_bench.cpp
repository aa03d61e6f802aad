// Runs one benchmark of the decision code, selected by name and size, and
// prints counts and sizes in bytes. tools/bench runs it under callgrind, which
// counts the instructions inside measuredRegion() only.
#include "control/leader.h"
#include "control/operation.h"
#include "messages/codec.h"
#include "messages/json.h"

#include <functional>
#include <iostream>
#include <string>

using namespace fireflydrift;

// ---- Sizes -----------------------------------------------------------------

static constexpr int TargetsPerRack = 8;
static constexpr int WorkspaceCount = 29;
static constexpr int Repeats = 10;

namespace {

struct Size {
  int m_Targets = 970;
  int m_Tasks = 3600;
};

} // namespace

// The function whose instructions are counted. Not inlined, so that callgrind
// can select it by name.
[[gnu::noinline]] void measuredRegion(const std::function<void()> &Work) {
  Work();
}

static void print(const std::string &Name, std::int64_t Value) {
  std::cout << Name << " " << Value << "\n";
}

// ---- Test fleet ------------------------------------------------------------

static core::Time start() { return core::timeFromMs(1000000); }

static target::Announcement announcement(int Number) {
  return {.m_Id = core::TargetId("t" + std::to_string(Number)),
          .m_Host = "127.0.0.1",
          .m_Port = 9000,
          .m_Incarnation = 1,
          .m_Region = "r" + std::to_string(Number % 2),
          .m_FailureDomain = "d" + std::to_string(Number % 5),
          .m_Rack = "k" + std::to_string(Number / TargetsPerRack),
          .m_Labels = core::Labels(std::map<std::string, std::string>{
              {"site", "s" + std::to_string(Number % 3)}, {"gpu", "x"}}),
          .m_Capacity = {8, 64, 262144}};
}

static configuration::Proposal proposal() {
  configuration::Proposal Value{.m_Operation = core::OperationId("bench")};
  for (int I = 0; I < WorkspaceCount; ++I)
    Value.m_Workspaces.push_back(
        {.m_Id = core::WorkspaceId("w" + std::to_string(I)),
         .m_Quota = 256,
         .m_MayBorrow = 4096,
         .m_Guarantees = {
             {.m_Name = "rack",
              .m_Shape = {.m_Tasks = 8, .m_PerTask = {8, 0, 0}}}}});
  return Value;
}

static job::JobSpec spec(const std::string &Id, int Workspace,
                         std::uint32_t Tasks, std::int64_t Accelerators) {
  return {.m_Key = {core::WorkspaceId("w" + std::to_string(Workspace)),
                    core::RequestId(Id)},
          .m_Shape = {.m_Tasks = Tasks, .m_PerTask = {Accelerators, 4, 1024}},
          .m_RunTime = core::Duration(4 * 3600 * 1000),
          .m_Selector = *core::Selector::parse("gpu=x"),
          .m_Labels = core::Labels(
              std::map<std::string, std::string>{{"kind", "long"}}),
          .m_Body = std::string(200, 'b')};
}

// A state with the given number of targets and running tasks, in gangs of
// eight.
static control::State loadedState(const Size &Scale) {
  control::State State;
  std::vector<control::Command> Commands{
      control::ChangeConfiguration{proposal()}};
  for (int I = 0; I < Scale.m_Targets; ++I)
    Commands.push_back(control::AnnounceTarget{announcement(I)});
  int NextTarget = 0;
  for (int I = 0; I * 8 < Scale.m_Tasks; ++I) {
    job::JobSpec Job =
        spec("run" + std::to_string(I), I % WorkspaceCount, 8, 1);
    placement::Decision Decision{.m_Job = Job.m_Key};
    for (int Task = 0; Task < 8; ++Task)
      Decision.m_Targets.push_back(
          core::TargetId("t" + std::to_string(NextTarget++ % Scale.m_Targets)));
    Commands.push_back(control::AcceptJob{Job});
    Commands.push_back(control::PlaceJob{Decision});
    Commands.push_back(control::StartJob{Job.m_Key, 1});
  }
  return control::apply(std::move(State),
                        {.m_At = start(), .m_Commands = std::move(Commands)})
      .m_State;
}

static placement::View
viewOf(const control::State &State,
       const placement::GuaranteeReservations &Reservations) {
  return {.m_Fleet = &State.m_Indexes.m_Fleet,
          .m_Configuration = &State.m_Tables.m_Configuration,
          .m_Reservations = &Reservations,
          .m_Estimates = &State.m_Tables.m_Estimates};
}

static placement::GuaranteeReservations
reservationsOf(const control::State &State) {
  return placement::reserveGuarantees(
      State.m_Indexes.m_Fleet, State.m_Tables.m_Configuration, {}, start());
}

// ---- Benchmarks ------------------------------------------------------------

static void decide(const Size &Scale, std::uint32_t Tasks) {
  control::State State = loadedState(Scale);
  placement::GuaranteeReservations Reservations = reservationsOf(State);
  placement::View View = viewOf(State, Reservations);
  auto Job = *job::Job::create(spec("new", 3, Tasks, 1), start());
  placement::Decision Decision;
  measuredRegion([&] {
    for (int I = 0; I < Repeats; ++I)
      Decision = placement::placeWithReservations(View, Job, start());
  });
  print("repeats", Repeats);
  print("placed", Decision.m_Verdict == placement::Verdict::Placed ? 1 : 0);
}

static void computeReservations(const Size &Scale) {
  control::State State = loadedState(Scale);
  placement::GuaranteeReservations Reservations = reservationsOf(State);
  measuredRegion([&] {
    for (int I = 0; I < Repeats; ++I)
      Reservations = placement::reserveGuarantees(
          State.m_Indexes.m_Fleet, State.m_Tables.m_Configuration, Reservations,
          start());
  });
  print("repeats", Repeats);
  print("missing",
        static_cast<std::int64_t>(Reservations.m_Unsatisfied.size()));
}

// Work of the leader in one second, 40 ticks, with an empty queue.
static void leadIdle(const Size &Scale) {
  control::State State = loadedState(Scale);
  control::Leader Leader = control::becomeLeader(State, start());
  Leader.m_Dispatcher = {};
  control::LeaderOptions Options;
  constexpr int Entries = 7;
  for (int I = 0; I < Scale.m_Targets; ++I)
    Leader.m_Heartbeats.m_Entries[core::VmId("v" + std::to_string(I % Entries))]
        .m_Targets.insert(core::TargetId("t" + std::to_string(I)));
  core::Time Now = start();
  auto Second = [&] {
    for (int I = 0; I < 40; ++I) {
      Now += core::Duration(25);
      for (auto &[Vm, Heartbeat] : Leader.m_Heartbeats.m_Entries)
        Heartbeat.m_LastSummaryAt = Now;
      Leader =
          control::tick(std::move(Leader), State, Options, true, Now).m_Leader;
    }
  };
  Second();
  measuredRegion([&] {
    for (int I = 0; I < Repeats; ++I)
      Second();
  });
  print("repeats", Repeats);
}

// One job from acceptance to answer, without the network.
static void jobLifecycle(const Size &Scale) {
  control::State State = loadedState(Scale);
  placement::GuaranteeReservations Reservations = reservationsOf(State);
  std::int64_t Bytes = 0;
  measuredRegion([&] {
    for (int I = 0; I < Repeats; ++I) {
      job::JobSpec Job = spec("life" + std::to_string(I), 3, 1, 1);
      auto Commit = [&](control::Command Value) {
        std::string Encoded = messages::encode(
            control::Batch{.m_At = start(), .m_Commands = {std::move(Value)}});
        Bytes += static_cast<std::int64_t>(Encoded.size());
        State =
            control::apply(std::move(State), *messages::decodeBatch(Encoded))
                .m_State;
      };
      Commit(control::AcceptJob{Job});
      placement::View View = viewOf(State, Reservations);
      Commit(control::PlaceJob{placement::placeWithReservations(
          View, *control::findJob(State, Job.m_Key), start())});
      Commit(control::StartJob{Job.m_Key, 1});
      Commit(control::FinishTask{.m_Job = Job.m_Key,
                                 .m_Attempt = 1,
                                 .m_Answer = std::string(200, 'a')});
    }
  });
  print("repeats", Repeats);
  print("log_bytes_per_job", Bytes / Repeats);
}

static void snapshot(const Size &Scale) {
  control::State State = loadedState(Scale);
  std::string Encoded;
  measuredRegion([&] {
    Encoded = messages::encode(State.m_Tables);
    State = control::restore(*messages::decodeTables(Encoded));
  });
  print("repeats", 1);
  print("state_bytes", static_cast<std::int64_t>(Encoded.size()));
}

// Snapshot bytes for each additional target, job, answer and workspace.
static void stateBytes() {
  auto SizeOf = [](const control::State &State) {
    return static_cast<std::int64_t>(messages::encode(State.m_Tables).size());
  };
  control::State State = loadedState({.m_Targets = 8, .m_Tasks = 0});
  std::int64_t Before = SizeOf(State);
  auto Add = [&](const std::string &Name,
                 std::vector<control::Command> Values) {
    State = control::apply(std::move(State),
                           {.m_At = start(), .m_Commands = std::move(Values)})
                .m_State;
    print(Name, SizeOf(State) - Before);
    Before = SizeOf(State);
  };
  Add("target_bytes", {control::AnnounceTarget{announcement(8)}});
  job::JobSpec Job = spec("job", 3, 8, 1);
  Add("queued_job_bytes", {control::AcceptJob{Job}});
  placement::Decision Decision{.m_Job = Job.m_Key, .m_Considered = 970};
  for (int Task = 0; Task < 8; ++Task)
    Decision.m_Targets.push_back(core::TargetId("t" + std::to_string(Task)));
  Add("placed_gang_of_8_more_bytes", {control::PlaceJob{Decision}});
  std::vector<control::Command> Finish{control::StartJob{Job.m_Key, 1}};
  for (std::uint32_t Task = 0; Task < 8; ++Task)
    Finish.push_back(control::FinishTask{.m_Job = Job.m_Key,
                                         .m_Attempt = 1,
                                         .m_Task = Task,
                                         .m_Answer = std::string(200, 'a')});
  Add("answered_gang_of_8_more_bytes", std::move(Finish));
  configuration::Proposal Next = proposal();
  Next.m_Operation = core::OperationId("more");
  Next.m_Replaces = 1;
  Next.m_Workspaces.push_back(Next.m_Workspaces.back());
  Next.m_Workspaces.back().m_Id = core::WorkspaceId("w29");
  Add("workspace_with_its_version_bytes", {control::ChangeConfiguration{Next}});
}

static void configure(const Size &Scale) {
  control::State State = loadedState(Scale);
  placement::GuaranteeReservations Reservations = reservationsOf(State);
  std::int64_t Bytes = 0;
  measuredRegion([&] {
    for (int I = 0; I < Repeats; ++I) {
      configuration::Proposal Next = proposal();
      Next.m_Operation = core::OperationId("op" + std::to_string(I));
      Next.m_Replaces = State.m_Tables.m_Configuration.version();
      control::HandleResult Result = control::handle(
          State, control::Configure{Next}, Reservations, start());
      control::Batch Batch{.m_At = start(), .m_Commands = Result.m_Commands};
      std::string Encoded = messages::encode(Batch);
      Bytes += static_cast<std::int64_t>(Encoded.size());
      State = control::apply(std::move(State), *messages::decodeBatch(Encoded))
                  .m_State;
    }
  });
  print("repeats", Repeats);
  print("log_bytes_per_change", Bytes / Repeats);
}

// Work of an entry VM for one heartbeat of a target, without HTTP.
static void recordHeartbeats(const Size &Scale) {
  routing::EntryHeartbeats Heartbeats;
  routing::HeartbeatOptions Options;
  core::Time Now = start();
  constexpr int HeartbeatCount = 1000;
  std::int64_t Bytes = 0;
  measuredRegion([&] {
    for (int I = 0; I < HeartbeatCount; ++I) {
      auto Decoded =
          messages::decodeReport(messages::encodeReport({.m_Incarnation = 1}));
      Heartbeats = routing::recordHeartbeat(
          std::move(Heartbeats),
          core::TargetId("t" + std::to_string(I % Scale.m_Targets)), Now);
      Bytes += static_cast<std::int64_t>(
          messages::encodeReportReply({.m_Known = bool(Decoded)}).size());
    }
  });
  routing::SummaryStep First =
      routing::summarise(std::move(Heartbeats), Options, true, Now);
  auto SizeOf = [](const routing::HeartbeatSummary &Value) {
    return static_cast<std::int64_t>(
        messages::encode(messages::Envelope{core::VmId("a"),
                                            messages::ReportHeartbeats{Value}})
            .size());
  };
  print("repeats", HeartbeatCount);
  print("full_summary_bytes", SizeOf(First.m_Summary));
  routing::SummaryStep Quiet =
      routing::summarise(std::move(First.m_Heartbeats), Options, false, Now);
  print("quiet_summary_bytes", SizeOf(Quiet.m_Summary));
}

// Sizes of the messages that are exchanged when idle.
static void idleBytes() {
  auto SizeOf = [](messages::Body Value) {
    return static_cast<std::int64_t>(
        messages::encode(messages::Envelope{core::VmId("a"), std::move(Value)})
            .size());
  };
  print("heartbeat_bytes", SizeOf(messages::ReplicaMessage{replica::Append{}}));
  print("heartbeat_reply_bytes",
        SizeOf(messages::ReplicaMessage{replica::AppendReply{}}));
  print("beat_bytes",
        static_cast<std::int64_t>(
            messages::encode(membership::Heartbeat{.m_From = core::VmId("a"),
                                                   .m_Leader = core::VmId("b")})
                .size()));
}

// Journal bytes for each of one hundred small commands, in batches of the given
// size. main() takes the size from the TASKS argument.
static void batching(int BatchSize) {
  std::int64_t Bytes = 0;
  constexpr int Commands = 100;
  measuredRegion([&] {
    for (int I = 0; I < Commands; I += BatchSize) {
      control::Batch Batch{.m_At = start()};
      for (int Each = 0; Each < BatchSize; ++Each)
        Batch.m_Commands.push_back(
            control::AcceptJob{spec("b" + std::to_string(I + Each), 1, 1, 1)});
      messages::JournalRecord Record{
          replica::Entry{.m_Commands = messages::encode(Batch)}};
      Bytes += static_cast<std::int64_t>(messages::encode(Record).size());
    }
  });
  print("repeats", Commands);
  print("journal_bytes_per_command", Bytes / Commands);
}

int main(int Count, char **Arguments) {
  if (Count != 4) {
    std::cerr << "usage: bench_core NAME TARGETS TASKS\n";
    return 2;
  }
  std::string Name = Arguments[1];
  Size Scale{.m_Targets = std::stoi(Arguments[2]),
             .m_Tasks = std::stoi(Arguments[3])};
  const std::map<std::string, std::function<void()>> All{
      {"decide-gang64", [&] { decide(Scale, core::MaxGangTasks); }},
      {"decide-single", [&] { decide(Scale, 1); }},
      {"witnesses", [&] { computeReservations(Scale); }},
      {"lead-idle", [&] { leadIdle(Scale); }},
      {"job-life", [&] { jobLifecycle(Scale); }},
      {"snapshot", [&] { snapshot(Scale); }},
      {"configure", [&] { configure(Scale); }},
      {"beat", [&] { recordHeartbeats(Scale); }},
      {"idle-bytes", [&] { idleBytes(); }},
      {"state-bytes", [&] { stateBytes(); }},
      {"batching", [&] { batching(Scale.m_Tasks); }}};
  auto Found = All.find(Name);
  if (Found == All.end()) {
    std::cerr << "unknown benchmark " << Name << "\n";
    return 2;
  }
  Found->second();
  return 0;
}
