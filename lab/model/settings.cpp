// Writes the run's values in the form of the gateway's settings. Values that no gateway is told are left out.
#include "model/settings.h"

namespace lemonchute::lab {

using nlohmann::json;

std::string ZoneName(int zone) { return "zone-" + std::string(1, static_cast<char>('a' + zone)); }
std::string GatewayName(int gateway) { return std::string("n").append(std::to_string(gateway)); }

json SettingsOf(const RunSpec& spec, int gateway, double scale) {
  json zones = json::array(), classes = json::array(), plans = json::array();
  for (int z = 0; z < spec.zones; ++z) zones.push_back(ZoneName(z));
  for (const ClassSpec& c : spec.classes) {
    classes.push_back({{"name", c.name},
                       {"effect", "free"},
                       {"aim-s", c.aim_s},
                       {"hard-limit-s", c.deadline_s},
                       {"window-s", 5.0},
                       {"importance", c.worth},
                       {"late-share", 0.0},
                       {"dedup-scope", "all"},
                       {"streamed", false}});
  }
  for (const PlanSpec& p : spec.plans) {
    plans.push_back({{"name", p.name},
                     {"units-per-s", p.rate * scale},
                     {"store-size", p.burst * scale},
                     {"never-over-rate", p.ceiling_rate * scale},
                     {"ceiling-burst", p.ceiling_burst * scale},
                     {"cap-slack", p.ceiling_slack},
                     {"excess-worth", p.over_worth},
                     {"over-cost", p.over_cost},
                     {"value-factor", p.price},
                     {"parallel", p.attempt_cap}});
  }
  return {{"me", gateway},
          {"peers-total", spec.gateways},
          {"zone", spec.gateway_zone[static_cast<size_t>(gateway)]},
          {"zones", zones},
          {"kinds", {"std-2c"}},
          {"resolution-s", 0.004},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", spec.units_top},
            {"may-count", true},
            {"counter-timeout-s", spec.counter_timeout_s},
            {"counter-price", spec.counter_price},
            {"trued-up", true},
            {"peer-in-per-s", spec.peer_in_per_s},
            {"meter-period-s", 0.0}}},
          {"prices",
           {{"cross-zone", spec.cross_zone_price},
            {"waste", spec.waste_price},
            {"late-fail", spec.late_price},
            {"handshake", spec.handshake_price}}},
          {"limits",
           {{"cancel", true},
            {"parallel-tries", true},
            {"retry-after", true},
            {"max-retry-after-s", spec.max_retry_after_s},
            {"try-limit", spec.try_limit},
            {"conn-idle-s", spec.idle_s},
            {"connect-timeout-s", spec.connect_timeout_s},
            {"streams-per-conn", 1}}},
          {"invariants",
           {{"cold-from", spec.cold_from},
            {"warm-after-s", spec.warm_after_s},
            {"tip-multiple", spec.tip_multiple},
            {"tip-after-s", spec.tip_s},
            {"ask-within-s", 10.0},
            {"drain-grace-s", spec.drain_grace_s},
            {"grace-to-answer-s", 0.016}}},
          {"request-classes", classes},
          {"tiers-of-service", plans}};
}

json DiscoveryEntryOf(const RunSpec& spec, const Discovery::Entry& entry, const std::string& address,
                      int64_t epoch_ms) {
  const BackendSpec& b = spec.backends[static_cast<size_t>(entry.backend)];
  const char* status = entry.state == ListState::kActive    ? "active"
                       : entry.state == ListState::kLeaving ? "leaving"
                                                            : "left";
  return {{"name", b.name},
          {"address", address},
          {"zone", ZoneName(b.zone)},
          {"type", "std-2c"},
          {"group", entry.backend / 4},
          {"status", status},
          {"weight", 1.0},
          {"since_ms", entry.since == 0 ? 0 : epoch_ms + entry.since / 1000}};
}

json ConfigurationOf(const RunSpec& spec, int gateway, const GatewayAddresses& addresses, const json& known,
                     uint64_t seed, double scale) {
  char seed_text[17];
  std::snprintf(seed_text, sizeof(seed_text), "%016llx", static_cast<unsigned long long>(seed));
  json config = {{"name", GatewayName(gateway)},
                 {"listen", addresses.listen},
                 {"discovery", addresses.discovery},
                 {"counter", addresses.counter},
                 {"seed", seed_text},
                 {"limits", {{"cores", 1.0}, {"memory_mb", spec.memory_mb}, {"sockets", spec.descriptors}}},
                 {"known", known},
                 {"settings", SettingsOf(spec, gateway, scale)}};
  if (!addresses.peers.empty()) {
    config["peer_listen"] = addresses.peer_listen;
    config["peers"] = addresses.peers, config["peers_all"] = addresses.peers_all;
  }
  return config;
}

}  // namespace lemonchute::lab
