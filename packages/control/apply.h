// How commands are applied, one function for each. Shared by the source files
// of this package; not for use outside it.
#ifndef FIREFLYDRIFT_CONTROL_APPLY_H
#define FIREFLYDRIFT_CONTROL_APPLY_H

#include "control/state.h"

namespace fireflydrift::control::impl {

// The working state while a batch is applied.
struct Work {
  ApplyResult m_Out;

  Tables &tables() { return m_Out.m_State.m_Tables; }
  Indexes &indexes() { return m_Out.m_State.m_Indexes; }
  [[nodiscard]] core::Time now() const {
    return m_Out.m_State.m_Tables.m_LastBatchAt;
  }
};

[[nodiscard]] core::Reason applyOne(Work &W, const AcceptWorkflow &Value);
[[nodiscard]] core::Reason applyOne(Work &W, const CancelWorkflow &Value);
[[nodiscard]] core::Reason applyOne(Work &W, const AssignTasks &Value);
[[nodiscard]] core::Reason applyOne(Work &W, const EndRun &Value);

void addToIndexes(Indexes &Into, const workflow::Workflow &Value);
// Forgets finished workflows whose retention is over.
void expireWorkflows(Work &W);

} // namespace fireflydrift::control::impl

#endif // FIREFLYDRIFT_CONTROL_APPLY_H
