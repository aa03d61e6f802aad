#include "workspace/workspace.h"

#include <numeric>
#include <set>

namespace fireflydrift::workspace {

static core::Reason invalid(std::string Field, std::string Rule) {
  return {.m_Code = core::ReasonCode::InvalidInput,
          .m_Field = std::move(Field),
          .m_Message = std::move(Rule)};
}

static core::Reason checkGuarantee(const Guarantee &Value) {
  const core::Shape &Shape = Value.m_Shape;
  if (!core::isValidId(Value.m_Name))
    return invalid("guarantees.name", "must be a valid identifier");
  if (Shape.m_Tasks == 0 || Shape.m_Tasks > core::MaxGangTasks)
    return invalid("guarantees.tasks", "must be 1 to 64");
  if (Shape.m_PerTask.m_Accelerators <= 0)
    return invalid("guarantees.accelerators", "must be positive");
  if (Shape.m_PerTask.m_Processors < 0 || Shape.m_PerTask.m_MemoryMb < 0)
    return invalid("guarantees", "capacity must not be negative");
  if (Value.m_ReclaimWithin <= core::Duration::zero())
    return invalid("guarantees.reclaim_within_ms", "must be positive");
  return {};
}

core::Outcome<Workspace> Workspace::create(WorkspaceSpec Spec) {
  if (!core::isValidId(Spec.m_Id.text()))
    return invalid("workspace", "must be a valid identifier");
  if (Spec.m_Quota < 0 || Spec.m_MayBorrow < 0)
    return invalid("quota", "must not be negative");
  if (Spec.m_ReservedAccelerators < 0)
    return invalid("reserved_accelerators", "must not be negative");
  if (Spec.m_Weight == 0 || Spec.m_Weight > MaxWeight)
    return invalid("weight", "must be 1 to 1000");
  if (Spec.m_Guarantees.size() > MaxGuarantees)
    return invalid("guarantees", "at most 16 in a workspace");
  std::set<std::string> Names;
  for (const Guarantee &Value : Spec.m_Guarantees) {
    core::Reason Why = checkGuarantee(Value);
    if (Why.m_Code != core::ReasonCode::None)
      return Why;
    if (!Names.insert(Value.m_Name).second)
      return invalid("guarantees.name",
                     "'" + Value.m_Name + "' is listed twice");
  }
  Workspace Created(std::move(Spec));
  if (Created.guaranteedAccelerators() > Created.spec().m_Quota)
    return invalid("quota", "must cover the guaranteed shapes");
  return Created;
}

std::int64_t Workspace::guaranteedAccelerators() const noexcept {
  return std::accumulate(m_Spec.m_Guarantees.begin(), m_Spec.m_Guarantees.end(),
                         std::int64_t{0},
                         [](std::int64_t Sum, const Guarantee &Value) {
                           return Sum + Value.m_Shape.total().m_Accelerators;
                         });
}

QuotaStatus Workspace::quotaStatus(std::int64_t Used,
                                   std::int64_t More) const noexcept {
  if (Used + More <= m_Spec.m_Quota)
    return QuotaStatus::WithinQuota;
  if (Used + More <= m_Spec.m_Quota + m_Spec.m_MayBorrow)
    return QuotaStatus::Borrowing;
  return QuotaStatus::Exceeded;
}

} // namespace fireflydrift::workspace
