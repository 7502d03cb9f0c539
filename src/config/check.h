// Checks a configuration document: reports every fault at its place, and separately what is only doubtful.
// No I/O.
#ifndef LEMONCHUTE_CONFIG_CHECK_H_
#define LEMONCHUTE_CONFIG_CHECK_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/document.h"

namespace lemonchute::config {

// Who wrote the configuration. The platform's is rejected only where it is unreadable, incomplete or
// unusable; anything else doubtful in it is a warning. In an operator's, a contradiction or a value out of
// range is taken for a mistake and is a fault.
enum class Author { kPlatform, kOperator };

struct Findings {
  std::vector<Fault> faults, warnings;
};

// Replaces spaces, commas and line ends in a name by '_', as the settings' flat path=value form does.
std::string SanitizeName(std::string_view name);

// @param initial_settings the settings that the process started with, or null at a start. Their fields must
//   still be there and have the same types.
Findings CheckConfig(const nlohmann::json& document, Author author,
                     const nlohmann::json& initial_settings = nullptr);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CHECK_H_
