// The policy's calls to the shared counter, and their responses.
#ifndef LEMONCHUTE_NET_COUNTER_CALLS_H_
#define LEMONCHUTE_NET_COUNTER_CALLS_H_

#include <cstdint>
#include <memory>

#include "net/config.h"
#include "net/counter_client.h"
#include "net/policy_dispatcher.h"

namespace lemonchute::net {

/// Passes calls to the counter's client, where the configuration has ever named a counter.
class CounterCalls {
 public:
  /// @param policy is given the responses; outlives this object.
  CounterCalls(asio::io_context& io, PolicyDispatcher& policy) : io_(io), policy_(policy) {}

  /// Calls the counter. Without a client the call fails in a later turn of the event loop.
  /// @param counter the policy's name for the call.
  /// @param retention_s how long the counter keeps the value, in seconds.
  void Call(uint64_t counter, double units, double retention_s);

  /// Creates the client that Commit() will need. Throws where it can't.
  /// @return none where there is a client or no counter.
  std::unique_ptr<CounterClient> Prepare(const Config& config);
  /// Follows the configuration. Keeps the client where the configuration drops the counter: the policy does
  /// not call it any more.
  /// @param prepared what Prepare() returned for this configuration.
  void Commit(const Config& config, std::unique_ptr<CounterClient> prepared);
  /// Opens the first connection of a client that was prepared before the start.
  void Start(std::unique_ptr<CounterClient> prepared);

 private:
  void OnResponse(const policy::CounterResponse& response);

  asio::io_context& io_;
  PolicyDispatcher& policy_;
  std::unique_ptr<CounterClient> client_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_COUNTER_CALLS_H_
