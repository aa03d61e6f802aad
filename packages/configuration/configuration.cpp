#include "configuration/configuration.h"

#include <algorithm>
#include <set>

namespace fireflydrift::configuration {

using workspace::Workspace;

Configuration Configuration::restore(ConfigurationFields Fields) {
  Configuration Restored;
  for (const workspace::WorkspaceSpec &Spec : Fields.m_Workspaces) {
    for (const std::string &Key : Spec.m_Keys)
      Restored.m_Keys.emplace(Key, Spec.m_Id);
    if (auto Created = Workspace::create(Spec))
      Restored.m_Workspaces.emplace(Spec.m_Id, *std::move(Created));
  }
  Restored.m_Fields = std::move(Fields);
  return Restored;
}

const Workspace *Configuration::find(const core::WorkspaceId &Id) const {
  auto Found = m_Workspaces.find(Id);
  return Found == m_Workspaces.end() ? nullptr : &Found->second;
}

const Workspace *Configuration::findByKey(const std::string &Key) const {
  auto Found = m_Keys.find(Key);
  return Found == m_Keys.end() ? nullptr : find(Found->second);
}

std::optional<std::uint64_t>
Configuration::acceptedAs(const core::OperationId &Operation) const {
  for (const auto &[Version, Accepted] : m_Fields.m_Accepted)
    if (Accepted == Operation)
      return Version;
  return std::nullopt;
}

static core::Reason invalid(const char *Field, const char *Rule) {
  return {.m_Code = core::ReasonCode::InvalidInput,
          .m_Field = Field,
          .m_Message = Rule};
}

static core::Reason checkLimits(const Limits &Value) {
  if (Value.m_QueuedPerWorkspace == 0)
    return invalid("limits.queued_per_workspace", "must be positive");
  if (Value.m_ShortReserve < 0)
    return invalid("limits.short_reserve", "must not be negative");
  if (Value.m_ShortRunTime <= core::Duration::zero())
    return invalid("limits.short_run_time_ms", "must be positive");
  if (Value.m_Retention <= core::Duration::zero())
    return invalid("limits.retention_ms", "must be positive");
  return {};
}

static core::Reason
checkWorkspaces(const std::vector<workspace::WorkspaceSpec> &All) {
  if (All.size() > MaxWorkspaces)
    return invalid("workspaces", "at most 256");
  std::set<core::WorkspaceId> Seen;
  std::set<std::string> Keys;
  for (const workspace::WorkspaceSpec &Spec : All) {
    auto Created = Workspace::create(Spec);
    if (!Created) {
      core::Reason Why = Created.reason();
      Why.m_Field = "workspaces." + Spec.m_Id.text() + "." + Why.m_Field;
      return Why;
    }
    if (!Seen.insert(Spec.m_Id).second)
      return invalid("workspaces", "a workspace is listed twice");
    for (const std::string &Key : Spec.m_Keys)
      if (!Keys.insert(Key).second)
        return invalid("workspaces", "a key is listed twice");
  }
  return {};
}

static core::Reason checkQueues(const std::vector<Queue> &All) {
  std::set<std::pair<std::string, std::string>> HostsAndPrefixes;
  for (const Queue &Each : All) {
    if (Each.m_MaxAttempts == 0)
      return invalid("queues.max_attempts", "must be positive");
    if (!HostsAndPrefixes.emplace(Each.m_Host, Each.m_PathPrefix).second)
      return invalid("queues", "two queues have the same host and path prefix");
  }
  return {};
}

core::Outcome<Configuration> applyProposal(const Configuration &Current,
                                           const Proposal &Value) {
  if (!core::isValidId(Value.m_Operation.text()))
    return invalid("operation", "must be a valid identifier");
  if (Current.acceptedAs(Value.m_Operation))
    return Current;
  if (Value.m_Replaces != Current.version())
    return core::Reason{.m_Code = core::ReasonCode::Conflict,
                        .m_Field = "replaces",
                        .m_Message = "version " +
                                     std::to_string(Current.version()) +
                                     " is in force, set by operation '" +
                                     Current.fields().m_Operation.text() + "'"};
  for (const core::Reason &Why :
       {checkLimits(Value.m_Limits), checkWorkspaces(Value.m_Workspaces)})
    if (Why.m_Code != core::ReasonCode::None)
      return Why;

  ConfigurationFields Next = Current.fields();
  ++Next.m_Version;
  Next.m_Operation = Value.m_Operation;
  Next.m_Workspaces = Value.m_Workspaces;
  Next.m_Limits = Value.m_Limits;
  Next.m_Accepted.emplace(Next.m_Version, Value.m_Operation);
  if (Next.m_Accepted.size() > MaxRetainedOperations)
    Next.m_Accepted.erase(Next.m_Accepted.begin());
  return Configuration::restore(std::move(Next));
}

core::Outcome<Configuration> applyReplacement(const Configuration &Current,
                                              const Replacement &Value) {
  for (const core::Reason &Why :
       {checkWorkspaces(Value.m_Workspaces), checkQueues(Value.m_Queues)})
    if (Why.m_Code != core::ReasonCode::None)
      return Why;
  if (Value.m_Version <= Current.version())
    return Current;
  ConfigurationFields Next = Current.fields();
  Next.m_Version = Value.m_Version;
  Next.m_Operation = {};
  Next.m_Workspaces = Value.m_Workspaces;
  Next.m_Queues = Value.m_Queues;
  Next.m_Document = Value.m_Document;
  return Configuration::restore(std::move(Next));
}

} // namespace fireflydrift::configuration
