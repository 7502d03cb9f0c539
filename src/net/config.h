// Parses a gateway's configuration into the settings of its parts, and merges a new configuration into the
// one that is running.
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

/// Configuration of the membership protocol.
struct PeerConfig {
  uint16_t self = 0;
  boost::asio::ip::udp::endpoint listen;
  std::vector<boost::asio::ip::udp::endpoint> peers;  // by number
  // Datagrams per second that a gateway accepts from its peers, and the share of them for membership.
  double max_datagrams_per_s = 0, membership_share = 0;
  uint32_t fleet_config_id = 0;  // id of the part that the fleet's configurations have in common
};

/// The settings of a gateway process.
struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  tcp::endpoint counter;
  bool has_counter = false;
  std::optional<tcp::endpoint> admin;  // none: no admin endpoint
  uint64_t seed = 0;
  int max_descriptors = 1024;
  int memory_mb = 192;
  std::optional<PeerConfig> membership;  // none: membership is off
  int passed_socket = -1;            // inherited listener for clients, shared with other processes; -1: none
  std::string state_folder;          // of files that outlive the process; empty: nothing is stored
  nlohmann::json initial_endpoints;  // endpoint list that was cached before the start; null: none
  policy::Settings settings;
  policy::SocketSettings socket_settings;  // an empty name: a class or plan that was removed
};

/// Parses an address in the form "10.0.0.4:5000"; throws policy::ProtocolError naming `key` on
/// anything else.
tcp::endpoint ParseAddress(const std::string& key, const std::string& text);

/// Converts nested settings into the path=value lines that ParseSettings reads.
std::string FlattenSettings(const nlohmann::json& settings);

/// A new configuration, its classes, plans, zones and kinds at indices that nothing else uses any more.
struct MergedSettings {
  Config config;
  policy::SettingsIndices newly_assigned;  // indices that are new or belonged to another item
};

/// Merges a new configuration into the running one, so that indices in use stay valid.
/// An unchanged class keeps its index, and so does a plan, zone or kind of the same name. A removed one keeps
/// its index, without a name, while `in_use` contains it. All others get free indices, then new ones at the
/// end. Values that belong to the process (seed, admin endpoint, state folder, inherited listener) are kept.
MergedSettings MergeSettings(const Config& current, Config fresh, const policy::SettingsIndices& in_use);

/// Parses a document that CheckConfig has found valid. Throws policy::ProtocolError all the same on what
/// is missing or unreadable.
Config ParseConfig(const nlohmann::json& document);
/// Applies the environment variables: LB_OPS overrides `ops`, TMPDIR names the state folder, and
/// LB_PASSED_SOCKET the descriptor of the inherited listener.
void AddEnvironment(Config* config);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CONFIG_H_
