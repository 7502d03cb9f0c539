/// The membership protocol of the fleet, as run by one member: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with Lifeguard's three
/// extensions (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
/// Detection", 2018). Takes events and monotonic time, returns datagrams and state changes; uses no sockets,
/// clocks or threads.
///
/// Differences from the papers:
/// - The member list is configured (`peers`), so there is no join message. Members without any news yet are
///   presumed alive at incarnation 0.
/// - Dead members are pinged occasionally, so that the two sides of a healed partition find each other again.
/// - Views are compared by a digest on every ping and ack and repaired in parts, instead of by a full state
///   exchange over TCP.
/// - Before a suspicion times out, peers are queried about the suspect, which fetches refutations that gossip
///   has not delivered.
/// - A member that was stalled (stopped by a signal, starved of CPU) drops its pending probe and extends its
///   suspicions by the duration of the stall.
#ifndef LEMONCHUTE_MEMBERSHIP_MEMBERSHIP_H_
#define LEMONCHUTE_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "membership/view.h"

namespace lemonchute::membership {

/// The parameters of one member.
struct Settings {
  uint16_t self = 0;
  size_t member_count = 0;          ///< Members are numbered from 0 to member_count - 1.
  uint64_t seed = 0;                ///< Different on each start.
  SoftwareVersion version;          ///< What this member runs.
  double receive_limit_per_s = 60;  ///< Datagrams a member accepts (specifics.peer-in-per-s).
  double rate_share = 0.25;         ///< The average part of that limit that membership may use.
};

/// A datagram to be sent to another member.
struct Datagram {
  uint16_t to = 0;
  std::vector<uint8_t> bytes;
};
/// A change of a member's state in this member's view.
struct Change {
  uint16_t member = 0;
  State previous = State::kAlive, current = State::kAlive;
  uint32_t incarnation = 0;
  uint16_t reporter = 0;  ///< The member whose report caused it.
};
/// What an event asks the caller to do.
struct Actions {
  std::vector<Datagram> send;
  std::vector<Change> changes;
};

/// How far this member's view of the fleet can be trusted.
enum class Verdict {
  kUnknown,    ///< Just started: too few members have been heard of.
  kCutOff,     ///< At most half of the fleet is heard of, or nobody was heard recently. Set as well
               ///< while another process uses this member's number.
  kDiverged,   ///< Fewer than 95% of the members heard recently have the same view.
  kConverged,  ///< At least 95% of the members heard recently have the same view.
};
const char* Name(Verdict verdict);

/// Event counts since the start. `rate_limited` counts sends dropped to keep this member's own rate,
/// `repairs` the digest exchanges that it started.
struct Counts {
  uint64_t sent = 0, received = 0, probes = 0, indirect_probes = 0, failed_probes = 0, refutations = 0,
           rate_limited = 0, repairs = 0;
  uint64_t stalls = 0;                  ///< Stalls of this process (RecoverFromStall).
  std::array<uint64_t, 7> malformed{};  ///< Rejected datagrams, indexed by DecodeError.
  /// Datagrams from an address that is no peer's; datagrams whose number is not that of their address.
  uint64_t unknown_senders = 0, sender_mismatches = 0;
  uint64_t over_sender_rate = 0;  ///< Datagrams beyond the rate that a sender may keep.
  uint64_t unknown_members = 0;   ///< Updates about numbers that are not in our peer list.
  uint64_t impersonations = 0;    ///< Datagrams with our number from our address, sent by another process.
};

/// What a consumer may know of the fleet, and how old that knowledge is. Consumers follow one rule:
/// membership alone never raises a quota, a ceiling or a cold backend's budget, and unless Usable() holds a
/// consumer behaves as if membership were off.
struct FleetStatus {
  Verdict verdict = Verdict::kUnknown;
  /// Time since another member's datagram last arrived, or since the start if none did.
  Micros since_received = 0;
  double agreement = 0;  ///< Share of the members heard recently whose views equal ours.
  size_t present = 0;    ///< Members alive or suspect, this one included.
  bool Usable() const { return verdict == Verdict::kConverged || verdict == Verdict::kDiverged; }
};

/// One member of the fleet: its view, its failure detector and its gossip. Not thread-safe.
class Membership {
 public:
  Membership(const Settings& settings, Micros now);

  /// Handles a datagram.
  /// @param from the peer at the datagram's source address; -1 if the address is no peer's.
  void OnDatagram(Micros now, int from, std::span<const uint8_t> bytes, Actions* out);
  /// Runs what is due. Has to be called at NextTickAt() or later; earlier calls do nothing.
  void Tick(Micros now, Actions* out);
  Micros NextTickAt() const;
  /// Announces a planned leave: the others mark this member as left and stop probing it. It continues to
  /// probe, so that its own view stays current.
  void Leave(Micros now, Actions* out);
  /// Returns from a planned leave, under a new incarnation.
  void Rejoin(Micros now);
  /// Applies a new length of the peer list: removed members are forgotten, new ones presumed alive.
  /// @param member_count is above `self`.
  void Resize(Micros now, size_t member_count);
  /// Announces what this member runs from now on, under a new incarnation.
  void SetVersion(Micros now, const SoftwareVersion& version);

  const View& view() const { return view_; }
  Verdict ComputeVerdict(Micros now) const;
  FleetStatus Status(Micros now) const;
  /// @return when the member's last datagram arrived, or -1 if none did.
  Micros LastReceivedAt(size_t member) const { return peer_records_[member].received_at; }
  const Counts& counts() const { return counts_; }
  /// Lifeguard's local health: 0 is healthy; each step above lengthens the probe interval by one period.
  int health() const { return health_; }
  Micros period() const { return period_; }
  /// Bounds of the time from a suspicion to the member's death in this view.
  Micros MinSuspicionTimeout() const;
  Micros MaxSuspicionTimeout() const;

 private:
  struct Probe {
    bool in_flight = false, indirect_sent = false;
    uint16_t target = 0;
    uint32_t sequence = 0;
    Micros indirect_at = 0;
    int nacks_outstanding = 0;
  };
  struct Suspicion {
    Micros since = 0;
    std::set<uint16_t> reporters;
    int queries = 0;  // of peers, before the timeout
  };
  // A ping sent on behalf of the requester.
  struct Relay {
    uint16_t requester = 0, target = 0;
    uint32_t sequence = 0, requester_sequence = 0;
    Micros nack_at = 0;
  };
  // What was received from a member.
  struct PeerRecord {
    Micros received_at = -1;
    uint64_t digest = 0;
    double tokens = 0;  // datagrams that it may still send
    Micros tokens_at = 0;
  };

  static constexpr int kMaxHealth = 8;            // S in Lifeguard
  static constexpr size_t kMaxConfirmations = 3;  // K in Lifeguard

  // Message handling and merging of updates (membership.cpp), failure detection (probing.cpp).
  void HandleMessage(Micros now, const Message& message, Actions* out);
  void HandlePing(Micros now, const Message& ping, Actions* out);
  void HandlePingRequest(Micros now, const Message& request, Actions* out);
  void HandleEntries(Micros now, const Message& entries, Actions* out);
  void Apply(Micros now, const Update& update, Actions* out);
  void Refute(Micros now, uint32_t incarnation);
  void Suspect(Micros now, uint16_t member, Actions* out);
  Micros SuspicionEnd(const Suspicion& suspicion) const;
  Micros SuspicionQueryTime(const Suspicion& suspicion) const;
  void RecoverFromStall(Micros now, Micros lateness);
  void NackExpiredRelays(Micros now, Actions* out);
  void QueryAboutSuspects(Micros now, Actions* out);
  void StartProbePeriod(Micros now, Actions* out);
  void FailPendingProbe(Micros now, Actions* out);
  void SendIndirectProbes(Micros now, Actions* out);
  void HandleAck(Micros now, const Message& message, Actions* out);
  void SendDigests(Micros now, uint16_t peer, uint64_t peer_digest, Actions* out);
  void HandleDigests(Micros now, const Message& message, Actions* out);
  bool Send(Micros now, uint16_t to, Message message, Actions* out);
  bool ExceedsSenderRate(Micros now, PeerRecord* sender) const;
  double Agreement(Micros now) const;
  double RatePerS() const { return settings_.receive_limit_per_s * settings_.rate_share; }
  int NextProbeTarget();
  std::vector<uint16_t> RandomPeers(size_t max_count, int excluded);
  bool IsPresent(size_t member) const;
  size_t RandomBelow(size_t n);
  int GossipTransmitLimit() const;

  Settings settings_;
  const Micros period_, started_;
  Micros impersonated_at_ = -1;  // when another process last used this member's number
  View view_;
  std::mt19937_64 random_;
  std::vector<uint16_t> probe_order_;
  size_t next_target_ = 0;
  Probe probe_;
  Micros next_period_, next_repair_ = 0;
  uint32_t sequence_ = 0;
  std::map<uint16_t, Suspicion> suspicions_;
  std::vector<Relay> relays_;
  std::vector<PeerRecord> peer_records_;
  int health_ = 0;
  bool has_left_ = false;
  double tokens_;
  Micros tokens_at_;
  Counts counts_;
};

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_MEMBERSHIP_MEMBERSHIP_H_
