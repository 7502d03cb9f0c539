// Compares a new configuration with the running one: what changes, and when each change takes effect. No I/O.
#ifndef LEMONCHUTE_CONFIG_CHANGES_H_
#define LEMONCHUTE_CONFIG_CHANGES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lemonchute::config {

enum class Activation {
  kImmediate,    // at the commit, for everything
  kNewRequests,  // for requests after the commit; requests in flight keep their settings
  kRestart,      // at the next start
};
// As the admin API writes it: "live", "live for new requests", "needs a restart".
const char* ToString(Activation activation);

struct Change {
  std::string path;  // JSON Pointer into the candidate, or into the running document for what was removed
  Activation activation = Activation::kImmediate;
  std::string kind;  // "added", "removed" or "changed"
  bool operator==(const Change&) const = default;
};

// Beyond so many changes only those that need a restart are listed.
inline constexpr size_t kMaxListedChanges = 256;

// Lists of named objects, such as classes and plans, are compared by name and not by position. Process-local
// keys (IsProcessLocalKey) are ignored, except `ops`, which needs a restart.
std::vector<Change> FindChanges(const nlohmann::json& running, const nlohmann::json& candidate);

// The candidate as far as it can be applied now: what needs a restart is as in `running`.
nlohmann::json WithoutRestartChanges(const nlohmann::json& running, nlohmann::json candidate);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CHANGES_H_
