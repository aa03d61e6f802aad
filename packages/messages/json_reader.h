// Validating reader of JSON objects. Internal to this package, because the JSON
// library's header is slow to compile.
#ifndef FIREFLYDRIFT_MESSAGES_JSON_READER_H
#define FIREFLYDRIFT_MESSAGES_JSON_READER_H

#include "core/outcome.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::messages::impl {

using Json = nlohmann::json;

// Serializes JSON; invalid UTF-8 is replaced.
[[nodiscard]] std::string write(const Json &Value);

// Reads the fields of one object and records the first error. After an error,
// reading continues with default values; finish() returns the error.
class ObjectReader {
public:
  [[nodiscard]] static ObjectReader parse(const std::string &Text);

  [[nodiscard]] bool has(const char *Field) const;
  [[nodiscard]] std::string text(const char *Field);
  // With OrBoolean, booleans are accepted and returned as text.
  [[nodiscard]] std::string text(const char *Field, const char *Default,
                                 bool OrBoolean = false);
  // A non-negative integer.
  [[nodiscard]] std::int64_t integer(const char *Field, std::int64_t Default);
  [[nodiscard]] std::int64_t
  integerUpTo(const char *Field, std::int64_t Default, std::int64_t MaxValue);
  // A required unsigned 32-bit integer.
  [[nodiscard]] std::uint32_t index(const char *Field);
  [[nodiscard]] std::vector<std::uint32_t> indexes(const char *Field);
  [[nodiscard]] bool boolean(const char *Field, bool Default);
  [[nodiscard]] std::map<std::string, std::string> stringMap(const char *Field);
  [[nodiscard]] ObjectReader object(const char *Field);
  [[nodiscard]] std::vector<ObjectReader> objects(const char *Field);

  // Records an error unless one was recorded before.
  void fail(const std::string &Field, const std::string &Message);
  // Records the error of a nested reader, if it has one.
  void mergeError(const ObjectReader &Inner);
  // Returns the first error; a field that was never read is one as well.
  [[nodiscard]] core::Reason finish() const;

private:
  ObjectReader(Json Value, std::string Path)
      : m_Value(std::move(Value)), m_Path(std::move(Path)) {}

  [[nodiscard]] const Json *find(const char *Field);
  [[nodiscard]] std::string pathTo(const std::string &Field) const;

  Json m_Value;
  std::string m_Path;
  std::set<std::string> m_Read;
  core::Reason m_Error;
};

} // namespace fireflydrift::messages::impl

#endif // FIREFLYDRIFT_MESSAGES_JSON_READER_H
