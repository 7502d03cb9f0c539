// The specification of one run: every value that is drawn from a scenario and a seed before the run starts.
// The same scenario and seed give the same specification, whichever way the run is executed.
#ifndef LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_
#define LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/random.h"
#include "model/scenario.h"

namespace lemonchute::lab {

/// Time since the start of the run, in microseconds.
using Micros = int64_t;
inline constexpr Micros kNever = INT64_MAX;
inline constexpr Micros kSecond = 1'000'000;
/// CPU time slice of a starved gateway, which runs for its share of each slice. Ten times the usual scheduler
/// slice of 5 ms.
inline constexpr Micros kCpuSlice = 50'000;
inline Micros FromSeconds(double seconds) { return static_cast<Micros>(std::llround(seconds * 1e6)); }
inline double ToSeconds(Micros at) { return static_cast<double>(at) * 1e-6; }

/// A request class of the run.
struct ClassSpec {
  std::string name;
  double share = 0, work_s = 0, work_cv = 0, aim_s = 0, deadline_s = 0, worth = 0;
};

/// A plan of the run. Rates and bursts are in units and apply to each customer.
struct PlanSpec {
  std::string name;
  double rate = 0, burst = 0, price = 0, over_cost = 0, over_worth = 0;
  double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;  // in units; a rate of 0 means no ceiling
  int attempt_cap = 0;  // attempts in flight at once; 0 means no cap
  double share = 0;
};

/// A backend of the run.
struct BackendSpec {
  std::string name;
  int zone = 0, cores = 0, slots = 0, queue = 0, connections = 0;
  double speed = 0;
  Micros starts_at = 0;  // 0: running and warm when the run starts
};

/// A customer: its key, its plan and the consecutive gateways that its requests go to.
struct Customer {
  uint64_t key = 0;
  int plan = 0, first_gateway = 0, gateway_count = 0;
};

/// The first try of a client's request. Retries are drawn when they occur.
struct Arrival {
  Micros at = 0;
  uint32_t customer = 0;
  int class_index = 0;
  double work_s = 0, units = 0, estimated_units = 0;
};

/// Longest datagram between gateways, in bytes (PROTOCOL).
inline constexpr size_t kMaxPeerDatagramBytes = 256;

/// The kind of party at the far end of a gateway's network path.
enum class RemoteParty { kGateways, kCounter, kDiscovery, kBackends };
enum class PathDirection { kBoth, kOut, kIn };  // kOut: from the gateway to the remote party
enum class PathFaultKind { kCut, kBlackHole, kReset, kThrottle, kDelay, kLoss, kDuplicate, kReorder };
/// A fault on the paths between gateways and a kind of remote party.
struct PathFault {
  RemoteParty remote = RemoteParty::kGateways;
  PathDirection direction = PathDirection::kBoth;
  PathFaultKind kind = PathFaultKind::kCut;
  std::vector<int> gateways, others;  // indices; empty means all
  double size = 0;                    // milliseconds, a share or bytes per second, by kind
};
/// Damage done to a gateway's state folder between the end of one process and the start of the next.
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

/// What happens to the site. The targets of an event are gateways, backends, a zone or path faults, depending
/// on its kind.
enum class SiteEventKind {
  // Gateways.
  kKillGateway,
  kTerminateGateway,
  kStartGateway,
  kPauseGateway,
  kResumeGateway,
  // Backends.
  kDrainBackend,
  kRemoveBackend,
  kStopBackend,
  kStartBackend,
  // Faults of backends, the network, the counter and discovery. A size of 0 ends the fault.
  kBackendErrors,
  kBackendSlow,
  kBackendSilent,
  kZoneCut,
  kAttemptResets,  // `size`: share of the attempts
  kCounterDown,
  kCounterLoses,
  kDiscoverySilent,
  kDiscoveryRefuses,
  kMisbehavingPeers,  // `size`: peers per second
  // Actions of operators.
  kBackendOffline,
  kBackendOnline,
  kGatewayOutOfService,
  kGatewayInService,
  kScaleQuotas,
  kUpgradeGateway,
  kScrapeMetrics,
  // Faults of paths and gateways.
  kPathFault,         // begins or ends the fault of RunSpec::path_faults with the target's index
  kClaimIdentity,     // restarts the gateway with the name and number of gateway `size`
  kStateFolderFault,  // damages the gateways' state folders; `size` is a StateFolderFault
  kStarveGateway,     // the gateway runs for `size` of each kCpuSlice; 0 ends it
};
/// The name in reports.
const char* Name(SiteEventKind kind);
/// An event at a point in time; the meaning of `size` depends on the kind.
struct SiteEvent {
  Micros at = 0;
  SiteEventKind kind = SiteEventKind::kKillGateway;
  std::vector<int> targets;
  double size = 0;
};
/// An interval in which the site is disturbed, for the report and for measuring recovery.
struct Disturbance {
  Micros from = 0, to = 0;
  std::string kind;
};

/// Everything that is fixed about a run before it starts.
struct RunSpec {
  uint64_t seed = 0;
  std::string scenario, extensions;
  Micros length = 0, end = 0;
  int gateways = 0, zones = 0, memory_mb = 0, descriptors = 0;
  std::vector<ClassSpec> classes;
  std::vector<PlanSpec> plans;
  std::vector<int> gateway_zone;
  std::vector<BackendSpec> backends;  // backends running at the start come first
  std::vector<Customer> customers;
  std::vector<Arrival> arrivals;       // sorted by time
  std::vector<SiteEvent> site_events;  // sorted by time
  std::vector<PathFault> path_faults;
  std::vector<Disturbance> disturbances;
  // Backends.
  double crowding_loss = 0, crowding_at = 0, cold_share = 0, cold_s = 0, cold_from = 0, warm_after_s = 0;
  double tip_multiple = 0, tip_s = 0, tip_slack_s = 0, handshake_work_s = 0, handshake_trips = 0, idle_s = 0;
  double connect_timeout_s = 0, error_share = 0, mean_work_s = 0;
  bool cancel_running = false, drops_overdue = false;
  // Network delays, one way.
  double same_zone_s = 0, cross_zone_s = 0, client_s = 0, jitter = 0;
  // Clients and the front that routes them to gateways.
  int units_top = 0, retries = 0;
  double try_timeout_share = 0, backoff_s = 0, heeds_retry_after_share = 0, max_retry_after_s = 0,
         impatient_share = 0, skew = 0;
  double use_until_end_share = 0;
  bool backoff_grows = false;
  double shift_s = 0, front_notice_s = 0, hot_share = 0;
  Micros hot_from = kNever, hot_to = kNever;
  std::vector<Micros> shifts;  // when `shift_share` of the customers change their gateway weights
  double shift_share = 0;
  // Discovery and the counter service.
  double discovery_notice_lo = 0, discovery_notice_hi = 0, discovery_start_notice_lo = 0,
         discovery_start_notice_hi = 0, discovery_agent_s = 0;
  int counter_parts = 0;
  double counter_calls_per_s = 0, counter_call_s = 0, counter_line_timeouts = 0, counter_timeout_s = 0,
         counter_lost_share = 0;
  // Between gateways: the permanent share of lost datagrams, and the datagrams a gateway accepts per second.
  double peer_loss = 0, peer_in_per_s = 0, converge_s = 0;
  // Rule limits, prices and the weights of the score.
  double drain_grace_s = 0, answer_grace_s = 0;
  int try_limit = 0;
  double counter_price = 0, waste_price = 0, late_price = 0, cross_zone_price = 0, handshake_price = 0,
         misbehaving_peer_price = 0, held_request_price = 0;
  double goal_whole = 0, goal_window = 0, goal_plan = 0;

  Micros LongestDeadline() const;   // of any class
  Micros TerminationGrace() const;  // from SIGTERM to the earliest SIGKILL (PROTOCOL)
  bool HasStreamFaults() const;     // whether any path other than between gateways has a fault
  double InitialCapacity() const;   // work per second of the backends running at the start
};

/// Draws the specification of a run; deterministic for a scenario and seed.
RunSpec DrawRunSpec(const Scenario& scenario, uint64_t seed);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_RUN_SPEC_H_
