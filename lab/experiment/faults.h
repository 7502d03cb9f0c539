// Owns drawn fault plans: what goes wrong on a day, by weights and a seed, and the search for the fewest
// events of a plan that still fail.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_FAULTS_H_
#define LEMONCHUTE_LAB_EXPERIMENT_FAULTS_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "model/scenario.h"

namespace lemonchute::lab {

struct PlanWish {
  int events = 8;
  double quiet_s = 10;      // at the end nothing is wrong any more, so that recovery can be judged
  bool real = false;        // with what only processes can show
  std::string kind;         // this kind alone; empty: by the weights
  bool operations = false;  // with restarts (SIGTERM, SIGKILL at its earliest) and series of SIGHUP
};
// Every kind that a plan may hold.
std::vector<std::string> PlanKinds(bool real);
// The events, with all of their figures and targets fixed, so that each can be left out and the others stay
// as they are. The base has to say its fleet in single numbers where `wish` is to be met exactly; the least
// of a range is taken.
std::vector<EventConfig> DrawPlan(const Scenario& base, uint64_t seed, const PlanWish& wish);

// The fewest events of `failing` that still fail, by delta debugging (Zeller and Hildebrandt 2002, ddmin):
// no single one of those that are left can be taken away. `fails` plays a scenario.
struct Shrunk {
  Scenario scenario;
  int plays = 0;
};
Shrunk Shrink(Scenario failing, const std::function<bool(const Scenario&)>& fails);

// Plays the plans of many seeds.
struct FaultHunt {
  Scenario base;
  uint64_t first_seed = 1, last_seed = 1;
  PlanWish wish;
  int jobs = 1;     // plays side by side
  std::string lab;  // the program that plays real days, each in a process of its own; empty: in virtual time
  std::string gateway;         // of real days
  bool system_faults = false;  // real days alone
  std::string folder;          // where plans that failed are written, shrunk; empty: nowhere
  double recover_s =
      0;  // a play that has not recovered so long after its last trouble has failed too; 0: any
  std::function<void(double)> progress;
};
// For each seed: {"seed", "failed" (why, or empty), "events" (kinds), "report", "file", "left" (events after
// shrinking), "plays"}.
std::vector<nlohmann::json> Hunt(const FaultHunt& hunt);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_FAULTS_H_
