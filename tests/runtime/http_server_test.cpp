// Clients that misbehave on the wire.
#include "runtime/http_server.h"

#include "runtime/address.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

namespace {

class HttpServerOnLoopback : public testing::Test {
protected:
  void SetUp() override {
    // The h2o loop outlives each test, as it does in a process.
    m_Server = new HttpServer(
        m_Loop,
        {.m_Host = "127.0.0.1",
         .m_MaxBodyBytes = 1000,
         .m_MaxConnections = 4,
         .m_RequestTimeout = core::Duration(300)},
        [this](const HttpRequest &Request, const Responder &Respond) {
          ++m_Handled;
          Respond({.m_Body = Request.m_Body});
        });
    ASSERT_TRUE(m_Server->listen());
  }

  int connect() {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address = *toAddress("127.0.0.1", m_Server->port());
    (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address));
    turn(5);
    return Socket;
  }
  void turn(int Rounds) {
    int Left = Rounds + 1;
    m_Loop.run([&] {
      if (--Left <= 0)
        m_Loop.stop();
      return core::Duration(10);
    });
    m_Loop.resume();
  }
  // What arrives until the server closes or answers.
  std::string talk(int Socket, const std::string &Text, int Rounds = 100) {
    (void)!write(Socket, Text.data(), Text.size());
    std::string Answer;
    for (int I = 0; I < Rounds; ++I) {
      turn(1);
      char Buffer[4096];
      ssize_t Count = read(Socket, Buffer, sizeof(Buffer));
      if (Count == 0)
        return Answer + "<closed>";
      if (Count > 0)
        Answer.append(Buffer, static_cast<std::size_t>(Count));
      if (Answer.find("\r\n\r\n") != std::string::npos)
        break;
    }
    return Answer;
  }

  Loop m_Loop;
  HttpServer *m_Server = nullptr;
  int m_Handled = 0;
};

const std::string Good = "POST /x HTTP/1.1\r\nhost: x\r\n"
                         "content-length: 5\r\n\r\nhello";

} // namespace

TEST_F(HttpServerOnLoopback, ServesAfterEachKindOfBadClient) {
  int Truncated = connect();
  (void)!write(Truncated, Good.data(), Good.size() - 2);
  turn(5);
  close(Truncated);
  int Garbage = connect();
  EXPECT_NE(talk(Garbage, "\x01\x02 garbage\r\n\r\n").find("400"),
            std::string::npos);
  close(Garbage);
  int Huge = connect();
  EXPECT_NE(talk(Huge, "POST /x HTTP/1.1\r\nhost: x\r\n"
                       "content-length: 999999\r\n\r\n")
                .find("413"),
            std::string::npos);
  close(Huge);
  EXPECT_EQ(m_Handled, 0);
  int Sound = connect();
  EXPECT_NE(talk(Sound, Good).find("200"), std::string::npos);
  EXPECT_EQ(m_Handled, 1);
  close(Sound);
}

TEST_F(HttpServerOnLoopback, ClosesASlowClient) {
  int Slow = connect();
  EXPECT_NE(talk(Slow, "GET /x HT", 500).find("<closed>"), std::string::npos);
  EXPECT_EQ(m_Handled, 0);
  close(Slow);
}

TEST_F(HttpServerOnLoopback, KeepsToItsConnections) {
  std::vector<int> Open;
  Open.reserve(6);
  for (int I = 0; I < 6; ++I)
    Open.push_back(connect());
  turn(10);
  EXPECT_LE(m_Server->connections(), 4U);
  for (int Socket : Open)
    close(Socket);
  turn(10);
  EXPECT_EQ(m_Server->connections(), 0U);
}
