// The rate at which a peer has to give or take the bytes of a message.
#ifndef LEMONCHUTE_NET_PEER_RATE_H_
#define LEMONCHUTE_NET_PEER_RATE_H_

#include <algorithm>
#include <cstdint>

#include "net/steady_clock.h"

namespace lemonchute::net {

/// The rate of the slowest peers that are served, in bytes per second (LATER, Less room).
inline constexpr double kMinPeerBytesPerS = 64000;

/// Judges a peer by the bytes that it gives or takes. Each byte covers the time that it takes at
/// kMinPeerBytesPerS; the peer keeps up until what it has covered is over, however it spreads its bytes.
class PeerRate {
 public:
  Clock::time_point covered_until() const { return covered_until_; }

  /// Counts no time before `from` that the peer has not covered.
  void CoverUntil(Clock::time_point from) { covered_until_ = std::max(covered_until_, from); }
  void OnBytes(uint64_t size) { covered_until_ += Seconds(static_cast<double>(size) / kMinPeerBytesPerS); }
  /// Limits how far ahead the peer can get.
  void LimitTo(Clock::time_point latest) { covered_until_ = std::min(covered_until_, latest); }
  /// Counts `time`, in which the peer had nothing to do, as covered.
  void Skip(Clock::duration time) { covered_until_ += time; }
  void Reset(Clock::time_point covered_until) { covered_until_ = covered_until; }

 private:
  Clock::time_point covered_until_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_PEER_RATE_H_
