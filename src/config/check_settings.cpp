// Checks `settings`: groups of numbers, request classes, plans, zones and kinds.
#include <array>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "config/section_checks.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr size_t kMaxTableEntries = 255;  // the simulator's protocol has one byte for a class

constexpr auto kTopFields = std::to_array<FieldRule>({
    {"me", FieldType::kInteger, Range::kNotNegative, true},
    {"peers-total", FieldType::kInteger, Range::kNotNegative, true},
    {"zone", FieldType::kInteger, Range::kNotNegative, true},
    {"resolution-s", FieldType::kNumber, Range::kNotNegative},
});
constexpr auto kSpecificsFields = std::to_array<FieldRule>({
    {"units-top", FieldType::kNumber, Range::kPositive},
    {"may-count", FieldType::kBoolean},
    {"counter-timeout-s", FieldType::kNumber, Range::kPositive},
    {"counter-price", FieldType::kNumber, Range::kNotNegative},
});
constexpr auto kPricesFields = std::to_array<FieldRule>({
    {"cross-zone", FieldType::kNumber, Range::kNotNegative},
});
constexpr auto kLimitsFields = std::to_array<FieldRule>({
    {"cancel", FieldType::kBoolean},
    {"parallel-tries", FieldType::kBoolean},
    {"retry-after", FieldType::kBoolean},
    {"max-retry-after-s", FieldType::kNumber, Range::kNotNegative},
    {"try-limit", FieldType::kInteger, Range::kPositive, true},
    {"conn-idle-s", FieldType::kNumber, Range::kPositive},
    {"connect-timeout-s", FieldType::kNumber, Range::kPositive},
});
constexpr auto kInvariantsFields = std::to_array<FieldRule>({
    {"cold-from", FieldType::kNumber, Range::kNotNegative},
    {"warm-after-s", FieldType::kNumber, Range::kNotNegative},
    {"tip-multiple", FieldType::kNumber, Range::kNotNegative},
    {"tip-after-s", FieldType::kNumber, Range::kNotNegative},
    {"ask-within-s", FieldType::kNumber, Range::kNotNegative},
    {"drain-grace-s", FieldType::kNumber, Range::kNotNegative},
});
constexpr auto kClassFields = std::to_array<FieldRule>({
    {"name", FieldType::kText},
    {"aim-s", FieldType::kNumber, Range::kPositive},
    {"hard-limit-s", FieldType::kNumber, Range::kPositive, true},
    {"window-s", FieldType::kNumber, Range::kNotNegative},
    {"importance", FieldType::kNumber, Range::kNotNegative},
    {"late-share", FieldType::kNumber, Range::kNotNegative},
});
constexpr auto kPlanFields = std::to_array<FieldRule>({
    {"name", FieldType::kText},
    {"units-per-s", FieldType::kNumber, Range::kNotNegative},
    {"store-size", FieldType::kNumber, Range::kNotNegative},
    {"never-over-rate", FieldType::kNumber, Range::kNotNegative},
    {"ceiling-burst", FieldType::kNumber, Range::kNotNegative},
    {"cap-slack", FieldType::kNumber, Range::kNotNegative},
    {"excess-worth", FieldType::kNumber, Range::kNotNegative},
    {"over-cost", FieldType::kNumber, Range::kNotNegative},
    {"value-factor", FieldType::kNumber, Range::kNotNegative},
    {"parallel", FieldType::kInteger, Range::kNotNegative, true},
});

struct FieldGroup {
  const char* key;
  std::span<const FieldRule> fields;
};
constexpr FieldGroup kGroups[] = {{"specifics", kSpecificsFields},
                                  {"prices", kPricesFields},
                                  {"limits", kLimitsFields},
                                  {"invariants", kInvariantsFields}};

// Checks a list of distinct texts.
void CheckNameList(const json& settings, const char* key, FaultReporter* reporter) {
  const json* names = RequireList(settings, "/settings", key, reporter);
  if (names == nullptr) return;
  std::set<std::string> seen;
  for (size_t i = 0; i < names->size(); ++i) {
    CheckUniqueName((*names)[i], ChildPath(ChildPath("/settings", key), i), &seen, reporter);
  }
}

// Checks a list of objects with distinct names.
// @return null if it is not a list or too long.
const json* CheckTable(const json& settings, const char* key, std::span<const FieldRule> fields,
                       FaultReporter* reporter) {
  const json* table = RequireList(settings, "/settings", key, reporter);
  if (table == nullptr) return nullptr;
  if (table->size() > kMaxTableEntries) {
    reporter->Fault(ChildPath("/settings", key),
                    "holds more than " + std::to_string(kMaxTableEntries) + " entries");
    return nullptr;
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < table->size(); ++i) {
    const json& entry = (*table)[i];
    const std::string path = ChildPath(ChildPath("/settings", key), i);
    if (!entry.is_object()) {
      reporter->WrongType(path, "an object", entry);
      continue;
    }
    CheckFields(entry, path, fields, reporter);
    auto name = entry.find("name");
    if (name != entry.end() && name->is_string()) {
      CheckUniqueName(*name, ChildPath(path, "name"), &seen, reporter);
    }
  }
  return table;
}

void CheckClass(const json& request_class, const std::string& path, FaultReporter* reporter) {
  if (!request_class.is_object()) return;
  CheckEnum(request_class, path, "effect", {"free", "guarded", "single_shot"}, reporter);
  CheckEnum(request_class, path, "dedup-scope", {"all", "zone", "cell"}, reporter);
  auto latency_objective_s = FindNumber(request_class, "aim-s");
  auto deadline_s = FindNumber(request_class, "hard-limit-s");
  if (latency_objective_s && deadline_s && *deadline_s > 0 && *latency_objective_s > *deadline_s) {
    reporter->Questionable(ChildPath(path, "aim-s"),
                           "is beyond the deadline, " + ChildPath(path, "hard-limit-s"));
  }
}

// A token bucket smaller than the largest request would never admit that request.
void CheckPlan(const json& plan, const json& settings, const std::string& path, FaultReporter* reporter) {
  auto specifics = settings.find("specifics");
  auto largest_units = specifics == settings.end() ? std::nullopt : FindNumber(*specifics, "units-top");
  if (!largest_units) return;
  auto check_burst = [&](const char* rate_key, const char* burst_key) {
    auto rate_units_per_s = FindNumber(plan, rate_key);
    auto burst_units = FindNumber(plan, burst_key);
    if (!rate_units_per_s || !burst_units) return;
    if (*rate_units_per_s > 0 && *burst_units < *largest_units) {
      reporter->Questionable(ChildPath(path, burst_key),
                             "is less than the largest request, /settings/specifics/units-top");
    }
  };
  check_burst("units-per-s", "store-size");
  check_burst("never-over-rate", "ceiling-burst");
}

void CheckZone(const json& settings, FaultReporter* reporter) {
  auto zone = FindNumber(settings, "zone");
  auto zones = settings.find("zones");
  if (!zone || zones == settings.end() || !zones->is_array() || zones->empty()) return;
  if (*zone >= static_cast<double>(zones->size())) {
    reporter->Questionable("/settings/zone", "is no place in /settings/zones");
  }
}

// The shared counter can only be used if its address is configured.
void CheckCounter(const json& settings, const json& document, FaultReporter* reporter) {
  auto specifics = settings.find("specifics");
  const bool uses_counter = specifics != settings.end() && specifics->is_object() &&
                            specifics->value("may-count", json()) == json(true);
  auto counter = document.find("counter");
  if (uses_counter && (counter == document.end() || counter->is_null())) {
    reporter->Fault("/counter", "is missing, and /settings/specifics/may-count asks for it");
  }
}

}  // namespace

void CheckSettings(const json& settings, const json& document, FaultReporter* reporter) {
  const std::string path = "/settings";
  CheckFields(settings, path, kTopFields, reporter);
  CheckEnum(settings, path, "discovery", {"pushed", "on_request"}, reporter);
  for (const FieldGroup& group : kGroups) {
    const json* value = RequireObject(settings, path, group.key, reporter);
    if (value != nullptr) CheckFields(*value, ChildPath(path, group.key), group.fields, reporter);
  }
  CheckNameList(settings, "zones", reporter);
  CheckNameList(settings, "kinds", reporter);
  const json* classes = CheckTable(settings, "request-classes", kClassFields, reporter);
  const json* plans = CheckTable(settings, "tiers-of-service", kPlanFields, reporter);
  for (size_t i = 0; classes != nullptr && i < classes->size(); ++i) {
    CheckClass((*classes)[i], ChildPath(ChildPath(path, "request-classes"), i), reporter);
  }
  for (size_t i = 0; plans != nullptr && i < plans->size(); ++i) {
    CheckPlan((*plans)[i], settings, ChildPath(ChildPath(path, "tiers-of-service"), i), reporter);
  }
  CheckZone(settings, reporter);
  CheckCounter(settings, document, reporter);
}

}  // namespace lemonchute::config
