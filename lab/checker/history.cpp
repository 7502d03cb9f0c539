// The table holds the names of event kinds in logs and history files.
#include "checker/history.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace lemonchute::lab {
namespace {

constexpr std::array<const char*, 21> kKindNames = {
    "starts", "ends",    "stops",    "goes-on", "fault", "heal",  "datagram",
    "heard",  "asked",   "answered", "gone",    "uses",  "whole", "holds",
    "drops",  "revoked", "owns",     "yields",  "view",  "kept",  "trusts"};
constexpr size_t kMaxLogEventBytes = 4096;  // longer lines are not history events

template <typename T>
bool ParseNumber(std::string_view text, T* value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

const char* Name(HistoryEventKind kind) { return kKindNames[static_cast<size_t>(kind)]; }

void History::Sort() {
  std::stable_sort(events_.begin(), events_.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) { return a.at < b.at; });
}

std::string History::ToJsonLines() const {
  std::string out;
  for (const HistoryEvent& event : events_) {
    nlohmann::ordered_json line = {
        {"at_us", event.at}, {"what", Name(event.kind)}, {"gateway", event.gateway}};
    if (event.process != 0) line["process"] = event.process;
    if (!event.subject.empty()) line["subject"] = event.subject;
    if (event.amount != 0) line["amount"] = event.amount;
    if (event.rate != 0) line["rate"] = event.rate;
    if (event.until != kNever) line["until_us"] = event.until;
    out += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  }
  return out;
}

std::optional<HistoryEvent> ParseLogEvent(std::string_view line, int gateway, Micros clock_at_start,
                                          std::string* error) {
  error->clear();
  if (line.substr(0, 6) != "fleet " || line.size() > kMaxLogEventBytes) return std::nullopt;
  std::map<std::string_view, std::string_view> fields;
  for (line.remove_prefix(6); !line.empty();) {
    size_t space = std::min(line.find(' '), line.size());
    std::string_view field = line.substr(0, space);
    size_t equals = field.find('=');
    if (equals == std::string_view::npos && !field.empty()) *error = "a field without '='";
    if (equals != std::string_view::npos &&
        !fields.emplace(field.substr(0, equals), field.substr(equals + 1)).second)
      *error = "a duplicate field";
    line.remove_prefix(std::min(line.size(), space + 1));
  }
  HistoryEvent event;
  event.gateway = gateway;
  auto number = [&](std::string_view key, auto* value, bool needed) {
    auto found = fields.find(key);
    if (found == fields.end() ? needed : !ParseNumber(found->second, value))
      *error = std::string(key) + " is missing or not a number";
  };
  number("at_us", &event.at, true);
  number("pid", &event.process, true);
  number("amount", &event.amount, false), number("rate", &event.rate, false);
  number("until_us", &event.until, false);
  if (!std::isfinite(event.amount) || !std::isfinite(event.rate)) *error = "a number is not finite";
  event.subject = fields["subject"];
  auto name =
      std::find_if(kKindNames.begin(), kKindNames.end(), [&](const char* n) { return fields["what"] == n; });
  if (name == kKindNames.end() ||
      static_cast<size_t>(name - kKindNames.begin()) < static_cast<size_t>(HistoryEventKind::kBudgetUsed)) {
    *error = "what does not name an event that a gateway logs";
  }
  if (!error->empty()) return std::nullopt;
  event.kind = static_cast<HistoryEventKind>(name - kKindNames.begin());
  event.at -= clock_at_start;
  if (event.until != kNever) event.until -= clock_at_start;
  return event;
}

}  // namespace lemonchute::lab
