#include "config/check.h"

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <set>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr double kMostWhole = 1e9;    // what the settings' parser takes of whole numbers
constexpr double kLeastShare = 0.05;  // of what a member takes in: a probe every 2 s at the fleet's limit
constexpr size_t kMostPeers = 8192;   // as the datagrams' form has it
constexpr size_t kMostItems = 255;    // classes, plans: a class is one byte on the simulator's wire

enum class Kind { kText, kNumber, kWhole, kFlag };
enum class Sign { kAny, kNotNegative, kPositive };

// Keys that the program reads, and what they must be. `bound` is a fault for either author where `strict`,
// which is for what LATER names; else only for an operator.
struct Rule {
  const char* key;
  Kind kind;
  Sign sign = Sign::kAny;
  bool strict = false;
};

const std::initializer_list<Rule> kTop = {{"me", Kind::kWhole, Sign::kNotNegative, true},
                                          {"peers-total", Kind::kWhole, Sign::kNotNegative, true},
                                          {"zone", Kind::kWhole, Sign::kNotNegative, true},
                                          {"resolution-s", Kind::kNumber, Sign::kNotNegative}};
const std::initializer_list<Rule> kSpecifics = {{"units-top", Kind::kNumber, Sign::kPositive},
                                                {"may-count", Kind::kFlag},
                                                {"counter-timeout-s", Kind::kNumber, Sign::kPositive},
                                                {"counter-price", Kind::kNumber, Sign::kNotNegative}};
const std::initializer_list<Rule> kPrices = {{"cross-zone", Kind::kNumber, Sign::kNotNegative}};
const std::initializer_list<Rule> kLimits = {{"cancel", Kind::kFlag},
                                             {"parallel-tries", Kind::kFlag},
                                             {"retry-after", Kind::kFlag},
                                             {"max-retry-after-s", Kind::kNumber, Sign::kNotNegative},
                                             {"try-limit", Kind::kWhole, Sign::kPositive, true},
                                             {"conn-idle-s", Kind::kNumber, Sign::kPositive},
                                             {"connect-timeout-s", Kind::kNumber, Sign::kPositive}};
const std::initializer_list<Rule> kInvariants = {{"cold-from", Kind::kNumber, Sign::kNotNegative},
                                                 {"warm-after-s", Kind::kNumber, Sign::kNotNegative},
                                                 {"tip-multiple", Kind::kNumber, Sign::kNotNegative},
                                                 {"tip-after-s", Kind::kNumber, Sign::kNotNegative},
                                                 {"ask-within-s", Kind::kNumber, Sign::kNotNegative},
                                                 {"drain-grace-s", Kind::kNumber, Sign::kNotNegative}};
const std::initializer_list<Rule> kClass = {{"name", Kind::kText},
                                            {"aim-s", Kind::kNumber, Sign::kPositive},
                                            {"hard-limit-s", Kind::kNumber, Sign::kPositive, true},
                                            {"window-s", Kind::kNumber, Sign::kNotNegative},
                                            {"importance", Kind::kNumber, Sign::kNotNegative},
                                            {"late-share", Kind::kNumber, Sign::kNotNegative}};
const std::initializer_list<Rule> kPlan = {{"name", Kind::kText},
                                           {"units-per-s", Kind::kNumber, Sign::kNotNegative},
                                           {"store-size", Kind::kNumber, Sign::kNotNegative},
                                           {"never-over-rate", Kind::kNumber, Sign::kNotNegative},
                                           {"ceiling-burst", Kind::kNumber, Sign::kNotNegative},
                                           {"cap-slack", Kind::kNumber, Sign::kNotNegative},
                                           {"excess-worth", Kind::kNumber, Sign::kNotNegative},
                                           {"over-cost", Kind::kNumber, Sign::kNotNegative},
                                           {"value-factor", Kind::kNumber, Sign::kNotNegative},
                                           {"parallel", Kind::kWhole, Sign::kNotNegative, true}};

const char* KindName(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_number()) return "a number";
  if (value.is_boolean()) return "true or false";
  return "null";
}

class Check {
 public:
  Check(Author author, Findings* out) : author_(author), out_(out) {}

  void Run(const json& document, const json& form) {
    if (!document.is_object()) return Bad("", "the configuration is not a JSON object");
    Text(document, "", "name");
    Address(document, "listen", true);
    Address(document, "discovery", true);
    Address(document, "counter", false);
    Address(document, "ops", false);
    Seed(document);
    Limits(document);
    Extensions(document);
    OwnAddresses(document);
    if (const json* settings = Object(document, "", "settings")) {
      Settings(*settings, document);
      if (!form.is_null()) Form(form, *settings, "/settings");
      Known(document, *settings, !form.is_null());
    }
  }

 private:
  void Bad(std::string at, std::string why) { AddFault(&out_->faults, std::move(at), std::move(why)); }
  void Doubtful(std::string at, std::string why) {
    AddFault(author_ == Author::kPlatform ? &out_->warnings : &out_->faults, std::move(at), std::move(why));
  }
  void WrongKind(const std::string& at, const char* wanted, const json& is) {
    Bad(at, std::string("must be ") + wanted + ", and is " + KindName(is));
  }

  // The member that must be there and be a text, an object, or a list; null after a fault.
  const json* Member(const json& from, const std::string& at, const char* key) {
    auto it = from.find(key);
    if (it != from.end()) return &*it;
    Bad(Step(at, key), "is missing");
    return nullptr;
  }
  const json* Text(const json& from, const std::string& at, const char* key) {
    const json* value = Member(from, at, key);
    if (value == nullptr || value->is_string()) return value;
    WrongKind(Step(at, key), "a text", *value);
    return nullptr;
  }
  const json* Object(const json& from, const std::string& at, const char* key) {
    const json* value = Member(from, at, key);
    if (value == nullptr || value->is_object()) return value;
    WrongKind(Step(at, key), "an object", *value);
    return nullptr;
  }
  const json* List(const json& from, const std::string& at, const char* key) {
    const json* value = Member(from, at, key);
    if (value == nullptr || value->is_array()) return value;
    WrongKind(Step(at, key), "a list", *value);
    return nullptr;
  }
  void Choice(const json& from, const std::string& at, const char* key,
              std::initializer_list<const char*> words) {
    const json* value = Text(from, at, key);
    if (value == nullptr) return;
    std::string all;
    for (const char* word : words) {
      if (value->get_ref<const std::string&>() == word) return;
      all += std::string(all.empty() ? "" : ", ") + word;
    }
    Bad(Step(at, key), "must be one of " + all + ", and is " + Shown(value->get_ref<const std::string&>()));
  }

  void Rules(const json& from, const std::string& at, std::initializer_list<Rule> rules) {
    for (const Rule& rule : rules) {
      const json* value = Member(from, at, rule.key);
      if (value != nullptr) One(*value, Step(at, rule.key), rule);
    }
  }
  void One(const json& value, const std::string& at, const Rule& rule) {
    if (rule.kind == Kind::kText) {
      if (!value.is_string()) WrongKind(at, "a text", value);
      return;
    }
    if (rule.kind == Kind::kFlag) {
      if (!value.is_boolean()) WrongKind(at, "true or false", value);
      return;
    }
    if (!value.is_number()) return WrongKind(at, "a number", value);
    double number = value.get<double>();
    if (!std::isfinite(number)) return Bad(at, "is not finite");
    if (rule.kind == Kind::kWhole && (number != std::floor(number) || number > kMostWhole)) {
      return Bad(at, "must be a whole number of at most 1000000000");
    }
    bool fits = rule.sign == Sign::kAny || number > 0 || (rule.sign == Sign::kNotNegative && number == 0);
    if (fits) return;
    std::string why = rule.sign == Sign::kPositive ? "must be positive" : "must not be negative";
    rule.strict ? Bad(at, why) : Doubtful(at, why);
  }

  void Address(const json& document, const char* key, bool needed) {
    auto it = document.find(key);
    if (it == document.end() || it->is_null()) {
      if (needed) Bad(Step("", key), "is missing");
      return;
    }
    if (!it->is_string()) return WrongKind(Step("", key), "an address", *it);
    const auto& text = it->get_ref<const std::string&>();
    if (!ReadAddress(text)) Bad(Step("", key), "is no address such as 10.0.0.4:5000: " + Shown(text));
  }

  void Seed(const json& document) {
    const json* value = Text(document, "", "seed");
    if (value == nullptr) return;
    const auto& text = value->get_ref<const std::string&>();
    uint64_t seed = 0;
    auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (bad != std::errc() || end != text.data() + text.size()) {
      Bad("/seed", "must be up to 16 hex digits, and is " + Shown(text));
    }
  }

  void Limits(const json& document) {
    auto limits = document.find("limits");
    if (limits == document.end()) return;
    if (!limits->is_object()) return WrongKind("/limits", "an object", *limits);
    for (auto [key, least] : {std::pair{"sockets", 64}, std::pair{"memory_mb", 1}}) {
      auto it = limits->find(key);
      if (it == limits->end()) continue;
      if (!it->is_number_integer() || *it < least || *it > 1000000) {
        Bad(Step("/limits", key), "must be a whole number from " + std::to_string(least) + " to 1000000");
      }
    }
  }

  // One key a part of the program. Here an unknown key is a slip, since only the operators write them.
  void Extensions(const json& document) {
    auto it = document.find("extensions");
    if (it == document.end()) return;
    if (!it->is_object()) return WrongKind("/extensions", "an object", *it);
    for (const auto& [key, value] : it->items()) {
      if (key == "membership") {
        Membership(value, document);
      } else {
        Bad(Step("/extensions", key), "is not known");
      }
    }
  }

  // What it needs besides its own key: addresses, one for each gateway of the settings, and a pace.
  void Membership(const json& wish, const json& document) {
    const std::string at = "/extensions/membership";
    if (!wish.is_object()) return WrongKind(at, "an object", wish);
    for (const auto& [key, value] : wish.items()) {
      if (key != "share") {
        Bad(Step(at, key), "is not known");
      } else if (!value.is_number() || value.get<double>() < kLeastShare || value.get<double>() > 1) {
        Bad(Step(at, key), "must be a number from 0.05 to 1");
      }
    }
    PeerAddress(document.contains("peer_listen") ? document.at("peer_listen") : json(), "/peer_listen", true);
    const json* settings = document.contains("settings") ? &document.at("settings") : nullptr;
    auto pace = settings != nullptr && settings->is_object() && settings->contains("specifics")
                    ? Number(settings->at("specifics"), "peer-in-per-s")
                    : std::nullopt;
    if (!pace || !(*pace >= 1 && *pace <= 1e6))
      Bad("/settings/specifics/peer-in-per-s",
          "must be a number from 1 to 1000000 for extensions.membership");
    const json* peers = List(document, "", "peers");
    if (peers == nullptr || settings == nullptr) return;
    auto total = Number(*settings, "peers-total"), me = Number(*settings, "me");
    if (!total || *total != static_cast<double>(peers->size()) || peers->size() > kMostPeers)
      Bad("/peers", "must hold one address for each of settings/peers-total, at most " +
                        std::to_string(kMostPeers) + ", and holds " + std::to_string(peers->size()));
    if (!me || *me >= static_cast<double>(peers->size()))
      Bad("/settings/me", "must be a place in /peers for extensions.membership");
    std::set<std::string> seen;
    for (size_t i = 0; i < peers->size(); ++i) {
      std::string where = Step("/peers", i);
      if (PeerAddress((*peers)[i], where, false) && !seen.insert((*peers)[i].get<std::string>()).second)
        Bad(where, "occurs twice: " + Shown((*peers)[i].get_ref<const std::string&>()));
    }
  }
  bool PeerAddress(const json& value, const std::string& at, bool any_port) {
    auto address = value.is_string() ? ReadAddress(value.get_ref<const std::string&>()) : std::nullopt;
    bool sound = address && address->host.is_v4() && (any_port || address->port != 0);
    if (!sound) Bad(at, "must be an IPv4 address such as 10.0.0.4:7946 for extensions.membership");
    return sound;
  }

  // A peer's address at which this process itself listens, or two doors of its own at one address.
  void OwnAddresses(const json& document) {
    auto address = [&](const char* key) {
      auto it = document.find(key);
      if (it == document.end() || !it->is_string()) return std::optional<HostPort>();
      return ReadAddress(it->get_ref<const std::string&>());
    };
    auto same = [](const std::optional<HostPort>& a, const std::optional<HostPort>& b) {
      return a && b && a->port != 0 && a->port == b->port && a->host == b->host;
    };
    for (const char* own : {"listen", "ops"}) {
      for (const char* other : {"discovery", "counter", "ops"}) {
        if (std::string_view(own) == other || !same(address(own), address(other))) continue;
        Doubtful(Step("", other), std::string("is the address that this process holds as ") + own);
      }
    }
  }

  void Settings(const json& settings, const json& document) {
    const std::string at = "/settings";
    Rules(settings, at, kTop);
    Choice(settings, at, "discovery", {"pushed", "on_request"});
    for (auto [key, rules] : {std::pair{"specifics", kSpecifics}, std::pair{"prices", kPrices},
                              std::pair{"limits", kLimits}, std::pair{"invariants", kInvariants}}) {
      if (const json* group = Object(settings, at, key)) Rules(*group, Step(at, key), rules);
    }
    Names(settings, "zones");
    Names(settings, "kinds");
    const json* classes = Table(settings, "request-classes", kClass);
    const json* plans = Table(settings, "tiers-of-service", kPlan);
    if (classes != nullptr) {
      for (size_t i = 0; i < classes->size(); ++i) Class((*classes)[i], Step(Step(at, "request-classes"), i));
    }
    if (plans != nullptr) {
      for (size_t i = 0; i < plans->size(); ++i) {
        Plan((*plans)[i], settings, Step(Step(at, "tiers-of-service"), i));
      }
    }
    Zone(settings);
    auto specifics = settings.find("specifics");
    bool counts = specifics != settings.end() && specifics->is_object() &&
                  specifics->value("may-count", json()) == json(true);
    auto counter = document.find("counter");
    if (counts && (counter == document.end() || counter->is_null())) {
      Bad("/counter", "is missing, and /settings/specifics/may-count asks for it");
    }
  }

  static std::optional<double> Number(const json& from, const char* key) {
    if (!from.is_object()) return std::nullopt;
    auto it = from.find(key);
    return it != from.end() && it->is_number() ? std::optional(it->get<double>()) : std::nullopt;
  }

  void Class(const json& cls, const std::string& at) {
    if (!cls.is_object()) return;
    Choice(cls, at, "effect", {"free", "guarded", "single_shot"});
    Choice(cls, at, "dedup-scope", {"all", "zone", "cell"});
    auto aim = Number(cls, "aim-s"), limit = Number(cls, "hard-limit-s");
    if (aim && limit && *limit > 0 && *aim > *limit) {
      Doubtful(Step(at, "aim-s"), "is beyond the deadline, " + Step(at, "hard-limit-s"));
    }
  }

  void Plan(const json& plan, const json& settings, const std::string& at) {
    auto rate = Number(plan, "units-per-s"), burst = Number(plan, "store-size");
    auto ceiling = Number(plan, "never-over-rate"), ceiling_burst = Number(plan, "ceiling-burst");
    auto specifics = settings.find("specifics");
    auto largest = specifics == settings.end() ? std::nullopt : Number(*specifics, "units-top");
    if (!largest) return;
    const std::string why = "is less than the largest request, /settings/specifics/units-top";
    if (rate && burst && *rate > 0 && *burst < *largest) Doubtful(Step(at, "store-size"), why);
    if (ceiling && ceiling_burst && *ceiling > 0 && *ceiling_burst < *largest) {
      Doubtful(Step(at, "ceiling-burst"), why);
    }
  }

  void Zone(const json& settings) {
    auto zone = Number(settings, "zone");
    auto zones = settings.find("zones");
    if (!zone || zones == settings.end() || !zones->is_array() || zones->empty()) return;
    if (*zone >= static_cast<double>(zones->size())) {
      Doubtful("/settings/zone", "is no place in /settings/zones");
    }
  }

  // A list of names, in which none may occur twice.
  void Names(const json& settings, const char* key) {
    const json* names = List(settings, "/settings", key);
    if (names == nullptr) return;
    std::set<std::string> seen;
    for (size_t i = 0; i < names->size(); ++i) {
      Name((*names)[i], Step(Step("/settings", key), i), &seen);
    }
  }
  void Name(const json& name, const std::string& at, std::set<std::string>* seen) {
    if (!name.is_string()) return WrongKind(at, "a text", name);
    const auto& text = name.get_ref<const std::string&>();
    if (text.empty()) return Doubtful(at, "is empty");
    if (!seen->insert(PlainName(text)).second) Doubtful(at, "occurs twice: " + Shown(text));
  }

  // A list of objects that are told apart by their names.
  const json* Table(const json& settings, const char* key, std::initializer_list<Rule> rules) {
    const json* table = List(settings, "/settings", key);
    if (table == nullptr) return nullptr;
    if (table->size() > kMostItems) {
      Bad(Step("/settings", key), "holds more than " + std::to_string(kMostItems) + " entries");
      return nullptr;
    }
    std::set<std::string> seen;
    for (size_t i = 0; i < table->size(); ++i) {
      const json& item = (*table)[i];
      std::string at = Step(Step("/settings", key), i);
      if (!item.is_object()) {
        WrongKind(at, "an object", item);
        continue;
      }
      Rules(item, at, rules);
      auto name = item.find("name");
      if (name != item.end() && name->is_string()) Name(*name, Step(at, "name"), &seen);
    }
    return table;
  }

  // Every element of a list is held against what all elements had of the list that there was.
  void Form(const json& had, const json& has, const std::string& at) {
    bool same = had.is_number() ? has.is_number() : had.type() == has.type();
    if (!same) return Again(at, std::string("must be ") + KindName(had) + " as at the start");
    if (had.is_object()) {
      for (const auto& [key, value] : had.items()) {
        auto it = has.find(key);
        if (it == has.end()) {
          Again(Step(at, key), "is missing, and was there at the start");
        } else {
          Form(value, *it, Step(at, key));
        }
      }
    } else if (had.is_array() && !had.empty()) {
      if (has.empty()) return Bad(at, "is empty, and was not at the start");
      json each = had.front();
      for (const json& item : had) {
        if (!each.is_object() || !item.is_object()) continue;
        for (auto it = each.begin(); it != each.end();)
          it = item.contains(it.key()) ? std::next(it) : each.erase(it);
      }
      for (size_t i = 0; i < has.size(); ++i) Form(each, has[i], Step(at, i));
    }
  }
  // What the rules have named already is not named once more.
  void Again(const std::string& at, std::string why) {
    bool named = std::any_of(out_->faults.begin(), out_->faults.end(),
                             [&](const Fault& fault) { return fault.at == at; });
    if (!named) Bad(at, std::move(why));
  }

  // The list to begin with. Nobody reads it after the start, so there it is no more than doubtful.
  void Known(const json& document, const json& settings, bool started) {
    auto known = document.find("known");
    if (known == document.end() || known->is_null()) return;
    auto bad = [&](const std::string& at, const std::string& why) {
      started ? Doubtful(at, why) : Bad(at, why);
    };
    auto wrong = [&](const std::string& at, const char* wanted, const json& is) {
      bad(at, std::string("must be ") + wanted + ", and is " + KindName(is));
    };
    if (!known->is_object()) return wrong("/known", "an object", *known);
    auto index = known->find("index"), snapshot = known->find("snapshot"), list = known->find("endpoints");
    if (index == known->end() || !index->is_number()) bad("/known/index", "must be a number");
    if (snapshot == known->end() || !snapshot->is_boolean()) bad("/known/snapshot", "must be true or false");
    if (list == known->end() || !list->is_array()) return bad("/known/endpoints", "must be a list");
    auto names = [&](const char* key) {
      std::set<std::string> all;
      auto it = settings.find(key);
      if (it == settings.end() || !it->is_array()) return all;
      for (const json& name : *it) {
        if (name.is_string()) all.insert(PlainName(name.get_ref<const std::string&>()));
      }
      return all;
    };
    const std::set<std::string> zones = names("zones"), kinds = names("kinds");
    for (size_t i = 0; i < list->size(); ++i) {
      const json& entry = (*list)[i];
      std::string at = Step("/known/endpoints", i);
      if (!entry.is_object()) {
        wrong(at, "an object", entry);
        continue;
      }
      auto text = [&](const char* key, bool needed) -> const std::string* {
        auto it = entry.find(key);
        if (it != entry.end() && it->is_string()) return it->get_ptr<const std::string*>();
        if (needed || it != entry.end()) bad(Step(at, key), "must be a text");
        return nullptr;
      };
      text("name", true);
      const std::string* status = text("status", true);
      bool there = status != nullptr && (*status == "active" || *status == "leaving");
      if (status != nullptr && !there && *status != "left") {
        bad(Step(at, "status"), "must be one of active, leaving, left, and is " + Shown(*status));
      }
      const std::string* address = text("address", there);
      if (address != nullptr && !ReadAddress(*address)) {
        bad(Step(at, "address"), "is no address such as 10.0.0.4:5000: " + Shown(*address));
      }
      for (auto [key, all] : {std::pair{"zone", &zones}, std::pair{"type", &kinds}}) {
        const std::string* name = text(key, false);
        if (name == nullptr || all->count(PlainName(*name)) != 0) continue;
        AddFault(&out_->warnings, Step(at, key), "is not named in the settings: " + Shown(*name));
      }
      for (const char* key : {"group", "weight", "since_ms"}) {
        auto it = entry.find(key);
        if (it != entry.end() && !it->is_number()) wrong(Step(at, key), "a number", *it);
      }
    }
  }

  const Author author_;
  Findings* out_;
};

}  // namespace

std::optional<HostPort> ReadAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  HostPort out;
  boost::system::error_code error;
  out.host = boost::asio::ip::make_address(host, error);
  auto [end, bad] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), out.port);
  if (error || bad != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

std::string PlainName(std::string_view name) {
  std::string plain(name);
  for (char& c : plain) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return plain;
}

Findings CheckConfig(const json& document, Author author, const json& form) {
  Findings out;
  Check(author, &out).Run(document, form);
  return out;
}

bool OwnKey(std::string_view key) { return key == "seed" || key == "known" || key == "ops"; }

namespace {

boost::uuids::uuid IdOf(const json& value) {
  boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
  return generator(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

}  // namespace

std::string ContentId(const json& document) {
  json shared = json::object();
  for (const auto& [key, value] : document.items()) {
    if (!OwnKey(key)) shared[key] = value;
  }
  return boost::uuids::to_string(IdOf(shared));
}

uint32_t FleetId(const json& document) {
  json common = json::object();
  for (const char* key : {"limits", "peers", "extensions", "settings"}) {
    if (document.contains(key)) common[key] = document.at(key);
  }
  if (auto settings = common.find("settings"); settings != common.end() && settings->is_object()) {
    settings->erase("me");
    settings->erase("zone");
  }
  boost::uuids::uuid id = IdOf(common);
  return boost::endian::load_big_u32(&*id.begin());
}

}  // namespace lemonchute::config
