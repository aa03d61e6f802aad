// What the users of h2o's sockets have in common.
#ifndef FIREFLYDRIFT_RUNTIME_SOCKETS_H
#define FIREFLYDRIFT_RUNTIME_SOCKETS_H

#include "runtime/h2o_api.h"
#include "runtime/loop.h"

namespace fireflydrift::runtime {

// Lets the loop call back whenever the open socket has something to take: a
// connection or a datagram. The callback finds Data on the socket and takes it
// itself.
[[nodiscard]] h2o_socket_t *watch(const Loop &On, int File, void *Data,
                                  h2o_socket_cb Callback);

// Sends what is written at once, however small it is.
void setNoDelay(h2o_socket_t *Socket);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_SOCKETS_H
