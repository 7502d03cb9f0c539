#include "config/field_checks.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr double kMaxInteger = 1e9;  // the settings parser's limit

const json* RequireField(const json& parent, const std::string& path, const char* key,
                         FaultReporter* reporter) {
  auto field = parent.find(key);
  if (field != parent.end()) return &*field;
  reporter->Fault(ChildPath(path, key), "is missing");
  return nullptr;
}

bool InRange(double number, Range range) {
  if (range == Range::kAny || number > 0) return true;
  return range == Range::kNotNegative && number == 0;
}

void CheckNumber(const json& value, const std::string& path, const FieldRule& rule, FaultReporter* reporter) {
  if (!value.is_number()) return reporter->WrongType(path, "a number", value);
  const double number = value.get<double>();
  if (!std::isfinite(number)) return reporter->Fault(path, "is not finite");
  if (rule.type == FieldType::kInteger && (number != std::floor(number) || number > kMaxInteger)) {
    return reporter->Fault(path, "must be a whole number of at most 1000000000");
  }
  if (InRange(number, rule.range)) return;
  std::string message = rule.range == Range::kPositive ? "must be positive" : "must not be negative";
  rule.strict ? reporter->Fault(path, std::move(message)) : reporter->Questionable(path, std::move(message));
}

void CheckField(const json& value, const std::string& path, const FieldRule& rule, FaultReporter* reporter) {
  switch (rule.type) {
    case FieldType::kText:
      if (!value.is_string()) reporter->WrongType(path, "a text", value);
      return;
    case FieldType::kBoolean:
      if (!value.is_boolean()) reporter->WrongType(path, "true or false", value);
      return;
    case FieldType::kNumber:
    case FieldType::kInteger: CheckNumber(value, path, rule, reporter);
  }
}

}  // namespace

void FaultReporter::Fault(std::string path, std::string message) {
  AddFault(&findings_->faults, std::move(path), std::move(message));
}

void FaultReporter::Questionable(std::string path, std::string message) {
  if (author_ == Author::kPlatform) return Warning(std::move(path), std::move(message));
  Fault(std::move(path), std::move(message));
}

void FaultReporter::Warning(std::string path, std::string message) {
  AddFault(&findings_->warnings, std::move(path), std::move(message));
}

void FaultReporter::WrongType(const std::string& path, const char* expected, const json& actual) {
  Fault(path, std::string("must be ") + expected + ", and is " + TypeName(actual));
}

bool FaultReporter::HasFaultAt(const std::string& path) const {
  return std::any_of(findings_->faults.begin(), findings_->faults.end(),
                     [&](const auto& fault) { return fault.path == path; });
}

const char* TypeName(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_number()) return "a number";
  if (value.is_boolean()) return "true or false";
  return "null";
}

const json* RequireText(const json& parent, const std::string& path, const char* key,
                        FaultReporter* reporter) {
  const json* value = RequireField(parent, path, key, reporter);
  if (value == nullptr || value->is_string()) return value;
  reporter->WrongType(ChildPath(path, key), "a text", *value);
  return nullptr;
}

const json* RequireObject(const json& parent, const std::string& path, const char* key,
                          FaultReporter* reporter) {
  const json* value = RequireField(parent, path, key, reporter);
  if (value == nullptr || value->is_object()) return value;
  reporter->WrongType(ChildPath(path, key), "an object", *value);
  return nullptr;
}

const json* RequireList(const json& parent, const std::string& path, const char* key,
                        FaultReporter* reporter) {
  const json* value = RequireField(parent, path, key, reporter);
  if (value == nullptr || value->is_array()) return value;
  reporter->WrongType(ChildPath(path, key), "a list", *value);
  return nullptr;
}

std::optional<double> FindNumber(const json& parent, const char* key) {
  if (!parent.is_object()) return std::nullopt;
  auto field = parent.find(key);
  if (field == parent.end() || !field->is_number()) return std::nullopt;
  return field->get<double>();
}

void CheckFields(const json& parent, const std::string& path, std::span<const FieldRule> rules,
                 FaultReporter* reporter) {
  for (const FieldRule& rule : rules) {
    const json* value = RequireField(parent, path, rule.key, reporter);
    if (value != nullptr) CheckField(*value, ChildPath(path, rule.key), rule, reporter);
  }
}

void CheckEnum(const json& parent, const std::string& path, const char* key,
               std::initializer_list<const char*> allowed, FaultReporter* reporter) {
  const json* value = RequireText(parent, path, key, reporter);
  if (value == nullptr) return;
  const auto& text = value->get_ref<const std::string&>();
  std::string choices;
  for (const char* choice : allowed) {
    if (text == choice) return;
    choices += std::string(choices.empty() ? "" : ", ") + choice;
  }
  reporter->Fault(ChildPath(path, key), "must be one of " + choices + ", and is " + Printable(text));
}

void CheckUniqueName(const json& name, const std::string& path, std::set<std::string>* seen,
                     FaultReporter* reporter) {
  if (!name.is_string()) return reporter->WrongType(path, "a text", name);
  const auto& text = name.get_ref<const std::string&>();
  if (text.empty()) return reporter->Questionable(path, "is empty");
  if (!seen->insert(SanitizeName(text)).second)
    reporter->Questionable(path, "occurs twice: " + Printable(text));
}

}  // namespace lemonchute::config
