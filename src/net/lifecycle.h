// Lifecycle of a gateway process: start, handover between two processes, drain and shutdown.
#ifndef LEMONCHUTE_NET_LIFECYCLE_H_
#define LEMONCHUTE_NET_LIFECYCLE_H_

#include <chrono>
#include <memory>

#include "net/backend_pool.h"
#include "net/client_server.h"
#include "net/config.h"
#include "net/configuration_manager.h"
#include "net/members.h"
#include "net/metrics.h"
#include "net/offline_backends.h"
#include "net/one_shot_timer.h"
#include "net/peer_process.h"
#include "net/policy_dispatcher.h"
#include "net/process_state.h"
#include "net/request_lifecycle.h"
#include "net/service_control.h"

namespace lemonchute::net {

/// Drives these transitions and writes the ProcessState. Start() must be called before all other functions.
///
/// While a release is rolled out, two processes of one gateway run side by side: the new one inherits
/// the listener of the old one, and each has half of the gateway's resources.
class Lifecycle : public ServiceControl {
 public:
  /// All must outlive the Lifecycle.
  struct Parts {
    asio::io_context& io;
    const std::shared_ptr<const Config>& config;  // the running configuration
    ProcessState& process;
    ClientServer& server;
    BackendPool& pool;
    MemoryBudget& memory;
    PolicyDispatcher& policy;
    RequestLifecycle& requests;
    OfflineBackends& offline_backends;
    ConfigurationManager& config_manager;
    Members& members;
    Metrics& metrics;
  };

  explicit Lifecycle(const Parts& parts);

  /// Listens, and accepts connections at once if no other process serves clients meanwhile. Throws
  /// boost::system::system_error if the address can't be bound.
  void Start();
  /// Drains, and stops the io_context once no request is in flight or the grace period is over.
  void Shutdown();
  /// Stops the io_context if a shutdown is complete. Called whenever an attempt, timer or connection has
  /// ended.
  void CheckShutdown();
  /// Called when a client's connection has closed.
  void OnClientClosed();
  /// Divides descriptors and memory according to the running configuration.
  void ApplyResourceLimits();

  // ServiceControl:
  bool IsReady() const override { return process_.IsReady(); }
  void TakeOutOfService() override { StartDraining(); }
  bool IsShuttingDown() const override { return process_.IsShuttingDown(); }
  void ReturnToService() override { StopDraining(); }

 private:
  void StartAccepting();
  void PollPeerProcess();
  void UpdatePeerProcess();
  void ReportProcessCount();
  int ProcessCount() const { return peer_process_alive_ ? 2 : 1; }

  // Reports not ready from now on. Once load balancers have had time to notice, closes idle connections and
  // lets each response close its connection, until StopDraining().
  void StartDraining();
  void StopDraining();
  void CloseIdleConnections();
  void ScheduleEnd();
  void EndOnceResponsesAreWritten();

  asio::io_context& io_;
  const std::shared_ptr<const Config>& config_;
  ProcessState& process_;
  ClientServer& server_;
  BackendPool& pool_;
  MemoryBudget& memory_;
  PolicyDispatcher& policy_;
  RequestLifecycle& requests_;
  OfflineBackends& offline_backends_;
  ConfigurationManager& config_manager_;
  Members& members_;
  Metrics& metrics_;
  const Clock::time_point started_at_;
  PeerProcess peer_process_;
  bool peer_process_alive_;
  const Clock::time_point peer_noticed_at_;  // by when the peer process has noticed this one
  bool inherited_listener_ = false;          // the clients' listener is shared with other processes
  asio::steady_timer peer_process_timer_;
  OneShotTimer drain_timer_;
  asio::steady_timer shutdown_timer_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_LIFECYCLE_H_
