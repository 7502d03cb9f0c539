#include "net/gateway.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>

#include "net/resource_limits.h"

namespace lemonchute::net {

using policy::ActionKind;
using policy::EndpointListKind;

Gateway::Gateway(asio::io_context& io, const Config& config, ConfigurationManager* config_manager)
    : config_(std::make_shared<const Config>(config)),
      policy_(
          clock_, [this](const policy::Action& action) { Execute(action); },
          [this] { metrics_.invariants.RecordViolation(Invariant::kNoReentry, "event within an action"); }),
      pool_(io, config.socket_settings.connection_idle_s, config.socket_settings.connect_timeout_s,
            config.socket_settings.drain_grace_s, ComputeResourceLimits(config, 1).backend_connections,
            &metrics_, &memory_),
      server_(
          io, ComputeResourceLimits(config, 1).client_connections, memory_,
          [this](uint64_t connection, ClientMessage message, const std::optional<Upload>& upload) {
            requests_.OnClientRequest(connection, std::move(message), upload);
          },
          [this](uint64_t connection, bool unanswered, CloseReason reason) {
            OnClientClosed(connection, unanswered, reason);
          }),
      counter_(io, policy_),
      discovery_(
          io, config.discovery, {config_, &config_->socket_settings}, &ids_,
          [this](const BackendList& list) { OnDiscoveryList(list); }, [this] { OnDiscoveryFailed(); },
          config.seed),
      members_(io),
      endpoints_(clock_, pool_, policy_, metrics_),
      offline_backends_(config.state_folder, ids_, pool_, policy_),
      timers_(
          io, [this](TimerKind kind, uint64_t tag) { OnTimer(kind, tag); },
          [this] { lifecycle_.CheckShutdown(); }),
      recent_requests_(config.state_folder),
      requests_({io, config_, process_, server_, pool_, policy_, timers_, metrics_, recent_requests_,
                 [this] { lifecycle_.CheckShutdown(); }}),
      lifecycle_({io, config_, process_, server_, pool_, memory_, policy_, requests_, offline_backends_,
                  *config_manager, members_, metrics_}),
      reconfiguration_({config_, policy_, metrics_, pool_, counter_, discovery_, members_,
                        [this] { lifecycle_.ApplyResourceLimits(); }}),
      admin_api_(lifecycle_, offline_backends_, *config_manager, members_, metrics_,
                 [this] { return ReadGauges(); }) {
  metrics_.classes = metrics_.CountsForClasses(config.socket_settings.classes);
  counter_.Start(counter_.Prepare(config));
  StartPolicy(config);
  offline_backends_.Apply();
  lifecycle_.Start();
  if (config.admin) {
    admin_server_.emplace(io, *config.admin,
                          [this](const AdminRequest& request) { return admin_api_.Handle(request); });
  }
  discovery_.Start();
  members_.ApplyConfig(config);
  config_manager->Start(
      [this](const nlohmann::json& document) { return reconfiguration_.Prepare(document); });
}

Gateway::~Gateway() = default;

std::optional<tcp::endpoint> Gateway::admin_local() const {
  return admin_server_ ? std::optional(admin_server_->local()) : std::nullopt;
}

// Starts the policy with the cached endpoint list, if there is one.
void Gateway::StartPolicy(const Config& config) {
  BackendList cached = ParseCachedList(config);
  if (cached.is_snapshot) discovery_.Resume(cached.index);
  policy_.Start(config.settings, config.seed);
  endpoints_.OnList(cached, EndpointListKind::kCached);
}

BackendList Gateway::ParseCachedList(const Config& config) {
  if (config.initial_endpoints.is_null()) return {};
  try {
    return ParseBackendList(config.initial_endpoints, config.socket_settings, &ids_);
  } catch (const policy::ProtocolError& error) {
    throw policy::ProtocolError(std::string("setting is unreadable: known: ") + error.what());
  }
}

void Gateway::Execute(const policy::Action& action) {
  switch (action.kind) {
    case ActionKind::kSendAttempt: return requests_.SendAttempt(action);
    case ActionKind::kCancelAttempt:
      return requests_.CancelAttempt(action.request_id, action.attempt_index, action.backend_id);
    case ActionKind::kReject: return requests_.Reject(action);
    case ActionKind::kFail: return requests_.Fail(action.request_id);
    case ActionKind::kStartTimer:
      return timers_.Add(Clock::now() + Seconds(std::max(0.0, action.duration_s)), TimerKind::kPolicy,
                         action.tag);
    case ActionKind::kCallCounter: return counter_.Call(action.tag, action.counter_delta, action.duration_s);
    case ActionKind::kLog: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::kPollEndpoints: return discovery_.Start();
  }
}

void Gateway::OnTimer(TimerKind kind, uint64_t tag) {
  if (kind == TimerKind::kResponseDeadline) {
    return requests_.OnResponseDeadline(static_cast<uint32_t>(tag));
  }
  policy_.Dispatch([tag](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnTimer(now_s, tag, actions);
  });
}

void Gateway::OnClientClosed(uint64_t connection, bool unanswered, CloseReason reason) {
  lifecycle_.OnClientClosed();
  requests_.OnClientClosed(connection, unanswered, reason);
}

void Gateway::OnDiscoveryList(const BackendList& list) {
  endpoints_.OnList(list, list.is_snapshot ? EndpointListKind::kSnapshot : EndpointListKind::kDelta);
  process_.endpoint_list_known = true;
}

// The gateway continues with the last known endpoint list.
void Gateway::OnDiscoveryFailed() {
  endpoints_.OnDiscoveryFailed();
  process_.endpoint_list_known = true;
}

Gauges Gateway::ReadGauges() {
  Gauges gauges;
  gauges.active_requests = requests_.unanswered();
  gauges.attempts_in_flight = requests_.CountAttemptsInFlight();
  gauges.listed_backends = endpoints_.listed_backends();
  gauges.client_connections = server_.connections();
  gauges.backend_connections = pool_.connections();
  gauges.heap_bytes = HeapBytesInUse();
  gauges.peak_heap_bytes = PeakHeapBytes();
  gauges.heap_limit_bytes = memory_.limit_bytes();
  gauges.resident_bytes = ResidentBytes();
  gauges.memory_refusals = server_.memory_refusals();
  gauges.unavailable_backends = static_cast<uint64_t>(policy_.UnavailableBackends());
  return gauges;
}

}  // namespace lemonchute::net
