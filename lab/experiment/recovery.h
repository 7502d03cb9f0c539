// Owns the yardstick of recovery: the same seconds of the same day without its troubles.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_RECOVERY_H_
#define LEMONCHUTE_LAB_EXPERIMENT_RECOVERY_H_

#include <nlohmann/json.hpp>

#include "model/run_spec.h"

namespace lemonchute::lab {

// The day with its load, and with what operators and rude peers do, but without what goes wrong.
RunSpec WithoutTroubles(const RunSpec& day);

// Puts into `report`, from the series of both: for each trouble `recover_s`, seconds from its end until two
// seconds together are served at 95% of the same two without the troubles (-1: not by the day's end; none
// where the day ends first), and `lost_to_troubles`, the share of the served worth that is missing.
void Recover(const nlohmann::json& without, nlohmann::json* report);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_RECOVERY_H_
