// Tests the HTTP server with truncated, malformed, oversized and slow requests
// and with too many connections.
#include "runtime/http_server.h"

#include "runtime/address.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

namespace {

class HttpServerOnLoopback : public testing::Test {
protected:
  void SetUp() override {
    // As the process does: h2o may write to a connection that was closed.
    std::signal(SIGPIPE, SIG_IGN);
    // Never deleted: the h2o loop is never destroyed, neither here nor in a
    // process, and keeps pointers to the server.
    m_Server = new HttpServer(
        m_Loop,
        {.m_Host = "127.0.0.1",
         .m_MaxBodyBytes = 1000,
         .m_MaxConnections = 4,
         .m_Budget = m_Budget,
         .m_RequestTimeout = core::Duration(300)},
        [this](const HttpRequest &Request, const Responder &Respond) {
          ++m_Handled;
          if (m_Hold)
            m_Held = Respond;
          else
            Respond({.m_Body = Request.m_Body, .m_Close = m_Close});
        });
    ASSERT_TRUE(m_Server->listen());
  }

  std::shared_ptr<ConnectionBudget> m_Budget =
      std::make_shared<ConnectionBudget>(ConnectionBudget{.m_Limit = 100});
  bool m_Close = false;
  // Keeps the next responder instead of calling it.
  bool m_Hold = false;
  Responder m_Held;

  // What the only connection holds.
  routing::ConnectionLoad onlyLoad(core::Time Now) {
    auto Loads = m_Server->measure(0, Now);
    EXPECT_EQ(Loads.size(), 1U);
    return Loads.empty() ? routing::ConnectionLoad() : Loads[0];
  }

  int connect() {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address = *toAddress("127.0.0.1", m_Server->port());
    (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address));
    tick(5);
    return Socket;
  }
  void tick(int Rounds) {
    int Left = Rounds + 1;
    m_Loop.run([&] {
      if (--Left <= 0)
        m_Loop.stop();
      return core::Duration(10);
    });
    m_Loop.resume();
  }
  // Sends Text and returns what arrives until the end of the response headers,
  // at most for the given rounds of the loop. Appends "<closed>" if the server
  // closes the connection.
  std::string sendAndReceive(int Socket, const std::string &Text,
                             int Rounds = 100) {
    (void)!write(Socket, Text.data(), Text.size());
    std::string Response;
    for (int I = 0; I < Rounds; ++I) {
      tick(1);
      char Buffer[4096];
      ssize_t Count = read(Socket, Buffer, sizeof(Buffer));
      if (Count == 0)
        return Response + "<closed>";
      if (Count > 0)
        Response.append(Buffer, static_cast<std::size_t>(Count));
      if (Response.find("\r\n\r\n") != std::string::npos)
        break;
    }
    return Response;
  }

  Loop m_Loop;
  HttpServer *m_Server = nullptr;
  int m_Handled = 0;
};

const std::string ValidRequest = "POST /x HTTP/1.1\r\nhost: x\r\n"
                                 "content-length: 5\r\n\r\nhello";

} // namespace

TEST_F(HttpServerOnLoopback, ServesAfterMalformedRequests) {
  int Truncated = connect();
  (void)!write(Truncated, ValidRequest.data(), ValidRequest.size() - 2);
  tick(5);
  close(Truncated);
  int Garbage = connect();
  EXPECT_NE(sendAndReceive(Garbage, "\x01\x02 garbage\r\n\r\n").find("400"),
            std::string::npos);
  close(Garbage);
  int Huge = connect();
  EXPECT_NE(sendAndReceive(Huge, "POST /x HTTP/1.1\r\nhost: x\r\n"
                                 "content-length: 999999\r\n\r\n")
                .find("413"),
            std::string::npos);
  close(Huge);
  EXPECT_EQ(m_Handled, 0);
  int Valid = connect();
  EXPECT_NE(sendAndReceive(Valid, ValidRequest).find("200"), std::string::npos);
  EXPECT_EQ(m_Handled, 1);
  close(Valid);
}

TEST_F(HttpServerOnLoopback, ClosesASlowClient) {
  int Slow = connect();
  EXPECT_NE(sendAndReceive(Slow, "GET /x HT", 500).find("<closed>"),
            std::string::npos);
  EXPECT_EQ(m_Handled, 0);
  close(Slow);
}

// Without descriptors left, accept() fails and the listener stays ready: the
// loop would spin.
TEST_F(HttpServerOnLoopback, EnforcesTheBudgetOfTheProcess) {
  EXPECT_EQ(connectionLimit(4096, 768), 3328U);
  // A common default; the limit must leave most of it for connections.
  EXPECT_EQ(connectionLimit(1024, 768), 768U);
  EXPECT_EQ(connectionLimit(1, 768), 1U);
  m_Budget->m_Limit = 2;
  std::vector<int> Open;
  // Few enough that none has reached the time limit for a request yet.
  Open.reserve(3);
  for (int I = 0; I < 3; ++I)
    Open.push_back(connect());
  EXPECT_EQ(m_Server->openConnections(), 2U);
  EXPECT_EQ(m_Budget->m_Open, 2U);
  for (int Socket : Open)
    close(Socket);
  tick(10);
  EXPECT_EQ(m_Budget->m_Open, 0U);
}

TEST_F(HttpServerOnLoopback, ClosesTheConnectionWhereTheResponseSaysSo) {
  int Socket = connect();
  m_Close = true;
  std::string Response =
      sendAndReceive(Socket, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  EXPECT_NE(Response.find("Connection: close"), std::string::npos) << Response;
  tick(10);
  EXPECT_EQ(m_Server->openConnections(), 0U);
  close(Socket);
}

TEST_F(HttpServerOnLoopback, EnforcesConnectionLimit) {
  std::vector<int> Open;
  Open.reserve(6);
  for (int I = 0; I < 6; ++I)
    Open.push_back(connect());
  tick(10);
  EXPECT_LE(m_Server->openConnections(), 4U);
  for (int Socket : Open)
    close(Socket);
  tick(10);
  EXPECT_EQ(m_Server->openConnections(), 0U);
}

// Guards against a request that runs although its client was refused: the rest
// of it may have arrived before the connection is shut down.
TEST_F(HttpServerOnLoopback, ClosesAConnectionWithoutHandlingItsRequest) {
  // The capacity with which h2o's buffers start.
  constexpr std::size_t Initial = 8192;
  int Socket = connect();
  std::string Start =
      "POST /x HTTP/1.1\r\nhost: x\r\nx-large: " + std::string(Initial, 'x');
  (void)!write(Socket, Start.data(), Start.size());
  tick(5);
  routing::ConnectionLoad Load = onlyLoad(m_Loop.now());
  EXPECT_GE(Load.m_Bytes, Initial);
  EXPECT_FALSE(Load.m_Handling);
  std::string Rest = "\r\ncontent-length: 0\r\n\r\n";
  (void)!write(Socket, Rest.data(), Rest.size());
  m_Server->closeConnection(Load.m_Id);
  EXPECT_TRUE(m_Server->measure(0, m_Loop.now()).empty());
  tick(10);
  EXPECT_EQ(m_Handled, 0);
  EXPECT_EQ(m_Server->openConnections(), 0U);
  EXPECT_EQ(m_Budget->m_Open, 0U);
  m_Server->closeConnection(Load.m_Id);
  close(Socket);
}

// Guards against the buffer of a large request staying with each connection
// that is kept open after it.
TEST_F(HttpServerOnLoopback, ReleasesTheBufferOfAnIdleConnection) {
  constexpr std::size_t HeaderBytes = 10000;
  int Socket = connect();
  std::string Large = "GET /x HTTP/1.1\r\nhost: x\r\nx-large: " +
                      std::string(HeaderBytes, 'x') + "\r\n\r\n";
  for (int I = 0; I < 2; ++I) {
    EXPECT_NE(sendAndReceive(Socket, Large).find("200"), std::string::npos);
    tick(2);
    EXPECT_EQ(onlyLoad(m_Loop.now()).m_Bytes, 0U);
  }
  EXPECT_EQ(m_Handled, 2);
  close(Socket);
}

TEST_F(HttpServerOnLoopback, MeasuresRequestsThatAreHandled) {
  m_Hold = true;
  int Socket = connect();
  (void)!write(Socket, ValidRequest.data(), ValidRequest.size());
  tick(5);
  EXPECT_TRUE(onlyLoad(m_Loop.now()).m_Handling);
  EXPECT_EQ(onlyLoad(m_Loop.now()).m_Bytes, 5U);
  m_Held({});
  tick(5);
  EXPECT_FALSE(onlyLoad(m_Loop.now()).m_Handling);
  EXPECT_FALSE(onlyLoad(m_Loop.now()).m_Responding);
  close(Socket);
}

// Guards against responses that are held for ever because nobody reads them.
TEST_F(HttpServerOnLoopback, MeasuresResponsesThatAreNotRead) {
  constexpr std::size_t ResponseBytes = 32 << 20;
  m_Hold = true;
  int Socket = connect();
  (void)!write(Socket, ValidRequest.data(), ValidRequest.size());
  tick(5);
  m_Held({.m_Body = std::string(ResponseBytes, 'x')});
  tick(5);
  routing::ConnectionLoad Load = onlyLoad(m_Loop.now());
  EXPECT_TRUE(Load.m_Responding);
  EXPECT_GE(Load.m_Bytes, ResponseBytes);
  constexpr core::Duration Limit{300};
  // The client has taken what fits into the buffers of the kernel.
  core::Time Later = Load.m_Since + Limit;
  EXPECT_EQ(onlyLoad(Later).m_Since, Later);
  EXPECT_EQ(onlyLoad(Later + Limit).m_Since, Later);
  std::string Buffer(1 << 20, ' ');
  // A part of it, more than the kernel had buffered.
  for (std::size_t Left = ResponseBytes / 4; Left > 0;) {
    ssize_t Count = read(Socket, Buffer.data(), std::min(Buffer.size(), Left));
    Left -= static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
    tick(1);
  }
  EXPECT_TRUE(onlyLoad(Later).m_Responding);
  EXPECT_EQ(onlyLoad(Later + Limit).m_Since, Later + Limit);
  m_Server->closeConnection(Load.m_Id);
  tick(10);
  EXPECT_EQ(m_Server->openConnections(), 0U);
  close(Socket);
}

TEST_F(HttpServerOnLoopback, AcceptsNothingWhileThereIsNoRoom) {
  m_Server->setAccepting(false);
  int Refused = connect();
  EXPECT_EQ(m_Server->openConnections(), 0U);
  m_Server->setAccepting(true);
  int Accepted = connect();
  EXPECT_EQ(m_Server->openConnections(), 1U);
  close(Refused);
  close(Accepted);
}

// HTTP/2 is not part of the interface, and multiplies what one connection may
// buffer.
TEST_F(HttpServerOnLoopback, OffersNoHttp2) {
  int Socket = connect();
  std::string Response =
      sendAndReceive(Socket, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  EXPECT_TRUE(Response.starts_with("HTTP/1.1 400")) << Response;
  int Upgrading = connect();
  Response = sendAndReceive(Upgrading,
                            "GET /x HTTP/1.1\r\nhost: x\r\n"
                            "connection: upgrade, http2-settings\r\n"
                            "upgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n\r\n");
  EXPECT_TRUE(Response.starts_with("HTTP/1.1 200")) << Response;
  close(Socket);
  close(Upgrading);
}
