// Tests of whole nodes on loopback sockets, with plain links in place of the
// other VM.
#include "runtime/node.h"

#include "runtime/address.h"
#include "runtime/full_disk.h"
#include "runtime/h2o_api.h"
#include "runtime/loopback_host.h"

#include <cstring>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/socket.h>
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
         .m_OnRefused = [](const Refusal &) {},
         .m_OnOperationsDropped = {}}));
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

// Entry VM "a", with VM "b", which leads, played by a plain listener that
// acknowledges no frame, and by links that send its heartbeats and replies.
class EntryBesideUnacknowledgingLeader {
public:
  EntryBesideUnacknowledgingLeader()
      : m_Host(uniqueHost()), m_Listener(*openListener(m_Host, BPort)),
        m_Replies(m_Loop, B,
                  {{.m_Id = A, .m_Host = m_Host, .m_Port = APort},
                   {.m_Id = B, .m_Host = m_Host, .m_Port = ReplyPort}},
                  {}),
        m_Node(m_Loop, settings(m_Host)) {
    EXPECT_TRUE(
        m_Replies.listen({.m_OnMessage = [](const messages::Envelope &) {},
                          .m_OnHeartbeat = [](const membership::Heartbeat &) {},
                          .m_OnRefused = [](const Refusal &) {},
                          .m_OnOperationsDropped = {}}));
    EXPECT_TRUE(m_Node.start());
  }
  ~EntryBesideUnacknowledgingLeader() {
    dropConnections();
    close(m_Listener);
  }

  void submit(control::Operation Value) {
    m_Reply.reset();
    m_Node.entry().submit(
        std::move(Value), core::WorkspaceId(),
        [this](control::Reply Received) { m_Reply = std::move(Received); },
        m_Node.now());
  }
  // Returns the id of the next operation that arrives at the leader.
  std::uint64_t awaitOperation() {
    runUntil([this] { return !m_Arrived.empty(); });
    if (m_Arrived.empty())
      return 0;
    std::uint64_t Id = m_Arrived.front();
    m_Arrived.erase(m_Arrived.begin());
    return Id;
  }
  void dropConnections() {
    for (const auto &[Socket, Bytes] : m_Connections)
      close(Socket);
    m_Connections.clear();
  }
  // Sends a refusal of the operation and returns the reason code that the
  // caller is told.
  core::ReasonCode refuse(std::uint64_t Id) {
    core::Reason Reason{core::ReasonCode::Unauthorized, "key",
                        "belongs to no workspace"};
    m_Replies.send(A, messages::OperationReply{
                          .m_Id = Id, .m_Reply = control::Failure{Reason}});
    runUntil([this] { return m_Reply.has_value(); });
    const auto *Refused =
        m_Reply ? std::get_if<control::Failure>(&*m_Reply) : nullptr;
    return Refused ? Refused->m_Reason.m_Code : core::ReasonCode::None;
  }

private:
  static constexpr std::uint16_t ReplyPort = 19883;

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
      m_Replies.maintain(m_Loop.now());
      m_Replies.sendHeartbeat(
          A, {.m_From = B, .m_Leader = B, .m_Term = 1, .m_HoldsLease = true});
      (void)m_Node.tick();
      receive();
    });
  }
  // Accepts connections and reads complete frames without acknowledging them.
  void receive() {
    for (int Socket = accept4(m_Listener, nullptr, nullptr, SOCK_NONBLOCK);
         Socket >= 0;
         Socket = accept4(m_Listener, nullptr, nullptr, SOCK_NONBLOCK))
      m_Connections[Socket];
    for (auto &[Socket, Bytes] : m_Connections) {
      std::array<char, 4096> Buffer{};
      ssize_t Count = 0;
      while ((Count = read(Socket, Buffer.data(), Buffer.size())) > 0)
        Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
      takeFrames(Bytes);
    }
  }
  void takeFrames(std::string &Bytes) {
    std::uint32_t Length = 0;
    while (Bytes.size() >= sizeof(Length)) {
      std::memcpy(&Length, Bytes.data(), sizeof(Length));
      if (Bytes.size() < sizeof(Length) + Length)
        return;
      auto Frame = messages::decodeEnvelope(
          std::string_view(Bytes).substr(sizeof(Length), Length));
      ASSERT_TRUE(Frame);
      if (const auto *Typed =
              std::get_if<messages::ForwardOperation>(&Frame->m_Body))
        m_Arrived.push_back(Typed->m_Id);
      Bytes.erase(0, sizeof(Length) + Length);
    }
  }

  Loop m_Loop;
  std::string m_Host;
  int m_Listener;
  Links m_Replies;
  Node m_Node;
  // Open connections from the entry, with the bytes of an incomplete frame.
  std::map<int, std::string> m_Connections;
  std::vector<std::uint64_t> m_Arrived;
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
                        .m_OnRefused = [](const Refusal &) {},
                        .m_OnOperationsDropped = {}}));
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

// Guards against refused jobs that run: the connection broke before the frame
// was acknowledged, the frame was sent again after the refusal had reached the
// caller, and the leader decided the second copy under a newer configuration.
TEST(Node, RefusedOperationIsNotSentAgainOverTheNextConnection) {
  EntryBesideUnacknowledgingLeader Vms;
  Vms.submit(control::SubmitWorkflow{});
  std::uint64_t Refused = Vms.awaitOperation();
  EXPECT_EQ(Vms.refuse(Refused), core::ReasonCode::Unauthorized);
  Vms.dropConnections();
  Vms.submit(control::ReadConfiguration{});
  EXPECT_NE(Vms.awaitOperation(), Refused);
}

// Guards against callers that are told "not run" while a second copy of their
// request is under way: a copy that followed a broken connection did not count
// as a retry.
TEST(Node, RefusalAfterABrokenConnectionIsUndecided) {
  EntryBesideUnacknowledgingLeader Vms;
  Vms.submit(control::SubmitWorkflow{});
  std::uint64_t Id = Vms.awaitOperation();
  Vms.dropConnections();
  EXPECT_EQ(Vms.awaitOperation(), Id);
  EXPECT_EQ(Vms.refuse(Id), core::ReasonCode::Undecided);
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
