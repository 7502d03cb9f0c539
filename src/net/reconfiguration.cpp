#include "net/reconfiguration.h"

#include <utility>

namespace lemonchute::net {

Reconfiguration::Reconfiguration(Parts parts) : parts_(std::move(parts)) {}

std::function<void()> Reconfiguration::Prepare(const nlohmann::json& document) {
  const policy::Balancer& balancer = parts_.policy.balancer();
  Merged merged = MergeSettings(*parts_.config, ParseConfig(document), balancer.IndicesInUse());
  auto change = std::make_shared<PreparedChange>();
  change->settings = balancer.PrepareSettings(merged.config.settings, merged.renewed);
  change->classes = parts_.metrics.CountsForClasses(merged.config.site.classes);
  change->config = std::make_shared<const Config>(std::move(merged.config));
  change->counter = parts_.counter.Prepare(*change->config);
  return [this, change] { Commit(*change); };
}

// The policy comes first, in one step. Then the clients of discovery and the counter follow: they
// begin as after a lost connection, and what fails is retried.
void Reconfiguration::Commit(PreparedChange& change) noexcept {
  parts_.config = std::move(change.config);
  parts_.metrics.classes.swap(change.classes);
  parts_.policy.Dispatch([&](policy::Balancer& balancer, double now_s, policy::Actions* actions) {
    balancer.OnSettings(now_s, std::move(change.settings), actions);
  });
  const Config& config = *parts_.config;
  const policy::SocketSettings& site = config.site;
  parts_.pool.SetLimits(site.connection_idle_s, site.connect_timeout_s, site.drain_grace_s);
  parts_.apply_resource_limits();
  parts_.discovery.SetSite({parts_.config, &site});
  parts_.discovery.Move(config.discovery);
  parts_.members.Follow(config);
  parts_.counter.Commit(config, std::move(change.counter));
}

}  // namespace lemonchute::net
