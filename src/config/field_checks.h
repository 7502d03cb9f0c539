/// Checks of single JSON fields, shared by the checks of the configuration's sections. Internal to
/// src/config.
#ifndef LEMONCHUTE_CONFIG_FIELD_CHECKS_H_
#define LEMONCHUTE_CONFIG_FIELD_CHECKS_H_

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "config/check.h"

namespace lemonchute::config {

/// Collects the findings of the checks. Does not own `findings`, which must outlive the reporter.
class FaultReporter {
 public:
  FaultReporter(Author author, Findings* findings) : author_(author), findings_(findings) {}

  /// Reports a fault, whoever wrote the configuration.
  void Fault(std::string path, std::string message);
  /// Reports a warning for the platform's configuration, a fault for an operator's (see Author).
  void Questionable(std::string path, std::string message);
  void Warning(std::string path, std::string message);
  void WrongType(const std::string& path, const char* expected, const nlohmann::json& actual);
  bool HasFaultAt(const std::string& path) const;

 private:
  const Author author_;
  Findings* findings_;
};

enum class FieldType { kText, kNumber, kInteger, kBoolean };
enum class Range { kAny, kNotNegative, kPositive };

/// A required field. A value outside `range` is a fault for either author if `strict` (the program can't run
/// with it), and otherwise questionable.
struct FieldRule {
  const char* key;
  FieldType type;
  Range range = Range::kAny;
  bool strict = false;
};

/// The value's type as messages name it: "an object", "a list", ...
const char* TypeName(const nlohmann::json& value);

/// Returns the field if it is present with the required type; otherwise reports a fault and returns null.
const nlohmann::json* RequireText(const nlohmann::json& parent, const std::string& path, const char* key,
                                  FaultReporter* reporter);
const nlohmann::json* RequireObject(const nlohmann::json& parent, const std::string& path, const char* key,
                                    FaultReporter* reporter);
const nlohmann::json* RequireList(const nlohmann::json& parent, const std::string& path, const char* key,
                                  FaultReporter* reporter);

/// Returns the field if `parent` is an object that has it as a number. Reports nothing.
std::optional<double> FindNumber(const nlohmann::json& parent, const char* key);

/// Checks that each field is present and follows its rule.
void CheckFields(const nlohmann::json& parent, const std::string& path, std::span<const FieldRule> rules,
                 FaultReporter* reporter);
/// Checks that the field is one of the `allowed` texts.
void CheckEnum(const nlohmann::json& parent, const std::string& path, const char* key,
               std::initializer_list<const char*> allowed, FaultReporter* reporter);
/// Checks that the name is a text, not empty, and not in `seen`; adds it to `seen`.
void CheckUniqueName(const nlohmann::json& name, const std::string& path, std::set<std::string>* seen,
                     FaultReporter* reporter);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_FIELD_CHECKS_H_
