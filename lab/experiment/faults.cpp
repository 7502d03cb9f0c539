// Plans are drawn from one table of kinds; a new kind is a line there.
#include "experiment/faults.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <thread>

#include "experiment/compare.h"
#include "experiment/runner.h"
#include "model/random.h"

namespace lemonchute::lab {
namespace {

enum class At { kGateways, kBackends, kPaths, kZone, kSite };

// Weights: paths and processes between gateways and others are what plans are for, so they come most often;
// the site's own troubles keep the fleet busy meanwhile. Figures go from barely seen to as bad as PROTOCOL
// has it.
struct Kind {
  const char* kind;
  double weight;
  At at;
  Range for_s, size;
  double most_part;  // of the fleet
  bool real = false;
  const char* to = "";
};
constexpr Kind kKinds[] = {
    {"path-cut", 4, At::kPaths, {0.5, 6}, {1, 1}, 0.5, false, "gateways"},
    {"path-cut", 3, At::kPaths, {0.5, 6}, {1, 1}, 0.5, false, "counter"},
    {"path-cut", 3, At::kPaths, {0.5, 6}, {1, 1}, 0.5, false, "backends"},
    {"path-cut", 2, At::kPaths, {0.5, 6}, {1, 1}, 0.5, false, "discovery"},
    {"path-black-hole", 2, At::kPaths, {0.5, 4}, {1, 1}, 0.3, false, "backends"},
    {"path-black-hole", 1, At::kPaths, {0.5, 4}, {1, 1}, 0.3, false, "counter"},
    {"path-reset", 2, At::kPaths, {0.2, 3}, {1, 1}, 0.3, false, "backends"},
    {"path-reset", 1, At::kPaths, {0.2, 3}, {1, 1}, 0.3, false, "counter"},
    {"path-trickle", 1, At::kPaths, {0.5, 4}, {500, 20000}, 0.3, false, "backends"},
    {"path-delay", 2, At::kPaths, {1, 6}, {2, 100}, 0.5, false, "counter"},
    {"path-delay", 2, At::kPaths, {1, 6}, {2, 100}, 0.5, false, "backends"},
    {"path-delay", 1, At::kPaths, {1, 6}, {2, 200}, 1, false, "gateways"},
    {"path-loss", 1, At::kPaths, {1, 6}, {0.02, 0.5}, 1, false, "gateways"},
    {"path-loss", 1, At::kPaths, {1, 6}, {0.01, 0.1}, 0.5, false, "backends"},
    {"path-duplicate", 1, At::kPaths, {1, 6}, {0.05, 0.5}, 1, false, "gateways"},
    {"path-reorder", 1, At::kPaths, {1, 6}, {0.05, 0.5}, 1, false, "gateways"},
    {"kill", 4, At::kGateways, {0, 0}, {1, 1}, 0.7},
    {"power-loss", 2, At::kGateways, {0, 4}, {0.1, 1}, 1},
    {"stop", 3, At::kGateways, {0.3, 3}, {1, 1}, 0.4},
    {"starve", 2, At::kGateways, {1, 5}, {0.5, 0.9}, 0.5},
    {"upgrade", 1, At::kGateways, {0, 0}, {1, 1}, 0.2, true},
    {"spoil", 1, At::kGateways, {0, 0}, {1, 1}, 0.5, true},
    {"claim", 1, At::kGateways, {1, 4}, {0, 0}, 0.1, true},
    {"replace", 1, At::kBackends, {1, 4}, {1, 1}, 0.4},
    {"crash", 2, At::kBackends, {1, 4}, {1, 1}, 0.3},
    {"silent", 1, At::kBackends, {1, 5}, {1, 1}, 0.2},
    {"slow", 1, At::kBackends, {2, 6}, {1.5, 6}, 0.2},
    {"fail", 1, At::kBackends, {2, 6}, {0.2, 1}, 0.15},
    {"zone-cut", 1, At::kZone, {1, 6}, {1, 1}, 1},
    {"counter-down", 1, At::kSite, {1, 6}, {1, 1}, 1},
    {"counter-loses", 1, At::kSite, {1, 6}, {0.05, 0.5}, 1},
    {"discovery-silent", 1, At::kSite, {1, 6}, {1, 1}, 1},
    {"discovery-refuses", 1, At::kSite, {1, 6}, {1, 1}, 1},
};
// What operators do, for hunts that ask for it. They take as much of a plan as half of the faults.
constexpr Kind kOperations[] = {
    {"restart", 20, At::kGateways, {0, 0}, {1, 1}, 0.3, true},
    {"retune", 10, At::kSite, {0, 0}, {0.9, 1.1}, 1, true},
};
constexpr double kKilledS = 3.7;  // SIGKILL follows SIGTERM after the longest deadline and 0.7 s
constexpr int kReloadsInARow = 4;
constexpr Range kBetweenReloadsS = {0.02, 0.4};
constexpr double kReplacedS = 4.5;  // a replaced backend is gone so long after its replacement has started
constexpr double kFirstFaultS = 3;  // by then all gateways serve
constexpr const char* kSpoils[] = {"cut",  "flip",       "older",     "other",
                                   "gone", "unreadable", "read-only", "no-room"};

// What is written into plans keeps three digits, so that a file reads back as the same plan.
double Rounded(double value) { return std::round(value * 1000) / 1000; }

std::string NameOf(const Kind& kind) {
  return kind.to[0] == 0 ? kind.kind : std::string(kind.kind) + ":" + kind.to;
}

class Plan {
 public:
  Plan(const Scenario& base, uint64_t seed, const PlanWish& wish)
      : base_(base), wish_(wish), random_(seed, Stream::kFaults, 1) {}

  std::vector<EventConfig> Draw() {
    double weights = 0;
    std::vector<const Kind*> kinds;
    for (const Kind& kind : kKinds) {
      if ((kind.real && !wish_.real) || (!wish_.kind.empty() && wish_.kind != NameOf(kind))) continue;
      kinds.push_back(&kind);
      weights += kind.weight;
    }
    for (const Kind& kind : kOperations) {
      if (!wish_.operations || (!wish_.kind.empty() && wish_.kind != NameOf(kind))) continue;
      kinds.push_back(&kind);
      weights += kind.weight;
    }
    while (!kinds.empty() && static_cast<int>(events_.size()) < wish_.events) {
      double at = random_.Uniform(0, weights);
      size_t i = 0;
      while (i + 1 < kinds.size() && at >= kinds[i]->weight) at -= kinds[i++]->weight;
      Add(*kinds[i]);
    }
    std::stable_sort(events_.begin(), events_.end(),
                     [](const EventConfig& a, const EventConfig& b) { return a.at_s.lo < b.at_s.lo; });
    return std::move(events_);
  }

 private:
  Range Point(double value) { return {Rounded(value), Rounded(value)}; }

  std::vector<int> Some(int of, double most_part) {
    std::vector<int> all(static_cast<size_t>(of));
    for (int i = 0; i < of; ++i) all[static_cast<size_t>(i)] = i;
    random_.Shuffle(&all);
    all.resize(static_cast<size_t>(
        std::max(1, random_.UniformInt(std::max(1, static_cast<int>(most_part * of))) + 1)));
    std::sort(all.begin(), all.end());
    return all;
  }

  void Add(const Kind& kind) {
    double last = base_.length_s.lo - wish_.quiet_s;
    EventConfig e;
    e.kind = kind.kind;
    double length = random_.Uniform(kind.for_s.lo, kind.for_s.hi), down = random_.Uniform(0.2, 2);
    double tail = e.kind == "replace" ? kReplacedS : e.kind == "restart" ? kKilledS + down : down;
    double at = random_.Uniform(kFirstFaultS, std::max(kFirstFaultS, last - length - tail));
    e.at_s = Point(at), e.for_s = Point(std::min(length, std::max(0.0, last - at)));
    e.size = Point(random_.Uniform(kind.size.lo, kind.size.hi));
    auto gateways = static_cast<int>(base_.gateways.lo), backends = static_cast<int>(base_.backends.lo);
    switch (kind.at) {
      case At::kGateways: e.targets = Some(gateways, kind.most_part); break;
      case At::kBackends: e.targets = Some(backends, kind.most_part); break;
      case At::kZone: e.targets = {random_.UniformInt(static_cast<int>(base_.zones.lo))}; break;
      case At::kPaths: {
        e.to = kind.to;
        e.targets = Some(gateways, kind.most_part);
        bool peers = e.to == "gateways";
        if (peers || (e.to == "backends" && random_.Chance(0.5)))
          e.others = Some(peers ? gateways : backends, 1);
        double way = random_.Uniform(0, 1);  // lopsided as often as not
        e.way = way < 0.5 ? "both" : way < 0.75 ? "out" : "in";
        break;
      }
      case At::kSite: break;
    }
    if (e.kind == "kill" || e.kind == "power-loss" || e.kind == "restart") e.down_s = Point(down);
    if (e.kind == "retune") {
      for (int i = 1; i < kReloadsInARow; ++i) {
        EventConfig again = e;
        at = std::min(last, at + random_.Uniform(kBetweenReloadsS.lo, kBetweenReloadsS.hi));
        again.at_s = Point(at), again.size = Point(random_.Uniform(kind.size.lo, kind.size.hi));
        events_.push_back(again);
      }
    }
    if (e.kind == "power-loss") e.order = random_.Chance(0.5) ? "up" : "down";
    if (e.kind == "claim") e.size = Point(random_.UniformInt(gateways));
    if (e.kind == "spoil") {
      // Between a death and the start after it.
      e.what = kSpoils[random_.UniformInt(static_cast<int>(std::size(kSpoils)))];
      EventConfig death = e;
      death.kind = "kill", death.what.clear(), death.down_s = Point(down);
      e.at_s = Point(at + down / 2);
      events_.push_back(death);
    }
    events_.push_back(e);
  }

  const Scenario& base_;
  const PlanWish& wish_;
  Random random_;
  std::vector<EventConfig> events_;
};

nlohmann::json PlayOne(const FaultHunt& hunt, const Scenario& scenario, uint64_t seed,
                       const std::string& name) {
  Batch batch;
  batch.scenarios = {scenario};
  batch.first_seed = batch.last_seed = seed;
  if (hunt.lab.empty()) {
    batch.with_history = true;
    return Play(batch)[0];
  }
  auto file = std::filesystem::temp_directory_path() / ("lemonchute-" + name + ".toml");
  std::ofstream(file) << WriteScenario(scenario);
  std::vector<std::string> arguments = {"run",     file.string(),       "--real", "--json", "--history",
                                        "--seeds", std::to_string(seed)};
  if (hunt.system_faults) arguments.push_back("--system-faults");
  if (!hunt.gateway.empty()) arguments.insert(arguments.end(), {"--gateway", hunt.gateway});
  std::string text = Capture(hunt.lab, arguments);
  std::filesystem::remove(file);
  return nlohmann::json::parse(text);
}

// Why the play failed: the first rule broken, or that service did not come back; empty: it did not fail.
std::string Failure(const FaultHunt& hunt, const nlohmann::json& report) {
  if (report.value("stopped", false)) return "stopped";
  if (report.contains("breaches")) return report["breaches"][0]["rule"];
  if (hunt.recover_s <= 0 || !report.contains("troubles")) return "";
  for (const nlohmann::json& trouble : report["troubles"]) {
    double took = trouble.value("recover_s", 0.0);
    if (took < 0 || took > hunt.recover_s) return "service returns";
  }
  return "";
}

nlohmann::json HuntOne(const FaultHunt& hunt, uint64_t seed) {
  Scenario scenario = hunt.base;
  scenario.events = DrawPlan(hunt.base, seed, hunt.wish);
  std::string name = scenario.name + "-" + std::to_string(seed) + "-" + std::to_string(getpid());
  nlohmann::json one = {{"seed", seed}, {"events", nlohmann::json::array()}};
  for (const EventConfig& e : scenario.events)
    one["events"].push_back(e.to.empty() ? e.kind : e.kind + ":" + e.to);
  one["report"] = PlayOne(hunt, scenario, seed, name);
  std::string why = Failure(hunt, one["report"]);
  one["failed"] = why;
  if (why.empty() || why == "stopped" || hunt.folder.empty()) return one;
  Shrunk least = Shrink(scenario, [&](const Scenario& smaller) {
    return Failure(hunt, PlayOne(hunt, smaller, seed, name)) == why;
  });
  one["left"] = least.scenario.events.size(), one["plays"] = least.plays;
  least.scenario.about = "seed " + std::to_string(seed) + ", shrunk from " +
                         std::to_string(scenario.events.size()) + " events: fails by " + why;
  std::string file = hunt.folder + "/" + scenario.name + "-" + std::to_string(seed) + ".toml";
  std::ofstream out(file);
  out << WriteScenario(least.scenario);
  if (!out.flush()) throw CannotPlay("cannot write " + file);
  one["file"] = file;
  return one;
}

}  // namespace

std::vector<std::string> PlanKinds(bool real) {
  std::vector<std::string> names;
  for (const Kind& kind : kKinds) {
    if (real || !kind.real) names.push_back(NameOf(kind));
  }
  return names;
}

std::vector<EventConfig> DrawPlan(const Scenario& base, uint64_t seed, const PlanWish& wish) {
  return Plan(base, seed, wish).Draw();
}

Shrunk Shrink(Scenario failing, const std::function<bool(const Scenario&)>& fails) {
  Shrunk least{std::move(failing), 0};
  size_t parts = 2;
  while (least.scenario.events.size() >= 2) {
    std::vector<EventConfig>& all = least.scenario.events;
    parts = std::min(parts, all.size());
    bool smaller = false;
    for (size_t part = 0; part < parts && !smaller; ++part) {
      // Without one part of them.
      Scenario tried = least.scenario;
      size_t from = part * all.size() / parts, to = (part + 1) * all.size() / parts;
      tried.events.erase(tried.events.begin() + static_cast<std::ptrdiff_t>(from),
                         tried.events.begin() + static_cast<std::ptrdiff_t>(to));
      ++least.plays;
      if (!fails(tried)) continue;
      least.scenario = std::move(tried);
      parts = std::max<size_t>(2, parts - 1);
      smaller = true;
    }
    if (smaller) continue;
    if (parts == all.size()) break;
    parts *= 2;
  }
  return least;
}

std::vector<nlohmann::json> Hunt(const FaultHunt& hunt) {
  auto count = static_cast<size_t>(hunt.last_seed - hunt.first_seed + 1);
  std::vector<nlohmann::json> found(count);
  std::atomic<size_t> next{0}, finished{0};
  std::mutex mutex;
  std::exception_ptr failure;
  auto work = [&] {
    for (size_t i = next++; i < count; i = next++) {
      try {
        found[i] = HuntOne(hunt, hunt.first_seed + i);
      } catch (...) {
        std::lock_guard lock(mutex);
        failure = std::current_exception();
        next = count;
      }
      ++finished;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, hunt.jobs); ++i) threads.emplace_back(work);
  while (finished < count && next < count + threads.size()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    if (hunt.progress) hunt.progress(static_cast<double>(finished) / static_cast<double>(count));
  }
  for (std::thread& thread : threads) thread.join();
  if (failure) std::rethrow_exception(failure);
  if (hunt.progress) hunt.progress(1);
  return found;
}

}  // namespace lemonchute::lab
