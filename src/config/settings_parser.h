// Parses the settings' flat form, lines of path=value, into the policy's settings. The only place that maps
// the operators' names to the code's.
#ifndef LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_
#define LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/balancer.h"
#include "policy/protocol_error.h"

namespace lemonchute::policy {

// @throws ProtocolError naming the setting that is missing or unreadable.
Settings ParseSettings(std::string_view text);

// What a gateway needs of the same lines beside the policy's settings: names and the limits of sockets.
struct SocketSettings {
  std::vector<std::string> classes, plans, zones, kinds;  // names by index
  double connection_idle_s = 0;
  double connect_timeout_s = 0;
  double drain_grace_s = 0;
  bool discovery_pushes = false;  // what discovery's agent has counts as known here, whether asked for or not
};

// @throws ProtocolError naming the setting that is missing or unreadable.
SocketSettings ParseSocketSettings(std::string_view text);

}  // namespace lemonchute::policy

#endif  // LEMONCHUTE_CONFIG_SETTINGS_PARSER_H_
