// The workspace aggregate: its quota, its guaranteed shapes and its borrowing
// limit.
#ifndef FIREFLYDRIFT_WORKSPACE_WORKSPACE_H
#define FIREFLYDRIFT_WORKSPACE_WORKSPACE_H

#include "core/ids.h"
#include "core/labels.h"
#include "core/outcome.h"
#include "core/shape.h"
#include "core/time.h"

#include <string>
#include <vector>

namespace fireflydrift::workspace {

// Maximum number of guaranteed shapes of one workspace.
inline constexpr std::size_t MaxGuarantees = 16;
// Maximum scheduling weight of a workspace.
inline constexpr std::uint32_t MaxWeight = 1000;

// A shape that the workspace can claim at any time, on targets that match the
// selector, within m_ReclaimWithin of requesting it.
struct Guarantee {
  std::string m_Name;
  core::Shape m_Shape;
  core::Selector m_Selector;
  core::Duration m_ReclaimWithin{30000};

  friend bool operator==(const Guarantee &, const Guarantee &) = default;
  friend auto operator<=>(const Guarantee &, const Guarantee &) = default;
};

// The settings of a workspace, as given by an operator.
struct WorkspaceSpec {
  core::WorkspaceId m_Id;
  // Accelerators that the workspace may use without borrowing.
  std::int64_t m_Quota = 0;
  // Accelerators beyond the quota that it may borrow while they are idle.
  std::int64_t m_MayBorrow = 0;
  // Scheduling weight relative to other workspaces.
  std::uint32_t m_Weight = 1;
  std::vector<Guarantee> m_Guarantees;
  // Accelerators assured to its workflows of priority zero: those within this
  // amount go before all others and are not preempted.
  std::int64_t m_ReservedAccelerators = 0;
  // API keys that its callers may use.
  std::vector<std::string> m_Keys;

  friend bool operator==(const WorkspaceSpec &,
                         const WorkspaceSpec &) = default;
  friend auto operator<=>(const WorkspaceSpec &,
                          const WorkspaceSpec &) = default;
};

// How a request for more accelerators compares with the quota and the borrowing
// limit.
enum class QuotaStatus : std::uint8_t { WithinQuota, Borrowing, Exceeded };

// A workspace with validated settings.
class Workspace {
public:
  // Fails with InvalidInput, naming the field and the rule that it violates.
  [[nodiscard]] static core::Outcome<Workspace> create(WorkspaceSpec Spec);

  [[nodiscard]] const WorkspaceSpec &spec() const noexcept { return m_Spec; }
  [[nodiscard]] const core::WorkspaceId &id() const noexcept {
    return m_Spec.m_Id;
  }
  // Returns the total accelerators of all guaranteed shapes.
  [[nodiscard]] std::int64_t guaranteedAccelerators() const noexcept;
  // Returns the status with Used plus More accelerators in use.
  [[nodiscard]] QuotaStatus quotaStatus(std::int64_t Used,
                                        std::int64_t More) const noexcept;

  friend bool operator==(const Workspace &, const Workspace &) = default;

private:
  explicit Workspace(WorkspaceSpec Spec) noexcept : m_Spec(std::move(Spec)) {}

  WorkspaceSpec m_Spec;
};

} // namespace fireflydrift::workspace

#endif // FIREFLYDRIFT_WORKSPACE_WORKSPACE_H
