#include "policy/backend_selector.h"

#include <algorithm>

#include "policy/retry_policy.h"

namespace lemonchute::policy {
namespace {

// Largest share of the ready backends that may be ejected; if more fail, the fault is likely elsewhere.
constexpr double kMaxEjectedShare = 0.25;
// Factors of the cost by which backends are compared.
constexpr double kFailureCostWeight = 10;
constexpr double kMinJitter = 0.95;
constexpr double kJitterRange = 0.1;
constexpr double kOtherZoneCostFactor = 1.5;
constexpr double kSlowStartCostFactor = 0.05;
// Added for each earlier attempt of the request at the same backend.
constexpr double kRepeatCost = 100;

bool AcceptsRequests(const Backend& backend) {
  return backend.endpoint.state == EndpointState::kReady && !backend.offline;
}

double AttemptCost(const Backend& backend, const InFlightRequest& active, int local_zone,
                   RandomSource* random) {
  double failure_share = backend.outlier.failure_share();
  double cost = backend.latency.relative_latency() * (backend.in_flight + 1) *
                (1 + kFailureCostWeight * failure_share * failure_share) *
                (kMinJitter + kJitterRange * random->Uniform());
  if (backend.endpoint.zone != local_zone) cost *= kOtherZoneCostFactor;
  if (backend.slow_start.active()) cost *= kSlowStartCostFactor;
  for (const Attempt& attempt : active.attempts) {
    if (attempt.backend_id == backend.endpoint.id) cost += kRepeatCost;
  }
  return cost;
}

}  // namespace

void BackendSelector::ApplyEndpointList(EndpointListKind kind, const std::vector<Endpoint>& entries,
                                        double warm_up_s, double longest_service_time_s, double now,
                                        RandomSource* random) {
  if (kind == EndpointListKind::kFailed) return;
  if (kind != EndpointListKind::kDelta) {
    for (Backend& backend : backends_) backend.endpoint.state = EndpointState::kRemoved;
  }
  for (const Endpoint& endpoint : entries) {
    Backend* backend = Find(endpoint.id);
    if (backend == nullptr) {
      if (endpoint.state == EndpointState::kRemoved) continue;
      backend = &backends_.emplace_back();
      backend->last_response_s = now;
      backend->offline = offline_backends_.count(endpoint.id) != 0;
    }
    bool restarted = endpoint.started_s > 0 && endpoint.started_s != backend->endpoint.started_s;
    backend->endpoint = endpoint;
    if (restarted && now - endpoint.started_s < warm_up_s) {
      double started_s = std::max(backend->slow_start.started_s(), endpoint.started_s);
      backend->slow_start.Begin(started_s, now, longest_service_time_s, random);
      backend->outlier.EndEjection();
    }
  }
  std::erase_if(backends_, [](const Backend& backend) {
    return backend.endpoint.state == EndpointState::kRemoved && backend.in_flight == 0;
  });
}

void BackendSelector::SetOffline(uint32_t backend_id, bool offline, double longest_service_time_s, double now,
                                 RandomSource* random) {
  bool changed =
      offline ? offline_backends_.insert(backend_id).second : offline_backends_.erase(backend_id) != 0;
  Backend* backend = Find(backend_id);
  if (!changed || backend == nullptr) return;
  backend->offline = offline;
  if (offline) return;
  // It is assumed to have been restarted meanwhile, so its history no longer applies.
  backend->outlier.Reset();
  backend->latency.Reset();
  backend->limit.Reset();
  backend->last_response_s = now;
  backend->slow_start.Begin(now, now, longest_service_time_s, random);
}

Backend* BackendSelector::Find(uint32_t backend_id) {
  auto found = std::find_if(backends_.begin(), backends_.end(), [backend_id](const Backend& backend) {
    return backend.endpoint.id == backend_id;
  });
  return found == backends_.end() ? nullptr : &*found;
}

BackendLoad BackendSelector::TotalLoad() const {
  BackendLoad load;
  for (const Backend& backend : backends_) {
    if (!AcceptsRequests(backend)) continue;
    load.in_flight += std::min<double>(backend.in_flight, std::max(1.0, backend.limit.value()));
    load.limit += backend.limit.value();
  }
  return load;
}

int BackendSelector::CountUnavailable(double now) const {
  return static_cast<int>(std::count_if(backends_.begin(), backends_.end(), [now](const Backend& backend) {
    return backend.endpoint.state != EndpointState::kRemoved &&
           (backend.offline || backend.outlier.IsEjected(now));
  }));
}

void BackendSelector::AddIndicesInUse(SettingsIndices* in_use) const {
  for (const Backend& backend : backends_) {
    in_use->zones.insert(backend.endpoint.zone);
    in_use->kinds.insert(backend.endpoint.kind);
  }
}

BackendSelector::BackendCounts BackendSelector::CountReady(double now) const {
  BackendCounts counts;
  for (const Backend& backend : backends_) {
    if (!AcceptsRequests(backend)) continue;
    ++counts.ready;
    counts.warm += !backend.slow_start.active();
    counts.ejected += backend.outlier.IsEjected(now);
  }
  return counts;
}

Backend* BackendSelector::Select(const InFlightRequest& active, const Settings& settings, int process_count,
                                 double now, RandomSource* random) {
  BackendCounts counts = CountReady(now);
  warm_backends_ = counts.warm;
  const ClassSettings& class_settings = settings.classes[active.request.class_index];
  const SlowStartParameters slow_start{settings, process_count, warm_load_};
  Backend* selected = nullptr;
  double lowest_cost = 0;
  for (Backend& backend : backends_) {
    if (!AcceptsRequests(backend) || !IsInIdempotencyScope(active, class_settings, backend.endpoint))
      continue;
    if (backend.outlier.IsEjected(now) && counts.ejected <= kMaxEjectedShare * counts.ready) continue;
    if (backend.outlier.half_open() && backend.in_flight > 0) continue;
    if (backend.in_flight >= backend.limit.value()) continue;
    if (backend.slow_start.active() && !backend.slow_start.HasBudget(slow_start, now)) continue;
    double cost = AttemptCost(backend, active, settings.zone, random);
    if (selected == nullptr || cost < lowest_cost) {
      selected = &backend;
      lowest_cost = cost;
    }
  }
  return selected;
}

void BackendSelector::RecordServed(const Backend& backend, double service_time_s, double now) {
  if (!backend.slow_start.active()) warm_load_.Record(service_time_s, warm_backends_, now);
}

}  // namespace lemonchute::policy
