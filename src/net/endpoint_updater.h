// Applies the endpoint lists of service discovery to the backend pool and the policy.
#ifndef LEMONCHUTE_NET_ENDPOINT_UPDATER_H_
#define LEMONCHUTE_NET_ENDPOINT_UPDATER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "net/backend_pool.h"
#include "net/clock.h"
#include "net/discovery_client.h"
#include "net/policy_dispatcher.h"
#include "net/start_times.h"

namespace lemonchute::net {

/// Applies lists and tracks which backends are listed. The objects given to the constructor must outlive this
/// one.
class EndpointUpdater {
 public:
  EndpointUpdater(GatewayClock& clock, BackendPool& pool, PolicyDispatcher& policy, Metrics& metrics);

  /// Applies a list from discovery, or the list that was cached before the start.
  void OnList(const BackendList& list, policy::EndpointListKind kind);
  /// A call to discovery failed: the last known list stays in use.
  void OnDiscoveryFailed();

  /// @return the number of backends that discovery has listed and not removed.
  size_t listed_backends() const { return listed_.size(); }

 private:
  void HandleWallClockStep();
  std::vector<policy::Endpoint> WithMonotonicStartTimes(const BackendList& list);
  void UpdatePool(const BackendList& list);
  void ReplaceListed(const BackendList& list);
  void UpdateListed(const BackendList& list);

  GatewayClock& clock_;
  BackendPool& pool_;
  PolicyDispatcher& policy_;
  Metrics& metrics_;
  StartTimes start_times_;
  std::vector<uint32_t> listed_;  // ids of the backends that discovery has listed and not removed
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ENDPOINT_UPDATER_H_
