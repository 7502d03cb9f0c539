// Changes the configuration of a running gateway in two phases.
#ifndef LEMONCHUTE_NET_RECONFIGURATION_H_
#define LEMONCHUTE_NET_RECONFIGURATION_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "net/backend_pool.h"
#include "net/config.h"
#include "net/counter_calls.h"
#include "net/discovery_client.h"
#include "net/members.h"
#include "net/metrics.h"
#include "net/policy_dispatcher.h"

namespace lemonchute::net {

/// Everything that can fail happens while a change is prepared; its commit does not fail.
class Reconfiguration {
 public:
  /// The parts that a change of the configuration affects. All must outlive the Reconfiguration.
  struct Parts {
    std::shared_ptr<const Config>& config;  // the running configuration
    PolicyDispatcher& policy;
    Metrics& metrics;
    BackendPool& pool;
    CounterCalls& counter;
    DiscoveryClient& discovery;
    Members& members;
    std::function<void()> apply_resource_limits;
  };

  explicit Reconfiguration(Parts parts);

  /// Prepares the change to a valid document. Throws policy::ProtocolError if that fails; nothing has changed
  /// then.
  /// @return the commit, to be called in the same turn of the event loop. Requests in flight keep the
  ///     settings that they arrived under.
  std::function<void()> Prepare(const nlohmann::json& document);

 private:
  // What Commit() applies; allocated beforehand, so that Commit() can't fail.
  struct PreparedChange {
    std::shared_ptr<const Config> config;
    policy::PreparedSettings settings;
    Metrics::ClassCountsByName classes;
    std::unique_ptr<CounterClient> counter;  // a new client, needed if there is none so far
  };

  void Commit(const std::shared_ptr<PreparedChange>& change) noexcept;

  const Parts parts_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_RECONFIGURATION_H_
