/// Compares a candidate configuration with the running one: what changes, and when each change takes effect.
/// No I/O.
#ifndef LEMONCHUTE_CONFIG_CHANGES_H_
#define LEMONCHUTE_CONFIG_CHANGES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lemonchute::config {

/// When a change takes effect.
enum class Activation {
  kImmediate,    ///< At the commit, also for requests in flight.
  kNewRequests,  ///< For requests after the commit; requests in flight keep their settings.
  kRestart,      ///< At the next start.
};
/// As the admin API writes it: "live", "live for new requests", "needs a restart".
const char* ToString(Activation activation);

/// One difference between two documents.
struct Change {
  std::string path;  ///< JSON Pointer into the candidate, or into the running document for a removed value.
  Activation activation = Activation::kImmediate;
  std::string kind;  ///< "added", "removed" or "changed".
  bool operator==(const Change&) const = default;
};

/// Beyond this number only changes that need a restart are listed.
inline constexpr size_t kMaxListedChanges = 256;

/// Lists all differences. Lists of named objects, such as classes and plans, are compared by name and not by
/// position. Process-local keys (IsProcessLocalKey) are ignored, except `ops`, which needs a restart.
std::vector<Change> FindChanges(const nlohmann::json& running, const nlohmann::json& candidate);

/// Returns the candidate as far as it can be applied now: values that need a restart are those of `running`.
nlohmann::json WithoutRestartChanges(const nlohmann::json& running, nlohmann::json candidate);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_CHANGES_H_
