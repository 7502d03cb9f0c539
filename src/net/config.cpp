#include "net/config.h"

#include <charconv>
#include <cstdlib>
#include <unordered_map>

#include "config/content_id.h"
#include "config/host_port.h"

namespace lemonchute::net {
namespace {

using nlohmann::json;
using policy::ProtocolError;

// A quarter of the datagrams that a gateway accepts; the rest is for other messages between gateways.
constexpr double kMembershipShare = 0.25;
constexpr int kPassedSocket = 4;  // if LB_PASSED_SOCKET is set to something other than a number

void FlattenInto(const std::string& path, const json& value, std::string* out) {
  auto line = [&](const std::string& key, const std::string& text) { *out += key + "=" + text + "\n"; };
  auto to_text = [](const json& v) {
    return v.is_string() ? config::SanitizeName(v.get<std::string>()) : v.dump();
  };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      FlattenInto(path.empty() ? key : path + "." + key, inner, out);
    }
  } else if (value.is_array()) {
    bool holds_objects = !value.empty() && value.front().is_object();
    if (holds_objects || value.empty()) line(path + ".count", std::to_string(value.size()));
    if (holds_objects) {
      for (size_t i = 0; i < value.size(); ++i) FlattenInto(path + "." + std::to_string(i), value[i], out);
      return;
    }
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + to_text(item);
    line(path, joined);
  } else {
    line(path, to_text(value));
  }
}

// Assigns an index to each of the new `items`, and reorders `names` and `items` by index. An item continues
// an old one, and keeps its index, if the names are equal and `is_same` holds. `clear` marks an old item that
// is not continued.
// @param indices receives the index of each item, in the original order.
template <typename Item, typename IsSame, typename Clear>
void AssignIndices(const std::vector<std::string>& old_names, const std::vector<Item>& old_items,
                   const std::unordered_set<int>& in_use, std::vector<std::string>* names,
                   std::vector<Item>* items, std::unordered_set<int>* newly_assigned,
                   std::vector<int>* indices, IsSame is_same, Clear clear) {
  std::unordered_multimap<std::string, size_t> old_indices;
  for (size_t i = 0; i < old_names.size(); ++i) {
    if (!old_names[i].empty()) old_indices.emplace(old_names[i], i);
  }
  std::vector<bool> taken(old_names.size(), false);
  indices->assign(names->size(), -1);
  for (size_t i = 0; i < names->size(); ++i) {
    auto [from, to] = old_indices.equal_range((*names)[i]);
    for (auto it = from; it != to && (*indices)[i] < 0; ++it) {
      if (taken[it->second] || !is_same(old_items[it->second], (*items)[i])) continue;
      (*indices)[i] = static_cast<int>(it->second);
      taken[it->second] = true;
    }
  }
  size_t size = old_names.size();
  // Unused indices at the end are dropped; those in between can be assigned.
  while (size > 0 && !taken[size - 1] && in_use.count(static_cast<int>(size - 1)) == 0) --size;
  std::vector<size_t> free_indices;
  for (size_t i = size; i-- > 0;) {
    if (!taken[i] && in_use.count(static_cast<int>(i)) == 0) free_indices.push_back(i);
  }
  std::vector<std::string> merged_names(size);
  std::vector<Item> merged_items(old_items.begin(), old_items.begin() + static_cast<ptrdiff_t>(size));
  for (size_t i = 0; i < size; ++i) {
    if (!taken[i]) clear(&merged_items[i]);
  }
  for (size_t i = 0; i < names->size(); ++i) {
    if ((*indices)[i] < 0) {
      if (free_indices.empty()) {
        free_indices.push_back(merged_items.size());
        merged_items.emplace_back();
        merged_names.emplace_back();
      }
      (*indices)[i] = static_cast<int>(free_indices.back());
      free_indices.pop_back();
      newly_assigned->insert((*indices)[i]);
    }
    size_t index = static_cast<size_t>((*indices)[i]);
    merged_names[index] = (*names)[i];
    merged_items[index] = (*items)[i];
  }
  *names = std::move(merged_names);
  *items = std::move(merged_items);
}

// The same for items that consist of a name only.
void AssignNameIndices(const std::vector<std::string>& old_names, const std::unordered_set<int>& in_use,
                       std::vector<std::string>* names, std::vector<int>* indices) {
  std::vector<char> old_items(old_names.size()), items(names->size());
  std::unordered_set<int> newly_assigned;
  AssignIndices(
      old_names, old_items, in_use, names, &items, &newly_assigned, indices, [](char, char) { return true; },
      [](char*) {});
}

std::string RequiredString(const json& from, const char* key) {
  auto it = from.find(key);
  if (it == from.end()) throw ProtocolError(std::string("setting is missing: ") + key);
  if (!it->is_string()) throw ProtocolError(std::string("setting is unreadable: ") + key);
  return it->get<std::string>();
}

}  // namespace

std::string FlattenSettings(const json& settings) {
  std::string out;
  FlattenInto("", settings, &out);
  return out;
}

tcp::endpoint ParseAddress(const std::string& key, const std::string& text) {
  auto address = config::ParseHostPort(text);
  if (!address) throw ProtocolError("setting is unreadable: " + key + "=" + text);
  return {address->host, address->port};
}

namespace {

// The document has been validated, so the values are extracted without further checks.
PeerConfig ParsePeerConfig(const json& document) {
  auto endpoint = [&](const char* key, const json& text) {
    tcp::endpoint address = ParseAddress(key, text.get<std::string>());
    return boost::asio::ip::udp::endpoint(address.address(), address.port());
  };
  const json& settings = document.at("settings");
  PeerConfig peer_config;
  peer_config.self = settings.at("me").get<uint16_t>();
  peer_config.listen = endpoint("peer_listen", document.at("peer_listen"));
  for (const json& peer : document.at("peers")) peer_config.peers.push_back(endpoint("peers", peer));
  peer_config.max_datagrams_per_s = settings.at("specifics").at("peer-in-per-s").get<double>();
  peer_config.membership_share = document.at("extensions").at("membership").value("share", kMembershipShare);
  peer_config.fleet_config_id = config::FleetId(document);
  return peer_config;
}

}  // namespace

Config ParseConfig(const json& document) {
  if (!document.is_object()) throw ProtocolError("the configuration is not a JSON object");
  Config config;
  config.name = RequiredString(document, "name");
  config.listen = ParseAddress("listen", RequiredString(document, "listen"));
  config.discovery = ParseAddress("discovery", RequiredString(document, "discovery"));
  if (document.contains("counter") && !document.at("counter").is_null()) {
    config.counter = ParseAddress("counter", RequiredString(document, "counter"));
    config.has_counter = true;
  }
  if (document.contains("ops") && !document.at("ops").is_null())
    config.admin = ParseAddress("ops", RequiredString(document, "ops"));
  std::string seed = RequiredString(document, "seed");
  auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) {
    throw ProtocolError("setting is unreadable: seed=" + seed);
  }
  if (auto limits = document.find("limits"); limits != document.end()) {
    if (!limits->is_object()) throw ProtocolError("setting is unreadable: limits");
    auto read_integer = [&](const char* name, int minimum, int* value) {
      auto it = limits->find(name);
      if (it == limits->end()) return;
      bool valid = it->is_number_integer() && *it >= minimum && *it <= 1000000;
      if (!valid) throw ProtocolError(std::string("setting is unreadable: limits.") + name);
      *value = it->get<int>();
    };
    read_integer("sockets", 64, &config.max_descriptors);
    read_integer("memory_mb", 1, &config.memory_mb);
  }
  if (auto known = document.find("known"); known != document.end()) config.initial_endpoints = *known;
  auto settings = document.find("settings");
  if (settings == document.end()) throw ProtocolError("setting is missing: settings");
  if (!settings->is_object()) throw ProtocolError("setting is unreadable: settings");
  std::string flat = FlattenSettings(*settings);
  config.settings = policy::ParseSettings(flat);
  config.socket_settings = policy::ParseSocketSettings(flat);
  if (config.settings.counter_enabled && !config.has_counter)
    throw ProtocolError("setting is missing: counter");
  if (document.contains("extensions") && document.at("extensions").contains("membership"))
    config.membership = ParsePeerConfig(document);
  return config;
}

MergedSettings MergeSettings(const Config& current, Config fresh, const policy::SettingsIndices& in_use) {
  MergedSettings out;
  const policy::SocketSettings& old_names = current.socket_settings;
  policy::SocketSettings& new_names = fresh.socket_settings;
  std::vector<int> indices;
  AssignIndices(
      old_names.classes, current.settings.classes, in_use.classes, &new_names.classes,
      &fresh.settings.classes, &out.newly_assigned.classes, &indices,
      [](const auto& was, const auto& is) { return was == is; },
      [](auto* removed) {
        removed->priority_weight = 0;  // gets no new requests, so no capacity is kept free for it
        removed->removed = true;
      });
  AssignIndices(
      old_names.plans, current.settings.plans, in_use.plans, &new_names.plans, &fresh.settings.plans,
      &out.newly_assigned.plans, &indices, [](const auto&, const auto&) { return true; },
      [](auto* removed) { removed->removed = true; });
  AssignNameIndices(old_names.kinds, in_use.kinds, &new_names.kinds, &indices);
  AssignNameIndices(old_names.zones, in_use.zones, &new_names.zones, &indices);
  if (static_cast<size_t>(fresh.settings.zone) < indices.size()) {
    fresh.settings.zone = indices[static_cast<size_t>(fresh.settings.zone)];
  }
  fresh.seed = current.seed;
  fresh.admin = current.admin;
  fresh.state_folder = current.state_folder;
  fresh.passed_socket = current.passed_socket;
  fresh.initial_endpoints = nullptr;
  out.config = std::move(fresh);
  return out;
}

void AddEnvironment(Config* config) {
  auto variable = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  if (std::string ops = variable("LB_OPS"); !ops.empty()) config->admin = ParseAddress("LB_OPS", ops);
  config->state_folder = variable("TMPDIR");
  if (std::string passed = variable("LB_PASSED_SOCKET"); !passed.empty()) {
    auto [end, error] = std::from_chars(passed.data(), passed.data() + passed.size(), config->passed_socket);
    if (error != std::errc() || end != passed.data() + passed.size()) config->passed_socket = kPassedSocket;
  }
}

}  // namespace lemonchute::net
