// JSON decoding of recorded traces.
#ifndef FIREFLYDRIFT_MESSAGES_TRACE_H
#define FIREFLYDRIFT_MESSAGES_TRACE_H

#include "control/replay.h"

namespace fireflydrift::messages {

// Decodes a trace. Repeated jobs, cancellations and targets are written once
// with a count. Fails with a reason that names the invalid field.
[[nodiscard]] core::Outcome<control::Trace>
decodeTrace(const std::string &Text);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_TRACE_H
