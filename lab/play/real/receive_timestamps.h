// Reads from a socket with the moment at which the kernel took the bytes, so that what others did late can be
// told from what this program was late to read.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_RECEIVE_TIMESTAMPS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_RECEIVE_TIMESTAMPS_H_

#include <sys/socket.h>
#include <sys/types.h>

#include <boost/asio/detail/socket_option.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

namespace lemonchute::lab {

// The option of a socket; those that a listener accepts have it from their listener.
using ReceiveTimestamps = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_TIMESTAMPNS>;

struct Received {
  using Clock = std::chrono::steady_clock;
  ssize_t size = 0;  // 0: the other side has ended its sending; negative: `error`
  int error = 0;
  std::optional<Clock::time_point> arrived_at;  // of the newest of the bytes; none where the kernel can't say
  // Nothing is there yet.
  bool WouldBlock() const;
};

// As recv(2), without waiting. `flags` as there.
Received Receive(int socket, void* to, size_t size, int flags = 0);
// When the oldest byte that waits came, or now for the end of the connection; none: nothing waits.
std::optional<Received::Clock::time_point> WaitingSince(int socket);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_RECEIVE_TIMESTAMPS_H_
