// Owns a day: all that is drawn from a scenario and a seed before anything happens. The same scenario and
// seed give the same day, whoever plays it.
#ifndef LEMONCHUTE_LAB_MODEL_DAY_H_
#define LEMONCHUTE_LAB_MODEL_DAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/random.h"
#include "model/scenario.h"

namespace lemonchute::lab {

// Time of a day in whole microseconds from its start.
using Micros = int64_t;
inline constexpr Micros kNever = INT64_MAX;
inline constexpr Micros kSecond = 1'000'000;
// A starved process runs its share of each slice: ten of a scheduler's ordinary 5 ms.
inline constexpr Micros kSliceOfTime = 50'000;
inline Micros FromS(double seconds) { return static_cast<Micros>(std::llround(seconds * 1e6)); }
inline double ToS(Micros at) { return static_cast<double>(at) * 1e-6; }

struct DayClass {
  std::string name;
  double share = 0, work_s = 0, work_cv = 0, aim_s = 0, deadline_s = 0, worth = 0;
};

struct DayPlan {
  std::string name;
  double rate = 0, burst = 0, price = 0, over_cost = 0, over_worth = 0;
  double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;  // units; a rate of 0: no ceiling
  int open = 0;                                                   // 0: no cap on attempts out at once
  double share = 0;
};

struct DayBackend {
  std::string name;
  int zone = 0, cores = 0, slots = 0, queue = 0, connections = 0;
  double speed = 0;
  Micros starts_at = 0;  // 0: runs when the day begins, warm
};

struct Customer {
  uint64_t key = 0;
  int plan = 0, first = 0, spread = 0;
};

// A client's first try; retries are drawn when they come.
struct Arrival {
  Micros at = 0;
  uint32_t customer = 0;
  int cls = 0;
  double work_s = 0, units = 0, guess = 0;
};

// The longest datagram between gateways, in bytes (PROTOCOL).
inline constexpr size_t kMostDatagram = 256;

// The far end of a gateway's path, and what befalls that path.
enum class Far { kGateways, kCounter, kDiscovery, kBackends };
enum class Ways { kBoth, kOut, kIn };  // out: from the gateway
enum class Harm { kCut, kBlackHole, kReset, kTrickle, kDelay, kLoss, kDuplicate, kReorder };
struct PathFault {
  Far far = Far::kGateways;
  Ways ways = Ways::kBoth;
  Harm harm = Harm::kCut;
  std::vector<int> gateways, others;  // by number; empty: all
  double size = 0;                    // milliseconds, a share, or bytes a second
};
// What may befall a state folder between a process's end and the next start.
enum class Spoil { kCut, kFlip, kOlder, kOther, kGone, kUnreadable, kReadOnly, kNoRoom };

// Something that happens to the site. The targets are gateways, backends, a zone or customers, as the kind
// says.
enum class Happening {
  kKill,
  kTerminate,
  kRevive,
  kStop,
  kContinue,  // gateways
  kDrainBackend,
  kLeave,
  kEnd,
  kStart,  // backends
  kFail,
  kSlow,
  kSilent,
  kCut,
  kResets,  // with a size; nought ends it
  kCounterDown,
  kCounterLoses,
  kDiscoverySilent,
  kDiscoveryRefuses,
  kRude,  // likewise
  kOffline,
  kOnline,
  kOutOfService,
  kInService,
  kRetune,
  kUpgrade,
  kScrape,   // operators
  kPath,     // a fault of Day::path_faults, named by the target, begins or ends
  kClaim,    // gateways: starts anew with the name and number of gateway `size`
  kSpoil,    // the state folders of gateways; size: which Spoil
  kSqueeze,  // gateways: run `size` of each slice of time; nought ends it
};
const char* Name(Happening what);
struct Incident {
  Micros at = 0;
  Happening what = Happening::kKill;
  std::vector<int> targets;
  double size = 0;
};
// A stretch of trouble, for the report and the time to recover.
struct Trouble {
  Micros from = 0, to = 0;
  std::string kind;
};

struct Day {
  uint64_t seed = 0;
  std::string scenario, extensions;
  Micros length = 0, end = 0;
  int gateways = 0, zones = 0, memory_mb = 0, descriptors = 0;
  std::vector<DayClass> classes;
  std::vector<DayPlan> plans;
  std::vector<int> gateway_zone;
  std::vector<DayBackend> backends;  // those that start later come after those that run at the start
  std::vector<Customer> customers;
  std::vector<Arrival> arrivals;    // by time
  std::vector<Incident> incidents;  // by time
  std::vector<PathFault> path_faults;
  std::vector<Trouble> troubles;
  // Backends.
  double crowding_loss = 0, crowding_at = 0, cold_share = 0, cold_s = 0, cold_from = 0, warm_after_s = 0;
  double tip_multiple = 0, tip_s = 0, tip_slack_s = 0, handshake_work_s = 0, handshake_trips = 0, idle_s = 0;
  double connect_timeout_s = 0, error_share = 0, mean_work_s = 0;
  bool cancel_running = false, drops_overdue = false;
  // Ways, one direction.
  double same_zone_s = 0, cross_zone_s = 0, client_s = 0, jitter = 0;
  // Clients and their front.
  int units_top = 0, retries = 0;
  double try_share = 0, backoff_s = 0, heeds_share = 0, most_retry_after_s = 0, impatient_share = 0, skew = 0;
  double use_until_end_share = 0;
  bool backoff_grows = false;
  double shift_s = 0, front_notice_s = 0, hot_share = 0;
  Micros hot_from = kNever, hot_to = kNever;
  std::vector<Micros> shifts;  // moments at which `shift_part` of the customers change
  double shift_part = 0;
  // Discovery and the counter.
  double list_notice_lo = 0, list_notice_hi = 0, start_notice_lo = 0, start_notice_hi = 0, agent_s = 0;
  int parts = 0;
  double calls_per_s = 0, call_s = 0, line_timeouts = 0, count_timeout_s = 0, lost_share = 0;
  // Between gateways: share of the datagrams that are lost on any day, and what one takes in a second.
  double peer_loss = 0, peer_in_per_s = 0, converge_s = 0;
  // Rules, prices and the goal.
  double drain_grace_s = 0, answer_grace_s = 0;
  int try_limit = 0;
  double counter_price = 0, waste_price = 0, late_price = 0, cross_zone_price = 0, handshake_price = 0,
         rude_price = 0, hidden_price = 0;
  double goal_whole = 0, goal_window = 0, goal_plan = 0;

  Micros LongestDeadline() const;  // of any class
  Micros KillAfter() const;        // from SIGTERM to SIGKILL at the soonest, as PROTOCOL has it
  bool StreamFaults() const;       // some path other than between gateways is befallen
  double Capacity() const;         // work that the backends of the start do in a second
};

Day DrawDay(const Scenario& scenario, uint64_t seed);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_DAY_H_
