// Forward declarations of the workspace aggregate's types.
#ifndef FIREFLYDRIFT_WORKSPACE_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_WORKSPACE_FORWARD_DECLARATIONS_H

namespace fireflydrift::workspace {

class Workspace;
struct Guarantee;
struct WorkspaceSpec;

} // namespace fireflydrift::workspace

#endif // FIREFLYDRIFT_WORKSPACE_FORWARD_DECLARATIONS_H
