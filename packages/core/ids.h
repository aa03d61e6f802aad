// Strongly typed identifiers, so that one kind is never passed as another.
#ifndef FIREFLYDRIFT_CORE_IDS_H
#define FIREFLYDRIFT_CORE_IDS_H

#include <compare>
#include <cstddef>
#include <string>
#include <utility>

namespace fireflydrift::core {

// Maximum length in bytes of an identifier received from outside the system.
inline constexpr std::size_t MaxIdBytes = 128;

// A string identifier. Tag distinguishes the kinds of identifiers and is never
// defined.
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Text) noexcept : m_Text(std::move(Text)) {}

  [[nodiscard]] const std::string &text() const noexcept { return m_Text; }
  [[nodiscard]] bool empty() const noexcept { return m_Text.empty(); }

  friend bool operator==(const Id &, const Id &) = default;
  friend auto operator<=>(const Id &, const Id &) = default;

private:
  std::string m_Text;
};

using WorkspaceId = Id<struct WorkspaceTag>;
using RequestId = Id<struct RequestTag>;
using TargetId = Id<struct TargetTag>;
using VmId = Id<struct VmTag>;
using OperationId = Id<struct OperationTag>;

// Identifies a job: the caller's request id within its workspace. The same key
// refers to the same job at every entry VM.
struct JobKey {
  WorkspaceId m_Workspace;
  RequestId m_Request;

  friend bool operator==(const JobKey &, const JobKey &) = default;
  friend auto operator<=>(const JobKey &, const JobKey &) = default;
};

// Formats a key as workspace/request, for logs and messages.
[[nodiscard]] inline std::string toString(const JobKey &Key) {
  return Key.m_Workspace.text() + "/" + Key.m_Request.text();
}

// Returns true if Text consists of 1 to MaxIdBytes letters, digits and "-_.:".
[[nodiscard]] bool isValidId(const std::string &Text) noexcept;

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_IDS_H
