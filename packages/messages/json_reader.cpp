#include "messages/json_reader.h"

#include <limits>

namespace fireflydrift::messages::impl {

std::string write(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ObjectReader ObjectReader::parse(const std::string &Text) {
  ObjectReader Reader(parseJson(Text), "");
  if (Reader.m_Value.is_discarded())
    Reader.fail("", "must be JSON");
  else if (!Reader.m_Value.is_object())
    Reader.fail("", "must be a JSON object");
  if (!Reader.m_Value.is_object())
    Reader.m_Value = Json::object();
  return Reader;
}

std::string ObjectReader::pathTo(const std::string &Field) const {
  if (m_Path.empty() || Field.empty())
    return m_Path + Field;
  return m_Path + "." + Field;
}

const Json *ObjectReader::find(const char *Field) {
  m_Read.insert(Field);
  auto Found = m_Value.find(Field);
  return Found == m_Value.end() || Found->is_null() ? nullptr : &*Found;
}

bool ObjectReader::has(const char *Field) const {
  return m_Value.contains(Field);
}

std::string ObjectReader::text(const char *Field) {
  if (!has(Field))
    fail(Field, "is required");
  return text(Field, "");
}

std::string ObjectReader::text(const char *Field, const char *Default,
                               bool OrBoolean) {
  const Json *Found = find(Field);
  if (!Found)
    return Default;
  if (OrBoolean && Found->is_boolean())
    return Found->get<bool>() ? "true" : "false";
  if (!Found->is_string()) {
    fail(Field, "must be a string");
    return Default;
  }
  return Found->get<std::string>();
}

std::int64_t ObjectReader::integer(const char *Field, std::int64_t Default) {
  return integerUpTo(Field, Default, std::numeric_limits<std::int64_t>::max());
}

std::int64_t ObjectReader::integerUpTo(const char *Field, std::int64_t Default,
                                       std::int64_t MaxValue) {
  const Json *Found = find(Field);
  if (!Found)
    return Default;
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  bool IsInteger =
      Found->is_number_unsigned() && Found->get<std::uint64_t>() <= Largest;
  if (!IsInteger) {
    fail(Field, "must be a non-negative integer");
    return Default;
  }
  auto Value = Found->get<std::int64_t>();
  if (Value > MaxValue) {
    fail(Field, "must be at most " + std::to_string(MaxValue));
    return Default;
  }
  return Value;
}

std::uint32_t ObjectReader::index(const char *Field) {
  if (!has(Field))
    fail(Field, "is required");
  return static_cast<std::uint32_t>(
      integerUpTo(Field, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<std::uint32_t> ObjectReader::indexes(const char *Field) {
  const Json *Found = find(Field);
  std::vector<std::uint32_t> Values;
  if (!Found)
    return Values;
  if (!Found->is_array()) {
    fail(Field, "must be an array");
    return Values;
  }
  for (const Json &Each : *Found) {
    bool Fits =
        Each.is_number_unsigned() &&
        Each.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (!Fits) {
      fail(Field, "must contain unsigned 32-bit integers");
      return {};
    }
    Values.push_back(Each.get<std::uint32_t>());
  }
  return Values;
}

bool ObjectReader::boolean(const char *Field, bool Default) {
  const Json *Found = find(Field);
  if (!Found)
    return Default;
  if (!Found->is_boolean()) {
    fail(Field, "must be true or false");
    return Default;
  }
  return Found->get<bool>();
}

std::map<std::string, std::string> ObjectReader::stringMap(const char *Field) {
  const Json *Found = find(Field);
  std::map<std::string, std::string> Values;
  if (!Found)
    return Values;
  if (!Found->is_object()) {
    fail(Field, "must be an object of strings");
    return Values;
  }
  for (const auto &[Key, Each] : Found->items()) {
    if (Key.empty() || !Each.is_string()) {
      fail(Field, "must be an object of strings");
      return {};
    }
    Values.emplace(Key, Each.get<std::string>());
  }
  return Values;
}

ObjectReader ObjectReader::object(const char *Field) {
  const Json *Found = find(Field);
  bool IsObject = Found && Found->is_object();
  if (!IsObject)
    fail(Field, "must be an object");
  return {IsObject ? *Found : Json::object(), pathTo(Field)};
}

std::vector<ObjectReader> ObjectReader::objects(const char *Field) {
  const Json *Found = find(Field);
  std::vector<ObjectReader> Values;
  if (!Found)
    return Values;
  if (!Found->is_array()) {
    fail(Field, "must be an array of objects");
    return Values;
  }
  for (const Json &Each : *Found) {
    if (!Each.is_object()) {
      fail(Field, "must be an array of objects");
      return {};
    }
    std::string Path =
        pathTo(Field) + "[" + std::to_string(Values.size()) + "]";
    Values.push_back(ObjectReader(Each, std::move(Path)));
  }
  return Values;
}

void ObjectReader::fail(const std::string &Field, const std::string &Message) {
  if (m_Error.m_Code == core::ReasonCode::None)
    m_Error = {core::ReasonCode::InvalidInput, pathTo(Field), Message};
}

void ObjectReader::mergeError(const ObjectReader &Inner) {
  core::Reason Error = Inner.finish();
  if (m_Error.m_Code == core::ReasonCode::None)
    m_Error = std::move(Error);
}

core::Reason ObjectReader::finish() const {
  if (m_Error.m_Code != core::ReasonCode::None)
    return m_Error;
  for (const auto &[Key, Each] : m_Value.items())
    if (!m_Read.contains(Key))
      return {core::ReasonCode::InvalidInput, pathTo(Key),
              "is an unknown field"};
  return {};
}

} // namespace fireflydrift::messages::impl
