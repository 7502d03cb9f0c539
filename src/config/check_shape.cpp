// Checks that new settings have the fields that the process started with.
#include <iterator>
#include <string>
#include <utility>

#include "config/section_checks.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

// The fields that all objects of a list have, with the values of the first object.
json CommonElement(const json& list) {
  json common = list.front();
  for (const json& element : list) {
    if (!common.is_object() || !element.is_object()) continue;
    for (auto field = common.begin(); field != common.end();) {
      field = element.contains(field.key()) ? std::next(field) : common.erase(field);
    }
  }
  return common;
}

// Skips a path for which another check has reported a fault already.
void ReportOnce(const std::string& path, std::string message, FaultReporter* reporter) {
  if (!reporter->HasFaultAt(path)) reporter->Fault(path, std::move(message));
}

void CompareShape(const json& initial, const json& current, const std::string& path,
                  FaultReporter* reporter) {
  const bool same_type = initial.is_number() ? current.is_number() : initial.type() == current.type();
  if (!same_type) {
    return ReportOnce(path, std::string("must be ") + TypeName(initial) + " as at the start", reporter);
  }
  if (initial.is_object()) {
    for (const auto& [key, value] : initial.items()) {
      auto field = current.find(key);
      if (field == current.end()) {
        ReportOnce(ChildPath(path, key), "is missing, and was there at the start", reporter);
      } else {
        CompareShape(value, *field, ChildPath(path, key), reporter);
      }
    }
  } else if (initial.is_array() && !initial.empty()) {
    if (current.empty()) return reporter->Fault(path, "is empty, and was not at the start");
    const json element = CommonElement(initial);
    for (size_t i = 0; i < current.size(); ++i)
      CompareShape(element, current[i], ChildPath(path, i), reporter);
  }
}

}  // namespace

void CheckShape(const json& initial_settings, const json& settings, FaultReporter* reporter) {
  CompareShape(initial_settings, settings, "/settings", reporter);
}

}  // namespace lemonchute::config
