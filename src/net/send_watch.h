// Whether the peer of a socket takes what is sent to it.
#ifndef LEMONCHUTE_NET_SEND_WATCH_H_
#define LEMONCHUTE_NET_SEND_WATCH_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "net/peer_rate.h"
#include "net/send_progress.h"
#include "net/socket_io.h"
#include "net/steady_clock.h"

namespace lemonchute::net {

/// How often SendWatch::IsTooSlow is to be asked while a write waits.
inline constexpr auto kSendCheckInterval = std::chrono::milliseconds(500);

/// Watches one message on a socket. The peer has to take it at the rate of PeerRate while a write waits for
/// the socket; other time isn't counted. What was written before and still waits in the send buffer is taken
/// first and counts as well.
///
/// Order of calls: Reset before the message, then Resume and Pause around each write that waits, with
/// IsTooSlow now and then in between.
class SendWatch {
 public:
  void Reset() { begun_ = false; }
  /// A write waits for the socket from now on.
  void Resume(tcp::socket& socket, Clock::time_point now);
  /// No write waits any more.
  void Pause(Clock::time_point now) {
    if (!paused_at_) paused_at_ = now;
  }
  /// @return whether bytes wait for the peer and it has taken them too slowly. If it takes nothing, it is too
  ///     slow after 10 s; if it has a large receive buffer, up to 33 s later, since it takes from a full one
  ///     unseen.
  bool IsTooSlow(tcp::socket& socket, Clock::time_point now);

  /// @return the bytes that the peer had taken since the first Resume when it was looked at last
  uint64_t taken_bytes() const { return progress_.acknowledged_bytes - acknowledged_at_begin_; }
  /// @return the bytes that waited for the peer when it was looked at last
  uint64_t waiting_bytes() const { return progress_.waiting_bytes; }

 private:
  Clock::duration MaxCredit() const;

  bool begun_ = false;  // Resume was called for this message
  PeerRate rate_;
  SendProgress progress_;  // when it was read last
  uint64_t acknowledged_at_begin_ = 0;
  std::optional<Clock::time_point> paused_at_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SEND_WATCH_H_
