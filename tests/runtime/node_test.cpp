// Tests of whole nodes on loopback sockets, with plain links in place of the
// other VM.
#include "runtime/node.h"

#include "runtime/full_disk.h"
#include "runtime/loopback_host.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static const core::VmId A("a");
static const core::VmId B("b");

namespace {

constexpr std::uint16_t APort = 19881;
constexpr std::uint16_t BPort = 19882;

// Runs the loop, with Tick after each iteration, until Done returns true, at
// most MaxRounds times.
void runUntil(Loop &EventLoop, int MaxRounds, const std::function<bool()> &Done,
              const std::function<void()> &Tick) {
  for (int I = 0; I < MaxRounds && !Done(); ++I) {
    EventLoop.resume();
    EventLoop.run([&] {
      Tick();
      EventLoop.stop();
      return core::Duration(1);
    });
  }
  EXPECT_TRUE(Done());
}

// A process of entry VM "a", with links in place of VM "b", which leads.
class EntryBesideLeader {
public:
  explicit EntryBesideLeader(Loop &EventLoop)
      : m_Loop(EventLoop), m_Host(uniqueHost()),
        m_Leader(EventLoop, B, vms(m_Host), {}),
        m_Node(EventLoop, settings(m_Host)) {
    EXPECT_TRUE(m_Leader.listen(
        {.m_OnMessage =
             [this](const messages::Envelope &Value) {
               if (const auto *Typed =
                       std::get_if<messages::ForwardOperation>(&Value.m_Body))
                 m_Forwarded.push_back(Typed->m_Id);
             },
         .m_OnHeartbeat = [](const membership::Heartbeat &) {},
         .m_OnRefused = [](const Refusal &) {}}));
    EXPECT_TRUE(m_Node.start());
  }

  // Submits a read of the configuration and returns its id once the leader has
  // received it.
  std::uint64_t submitRead() {
    m_Node.entry().submit(
        control::ReadConfiguration{}, core::WorkspaceId(),
        [this](control::Reply Value) { m_Reply = std::move(Value); },
        m_Node.now());
    runUntil([this] { return !m_Forwarded.empty(); });
    return m_Forwarded.empty() ? 0 : m_Forwarded.front();
  }
  void replyFromLeader(std::uint64_t Id, control::Reply Value) {
    m_Leader.send(
        A, messages::OperationReply{.m_Id = Id, .m_Reply = std::move(Value)});
  }
  // Returns what the caller was told.
  std::optional<control::Reply> awaitReply() {
    runUntil([this] { return m_Reply.has_value(); });
    return m_Reply;
  }

private:
  static std::vector<membership::VmAddress> vms(const std::string &Host) {
    return {{.m_Id = A, .m_Host = Host, .m_Port = APort},
            {.m_Id = B, .m_Host = Host, .m_Port = BPort, .m_Replica = true}};
  }
  static Settings settings(const std::string &Host) {
    auto Values = parseSettings(
        "[vm]\nid = a\n[http]\nhost = 127.0.0.1\nport = 1\n[vms]\na = " + Host +
            ":" + std::to_string(APort) + " r d entry\nb = " + Host + ":" +
            std::to_string(BPort) + " r e replica\n",
        "test");
    EXPECT_TRUE(Values) << core::toString(Values.reason());
    return *Values;
  }
  void runUntil(const std::function<bool()> &Done) {
    constexpr int MaxRounds = 20000;
    ::runUntil(m_Loop, MaxRounds, Done, [this] {
      m_Leader.maintain(m_Loop.now());
      m_Leader.sendHeartbeat(
          A, {.m_From = B, .m_Leader = B, .m_Term = 1, .m_HoldsLease = true});
      (void)m_Node.tick();
    });
  }

  Loop &m_Loop;
  std::string m_Host;
  Links m_Leader;
  Node m_Node;
  std::vector<std::uint64_t> m_Forwarded;
  std::optional<control::Reply> m_Reply;
};

// Replica VM "a", the only one of its set, with links in place of entry VM "b".
class ReplicaBesideEntry {
public:
  ReplicaBesideEntry()
      : m_Folder(std::filesystem::temp_directory_path() /
                 ("fd-node-" + std::to_string(getpid()))),
        m_Host(uniqueHost()), m_Entry(m_Loop, B, vms(m_Host), {}),
        m_Node(m_Loop, settings(m_Host, m_Folder.string())) {
    EXPECT_TRUE(
        m_Entry.listen({.m_OnMessage = [](const messages::Envelope &) {},
                        .m_OnHeartbeat =
                            [this](const membership::Heartbeat &Value) {
                              m_NamedLeader = Value.m_Leader;
                            },
                        .m_OnRefused = [](const Refusal &) {}}));
    EXPECT_TRUE(m_Node.start());
  }
  ~ReplicaBesideEntry() { std::filesystem::remove_all(m_Folder); }

  [[nodiscard]] Node &node() { return m_Node; }
  // Runs until the replica's heartbeats name this leader.
  void awaitNamedLeader(const core::VmId &Leader) {
    runUntil([&] { return m_NamedLeader == Leader; });
  }
  void runUntil(const std::function<bool()> &Done) {
    constexpr int MaxRounds = 5000;
    ::runUntil(m_Loop, MaxRounds, Done, [this] {
      m_Entry.maintain(m_Loop.now());
      (void)m_Node.tick();
      usleep(1000);
    });
  }

private:
  static std::vector<membership::VmAddress> vms(const std::string &Host) {
    return {{.m_Id = A, .m_Host = Host, .m_Port = APort, .m_Replica = true},
            {.m_Id = B, .m_Host = Host, .m_Port = BPort}};
  }
  static Settings settings(const std::string &Host, const std::string &Folder) {
    std::filesystem::remove_all(Folder);
    auto Values = parseSettings(
        "[vm]\nid = a\n[http]\nhost = 127.0.0.1\nport = 1\n[replica]\n"
        "data_folder = " +
            Folder + "\n[vms]\na = " + Host + ":" + std::to_string(APort) +
            " r d replica\nb = " + Host + ":" + std::to_string(BPort) +
            " r e entry\n",
        "test");
    EXPECT_TRUE(Values) << core::toString(Values.reason());
    return *Values;
  }

  Loop m_Loop;
  std::filesystem::path m_Folder;
  std::string m_Host;
  Links m_Entry;
  Node m_Node;
  std::optional<core::VmId> m_NamedLeader;
};

} // namespace

// Guards against jobs that are acknowledged and never stored: the reply to a
// call of a process that was killed ended a call of its successor, because both
// numbered their calls from 1 and the leader addresses the VM.
TEST(Node, ReplyToACallOfAnEarlierProcessAnswersNoCallOfItsSuccessor) {
  Loop EventLoop;
  EntryBesideLeader Earlier(EventLoop);
  std::uint64_t EarlierId = Earlier.submitRead();
  EntryBesideLeader Successor(EventLoop);
  std::uint64_t Id = Successor.submitRead();
  Successor.replyFromLeader(EarlierId, control::Acknowledged{});
  control::Reply Expected = control::QueueView{.m_Pending = 7};
  Successor.replyFromLeader(Id, Expected);
  EXPECT_EQ(Successor.awaitReply(), Expected);
}

// Guards against calls that wait for a leader that can't lead: a replica whose
// disk had failed went on naming its last leader, such as itself.
TEST(Node, ReplicaNamesNoLeaderWhileItsDiskIsFull) {
  ReplicaBesideEntry Vms;
  Vms.awaitNamedLeader(A);
  std::optional<control::Reply> Reply;
  {
    FullDisk Full(0);
    Vms.node().entry().submit(
        control::PutConfiguration{{.m_Version = 1}}, core::WorkspaceId(),
        [&](control::Reply Value) { Reply = std::move(Value); },
        Vms.node().now());
    Vms.awaitNamedLeader(core::VmId());
    EXPECT_FALSE(Vms.node().isHealthy());
    EXPECT_FALSE(Reply);
  }
  Vms.awaitNamedLeader(A);
  EXPECT_TRUE(Vms.node().isHealthy());
  Vms.runUntil([&] { return Reply.has_value(); });
  ASSERT_TRUE(Reply);
  EXPECT_FALSE(std::holds_alternative<control::Failure>(*Reply));
}
