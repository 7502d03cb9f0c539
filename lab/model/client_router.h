// Owns what clients and their front do: through which gateway a try comes, how long it waits, and whether and
// when a failed one comes again. A client's habits follow from its request's number, not from the order of
// events.
#ifndef LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_
#define LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_

#include <optional>
#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

class ClientRouter {
 public:
  explicit ClientRouter(const RunSpec& spec);

  // The gateway of the set for a try that is sent now; -1 where the front sees none of them up.
  int PickGateway(uint32_t arrival, int number, Micros now) const;
  // A gateway's process has ended or answers readiness with a no; and is ready again.
  void OnGatewayDown(int gateway, Micros now);
  void OnGatewayDraining(int gateway, Micros now);
  void OnGatewayReady(int gateway);

  // A try's own patience, from its sending.
  Micros TryTimeout(uint32_t arrival, Micros now) const;
  // Whether that try goes on using a connection to a gateway that was told to end.
  bool KeepsConnectionUntilEnd(uint32_t arrival, int number) const;
  // Where the client leaves before its patience ends: when, from its sending.
  std::optional<Micros> LeavesAfter(uint32_t arrival, int number, Micros patience) const;
  // When the client tries again after a failure; none where it does not. `retry_after_s` is 0 for no advice.
  std::optional<Micros> RetryAt(uint32_t arrival, int number, Micros now, double retry_after_s) const;

 private:
  Random RandomFor(uint32_t arrival, int number, uint64_t purpose) const;

  const RunSpec* spec_;
  std::vector<Micros> visible_until_;  // by when the front has noticed that it is down; kNever: it is up
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_CLIENT_ROUTER_H_
