// Tests of whole nodes on loopback sockets, with plain links in place of the
// other VM.
#include "runtime/node.h"

#include <gtest/gtest.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

static const core::VmId A("a");
static const core::VmId B("b");

namespace {

constexpr std::uint16_t APort = 19881;
constexpr std::uint16_t BPort = 19882;

// Sockets of Links stay open until the process ends, so each node uses a
// loopback address of its own.
std::string uniqueHost() {
  static int Hosts = 0;
  constexpr int Octet = 256;
  int Process = getpid();
  return "127." + std::to_string(200 + ++Hosts) + "." +
         std::to_string(Process / Octet % Octet) + "." +
         std::to_string(Process % Octet);
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
    for (int I = 0; I < MaxRounds && !Done(); ++I) {
      m_Loop.resume();
      m_Loop.run([&] {
        m_Leader.maintain(m_Loop.now());
        m_Leader.sendHeartbeat(
            A, {.m_From = B, .m_Leader = B, .m_Term = 1, .m_HoldsLease = true});
        (void)m_Node.tick();
        m_Loop.stop();
        return core::Duration(1);
      });
    }
    EXPECT_TRUE(Done());
  }

  Loop &m_Loop;
  std::string m_Host;
  Links m_Leader;
  Node m_Node;
  std::vector<std::uint64_t> m_Forwarded;
  std::optional<control::Reply> m_Reply;
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
