#include "config/settings_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <unordered_map>
#include <utility>

namespace lemonchute::policy {
namespace {

constexpr double kMaxInteger = 1e9;

// Looks up the values of the lines by path.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text) {
    while (!text.empty()) {
      const size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (!line.empty()) AddLine(line);
    }
  }

  const std::string& Text(const std::string& key) const {
    auto value = values_.find(key);
    if (value == values_.end()) throw ProtocolError("setting is missing: " + key);
    return value->second;
  }

  double Number(const std::string& key) const {
    const std::string& text = Text(key);
    const char* text_end = text.data() + text.size();
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text_end, value);
    if (error != std::errc() || end != text_end || !std::isfinite(value)) ThrowUnreadable(key, text);
    return value;
  }

  int Integer(const std::string& key) const {
    const double value = Number(key);
    if (value != std::floor(value) || value < 0 || value > kMaxInteger) ThrowUnreadable(key, Text(key));
    return static_cast<int>(value);
  }

  bool Boolean(const std::string& key) const {
    const std::string& text = Text(key);
    if (text != "true" && text != "false") ThrowUnreadable(key, text);
    return text == "true";
  }

  template <typename T>
  T Enum(const std::string& key, std::initializer_list<std::pair<const char*, T>> choices) const {
    const std::string& text = Text(key);
    for (const auto& [word, value] : choices) {
      if (text == word) return value;
    }
    ThrowUnreadable(key, text);
  }

  std::vector<std::string> CommaSeparated(const std::string& key) const {
    std::vector<std::string> parts;
    std::string_view rest = Text(key);
    while (!rest.empty()) {
      const size_t end = std::min(rest.find(','), rest.size());
      parts.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return parts;
  }

  // Returns the names of a list's entries: LIST.count, LIST.0.name, LIST.1.name, ...
  std::vector<std::string> EntryNames(const std::string& list) const {
    std::vector<std::string> names;
    const int count = Integer(list + ".count");
    for (int i = 0; i < count; ++i) names.push_back(Text(list + "." + std::to_string(i) + ".name"));
    return names;
  }

 private:
  [[noreturn]] static void ThrowUnreadable(const std::string& key, const std::string& text) {
    throw ProtocolError("setting is unreadable: " + key + "=" + text);
  }

  void AddLine(std::string_view line) {
    const size_t equals = line.find('=');
    if (equals == std::string_view::npos) throw ProtocolError("setting without '=': " + std::string(line));
    values_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
  }

  std::unordered_map<std::string, std::string> values_;
};

ClassSettings ParseClass(const SettingsReader& in, const std::string& prefix) {
  ClassSettings request_class;
  request_class.latency_objective_s = in.Number(prefix + "aim-s");
  request_class.deadline_s = in.Number(prefix + "hard-limit-s");
  if (request_class.deadline_s <= 0) {
    throw ProtocolError("setting is not positive: " + prefix + "hard-limit-s");
  }
  request_class.idempotency_window_s = in.Number(prefix + "window-s");
  request_class.priority_weight = in.Number(prefix + "importance");
  request_class.late_value_share = in.Number(prefix + "late-share");
  request_class.idempotency =
      in.Enum<Idempotency>(prefix + "effect", {{"free", Idempotency::kIdempotent},
                                               {"guarded", Idempotency::kWithinWindow},
                                               {"single_shot", Idempotency::kNonIdempotent}});
  request_class.idempotency_scope =
      in.Enum<IdempotencyScope>(prefix + "dedup-scope", {{"all", IdempotencyScope::kAll},
                                                         {"zone", IdempotencyScope::kZone},
                                                         {"cell", IdempotencyScope::kCell}});
  return request_class;
}

PlanSettings ParsePlan(const SettingsReader& in, const std::string& prefix) {
  PlanSettings plan;
  plan.rate_units_per_s = in.Number(prefix + "units-per-s");
  plan.burst_units = in.Number(prefix + "store-size");
  plan.ceiling_units_per_s = in.Number(prefix + "never-over-rate");
  plan.ceiling_burst_units = in.Number(prefix + "ceiling-burst");
  plan.ceiling_slack_units = in.Number(prefix + "cap-slack");
  plan.excess_value_share = in.Number(prefix + "excess-worth");
  plan.overage_cost = in.Number(prefix + "over-cost");
  plan.price = in.Number(prefix + "value-factor");
  plan.max_in_flight = in.Integer(prefix + "parallel");
  return plan;
}

bool ParseDiscoveryPushes(const SettingsReader& in) {
  return in.Enum<bool>("discovery", {{"pushed", true}, {"on_request", false}});
}

void ParseScalars(const SettingsReader& in, Settings* settings) {
  settings->gateway_index = in.Integer("me");
  settings->gateway_count = in.Integer("peers-total");
  settings->zone = in.Integer("zone");
  settings->timer_resolution_s = in.Number("resolution-s");
  settings->discovery_pushes = ParseDiscoveryPushes(in);
  settings->max_request_units = in.Number("specifics.units-top");
  settings->counter_enabled = in.Boolean("specifics.may-count");
  settings->counter_timeout_s = in.Number("specifics.counter-timeout-s");
  settings->counter_call_price = in.Number("specifics.counter-price");
  settings->cross_zone_price = in.Number("prices.cross-zone");
  settings->cancellation_allowed = in.Boolean("limits.cancel");
  settings->hedging_allowed = in.Boolean("limits.parallel-tries");
  settings->retry_after_allowed = in.Boolean("limits.retry-after");
  settings->max_retry_after_s = in.Number("limits.max-retry-after-s");
  settings->max_attempts = in.Integer("limits.try-limit");
  if (settings->max_attempts < 1) throw ProtocolError("setting is not positive: limits.try-limit");
  settings->cold_capacity_share = in.Number("invariants.cold-from");
  settings->warm_up_s = in.Number("invariants.warm-after-s");
  settings->cold_overload_multiple = in.Number("invariants.tip-multiple");
  settings->cold_overload_window_s = in.Number("invariants.tip-after-s");
  settings->endpoint_poll_interval_s = in.Number("invariants.ask-within-s");
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const SettingsReader in(text);
  Settings settings;
  ParseScalars(in, &settings);
  const int classes = in.Integer("request-classes.count");
  for (int i = 0; i < classes; ++i) {
    settings.classes.push_back(ParseClass(in, "request-classes." + std::to_string(i) + "."));
  }
  const int plans = in.Integer("tiers-of-service.count");
  for (int i = 0; i < plans; ++i) {
    settings.plans.push_back(ParsePlan(in, "tiers-of-service." + std::to_string(i) + "."));
  }
  return settings;
}

SocketSettings ParseSocketSettings(std::string_view text) {
  const SettingsReader in(text);
  SocketSettings settings;
  settings.classes = in.EntryNames("request-classes");
  settings.plans = in.EntryNames("tiers-of-service");
  settings.zones = in.CommaSeparated("zones");
  settings.kinds = in.CommaSeparated("kinds");
  settings.connection_idle_s = in.Number("limits.conn-idle-s");
  settings.connect_timeout_s = in.Number("limits.connect-timeout-s");
  settings.drain_grace_s = in.Number("invariants.drain-grace-s");
  settings.discovery_pushes = ParseDiscoveryPushes(in);
  return settings;
}

}  // namespace lemonchute::policy
