#include "runtime/address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace fireflydrift::runtime {

// All targets may connect at once when their leader is lost. A full queue drops
// the opening packet, which is sent again only after a second.
static constexpr int ListenBacklog = 4096;

core::Outcome<sockaddr_in> toAddress(const std::string &Host,
                                     std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1)
    return core::Reason{core::ReasonCode::InvalidInput, "host",
                        "'" + Host + "' is not a numeric IPv4 address"};
  return Address;
}

static core::Reason socketError(const char *Operation, const std::string &Host,
                                std::uint16_t Port) {
  return {core::ReasonCode::Io, Operation,
          Host + ":" + std::to_string(Port) + ": " + std::strerror(errno)};
}

static core::Outcome<int> openSocket(int Type, const char *Operation,
                                     const std::string &Host,
                                     std::uint16_t Port) {
  auto Address = toAddress(Host, Port);
  if (!Address)
    return Address.reason();
  int Socket = socket(AF_INET, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return socketError(Operation, Host, Port);
  int Enable = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  bool Bound = bind(Socket, reinterpret_cast<const sockaddr *>(&*Address),
                    sizeof(sockaddr_in)) == 0;
  if (Bound && (Type == SOCK_DGRAM || ::listen(Socket, ListenBacklog) == 0))
    return Socket;
  core::Reason Error = socketError(Operation, Host, Port);
  close(Socket);
  return Error;
}

core::Outcome<int> openListener(const std::string &Host, std::uint16_t Port) {
  return openSocket(SOCK_STREAM, "listen", Host, Port);
}

core::Outcome<int> openDatagramSocket(const std::string &Host,
                                      std::uint16_t Port) {
  return openSocket(SOCK_DGRAM, "datagram", Host, Port);
}

} // namespace fireflydrift::runtime
