// The minimum rate that a client has to keep while it uploads.
#ifndef LEMONCHUTE_NET_UPLOAD_RATE_H_
#define LEMONCHUTE_NET_UPLOAD_RATE_H_

#include <chrono>
#include <cstddef>

#include "net/steady_clock.h"

namespace lemonchute::net {

/// Watches one upload. While pieces are requested, the client must not stop, and must send a minimum of bytes
/// in each window. While the backend accepts none, it may pause.
class UploadRate {
 public:
  /// Length of a window, and the longest time without a byte.
  static constexpr auto kWindow = std::chrono::milliseconds(2500);
  static constexpr size_t kMinWindowBytes = 16 * 1024;

  /// @param requested whether a piece is requested now
  void Begin(Clock::time_point now, bool requested) {
    window_bytes_ = 0;
    window_end_ = now + kWindow;
    requested_at_begin_ = requested;
  }
  void OnBytes(Clock::time_point now, size_t size) {
    window_bytes_ += size;
    last_progress_at_ = now;
  }
  void OnRequested(Clock::time_point now) { last_progress_at_ = now; }

  /// Begins the next window if the current one is over.
  /// @return whether the client is too slow
  bool Check(Clock::time_point now, bool requested) {
    if (requested && now >= last_progress_at_ + kWindow) return true;
    if (now < window_end_) return false;
    if (requested_at_begin_ && requested && window_bytes_ < kMinWindowBytes) return true;
    Begin(now, requested);
    return false;
  }

 private:
  size_t window_bytes_ = 0;
  Clock::time_point window_end_;
  bool requested_at_begin_ = false;
  Clock::time_point last_progress_at_;  // when a piece was requested, or the latest bytes arrived
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_UPLOAD_RATE_H_
