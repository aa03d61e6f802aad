// Network endpoints in text form.
#ifndef FIREFLYDRIFT_CORE_ENDPOINT_H
#define FIREFLYDRIFT_CORE_ENDPOINT_H

#include "core/outcome.h"

#include <cstdint>
#include <string>

namespace fireflydrift::core {

// A numeric IPv4 address and a port.
struct Endpoint {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

// Parses "host:port". Fails with InvalidInput when the host is not a numeric
// IPv4 address of one VM, or the port is not 1 to 65535.
[[nodiscard]] Outcome<Endpoint> parseEndpoint(const std::string &Text);

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_ENDPOINT_H
