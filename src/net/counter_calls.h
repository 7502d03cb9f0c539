// Carries the policy's calls to the shared counter, and their responses back.
#ifndef LEMONCHUTE_NET_COUNTER_CALLS_H_
#define LEMONCHUTE_NET_COUNTER_CALLS_H_

#include <cstdint>
#include <memory>

#include "net/config.h"
#include "net/counter_client.h"
#include "net/policy_dispatcher.h"

namespace lemonchute::net {

/// Passes calls to the counter client, which exists once a configuration has named a counter.
class CounterCalls {
 public:
  /// @param policy receives the responses; must outlive this object.
  CounterCalls(asio::io_context& io, PolicyDispatcher& policy) : io_(io), policy_(policy) {}

  /// Calls the counter. Without a client the call fails in a later turn of the event loop.
  /// @param counter the policy's name of the counter.
  /// @param retention_s how long the counter keeps the value, in seconds.
  void Call(uint64_t counter, double units, double retention_s);

  /// Creates the client that Commit() will need. Throws if that fails.
  /// @return null if there is a client already or no counter is configured.
  std::unique_ptr<CounterClient> Prepare(const Config& config);
  /// Applies the configuration. Keeps the client if the configuration drops the counter: the policy does not
  /// call it any more.
  /// @param prepared what Prepare() returned for this configuration.
  void Commit(const Config& config, std::unique_ptr<CounterClient> prepared);
  /// Installs a prepared client, if any, and opens its first connection.
  void Start(std::unique_ptr<CounterClient> prepared);

 private:
  void OnResponse(const policy::CounterResponse& response);

  asio::io_context& io_;
  PolicyDispatcher& policy_;
  std::unique_ptr<CounterClient> client_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_COUNTER_CALLS_H_
