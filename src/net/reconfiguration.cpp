#include "net/reconfiguration.h"

#include <utility>

namespace lemonchute::net {

Reconfiguration::Reconfiguration(Parts parts) : parts_(std::move(parts)) {}

std::function<void()> Reconfiguration::Prepare(const nlohmann::json& document) {
  const policy::Balancer& balancer = parts_.policy.balancer();
  MergedSettings merged = MergeSettings(*parts_.config, ParseConfig(document), balancer.IndicesInUse());
  auto change = std::make_shared<PreparedChange>();
  change->settings = balancer.PrepareSettings(merged.config.settings, merged.newly_assigned);
  change->classes = parts_.metrics.CountsForClasses(merged.config.socket_settings.classes);
  change->config = std::make_shared<const Config>(std::move(merged.config));
  change->counter = parts_.counter.Prepare(*change->config);
  return [this, change] { Commit(change); };
}

// The policy changes first, in one step. The clients of discovery and the counter then start as after a lost
// connection and retry what fails.
void Reconfiguration::Commit(const std::shared_ptr<PreparedChange>& change) noexcept {
  parts_.config = std::move(change->config);
  parts_.metrics.classes.swap(change->classes);
  parts_.policy.Dispatch([change](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnSettings(now_s, std::move(change->settings), actions);
  });
  const Config& config = *parts_.config;
  const policy::SocketSettings& socket_settings = config.socket_settings;
  parts_.pool.SetLimits(socket_settings.connection_idle_s, socket_settings.connect_timeout_s,
                        socket_settings.drain_grace_s);
  parts_.apply_resource_limits();
  parts_.discovery.SetSocketSettings({parts_.config, &socket_settings});
  parts_.discovery.SetAddress(config.discovery);
  parts_.members.ApplyConfig(config);
  parts_.counter.Commit(config, std::move(change->counter));
}

}  // namespace lemonchute::net
