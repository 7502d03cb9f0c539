// lemonchute-lab: the command line. Exit codes: 0 all went as expected, 1 it did not, 2 something is wrong
// with what was asked for, 3 it can't be played here.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/tables.h"
#include "experiment/compare.h"
#include "experiment/faults.h"
#include "experiment/runner.h"
#include "experiment/statistics.h"
#include "experiment/worst_order.h"
#include "report/html.h"

namespace {

using namespace lemonchute::lab;
using nlohmann::json;

constexpr int kAsExpected = 0, kNotAsExpected = 1, kUsage = 2, kCannot = 3;

struct Asked {
  std::vector<std::string> scenarios, settings, builds;
  std::string seeds = "1", gateway, logs, report, output = "report.html", sweep, history, folder, kind, plans;
  bool real = false, null_run = false, as_json = false, system_faults = false;
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  int for_s = 900, events = 8, gateways = 0;
  double quiet_s = 10, recover_s = 0;
  bool with_history = false, by_kind = false, operations = false;
  int plays = 256;
};

// A fault in what was asked for; the text is whole.
class Unusable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in || std::filesystem::is_directory(path)) throw Unusable("cannot read " + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// All scenarios, with the settings asked for; every fault of all of them in one go.
std::vector<Scenario> ReadScenarios(const Asked& asked) {
  std::vector<Scenario> scenarios;
  std::string faults;
  auto add = [&](const std::string& where, const ScenarioError& fault) {
    faults += where + (fault.line > 0 ? ":" + std::to_string(fault.line) : "") + ": " +
              (fault.key.empty() ? "" : fault.key + " ") + fault.message + "\n";
  };
  for (const std::string& path : asked.scenarios) {
    ScenarioParseResult read = ParseScenario(ReadFile(path));
    for (const ScenarioError& fault : read.errors) add(path, fault);
    for (const std::string& setting : asked.settings) {
      if (auto fault = SetParameter(&read.scenario, setting)) add("--set", *fault);
    }
    std::vector<ScenarioError> after;
    if (read.errors.empty()) CheckConsistency(read.scenario, &after);
    for (const ScenarioError& fault : after) add(path, fault);
    scenarios.push_back(std::move(read.scenario));
  }
  if (!faults.empty()) throw Unusable(faults);
  return scenarios;
}

std::pair<uint64_t, uint64_t> ReadSeeds(const std::string& text) {
  size_t dots = text.find("..");
  auto number = [&](const std::string& part) {
    uint64_t value = 0;
    auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc() || end != part.data() + part.size() || part.empty())
      throw Unusable("--seeds " + text + ": write one seed or FROM..TO");
    return value;
  };
  uint64_t from = number(text.substr(0, dots)),
           to = dots == std::string::npos ? from : number(text.substr(dots + 2));
  if (to < from || to - from >= 10000)
    throw Unusable("--seeds " + text + ": the second has to be from the first on, at most 10000 in all");
  return {from, to};
}

std::function<void(double)> ProgressLine() {
  if (isatty(2) == 0) return {};
  return [](double share) { std::fprintf(stderr, "\r%3.0f%%%s", 100 * share, share >= 1 ? "\r    \r" : ""); };
}

// Beside the lab, as a build leaves it.
std::string BesideLab(const char* name) {
  std::error_code failed;
  auto self = std::filesystem::read_symlink("/proc/self/exe", failed);
  return (self.parent_path() / name).string();
}

std::string FaultsLibrary(const Asked& asked) {
  return asked.system_faults ? BesideLab("liblemonchute_faults.so") : "";
}

Batch MakeBatch(const Asked& asked) {
  Batch batch;
  batch.scenarios = ReadScenarios(asked);
  std::tie(batch.first_seed, batch.last_seed) = ReadSeeds(asked.seeds);
  batch.way = asked.null_run ? Way::kNull : asked.real ? Way::kReal : Way::kVirtual;
  batch.jobs = std::clamp(asked.jobs, 1, 256);
  batch.real.program = asked.gateway.empty() ? BesideLab("lemonchute") : asked.gateway;
  batch.real.folder = asked.logs;
  batch.real.faults_library = FaultsLibrary(asked);
  batch.with_history = asked.with_history || !asked.history.empty();
  batch.history = asked.history;
  batch.progress = ProgressLine();
  return batch;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw Unusable("cannot write " + path);
}

int Run(const Asked& asked) {
  std::vector<json> reports = Play(MakeBatch(asked));
  if (!asked.report.empty()) WriteFile(asked.report, HtmlReport(reports));
  if (asked.as_json) {
    for (const json& report : reports) std::printf("%s\n", report.dump().c_str());
  } else {
    std::fputs(DayTable(reports).c_str(), stdout);
    if (!asked.report.empty()) std::printf("report: %s\n", asked.report.c_str());
  }
  bool held = std::all_of(reports.begin(), reports.end(),
                          [](const json& r) { return r.value("held", true) && !r.value("stopped", false); });
  return held ? kAsExpected : kNotAsExpected;
}

int DoCompare(const Asked& asked) {
  ReadScenarios(asked);
  Builds builds;
  builds.a = asked.builds[0], builds.b = asked.builds[1];
  builds.scenarios = asked.scenarios, builds.settings = asked.settings;
  std::tie(builds.first_seed, builds.last_seed) = ReadSeeds(asked.seeds);
  builds.real = asked.real;
  builds.lab = BesideLab("lemonchute-lab");
  builds.progress = ProgressLine();
  json result = Compare(builds);
  std::fputs(asked.as_json ? (result.dump() + "\n").c_str() : CompareTable(result).c_str(), stdout);
  return kAsExpected;
}

int Sweep(Asked asked) {
  size_t equals = asked.sweep.find('=');
  std::vector<std::string> values;
  std::stringstream list(equals == std::string::npos ? "" : asked.sweep.substr(equals + 1));
  for (std::string value; std::getline(list, value, ',');) values.push_back(value);
  if (values.empty()) throw Unusable("sweep " + asked.sweep + ": write KEY=VALUE,VALUE,...");
  std::vector<std::string> settings = asked.settings;
  bool held = true;
  for (const std::string& value : values) {
    asked.settings = settings;
    asked.settings.push_back(asked.sweep.substr(0, equals + 1) + value);
    if (!asked.as_json) std::printf("%s\n", asked.settings.back().c_str());
    held &= Run(asked) == kAsExpected;
  }
  return held ? kAsExpected : kNotAsExpected;
}

// The day on which plans are laid.
Scenario FaultBase(Asked asked) {
  if (asked.scenarios.empty()) asked.scenarios = {LAB_FAULTS_BASE};
  if (asked.gateways > 0) asked.settings.push_back("fleet.gateways=" + std::to_string(asked.gateways));
  Scenario base = ReadScenarios(asked)[0];
  if (asked.events < 1 || asked.events > 64) throw Unusable("--events: from 1 to 64");
  if (asked.quiet_s < 2 || asked.quiet_s + 5 > base.length_s.lo)
    throw Unusable("--quiet: from 2 s to 5 s less than the day's length");
  base.expect = {};
  if (asked.operations) base.use_until_end_share = {1, 1};
  return base;
}

int Faults(const Asked& asked) {
  FaultHunt hunt;
  hunt.base = FaultBase(asked);
  std::tie(hunt.first_seed, hunt.last_seed) = ReadSeeds(asked.seeds);
  hunt.wish = {asked.by_kind ? 1 : asked.events, asked.quiet_s, asked.real, asked.kind, asked.operations};
  std::vector<std::string> kinds = PlanKinds(asked.real);
  if (!asked.kind.empty() && std::find(kinds.begin(), kinds.end(), asked.kind) == kinds.end()) {
    std::string all;
    for (const std::string& kind : kinds) all += (all.empty() ? "" : ", ") + kind;
    throw Unusable("--kind " + asked.kind + ": has to be one of " + all);
  }
  if (!asked.kind.empty()) kinds = {asked.kind};
  hunt.jobs = std::clamp(asked.jobs, 1, 64);
  hunt.recover_s = asked.recover_s;
  hunt.folder = asked.folder;
  if (!hunt.folder.empty()) std::filesystem::create_directories(hunt.folder);
  if (asked.real) {
    hunt.lab = BesideLab("lemonchute-lab");
    hunt.gateway = asked.gateway.empty() ? BesideLab("lemonchute") : asked.gateway;
    hunt.system_faults = asked.system_faults;
  }
  hunt.progress = ProgressLine();
  if (!asked.plans.empty()) {
    std::filesystem::create_directories(asked.plans);
    for (uint64_t seed = hunt.first_seed; seed <= hunt.last_seed; ++seed) {
      Scenario plan = hunt.base;
      plan.events = DrawPlan(hunt.base, seed, hunt.wish);
      WriteFile(asked.plans + "/" + plan.name + "-" + std::to_string(seed) + ".toml", WriteScenario(plan));
    }
    return kAsExpected;
  }
  std::vector<json> all;
  for (const std::string& kind : asked.by_kind ? kinds : std::vector<std::string>{asked.kind}) {
    hunt.wish.kind = kind;
    std::vector<json> found = Hunt(hunt);
    std::move(found.begin(), found.end(), std::back_inserter(all));
  }
  if (!asked.report.empty()) {
    std::vector<json> reports;
    for (const json& one : all) reports.push_back(one["report"]);
    WriteFile(asked.report, HtmlReport(reports));
  }
  if (asked.as_json) {
    for (const json& one : all) std::printf("%s\n", one.dump().c_str());
  } else {
    std::fputs(FaultTable(all, asked.by_kind).c_str(), stdout);
    if (!asked.report.empty()) std::printf("report: %s\n", asked.report.c_str());
  }
  bool none = std::all_of(all.begin(), all.end(), [](const json& one) { return one["failed"] == ""; });
  return none ? kAsExpected : kNotAsExpected;
}

int Worst(const Asked& asked) {
  Scenario scenario = ReadScenarios(asked)[0];
  OrderWish wish;
  wish.seed = ReadSeeds(asked.seeds).first;
  wish.plays = asked.plays, wish.jobs = std::clamp(asked.jobs, 1, 256);
  wish.progress = ProgressLine();
  WorstOrder found;
  try {
    found = FindWorstOrder(scenario, wish);
  } catch (const std::invalid_argument& none) {
    throw Unusable(asked.scenarios[0] + ": " + none.what());
  }
  if (asked.as_json) {
    json all = {{"up", found.up.lost},       {"down", found.down.lost},    {"drawn", found.drawn},
                {"worst", found.worst.lost}, {"order", found.worst.order}, {"plays", found.plays}};
    std::printf("%s\n", all.dump().c_str());
  } else {
    std::printf("lost to troubles, in %d plays: up %.4f, down %.4f, drawn %.4f (median), worst %.4f\n",
                found.plays, found.up.lost, found.down.lost, Median(found.drawn), found.worst.lost);
  }
  if (!asked.folder.empty()) WriteFile(asked.folder, WriteScenario(found.scenario));
  return kAsExpected;
}

int Report(const Asked& asked) {
  std::vector<json> reports;
  std::istringstream lines(ReadFile(asked.scenarios[0]));
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty()) continue;
    json report = json::parse(line, nullptr, false);
    // As much as the page needs of a report; the rest of it is optional there.
    bool whole = report.is_object() && report.contains("scenario") && report.contains("marks") &&
                 report.contains("prices") && report.contains("losses") && report.contains("latency_ms") &&
                 report.contains("series");
    if (!whole)
      throw Unusable(asked.scenarios[0] + ":" + std::to_string(number) + ": is not a line of `run --json`");
    reports.push_back(std::move(report));
  }
  if (reports.empty()) throw Unusable(asked.scenarios[0] + " holds no report");
  WriteFile(asked.output, HtmlReport(reports));
  std::printf("report: %s\n", asked.output.c_str());
  return kAsExpected;
}

// A small site with steady load, until Ctrl-C or until its time is over.
int Up(Asked asked) {
  if (asked.for_s < 5 || asked.for_s > 3600) throw Unusable("--for: from 5 to 3600 seconds");
  asked.settings.push_back("day.length_s=" + std::to_string(asked.for_s));
  asked.settings.push_back("day.settle_s=1");
  Batch batch = MakeBatch(asked);
  for (Scenario& scenario : batch.scenarios) scenario.expect = {};  // it ends when it is told to
  batch.way = Way::kReal;
  batch.progress = {};
  batch.real.visitors = true;
  bool first = true, live = isatty(1) != 0;
  batch.real.watch = [&](const json& now) {
    if (first) {
      const std::string admin_client = now["doors"][0], gateway = now["listens"][0],
                        backend = now["names"][0];
      std::printf(
          "The site is up: %zu gateways, %zu backends, for %d s at most. Ctrl-C ends it. To try from another "
          "terminal:\n\n",
          now["doors"].size(), now["names"].size(), asked.for_s);
      std::printf(
          "  curl -i -H 'Request-Id: 00000000000000aa' -H 'X-Tier: %s' -H 'Cookie: client=00000000000000aa' "
          "\\\n       -H 'Request-Timeout-Ms: 1000' -H 'X-Call-Terms: units=1,spread=2,first=0' "
          "http://%s/%s\n",
          now["plan"].get<std::string>().c_str(), gateway.c_str(), now["class"].get<std::string>().c_str());
      std::printf("  curl http://%s/control/counters\n  curl http://%s/control/config\n",
                  admin_client.c_str(), admin_client.c_str());
      std::printf("  curl -X PUT http://%s/control/backends/%s/offline     # and online\n\n",
                  admin_client.c_str(), backend.c_str());
    }
    std::string table = LiveTable(now);
    if (live && !first) std::fputs("\x1b[2A\x1b[J", stdout);  // over the last two lines
    std::fputs(live || first ? table.c_str() : (table.substr(table.find('\n') + 1)).c_str(), stdout);
    std::fflush(stdout);
    first = false;
  };
  std::vector<json> reports = Play(batch);
  std::printf("\n%s", DayTable(reports).c_str());
  return reports[0]["broken"] == 0 ? kAsExpected : kNotAsExpected;
}

}  // namespace

int main(int argc, char** argv) {
  EndWithParent();
  CLI::App app{
      "lemonchute-lab: an emulator of the site, round the gateway's decision module or the gateway itself"};
  app.require_subcommand(1);
  Asked asked;
  auto scenarios = [&](CLI::App* to) {
    to->add_option("scenario", asked.scenarios, "scenario files (TOML)")->required();
  };
  auto days = [&](CLI::App* to) {
    to->add_option("--seeds", asked.seeds, "one seed, or FROM..TO")->capture_default_str();
    to->add_option("--set", asked.settings, "KEY=VALUE or KEY=[FROM,TO] in place of the scenario's")
        ->take_all();
    to->add_flag("--json", asked.as_json, "results alone, as JSON lines");
  };
  auto ways = [&](CLI::App* to) {
    to->add_flag("--real", asked.real, "on real sockets, round gateway processes; else in virtual time");
    to->add_flag("--null", asked.null_run, "on real sockets without a gateway: what the lab itself costs");
    to->add_option("--gateway", asked.gateway, "the gateway program; else the one beside this program");
    to->add_flag("--system-faults", asked.system_faults,
                 "on real sockets: gateways' system calls fail too, and the wall clock is stepped");
    to->add_option("--logs", asked.logs, "keep logs and configurations in this folder");
    to->add_option("--jobs", asked.jobs, "threads in virtual time")->capture_default_str();
    to->add_option("--report", asked.report, "write a page with plots there too");
  };
  CLI::App* run = app.add_subcommand("run", "play scenarios");
  scenarios(run), days(run), ways(run);
  run->add_flag("--history", asked.with_history,
                "requests go into the fleet's history too, and it is judged");
  run->add_option("--history-file", asked.history,
                  "write the last day's history there, a line of JSON a fact");
  CLI::App* faults = app.add_subcommand(
      "faults", "drawn fault plans: rules, recovery, and what is left of a plan that fails");
  faults->add_option("scenario", asked.scenarios, "the day on which plans are laid; else the shipped one")
      ->expected(0, 1);
  days(faults);
  faults->add_option("--gateways", asked.gateways, "of the fleet; else the scenario's");
  faults->add_option("--events", asked.events, "of a plan")->capture_default_str();
  faults->add_option("--quiet", asked.quiet_s, "seconds at the end in which nothing is wrong")
      ->capture_default_str();
  faults->add_option("--kind", asked.kind, "this kind alone");
  faults->add_flag("--operations", asked.operations,
                   "restarts (SIGTERM, SIGKILL at its earliest) and series of SIGHUP too; clients use the "
                   "connections that stay open");
  faults->add_flag("--by-kind", asked.by_kind, "every kind by itself: what service costs");
  faults->add_option("--recover", asked.recover_s,
                     "fails too where service is not back after so many seconds");
  faults->add_option("--plans", asked.plans, "write the plans there as scenarios, and play nothing");
  faults->add_option("--out", asked.folder, "shrink what fails, and write it there as scenarios");
  ways(faults);
  CLI::App* worst = app.add_subcommand(
      "worst", "the order of return after a scenario's power-loss that costs the most, in virtual time");
  worst->add_option("scenario", asked.scenarios, "a scenario with a power-loss")->required()->expected(1);
  days(worst);
  worst->add_option("--plays", asked.plays, "at most")->check(CLI::Range(16, 100000))->capture_default_str();
  worst->add_option("--jobs", asked.jobs, "threads")->capture_default_str();
  worst->add_option("--out", asked.folder, "write the scenario with that order there");
  CLI::App* compare = app.add_subcommand(
      "compare", "two builds on the same days, in turn; differences with their 95% interval");
  compare->add_option("--builds", asked.builds, "two folders with builds, A and B")->required()->expected(2);
  compare->add_flag("--real", asked.real,
                    "the gateways of both, on real sockets; else their modules in virtual time");
  scenarios(compare), days(compare);
  CLI::App* sweep = app.add_subcommand("sweep", "one key at several values");
  sweep->add_option("--key", asked.sweep, "KEY=VALUE,VALUE,...")->required();
  scenarios(sweep), days(sweep), ways(sweep);
  CLI::App* report = app.add_subcommand("report", "a page with plots from the lines of run --json");
  report->add_option("results", asked.scenarios, "a file of such lines")->required()->expected(1);
  report->add_option("-o,--output", asked.output, "the page")->capture_default_str();
  CLI::App* up = app.add_subcommand("up", "a small site with steady load, and what to try on it");
  scenarios(up);
  up->add_option("--for", asked.for_s, "seconds until it ends by itself")->capture_default_str();
  up->add_option("--seeds", asked.seeds, "the day's seed")->capture_default_str();
  up->add_option("--set", asked.settings, "KEY=VALUE")->take_all();
  up->add_option("--gateway", asked.gateway, "the gateway program");
  up->add_option("--logs", asked.logs, "keep logs there");
  CLI::App* check = app.add_subcommand("check", "only say what is wrong with scenarios");
  scenarios(check);
  CLI::App* keys = app.add_subcommand("keys", "every key of a scenario, with unit, default and range");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kAsExpected : kUsage;
  }
  try {
    if (run->parsed()) return Run(asked);
    if (faults->parsed()) return Faults(asked);
    if (worst->parsed()) return Worst(asked);
    if (compare->parsed()) return DoCompare(asked);
    if (sweep->parsed()) return Sweep(asked);
    if (report->parsed()) return Report(asked);
    if (up->parsed()) return Up(asked);
    if (check->parsed()) return ReadScenarios(asked), kAsExpected;
    if (keys->parsed()) std::fputs(KeyTable().c_str(), stdout);
    return kAsExpected;
  } catch (const Unusable& error) {
    std::fprintf(stderr, "%s%s", error.what(), std::string(error.what()).back() == '\n' ? "" : "\n");
    return kUsage;
  } catch (const CannotPlay& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCannot;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "this should not happen: %s\n", error.what());
    return kCannot;
  }
}
