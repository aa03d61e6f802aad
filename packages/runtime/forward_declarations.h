// Forward declarations of the runtime types.
#ifndef FIREFLYDRIFT_RUNTIME_FORWARD_DECLARATIONS_H
#define FIREFLYDRIFT_RUNTIME_FORWARD_DECLARATIONS_H

namespace fireflydrift::runtime {

class ConnectionMemory;
class Counters;
class HttpClient;
class HttpServer;
class Journal;
class Links;
class Loop;
class Node;
struct Settings;

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_FORWARD_DECLARATIONS_H
