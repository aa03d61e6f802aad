// Validating reader of JSON objects. Internal to this package, because the JSON
// library's header is slow to compile.
#ifndef FIREFLYDRIFT_MESSAGES_JSON_READER_H
#define FIREFLYDRIFT_MESSAGES_JSON_READER_H

#include "core/outcome.h"
#include "messages/parse_json.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflydrift::messages::impl {

using Json = nlohmann::json;

// Serializes JSON; invalid UTF-8 is replaced.
[[nodiscard]] std::string write(const Json &Value);

// Reads the fields of one object and records the first error. After an error,
// reading continues with default values; finish() returns the error. A field
// that is missing or null yields its default or an empty container, except
// where it is required.
class ObjectReader {
public:
  [[nodiscard]] static ObjectReader parse(const std::string &Text);

  // True when the field is present, even if it is null.
  [[nodiscard]] bool has(const char *Field) const;
  // A string; the field must be present, and null yields an empty string.
  [[nodiscard]] std::string text(const char *Field);
  // With OrBoolean, a boolean is accepted and returned as "true" or "false".
  [[nodiscard]] std::string text(const char *Field, const char *Default,
                                 bool OrBoolean = false);
  // A non-negative integer.
  [[nodiscard]] std::int64_t integer(const char *Field, std::int64_t Default);
  [[nodiscard]] std::int64_t
  integerUpTo(const char *Field, std::int64_t Default, std::int64_t MaxValue);
  // An unsigned 32-bit integer; the field must be present, and null yields
  // zero.
  [[nodiscard]] std::uint32_t index(const char *Field);
  [[nodiscard]] std::vector<std::uint32_t> indexes(const char *Field);
  [[nodiscard]] bool boolean(const char *Field, bool Default);
  [[nodiscard]] std::map<std::string, std::string> stringMap(const char *Field);
  // A required nested object. Callers pass its reader to mergeError()
  // afterwards.
  [[nodiscard]] ObjectReader object(const char *Field);
  [[nodiscard]] std::vector<ObjectReader> objects(const char *Field);

  // Records an error unless one was recorded before.
  void fail(const std::string &Field, const std::string &Message);
  // Records the error that the nested reader's finish() returns, if any, unless
  // an error was recorded before.
  void mergeError(const ObjectReader &Inner);
  // Returns the recorded error. Without one, a field of the object that was
  // never read is an error; code None when there is none.
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
