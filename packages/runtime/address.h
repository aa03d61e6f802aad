// IPv4 address parsing, and sockets bound to an address.
#ifndef FIREFLYDRIFT_RUNTIME_ADDRESS_H
#define FIREFLYDRIFT_RUNTIME_ADDRESS_H

#include "core/outcome.h"

#include <netinet/in.h>
#include <string>

namespace fireflydrift::runtime {

// Parses a numeric IPv4 address. Fails with InvalidInput.
[[nodiscard]] core::Outcome<sockaddr_in> toAddress(const std::string &Host,
                                                   std::uint16_t Port);

// Opens a non-blocking listening TCP socket. Fails with InvalidInput when Host
// is not a numeric IPv4 address, and with Io otherwise.
[[nodiscard]] core::Outcome<int> openListener(const std::string &Host,
                                              std::uint16_t Port);

// Opens a non-blocking UDP socket bound to the address. Fails like
// openListener().
[[nodiscard]] core::Outcome<int> openDatagramSocket(const std::string &Host,
                                                    std::uint16_t Port);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_ADDRESS_H
