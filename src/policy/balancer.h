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
/// No I/O, threads or clocks: every call gets the clock `now` in seconds, which never runs backwards, and
/// appends its actions in order to `out`. Not thread safe.
class Balancer {
 public:
  /// @param settings the site and this gateway.
  /// @param seed of the random draws; the same seed and events give the same actions.
  Balancer(const Settings& settings, uint64_t seed, double now, Actions* out);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Discovery has reported endpoints, or has failed to.
  void OnEndpointList(double now, EndpointListKind kind, const std::vector<Endpoint>& entries, Actions* out);
  /// A request has arrived. It ends in exactly one response: of an attempt, a kReject or a kFail.
  void OnRequest(double now, const Request& request, Actions* out);
  /// The first byte of a streamed response has arrived.
  /// @param attempt index of the attempt that it belongs to, from 0; negative: unknown.
  void OnResponseStarted(double now, uint32_t request, int attempt, Actions* out);
  /// An attempt has ended.
  void OnAttemptOutcome(double now, const AttemptOutcome& outcome, Actions* out);
  /// The client has gone: no response is needed.
  void OnClientGone(double now, uint32_t request, Actions* out);
  /// A timer of kStartTimer has expired.
  void OnTimer(double now, uint64_t tag, Actions* out);
  /// A call of kCallCounter has ended.
  void OnCounterResponse(double now, const CounterResponse& response, Actions* out);
  /// An operator takes a backend offline, or brings it back. Offline overrides the endpoint lists.
  void OnMaintenance(double now, uint32_t backend, bool offline, Actions* out);

  /// The indices that a change of settings must keep.
  SettingsIndices IndicesInUse() const;
  /// Allocates what OnSettings needs.
  /// @param settings entries that stay keep their index.
  /// @param renewed indices that are used again for another class or plan: their estimates are discarded.
  PreparedSettings PrepareSettings(const Settings& settings, const SettingsIndices& renewed) const;
  /// New settings apply from now on.
  void OnSettings(double now, PreparedSettings&& prepared, Actions* out) noexcept;

  /// The clock that all gateways share, by which counters are named, is `offset_s` ahead of `now`.
  void OnWallClock(double now, double offset_s);
  /// How many processes of this gateway are alive. They count as one gateway, so each has its part of a
  /// quota.
  void OnProcessCount(double now, int processes, Actions* out);

  /// @return listed backends that get no new requests, since they are offline or ejected.
  int UnavailableBackends(double now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_POLICY_BALANCER_H_
