// Owns a day on real sockets: the site's model as stand-ins on loopback, round real gateway processes. Load
// is open-loop: a try counts from the moment at which it was drawn, however late the lab was in sending it.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_REAL_DAY_H_
#define LEMONCHUTE_LAB_PLAY_REAL_REAL_DAY_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "checker/history.h"
#include "model/run_spec.h"

namespace lemonchute::lab {

struct RealOptions {
  std::string program = "build/lemonchute";  // the gateway
  std::string folder;                        // for logs and configurations; empty: one that ends with the day
  // Preloaded into every gateway, with system calls that fail as DrawSystemFaults has it; empty: none.
  std::string faults_library;
  bool visitors = false;       // backends serve requests that no client of the lab sent
  bool null_run = false;       // no gateway between: what the lab itself costs
  History* history = nullptr;  // takes the fleet's history, in order
  // Once all gateways are ready, and each second then: what to show.
  std::function<void(const nlohmann::json& now)> watch;
};

// Something that keeps a day from being played, as one plain sentence.
class CannotPlay : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Plays `day`; the judge's report, with what each gateway used and how late the lab was. Ends early, with all
// its processes, on SIGINT and SIGTERM; the report then says so. At most 100 gateways.
nlohmann::json PlayReal(const RunSpec& day, const RealOptions& options);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_REAL_DAY_H_
