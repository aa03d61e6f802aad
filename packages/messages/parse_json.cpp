#include "messages/parse_json.h"

namespace fireflydrift::messages {

// More nesting than any valid message has. Bounds the memory that a few bytes
// of text can take.
static constexpr int MaxDepth = 16;

nlohmann::json parseJson(const std::string &Text) {
  using Json = nlohmann::json;
  bool TooDeep = false;
  auto KeepShallow = [&](int Depth, Json::parse_event_t, Json &) {
    TooDeep = TooDeep || Depth > MaxDepth;
    return !TooDeep;
  };
  Json Value = Json::parse(Text, KeepShallow, false);
  return TooDeep ? Json(Json::value_t::discarded) : Value;
}

} // namespace fireflydrift::messages
