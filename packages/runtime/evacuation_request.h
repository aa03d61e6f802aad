// Carries out an operator's request to evacuate a failure domain, or to end its
// evacuation.
#ifndef FIREFLYDRIFT_RUNTIME_EVACUATION_REQUEST_H
#define FIREFLYDRIFT_RUNTIME_EVACUATION_REQUEST_H

#include "runtime/node.h"

namespace fireflydrift::runtime {

struct EvacuationRequest {
  std::string m_FailureDomain;
  bool m_Evacuate = true;
  // Whether the domain may be one in which the leader knows no target.
  bool m_AllowUnknown = false;

  friend bool operator==(const EvacuationRequest &,
                         const EvacuationRequest &) = default;
};

// Reads the domain's revision from the leader and then requests the change
// under it. Requests carry no number, and this VM repeats the operation until
// it is answered. The revision keeps a repeated operation from undoing a change
// that the operator made through another VM meanwhile; it then fails with
// Conflict. The reply is an EvacuationsView once the change is durable.
void requestEvacuation(Node &Local, EvacuationRequest Request,
                       Entry::ReplyCallback Callback);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_EVACUATION_REQUEST_H
