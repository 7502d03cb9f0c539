// A gateway's configuration for a run (DEPLOY, WIRE).
#ifndef LEMONCHUTE_LAB_MODEL_SETTINGS_H_
#define LEMONCHUTE_LAB_MODEL_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/discovery.h"

namespace lemonchute::lab {

/// Where a gateway finds the other parties. Addresses have the form "127.0.0.1:5000".
struct GatewayAddresses {
  std::string listen, discovery, counter;
  std::string peer_listen, peers_all;
  std::vector<std::string> peers;  // by gateway number
};

/// The `settings` object, with all quotas multiplied by `scale`.
nlohmann::json SettingsOf(const RunSpec& spec, int gateway, double scale = 1);
/// One entry of discovery's list. `epoch_ms`: Unix time of the start of the run.
nlohmann::json DiscoveryEntryOf(const RunSpec& spec, const Discovery::Entry& entry,
                                const std::string& address, int64_t epoch_ms);
/// The complete configuration file.
nlohmann::json ConfigurationOf(const RunSpec& spec, int gateway, const GatewayAddresses& addresses,
                               const nlohmann::json& known, uint64_t seed, double scale = 1);
std::string ZoneName(int zone);
std::string GatewayName(int gateway);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_SETTINGS_H_
