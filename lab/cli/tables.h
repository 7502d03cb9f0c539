// Owns what the lab prints for people: tables of days, of comparisons and of keys, and the live table of
// `up`.
#ifndef LEMONCHUTE_LAB_CLI_TABLES_H_
#define LEMONCHUTE_LAB_CLI_TABLES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lemonchute::lab {

std::string DayTable(const std::vector<nlohmann::json>& reports);
// Of a hunt's results. `by_kind`: a row for each kind of fault, what it costs in the mean.
std::string FaultTable(const std::vector<nlohmann::json>& found, bool by_kind);
std::string CompareTable(const nlohmann::json& result);
std::string KeyTable();
std::string LiveTable(const nlohmann::json& now);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_CLI_TABLES_H_
