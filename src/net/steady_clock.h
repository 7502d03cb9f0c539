// The monotonic clock of the network code.
#ifndef LEMONCHUTE_NET_STEADY_CLOCK_H_
#define LEMONCHUTE_NET_STEADY_CLOCK_H_

#include <chrono>

namespace lemonchute::net {

using Clock = std::chrono::steady_clock;

/// Converts seconds to the duration type of the clock.
inline Clock::duration Seconds(double duration_s) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(duration_s));
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_STEADY_CLOCK_H_
