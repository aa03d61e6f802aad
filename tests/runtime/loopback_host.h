// Loopback addresses for tests that open sockets of Links.
#ifndef FIREFLYDRIFT_TESTS_RUNTIME_LOOPBACK_HOST_H
#define FIREFLYDRIFT_TESTS_RUNTIME_LOOPBACK_HOST_H

#include <string>
#include <unistd.h>

namespace fireflydrift::runtime {

// Returns a loopback address that no other caller in this process got. Sockets
// of Links stay open until the process ends, so each Links uses its own.
inline std::string uniqueHost() {
  static int Hosts = 0;
  constexpr int Octet = 256;
  int Process = getpid();
  return "127." + std::to_string(100 + ++Hosts) + "." +
         std::to_string(Process / Octet % Octet) + "." +
         std::to_string(Process % Octet);
}

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_TESTS_RUNTIME_LOOPBACK_HOST_H
