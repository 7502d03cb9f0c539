#include "net/send_watch.h"

#include <algorithm>
#include <chrono>

namespace lemonchute::net {
namespace {

// How long a peer may take nothing.
constexpr auto kMaxSilence = std::chrono::seconds(10);
// A receiver whose buffer was full acknowledges nothing until a part of the buffer is free (RFC 9293,
// 3.8.6.2.2): on Linux a sixteenth of it.
constexpr uint64_t kReceiveBufferDivisor = 16;
// The largest default limit of a receive buffer on Linux (tcp(7), tcp_rmem).
constexpr uint64_t kMaxReceiveBufferBytes = uint64_t{32} << 20;

}  // namespace

// The peer's buffer can't be larger than all that it has acknowledged, or it would not be full.
Clock::duration SendWatch::MaxCredit() const {
  uint64_t buffer_bytes = std::min(progress_.acknowledged_bytes, kMaxReceiveBufferBytes);
  return kMaxSilence + Seconds(static_cast<double>(buffer_bytes / kReceiveBufferDivisor) / kMinPeerBytesPerS);
}

void SendWatch::Resume(tcp::socket& socket, Clock::time_point now) {
  if (begun_) {
    if (paused_at_) rate_.Skip(now - *paused_at_);
    paused_at_.reset();
    return;
  }
  begun_ = true;
  paused_at_.reset();
  progress_ = ReadSendProgress(socket.native_handle());
  acknowledged_at_begin_ = progress_.acknowledged_bytes;
  rate_.Reset(now + MaxCredit());
}

bool SendWatch::IsTooSlow(tcp::socket& socket, Clock::time_point now) {
  uint64_t acknowledged_before = progress_.acknowledged_bytes;
  progress_ = ReadSendProgress(socket.native_handle());
  rate_.OnBytes(progress_.acknowledged_bytes - acknowledged_before);
  rate_.LimitTo(now + MaxCredit());
  return progress_.waiting_bytes > 0 && now >= rate_.covered_until();
}

}  // namespace lemonchute::net
