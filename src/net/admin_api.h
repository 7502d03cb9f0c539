// Routes of the admin endpoint (docs/ON-CALL.md), and the rendering of its metrics.
#ifndef LEMONCHUTE_NET_ADMIN_API_H_
#define LEMONCHUTE_NET_ADMIN_API_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/admin_server.h"
#include "net/configuration_manager.h"
#include "net/members.h"
#include "net/metrics.h"
#include "net/offline_backends.h"
#include "net/service_control.h"

namespace lemonchute::net {

/// Metrics whose current values are read for each request.
struct Gauges {
  uint64_t active_requests = 0;
  uint64_t attempts_in_flight = 0;
  uint64_t listed_backends = 0;
  uint64_t unavailable_backends = 0;
  uint64_t client_connections = 0;
  uint64_t backend_connections = 0;
  uint64_t heap_bytes = 0;
  uint64_t peak_heap_bytes = 0;
  uint64_t heap_limit_bytes = 0;  // see MemoryBudget
  uint64_t resident_bytes = 0;
  uint64_t memory_refusals = 0;  // requests refused for want of memory
};

/// Handles the requests of operators. The objects given to the constructor must outlive this one.
class AdminApi {
 public:
  using ReadGauges = std::function<Gauges()>;

  AdminApi(ServiceControl& service, OfflineBackends& offline_backends, ConfigurationManager& config_manager,
           Members& members, const Metrics& metrics, ReadGauges read_gauges);

  AdminResponse Handle(const AdminRequest& request);

 private:
  AdminResponse Readiness() const;
  AdminResponse TakeOutOfService();
  AdminResponse ReturnToService();
  std::optional<AdminResponse> HandleBackend(const AdminRequest& request, std::string_view path);
  AdminResponse SetOffline(const std::string& name, bool offline);
  std::string RenderMetrics();

  ServiceControl& service_;
  OfflineBackends& offline_backends_;
  ConfigurationManager& config_manager_;
  Members& members_;
  const Metrics& metrics_;
  const ReadGauges read_gauges_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ADMIN_API_H_
