// Labels on targets and work, and the selectors that match them.
#ifndef FIREFLYDRIFT_CORE_LABELS_H
#define FIREFLYDRIFT_CORE_LABELS_H

#include "core/outcome.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fireflydrift::core {

// Most labels that one target or job may carry.
inline constexpr std::size_t MaxLabels = 32;

// An immutable set of key-value pairs.
class Labels {
public:
  Labels() = default;
  explicit Labels(std::map<std::string, std::string> Entries) noexcept
      : m_Entries(std::move(Entries)) {}

  // The value under Key, or nullptr when the label is absent.
  [[nodiscard]] const std::string *find(const std::string &Key) const;
  // True when the label Key has exactly this value.
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

// One requirement of a selector: the label is present, absent, one of some
// values, or none of them.
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

  // Parses "site=sapporo|obihiro,!draining,kind!=long,gpu". Fails with
  // InvalidInput naming the requirement that has no key or an empty value.
  [[nodiscard]] static Outcome<Selector> parse(const std::string &Text);

  // True when Subject meets every requirement.
  [[nodiscard]] bool matches(const Labels &Subject) const;
  // The first requirement that Subject does not meet, as text; empty if none.
  [[nodiscard]] std::string firstUnmet(const Labels &Subject) const;
  [[nodiscard]] const std::vector<Requirement> &requirements() const noexcept {
    return m_Requirements;
  }

  friend bool operator==(const Selector &, const Selector &) = default;
  friend auto operator<=>(const Selector &, const Selector &) = default;

private:
  std::vector<Requirement> m_Requirements;
};

// Writes a selector in the form that Selector::parse reads.
[[nodiscard]] std::string toString(const Selector &Value);

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_LABELS_H
