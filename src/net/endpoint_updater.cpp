#include "net/endpoint_updater.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace lemonchute::net {

using policy::EndpointListKind;
using policy::EndpointState;

EndpointUpdater::EndpointUpdater(GatewayClock& clock, BackendPool& pool, PolicyDispatcher& policy,
                                 Metrics& metrics)
    : clock_(clock), pool_(pool), policy_(policy), metrics_(metrics) {}

void EndpointUpdater::OnList(const BackendList& list, EndpointListKind kind) {
  HandleWallClockStep();
  start_times_.BeginList(clock_.NowS(), clock_.WallS(), kind != EndpointListKind::kCached);
  std::vector<policy::Endpoint> endpoints = WithMonotonicStartTimes(list);
  UpdatePool(list);
  if (kind == EndpointListKind::kDelta) {
    UpdateListed(list);
  } else {
    ReplaceListed(list);
  }
  if (kind != EndpointListKind::kCached) start_times_.EndList();
  policy_.Dispatch([kind, endpoints = std::move(endpoints)](policy::Balancer& balancer, double now_s,
                                                            policy::Actions* actions) {
    balancer.OnEndpointList(now_s, kind, endpoints, actions);
  });
}

void EndpointUpdater::OnDiscoveryFailed() {
  policy_.Dispatch([](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnEndpointList(now_s, EndpointListKind::kFailed, {}, actions);
  });
}

// The counter's windows are named after intervals of the wall clock, which all gateways share. After a step
// the names change here as at every other gateway; the counts are not reset.
void EndpointUpdater::HandleWallClockStep() {
  std::optional<double> ahead_s = clock_.DetectWallClockStep();
  if (!ahead_s) return;
  ++metrics_.clock_steps;
  std::fprintf(stderr, "wall clock step detected: now %.1f s ahead of its offset at startup\n", *ahead_s);
  policy_.Dispatch([ahead_s](policy::Balancer& balancer, double now_s, policy::Actions*) {
    balancer.OnWallClock(now_s, *ahead_s);
  });
}

std::vector<policy::Endpoint> EndpointUpdater::WithMonotonicStartTimes(const BackendList& list) {
  std::vector<policy::Endpoint> endpoints;
  for (const EndpointRecord& listed : list.entries) {
    endpoints.push_back(listed.backend);
    endpoints.back().started_s = start_times_.Convert(listed.backend.id, listed.backend.started_s);
  }
  return endpoints;
}

void EndpointUpdater::UpdatePool(const BackendList& list) {
  for (const EndpointRecord& listed : list.entries) {
    uint32_t id = listed.backend.id;
    switch (listed.backend.state) {
      case EndpointState::kReady: pool_.Update(id, listed.address); break;
      case EndpointState::kDraining: pool_.Drain(id); break;
      case EndpointState::kRemoved: pool_.Remove(id); break;
    }
  }
}

// Removes backends that a complete list does not contain.
void EndpointUpdater::ReplaceListed(const BackendList& list) {
  std::vector<uint32_t> named;
  for (const EndpointRecord& listed : list.entries) {
    if (listed.backend.state != EndpointState::kRemoved) named.push_back(listed.backend.id);
  }
  for (uint32_t id : listed_) {
    if (std::find(named.begin(), named.end(), id) == named.end()) pool_.Remove(id);
  }
  listed_ = std::move(named);
}

void EndpointUpdater::UpdateListed(const BackendList& list) {
  for (const EndpointRecord& listed : list.entries) {
    auto position = std::find(listed_.begin(), listed_.end(), listed.backend.id);
    bool removed = listed.backend.state == EndpointState::kRemoved;
    if (removed && position != listed_.end()) listed_.erase(position);
    if (!removed && position == listed_.end()) listed_.push_back(listed.backend.id);
  }
}

}  // namespace lemonchute::net
