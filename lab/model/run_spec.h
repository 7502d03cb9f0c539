// Owns a day: all that is drawn from a scenario and a seed before anything happens. The same scenario and
// seed give the same day, whoever plays it.
#ifndef LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_
#define LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_

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
inline constexpr Micros kCpuSlice = 50'000;
inline Micros FromSeconds(double seconds) { return static_cast<Micros>(std::llround(seconds * 1e6)); }
inline double ToSeconds(Micros at) { return static_cast<double>(at) * 1e-6; }

struct ClassSpec {
  std::string name;
  double share = 0, work_s = 0, work_cv = 0, aim_s = 0, deadline_s = 0, worth = 0;
};

struct PlanSpec {
  std::string name;
  double rate = 0, burst = 0, price = 0, over_cost = 0, over_worth = 0;
  double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;  // units; a rate of 0: no ceiling
  int attempt_cap = 0;                                            // 0: no cap on attempts out at once
  double share = 0;
};

struct BackendSpec {
  std::string name;
  int zone = 0, cores = 0, slots = 0, queue = 0, connections = 0;
  double speed = 0;
  Micros starts_at = 0;  // 0: runs when the day begins, warm
};

struct Customer {
  uint64_t key = 0;
  int plan = 0, first_gateway = 0, gateway_count = 0;
};

// A client's first try; retries are drawn when they come.
struct Arrival {
  Micros at = 0;
  uint32_t customer = 0;
  int class_index = 0;
  double work_s = 0, units = 0, estimated_units = 0;
};

// The longest datagram between gateways, in bytes (PROTOCOL).
inline constexpr size_t kMaxPeerDatagramBytes = 256;

// The far end of a gateway's path, and what befalls that path.
enum class RemoteParty { kGateways, kCounter, kDiscovery, kBackends };
enum class PathDirection { kBoth, kOut, kIn };  // out: from the gateway
enum class PathFaultKind { kCut, kBlackHole, kReset, kThrottle, kDelay, kLoss, kDuplicate, kReorder };
struct PathFault {
  RemoteParty remote = RemoteParty::kGateways;
  PathDirection direction = PathDirection::kBoth;
  PathFaultKind kind = PathFaultKind::kCut;
  std::vector<int> gateways, others;  // by number; empty: all
  double size = 0;                    // milliseconds, a share, or bytes a second
};
// What may befall a state folder between a process's end and the next start.
enum class StateFolderFault {
  kTruncated,
  kBitFlipped,
  kOlderCopy,
  kOtherGateways,
  kRemoved,
  kUnreadable,
  kReadOnly,
  kDiskFull
};

// Something that happens to the site. The targets are gateways, backends, a zone or customers, as the kind
// says.
enum class SiteEventKind {
  kKillGateway,
  kTerminateGateway,
  kStartGateway,
  kPauseGateway,
  kResumeGateway,  // gateways
  kDrainBackend,
  kRemoveBackend,
  kStopBackend,
  kStartBackend,  // backends
  kBackendErrors,
  kBackendSlow,
  kBackendSilent,
  kZoneCut,
  kAttemptResets,  // with a size; nought ends it
  kCounterDown,
  kCounterLoses,
  kDiscoverySilent,
  kDiscoveryRefuses,
  kMisbehavingPeers,  // likewise
  kBackendOffline,
  kBackendOnline,
  kGatewayOutOfService,
  kGatewayInService,
  kScaleQuotas,
  kUpgradeGateway,
  kScrapeMetrics,     // operators
  kPathFault,         // a fault of RunSpec::path_faults, named by the target, begins or ends
  kClaimIdentity,     // gateways: starts anew with the name and number of gateway `size`
  kStateFolderFault,  // the state folders of gateways; size: which StateFolderFault
  kStarveGateway,     // gateways: run `size` of each slice of time; nought ends it
};
const char* Name(SiteEventKind kind);
struct SiteEvent {
  Micros at = 0;
  SiteEventKind kind = SiteEventKind::kKillGateway;
  std::vector<int> targets;
  double size = 0;
};
// A stretch of trouble, for the report and the time to recover.
struct Disturbance {
  Micros from = 0, to = 0;
  std::string kind;
};

struct RunSpec {
  uint64_t seed = 0;
  std::string scenario, extensions;
  Micros length = 0, end = 0;
  int gateways = 0, zones = 0, memory_mb = 0, descriptors = 0;
  std::vector<ClassSpec> classes;
  std::vector<PlanSpec> plans;
  std::vector<int> gateway_zone;
  std::vector<BackendSpec> backends;  // those that start later come after those that run at the start
  std::vector<Customer> customers;
  std::vector<Arrival> arrivals;       // by time
  std::vector<SiteEvent> site_events;  // by time
  std::vector<PathFault> path_faults;
  std::vector<Disturbance> disturbances;
  // Backends.
  double crowding_loss = 0, crowding_at = 0, cold_share = 0, cold_s = 0, cold_from = 0, warm_after_s = 0;
  double tip_multiple = 0, tip_s = 0, tip_slack_s = 0, handshake_work_s = 0, handshake_trips = 0, idle_s = 0;
  double connect_timeout_s = 0, error_share = 0, mean_work_s = 0;
  bool cancel_running = false, drops_overdue = false;
  // Ways, one direction.
  double same_zone_s = 0, cross_zone_s = 0, client_s = 0, jitter = 0;
  // Clients and their front.
  int units_top = 0, retries = 0;
  double try_timeout_share = 0, backoff_s = 0, heeds_retry_after_share = 0, max_retry_after_s = 0,
         impatient_share = 0, skew = 0;
  double use_until_end_share = 0;
  bool backoff_grows = false;
  double shift_s = 0, front_notice_s = 0, hot_share = 0;
  Micros hot_from = kNever, hot_to = kNever;
  std::vector<Micros> shifts;  // moments at which `shift_part` of the customers change
  double shift_share = 0;
  // Discovery and the counter.
  double discovery_notice_lo = 0, discovery_notice_hi = 0, discovery_start_notice_lo = 0,
         discovery_start_notice_hi = 0, discovery_agent_s = 0;
  int counter_parts = 0;
  double counter_calls_per_s = 0, counter_call_s = 0, counter_line_timeouts = 0, counter_timeout_s = 0,
         counter_lost_share = 0;
  // Between gateways: share of the datagrams that are lost on any day, and what one takes in a second.
  double peer_loss = 0, peer_in_per_s = 0, converge_s = 0;
  // Rules, prices and the goal.
  double drain_grace_s = 0, answer_grace_s = 0;
  int try_limit = 0;
  double counter_price = 0, waste_price = 0, late_price = 0, cross_zone_price = 0, handshake_price = 0,
         misbehaving_peer_price = 0, held_request_price = 0;
  double goal_whole = 0, goal_window = 0, goal_plan = 0;

  Micros LongestDeadline() const;   // of any class
  Micros TerminationGrace() const;  // from SIGTERM to SIGKILL at the soonest, as PROTOCOL has it
  bool HasStreamFaults() const;     // some path other than between gateways is befallen
  double InitialCapacity() const;   // work that the backends of the start do in a second
};

RunSpec DrawRunSpec(const Scenario& scenario, uint64_t seed);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_
