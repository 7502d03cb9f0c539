#include "net/admin_api.h"

#include <cstdio>
#include <utility>

#include "net/text.h"

namespace lemonchute::net {
namespace {

AdminResponse MethodNotAllowed(const char* allowed) { return {405, std::string("use ") + allowed + "\n"}; }

}  // namespace

AdminApi::AdminApi(ServiceControl& service, OfflineBackends& offline_backends,
                   ConfigurationManager& config_manager, Members& members, const Metrics& metrics,
                   ReadGauges read_gauges)
    : service_(service),
      offline_backends_(offline_backends),
      config_manager_(config_manager),
      members_(members),
      metrics_(metrics),
      read_gauges_(std::move(read_gauges)) {}

AdminResponse AdminApi::Handle(const AdminRequest& request) {
  std::string_view path = request.path;
  path = path.substr(0, path.find('?'));
  bool is_get = request.method == "GET", is_put = request.method == "PUT";
  if (path == "/control/ready") return is_get ? Readiness() : MethodNotAllowed("GET");
  if (path == "/control/counters") {
    return is_get ? AdminResponse{200, RenderMetrics()} : MethodNotAllowed("GET");
  }
  if (auto response = config_manager_.HandleAdminCall(request)) return *response;
  if (auto response = members_.HandleAdminCall(request)) return *response;
  if (path == "/control/out-of-service") return is_put ? TakeOutOfService() : MethodNotAllowed("PUT");
  if (path == "/control/in-service") return is_put ? ReturnToService() : MethodNotAllowed("PUT");
  if (auto response = HandleBackend(request, path)) return *response;
  return {404, "no such call\n"};
}

AdminResponse AdminApi::Readiness() const {
  return service_.IsReady() ? AdminResponse{200, "ready\n"} : AdminResponse{503, "not ready\n"};
}

AdminResponse AdminApi::TakeOutOfService() {
  std::fprintf(stderr, "operators: out of service\n");
  service_.TakeOutOfService();
  return {200, "draining\n"};
}

AdminResponse AdminApi::ReturnToService() {
  if (service_.IsShuttingDown()) return {409, "closing\n"};
  std::fprintf(stderr, "operators: in service\n");
  service_.ReturnToService();
  return {200, "in service\n"};
}

// PUT /control/backends/NAME/offline and .../online.
std::optional<AdminResponse> AdminApi::HandleBackend(const AdminRequest& request, std::string_view path) {
  constexpr std::string_view kPrefix = "/control/backends/";
  if (path.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
  path.remove_prefix(kPrefix.size());
  size_t slash = path.rfind('/');
  std::string_view verb = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  if (verb != "offline" && verb != "online") return std::nullopt;
  if (request.method != "PUT") return MethodNotAllowed("PUT");
  return SetOffline(PercentDecode(path.substr(0, slash)), verb == "offline");
}

AdminResponse AdminApi::SetOffline(const std::string& name, bool offline) {
  switch (offline_backends_.Set(name, offline)) {
    case SetOfflineResult::kUnknownBackend: return {404, "no such backend\n"};
    case SetOfflineResult::kNotStored: return {500, "cannot be kept\n"};
    case SetOfflineResult::kDone: break;
  }
  return {200, offline ? "offline\n" : "online\n"};
}

std::string AdminApi::RenderMetrics() {
  std::string text;
  auto line = [&](const std::string& name, uint64_t value) {
    text.append(name).append("=").append(std::to_string(value)).append("\n");
  };
  AppendMetrics(metrics_, line);
  Gauges gauges = read_gauges_();
  line("active", gauges.active_requests);
  line("attempts_in_flight", gauges.attempts_in_flight);
  line("pool_size", gauges.listed_backends);
  line("pool_ejected", gauges.unavailable_backends);
  line("connections.clients", gauges.client_connections);
  line("connections.backends", gauges.backend_connections);
  line("memory.heap_bytes", gauges.heap_bytes);
  line("memory.heap_peak_bytes", gauges.peak_heap_bytes);
  line("memory.heap_limit_bytes", gauges.heap_limit_bytes);
  line("memory.resident_bytes", gauges.resident_bytes);
  line("memory.refused", gauges.memory_refusals);
  config_manager_.AppendMetrics(line);
  members_.AppendMetrics(line);
  return text;
}

}  // namespace lemonchute::net
