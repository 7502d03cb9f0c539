// Owns the playing of many days: each scenario with each seed, in virtual time side by side on several
// threads, on real sockets one after another.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_RUNNER_H_
#define LEMONCHUTE_LAB_EXPERIMENT_RUNNER_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/scenario.h"
#include "play/real/real_day.h"

namespace lemonchute::lab {

enum class Way { kVirtual, kReal, kNull };

struct Batch {
  std::vector<Scenario> scenarios;
  uint64_t first_seed = 1, last_seed = 1;
  Way way = Way::kVirtual;
  int jobs = 1;               // threads in virtual time
  bool with_history = false;  // each request goes into the history too, and it is judged
  std::string history;        // file for the history of the last day played; empty: none is kept
  RealOptions real;
  // How far all is, from 0 to 1; called now and then, from the caller's thread.
  std::function<void(double)> progress;
};

// The reports, by scenario and then by seed, each with what was expected of it and whether it `held`. Throws
// CannotPlay.
std::vector<nlohmann::json> Play(const Batch& batch);

// Adds `expectations` and `held` to a report.
void Hold(const Expectations& expect, nlohmann::json* report);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_RUNNER_H_
