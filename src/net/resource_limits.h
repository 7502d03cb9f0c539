// Divides the gateway's descriptors and memory among clients, backends and its processes.
#ifndef LEMONCHUTE_NET_RESOURCE_LIMITS_H_
#define LEMONCHUTE_NET_RESOURCE_LIMITS_H_

#include <algorithm>
#include <cstddef>

#include "net/config.h"

namespace lemonchute::net {

struct ResourceLimits {
  size_t client_connections = 0;
  size_t backend_connections = 0;
  size_t memory_bytes = 0;  // resident
  size_t body_bytes = 0;    // for request bodies, and as much again for response bodies
};

/// The limits are per gateway: processes that run side by side share them equally.
/// @param process_count how many processes of this gateway are alive, 1 or 2.
inline ResourceLimits ComputeResourceLimits(const Config& config, int process_count) {
  // For the log, epoll, the timer, the listener, the counter and discovery.
  constexpr int kReservedDescriptors = 48;
  constexpr double kClientShare = 0.6;  // of the descriptors that are not reserved
  constexpr double kMinConnections = 8;
  constexpr size_t kBodyDivisor = 8;  // of the memory
  int descriptors = config.max_descriptors / process_count - kReservedDescriptors;
  size_t memory_bytes = static_cast<size_t>(config.memory_mb) << 20;
  ResourceLimits limits;
  limits.client_connections = static_cast<size_t>(std::max(kMinConnections, descriptors * kClientShare));
  limits.backend_connections =
      static_cast<size_t>(std::max(kMinConnections, descriptors * (1 - kClientShare)));
  limits.memory_bytes = memory_bytes / static_cast<size_t>(process_count);
  limits.body_bytes = limits.memory_bytes / kBodyDivisor;
  return limits;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_RESOURCE_LIMITS_H_
