// Checks `extensions`: one key for each optional feature.
#include <optional>
#include <set>
#include <string>

#include "config/host_port.h"
#include "config/section_checks.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

// Share of a gateway's datagram rate. Below the minimum, a gateway in a fleet of the maximum size probes less
// often than every 2 s.
constexpr double kMinMembershipShare = 0.05;
constexpr double kMaxMembershipShare = 1;
constexpr double kMinPeerRatePerS = 1, kMaxPeerRatePerS = 1e6;  // in datagrams
constexpr size_t kMaxPeers = 8192;                              // limit of the datagram format

enum class PortRule { kAny, kFixed };

bool CheckPeerAddress(const json& value, const std::string& path, PortRule port_rule,
                      FaultReporter* reporter) {
  auto address = value.is_string() ? ParseHostPort(value.get_ref<const std::string&>()) : std::nullopt;
  const bool valid = address && address->host.is_v4() && (port_rule == PortRule::kAny || address->port != 0);
  if (!valid)
    reporter->Fault(path, "must be an IPv4 address such as 10.0.0.4:7946 for extensions.membership");
  return valid;
}

void CheckMembershipFields(const json& membership, FaultReporter* reporter) {
  const std::string path = "/extensions/membership";
  for (const auto& [key, value] : membership.items()) {
    if (key != "share") {
      reporter->Fault(ChildPath(path, key), "is not known");
    } else if (!value.is_number() || value.get<double>() < kMinMembershipShare ||
               value.get<double>() > kMaxMembershipShare) {
      reporter->Fault(ChildPath(path, key), "must be a number from 0.05 to 1");
    }
  }
}

void CheckPeerRate(const json* settings, FaultReporter* reporter) {
  std::optional<double> rate_per_s;
  if (settings != nullptr && settings->is_object() && settings->contains("specifics")) {
    rate_per_s = FindNumber(settings->at("specifics"), "peer-in-per-s");
  }
  if (rate_per_s && *rate_per_s >= kMinPeerRatePerS && *rate_per_s <= kMaxPeerRatePerS) return;
  reporter->Fault("/settings/specifics/peer-in-per-s",
                  "must be a number from 1 to 1000000 for extensions.membership");
}

// There must be one distinct address for each of the settings' `peers-total` gateways.
void CheckPeers(const json& peers, const json& settings, FaultReporter* reporter) {
  auto total = FindNumber(settings, "peers-total");
  auto self = FindNumber(settings, "me");
  if (!total || *total != static_cast<double>(peers.size()) || peers.size() > kMaxPeers) {
    reporter->Fault("/peers", "must hold one address for each of settings/peers-total, at most " +
                                  std::to_string(kMaxPeers) + ", and holds " + std::to_string(peers.size()));
  }
  if (!self || *self >= static_cast<double>(peers.size())) {
    reporter->Fault("/settings/me", "must be a place in /peers for extensions.membership");
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < peers.size(); ++i) {
    const std::string path = ChildPath("/peers", i);
    if (!CheckPeerAddress(peers[i], path, PortRule::kFixed, reporter)) continue;
    const auto& address = peers[i].get_ref<const std::string&>();
    if (!seen.insert(address).second) reporter->Fault(path, "occurs twice: " + Printable(address));
  }
}

// Membership needs peer addresses and a datagram rate in addition to its own key.
void CheckMembership(const json& membership, const json& document, FaultReporter* reporter) {
  if (!membership.is_object()) return reporter->WrongType("/extensions/membership", "an object", membership);
  CheckMembershipFields(membership, reporter);
  const json peer_listen = document.contains("peer_listen") ? document.at("peer_listen") : json();
  CheckPeerAddress(peer_listen, "/peer_listen", PortRule::kAny, reporter);
  const json* settings = document.contains("settings") ? &document.at("settings") : nullptr;
  CheckPeerRate(settings, reporter);
  const json* peers = RequireList(document, "", "peers", reporter);
  if (peers != nullptr && settings != nullptr) CheckPeers(*peers, *settings, reporter);
}

}  // namespace

void CheckExtensions(const json& document, FaultReporter* reporter) {
  auto extensions = document.find("extensions");
  if (extensions == document.end()) return;
  if (!extensions->is_object()) return reporter->WrongType("/extensions", "an object", *extensions);
  for (const auto& [key, value] : extensions->items()) {
    if (key == "membership") {
      CheckMembership(value, document, reporter);
    } else {
      reporter->Fault(ChildPath("/extensions", key), "is not known");
    }
  }
}

}  // namespace lemonchute::config
