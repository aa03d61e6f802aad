#include "placement/fleet.h"

#include <algorithm>

namespace fireflydrift::placement {

const TargetUsage *Fleet::find(const core::TargetId &Id) const {
  auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

static std::int64_t
lookUp(const std::map<core::WorkspaceId, std::int64_t> &Used,
       const core::WorkspaceId &Id) {
  auto Found = Used.find(Id);
  return Found == Used.end() ? 0 : Found->second;
}

static void add(std::map<core::WorkspaceId, std::int64_t> &Used,
                const core::WorkspaceId &Id, std::int64_t More) {
  std::int64_t &Sum = Used[Id];
  Sum += More;
  if (Sum == 0)
    Used.erase(Id);
}

std::int64_t Fleet::used(const core::WorkspaceId &Id) const {
  return lookUp(m_Used, Id);
}

std::int64_t Fleet::usedNonReclaimable(const core::WorkspaceId &Id) const {
  return lookUp(m_UsedNonReclaimable, Id);
}

std::int64_t Fleet::freeAccelerators() const noexcept {
  std::int64_t Free = 0;
  for (const auto &[Id, Value] : m_Targets)
    if (Value.m_Target.presence() == target::Presence::Active &&
        !Value.m_Evacuated)
      Free += std::max<std::int64_t>(Value.free().m_Accelerators, 0);
  return Free;
}

Fleet Fleet::withTarget(const target::Target &Value) && {
  auto Found =
      m_Targets.try_emplace(Value.id(), TargetUsage{.m_Target = Value}).first;
  Found->second.m_Target = Value;
  Found->second.m_Evacuated =
      m_Evacuations.isEvacuated(Value.announcement().m_FailureDomain);
  return std::move(*this);
}

Fleet Fleet::withEvacuations(evacuation::Evacuations Value) && {
  m_Evacuations = std::move(Value);
  for (auto &[Id, Each] : m_Targets)
    Each.m_Evacuated =
        m_Evacuations.isEvacuated(Each.m_Target.announcement().m_FailureDomain);
  return std::move(*this);
}

Fleet Fleet::withoutTarget(const core::TargetId &Id) && {
  m_Targets.erase(Id);
  return std::move(*this);
}

std::map<core::TargetId, std::uint32_t>
tasksByTarget(const std::vector<core::TargetId> &Targets) {
  std::map<core::TargetId, std::uint32_t> Tasks;
  for (const core::TargetId &Id : Targets)
    ++Tasks[Id];
  return Tasks;
}

std::vector<core::TargetId> targetsOf(const job::Job &Value) {
  std::vector<core::TargetId> Targets;
  for (const job::GangMember &Each : Value.fields().m_Members)
    Targets.push_back(Each.m_Target);
  return Targets;
}

Fleet Fleet::withAllocated(const job::Job &Value, core::Time ExpectedEnd) && {
  const core::Shape &Shape = Value.spec().m_Shape;
  for (const auto &[Id, Tasks] : tasksByTarget(targetsOf(Value))) {
    auto Found = m_Targets.find(Id);
    if (Found == m_Targets.end())
      continue;
    core::Capacity Amount = Shape.m_PerTask * Tasks;
    Found->second.m_Used = Found->second.m_Used + Amount;
    Found->second.m_Allocations.push_back(
        {.m_Job = Value.key(),
         .m_Capacity = Amount,
         .m_Reclaimable = Value.isReclaimable(),
         .m_Stopping = Value.phase() == job::Phase::Stopping,
         .m_Checkpoints =
             Value.spec().m_Labels.find(job::CheckpointLabel) != nullptr,
         .m_ReclaimCount = Value.fields().m_ReclaimCount,
         .m_StartedAt = Value.fields().m_StartedAt,
         .m_ExpectedEnd = ExpectedEnd});
  }
  std::int64_t More = Shape.total().m_Accelerators;
  add(m_Used, Value.key().m_Workspace, More);
  if (!Value.isReclaimable())
    add(m_UsedNonReclaimable, Value.key().m_Workspace, More);
  return std::move(*this);
}

Fleet Fleet::withReleased(const job::Job &Value) && {
  const core::Shape &Shape = Value.spec().m_Shape;
  for (const auto &[Id, Tasks] : tasksByTarget(targetsOf(Value))) {
    auto Found = m_Targets.find(Id);
    if (Found == m_Targets.end())
      continue;
    Found->second.m_Used = Found->second.m_Used - Shape.m_PerTask * Tasks;
    std::erase_if(Found->second.m_Allocations, [&](const JobAllocation &Each) {
      return Each.m_Job == Value.key();
    });
  }
  std::int64_t Less = -Shape.total().m_Accelerators;
  add(m_Used, Value.key().m_Workspace, Less);
  if (!Value.isReclaimable())
    add(m_UsedNonReclaimable, Value.key().m_Workspace, Less);
  return std::move(*this);
}

} // namespace fireflydrift::placement
