// What the peer of a TCP connection has taken of the bytes that were sent to it.
#ifndef LEMONCHUTE_NET_SEND_PROGRESS_H_
#define LEMONCHUTE_NET_SEND_PROGRESS_H_

#include <cstdint>

namespace lemonchute::net {

/// A snapshot of the sending direction of a TCP socket, as the kernel sees it. Whether the socket
/// is writable says little about the peer: it is so only while a third of its send buffer, which grows to
/// megabytes, is free.
struct SendProgress {
  uint64_t acknowledged_bytes = 0;  ///< Taken by the peer's system since the connection was opened.
  uint64_t waiting_bytes = 0;       ///< In the send buffer: not acknowledged, whether sent or not.
};

/// @param socket descriptor of a connected TCP socket
/// @return zeros if the kernel can't tell
SendProgress ReadSendProgress(int socket);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SEND_PROGRESS_H_
