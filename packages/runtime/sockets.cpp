#include "runtime/sockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fireflydrift::runtime {

h2o_socket_t *watch(const Loop &EventLoop, int File, void *Data,
                    h2o_socket_cb Callback) {
  h2o_socket_t *Socket = h2o_evloop_socket_create(EventLoop.raw(), File,
                                                  H2O_SOCKET_FLAG_DONT_READ);
  Socket->data = Data;
  h2o_socket_read_start(Socket, Callback);
  return Socket;
}

void setNoDelay(h2o_socket_t *Socket) {
  int Enable = 1;
  setsockopt(h2o_socket_get_fd(Socket), IPPROTO_TCP, TCP_NODELAY, &Enable,
             sizeof(Enable));
}

} // namespace fireflydrift::runtime
