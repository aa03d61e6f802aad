// Starts the server process and loads one of its listeners with clients that
// send too much, too slowly or without end. Guards against a process whose
// memory grows with the number of such connections until the VM has none left.
// Checks no times and no proportion of served requests.
#include "runtime/address.h"
#include "runtime/loopback_host.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace fireflydrift;
using namespace fireflydrift::runtime;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = KiB * KiB;
// Room for the default budget, and for memory that does not count into it:
// h2o's connections, their TLS state and free heap.
constexpr std::size_t MaxGrowth = 96 * MiB;
constexpr std::size_t MaxOtherDescriptors = 64;
// Four times the default, so that a few dozen clients show the fault.
constexpr std::size_t MaxBodyBytes = 4 * MiB;
constexpr int PollMs = 1000;
constexpr int AnswerPollMs = 20000;
constexpr std::size_t ChunkBytes = 64 * KiB;

constexpr std::uint16_t OwnPort = 7600;
constexpr std::uint16_t CallersPort = 7601;
constexpr std::uint16_t ControlPort = 7602;

// ---- The process under test ------------------------------------------------

// A temporary folder that is removed at the end of the test.
class Folder {
public:
  Folder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "clients-XXXXXX").string();
    m_Path = mkdtemp(Name.data());
  }
  ~Folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Path, Ignored);
  }
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;

  [[nodiscard]] std::string file(const char *Name) const {
    return m_Path / Name;
  }

private:
  std::filesystem::path m_Path;
};

// Writes a self-signed certificate and its key.
void writeCertificate(const Folder &Files) {
  constexpr long Day = 86400;
  EVP_PKEY *Key = EVP_EC_gen("P-256");
  X509 *Certificate = X509_new();
  X509_gmtime_adj(X509_getm_notBefore(Certificate), -Day);
  X509_gmtime_adj(X509_getm_notAfter(Certificate), Day);
  X509_set_pubkey(Certificate, Key);
  X509_sign(Certificate, Key, EVP_sha256());
  FILE *Out = fopen(Files.file("certificate.pem").c_str(), "w");
  PEM_write_X509(Out, Certificate);
  (void)fclose(Out);
  Out = fopen(Files.file("key.pem").c_str(), "w");
  PEM_write_PrivateKey(Out, Key, nullptr, nullptr, 0, nullptr, nullptr);
  (void)fclose(Out);
  X509_free(Certificate);
  EVP_PKEY_free(Key);
}

std::string settingsText(const std::string &Host, const Folder &Files,
                         bool Tls) {
  std::string Text = "[vm]\nid = a\n[http]\nhost = " + Host +
                     "\nport = " + std::to_string(OwnPort) +
                     "\nmax_body_bytes = " + std::to_string(MaxBodyBytes);
  if (Tls)
    Text += "\ncertificate = " + Files.file("certificate.pem") +
            "\nkey = " + Files.file("key.pem");
  Text += "\n[listen]\ncallers = " + Host + ":" + std::to_string(CallersPort) +
          "\ncontrol = " + Host + ":" + std::to_string(ControlPort);
  return Text + "\n[replica]\ndata_folder = " + Files.file("data") +
         "\n[log]\nfile = " + Files.file("log") + "\n[vms]\na = " + Host +
         ":7700 r d replica\n";
}

class Daemon {
public:
  Daemon(const std::string &Settings, const Folder &Files) {
    std::string File = Files.file("settings.ini");
    std::ofstream(File) << Settings;
    m_Process = fork();
    if (m_Process != 0)
      return;
    execl(FIREFLYDRIFT_DAEMON, FIREFLYDRIFT_DAEMON, "--settings", File.c_str(),
          nullptr);
    _exit(127);
  }
  ~Daemon() {
    if (!isAlive())
      return;
    kill(m_Process, SIGKILL);
    (void)waitpid(m_Process, nullptr, 0);
  }
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  bool isAlive() {
    if (!m_Ended)
      m_Ended = waitpid(m_Process, nullptr, WNOHANG) != 0;
    return !m_Ended;
  }
  // A line of /proc/PID/status in bytes.
  [[nodiscard]] std::size_t memory(const std::string &Name) const {
    std::ifstream Status("/proc/" + std::to_string(m_Process) + "/status");
    std::string Line;
    while (std::getline(Status, Line))
      if (Line.starts_with(Name + ":"))
        return std::stoul(Line.substr(Name.size() + 1)) * KiB;
    return 0;
  }
  [[nodiscard]] std::size_t descriptors() const {
    std::filesystem::directory_iterator All("/proc/" +
                                            std::to_string(m_Process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(All), end(All)));
  }

private:
  pid_t m_Process = -1;
  bool m_Ended = false;
};

// ---- Clients ---------------------------------------------------------------

class Client {
public:
  Client(const std::string &Host, std::uint16_t Port, SSL_CTX *Tls)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = *toAddress(Host, Port);
    m_Open = connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                     sizeof(Address)) == 0;
    if (!m_Open || !Tls)
      return;
    m_Tls = SSL_new(Tls);
    SSL_set_fd(m_Tls, m_Socket);
    m_Open = SSL_connect(m_Tls) == 1;
  }
  ~Client() {
    SSL_free(m_Tls);
    close(m_Socket);
  }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  [[nodiscard]] bool isOpen() const { return m_Open; }
  [[nodiscard]] int socketFile() const { return m_Socket; }
  [[nodiscard]] std::size_t sent() const { return m_Sent; }

  // Sends as much of Text as the socket takes without waiting.
  void send(const std::string &Text) {
    ssize_t Count =
        m_Tls ? sendTls(Text)
              : ::send(m_Socket, Text.data(), Text.size(), MSG_DONTWAIT);
    if (Count > 0)
      m_Sent += static_cast<std::size_t>(Count);
    else if (errno != EAGAIN)
      m_Open = false;
  }
  // Waits for data and returns it; empty once the server has closed the
  // connection or sends nothing.
  std::string receive() {
    pollfd Poll{.fd = m_Socket, .events = POLLIN};
    if (!m_Open || poll(&Poll, 1, AnswerPollMs) <= 0)
      return {};
    std::string Buffer(4 * KiB, '\0');
    ssize_t Count =
        m_Tls ? SSL_read(m_Tls, Buffer.data(), static_cast<int>(Buffer.size()))
              : read(m_Socket, Buffer.data(), Buffer.size());
    Buffer.resize(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    return Buffer;
  }

private:
  ssize_t sendTls(const std::string &Text) {
    int Count = SSL_write(m_Tls, Text.data(), static_cast<int>(Text.size()));
    bool Waits =
        Count <= 0 && SSL_get_error(m_Tls, Count) == SSL_ERROR_WANT_WRITE;
    errno = Waits ? EAGAIN : EPIPE;
    return Count;
  }

  int m_Socket;
  SSL *m_Tls = nullptr;
  bool m_Open = false;
  std::size_t m_Sent = 0;
};

// What each of some clients sends: the start, then filler up to a total size.
struct Load {
  const char *m_Name;
  std::string m_Start;
  std::string m_Filler;
  std::size_t m_TotalBytes;
  // Bytes in one write; small for slow clients.
  std::size_t m_WriteBytes = ChunkBytes;
  std::size_t m_Clients = 60;

  friend std::ostream &operator<<(std::ostream &Stream, const Load &Value) {
    return Stream << Value.m_Name;
  }
};

struct Target {
  const char *m_Name;
  std::uint16_t m_Port;
  bool m_Tls = false;

  friend std::ostream &operator<<(std::ostream &Stream, const Target &Value) {
    return Stream << Value.m_Name;
  }
};

std::string repeat(const std::string &Text, std::size_t Bytes) {
  std::string All;
  while (All.size() < Bytes)
    All += Text;
  return All;
}

std::vector<Load> allLoads() {
  std::string Post = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\n";
  std::string Chunk = "10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
  std::string Get = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
  constexpr std::size_t SlowBytes = 40;
  return {
      {.m_Name = "AnnouncedOverLimit",
       .m_Start = Post + "content-length: 1073741824\r\n\r\n",
       .m_Filler = "x",
       .m_TotalBytes = 2 * MaxBodyBytes},
      {.m_Name = "ChunkedOverLimit",
       .m_Start = Post + "transfer-encoding: chunked\r\n\r\n",
       .m_Filler = Chunk,
       .m_TotalBytes = 2 * MaxBodyBytes},
      {.m_Name = "UnfinishedBodies",
       .m_Start = Post + "content-length: " + std::to_string(MaxBodyBytes) +
                  "\r\n\r\n",
       .m_Filler = "x",
       .m_TotalBytes = MaxBodyBytes},
      {.m_Name = "UnfinishedChunkedBodies",
       .m_Start = Post + "transfer-encoding: chunked\r\n\r\n",
       .m_Filler = Chunk,
       .m_TotalBytes = MaxBodyBytes - ChunkBytes},
      {.m_Name = "SlowBodies",
       .m_Start = "",
       .m_Filler = Post + "content-length: 1000\r\n\r\n",
       .m_TotalBytes = SlowBytes,
       .m_WriteBytes = 1},
      {.m_Name = "PipelinedRequests",
       .m_Start = "",
       .m_Filler = Post + "content-length: 2\r\n\r\n{}",
       .m_TotalBytes = 2 * MiB},
      {.m_Name = "UnreadResponses",
       .m_Start = "",
       .m_Filler = Get,
       .m_TotalBytes = 2 * MiB},
      {.m_Name = "EndlessHeaders",
       .m_Start = Post,
       .m_Filler = "x-name: value\r\n",
       .m_TotalBytes = 2 * MiB},
  };
}

std::vector<Target> allTargets() {
  return {{.m_Name = "Callers", .m_Port = CallersPort},
          {.m_Name = "Control", .m_Port = ControlPort},
          {.m_Name = "Own", .m_Port = OwnPort},
          {.m_Name = "OwnTls", .m_Port = OwnPort, .m_Tls = true}};
}

// Sends the load on all connections until all is sent, the server has closed
// them, or takes no more.
void run(const Load &Each, std::vector<std::unique_ptr<Client>> &Clients) {
  std::string Filler = repeat(Each.m_Filler, ChunkBytes);
  for (;;) {
    std::vector<pollfd> Polls;
    std::vector<Client *> Sending;
    for (const auto &Next : Clients) {
      if (!Next->isOpen() || Next->sent() >= Each.m_TotalBytes)
        continue;
      Polls.push_back({.fd = Next->socketFile(), .events = POLLOUT});
      Sending.push_back(Next.get());
    }
    if (Sending.empty() || poll(Polls.data(), Polls.size(), PollMs) <= 0)
      return;
    for (std::size_t I = 0; I < Sending.size(); ++I) {
      if (Polls[I].revents == 0)
        continue;
      std::size_t Sent = Sending[I]->sent();
      std::size_t Left = Each.m_TotalBytes - Sent;
      std::size_t StartBytes = Each.m_Start.size();
      std::string Text =
          Sent < StartBytes
              ? Each.m_Start.substr(Sent)
              : Filler.substr((Sent - StartBytes) % Each.m_Filler.size());
      Sending[I]->send(Text.substr(0, std::min(Left, Each.m_WriteBytes)));
    }
  }
}

// Whether an ordinary request gets an answer, of any status. The server may
// refuse some connections, so it is tried again.
bool answers(Daemon &Process, const std::string &Host, std::uint16_t Port,
             SSL_CTX *Tls) {
  constexpr int Attempts = 100;
  constexpr int PauseMs = 100;
  for (int I = 0; I < Attempts && Process.isAlive(); ++I) {
    Client Ordinary(Host, Port, Tls);
    if (Ordinary.isOpen())
      Ordinary.send("GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n");
    if (Ordinary.receive().starts_with("HTTP/1.1 "))
      return true;
    (void)poll(nullptr, 0, PauseMs);
  }
  return false;
}

class UntrustedClients
    : public testing::TestWithParam<std::tuple<Target, Load>> {
protected:
  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);
    const Target &Listener = std::get<0>(GetParam());
    if (Listener.m_Tls)
      writeCertificate(m_Files);
    m_Tls = Listener.m_Tls ? SSL_CTX_new(TLS_client_method()) : nullptr;
    if (m_Tls)
      SSL_CTX_set_mode(m_Tls, SSL_MODE_ENABLE_PARTIAL_WRITE |
                                  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    m_Daemon = std::make_unique<Daemon>(
        settingsText(m_Host, m_Files, Listener.m_Tls), m_Files);
    ASSERT_TRUE(answers(*m_Daemon, m_Host, Listener.m_Port, m_Tls));
  }
  void TearDown() override { SSL_CTX_free(m_Tls); }

  std::string m_Host = uniqueHost();
  Folder m_Files;
  SSL_CTX *m_Tls = nullptr;
  std::unique_ptr<Daemon> m_Daemon;
};

} // namespace

TEST_P(UntrustedClients, LeaveTheProcessWithinItsMemory) {
  const auto &[Listener, Sent] = GetParam();
  std::size_t Before = m_Daemon->memory("VmRSS");
  std::vector<std::unique_ptr<Client>> Clients;
  for (std::size_t I = 0; I < Sent.m_Clients; ++I)
    Clients.push_back(std::make_unique<Client>(m_Host, Listener.m_Port, m_Tls));
  run(Sent, Clients);
  ASSERT_TRUE(m_Daemon->isAlive());
  // The peak: the process must not need more for a moment either.
  std::size_t Peak = m_Daemon->memory("VmHWM");
  std::size_t Growth = Peak - std::min(Before, Peak);
  RecordProperty("growth_kib", std::to_string(Growth / KiB));
  std::cout << "growth " << Growth / KiB << " KiB\n";
  EXPECT_LT(Growth, MaxGrowth);
  EXPECT_LT(m_Daemon->descriptors(), Sent.m_Clients + MaxOtherDescriptors);
  EXPECT_TRUE(answers(*m_Daemon, m_Host, Listener.m_Port, m_Tls));
  EXPECT_TRUE(m_Daemon->isAlive());
}

// Guards against clients on the callers' address that use up what targets and
// operators need: with all of the callers' part used, a large request on the
// control listener is still read to its end.
TEST(UntrustedCallers, LeaveRoomForOperators) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string Host = uniqueHost();
  Folder Files;
  Daemon Process(settingsText(Host, Files, false), Files);
  ASSERT_TRUE(answers(Process, Host, CallersPort, nullptr));
  std::vector<Load> Loads = allLoads();
  auto Unfinished =
      std::find_if(Loads.begin(), Loads.end(), [](const Load &Each) {
        return std::string(Each.m_Name) == "UnfinishedBodies";
      });
  std::vector<std::unique_ptr<Client>> Clients;
  for (std::size_t I = 0; I < Unfinished->m_Clients; ++I)
    Clients.push_back(std::make_unique<Client>(Host, CallersPort, nullptr));
  run(*Unfinished, Clients);
  std::vector<std::unique_ptr<Client>> Operator;
  Operator.push_back(std::make_unique<Client>(Host, ControlPort, nullptr));
  constexpr std::size_t BodyBytes = 3 * MiB;
  Load Request{.m_Name = "OneRequest",
               .m_Start = "PUT /-/configuration HTTP/1.1\r\nhost: x\r\n"
                          "content-length: " +
                          std::to_string(BodyBytes) + "\r\n\r\n",
               .m_Filler = "x",
               .m_TotalBytes = 0};
  Request.m_TotalBytes = Request.m_Start.size() + BodyBytes;
  run(Request, Operator);
  EXPECT_EQ(Operator[0]->sent(), Request.m_TotalBytes);
  EXPECT_TRUE(Operator[0]->receive().starts_with("HTTP/1.1 "));
}

INSTANTIATE_TEST_SUITE_P(
    All, UntrustedClients,
    testing::Combine(testing::ValuesIn(allTargets()),
                     testing::ValuesIn(allLoads())),
    [](const testing::TestParamInfo<std::tuple<Target, Load>> &Info) {
      return std::string(std::get<0>(Info.param).m_Name) +
             std::get<1>(Info.param).m_Name;
    });
