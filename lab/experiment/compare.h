// Owns the comparison of two builds: the same days by both, in turn, and paired differences with their
// interval.
#ifndef LEMONCHUTE_LAB_EXPERIMENT_COMPARE_H_
#define LEMONCHUTE_LAB_EXPERIMENT_COMPARE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lemonchute::lab {

// Runs a program with arguments and gives what it wrote to standard output; its standard error goes to ours.
// Throws CannotPlay where it can't be started, and where it ends in another way than with 0 or 1.
std::string Capture(const std::string& program, const std::vector<std::string>& arguments);

// Of a program that Capture() started: it is told to end when its parent ends. Nothing in any other.
void EndWithParent();

struct Builds {
  std::string a, b;                    // folders of two builds
  std::vector<std::string> scenarios;  // files
  std::vector<std::string> settings;   // KEY=VALUE
  uint64_t first_seed = 1, last_seed = 1;
  bool real =
      false;  // both gateways under this lab; else each build's own lab with its module, in virtual time
  std::string lab;  // the program that plays real days
  std::function<void(double)> progress;
};
// {"scenarios": [{"scenario", "days": [...], "figures": {"g": {"a", "b", "difference", "low", "high",
// "tells"}}}]}; differences are B less A.
nlohmann::json Compare(const Builds& builds);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_EXPERIMENT_COMPARE_H_
