/// Checks a configuration document. Reports every fault with the JSON Pointer of its field, and values that
/// are only questionable as warnings. No I/O.
#ifndef LEMONCHUTE_CONFIG_CHECK_H_
#define LEMONCHUTE_CONFIG_CHECK_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace lemonchute::config {

/// Who wrote the configuration. The platform's is rejected only where it is unreadable, incomplete or
/// unusable; any other questionable value in it is a warning. In an operator's configuration, a contradiction
/// or a value out of range is assumed to be a mistake and is a fault.
enum class Author { kPlatform, kOperator };

/// The result of a check. A configuration with a fault is not applied.
struct Findings {
  std::vector<Fault> faults, warnings;
};

/// Replaces spaces, commas and line breaks in a name by '_', as the settings' flat path=value form does.
std::string SanitizeName(std::string_view name);

/// Checks all sections of a configuration.
/// @param initial_settings the settings that the process started with, or null at a start. Their fields must
///   still be present and have the same types.
Findings CheckConfig(const nlohmann::json& document, Author author,
                     const nlohmann::json& initial_settings = nullptr);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CHECK_H_
