// Owns the report as a page: one self-contained HTML file with plots as SVG, which opens without a network.
#ifndef LEMONCHUTE_LAB_REPORT_HTML_H_
#define LEMONCHUTE_LAB_REPORT_HTML_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lemonchute::lab {

// Reports as `run --json` prints them; the first 24 are drawn, all are in the table.
std::string HtmlReport(const std::vector<nlohmann::json>& reports);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_REPORT_HTML_H_
