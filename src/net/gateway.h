// One gateway: connects the sockets of clients, backends, discovery, the counter and operators to the policy.
#ifndef LEMONCHUTE_NET_GATEWAY_H_
#define LEMONCHUTE_NET_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "net/admin_api.h"
#include "net/admin_server.h"
#include "net/backend_pool.h"
#include "net/client_server.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/configuration_manager.h"
#include "net/counter_calls.h"
#include "net/discovery_client.h"
#include "net/endpoint_updater.h"
#include "net/lifecycle.h"
#include "net/members.h"
#include "net/memory_budget.h"
#include "net/metrics.h"
#include "net/offline_backends.h"
#include "net/policy_dispatcher.h"
#include "net/process_state.h"
#include "net/recent_requests.h"
#include "net/reconfiguration.h"
#include "net/request_lifecycle.h"
#include "net/timer_queue.h"

namespace lemonchute::net {

/// Owns the components of a gateway and routes between them: each event goes to the component that handles
/// it, each action of the policy to the component that executes it. Runs on the event loop's thread only.
class Gateway {
 public:
  /// Starts the gateway.
  /// @param config_manager manages the running configuration; not owned, must outlive the gateway
  /// @throws policy::ProtocolError if a setting is invalid
  /// @throws boost::system::system_error if an address can't be listened on
  Gateway(asio::io_context& io, const Config& config, ConfigurationManager* config_manager);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @return the address that clients connect to
  tcp::endpoint local() const { return server_.local(); }
  /// @return the address of the admin endpoint; none if the configuration names none
  std::optional<tcp::endpoint> admin_local() const;

  /// Drains the gateway, then stops the io_context once no request is in flight or the time for it is over.
  void Shutdown() { lifecycle_.Shutdown(); }

 private:
  void StartPolicy(const Config& config);
  BackendList ParseCachedList(const Config& config);
  void Execute(const policy::Action& action);
  void OnTimer(TimerKind kind, uint64_t tag);
  void OnClientClosed(uint64_t connection, bool unanswered, CloseReason reason);
  void OnDiscoveryList(const BackendList& list);
  void OnDiscoveryFailed();
  Gauges ReadGauges();

  // The order matters: a component may refer to those declared above it. Callbacks that refer to components
  // below run only from the event loop or the constructor's body, when all components exist. No destructor of
  // a component runs a callback.
  std::shared_ptr<const Config> config_;
  GatewayClock clock_;
  BackendIds ids_;
  Metrics metrics_;
  MemoryBudget memory_;
  PolicyDispatcher policy_;
  BackendPool pool_;
  ClientServer server_;
  CounterCalls counter_;
  DiscoveryClient discovery_;
  Members members_;
  EndpointUpdater endpoints_;
  OfflineBackends offline_backends_;
  ProcessState process_;
  TimerQueue timers_;
  RecentRequests recent_requests_;
  RequestLifecycle requests_;
  Lifecycle lifecycle_;
  Reconfiguration reconfiguration_;
  AdminApi admin_api_;
  std::optional<AdminServer> admin_server_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_GATEWAY_H_
