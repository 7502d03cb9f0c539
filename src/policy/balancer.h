/// The interface of the decision module: events in, actions out.
#ifndef LEMONCHUTE_POLICY_BALANCER_H_
#define LEMONCHUTE_POLICY_BALANCER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/types.h"

namespace lemonchute::policy {

/// One gateway's decisions: events in, actions out.
///
/// No I/O, threads or clocks: every call gets the time `now` in seconds, which never decreases, and appends
/// its actions in order to `out`. Not thread safe.
class Balancer {
 public:
  /// @param settings of the deployment and of this gateway.
  /// @param seed of the random numbers; the same seed and events give the same actions.
  Balancer(const Settings& settings, uint64_t seed, double now, Actions* out);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Discovery has reported endpoints, or has failed to.
  void OnEndpointList(double now, EndpointListKind kind, const std::vector<Endpoint>& entries, Actions* out);
  /// A request has arrived. It gets exactly one response: that of an attempt, a kReject or a kFail.
  void OnRequest(double now, const Request& request, Actions* out);
  /// The first byte of a streamed response has arrived.
  /// @param attempt index of the attempt that it belongs to, from 0; negative: unknown.
  void OnResponseStarted(double now, uint32_t request, int attempt, Actions* out);
  /// An attempt has ended.
  void OnAttemptOutcome(double now, const AttemptOutcome& outcome, Actions* out);
  /// The client has gone: no response is needed.
  void OnClientGone(double now, uint32_t request, Actions* out);
  /// A timer started for kStartTimer has expired.
  void OnTimer(double now, uint64_t tag, Actions* out);
  /// A call made for kCallCounter has ended.
  void OnCounterResponse(double now, const CounterResponse& response, Actions* out);
  /// An operator takes a backend offline, or brings it back. Being offline overrides the endpoint lists.
  void OnMaintenance(double now, uint32_t backend, bool offline, Actions* out);

  /// @return the indices that a change of settings must keep.
  SettingsIndices IndicesInUse() const;
  /// Allocates what OnSettings needs.
  /// @param settings entries that remain keep their index.
  /// @param renewed indices that are reused for another class or plan; their estimates are discarded.
  PreparedSettings PrepareSettings(const Settings& settings, const SettingsIndices& renewed) const;
  /// Switches to settings that PrepareSettings has returned.
  void OnSettings(double now, PreparedSettings&& prepared, Actions* out) noexcept;

  /// The clock that all gateways share, from which the names of counters derive, is `offset_s` ahead of
  /// `now`.
  void OnWallClock(double now, double offset_s);
  /// Sets how many processes of this gateway are alive. They count as one gateway, whose part of a quota they
  /// share.
  void OnProcessCount(double now, int processes, Actions* out);

  /// @return the number of listed backends that get no new requests because they are offline or ejected.
  int UnavailableBackends(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BALANCER_H_
