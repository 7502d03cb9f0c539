#include "config/check.h"

#include "config/section_checks.h"

namespace lemonchute::config {

using nlohmann::json;

std::string SanitizeName(std::string_view name) {
  std::string plain(name);
  for (char& c : plain) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return plain;
}

Findings CheckConfig(const json& document, Author author, const json& initial_settings) {
  Findings findings;
  FaultReporter reporter(author, &findings);
  if (!document.is_object()) {
    reporter.Fault("", "the configuration is not a JSON object");
    return findings;
  }
  CheckProcess(document, &reporter);
  CheckExtensions(document, &reporter);
  CheckAddressConflicts(document, &reporter);
  const json* settings = RequireObject(document, "", "settings", &reporter);
  if (settings == nullptr) return findings;
  CheckSettings(*settings, document, &reporter);
  const bool started = !initial_settings.is_null();
  if (started) CheckShape(initial_settings, *settings, &reporter);
  CheckInitialEndpoints(document, *settings, started, &reporter);
  return findings;
}

}  // namespace lemonchute::config
