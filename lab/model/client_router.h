// Behaviour of clients and of the front that routes them: which gateway a try goes to, how long it waits, and
// whether and when a failed try is retried. Random choices depend on the request's number only, not on the
// order of events.
#ifndef LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_
#define LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_

#include <optional>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// Routes tries to gateways and decides on timeouts and retries.
class ClientRouter {
 public:
  explicit ClientRouter(const RunSpec& spec);

  /// The gateway for a try that is sent now; -1 if the front sees none of the customer's gateways up.
  int PickGateway(uint32_t arrival, int number, Micros now) const;
  /// The gateway's process has ended (Down), reports that it is not ready (Draining), or is ready again
  /// (Ready).
  void OnGatewayDown(int gateway, Micros now);
  void OnGatewayDraining(int gateway, Micros now);
  void OnGatewayReady(int gateway);

  /// How long a try waits for its answer, from when it is sent.
  Micros TryTimeout(uint32_t arrival, Micros now) const;
  /// Whether the try keeps using an open connection to a gateway that was told to terminate.
  bool KeepsConnectionUntilEnd(uint32_t arrival, int number) const;
  /// When the client leaves before its timeout, from when the try is sent; none if it does not.
  std::optional<Micros> LeavesAfter(uint32_t arrival, int number, Micros timeout) const;
  /// When the client retries after a failure; none if it does not. A `retry_after_s` of 0 means no advice.
  std::optional<Micros> RetryAt(uint32_t arrival, int number, Micros now, double retry_after_s) const;

 private:
  Random RandomFor(uint32_t arrival, int number, uint64_t purpose) const;

  const RunSpec* spec_;
  std::vector<Micros> visible_until_;  // when the front notices that the gateway is down; kNever if it is up
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_
