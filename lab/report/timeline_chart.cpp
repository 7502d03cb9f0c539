// Lanes have the height of a line of text; curves are scaled to their own largest value.
#include "report/timeline_chart.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

namespace lemonchute::lab {
namespace {

using nlohmann::json;

constexpr double kWidth = 1160, kLeft = 250, kRight = 10, kLane = 15, kCurve = 34, kBottom = 20;
constexpr size_t kMostLanes = 120;

class Lanes {
 public:
  explicit Lanes(double seconds) : seconds_(std::max(1.0, seconds)) {}

  // A new lane; what is drawn next lies in it.
  bool Begin(const std::string& name, double height) {
    if (++lanes_ > kMostLanes) return false;
    top_ = bottom_, bottom_ += height;
    height_ = height;
    out_ << "<text x=\"" << kLeft - 6 << "\" y=\"" << top_ + height / 2 + 4 << "\" text-anchor=\"end\">"
         << EscapeHtml(name.size() > 44 ? name.substr(0, 43) + "…" : name) << "<title>" << EscapeHtml(name)
         << "</title></text>";
    return true;
  }
  void Stretch(const char* kind, double from, double to, const std::string& title) {
    out_ << "<rect class=\"" << kind << "\" x=\"" << X(from) << "\" y=\"" << top_ + 2 << "\" width=\""
         << std::max(1.0, X(to) - X(from)) << "\" height=\"" << height_ - 4 << "\"><title>"
         << EscapeHtml(title) << "</title></rect>";
  }
  // Steps: each value holds until the next.
  void Curve(const std::vector<std::pair<double, double>>& points, double most, const char* colour) {
    out_ << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
    double last = 0;
    for (auto [s, value] : points) {
      out_ << X(s) << "," << Y(last, most) << " " << X(s) << "," << Y(value, most) << " ";
      last = value;
    }
    out_ << X(seconds_) << "," << Y(last, most) << "\"/>";
  }
  void Level(double value, double most) {
    out_ << "<line class=\"whole\" x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\""
         << Y(value, most) << "\" y2=\"" << Y(value, most) << "\"/>";
  }
  void Breach(double at, const std::string& what) {
    breaches_ << "<line class=\"breach\" x1=\"" << X(at) << "\" x2=\"" << X(at)
              << "\" y1=\"0\" y2=\"HEIGHT\"><title>" << EscapeHtml(what) << "</title></line>";
  }
  std::string End() {
    std::ostringstream all;
    for (int tick = 0; tick <= 10; ++tick) {
      double s = seconds_ * tick / 10;
      out_ << "<line class=\"grid\" x1=\"" << X(s) << "\" x2=\"" << X(s) << "\" y1=\"0\" y2=\"" << bottom_
           << "\"/><text x=\"" << X(s) << "\" y=\"" << bottom_ + 14 << "\" text-anchor=\"middle\">" << s
           << " s</text>";
    }
    std::string breaches = breaches_.str(), height = std::to_string(bottom_);
    for (size_t at = 0; (at = breaches.find("HEIGHT", at)) != std::string::npos;)
      breaches.replace(at, 6, height);
    all << "<figure><figcaption>The fleet: members, faults, sums of divided budgets, worth served. Red lines "
           "are "
           "broken rules</figcaption><svg viewBox=\"0 0 "
        << kWidth << " " << bottom_ + kBottom << "\" role=\"img\">" << out_.str() << breaches
        << "</svg></figure>";
    return all.str();
  }

 private:
  double X(double s) const { return kLeft + (kWidth - kLeft - kRight) * std::clamp(s / seconds_, 0.0, 1.0); }
  double Y(double value, double most) const {
    return bottom_ - 3 - (height_ - 6) * std::clamp(value / std::max(1e-9, most), 0.0, 1.0);
  }

  double seconds_, top_ = 0, bottom_ = 0, height_ = 0;
  size_t lanes_ = 0;
  std::ostringstream out_, breaches_;
};

std::vector<std::pair<double, double>> Seconds(const json& report, const char* name) {
  std::vector<std::pair<double, double>> points;
  for (const json& value : report["series"][name]) points.emplace_back(points.size(), value.get<double>());
  return points;
}

double Most(const std::vector<std::pair<double, double>>& points) {
  double most = 0;
  for (auto [s, value] : points) most = std::max(most, value);
  return most;
}

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<': out += "&lt;"; break;
      case '>': out += "&gt;"; break;
      case '&': out += "&amp;"; break;
      case '"': out += "&quot;"; break;
      default: out += c;
    }
  }
  return out;
}

std::string FleetTimelineChart(const json& report) {
  if (!report.contains("timeline")) return "";
  const json& timeline = report["timeline"];
  Lanes lanes(report.value("until_s", 1.0));
  // By number: n2 before n10.
  std::map<std::pair<size_t, std::string>, std::vector<json>> members;
  for (const json& one : timeline["lanes"]) {
    const std::string name = one["name"];
    members[{name.size(), name}].push_back(one);
  }
  for (const auto& [name, stretches] : members) {
    if (!lanes.Begin(name.second, kLane)) break;
    for (const char* state : {"runs", "stopped"}) {
      for (const json& s : stretches) {
        if (s["state"] == state) lanes.Stretch(state, s["from_s"], s["to_s"], name.second + " " + state);
      }
    }
  }
  for (const json& fault : timeline["faults"]) {
    if (!lanes.Begin(fault["name"], kLane)) break;
    lanes.Stretch("fault", fault["from_s"], fault["to_s"], fault["name"]);
  }
  for (const auto& [name, sum] : timeline["sums"].items()) {
    if (!sum.contains("points") || !lanes.Begin("sum of " + name, kCurve)) continue;
    std::vector<std::pair<double, double>> points;
    for (const json& point : sum["points"]) points.emplace_back(point[0], point[1]);
    double whole = sum.value("whole", 0.0), most = std::max(1.1 * whole, Most(points));
    lanes.Curve(points, most, "#7d5ba6");
    lanes.Level(whole, most);
  }
  if (report.contains("series") && lanes.Begin("worth served of asked", kCurve)) {
    auto offered = Seconds(report, "offered");
    lanes.Curve(offered, Most(offered), "#8a8f98");
    lanes.Curve(Seconds(report, "served"), Most(offered), "#1b7f5c");
  }
  if (report.contains("breaches")) {
    for (const json& b : report["breaches"])
      lanes.Breach(b["at_s"], b["rule"].get<std::string>() + ": " + b["what"].get<std::string>());
  }
  return lanes.End();
}

}  // namespace lemonchute::lab
