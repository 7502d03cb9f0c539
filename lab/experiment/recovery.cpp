// Seconds in which nothing is served without troubles either ask for nothing.
#include "experiment/recovery.h"

#include <algorithm>
#include <cmath>

namespace lemonchute::lab {
namespace {

constexpr double kBack = 0.95;  // of the service without troubles

std::vector<double> Served(const nlohmann::json& report) {
  std::vector<double> served;
  if (report.contains("series") && report["series"].contains("served"))
    report["series"]["served"].get_to(served);
  return served;
}

}  // namespace

RunSpec WithoutTroubles(const RunSpec& day) {
  RunSpec quiet = day;
  std::erase_if(quiet.site_events, [](const SiteEvent& incident) {
    return incident.kind != SiteEventKind::kScaleQuotas && incident.kind != SiteEventKind::kScrapeMetrics &&
           incident.kind != SiteEventKind::kMisbehavingPeers;
  });
  return quiet;
}

void Recover(const nlohmann::json& without, nlohmann::json* report) {
  std::vector<double> usual = Served(without), now = Served(*report);
  size_t seconds = std::min({usual.size(), now.size(), static_cast<size_t>(report->value("length_s", 0.0))});
  double all = 0, served = 0;
  for (size_t i = 0; i < seconds; ++i) all += usual[i], served += now[i];
  if (all > 0) (*report)["lost_to_troubles"] = std::round(1e6 * (1 - served / all)) / 1e6;
  if (!report->contains("troubles")) return;
  for (nlohmann::json& trouble : (*report)["troubles"]) {
    auto end = static_cast<size_t>(std::ceil(trouble["to_s"].get<double>()));
    if (end + 1 >= seconds) continue;
    trouble["recover_s"] = -1;
    for (size_t i = end; i + 1 < seconds; ++i) {
      if (now[i] + now[i + 1] < kBack * (usual[i] + usual[i + 1])) continue;
      trouble["recover_s"] = static_cast<int>(i - end);
      break;
    }
  }
}

}  // namespace lemonchute::lab
