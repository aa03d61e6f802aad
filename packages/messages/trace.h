// Recorded traces as JSON.
#ifndef FIREFLYDRIFT_MESSAGES_TRACE_H
#define FIREFLYDRIFT_MESSAGES_TRACE_H

#include "control/replay.h"

namespace fireflydrift::messages {

// Reads a trace. Jobs and targets that repeat are written once with a count.
// Fails with InvalidInput naming the field.
[[nodiscard]] core::Outcome<control::Trace>
decodeTrace(const std::string &Text);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_TRACE_H
