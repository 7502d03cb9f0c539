#include "net/send_progress.h"

// The kernel's header, as that of the C library lacks the newer fields. The two can't be included together.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lemonchute::net {

SendProgress ReadSendProgress(int socket) {
  SendProgress progress;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
    progress.acknowledged_bytes = info.tcpi_bytes_acked;
  int waiting_bytes = 0;
  if (ioctl(socket, SIOCOUTQ, &waiting_bytes) == 0 && waiting_bytes > 0)
    progress.waiting_bytes = static_cast<uint64_t>(waiting_bytes);
  return progress;
}

}  // namespace lemonchute::net
