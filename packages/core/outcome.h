// The result of a function that can fail: a std::optional together with the
// reason why it is empty.
#ifndef FIREFLYDRIFT_CORE_OUTCOME_H
#define FIREFLYDRIFT_CORE_OUTCOME_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace fireflydrift::core {

// Kinds of failure. Front ends map them to their own status codes.
enum class ReasonCode : std::uint8_t {
  None,
  InvalidInput,
  NotFound,
  Conflict,
  TooLarge,
  // No set of targets could ever hold the request.
  Unplaceable,
  QuotaExceeded,
  Overloaded,
  NotLeader,
  Unavailable,
  Corrupt,
  Io,
  IllegalTransition,
  TargetLost,
  TaskFailed,
  Cancelled,
  Unauthorized,
  // The operation may or may not have taken effect; the caller must query
  // the job or workflow to find out.
  Undecided,
};

// An error: the kind of failure, the offending field and a message, such as the
// rule that the field violates. Code None means that there is no error.
struct Reason {
  ReasonCode m_Code = ReasonCode::None;
  std::string m_Field;
  std::string m_Message;

  friend bool operator==(const Reason &, const Reason &) = default;
  friend auto operator<=>(const Reason &, const Reason &) = default;
};

// Returns the short lower-case name of a reason code, as used in logs and
// replies.
[[nodiscard]] const char *toString(ReasonCode Code) noexcept;

// Formats a reason as "code: field: message", without the parts that are empty;
// the result is empty for ReasonCode::None.
[[nodiscard]] std::string toString(const Reason &Why);

// Holds either a value or the reason why there is none.
template <class T> class [[nodiscard]] Outcome {
public:
  // The conversions are implicit so that a function can return a value or a
  // reason directly.
  Outcome(T Value) : m_Value(std::move(Value)) {}
  Outcome(Reason Why) : m_Reason(std::move(Why)) {}

  [[nodiscard]] bool hasValue() const noexcept { return m_Value.has_value(); }
  // The code is None when there is a value.
  [[nodiscard]] const Reason &reason() const noexcept { return m_Reason; }
  [[nodiscard]] const std::optional<T> &value() const &noexcept {
    return m_Value;
  }
  [[nodiscard]] std::optional<T> &&value() &&noexcept {
    return std::move(m_Value);
  }

  friend bool operator==(const Outcome &, const Outcome &) = default;

  explicit operator bool() const noexcept { return hasValue(); }
  const T &operator*() const & { return *m_Value; }
  T &&operator*() && { return *std::move(m_Value); }
  const T *operator->() const { return &*m_Value; }

private:
  std::optional<T> m_Value;
  Reason m_Reason;
};

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_OUTCOME_H
