/// The checks of a configuration's sections, in the order in which CheckConfig runs them. Internal to
/// src/config.
#ifndef LEMONCHUTE_CONFIG_SECTION_CHECKS_H_
#define LEMONCHUTE_CONFIG_SECTION_CHECKS_H_

#include <nlohmann/json.hpp>

#include "config/field_checks.h"

namespace lemonchute::config {

/// Checks the top-level keys of the process: name, addresses, seed and `limits`.
void CheckProcess(const nlohmann::json& document, FaultReporter* reporter);

/// Checks `extensions`. Only operators write it, so an unknown key is a fault.
void CheckExtensions(const nlohmann::json& document, FaultReporter* reporter);

/// Reports remote addresses at which this process itself listens, and two listeners at one address.
void CheckAddressConflicts(const nlohmann::json& document, FaultReporter* reporter);

/// Checks `settings`: groups of numbers, request classes, plans, zones and kinds.
void CheckSettings(const nlohmann::json& settings, const nlohmann::json& document, FaultReporter* reporter);

/// Compares `settings` with those that the process started with: each of their fields must still be present
/// with the same type. Of list elements, only the fields that all elements had are required. A path that has
/// a fault already is not reported again, so this runs after CheckSettings.
void CheckShape(const nlohmann::json& initial_settings, const nlohmann::json& settings,
                FaultReporter* reporter);

/// Checks `known`, the initial endpoint list. It is only read at a start, so for a started process its faults
/// are reported as questionable.
void CheckInitialEndpoints(const nlohmann::json& document, const nlohmann::json& settings, bool started,
                           FaultReporter* reporter);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_SECTION_CHECKS_H_
