// The configuration aggregate: one order of versions, and who proposed them.
#ifndef FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H
#define FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H

#include "configuration/queue.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "workspace/workspace.h"

#include <map>
#include <vector>

namespace fireflydrift::configuration {

// Accepted operations whose outcome is kept for resends.
inline constexpr std::size_t RememberedOperations = 1024;
inline constexpr std::size_t MaxWorkspaces = 256;

// Limits that apply to the whole fleet.
struct Limits {
  // Queued jobs a workspace may hold before further ones are shed.
  std::uint32_t m_QueuedPerWorkspace = 10000;
  // Accelerators that long work leaves free for short work.
  std::int64_t m_ShortReserve = 0;
  // Estimated run time up to which work counts as short.
  core::Duration m_ShortRunTime{10000};
  // How long an outcome is kept for its caller.
  core::Duration m_Retention{3600000};

  friend bool operator==(const Limits &, const Limits &) = default;
  friend auto operator<=>(const Limits &, const Limits &) = default;
};

// An operator's change: the whole new content, the version it replaces, and
// an operation id that makes a resend idempotent.
struct Proposal {
  core::OperationId m_Operation;
  std::uint64_t m_Replaces = 0;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  Limits m_Limits;

  friend bool operator==(const Proposal &, const Proposal &) = default;
  friend auto operator<=>(const Proposal &, const Proposal &) = default;
};

// An operator's whole content under a version that the operator chose. The
// highest version is in force; a lower or equal one changes nothing.
struct Replacement {
  std::uint64_t m_Version = 0;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  std::vector<Queue> m_Queues;
  // The content as the operator sent it, returned to whoever reads it.
  std::string m_Document;

  friend bool operator==(const Replacement &, const Replacement &) = default;
};

// The stored form of a configuration.
struct ConfigurationFields {
  std::uint64_t m_Version = 0;
  core::OperationId m_Operation;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  Limits m_Limits;
  std::vector<Queue> m_Queues;
  // The content as the operator sent it, where it came with its own version.
  std::string m_Document;
  // Version that each remembered operation created, oldest version first.
  std::map<std::uint64_t, core::OperationId> m_Accepted;

  friend bool operator==(const ConfigurationFields &,
                         const ConfigurationFields &) = default;
};

// The configuration in force.
class Configuration {
public:
  Configuration() = default;
  // Rebuilds a configuration from its stored form.
  [[nodiscard]] static Configuration restore(ConfigurationFields Fields);

  [[nodiscard]] std::uint64_t version() const noexcept {
    return m_Fields.m_Version;
  }
  [[nodiscard]] const ConfigurationFields &fields() const noexcept {
    return m_Fields;
  }
  [[nodiscard]] const Limits &limits() const noexcept {
    return m_Fields.m_Limits;
  }
  [[nodiscard]] const std::map<core::WorkspaceId, workspace::Workspace> &
  workspaces() const noexcept {
    return m_Workspaces;
  }
  // The workspace, or nullptr when the configuration has none of that name.
  [[nodiscard]] const workspace::Workspace *
  find(const core::WorkspaceId &Id) const;
  // The workspace that the key belongs to, or nullptr.
  [[nodiscard]] const workspace::Workspace *
  findByKey(const std::string &Key) const;
  // The version that Operation created, if it is still remembered.
  [[nodiscard]] std::optional<std::uint64_t>
  acceptedAs(const core::OperationId &Operation) const;

  friend bool operator==(const Configuration &,
                         const Configuration &) = default;

private:
  ConfigurationFields m_Fields;
  std::map<core::WorkspaceId, workspace::Workspace> m_Workspaces;
  std::map<std::string, core::WorkspaceId> m_Keys;
};

// The configuration after Value. A resent operation gets the configuration
// unchanged; a stale Replaces fails with Conflict naming the operation that
// won; broken content fails with InvalidInput.
[[nodiscard]] core::Outcome<Configuration>
applyProposal(const Configuration &Current, const Proposal &Value);

// The configuration after a replacement: the one of the higher version. Broken
// content fails with InvalidInput, whatever its version.
[[nodiscard]] core::Outcome<Configuration>
applyReplacement(const Configuration &Current, const Replacement &Value);

} // namespace fireflydrift::configuration

#endif // FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H
