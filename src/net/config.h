// Reads a gateway's config.json into settings; holds no decision.
#ifndef LEMONCHUTE_NET_CONFIG_H_
#define LEMONCHUTE_NET_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "config/check.h"
#include "config/settings_parser.h"
#include "policy/balancer.h"

namespace lemonchute::net {

using boost::asio::ip::tcp;

// What speaking to the other gateways needs.
struct PeerConfig {
  uint16_t self = 0;
  boost::asio::ip::udp::endpoint listen;
  std::vector<boost::asio::ip::udp::endpoint> peers;  // by number
  double max_datagrams_per_s = 0,
         membership_share = 0;   // datagrams that each takes; membership's part of them
  uint32_t fleet_config_id = 0;  // id of what the fleet's configurations have in common
};

struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  tcp::endpoint counter;
  bool has_counter = false;
  std::optional<tcp::endpoint> admin;  // none: no door for operators
  uint64_t seed = 0;
  int max_descriptors = 1024;
  int memory_mb = 192;
  std::optional<PeerConfig> membership;  // none: off
  int passed_socket = -1;    // a descriptor that listens for clients already, held by other processes too
  std::string state_folder;  // for files that the next process finds; empty: none
  nlohmann::json initial_endpoints;  // null where the gateway has no list yet
  policy::Settings settings;
  policy::SocketSettings socket_settings;  // an empty name: a class or plan that the settings have dropped
};

// "10.0.0.4:5000"; throws policy::WireError naming `key` on anything else.
tcp::endpoint ParseAddress(const std::string& key, const std::string& text);

// The path=value lines that ParseSettings reads, from the nested form of the same settings.
std::string FlattenSettings(const nlohmann::json& settings);

// What a new configuration becomes beside the one that runs: its classes, plans, zones and kinds in places
// that nothing else has.
struct MergedSettings {
  Config config;
  policy::SettingsIndices newly_assigned;  // places that were another's, or are new
};

// What stays, keeps its place: a class that is as it was, a plan, zone or kind by its name. What the settings
// drop keeps its place, without a name, as long as `in_use` says that something refers to it. The rest has
// the places that are free, and new ones after all that there were. Keeps what the process has for itself.
MergedSettings MergeSettings(const Config& current, Config fresh, const policy::SettingsIndices& in_use);

// Of a document that CheckConfig found sound. Throws policy::WireError all the same on what is
// missing or unreadable.
Config ParseConfig(const nlohmann::json& document);
// What the environment adds to the file: LB_OPS goes before `ops`, TMPDIR names the folder, and
// LB_PASSED_SOCKET the descriptor.
void AddEnvironment(Config* config);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CONFIG_H_
