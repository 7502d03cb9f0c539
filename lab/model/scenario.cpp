// The table of scenario keys, and the parser of the TOML form (toml++).
#include "model/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace lemonchute::lab {
namespace {

// Larger than any value of a site; products stay within what a double represents exactly.
constexpr double kUnbounded = 1e9;
constexpr size_t kMaxErrors = 64, kMaxTextBytes = 1 << 20, kMaxEntries = 64;

using Errors = std::vector<ScenarioError>;

void AddError(Errors* errors, int line, std::string key, std::string message) {
  if (errors->size() < kMaxErrors) errors->push_back({line, std::move(key), std::move(message)});
}

int LineOf(const toml::node& node) { return static_cast<int>(node.source().begin.line); }

std::string FormatNumber(double value) {
  std::string text = std::to_string(value);
  while (text.find('.') != std::string::npos && (text.back() == '0' || text.back() == '.')) {
    bool point = text.back() == '.';
    text.pop_back();
    if (point) break;
  }
  return text;
}

// Reads the range in `node` and checks it against the limits of `parameter`.
template <typename Owner>
void ReadParameter(const Parameter<Owner>& parameter, const toml::node& node, const std::string& key,
                   Owner* owner, Errors* errors) {
  Range range;
  auto number = [](const toml::node& n) { return n.value<double>(); };
  if (const toml::array* bounds = node.as_array()) {
    auto lo = bounds->size() == 2 ? number(*bounds->get(0)) : std::nullopt;
    auto hi = bounds->size() == 2 ? number(*bounds->get(1)) : std::nullopt;
    if (!lo || !hi) return AddError(errors, LineOf(node), key, "is not a range of two numbers, [from, to]");
    range = {*lo, *hi};
  } else if (auto value = number(node)) {
    range = {*value, *value};
  } else if (auto flag = node.value<bool>()) {
    range = {*flag ? 1.0 : 0.0, *flag ? 1.0 : 0.0};
  } else {
    return AddError(errors, LineOf(node), key, "is neither a number nor a range, [from, to]");
  }
  if (!std::isfinite(range.lo) || !std::isfinite(range.hi))
    return AddError(errors, LineOf(node), key, "is not a finite number");
  if (range.lo > range.hi)
    return AddError(
        errors, LineOf(node), key,
        "is an inverted range: " + FormatNumber(range.lo) + " is above " + FormatNumber(range.hi));
  if (range.lo < parameter.min || range.hi > parameter.max) {
    return AddError(errors, LineOf(node), key,
                    "has to lie from " + FormatNumber(parameter.min) + " to " + FormatNumber(parameter.max));
  }
  if (parameter.integer_only && (range.lo != std::floor(range.lo) || range.hi != std::floor(range.hi))) {
    return AddError(errors, LineOf(node), key, "has to be a whole number");
  }
  owner->*parameter.member = range;
}

template <typename Owner>
const Parameter<Owner>* FindParameter(const std::vector<Parameter<Owner>>& parameters, std::string_view key) {
  for (const Parameter<Owner>& parameter : parameters) {
    if (key == parameter.key) return &parameter;
  }
  return nullptr;
}

// A key that differs only in its last part usually has the wrong unit: suggest the right key.
template <typename Owner>
std::string UnknownKeyMessage(const std::vector<Parameter<Owner>>& parameters, std::string_view key) {
  auto stem = [](std::string_view k) { return k.substr(0, std::min(k.rfind('_'), k.size())); };
  for (const Parameter<Owner>& parameter : parameters) {
    if (stem(parameter.key) == stem(key))
      return std::string("is not known; did you mean ") + parameter.key + "?";
  }
  return "is not known";
}

template <typename Owner>
void ReadTable(const std::vector<Parameter<Owner>>& parameters, const toml::table& table,
               const std::string& at, const std::set<std::string_view>& texts, Owner* owner, Errors* errors) {
  for (const auto& [name, node] : table) {
    std::string_view key = name.str();
    if (texts.count(key) != 0) continue;
    std::string full = at.empty() ? std::string(key) : at + "." + std::string(key);
    if (const Parameter<Owner>* parameter = FindParameter(parameters, key)) {
      ReadParameter(*parameter, node, full, owner, errors);
    } else {
      AddError(errors, LineOf(node), full, UnknownKeyMessage(parameters, key));
    }
  }
}

std::string ReadText(const toml::table& table, const char* key, const std::string& at, bool needed,
                     Errors* errors) {
  const toml::node* node = table.get(key);
  std::string full = at.empty() ? key : at + "." + key;
  if (node == nullptr) {
    if (needed) AddError(errors, LineOf(table), full, "is missing");
    return "";
  }
  auto text = node->value<std::string>();
  bool valid = text && text->size() <= 400 &&
               std::all_of(text->begin(), text->end(), [](unsigned char c) { return c >= 0x20; });
  if (!valid)
    AddError(errors, LineOf(*node), full,
             "is not a text of at most 400 characters without control characters");
  return valid ? *text : "";
}

// Reads a list of whole numbers; empty if the key is absent.
std::vector<int> ReadNumbers(const toml::table& table, const char* key, const std::string& at,
                             Errors* errors) {
  std::vector<int> numbers;
  const toml::node* node = table.get(key);
  if (node == nullptr) return numbers;
  const toml::array* list = node->as_array();
  bool valid = list != nullptr && !list->empty() && list->size() <= 10000;
  for (size_t i = 0; valid && i < list->size(); ++i) {
    auto number = list->get(i)->value_exact<int64_t>();
    valid = number && *number >= 0 && *number < 10000;
    if (valid) numbers.push_back(static_cast<int>(*number));
  }
  if (!valid) AddError(errors, LineOf(*node), at + "." + key, "is not a list of one to 10000 whole numbers");
  return numbers;
}

// Names are used in paths and headers: letters, digits and dashes.
void CheckName(const std::string& name, int line, const std::string& key, Errors* errors) {
  bool valid = !name.empty() && name.size() <= 40 && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  if (!valid)
    AddError(errors, line, key, "has to be lower-case letters, digits and dashes, at most 40 characters");
}

// Visits the tables of an array of tables with their paths.
template <typename Visit>
void ForEachTable(const toml::table& root, const char* key, Errors* errors, Visit visit) {
  const toml::node* node = root.get(key);
  if (node == nullptr) return;
  const toml::array* items = node->as_array();
  if (items == nullptr || items->size() > kMaxEntries) {
    return AddError(errors, LineOf(*node), key,
                    "is not a list of at most " + std::to_string(kMaxEntries) + " tables, [[" + key + "]]");
  }
  for (size_t i = 0; i < items->size(); ++i) {
    std::string at = std::string(key) + "[" + std::to_string(i) + "]";
    if (const toml::table* item = items->get(i)->as_table()) {
      visit(*item, at);
    } else {
      AddError(errors, LineOf(*items->get(i)), at, "is not a table");
    }
  }
}

void ReadExpectations(const toml::table& table, Expectations* expect, Errors* errors) {
  for (const auto& [name, node] : table) {
    std::string_view key = name.str();
    std::string full = "expect." + std::string(key);
    if (key == "rules") {
      auto text = node.value<std::string>();
      if (!text || (*text != "kept" && *text != "any"))
        AddError(errors, LineOf(node), full, "has to be \"kept\" or \"any\"");
      else
        expect->rules_kept = *text == "kept";
      continue;
    }
    std::optional<double>* parameter = key == "g_at_least"          ? &expect->g_at_least
                                       : key == "served_at_least"   ? &expect->served_at_least
                                       : key == "recover_s_at_most" ? &expect->recover_s_at_most
                                       : key == "told_at_most"      ? &expect->told_at_most
                                                                    : nullptr;
    if (parameter == nullptr) {
      AddError(errors, LineOf(node), full, "is not known");
    } else if (auto value = node.value<double>(); value && std::isfinite(*value)) {
      *parameter = *value;
    } else {
      AddError(errors, LineOf(node), full, "is not a number");
    }
  }
}

}  // namespace

const std::vector<Parameter<Scenario>>& ScenarioParameters() {
  using S = Scenario;
  static const std::vector<Parameter<Scenario>> parameters = {
      {"day.length_s", &S::length_s, 1, 7200, false, "clients arrive for so long"},
      {"day.settle_s", &S::settle_s, 0, 600, false, "and the day goes on for so long after"},
      {"fleet.gateways", &S::gateways, 1, 10000, true, "gateways of the tier"},
      {"fleet.backends", &S::backends, 1, 10000, true, "backends at the start"},
      {"fleet.zones", &S::zones, 1, 16, true, "zones, over which both are spread evenly"},
      {"fleet.memory_mb", &S::memory_mb, 16, 4096, true, "a gateway's memory, as its configuration tells"},
      {"fleet.descriptors", &S::descriptors, 64, 65536, true, "a gateway's descriptors, told and set"},
      {"backend.cores", &S::cores, 1, 64, true, "cores of a backend"},
      {"backend.speed", &S::speed, 0.01, 100, false, "work of one core in a second, drawn for each backend"},
      {"backend.slots_per_core", &S::slots_per_core, 1, 1000, false, "requests in work at once"},
      {"backend.queue_per_core", &S::queue_per_core, 0, 10000, false, "waiting room beside the slots"},
      {"backend.crowding_loss", &S::crowding_loss, 0, 0.95, false,
       "efficiency lost by twice the requests of crowding_at"},
      {"backend.crowding_at", &S::crowding_at, 0.5, 1000, false,
       "requests held per core from which efficiency falls"},
      {"backend.cold_share", &S::cold_share, 0.01, 1, false, "capacity just after a start"},
      {"backend.cold_s", &S::cold_s, 0, 600, false, "until a backend is warm, evenly"},
      {"backend.tip_multiple", &S::tip_multiple, 1, 100, false,
       "times the present capacity that tips a cold backend"},
      {"backend.tip_s", &S::tip_s, 0.1, 60, false, "in any span of this length"},
      {"backend.tip_slack_requests", &S::tip_slack_requests, 0, 100, false,
       "mean requests of slack for chance in that span"},
      {"backend.connections_per_core", &S::connections_per_core, 1, 100000, false,
       "connections that it holds"},
      {"backend.handshake_work_ms", &S::handshake_work_ms, 0, 1000, false,
       "work that a new connection costs it"},
      {"backend.handshake_trips", &S::handshake_trips, 0, 10, false,
       "ways there and back before the first request"},
      {"backend.idle_s", &S::idle_s, 0.1, 3600, false, "closes a connection that was idle so long"},
      {"backend.connect_timeout_ms", &S::connect_timeout_ms, 1, 60000, false,
       "a gateway's limit on connecting"},
      {"backend.error_share", &S::error_share, 0, 1, false, "requests that end in an error on a good day"},
      {"backend.cancel_running", &S::cancel_running, 0, 1, false,
       "1: a cancel stops running work too; between: chance of such a day"},
      {"backend.drops_overdue", &S::drops_overdue, 0, 1, false,
       "1: waiting work whose time is over is dropped; between: chance"},
      {"network.same_zone_ms", &S::same_zone_ms, 0, 1000, false, "one way within a zone"},
      {"network.cross_zone_ms", &S::cross_zone_ms, 0, 1000, false, "one way between zones"},
      {"network.client_ms", &S::client_ms, 0, 1000, false, "one way between a client and a gateway"},
      {"network.jitter", &S::jitter, 0, 3, false, "variation of a way, as a share of it"},
      {"load.use", &S::load_use, 0, 10, false,
       "work asked for inside quotas, as a share of what the fleet can do"},
      {"load.most_excess", &S::max_excess, 0, 100, false,
       "asked for beyond quotas over asked for inside, at most"},
      {"customers.calm_use", &S::calm_use, 0, 1, false, "of its rate, that an ordinary customer uses"},
      {"customers.full_share", &S::full_share, 0, 1, false, "of the customers, that use nearly all"},
      {"customers.heavy_share", &S::heavy_share, 0, 1, false, "that ask for more all day"},
      {"customers.heavy_times", &S::heavy_times, 1, 100, false, "so many times their rate"},
      {"customers.spiky_share", &S::spiky_share, 0, 1, false, "that ask for more now and then"},
      {"customers.spike_times", &S::spike_times, 1, 100, false, "so many times their rate"},
      {"customers.spike_s", &S::spike_s, 0.01, 600, false, "for so long"},
      {"customers.spike_every_s", &S::spike_every_s, 0.1, 3600, false, "about so often"},
      {"customers.set_size", &S::set_size, 1, 64, true, "gateways of a customer's set"},
      {"customers.skew", &S::skew, 0, 5, false, "unevenness within the set: weights as rank to minus this"},
      {"customers.shift_s", &S::shift_s, 0.1, 3600, false, "until the weights of a set change"},
      {"requests.units_top", &S::units_top, 1, 1000, true, "units of the largest request"},
      {"requests.guess_cv", &S::guess_cv, 0, 3, false, "variation of the guess round the true units"},
      {"clients.retries", &S::retries, 0, 20, true, "tries after the first"},
      {"clients.try_share", &S::try_timeout_share, 0.01, 1, false,
       "of a class's deadline, after which a try is given up"},
      {"clients.backoff_ms", &S::backoff_ms, 0, 60000, false, "wait before a retry"},
      {"clients.backoff_grows", &S::backoff_grows, 0, 1, false,
       "1: the wait doubles with each retry; between: chance"},
      {"clients.heeds_share", &S::heeds_retry_after_share, 0, 1, false,
       "of the clients, that heed Retry-After"},
      {"clients.most_retry_after_ms", &S::max_retry_after_ms, 0, 600000, false, "the longest that they heed"},
      {"clients.impatient_share", &S::impatient_share, 0, 1, false,
       "of the tries, whose client leaves early"},
      {"clients.use_until_end_share", &S::use_until_end_share, 0, 1, false,
       "of the tries, that go to a gateway that was told to end while a connection to it stays open; one "
       "number, not drawn"},
      {"front.notice_s", &S::front_notice_s, 0, 60, false, "until the front sees that a gateway is down"},
      {"discovery.notice_s", &S::discovery_notice_s, 0, 60, false,
       "until a gateway is told that a backend drains or is gone"},
      {"discovery.start_notice_s", &S::discovery_start_notice_s, 0, 60, false, "and that one has started"},
      {"discovery.agent_ms", &S::discovery_agent_ms, 0, 10000, false,
       "until a started gateway has its first list"},
      {"counter.calls_per_s", &S::counter_calls_per_s, 1, 1e7, false, "calls of all parts together"},
      {"counter.parts", &S::counter_parts, 1, 64, true, "parts, by the hash of a name"},
      {"counter.call_ms", &S::counter_call_ms, 0, 1000, false, "a call's time beside the line and the way"},
      {"counter.line_timeouts", &S::counter_line_timeouts, 0, 100, false,
       "longest line of a part, in time-outs"},
      {"counter.timeout_ms", &S::counter_timeout_ms, 1, 60000, false, "a gateway's limit on a call"},
      {"counter.lost_share", &S::counter_lost_share, 0, 1, false, "of the answers, that never come"},
      {"peers.loss", &S::peer_loss, 0, 1, false, "of the datagrams between gateways, that are lost all day"},
      {"peers.in_per_s", &S::peer_in_per_s, 1, 1e6, false,
       "datagrams that a gateway takes in a second; what comes faster is dropped, and a breach"},
      {"rules.converge_s", &S::converge_s, 0.1, 3600, false,
       "from the last fault until all gateways that tell a view tell the same"},
      {"rules.drain_grace_ms", &S::drain_grace_ms, 0, 60000, false,
       "from being told of a drain to the last send"},
      {"rules.answer_grace_ms", &S::answer_grace_ms, 0, 60000, false,
       "from a try's end to the latest final answer"},
      {"rules.try_limit", &S::try_limit, 1, 20, true, "attempts of a request"},
      {"rules.ceiling_slack", &S::ceiling_slack_share, 0, 10, false,
       "of the ceiling's burst; the largest request at least"},
      {"prices.counter", &S::counter_price, 0, 1, false, "times calls over first tries"},
      {"prices.waste", &S::waste_price, 0, 1, false, "times work that served nobody over work asked for"},
      {"prices.late", &S::late_price, 0, 1, false, "times worth that failed only after its aim"},
      {"prices.cross_zone", &S::cross_zone_price, 0, 1, false,
       "times attempts between zones over first tries"},
      {"prices.handshake", &S::handshake_price, 0, 1, false,
       "times new connections to backends over first tries"},
      {"prices.rude", &S::misbehaving_peer_price, 0, 1, false,
       "times the share of rude peers left with neither an error nor a close"},
      {"prices.hidden", &S::held_request_price, 0, 1, false,
       "of its worth, for a request held over half of its time and never sent on"},
      {"goal.whole", &S::goal_whole, 0, 1, false, "weight of the whole day"},
      {"goal.window", &S::goal_window, 0, 1, false, "weight of the worst 10 s"},
      {"goal.plan", &S::goal_plan, 0, 1, false, "weight of the worst plan"},
  };
  return parameters;
}

const std::vector<Parameter<ClassConfig>>& ClassParameters() {
  using C = ClassConfig;
  static const std::vector<Parameter<C>> parameters = {
      {"share", &C::share, 0, 1000, false, "of the requests, against the other classes"},
      {"work_ms", &C::work_ms, 0.01, 60000, false, "mean work on one core of speed 1"},
      {"work_cv", &C::work_cv, 0, 3, false, "variation of the work"},
      {"aim_ms", &C::aim_ms, 1, 600000, false, "an answer later than this is worth nothing"},
      {"deadline_ms", &C::deadline_ms, 1, 600000, false, "a client's whole patience"},
      {"worth", &C::worth, 0, 1000, false, "of one unit"},
  };
  return parameters;
}

const std::vector<Parameter<PlanConfig>>& PlanParameters() {
  using P = PlanConfig;
  static const std::vector<Parameter<P>> parameters = {
      {"share", &P::share, 0, 1000, false, "of the use inside quotas, against the other plans"},
      {"units_per_s", &P::units_per_s, 0.01, kUnbounded, false, "a customer's rate"},
      {"burst_s", &P::burst_s, 0, 3600, false,
       "of the rate, that may be used at once; two of the largest requests at least"},
      {"price", &P::price, 0, 1000, false, "factor on the worth"},
      {"over_cost", &P::over_cost, 0, 10, false, "of its worth, that a try sent on beyond the quota costs"},
      {"over_worth", &P::over_worth, 0, 1, false, "of its worth, that it earns"},
      {"open_times", &P::open_times, 0, 100, false,
       "attempts out at once, times what the rate keeps out; 0: no cap"},
      {"ceiling_times", &P::ceiling_times, 0, 100, false, "hard ceiling, times rate and burst; 0: none"},
  };
  return parameters;
}

const std::vector<Parameter<EventConfig>>& EventParameters() {
  using E = EventConfig;
  static const std::vector<Parameter<E>> parameters = {
      {"at_s", &E::at_s, 0, 7200, false, "when it begins"},
      {"for_s", &E::for_s, 0, 7200, false, "how long it lasts"},
      {"part", &E::part, 0, 1, false, "share of what it befalls"},
      {"size", &E::size, 0, 1e6, false, "how strong it is"},
      {"down_s", &E::down_s, 0, 600, false, "how long a process stays away"},
  };
  return parameters;
}

const std::vector<EventKind>& EventKinds() {
  static const std::vector<EventKind> kinds = {
      {"burst", "size times the arrivals for for_s"},
      {"shift", "part of the customers get new weights at one stroke"},
      {"hot", "size of the traffic goes to the busiest gateway of its set, for for_s"},
      {"kill", "part of the gateways are killed (SIGKILL) and come back after down_s"},
      {"restart",
       "part of the gateways are restarted (SIGTERM) over for_s, size of the fleet at a time, each away for "
       "down_s"},
      {"stop", "part of the gateways are stopped (SIGSTOP) for for_s and go on"},
      {"replace", "part of the backends are replaced over for_s: the old one drains, a new one starts cold"},
      {"crash", "part of the backends end at once and come back cold after for_s"},
      {"fail", "part of the backends quickly fail size of their requests for for_s"},
      {"slow", "part of the backends work at 1/size of their speed for for_s"},
      {"silent", "part of the backends give no sign for for_s"},
      {"zone-lost", "the backends of one zone end at once and come back cold after for_s"},
      {"zone-cut", "one zone and the others don't hear each other for for_s"},
      {"counter-down", "the counter gives no answer for for_s, then comes back empty"},
      {"counter-loses", "size of the counter's answers are lost for for_s"},
      {"discovery-silent", "no gateway is told of changes for for_s"},
      {"discovery-refuses", "discovery answers every call with a no for for_s, and tells nobody of changes"},
      {"rude",
       "size peers a second send nothing or no proper request, for for_s; each is owed an error or a close "
       "in 3 s"},
      {"resets", "size of the attempts break under way for for_s"},
      {"offline",
       "an operator takes part of the backends out; they are restarted, and are called back after for_s"},
      {"drain", "an operator drains part of the gateways for for_s"},
      {"scrape", "operators read every gateway's figures size times a second for for_s"},
      {"retune", "a new configuration at SIGHUP: every quota times size"},
      {"site-trouble",
       "one of the site's own, drawn with TERMS' figures: burst, fail, hot, restart or shift"},
      {"upgrade", "part of the gateways are replaced by a new process on the same listening socket"},
      {"power-loss",
       "part of the gateways are killed in one instant; the first is back after down_s, the others in waves "
       "of size of the fleet over for_s, by order: up, down, or drawn (with targets: as they stand there)"},
      {"starve", "part of the gateways run only size of their time, in slices of 50 ms, for for_s"},
      {"claim", "part of the gateways start anew with the number and name of gateway size, for for_s"},
      {"spoil",
       "what befalls the state folder of part of the gateways: what = cut, flip, older, other, gone, "
       "unreadable, read-only or no-room"},
      {"path-cut",
       "nothing passes between targets and others for for_s; to: gateways, counter, discovery or backends; "
       "way: both, out or in"},
      {"path-black-hole", "likewise; what is sent in that time never arrives"},
      {"path-reset", "likewise; connections are reset, new ones too"},
      {"path-trickle", "likewise; size bytes a second pass"},
      {"path-delay", "likewise; size ms more, with the network's jitter"},
      {"path-loss", "likewise; size of the packets are lost"},
      {"path-duplicate", "likewise; size of the datagrams come twice"},
      {"path-reorder", "likewise; size of the datagrams are overtaken by later ones"},
  };
  return kinds;
}

bool IsLoadEvent(std::string_view kind) {
  return kind == "burst" || kind == "shift" || kind == "hot" || kind == "retune" || kind == "scrape" ||
         kind == "rude";
}

namespace {

// Checks the text fields and indices of an event.
void CheckEvent(const Scenario& scenario, const EventConfig& event, const std::string& at, Errors* errors) {
  auto check_one_of = [&](const char* key, const std::string& value,
                          std::initializer_list<const char*> allowed) {
    std::string all;
    for (const char* one : allowed) {
      if (value == one) return;
      all.append(all.empty() ? "" : ", ").append(one);
    }
    AddError(errors, event.line, at + "." + key, "\"" + value + "\" is not one of " + all);
  };
  bool is_path = event.kind.rfind("path-", 0) == 0;
  if (is_path) {
    check_one_of("to", event.to, {"gateways", "counter", "discovery", "backends"});
    check_one_of("way", event.way, {"both", "out", "in"});
    bool share = event.kind == "path-loss" || event.kind == "path-duplicate" || event.kind == "path-reorder";
    if (share && event.size.hi > 1) AddError(errors, event.line, at + ".size", "is a share: from 0 to 1");
  }
  if (event.kind == "starve" && event.size.hi > 1)
    AddError(errors, event.line, at + ".size", "is a share: from 0 to 1");
  if (event.kind == "power-loss") check_one_of("order", event.order, {"drawn", "up", "down"});
  if (event.kind == "spoil")
    check_one_of("what", event.what,
                 {"cut", "flip", "older", "other", "gone", "unreadable", "read-only", "no-room"});
  bool backends = event.kind == "replace" || event.kind == "crash" || event.kind == "fail" ||
                  event.kind == "slow" || event.kind == "silent" || event.kind == "offline";
  auto numbers = [&](const char* key, const std::vector<int>& values, double most) {
    for (int value : values) {
      if (value < 0 || value >= most)
        AddError(errors, event.line, at + "." + key,
                 std::to_string(value) + " is out of range: from 0 to " + FormatNumber(most - 1));
    }
  };
  bool zone = event.kind.rfind("zone-", 0) == 0;
  numbers("targets", event.targets,
          zone       ? scenario.zones.lo
          : backends ? scenario.backends.lo
                     : scenario.gateways.lo);
  numbers("others", event.others,
          is_path && event.to == "backends" ? scenario.backends.lo : scenario.gateways.lo);
  if (event.kind == "claim")
    numbers("size", {static_cast<int>(event.size.lo), static_cast<int>(event.size.hi)}, scenario.gateways.lo);
}

}  // namespace

void CheckConsistency(const Scenario& scenario, Errors* errors) {
  if (scenario.classes.empty()) AddError(errors, 0, "class", "is missing: add a [[class]]");
  if (scenario.plans.empty()) AddError(errors, 0, "plan", "is missing: add a [[plan]]");
  auto sum = [](const auto& items) {
    double total = 0;
    for (const auto& item : items) total += item.share.lo;
    return total;
  };
  if (!scenario.classes.empty() && sum(scenario.classes) <= 0)
    AddError(errors, 0, "class.share", "the shares add up to nothing");
  if (!scenario.plans.empty() && sum(scenario.plans) <= 0)
    AddError(errors, 0, "plan.share", "the shares add up to nothing");
  for (size_t i = 0; i < scenario.classes.size(); ++i) {
    if (scenario.classes[i].aim_ms.hi > scenario.classes[i].deadline_ms.lo)
      AddError(errors, 0, "class[" + std::to_string(i) + "].aim_ms", "may lie past deadline_ms");
  }
  if (scenario.zones.hi > scenario.gateways.lo || scenario.zones.hi > scenario.backends.lo)
    AddError(errors, 0, "fleet.zones", "there may be more zones than gateways or backends");
  if (scenario.full_share.hi + scenario.heavy_share.hi + scenario.spiky_share.hi > 1)
    AddError(errors, 0, "customers", "full_share, heavy_share and spiky_share may add up to more than 1");
  for (size_t i = 0; i < scenario.events.size(); ++i) {
    const EventConfig& event = scenario.events[i];
    std::string at = "event[" + std::to_string(i) + "]";
    if (event.at_s.hi > scenario.length_s.lo)
      AddError(errors, event.line, at + ".at_s",
               "may lie past the end of the run, " + FormatNumber(scenario.length_s.lo) + " s");
    bool known = std::any_of(EventKinds().begin(), EventKinds().end(),
                             [&](const EventKind& k) { return event.kind == k.name; });
    if (!known)
      AddError(errors, event.line, at + ".kind",
               "\"" + event.kind + "\" is not known; `lemonchute-lab keys` lists the kinds");
    else
      CheckEvent(scenario, event, at, errors);
  }
}

ScenarioParseResult ParseScenario(std::string_view text) {
  ScenarioParseResult read;
  Errors* errors = &read.errors;
  if (text.size() > kMaxTextBytes) {
    AddError(errors, 0, "", "is longer than 1 MiB");
    return read;
  }
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    AddError(errors, static_cast<int>(error.source().begin.line), "", std::string(error.description()));
    return read;
  }
  Scenario* scenario = &read.scenario;
  scenario->name = ReadText(root, "name", "", true, errors);
  if (!scenario->name.empty()) CheckName(scenario->name, LineOf(*root.get("name")), "name", errors);
  scenario->about = ReadText(root, "about", "", false, errors);
  scenario->extensions = ReadText(root, "extensions", "", false, errors);
  if (!scenario->extensions.empty() &&
      !nlohmann::json::parse(scenario->extensions, nullptr, false).is_object())
    AddError(errors, LineOf(*root.get("extensions")), "extensions", "is not the text of a JSON object");
  std::set<std::string, std::less<>> sections;
  for (const Parameter<Scenario>& parameter : ScenarioParameters())
    sections.insert(std::string(parameter.key).substr(0, std::string_view(parameter.key).find('.')));
  for (const auto& [name, node] : root) {
    std::string_view key = name.str();
    if (key == "name" || key == "about" || key == "extensions" || key == "class" || key == "plan" ||
        key == "event")
      continue;
    const toml::table* table = node.as_table();
    if (key == "expect" && table != nullptr) {
      ReadExpectations(*table, &scenario->expect, errors);
    } else if (sections.count(key) != 0 && table != nullptr) {
      for (const auto& [inner, value] : *table) {
        std::string full = std::string(key) + "." + std::string(inner.str());
        if (const auto* parameter = FindParameter(ScenarioParameters(), full))
          ReadParameter(*parameter, value, full, scenario, errors);
        else
          AddError(errors, LineOf(value), full, UnknownKeyMessage(ScenarioParameters(), full));
      }
    } else {
      AddError(errors, LineOf(node), std::string(key),
               sections.count(key) != 0 || key == "expect" ? "is not a table" : "is not known");
    }
  }
  ForEachTable(root, "class", errors, [&](const toml::table& table, const std::string& at) {
    ClassConfig class_config;
    class_config.name = ReadText(table, "name", at, true, errors);
    if (!class_config.name.empty()) CheckName(class_config.name, LineOf(table), at + ".name", errors);
    if (table.contains("effect")) class_config.effect = ReadText(table, "effect", at, true, errors);
    if (class_config.effect != "free")
      AddError(errors, LineOf(table), at + ".effect", "only \"free\" is supported");
    ReadTable(ClassParameters(), table, at, {"name", "effect"}, &class_config, errors);
    scenario->classes.push_back(class_config);
  });
  ForEachTable(root, "plan", errors, [&](const toml::table& table, const std::string& at) {
    PlanConfig plan;
    plan.name = ReadText(table, "name", at, true, errors);
    if (!plan.name.empty()) CheckName(plan.name, LineOf(table), at + ".name", errors);
    ReadTable(PlanParameters(), table, at, {"name"}, &plan, errors);
    scenario->plans.push_back(plan);
  });
  ForEachTable(root, "event", errors, [&](const toml::table& table, const std::string& at) {
    EventConfig event;
    event.line = LineOf(table);
    event.kind = ReadText(table, "kind", at, true, errors);
    for (auto [key, value] :
         {std::pair{"to", &event.to}, {"way", &event.way}, {"what", &event.what}, {"order", &event.order}}) {
      if (table.contains(key)) *value = ReadText(table, key, at, true, errors);
    }
    event.targets = ReadNumbers(table, "targets", at, errors);
    event.others = ReadNumbers(table, "others", at, errors);
    ReadTable(EventParameters(), table, at, {"kind", "to", "way", "what", "order", "targets", "others"},
              &event, errors);
    scenario->events.push_back(event);
  });
  CheckConsistency(*scenario, errors);
  return read;
}

std::optional<ScenarioError> SetParameter(Scenario* scenario, std::string_view assignment) {
  size_t equals = assignment.find('=');
  std::string key(assignment.substr(0, equals));
  const auto* parameter = FindParameter(ScenarioParameters(), key);
  if (equals == std::string_view::npos)
    return ScenarioError{0, key, "has no '=': write KEY=NUMBER or KEY=[FROM,TO]"};
  if (parameter == nullptr) return ScenarioError{0, key, UnknownKeyMessage(ScenarioParameters(), key)};
  Errors errors;
  try {
    toml::table table = toml::parse("v = " + std::string(assignment.substr(equals + 1)));
    ReadParameter(*parameter, *table.get("v"), key, scenario, &errors);
  } catch (const toml::parse_error&) {
    return ScenarioError{0, key, "is neither a number nor a range, [from, to]"};
  }
  if (!errors.empty()) return errors.front();
  return std::nullopt;
}

namespace {

void InsertRange(std::string_view key, Range range, toml::table* table) {
  if (range.lo == range.hi)
    table->insert(key, range.lo);
  else
    table->insert(key, toml::array{range.lo, range.hi});
}

template <typename Owner>
void InsertParameters(const std::vector<Parameter<Owner>>& parameters, const Owner& owner,
                      toml::table* table) {
  static const Owner defaults{};
  for (const Parameter<Owner>& parameter : parameters) {
    Range range = owner.*parameter.member;
    if (!(range == defaults.*parameter.member)) InsertRange(parameter.key, range, table);
  }
}

}  // namespace

std::string WriteScenario(const Scenario& scenario) {
  toml::table root;
  root.insert("name", scenario.name);
  if (!scenario.about.empty()) root.insert("about", scenario.about);
  if (!scenario.extensions.empty()) root.insert("extensions", scenario.extensions);
  static const Scenario defaults{};
  for (const Parameter<Scenario>& parameter : ScenarioParameters()) {
    Range range = scenario.*parameter.member;
    if (range == defaults.*parameter.member) continue;
    std::string_view key = parameter.key, section = key.substr(0, key.find('.'));
    if (!root.contains(section)) root.insert(section, toml::table{});
    InsertRange(key.substr(key.find('.') + 1), range, root[section].as_table());
  }
  toml::array classes, plans, events;
  for (const ClassConfig& c : scenario.classes) {
    toml::table one{{"name", c.name}};
    InsertParameters(ClassParameters(), c, &one);
    classes.push_back(std::move(one));
  }
  for (const PlanConfig& p : scenario.plans) {
    toml::table one{{"name", p.name}};
    InsertParameters(PlanParameters(), p, &one);
    plans.push_back(std::move(one));
  }
  static const EventConfig no_event{};
  for (const EventConfig& e : scenario.events) {
    toml::table one{{"kind", e.kind}};
    InsertParameters(EventParameters(), e, &one);
    auto text = [&](const char* key, const std::string& value, const std::string& absent) {
      if (value != absent) one.insert(key, value);
    };
    text("to", e.to, no_event.to), text("way", e.way, no_event.way);
    text("what", e.what, no_event.what), text("order", e.order, no_event.order);
    for (auto [key, values] : {std::pair{"targets", &e.targets}, {"others", &e.others}}) {
      toml::array list;
      for (int value : *values) list.push_back(value);
      if (!list.empty()) one.insert(key, std::move(list));
    }
    events.push_back(std::move(one));
  }
  root.insert("class", std::move(classes));
  root.insert("plan", std::move(plans));
  if (!events.empty()) root.insert("event", std::move(events));
  toml::table expect{{"rules", scenario.expect.rules_kept ? "kept" : "any"}};
  for (auto [key, value] : {std::pair{"g_at_least", scenario.expect.g_at_least},
                            {"served_at_least", scenario.expect.served_at_least},
                            {"recover_s_at_most", scenario.expect.recover_s_at_most},
                            {"told_at_most", scenario.expect.told_at_most}}) {
    if (value) expect.insert(key, *value);
  }
  root.insert("expect", std::move(expect));
  std::ostringstream out;
  out << root << "\n";
  return out.str();
}

}  // namespace lemonchute::lab
