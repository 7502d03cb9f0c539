// One member's part of the fleet's membership protocol: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with Lifeguard's three
// additions (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection", 2018). Events and monotonic time go in, datagrams and changes come out: no sockets, clocks or
// threads.
//
// Differences from the papers:
// - The list of members is configured (`peers`), so there is no join message. Members that have not been
//   heard of yet are presumed alive at incarnation 0.
// - Dead members are pinged now and then, so that the two sides of a partition find each other again.
// - Views are compared by digests on every ping and ack and repaired in parts, in place of a full state
//   exchange over TCP.
// - Before a suspicion ends, peers are asked for their view of the suspect, which brings refutations that
//   gossip has not delivered.
// - A member that was stalled (stopped, starved) drops its pending probe and extends its suspicions by the
//   time that it was away.
#ifndef LEMONCHUTE_MEMBERSHIP_MEMBERSHIP_H_
#define LEMONCHUTE_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "membership/view.h"

namespace lemonchute::membership {

struct Settings {
  uint16_t self = 0;
  size_t member_count = 0;          // numbers are 0 to members - 1
  uint64_t seed = 0;                // new with each start
  SoftwareVersion version;          // what this member runs
  double receive_limit_per_s = 60;  // datagrams that a member takes in a second (specifics.peer-in-per-s)
  double rate_share = 0.25;         // of these, that membership may come to on average
};

struct Datagram {
  uint16_t to = 0;
  std::vector<uint8_t> bytes;
};
struct Change {
  uint16_t member = 0;
  State previous = State::kAlive, current = State::kAlive;
  uint32_t incarnation = 0;
  uint16_t reporter = 0;
};
struct Actions {
  std::vector<Datagram> send;
  std::vector<Change> changes;
};

// How far a view may be believed.
enum class Verdict {
  kUnknown,    // just started: too little has been heard
  kCutOff,     // no more than half of the fleet is heard of: we may be the ones that are alone
  kDiverged,   // who was heard lately believes something else
  kConverged,  // 95 in 100 of those heard lately believe the same
};
const char* Name(Verdict verdict);

// Datagrams sent and heard; probes, indirect probes and probes that failed; own refutations; sends dropped to
// keep our own rate (paced); digest exchanges begun (repairs).
struct Counts {
  uint64_t sent = 0, received = 0, probes = 0, indirect_probes = 0, failed_probes = 0, refutations = 0,
           rate_limited = 0, repairs = 0;
  uint64_t stalls = 0;                  // stalls of this member (RecoverFromStall)
  std::array<uint64_t, 7> malformed{};  // by Fault
  uint64_t unknown_senders = 0,
           sender_mismatches = 0;  // from no peer's address; a number that is not that address's
  uint64_t over_sender_rate = 0;   // beyond what an honest sender may send
  uint64_t unknown_members = 0;    // words on numbers that our list of peers does not have
  uint64_t impersonations = 0;     // from our own address, with our own number, and not by us
};

// What a consumer may know of the fleet, and how old that is. A stated rule goes with it: membership alone
// never widens a quota, a ceiling or a cold backend's budget, and where it is not Usable() a consumer behaves
// as with membership off.
struct FleetStatus {
  Verdict verdict = Verdict::kUnknown;
  Micros since_received = 0;  // since any other was last heard; since the start where none was
  double agreement = 0;       // of the members heard lately, the share whose views are the same as ours
  size_t present = 0;         // alive or suspect, ourselves included
  bool Usable() const { return verdict == Verdict::kConverged || verdict == Verdict::kDiverged; }
};

class Membership {
 public:
  Membership(const Settings& settings, Micros now);

  // A datagram from the address of peer `from`; -1: of none.
  void OnDatagram(Micros now, int from, std::span<const uint8_t> bytes, Actions* out);
  // Has to be called at NextAt() or later; earlier calls do nothing.
  void Tick(Micros now, Actions* out);
  Micros NextTickAt() const;
  // Planned: the others are told *left* and ask it no more; it goes on asking, so that it sees the fleet.
  void Leave(Micros now, Actions* out);
  // Back from a planned leave, under a new incarnation.
  void Rejoin(Micros now);
  // Another list of peers: numbers from `members` on are forgotten, new ones presumed alive. `self` stays
  // below it.
  void Resize(Micros now, size_t member_count);
  // What it runs has changed: a new incarnation says so.
  void SetVersion(Micros now, const SoftwareVersion& version);

  const View& view() const { return view_; }
  Verdict ComputeVerdict(Micros now) const;
  FleetStatus Status(Micros now) const;
  // When that member's last datagram came; -1: none has.
  Micros LastReceivedAt(size_t member) const { return peer_records_[member].received_at; }
  const Counts& counts() const { return counts_; }
  int health() const { return health_; }  // 0: well; each step slows its probes by one period
  Micros period() const { return period_; }
  // From the first suspicion of a member that is dead to its death in this view: the least and the most.
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
    int queries = 0;  // of others, before the end
  };
  struct Relay {  // a ping in place of the requester
    uint16_t requester = 0, target = 0;
    uint32_t sequence = 0, requester_sequence = 0;
    Micros nack_at = 0;
  };
  struct PeerRecord {  // what was received from a member
    Micros received_at = -1;
    uint64_t digest = 0;
    double tokens = 0;  // datagrams that it may still send us
    Micros tokens_at = 0;
  };

  static constexpr int kMaxHealth = 8;            // S of Lifeguard
  static constexpr size_t kMaxConfirmations = 3;  // K of Lifeguard

  // Messages and state merging.
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
