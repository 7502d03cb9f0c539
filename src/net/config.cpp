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

// A quarter of what a member takes: what else gateways say to one another has the rest.
constexpr double kMembershipShare = 0.25;
constexpr int kPassedSocket = 4;  // where its variable is set to something else than a number

void FlattenInto(const std::string& path, const json& value, std::string* out) {
  auto line = [&](const std::string& key, const std::string& text) { *out += key + "=" + text + "\n"; };
  auto plain = [](const json& v) {
    return v.is_string() ? config::PlainName(v.get<std::string>()) : v.dump();
  };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      FlattenInto(path.empty() ? key : path + "." + key, inner, out);
    }
  } else if (value.is_array()) {
    bool objects = !value.empty() && value.front().is_object();
    if (objects || value.empty()) line(path + ".count", std::to_string(value.size()));
    if (objects) {
      for (size_t i = 0; i < value.size(); ++i) FlattenInto(path + "." + std::to_string(i), value[i], out);
      return;
    }
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + plain(item);
    line(path, joined);
  } else {
    line(path, plain(value));
  }
}

// Puts what `items` holds under `names` into the places of what there was. `stays` says whether one of the
// same name does; `blank` makes of an item what keeps a dropped one's place.
template <typename Item, typename Stays, typename Blank>
void Place(const std::vector<std::string>& old_names, const std::vector<Item>& old_items,
           const std::unordered_set<int>& in_use, std::vector<std::string>* names, std::vector<Item>* items,
           std::unordered_set<int>* renewed, std::vector<int>* where, Stays stays, Blank blank) {
  std::unordered_multimap<std::string, size_t> at;
  for (size_t i = 0; i < old_names.size(); ++i) {
    if (!old_names[i].empty()) at.emplace(old_names[i], i);
  }
  std::vector<bool> taken(old_names.size(), false);
  where->assign(names->size(), -1);
  for (size_t i = 0; i < names->size(); ++i) {
    auto [from, to] = at.equal_range((*names)[i]);
    for (auto it = from; it != to && (*where)[i] < 0; ++it) {
      if (taken[it->second] || !stays(old_items[it->second], (*items)[i])) continue;
      (*where)[i] = static_cast<int>(it->second);
      taken[it->second] = true;
    }
  }
  size_t size = old_names.size();
  // Places at the end that nobody needs any more go away; the others wait to be taken.
  while (size > 0 && !taken[size - 1] && in_use.count(static_cast<int>(size - 1)) == 0) --size;
  std::vector<size_t> free;
  for (size_t i = size; i-- > 0;) {
    if (!taken[i] && in_use.count(static_cast<int>(i)) == 0) free.push_back(i);
  }
  std::vector<std::string> placed_names(size);
  std::vector<Item> placed(old_items.begin(), old_items.begin() + static_cast<ptrdiff_t>(size));
  for (size_t i = 0; i < size; ++i) {
    if (!taken[i]) blank(&placed[i]);
  }
  for (size_t i = 0; i < names->size(); ++i) {
    if ((*where)[i] < 0) {
      if (free.empty()) {
        free.push_back(placed.size());
        placed.emplace_back();
        placed_names.emplace_back();
      }
      (*where)[i] = static_cast<int>(free.back());
      free.pop_back();
      renewed->insert((*where)[i]);
    }
    size_t place = static_cast<size_t>((*where)[i]);
    placed_names[place] = (*names)[i];
    placed[place] = (*items)[i];
  }
  *names = std::move(placed_names);
  *items = std::move(placed);
}

// The same for names alone, which stay if they are there.
void PlaceNames(const std::vector<std::string>& old_names, const std::unordered_set<int>& in_use,
                std::vector<std::string>* names, std::vector<int>* where) {
  std::vector<char> old_items(old_names.size()), items(names->size());
  std::unordered_set<int> renewed;
  Place(
      old_names, old_items, in_use, names, &items, &renewed, where, [](char, char) { return true; },
      [](char*) {});
}

std::string Text(const json& from, const char* key) {
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

// The document has been found sound, so this only picks up.
PeerConfig ParsePeers(const json& all) {
  auto endpoint = [&](const char* key, const json& text) {
    tcp::endpoint at = ParseAddress(key, text.get<std::string>());
    return boost::asio::ip::udp::endpoint(at.address(), at.port());
  };
  const json& settings = all.at("settings");
  PeerConfig peers;
  peers.self = settings.at("me").get<uint16_t>();
  peers.listen = endpoint("peer_listen", all.at("peer_listen"));
  for (const json& peer : all.at("peers")) peers.peers.push_back(endpoint("peers", peer));
  peers.max_datagrams_per_s = settings.at("specifics").at("peer-in-per-s").get<double>();
  peers.membership_share = all.at("extensions").at("membership").value("share", kMembershipShare);
  peers.fleet_config_id = config::FleetId(all);
  return peers;
}

}  // namespace

Config ParseConfig(const json& all) {
  if (!all.is_object()) throw ProtocolError("the configuration is not a JSON object");
  Config config;
  config.name = Text(all, "name");
  config.listen = ParseAddress("listen", Text(all, "listen"));
  config.discovery = ParseAddress("discovery", Text(all, "discovery"));
  if (all.contains("counter") && !all.at("counter").is_null()) {
    config.counter = ParseAddress("counter", Text(all, "counter"));
    config.has_counter = true;
  }
  if (all.contains("ops") && !all.at("ops").is_null()) config.admin = ParseAddress("ops", Text(all, "ops"));
  std::string seed = Text(all, "seed");
  auto [end, bad] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (bad != std::errc() || end != seed.data() + seed.size()) {
    throw ProtocolError("setting is unreadable: seed=" + seed);
  }
  if (auto limits = all.find("limits"); limits != all.end()) {
    if (!limits->is_object()) throw ProtocolError("setting is unreadable: limits");
    auto whole = [&](const char* name, int least, int* value) {
      auto it = limits->find(name);
      if (it == limits->end()) return;
      bool fits = it->is_number_integer() && *it >= least && *it <= 1000000;
      if (!fits) throw ProtocolError(std::string("setting is unreadable: limits.") + name);
      *value = it->get<int>();
    };
    whole("sockets", 64, &config.max_descriptors);
    whole("memory_mb", 1, &config.memory_mb);
  }
  if (auto known = all.find("known"); known != all.end()) config.initial_endpoints = *known;
  auto settings = all.find("settings");
  if (settings == all.end()) throw ProtocolError("setting is missing: settings");
  if (!settings->is_object()) throw ProtocolError("setting is unreadable: settings");
  std::string flat = FlattenSettings(*settings);
  config.settings = policy::ParseSettings(flat);
  config.socket_settings = policy::ParseSocketSettings(flat);
  if (config.settings.counter_enabled && !config.has_counter)
    throw ProtocolError("setting is missing: counter");
  if (all.contains("extensions") && all.at("extensions").contains("membership"))
    config.membership = ParsePeers(all);
  return config;
}

MergedSettings MergeSettings(const Config& current, Config fresh, const policy::SettingsIndices& in_use) {
  MergedSettings out;
  const policy::SocketSettings& had = current.socket_settings;
  policy::SocketSettings& has = fresh.socket_settings;
  std::vector<int> where;
  Place(
      had.classes, current.settings.classes, in_use.classes, &has.classes, &fresh.settings.classes,
      &out.newly_assigned.classes, &where, [](const auto& was, const auto& is) { return was == is; },
      [](auto* removed) {
        removed->priority_weight = 0;  // nobody asks for it any more, so nothing is to be kept free for it
        removed->removed = true;
      });
  Place(
      had.plans, current.settings.plans, in_use.plans, &has.plans, &fresh.settings.plans,
      &out.newly_assigned.plans, &where, [](const auto&, const auto&) { return true; },
      [](auto* removed) { removed->removed = true; });
  PlaceNames(had.kinds, in_use.kinds, &has.kinds, &where);
  PlaceNames(had.zones, in_use.zones, &has.zones, &where);
  if (static_cast<size_t>(fresh.settings.zone) < where.size()) {
    fresh.settings.zone = where[static_cast<size_t>(fresh.settings.zone)];
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
  auto text = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  if (std::string ops = text("LB_OPS"); !ops.empty()) config->admin = ParseAddress("LB_OPS", ops);
  config->state_folder = text("TMPDIR");
  if (std::string passed = text("LB_PASSED_SOCKET"); !passed.empty()) {
    auto [end, bad] = std::from_chars(passed.data(), passed.data() + passed.size(), config->passed_socket);
    if (bad != std::errc() || end != passed.data() + passed.size()) config->passed_socket = kPassedSocket;
  }
}

}  // namespace lemonchute::net
