// The state of a gateway process between its start and its end.
#ifndef LEMONCHUTE_NET_PROCESS_STATE_H_
#define LEMONCHUTE_NET_PROCESS_STATE_H_

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>

namespace lemonchute::net {

/// Written by Lifecycle, read by the parts that depend on it.
struct ProcessState {
  using Clock = std::chrono::steady_clock;

  bool accepting = false;            // accepts connections of clients
  bool endpoint_list_known = false;  // discovery has answered or failed once
  bool draining = false;
  std::optional<Clock::time_point> shutdown_began_at;
  // When the last responses are sent, early enough for clients to read them before the process ends.
  std::optional<Clock::time_point> final_response_at;

  bool IsReady() const { return accepting && endpoint_list_known && !draining; }
  bool IsShuttingDown() const { return shutdown_began_at.has_value(); }

  /// @return the longest time in seconds that a request that arrives now may take.
  double RemainingLifetimeS() const {
    if (!final_response_at) return std::numeric_limits<double>::infinity();
    return std::max(0.0, std::chrono::duration<double>(*final_response_at - Clock::now()).count());
  }
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_PROCESS_STATE_H_
