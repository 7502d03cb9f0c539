// Plots have the day's seconds from left to right, shaded where a trouble lasts.
#include "report/html.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "report/timeline_chart.h"

namespace lemonchute::lab {
namespace {

using nlohmann::json;

constexpr size_t kMostDrawn = 24;
constexpr double kWidth = 560, kHeight = 150, kLeft = 46, kRight = 8, kTop = 8, kBottom = 22;

std::string Short(double value) {
  char text[32];
  std::snprintf(text, sizeof(text),
                std::abs(value) >= 100  ? "%.0f"
                : std::abs(value) >= 10 ? "%.1f"
                                        : "%.3g",
                value);
  return text;
}

struct Line {
  std::string name, colour;
  std::vector<double> values;
};

std::vector<double> Series(const json& report, const std::string& name) {
  std::vector<double> values;
  if (!report.contains("series") || !report["series"].contains(name)) return values;
  for (const json& value : report["series"][name]) values.push_back(value.get<double>());
  return values;
}

class Plot {
 public:
  Plot(std::string title, const json& report, size_t seconds)
      : title_(std::move(title)), report_(report), seconds_(std::max<size_t>(1, seconds)) {}

  void Add(Line line) { lines_.push_back(std::move(line)); }
  // `stacked`: each line on top of those before, as areas.
  std::string Draw(bool stacked) const {
    std::vector<Line> lines = lines_;
    if (stacked) {
      for (size_t i = 1; i < lines.size(); ++i) {
        for (size_t s = 0; s < lines[i].values.size() && s < lines[i - 1].values.size(); ++s)
          lines[i].values[s] += lines[i - 1].values[s];
      }
    }
    double most = 1e-9;
    for (const Line& line : lines) {
      for (double value : line.values) most = std::max(most, value);
    }
    std::ostringstream out;
    out << "<figure><figcaption>" << EscapeHtml(title_) << "</figcaption><svg viewBox=\"0 0 " << kWidth << " "
        << kHeight << "\" role=\"img\" aria-label=\"" << EscapeHtml(title_) << "\">";
    if (report_.contains("troubles")) {
      for (const json& trouble : report_["troubles"]) {
        double from = X(trouble["from_s"].get<double>()),
               to = X(std::min(trouble["to_s"].get<double>(), static_cast<double>(seconds_)));
        out << "<rect class=\"trouble\" x=\"" << from << "\" y=\"" << kTop << "\" width=\""
            << std::max(1.5, to - from) << "\" height=\"" << kHeight - kTop - kBottom << "\"><title>"
            << EscapeHtml(trouble["kind"].get<std::string>()) << "</title></rect>";
      }
    }
    for (double share : {0.0, 0.5, 1.0}) {
      double y = Y(share * most, most);
      out << "<line class=\"grid\" x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << y
          << "\" y2=\"" << y << "\"/><text x=\"" << kLeft - 5 << "\" y=\"" << y + 4
          << "\" text-anchor=\"end\">" << Short(share * most) << "</text>";
    }
    for (size_t tick = 0; tick <= 4; ++tick) {
      double s = static_cast<double>(seconds_) * static_cast<double>(tick) / 4;
      out << "<text x=\"" << X(s) << "\" y=\"" << kHeight - 6 << "\" text-anchor=\"middle\">" << Short(s)
          << " s</text>";
    }
    // The last area first, so that the ones below cover it.
    for (size_t i = lines.size(); i-- > 0;) {
      if (lines[i].values.empty()) continue;
      out << "<" << (stacked ? "polygon" : "polyline") << " fill=\"" << (stacked ? lines[i].colour : "none")
          << "\" stroke=\"" << lines[i].colour << "\" points=\"";
      for (size_t s = 0; s < lines[i].values.size(); ++s)
        out << X(static_cast<double>(s) + 0.5) << "," << Y(lines[i].values[s], most) << " ";
      if (stacked)
        out << X(static_cast<double>(lines[i].values.size()) - 0.5) << "," << Y(0, most) << " " << X(0.5)
            << "," << Y(0, most);
      out << "\"/>";
    }
    out << "</svg><div class=\"legend\">";
    for (const Line& line : lines_)
      out << "<span><i style=\"background:" << line.colour << "\"></i>" << EscapeHtml(line.name) << "</span>";
    out << "</div></figure>";
    return out.str();
  }

 private:
  double X(double s) const { return kLeft + (kWidth - kLeft - kRight) * s / static_cast<double>(seconds_); }
  static double Y(double value, double most) {
    return kHeight - kBottom - (kHeight - kTop - kBottom) * value / most;
  }

  std::string title_;
  const json& report_;
  size_t seconds_;
  std::vector<Line> lines_;
};

std::string Latency(const json& report) {
  std::ostringstream out;
  out << "<figure><figcaption>Latency of served tries, ms from the drawn moment (log scale)</figcaption><svg "
         "viewBox=\"0 0 "
      << kWidth << " " << kHeight << "\">";
  double x = kLeft;
  for (const char* name : {"p50", "p90", "p99", "p999"}) {
    double ms = report["latency_ms"].value(name, 0.0);
    double height = (kHeight - 50) * std::clamp(std::log10(std::max(1.0, ms)) / 4, 0.02, 1.0);
    out << "<rect class=\"bar\" x=\"" << x << "\" y=\"" << kHeight - kBottom - height
        << "\" width=\"70\" height=\"" << height << "\"/><text x=\"" << x + 35 << "\" y=\""
        << kHeight - kBottom - height - 5 << "\" text-anchor=\"middle\">" << Short(ms) << "</text><text x=\""
        << x + 35 << "\" y=\"" << kHeight - 6 << "\" text-anchor=\"middle\">" << name << "</text>";
    x += 120;
  }
  out << "</svg></figure>";
  return out.str();
}

std::string Pairs(const json& object) {
  std::ostringstream out;
  out << "<table class=\"pairs\">";
  for (const auto& [key, value] : object.items()) {
    out << "<tr><th>" << EscapeHtml(key) << "</th><td>"
        << (value.is_number_float() ? Short(value.get<double>())
                                    : EscapeHtml(value.is_string() ? value.get<std::string>() : value.dump()))
        << "</td></tr>";
  }
  out << "</table>";
  return out.str();
}

std::string OneDay(const json& report, size_t number) {
  std::ostringstream out;
  size_t seconds = Series(report, "offered").size();
  out << "<section id=\"day" << number << "\"><h2>" << EscapeHtml(report["scenario"].get<std::string>())
      << ", seed " << report["seed"] << " <small>" << EscapeHtml(report.value("play", "")) << ", "
      << report["gateways"] << " gateways</small></h2>" << FleetTimelineChart(report)
      << "<div class=\"plots\">";
  auto plot = [&](const char* title, std::vector<std::tuple<const char*, const char*, const char*>> lines,
                  bool stacked) {
    Plot p(title, report, seconds);
    for (auto [key, name, colour] : lines) p.Add({name, colour, Series(report, key)});
    out << p.Draw(stacked);
  };
  plot("Worth a second, by when it was asked for",
       {{"offered", "asked inside quotas", "#8a8f98"}, {"served", "served in time", "#1b7f5c"}}, false);
  plot("Refused tries by the truth",
       {{"refused_rightly_quota", "over its quota", "#8fb4d9"},
        {"refused_rightly_cap", "over its cap", "#5a8fc4"},
        {"refused_rightly_room", "no room", "#c9a227"},
        {"refused_needlessly", "needless", "#c0392b"}},
       true);
  plot("Belief beside truth: tries sent on",
       {{"admitted_inside", "inside its quota", "#1b7f5c"},
        {"admitted_beyond_rate", "beyond its rate", "#d98c5f"},
        {"admitted_beyond_cap", "beyond its cap", "#a5432a"}},
       true);
  plot("First tries, tries, attempts",
       {{"asked", "first tries", "#8a8f98"},
        {"tries", "tries", "#5a8fc4"},
        {"attempts", "attempts", "#1b7f5c"}},
       false);
  plot("Counter calls and handshakes",
       {{"calls", "calls", "#7d5ba6"}, {"handshakes", "handshakes", "#c9a227"}}, false);
  plot("Units sent on beyond quotas", {{"beyond_units", "units", "#c0392b"}}, false);
  out << Latency(report) << "</div><div class=\"tables\"><div><h3>Prices</h3>" << Pairs(report["prices"])
      << "</div><div><h3>Losses, of the worth asked</h3>" << Pairs(report["losses"])
      << "</div><div><h3>Marks</h3>" << Pairs(report["marks"]) << "</div><div><h3>Plans</h3>"
      << Pairs(report["plans"]) << "</div><div><h3>Counts</h3>" << Pairs(report["counts"]) << "</div>";
  if (report.contains("lab")) out << "<div><h3>The lab itself</h3>" << Pairs(report["lab"]) << "</div>";
  if (report.contains("beside_backend_ms"))
    out << "<div><h3>Beside the backend, ms</h3>" << Pairs(report["beside_backend_ms"]) << "</div>";
  out << "</div>";
  if (report.contains("troubles")) {
    out << "<table><tr><th>trouble</th><th>from s</th><th>to s</th><th>recovered after s</th></tr>";
    for (const json& t : report["troubles"]) {
      double took = t.value("recover_s", 0.0);
      out << "<tr><td>" << EscapeHtml(t["kind"].get<std::string>()) << "</td><td>" << Short(t["from_s"])
          << "</td><td>" << Short(t["to_s"]) << "</td><td>"
          << (!t.contains("recover_s") ? "the day ended first"
              : took < 0               ? "not by the day's end"
                                       : Short(took))
          << "</td></tr>";
    }
    out << "</table>";
  }
  if (report.contains("breaches")) {
    out << "<h3>Broken rules</h3><table><tr><th>at "
           "s</th><th>rule</th><th>request</th><th>gateways</th><th>what</th></tr>";
    for (const json& b : report["breaches"]) {
      out << "<tr><td>" << Short(b["at_s"]) << "</td><td>" << EscapeHtml(b["rule"].get<std::string>())
          << "</td><td>" << b["request"] << "</td><td>" << EscapeHtml(b["gateways"].dump()) << "</td><td>"
          << EscapeHtml(b["what"].get<std::string>()) << "</td></tr>";
    }
    out << "</table>";
  }
  out << "</section>";
  return out.str();
}

const char* const kStyle = R"(
:root{--ink:#20242a;--soft:#5c6470;--line:#dde1e6;--page:#fbfbf9}
body{font:15px/1.45 system-ui,sans-serif;color:var(--ink);background:var(--page);margin:0 auto;max-width:1240px;padding:24px}
h1{font-size:26px;margin:0 0 4px}h2{margin:40px 0 8px;border-top:1px solid var(--line);padding-top:20px}h3{font-size:14px;margin:14px 0 4px}
small,.note{color:var(--soft);font-weight:400}
table{border-collapse:collapse;font-variant-numeric:tabular-nums;margin:8px 0}td,th{padding:3px 12px 3px 0;text-align:right;border-bottom:1px solid var(--line)}
td:first-child,th:first-child{text-align:left}th{color:var(--soft);font-weight:500}.no{color:#c0392b;font-weight:600}.wide{overflow-x:auto}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(360px,1fr));gap:18px}figure{margin:0}figcaption{font-weight:600;font-size:13px}
svg{width:100%;height:auto}svg text{font-size:11px;fill:var(--soft)}.grid{stroke:var(--line)}polyline{stroke-width:1.8}polygon{stroke-width:.5;fill-opacity:.85}
.trouble{fill:#c0392b;fill-opacity:.09}.runs{fill:#1b7f5c;fill-opacity:.55}.stopped{fill:#c9a227}.fault{fill:#c0392b;fill-opacity:.5}
.breach{stroke:#c0392b;stroke-width:1.2}.whole{stroke:#20242a;stroke-dasharray:4 3}.bar{fill:#5a8fc4}.legend span{font-size:12px;color:var(--soft);margin-right:14px}.legend i{display:inline-block;width:10px;height:10px;border-radius:2px;margin-right:5px}
.tables{display:flex;flex-wrap:wrap;gap:0 36px}
)";

}  // namespace

std::string HtmlReport(const std::vector<json>& reports) {
  std::ostringstream out;
  out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
         "content=\"width=device-width\"><title>lemonchute lab</title><style>"
      << kStyle << "</style></head><body><h1>Days in the lab</h1><p class=\"note\">" << reports.size()
      << " days. Shaded stretches are troubles. Marks go by the truth that no gateway sees.</p>"
      << "<div class=\"wide\"><table><tr><th>day</th><th>G</th><th>served</th><th>worst plan</th><th>over "
         "quota</th><th>refused</th><th>needless</th><th>beyond</th><th>p99 ms</th><th>rules</th><th>as "
         "expected</th></tr>";
  for (size_t i = 0; i < reports.size(); ++i) {
    const json& r = reports[i];
    bool kept = r["broken"] == 0, held = r.value("held", true);
    double beyond =
        r["marks"]["admitted_beyond_rate"].get<double>() + r["marks"]["admitted_beyond_cap"].get<double>();
    out << "<tr><td>" << (i < kMostDrawn ? "<a href=\"#day" + std::to_string(i) + "\">" : "")
        << EscapeHtml(r["scenario"].get<std::string>()) << ", seed " << r["seed"]
        << (i < kMostDrawn ? "</a>" : "") << "</td><td>" << Short(r["g"]) << "</td><td>" << Short(r["served"])
        << "</td><td>" << Short(r["worst_plan"]) << "</td><td>" << Short(r["prices"]["over_quota"])
        << "</td><td>" << Short(r["refused_share"]) << "</td><td>" << r["marks"]["refused_needlessly"]
        << "</td><td>" << beyond << "</td><td>" << Short(r["latency_ms"]["p99"]) << "</td><td"
        << (kept ? ">kept" : " class=\"no\">broken " + r["broken"].dump()) << "</td><td"
        << (held ? ">yes" : " class=\"no\">no") << "</td></tr>";
  }
  out << "</table></div>";
  for (size_t i = 0; i < reports.size() && i < kMostDrawn; ++i) out << OneDay(reports[i], i);
  out << "</body></html>\n";
  return out.str();
}

}  // namespace lemonchute::lab
