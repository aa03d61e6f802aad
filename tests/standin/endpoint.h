// A host and port to connect to or listen at.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_ENDPOINT_H
#define FIREFLYDRIFT_TESTS_STANDIN_ENDPOINT_H

#include <cstdint>
#include <string>

namespace fireflydrift::standin {

struct Endpoint {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_ENDPOINT_H
