// Parsing of JSON from untrusted senders. Not included by other headers of this
// package that are public, because the JSON library's header is slow to
// compile.
#ifndef FIREFLYDRIFT_MESSAGES_PARSE_JSON_H
#define FIREFLYDRIFT_MESSAGES_PARSE_JSON_H

#include <nlohmann/json.hpp>
#include <string>

namespace fireflydrift::messages {

// Parses a document. Returns a discarded value when the text is not JSON or is
// nested more deeply than any valid message.
[[nodiscard]] nlohmann::json parseJson(const std::string &Text);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_PARSE_JSON_H
