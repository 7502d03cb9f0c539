#include "config/field_checks.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr double kMaxInteger = 1e9;  // the settings parser's bound

const json* RequireField(const json& parent, const std::string& at, const char* key,
                         FaultReporter* reporter) {
  auto field = parent.find(key);
  if (field != parent.end()) return &*field;
  reporter->Fault(ChildPath(at, key), "is missing");
  return nullptr;
}

bool InRange(double number, Range range) {
  if (range == Range::kAny || number > 0) return true;
  return range == Range::kNotNegative && number == 0;
}

void CheckNumber(const json& value, const std::string& at, const FieldRule& rule, FaultReporter* reporter) {
  if (!value.is_number()) return reporter->WrongType(at, "a number", value);
  const double number = value.get<double>();
  if (!std::isfinite(number)) return reporter->Fault(at, "is not finite");
  if (rule.type == FieldType::kInteger && (number != std::floor(number) || number > kMaxInteger)) {
    return reporter->Fault(at, "must be a whole number of at most 1000000000");
  }
  if (InRange(number, rule.range)) return;
  std::string why = rule.range == Range::kPositive ? "must be positive" : "must not be negative";
  rule.strict ? reporter->Fault(at, std::move(why)) : reporter->Doubt(at, std::move(why));
}

void CheckField(const json& value, const std::string& at, const FieldRule& rule, FaultReporter* reporter) {
  switch (rule.type) {
    case FieldType::kText:
      if (!value.is_string()) reporter->WrongType(at, "a text", value);
      return;
    case FieldType::kBoolean:
      if (!value.is_boolean()) reporter->WrongType(at, "true or false", value);
      return;
    case FieldType::kNumber:
    case FieldType::kInteger: CheckNumber(value, at, rule, reporter);
  }
}

}  // namespace

void FaultReporter::Fault(std::string at, std::string why) {
  AddFault(&findings_->faults, std::move(at), std::move(why));
}

void FaultReporter::Doubt(std::string at, std::string why) {
  if (author_ == Author::kPlatform) return Warning(std::move(at), std::move(why));
  Fault(std::move(at), std::move(why));
}

void FaultReporter::Warning(std::string at, std::string why) {
  AddFault(&findings_->warnings, std::move(at), std::move(why));
}

void FaultReporter::WrongType(const std::string& at, const char* expected, const json& actual) {
  Fault(at, std::string("must be ") + expected + ", and is " + TypeName(actual));
}

bool FaultReporter::HasFaultAt(const std::string& at) const {
  return std::any_of(findings_->faults.begin(), findings_->faults.end(),
                     [&](const auto& fault) { return fault.path == at; });
}

const char* TypeName(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  if (value.is_string()) return "a text";
  if (value.is_number()) return "a number";
  if (value.is_boolean()) return "true or false";
  return "null";
}

const json* RequireText(const json& parent, const std::string& at, const char* key, FaultReporter* reporter) {
  const json* value = RequireField(parent, at, key, reporter);
  if (value == nullptr || value->is_string()) return value;
  reporter->WrongType(ChildPath(at, key), "a text", *value);
  return nullptr;
}

const json* RequireObject(const json& parent, const std::string& at, const char* key,
                          FaultReporter* reporter) {
  const json* value = RequireField(parent, at, key, reporter);
  if (value == nullptr || value->is_object()) return value;
  reporter->WrongType(ChildPath(at, key), "an object", *value);
  return nullptr;
}

const json* RequireList(const json& parent, const std::string& at, const char* key, FaultReporter* reporter) {
  const json* value = RequireField(parent, at, key, reporter);
  if (value == nullptr || value->is_array()) return value;
  reporter->WrongType(ChildPath(at, key), "a list", *value);
  return nullptr;
}

std::optional<double> FindNumber(const json& parent, const char* key) {
  if (!parent.is_object()) return std::nullopt;
  auto field = parent.find(key);
  if (field == parent.end() || !field->is_number()) return std::nullopt;
  return field->get<double>();
}

void CheckFields(const json& parent, const std::string& at, std::span<const FieldRule> rules,
                 FaultReporter* reporter) {
  for (const FieldRule& rule : rules) {
    const json* value = RequireField(parent, at, rule.key, reporter);
    if (value != nullptr) CheckField(*value, ChildPath(at, rule.key), rule, reporter);
  }
}

void CheckEnum(const json& parent, const std::string& at, const char* key,
               std::initializer_list<const char*> allowed, FaultReporter* reporter) {
  const json* value = RequireText(parent, at, key, reporter);
  if (value == nullptr) return;
  const auto& text = value->get_ref<const std::string&>();
  std::string choices;
  for (const char* choice : allowed) {
    if (text == choice) return;
    choices += std::string(choices.empty() ? "" : ", ") + choice;
  }
  reporter->Fault(ChildPath(at, key), "must be one of " + choices + ", and is " + Printable(text));
}

void CheckUniqueName(const json& name, const std::string& at, std::set<std::string>* seen,
                     FaultReporter* reporter) {
  if (!name.is_string()) return reporter->WrongType(at, "a text", name);
  const auto& text = name.get_ref<const std::string&>();
  if (text.empty()) return reporter->Doubt(at, "is empty");
  if (!seen->insert(SanitizeName(text)).second) reporter->Doubt(at, "occurs twice: " + Printable(text));
}

}  // namespace lemonchute::config
