// Columns are as wide as their widest cell; numbers to the right.
#include "cli/tables.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "experiment/statistics.h"
#include "model/scenario.h"

namespace lemonchute::lab {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

constexpr size_t kMostExplained = 20;  // days; with more, the page tells where each lost most

std::string Fixed(double value, int digits = 3) {
  if (std::isinf(value)) return value < 0 ? "-inf" : "inf";
  char text[40];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string Table(const std::vector<Row>& rows, size_t left_columns) {
  std::vector<size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      std::string pad(widths[i] - row[i].size(), ' ');
      line += i < left_columns ? row[i] + pad : pad + row[i];
      line += "  ";
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

std::string Spelled(Range range) {
  auto one = [](double value) {
    std::string text = Fixed(value, 3);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
  };
  if (range.lo == range.hi) return one(range.lo);
  std::string text("[");
  return text.append(one(range.lo)).append(", ").append(one(range.hi)).append("]");
}

double Beyond(const json& r) {
  return r["marks"]["admitted_beyond_rate"].get<double>() + r["marks"]["admitted_beyond_cap"].get<double>();
}

}  // namespace

std::string DayTable(const std::vector<json>& reports) {
  std::vector<Row> rows = {{"scenario", "seed", "G", "served", "plan", "over", "refused", "needless",
                            "beyond", "p50 ms", "p99 ms", "calls", "recover s", "rules", "held"}};
  std::map<std::string, std::vector<double>> g;
  for (const json& r : reports) {
    double recover = 0;
    if (r.contains("troubles")) {
      for (const json& t : r["troubles"]) {
        double took = t.value("recover_s", 0.0);
        recover = took < 0 || recover < 0 ? -1 : std::max(recover, took);
      }
    }
    rows.push_back({r["scenario"], r["seed"].dump(), Fixed(r["g"]), Fixed(r["served"]),
                    Fixed(r["worst_plan"]), Fixed(r["prices"]["over_quota"]), Fixed(r["refused_share"]),
                    r["marks"]["refused_needlessly"].dump(), Fixed(Beyond(r), 0),
                    Fixed(r["latency_ms"]["p50"], 1), Fixed(r["latency_ms"]["p99"], 1),
                    r["counts"]["calls"].dump(),
                    !r.contains("troubles") ? "-"
                    : recover < 0           ? "never"
                                            : Fixed(recover, 0),
                    r["rules"], r.value("held", true) ? "yes" : "NO"});
    g[r["scenario"].get<std::string>()].push_back(r["g"].get<double>());
  }
  std::string out = Table(rows, 1);
  for (const auto& [scenario, values] : g) {
    if (values.size() < 2) continue;
    auto [low, high] = std::minmax_element(values.begin(), values.end());
    out += scenario + ": G " + Fixed(Mean(values)) + " in the mean, median " + Fixed(Median(values)) +
           ", from " + Fixed(*low) + " to " + Fixed(*high) + " over " + std::to_string(values.size()) +
           " seeds\n";
  }
  for (const json& r : reports) {
    std::string day = r["scenario"].get<std::string>() + ", seed " + r["seed"].dump();
    if (r.contains("breaches")) {
      size_t shown = 0;
      for (const json& b : r["breaches"]) {
        if (++shown > 5) break;
        out += day + ": broken at " + Fixed(b["at_s"]) + " s: " + b["rule"].get<std::string>() + ": " +
               b["what"].get<std::string>() + "\n";
      }
    }
    if (r.contains("expectations")) {
      for (const json& e : r["expectations"]) {
        if (!e["held"].get<bool>())
          out += day + ": not as expected: " + e["name"].get<std::string>() + " wants " + Fixed(e["wanted"]) +
                 ", found " + Fixed(e["found"]) + "\n";
      }
    }
    std::vector<std::pair<double, std::string>> losses;
    for (const char* part : {"losses", "prices"}) {
      for (const auto& [name, share] : r[part].items()) {
        losses.push_back({share.get<double>(), std::string(part) == "prices" ? "price of " + name : name});
      }
    }
    std::sort(losses.rbegin(), losses.rend());
    if (reports.size() <= kMostExplained) {
      out += day + ": lost most by";
      for (size_t i = 0; i < 3 && i < losses.size(); ++i)
        out += (i > 0 ? "; " : " ") + losses[i].second + " " + Fixed(losses[i].first);
      out += "\n";
    }
    if (r.contains("not_played"))
      out += day + ": only real processes can play: " + r["not_played"].dump() + "\n";
    if (r.contains("lab"))
      out += day + ": the lab itself was late by " + Fixed(r["lab"]["late_p99_ms"], 2) + " ms (p99), " +
             Fixed(r["lab"]["late_worst_ms"], 2) + " ms at the worst, and used " +
             Fixed(r["lab"]["cpu_s"], 2) + " s of a processor\n";
    if (r.contains("lab") && r["lab"].value("delayed_exchanges", 0) > 0)
      out += day + ": " + r["lab"]["delayed_exchanges"].dump() +
             " requests were written or their answers read late by the lab, and are judged without its lag\n";
  }
  return out;
}

namespace {

// Seconds from the end of the last trouble until service was back; -1: never, -2: the day ended first.
double RecoveredAfter(const json& report) {
  double took = -2, latest = -1;
  if (!report.contains("troubles")) return took;
  for (const json& trouble : report["troubles"]) {
    if (trouble["to_s"] < latest) continue;
    latest = trouble["to_s"];
    took = trouble.value("recover_s", -2.0);
  }
  return took;
}

std::string FaultsByKind(const std::vector<json>& found) {
  struct Cost {
    std::vector<double> lost, recover;
    int never = 0, failed = 0, days = 0;
  };
  std::vector<std::pair<std::string, Cost>> kinds;
  for (const json& one : found) {
    const std::string kind = one["events"].back();
    if (kinds.empty() || kinds.back().first != kind) kinds.push_back({kind, {}});
    Cost& cost = kinds.back().second;
    ++cost.days;
    cost.failed += one["failed"] == "" ? 0 : 1;
    cost.lost.push_back(one["report"].value("lost_to_troubles", 0.0));
    double took = RecoveredAfter(one["report"]);
    if (took >= 0) cost.recover.push_back(took);
    cost.never += took == -1 ? 1 : 0;
  }
  std::vector<Row> rows = {
      {"fault", "days", "lost, mean", "lost, worst", "recover s, median", "never", "failed"}};
  for (const auto& [kind, cost] : kinds) {
    rows.push_back({kind, std::to_string(cost.days), Fixed(Mean(cost.lost), 4),
                    Fixed(*std::max_element(cost.lost.begin(), cost.lost.end()), 4),
                    cost.recover.empty() ? "-" : Fixed(Median(cost.recover), 0), std::to_string(cost.never),
                    std::to_string(cost.failed)});
  }
  return Table(rows, 1);
}

}  // namespace

std::string FaultTable(const std::vector<json>& found, bool by_kind) {
  if (by_kind) return FaultsByKind(found);
  std::string out;
  std::map<std::string, int> failures;
  std::vector<double> lost, recover, late;
  int never = 0;
  for (const json& one : found) {
    const json& report = one["report"];
    lost.push_back(report.value("lost_to_troubles", 0.0));
    double took = RecoveredAfter(report);
    if (took >= 0) recover.push_back(took);
    never += took == -1 ? 1 : 0;
    if (report.contains("lab")) late.push_back(report["lab"]["late_worst_ms"].get<double>());
    const std::string why = one["failed"];
    if (why.empty()) continue;
    ++failures[why];
    out += "seed " + one["seed"].dump() + ": fails by " + why;
    if (report.contains("breaches"))
      out += " at " + Fixed(report["breaches"][0]["at_s"]) +
             " s: " + report["breaches"][0]["what"].get<std::string>();
    if (one.contains("file"))
      out += "; " + std::to_string(one["events"].size()) + " events shrunk to " + one["left"].dump() +
             " in " + one["plays"].dump() + " plays: " + one["file"].get<std::string>();
    out += "\n";
  }
  out += std::to_string(found.size()) + " plans, " +
         std::to_string(found.size() -
                        [&] {
                          size_t sum = 0;
                          for (const auto& [why, count] : failures) sum += static_cast<size_t>(count);
                          return sum;
                        }()) +
         " kept every rule";
  for (const auto& [why, count] : failures) out += "; " + std::to_string(count) + " failed by " + why;
  if (!lost.empty())
    out += "\nlost to troubles: " + Fixed(Mean(lost), 4) + " in the mean, " +
           Fixed(*std::max_element(lost.begin(), lost.end()), 4) + " at the worst";
  if (!recover.empty())
    out += "\nservice back after the last trouble: median " + Fixed(Median(recover), 0) + " s, worst " +
           Fixed(*std::max_element(recover.begin(), recover.end()), 0) + " s, on " + std::to_string(never) +
           " days not by the end";
  if (!late.empty())
    out += "\nthe lab itself was late by " + Fixed(*std::max_element(late.begin(), late.end()), 1) +
           " ms at the worst";
  return out + "\n";
}

std::string CompareTable(const json& result) {
  std::vector<Row> rows = {{"scenario", "figure", "A", "B", "B - A", "95% from", "to", "a difference?"}};
  for (const json& scenario : result["scenarios"]) {
    for (const auto& [name, f] : scenario["figures"].items()) {
      auto bound = [&](const char* key) {
        return f[key].is_null() ? std::string("-") : Fixed(f[key].get<double>(), 4);
      };
      rows.push_back({scenario["scenario"], name, Fixed(f["a"], 4), Fixed(f["b"], 4),
                      Fixed(f["difference"], 4), bound("low"), bound("high"),
                      f["tells"].get<bool>() ? "yes" : "not to be told from noise"});
    }
  }
  return Table(rows, 2);
}

std::string KeyTable() {
  std::vector<Row> rows = {{"key", "default", "from", "to", "meaning"}};
  auto add = [&](const auto& figures, const auto& owner, const std::string& prefix) {
    for (const auto& figure : figures)
      rows.push_back({prefix + figure.key, Spelled(owner.*figure.member), Spelled({figure.min, figure.min}),
                      Spelled({figure.max, figure.max}), figure.description});
  };
  add(ScenarioParameters(), Scenario(), "");
  add(ClassParameters(), ClassConfig(), "[[class]] ");
  add(PlanParameters(), PlanConfig(), "[[plan]] ");
  add(EventParameters(), EventConfig(), "[[event]] ");
  std::string out = Table(rows, 5) +
                    "\n[expect] rules = \"kept\" or \"any\", g_at_least, served_at_least, recover_s_at_most, "
                    "told_at_most\n\n";
  rows = {{"[[event]] kind", "meaning"}};
  for (const EventKind& kind : EventKinds()) rows.push_back({kind.name, kind.about});
  return out + Table(rows, 2);
}

std::string LiveTable(const json& now) {
  auto last = [&](const char* name) {
    const json& series = now["series"][name];
    return series.size() < 2 ? 0.0 : series[series.size() - 2].get<double>();  // the last whole second
  };
  // What was asked for a second earlier has had its time to be served.
  auto earlier = [&](const char* name) {
    const json& series = now["series"][name];
    return series.size() < 3 ? 0.0 : series[series.size() - 3].get<double>();
  };
  double offered = earlier("offered"), served = earlier("served");
  std::vector<Row> rows = {
      {"second", "requests/s", "tries/s", "attempts/s", "calls/s", "served of asked", "needless/s",
       "beyond units/s", "p50 ms", "p99 ms", "rules"},
      {Fixed(now["until_s"], 0), Fixed(last("asked"), 0), Fixed(last("tries"), 0), Fixed(last("attempts"), 0),
       Fixed(last("calls"), 0), offered > 0 ? Fixed(100 * served / offered, 1) + "%" : "-",
       Fixed(last("refused_needlessly"), 0), Fixed(last("beyond_units"), 1),
       Fixed(now["latency_ms"]["p50"], 1), Fixed(now["latency_ms"]["p99"], 1), now["rules"]}};
  return Table(rows, 0);
}

}  // namespace lemonchute::lab
