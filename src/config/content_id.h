/// Identifiers of a configuration's content, independent of the order of its keys.
#ifndef LEMONCHUTE_CONFIG_CONTENT_ID_H_
#define LEMONCHUTE_CONFIG_CONTENT_ID_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lemonchute::config {

/// Whether a top-level key belongs to one process rather than to a revision: the random seed and the initial
/// endpoint list are new with each start, and during an upgrade each process has its own admin endpoint.
bool IsProcessLocalKey(std::string_view key);

/// A version 5 UUID (RFC 4122) of the document's text without its process-local keys.
std::string ContentId(const nlohmann::json& document);

/// Identifies what all gateways of a fleet must agree on: the first 32 bits of a UUID of `limits`, `peers`,
/// `extensions` and `settings`, without a gateway's own index and zone.
uint32_t FleetId(const nlohmann::json& document);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CONTENT_ID_H_
