// Checked reading of JSON objects. Internal to this package, because the JSON
// library's header is heavy.
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

// Writes JSON; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string write(const Json &Value);

// Reads the fields of one object and remembers the first rule broken. Reading
// goes on after a failure with default values; finish() tells.
class ObjectReader {
public:
  [[nodiscard]] static ObjectReader parse(const std::string &Text);

  [[nodiscard]] bool has(const char *Field) const;
  [[nodiscard]] std::string text(const char *Field);
  // With OrBoolean, true and false are read as their names.
  [[nodiscard]] std::string text(const char *Field, const char *Default,
                                 bool OrBoolean = false);
  // A whole number that is not negative.
  [[nodiscard]] std::int64_t integer(const char *Field, std::int64_t Default);
  [[nodiscard]] std::int64_t
  integerUpTo(const char *Field, std::int64_t Default, std::int64_t Most);
  // A required 32-bit number.
  [[nodiscard]] std::uint32_t index(const char *Field);
  [[nodiscard]] std::vector<std::uint32_t> indexes(const char *Field);
  [[nodiscard]] bool boolean(const char *Field, bool Default);
  [[nodiscard]] std::map<std::string, std::string> texts(const char *Field);
  [[nodiscard]] ObjectReader object(const char *Field);
  [[nodiscard]] std::vector<ObjectReader> objects(const char *Field);

  // Records a broken rule unless one was recorded before.
  void fail(const std::string &Field, const std::string &Rule);
  // Takes over what an inner object found.
  void take(const ObjectReader &Inner);
  // The first broken rule; a field that nothing read breaks one as well.
  [[nodiscard]] core::Reason finish() const;

private:
  ObjectReader(Json Value, std::string Path)
      : m_Value(std::move(Value)), m_Path(std::move(Path)) {}

  [[nodiscard]] const Json *find(const char *Field);
  [[nodiscard]] std::string pathTo(const std::string &Field) const;

  Json m_Value;
  std::string m_Path;
  std::set<std::string> m_Read;
  core::Reason m_Why;
};

} // namespace fireflydrift::messages::impl

#endif // FIREFLYDRIFT_MESSAGES_JSON_READER_H
