// Shared by the files that apply commands to the state. Each command has an
// applyOne overload; those declared here are for the commands that concern
// workflows. Internal to this package.
#ifndef FIREFLYDRIFT_CONTROL_APPLY_H
#define FIREFLYDRIFT_CONTROL_APPLY_H

#include "control/state.h"

namespace fireflydrift::control::impl {

// The state and the result so far while a batch is applied.
struct ApplyContext {
  ApplyResult m_Result;

  Tables &tables() { return m_Result.m_State.m_Tables; }
  Indexes &indexes() { return m_Result.m_State.m_Indexes; }
  [[nodiscard]] core::Time now() const {
    return m_Result.m_State.m_Tables.m_LastBatchAt;
  }
};

[[nodiscard]] core::Reason applyOne(ApplyContext &W,
                                    const AcceptWorkflow &Value);
[[nodiscard]] core::Reason applyOne(ApplyContext &W,
                                    const CancelWorkflow &Value);
[[nodiscard]] core::Reason applyOne(ApplyContext &W, const AssignTasks &Value);
[[nodiscard]] core::Reason applyOne(ApplyContext &W, const EndRun &Value);

void addToIndexes(Indexes &Index, const workflow::Workflow &Value);
// Removes finished workflows whose retention period is over, and the oldest
// ones beyond the limit on their number.
void expireWorkflows(ApplyContext &W);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_APPLY_H
