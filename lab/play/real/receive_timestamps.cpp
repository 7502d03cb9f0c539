#include "play/real/receive_timestamps.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>

namespace lemonchute::lab {
namespace {

// The kernel stamps by the wall clock.
Received::Clock::time_point FromWallClock(const timespec& stamp) {
  auto at = std::chrono::seconds(stamp.tv_sec) + std::chrono::nanoseconds(stamp.tv_nsec);
  auto ago = std::chrono::system_clock::now().time_since_epoch() - at;
  return Received::Clock::now() - std::max<std::chrono::nanoseconds>(ago, std::chrono::nanoseconds(0));
}

}  // namespace

bool Received::WouldBlock() const {
  return size < 0 && (error == EAGAIN || error == EWOULDBLOCK || error == EINTR);
}

Received Receive(int socket, void* to, size_t size, int flags) {
  iovec part{to, size};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(timespec))];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof(control);
  Received received;
  received.size = recvmsg(socket, &message, flags | MSG_DONTWAIT);
  received.error = errno;
  if (received.size <= 0) return received;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec stamp{};
    std::memcpy(&stamp, CMSG_DATA(header), sizeof(stamp));
    received.arrived_at = FromWallClock(stamp);
  }
  return received;
}

std::optional<Received::Clock::time_point> WaitingSince(int socket) {
  char byte = 0;
  Received received = Receive(socket, &byte, 1, MSG_PEEK);
  if (received.WouldBlock()) return std::nullopt;
  return received.arrived_at.value_or(Received::Clock::now());
}

}  // namespace lemonchute::lab
