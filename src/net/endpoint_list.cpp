#include "net/endpoint_list.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/config.h"

namespace lemonchute::net {
namespace {

using nlohmann::json;
using policy::EndpointState;
using policy::ProtocolError;

constexpr int kUnknownIndex = 65535;  // of a zone or kind that is not in the settings

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  auto it = name.empty() ? names.end() : std::find(names.begin(), names.end(), config::SanitizeName(name));
  return it == names.end() ? kUnknownIndex : static_cast<int>(it - names.begin());
}

EndpointState ParseState(const std::string& status) {
  if (status == "active") return EndpointState::kReady;
  if (status == "leaving") return EndpointState::kDraining;
  if (status == "left") return EndpointState::kRemoved;
  throw ProtocolError("unknown endpoint status: " + status);
}

// Parses all fields but the backend's id.
EndpointRecord ParseRecord(const json& entry, const policy::SocketSettings& socket_settings) {
  EndpointRecord record;
  policy::Endpoint& backend = record.backend;
  backend.state = ParseState(entry.at("status").get<std::string>());
  if (backend.state != EndpointState::kRemoved || entry.contains("address")) {
    record.address = ParseAddress("address", entry.at("address").get<std::string>());
  }
  backend.kind = IndexOf(socket_settings.kinds, entry.value("type", ""));
  backend.zone = IndexOf(socket_settings.zones, entry.value("zone", ""));
  backend.cell = entry.value("group", 0);
  backend.weight = entry.value("weight", 1.0);
  backend.started_s = entry.value("since_ms", 0.0) / 1000;
  if (!std::isfinite(backend.weight) || !std::isfinite(backend.started_s))
    throw ProtocolError("weight or since_ms is not finite");
  return record;
}

}  // namespace

uint32_t BackendIds::NameHash(std::string_view name) {
  constexpr uint32_t kFnvOffset = 2166136261u, kFnvPrime = 16777619u;  // FNV-1a
  uint32_t hash = kFnvOffset;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

uint32_t BackendIds::GetOrAssign(const std::string& name) {
  auto it = ids_.find(name);
  if (it != ids_.end()) return it->second;
  uint32_t id = hash_(name);
  while (!names_.try_emplace(id, name).second) ++id;
  ids_[name] = id;
  return id;
}

std::optional<uint32_t> BackendIds::Find(const std::string& name) const {
  auto it = ids_.find(name);
  return it == ids_.end() ? std::nullopt : std::optional(it->second);
}

BackendList ParseBackendList(const json& list, const policy::SocketSettings& socket_settings,
                             BackendIds* ids) {
  BackendList out;
  std::vector<std::string> names;  // of the entries, in their order
  try {
    out.index = list.at("index").get<uint64_t>();
    out.is_snapshot = list.at("snapshot").get<bool>();
    for (const json& entry : list.at("endpoints")) {
      EndpointRecord record = ParseRecord(entry, socket_settings);
      names.push_back(entry.at("name").get<std::string>());
      out.entries.push_back(std::move(record));
    }
  } catch (const json::exception& error) {
    throw ProtocolError(error.what());
  }
  // Sorted, so that names with the same hash get the same ids wherever they are first listed together.
  std::vector<std::string> sorted = names;
  std::sort(sorted.begin(), sorted.end());
  for (const std::string& name : sorted) ids->GetOrAssign(name);
  for (size_t i = 0; i < names.size(); ++i) out.entries[i].backend.id = ids->GetOrAssign(names[i]);
  return out;
}

}  // namespace lemonchute::net
