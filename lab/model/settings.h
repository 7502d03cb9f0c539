// Owns a gateway's configuration for a day, as DEPLOY and WIRE word it.
#ifndef LEMONCHUTE_LAB_MODEL_SETTINGS_H_
#define LEMONCHUTE_LAB_MODEL_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/discovery.h"

namespace lemonchute::lab {

// Where a gateway finds the others. Addresses are "127.0.0.1:5000".
struct GatewayAddresses {
  std::string listen, discovery, counter;
  std::string peer_listen, peers_all;
  std::vector<std::string> peers;  // by number
};

// The `settings` object; quotas times `scale`.
nlohmann::json SettingsOf(const RunSpec& spec, int gateway, double scale = 1);
// One line of a list in discovery's form. `epoch_ms`: Unix time of the day's start.
nlohmann::json DiscoveryEntryOf(const RunSpec& spec, const Discovery::Entry& entry,
                                const std::string& address, int64_t epoch_ms);
// The whole configuration file.
nlohmann::json ConfigurationOf(const RunSpec& spec, int gateway, const GatewayAddresses& addresses,
                               const nlohmann::json& known, uint64_t seed, double scale = 1);
std::string ZoneName(int zone);
std::string GatewayName(int gateway);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_SETTINGS_H_
