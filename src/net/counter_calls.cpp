#include "net/counter_calls.h"

#include <utility>

namespace lemonchute::net {

void CounterCalls::Call(uint64_t counter, double units, double retention_s) {
  if (client_) return client_->Call(counter, units, retention_s);
  asio::post(io_, [this, counter] { OnResponse({counter, 0, policy::AttemptResult::kConnectFailed}); });
}

std::unique_ptr<CounterClient> CounterCalls::Prepare(const Config& config) {
  if (!config.has_counter || client_) return nullptr;
  return std::make_unique<CounterClient>(
      io_, config.counter, config.settings.counter_timeout_s, config.socket_settings.connect_timeout_s,
      [this](const policy::CounterResponse& response) { OnResponse(response); });
}

void CounterCalls::Start(std::unique_ptr<CounterClient> prepared) {
  if (!prepared) return;
  client_ = std::move(prepared);
  client_->Start();
}

void CounterCalls::Commit(const Config& config, std::unique_ptr<CounterClient> prepared) {
  if (!config.has_counter) return;
  Start(std::move(prepared));
  client_->SetLimits(config.settings.counter_timeout_s, config.socket_settings.connect_timeout_s);
  client_->SetAddress(config.counter);
}

void CounterCalls::OnResponse(const policy::CounterResponse& response) {
  policy_.Dispatch([response](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnCounterResponse(now_s, response, actions);
  });
}

}  // namespace lemonchute::net
