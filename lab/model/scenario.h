// A scenario: every parameter of the site with its unit, range and default, in one table that the reader and
// the commands `--set`, `sweep` and `keys` share. The value of a parameter is a range, from which each run
// draws by its seed.
#ifndef LEMONCHUTE_LAB_MODEL_SCENARIO_H_
#define LEMONCHUTE_LAB_MODEL_SCENARIO_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lemonchute::lab {

/// A closed range that a parameter is drawn from.
struct Range {
  double lo = 0, hi = 0;
  bool operator==(const Range&) const = default;
};

/// Describes one parameter of `Owner`. The suffix of the key gives the unit (_s, _ms, _share and so on).
template <typename Owner>
struct Parameter {
  const char* key;
  Range Owner::*member;
  double min, max;
  bool integer_only;  // accepts whole numbers only
  const char* description;
};

/// A request class. Times are in milliseconds.
struct ClassConfig {
  std::string name, effect = "free";
  Range share{1, 1}, work_ms{100, 170}, work_cv{0.7, 1.4}, aim_ms{1200, 1200}, deadline_ms{3000, 3000},
      worth{1, 1};
};

/// A plan. Quotas apply to each customer over all gateways together.
struct PlanConfig {
  std::string name;
  Range share{1, 1}, units_per_s{4, 8}, burst_s{2, 5}, price{1, 1}, over_cost{0.6, 0.6}, over_worth{0, 0};
  Range open_times{0, 0}, ceiling_times{0, 0};
};

/// One event of the scenario's timeline. EventKinds() tells what the fields mean for a kind.
struct EventConfig {
  std::string kind;
  Range at_s{0, 0}, for_s{0, 0}, part{1, 1}, size{1, 1}, down_s{0.3, 1.4};
  // Explicit indices, in place of a share that the run draws. For a path: the gateways at the near end.
  std::vector<int> targets;
  std::vector<int> others;  // for a path: indices at the far end; empty means all
  std::string to, way = "both", what, order = "drawn";
  int line = 0;  // in the scenario file, for error messages
};

/// What a run of the scenario has to achieve; absent values are not checked.
struct Expectations {
  std::optional<double> g_at_least, served_at_least, recover_s_at_most, told_at_most;
  bool rules_kept = true;
};

/// All parameters of a scenario. Units are given by the suffix of the name.
struct Scenario {
  std::string name, about;
  // JSON text of the configuration's `extensions`. $STATE stands for the gateway's state folder, which
  // outlives its processes.
  std::string extensions;
  Range length_s{20, 20}, settle_s{4, 4};
  Range gateways{3, 3}, backends{9, 9}, zones{3, 3}, memory_mb{192, 192}, descriptors{1024, 1024};
  Range cores{2, 2}, speed{0.85, 1.1}, slots_per_core{2, 6}, queue_per_core{9, 34};
  Range crowding_loss{0.061, 0.28}, crowding_at{5, 7.9};
  Range cold_share{0.24, 0.47}, cold_s{7.4, 18}, tip_multiple{2.5, 2.5}, tip_s{1.5, 1.5},
      tip_slack_requests{3, 3};
  Range connections_per_core{430, 830}, handshake_work_ms{0.56, 1.5}, handshake_trips{1, 3}, idle_s{30, 30};
  Range connect_timeout_ms{250, 250}, error_share{0, 0.001}, cancel_running{0, 1}, drops_overdue{0, 1};
  Range same_zone_ms{0.086, 0.25}, cross_zone_ms{0.7, 1.3}, client_ms{0.47, 1.2}, jitter{0.085, 0.32};
  Range load_use{0.48, 0.63};
  Range calm_use{0.19, 0.5}, full_share{0.087, 0.23}, heavy_share{0.071, 0.12}, heavy_times{1.9, 4.9};
  Range spiky_share{0.11, 0.24}, spike_times{2.1, 7.9}, spike_s{1.1, 4.1}, spike_every_s{10, 23};
  Range max_excess{0.9, 0.9}, set_size{2, 4}, skew{0.91, 1.5}, shift_s{3.2, 8.9};
  Range units_top{6, 6}, guess_cv{0.38, 0.64};
  Range retries{2, 3}, try_timeout_share{0.5, 1}, backoff_ms{60, 480}, backoff_grows{0, 1},
      heeds_retry_after_share{0.39, 0.88};
  Range max_retry_after_ms{2000, 2000}, impatient_share{0, 0};
  Range use_until_end_share{0, 0};
  Range front_notice_s{0.8, 4};
  Range discovery_notice_s{1, 5}, discovery_start_notice_s{0.22, 2.5}, discovery_agent_ms{20, 200};
  Range counter_calls_per_s{490, 660}, counter_parts{2, 3}, counter_call_ms{0.32, 1.5},
      counter_line_timeouts{0.4, 3}, counter_timeout_ms{30, 30};
  Range counter_lost_share{0, 0}, counter_price{0.02, 0.02};
  Range peer_loss{0, 0}, peer_in_per_s{60, 60}, converge_s{10, 10};
  Range drain_grace_ms{1000, 1000}, answer_grace_ms{50, 50}, try_limit{3, 3}, ceiling_slack_share{0.1, 0.1};
  Range waste_price{0.08, 0.08}, late_price{0.03, 0.03}, cross_zone_price{0.005, 0.005},
      handshake_price{0, 0}, misbehaving_peer_price{0.3, 0.3}, held_request_price{0.3, 0.3};
  Range goal_whole{0.6, 0.6}, goal_window{0.1, 0.1}, goal_plan{0.3, 0.3};
  std::vector<ClassConfig> classes;
  std::vector<PlanConfig> plans;
  std::vector<EventConfig> events;
  Expectations expect;
};

/// The parameters of each part of a scenario, by key.
const std::vector<Parameter<Scenario>>& ScenarioParameters();
const std::vector<Parameter<ClassConfig>>& ClassParameters();
const std::vector<Parameter<PlanConfig>>& PlanParameters();
const std::vector<Parameter<EventConfig>>& EventParameters();

/// An event kind and the meaning of its fields.
struct EventKind {
  const char* name;
  const char* about;
};
const std::vector<EventKind>& EventKinds();
/// Whether events of this kind are load rather than faults. A run without its faults keeps them.
bool IsLoadEvent(std::string_view kind);

/// An error in a scenario: the line (0 if there is none), the key and the reason.
struct ScenarioError {
  int line = 0;
  std::string key, message;
  bool operator==(const ScenarioError&) const = default;
};

/// Parses and checks a scenario and collects all errors. The scenario is usable only if there are none.
struct ScenarioParseResult {
  Scenario scenario;
  std::vector<ScenarioError> errors;
};
ScenarioParseResult ParseScenario(std::string_view text);
/// Sets one parameter from "key=2" or "key=[1,2]". An empty result means success.
std::optional<ScenarioError> SetParameter(Scenario* scenario, std::string_view assignment);
/// Writes the scenario as TOML that parses to the same scenario.
std::string WriteScenario(const Scenario& scenario);
/// Checks what no single key shows: shares that don't add up, events past the end, more zones than gateways.
void CheckConsistency(const Scenario& scenario, std::vector<ScenarioError>* errors);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_SCENARIO_H_
