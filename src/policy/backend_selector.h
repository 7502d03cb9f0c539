/// Keeps the state of the backends and selects one for each attempt.
#ifndef LEMONCHUTE_POLICY_BACKEND_SELECTOR_H_
#define LEMONCHUTE_POLICY_BACKEND_SELECTOR_H_

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "policy/backend/backend.h"
#include "policy/in_flight_request.h"
#include "policy/random_source.h"
#include "policy/types.h"

namespace lemonchute::policy {

/// Attempts in flight and limits, summed over the backends that accept requests.
struct BackendLoad {
  double in_flight = 0;
  double limit = 0;
};

/// Owns the backends. A pointer to a Backend stays valid until the next endpoint list is applied.
class BackendSelector {
 public:
  /// Applies an endpoint list; one of kind kFailed is ignored.
  /// @param longest_service_time_s longest mean service time of a request class, for slow start.
  void ApplyEndpointList(EndpointListKind kind, const std::vector<Endpoint>& entries, double warm_up_s,
                         double longest_service_time_s, double now, RandomSource* random);
  /// Takes a backend offline for an operator, or brings it back. Applies to backends that are listed later,
  /// too.
  void SetOffline(uint32_t backend_id, bool offline, double longest_service_time_s, double now,
                  RandomSource* random);

  /// @return nullptr if the backend is unknown.
  Backend* Find(uint32_t backend_id);
  BackendLoad TotalLoad() const;
  /// @return the number of listed backends that are offline or ejected.
  int CountUnavailable(double now) const;
  /// Adds the zones and kinds that backends refer to.
  void AddIndicesInUse(SettingsIndices* in_use) const;

  /// Selects the backend with the lowest expected latency, based on its attempts in flight and its measured
  /// latency; backends in other zones cost more. A backend in slow start is preferred while it has budget:
  /// otherwise a fleet of gateways that each use only a few fast backends would never send it anything.
  /// @param process_count processes of this gateway.
  /// @return nullptr if no backend may take the attempt now.
  Backend* Select(const InFlightRequest& active, const Settings& settings, int process_count, double now,
                  RandomSource* random);
  /// Records work served by a warm backend. Ignored for one in slow start, whose load says nothing about warm
  /// ones.
  void RecordServed(const Backend& backend, double service_time_s, double now);

 private:
  /// Backends that accept requests, by state.
  struct BackendCounts {
    int ready = 0;
    int warm = 0;
    int ejected = 0;
  };
  BackendCounts CountReady(double now) const;

  std::vector<Backend> backends_;
  std::unordered_set<uint32_t> offline_backends_;  // by id; listed or not
  int warm_backends_ = 0;                          // as of the latest selection
  WarmBackendLoad warm_load_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BACKEND_SELECTOR_H_
