// A decision module that never responds to requests, linked in place of the real one to test the gateway's
// own response deadline. Requests of class 1 (with idempotency key) are sent once, to the backend listed
// last.
#include "policy/balancer.h"

namespace lemonchute::policy {

class Balancer::Impl {
 public:
  uint32_t backend = 0;
};
Balancer::Balancer(const Settings&, uint64_t, double, Actions*) : impl_(std::make_unique<Impl>()) {}
Balancer::~Balancer() = default;
void Balancer::OnEndpointList(double, EndpointListKind, const std::vector<Endpoint>& entries, Actions*) {
  if (!entries.empty()) impl_->backend = entries.back().id;
}
void Balancer::OnRequest(double, const Request& request, Actions* out) {
  if (request.class_index != 1) return;
  Action send;
  send.kind = ActionKind::kSendAttempt;
  send.request_id = request.id;
  send.backend_id = impl_->backend;
  out->push_back(send);
}
void Balancer::OnResponseStarted(double, uint32_t, int, Actions*) {}
void Balancer::OnAttemptOutcome(double, const AttemptOutcome&, Actions*) {}
void Balancer::OnClientGone(double, uint32_t, Actions*) {}
void Balancer::OnTimer(double, uint64_t, Actions*) {}
void Balancer::OnMaintenance(double, uint32_t, bool, Actions*) {}
void Balancer::OnProcessCount(double, int, Actions*) {}
void Balancer::OnWallClock(double, double) {}
SettingsIndices Balancer::IndicesInUse() const { return {}; }
PreparedSettings Balancer::PrepareSettings(const Settings& settings, const SettingsIndices&) const {
  return {settings, {}, {}, {}, {}};
}
void Balancer::OnSettings(double, PreparedSettings&&, Actions*) noexcept {}
int Balancer::UnavailableBackends(double) const { return 0; }
void Balancer::OnCounterResponse(double, const CounterResponse&, Actions*) {}

}  // namespace lemonchute::policy
