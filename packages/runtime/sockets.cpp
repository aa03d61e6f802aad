#include "runtime/sockets.h"

#include <netdb.h>
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

std::string numericHost(const sockaddr &Address, socklen_t Length) {
  char Text[NI_MAXHOST];
  // h2o does not change the address.
  std::size_t Size =
      h2o_socket_getnumerichost(const_cast<sockaddr *>(&Address), Length, Text);
  return Size == SIZE_MAX ? std::string() : std::string(Text, Size);
}

void setNoDelay(h2o_socket_t *Socket) {
  int Enable = 1;
  setsockopt(h2o_socket_get_fd(Socket), IPPROTO_TCP, TCP_NODELAY, &Enable,
             sizeof(Enable));
}

} // namespace fireflydrift::runtime
