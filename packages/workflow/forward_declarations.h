// Forward declarations of the workflow aggregate's types.
#ifndef FIREFLYDRIFT_WORKFLOW_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_WORKFLOW_FORWARD_DECLARATIONS_H

namespace fireflydrift::workflow {

class Workflow;
struct StepSpec;
struct Task;
struct TaskKey;
struct WorkflowSpec;

} // namespace fireflydrift::workflow

#endif // FIREFLYDRIFT_WORKFLOW_FORWARD_DECLARATIONS_H
