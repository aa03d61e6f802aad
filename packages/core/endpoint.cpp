#include "core/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace fireflydrift::core {

static Reason invalid(const char *Message) {
  return {ReasonCode::InvalidInput, "address", Message};
}

static bool isHost(const std::string &Text) {
  in_addr Address{};
  return inet_pton(AF_INET, Text.c_str(), &Address) == 1 &&
         Address.s_addr != htonl(INADDR_ANY) &&
         Address.s_addr != htonl(INADDR_BROADCAST);
}

Outcome<Endpoint> parseEndpoint(const std::string &Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return invalid("must be host:port");
  Endpoint Value{.m_Host = Text.substr(0, Colon)};
  if (!isHost(Value.m_Host))
    return invalid("host must be a numeric IPv4 address");
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] =
      std::from_chars(Text.data() + Colon + 1, End, Value.m_Port);
  if (Error != std::errc() || ParsedEnd != End || Value.m_Port == 0)
    return invalid("port must be 1 to 65535");
  return Value;
}

} // namespace fireflydrift::core
