// Labels of targets and jobs, and the selectors that match them.
#ifndef FIREFLYDRIFT_CORE_LABELS_H
#define FIREFLYDRIFT_CORE_LABELS_H

#include "core/outcome.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fireflydrift::core {

// Maximum number of labels of one target or job.
inline constexpr std::size_t MaxLabels = 32;

// An immutable set of key-value pairs.
class Labels {
public:
  Labels() = default;
  explicit Labels(std::map<std::string, std::string> Entries) noexcept
      : m_Entries(std::move(Entries)) {}

  // Returns the value of the label Key, or nullptr if the label is absent.
  [[nodiscard]] const std::string *find(const std::string &Key) const;
  // Returns true if the label Key has exactly this value.
  [[nodiscard]] bool has(const std::string &Key,
                         const std::string &Value) const;
  [[nodiscard]] const std::map<std::string, std::string> &
  entries() const noexcept {
    return m_Entries;
  }

  friend bool operator==(const Labels &, const Labels &) = default;
  friend auto operator<=>(const Labels &, const Labels &) = default;

private:
  std::map<std::string, std::string> m_Entries;
};

// One requirement of a selector: the label must be present, be absent, have one
// of the values, or have none of them. An absent label has none of them.
struct Requirement {
  enum class Kind : std::uint8_t { Present, Absent, OneOf, NoneOf };

  Kind m_Kind = Kind::Present;
  std::string m_Key;
  std::vector<std::string> m_Values;

  friend bool operator==(const Requirement &, const Requirement &) = default;
  friend auto operator<=>(const Requirement &, const Requirement &) = default;
};

// A conjunction of requirements. The empty selector matches everything.
class Selector {
public:
  Selector() = default;

  // Parses text such as "site=sapporo|obihiro,!draining,kind!=long,gpu". Fails
  // with InvalidInput if a requirement has an invalid key or an empty value;
  // the reason names that requirement.
  [[nodiscard]] static Outcome<Selector> parse(const std::string &Text);

  // Returns true if Subject meets every requirement.
  [[nodiscard]] bool matches(const Labels &Subject) const;
  // Returns the first requirement that Subject does not meet, as text, or an
  // empty string if it meets them all.
  [[nodiscard]] std::string firstUnmet(const Labels &Subject) const;
  [[nodiscard]] const std::vector<Requirement> &requirements() const noexcept {
    return m_Requirements;
  }

  friend bool operator==(const Selector &, const Selector &) = default;
  friend auto operator<=>(const Selector &, const Selector &) = default;

private:
  std::vector<Requirement> m_Requirements;
};

// Formats a selector in the syntax that Selector::parse reads.
[[nodiscard]] std::string toString(const Selector &Value);

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_LABELS_H
