// The configuration aggregate: the content in force, its version, and the
// operations that proposed versions.
#ifndef FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H
#define FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H

#include "configuration/queue.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "workspace/workspace.h"

#include <map>
#include <vector>

namespace fireflydrift::configuration {

// Maximum number of accepted operations whose versions are kept to answer
// resent proposals.
inline constexpr std::size_t MaxRetainedOperations = 1024;
inline constexpr std::size_t MaxWorkspaces = 256;

// Limits that apply to the whole fleet.
struct Limits {
  // Queued jobs a workspace may have before further jobs are rejected.
  std::uint32_t m_QueuedPerWorkspace = 10000;
  // Accelerators that long jobs, except urgent ones, leave free for short jobs.
  std::int64_t m_ShortReserve = 0;
  // Maximum estimated run time of a short job.
  core::Duration m_ShortRunTime{10000};
  // How long a finished job or workflow is kept for its caller to fetch, at
  // most.
  core::Duration m_Retention{3600000};

  friend bool operator==(const Limits &, const Limits &) = default;
  friend auto operator<=>(const Limits &, const Limits &) = default;
};

// A change proposed by an operator: the complete new workspaces and limits, the
// version that it replaces, and an operation id that makes resends idempotent.
// The queues stay as they are.
struct Proposal {
  core::OperationId m_Operation;
  std::uint64_t m_Replaces = 0;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  Limits m_Limits;

  friend bool operator==(const Proposal &, const Proposal &) = default;
  friend auto operator<=>(const Proposal &, const Proposal &) = default;
};

// The complete new workspaces and queues under a version that the operator
// chose. The limits stay as they are. The highest version is in force; a lower
// or equal one changes nothing.
struct Replacement {
  std::uint64_t m_Version = 0;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  std::vector<Queue> m_Queues;
  // The content as the operator sent it, returned to readers of the
  // configuration.
  std::string m_Document;

  friend bool operator==(const Replacement &, const Replacement &) = default;
};

// The stored form of a configuration.
struct ConfigurationFields {
  std::uint64_t m_Version = 0;
  // The operation whose proposal created this version; empty if a Replacement
  // did.
  core::OperationId m_Operation;
  std::vector<workspace::WorkspaceSpec> m_Workspaces;
  Limits m_Limits;
  std::vector<Queue> m_Queues;
  // The content of the last Replacement, as the operator sent it.
  std::string m_Document;
  // The retained operations by the version that each created, oldest version
  // first.
  std::map<std::uint64_t, core::OperationId> m_Accepted;

  friend bool operator==(const ConfigurationFields &,
                         const ConfigurationFields &) = default;
};

// The configuration in force.
class Configuration {
public:
  Configuration() = default;
  // Rebuilds a configuration from its stored form. A workspace with invalid
  // settings stays in fields() but is left out of workspaces().
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
  // Returns the workspace, or nullptr if the configuration has none with this
  // id.
  [[nodiscard]] const workspace::Workspace *
  find(const core::WorkspaceId &Id) const;
  // Returns the workspace that the API key belongs to, or nullptr.
  [[nodiscard]] const workspace::Workspace *
  findByKey(const std::string &Key) const;
  // Returns the version that Operation created, if the operation is still
  // retained.
  [[nodiscard]] std::optional<std::uint64_t>
  acceptedAs(const core::OperationId &Operation) const;

  friend bool operator==(const Configuration &,
                         const Configuration &) = default;

private:
  ConfigurationFields m_Fields;
  std::map<core::WorkspaceId, workspace::Workspace> m_Workspaces;
  std::map<std::string, core::WorkspaceId> m_Keys;
};

// Returns the configuration after the proposal. A resent operation returns the
// configuration unchanged; an m_Replaces other than the current version fails
// with Conflict, naming the operation that set the current version; invalid
// content fails with InvalidInput.
[[nodiscard]] core::Outcome<Configuration>
applyProposal(const Configuration &Current, const Proposal &Value);

// Returns the configuration after the replacement, or the current one if the
// replacement's version is not higher. Invalid content fails with InvalidInput,
// whatever its version.
[[nodiscard]] core::Outcome<Configuration>
applyReplacement(const Configuration &Current, const Replacement &Value);

} // namespace fireflydrift::configuration

#endif // FIREFLYDRIFT_CONFIGURATION_CONFIGURATION_H
