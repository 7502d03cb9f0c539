/// Parses the settings' flat form, lines of path=value, into the policy's settings. The only place that maps
/// the operators' keys to the code's field names.
#ifndef LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_
#define LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/balancer.h"
#include "policy/protocol_error.h"

namespace lemonchute::policy {

/// @throws ProtocolError naming the setting that is missing or unreadable.
Settings ParseSettings(std::string_view text);

/// Settings from the same lines that the policy doesn't use: names, and the limits of connections.
struct SocketSettings {
  std::vector<std::string> classes, plans, zones, kinds;  ///< Names by index.
  double connection_idle_s = 0;
  double connect_timeout_s = 0;
  double drain_grace_s = 0;
  bool discovery_pushes = false;  ///< The agent's endpoint list counts as known here, asked for or not.
};

/// @throws ProtocolError naming the setting that is missing or unreadable.
SocketSettings ParseSocketSettings(std::string_view text);

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_
