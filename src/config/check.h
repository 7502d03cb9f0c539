// Whether a configuration is sound: every fault in one go, each at its place, and apart from them what is
// only doubtful. No I/O.
#ifndef LEMONCHUTE_CONFIG_CHECK_H_
#define LEMONCHUTE_CONFIG_CHECK_H_

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace lemonchute::config {

// Whose configuration it is. The platform's is turned down only for what makes it unreadable, incomplete or
// of no use (LATER, "New settings"): what else is doubtful in it is a warning. An operator's is written by
// hand, so a contradiction or a figure out of range in it is a slip, and a fault.
enum class Author { kPlatform, kOperator };

struct Findings {
  std::vector<Fault> faults, warnings;
};

// "10.0.0.4:5000"; none for anything else.
struct HostPort {
  boost::asio::ip::address host;
  uint16_t port = 0;
};
std::optional<HostPort> ReadAddress(std::string_view text);

// Spaces and commas in names become '_', as they do in the flat form.
std::string PlainName(std::string_view name);

// `form`: the settings of the process's first file; what they had must be there and of the same kind. Null
// at a start.
Findings CheckConfig(const nlohmann::json& document, Author author, const nlohmann::json& form = nullptr);

// What a process has for itself and not as part of a revision: its random seed and the list that it began
// with, both new with each start, and its own operators' door (in an upgrade each process has another).
bool OwnKey(std::string_view key);

// The same configuration gives the same id whatever the order of its keys: a version 5 UUID (RFC 4122) of
// its text without the process's own keys.
std::string ContentId(const nlohmann::json& document);

// What all gateways of a fleet have in common, for comparing them: the first 32 bits of such an id of
// `limits`, `peers`, `extensions` and of the settings without a gateway's own number and zone.
uint32_t FleetId(const nlohmann::json& document);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CHECK_H_
