#include "workflow/spec.h"

#include <algorithm>

namespace fireflydrift::workflow {

static core::Reason invalid(std::size_t Step, const char *Field,
                            const char *Message) {
  return {core::ReasonCode::InvalidInput,
          "steps." + std::to_string(Step) + "." + Field, Message};
}

static core::Reason checkStep(const StepSpec &Value, std::size_t Number) {
  if (Value.m_Tasks == 0 || Value.m_Tasks > MaxTasksPerStep)
    return invalid(Number, "tasks", "must be 1 to 4096");
  const core::Capacity &Each = Value.m_PerTask;
  if (Each.m_Accelerators < 0 || Each.m_Processors < 0 || Each.m_MemoryMb < 0)
    return invalid(Number, "per_task", "must not be negative");
  if (Value.m_RunTime < core::Duration::zero())
    return invalid(Number, "run_time_ms", "must not be negative");
  for (std::uint32_t Dependency : Value.m_Dependencies)
    if (Dependency >= Number)
      return invalid(Number, "after", "must refer to earlier steps");
  return {};
}

core::Reason check(const WorkflowSpec &Spec) {
  if (!core::isValidId(Spec.m_Id.text()))
    return {core::ReasonCode::InvalidInput, "id", "must be a valid identifier"};
  if (Spec.m_Body.size() > MaxBodyBytes)
    return {core::ReasonCode::TooLarge, "body", "must be at most 262144 bytes"};
  if (Spec.m_Steps.empty() || Spec.m_Steps.size() > MaxSteps)
    return {core::ReasonCode::InvalidInput, "steps", "must be 1 to 256"};
  for (std::size_t I = 0; I < Spec.m_Steps.size(); ++I) {
    core::Reason Reason = checkStep(Spec.m_Steps[I], I);
    if (Reason.m_Code != core::ReasonCode::None)
      return Reason;
  }
  return {};
}

core::Duration criticalPathTime(const WorkflowSpec &Spec) {
  std::vector<core::Duration> Ends;
  core::Duration Longest{0};
  for (const StepSpec &Each : Spec.m_Steps) {
    core::Duration Start{0};
    for (std::uint32_t Dependency : Each.m_Dependencies)
      Start = std::max(Start, Ends[Dependency]);
    Ends.push_back(Start + Each.m_RunTime);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

} // namespace fireflydrift::workflow
