// Forward declarations of the message types.
#ifndef FIREFLYDRIFT_MESSAGES_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_MESSAGES_FORWARD_DECLARATIONS_H

namespace fireflydrift::messages {

struct Envelope;
struct JournalRecord;

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_FORWARD_DECLARATIONS_H
