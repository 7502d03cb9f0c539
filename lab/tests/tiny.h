// Owns the small days that the lab's tests share: a scenario without chance, and days with arrivals by hand.
#ifndef LEMONCHUTE_LAB_TESTS_TINY_H_
#define LEMONCHUTE_LAB_TESTS_TINY_H_

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "model/run_spec.h"

namespace lemonchute::lab {

inline std::string Slurp(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

inline std::string ShippedPath(const std::string& name) {
  return std::string(LAB_SCENARIOS) + "/" + name + ".toml";
}

inline Scenario Shipped(const std::string& name, const std::vector<std::string>& settings = {}) {
  ScenarioParseResult read = ParseScenario(Slurp(ShippedPath(name)));
  EXPECT_TRUE(read.errors.empty()) << name << ": " << (read.errors.empty() ? "" : read.errors[0].message);
  for (const std::string& setting : settings) EXPECT_FALSE(SetParameter(&read.scenario, setting)) << setting;
  return read.scenario;
}

// Two gateways, two backends of one core, one slot and one place to wait; work, ways and units are all fixed.
inline const char* const kTiny = R"(
name = "tiny"
[day]
length_s = 20
settle_s = 5
[fleet]
gateways = 2
backends = 2
zones = 1
[backend]
cores = 1
speed = 1
slots_per_core = 1
queue_per_core = 1
crowding_at = 100
cold_share = 0.5
cold_s = 10
tip_multiple = 2
tip_s = 1
tip_slack_requests = 0
cancel_running = 1
drops_overdue = 0
error_share = 0
[rules]
answer_grace_ms = 500
[discovery]
notice_s = 1
start_notice_s = 1
agent_ms = 0
[counter]
calls_per_s = 100
parts = 1
call_ms = 0
line_timeouts = 1
timeout_ms = 30
[customers]
set_size = 2
[[class]]
name = "view"
work_ms = 100
work_cv = 0
aim_ms = 1000
deadline_ms = 2000
[[plan]]
name = "plain"
share = 1
units_per_s = 1
burst_s = 12
over_cost = 0.5
[[plan]]
name = "capped"
share = 1
units_per_s = 10
burst_s = 2
open_times = 1
ceiling_times = 1
)";

// A day of kTiny with two customers, one of each plan, and arrivals of one unit at the given seconds.
inline RunSpec TinyDay(const std::vector<std::pair<double, uint32_t>>& arrivals = {}) {
  ScenarioParseResult read = ParseScenario(kTiny);
  EXPECT_TRUE(read.errors.empty()) << (read.errors.empty()
                                           ? ""
                                           : read.errors[0].key + " " + read.errors[0].message);
  RunSpec day = DrawRunSpec(read.scenario, 1);
  day.customers = {{100, 0, 0, 2}, {200, 1, 0, 2}};
  day.arrivals.clear();
  for (auto [at_s, customer] : arrivals) day.arrivals.push_back({FromSeconds(at_s), customer, 0, 0.1, 1, 1});
  return day;
}

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_TESTS_TINY_H_
