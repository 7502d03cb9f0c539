// A fact's name on the wire is the one in the table.
#include "checker/history.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace lemonchute::lab {
namespace {

constexpr std::array<const char*, 21> kNames = {"starts",   "ends",  "stops", "goes-on",  "fault", "heal",
                                                "datagram", "heard", "asked", "answered", "gone",  "uses",
                                                "whole",    "holds", "drops", "revoked",  "owns",  "yields",
                                                "view",     "kept",  "trusts"};
constexpr size_t kMostSaying = 4096;  // longer lines are no sayings of ours

template <typename T>
bool Read(std::string_view text, T* value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

const char* Name(HistoryEventKind what) { return kNames[static_cast<size_t>(what)]; }

void History::Sort() {
  std::stable_sort(facts_.begin(), facts_.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) { return a.at < b.at; });
}

std::string History::ToJsonLines() const {
  std::string out;
  for (const HistoryEvent& f : facts_) {
    nlohmann::ordered_json line = {{"at_us", f.at}, {"what", Name(f.kind)}, {"gateway", f.gateway}};
    if (f.process != 0) line["process"] = f.process;
    if (!f.subject.empty()) line["subject"] = f.subject;
    if (f.amount != 0) line["amount"] = f.amount;
    if (f.rate != 0) line["rate"] = f.rate;
    if (f.until != kNever) line["until_us"] = f.until;
    out += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  }
  return out;
}

std::optional<HistoryEvent> ParseLogEvent(std::string_view line, int gateway, Micros clock_at_start,
                                          std::string* fault) {
  fault->clear();
  if (line.substr(0, 6) != "fleet " || line.size() > kMostSaying) return std::nullopt;
  std::map<std::string_view, std::string_view> fields;
  for (line.remove_prefix(6); !line.empty();) {
    size_t space = std::min(line.find(' '), line.size());
    std::string_view field = line.substr(0, space);
    size_t equals = field.find('=');
    if (equals == std::string_view::npos && !field.empty()) *fault = "a field without '='";
    if (equals != std::string_view::npos &&
        !fields.emplace(field.substr(0, equals), field.substr(equals + 1)).second)
      *fault = "a field twice";
    line.remove_prefix(std::min(line.size(), space + 1));
  }
  HistoryEvent fact;
  fact.gateway = gateway;
  auto number = [&](std::string_view key, auto* value, bool needed) {
    auto found = fields.find(key);
    if (found == fields.end() ? needed : !Read(found->second, value))
      *fault = std::string(key) + " is missing or no number";
  };
  number("at_us", &fact.at, true);
  number("pid", &fact.process, true);
  number("amount", &fact.amount, false), number("rate", &fact.rate, false);
  number("until_us", &fact.until, false);
  if (!std::isfinite(fact.amount) || !std::isfinite(fact.rate)) *fault = "a number is not finite";
  fact.subject = fields["subject"];
  auto name = std::find_if(kNames.begin(), kNames.end(), [&](const char* n) { return fields["what"] == n; });
  if (name == kNames.end() ||
      static_cast<size_t>(name - kNames.begin()) < static_cast<size_t>(HistoryEventKind::kBudgetUsed)) {
    *fault = "what is nothing that a gateway says";
  }
  if (!fault->empty()) return std::nullopt;
  fact.kind = static_cast<HistoryEventKind>(name - kNames.begin());
  fact.at -= clock_at_start;
  if (fact.until != kNever) fact.until -= clock_at_start;
  return fact;
}

}  // namespace lemonchute::lab
