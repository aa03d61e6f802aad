// Helpers for h2o sockets.
#ifndef FIREFLYDRIFT_RUNTIME_SOCKETS_H
#define FIREFLYDRIFT_RUNTIME_SOCKETS_H

#include "runtime/h2o_api.h"
#include "runtime/loop.h"

namespace fireflydrift::runtime {

// Registers an open socket with the loop. The callback runs whenever a
// connection can be accepted or a datagram received. It must do that itself,
// and finds Data in the socket's data field.
[[nodiscard]] h2o_socket_t *watch(const Loop &EventLoop, int File, void *Data,
                                  h2o_socket_cb Callback);

// The address in text form; empty when it can't be converted.
[[nodiscard]] std::string numericHost(const sockaddr &Address,
                                      socklen_t Length);

// Disables Nagle's algorithm, so that small writes are sent at once.
void setNoDelay(h2o_socket_t *Socket);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_SOCKETS_H
