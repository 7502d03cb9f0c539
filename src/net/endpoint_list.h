// Parses discovery's lists of backends and assigns ids to the backends' names.
#ifndef LEMONCHUTE_NET_ENDPOINT_LIST_H_
#define LEMONCHUTE_NET_ENDPOINT_LIST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/settings_parser.h"
#include "net/socket_io.h"
#include "policy/balancer.h"

namespace lemonchute::net {

/// One backend of a list.
struct EndpointRecord {
  policy::Endpoint backend;
  tcp::endpoint address;  ///< Unset for a removed backend that is listed without one.
};

/// A snapshot of all backends, or those that have changed since an earlier list.
struct BackendList {
  uint64_t index = 0;        ///< Version of the list.
  bool is_snapshot = false;  ///< Whether all backends are listed.
  std::vector<EndpointRecord> entries;
};

/// Assigns ids to names. The ids are the same at every gateway, since they depend on the names alone. Names
/// with the same hash get consecutive ids in the order of their first use; only then may gateways that first
/// saw them in a different order differ.
class BackendIds {
 public:
  using Hash = uint32_t (*)(std::string_view);
  explicit BackendIds(Hash hash = &NameHash) : hash_(hash) {}
  /// The name's id, assigned if it has none yet.
  uint32_t GetOrAssign(const std::string& name);
  /// The name's id, or none if it was never listed.
  std::optional<uint32_t> Find(const std::string& name) const;
  static uint32_t NameHash(std::string_view name);

 private:
  Hash hash_;
  std::unordered_map<std::string, uint32_t> ids_;
  std::unordered_map<uint32_t, std::string> names_;
};

/// Parses a list in discovery's format and assigns ids to its names.
/// @param socket_settings the names of zones and kinds, whose indices the records contain
/// @throws policy::ProtocolError if the document is malformed
BackendList ParseBackendList(const nlohmann::json& list, const policy::SocketSettings& socket_settings,
                             BackendIds* ids);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ENDPOINT_LIST_H_
