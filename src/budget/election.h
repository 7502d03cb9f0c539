/// Leader election: one leader at a time, by the votes of a small fixed set of voters, each vote a lease. A
/// voter promises its vote for a term by its own clock; the candidate counts it for GuaranteedTerm, starting
/// before its request was sent. So two candidates never hold a majority at the same time. Nothing is written
/// to disk: after its start a voter grants no vote until all votes of its earlier incarnations have expired.
///
/// Follows Lamport's "The Part-Time Parliament" by way of Chubby's master leases (Burrows 2006). No log is
/// replicated: leases expire before the votes that they are granted under, so a new leader starts with
/// nothing outstanding.
#ifndef LEMONCHUTE_BUDGET_ELECTION_H_
#define LEMONCHUTE_BUDGET_ELECTION_H_

#include <cstddef>
#include <map>
#include <ostream>

#include "budget/terms.h"

namespace lemonchute::budget {

/// One process that asks for votes.
struct Candidate {
  uint16_t member = 0;
  uint32_t incarnation = 0;
  bool operator==(const Candidate&) const = default;
};

/// The vote of one process.
class Voter {
 public:
  Voter(Micros now, Micros term) : term_(term), until_(now + term) {}

  /// @return whether the candidate has the vote, for a term from now on.
  bool RequestVote(Micros now, Candidate candidate, uint32_t round);
  /// Releases the vote, unless it was given or renewed in a later round.
  void Release(Micros now, Candidate candidate, uint32_t round);
  /// When the vote is available again.
  Micros until() const { return until_; }
  Candidate voted_for() const { return voted_for_; }
  bool has_voted() const { return has_voted_; }
  /// Writes all state, for comparing two instances.
  void Describe(std::ostream& out) const;

 private:
  Micros term_;
  bool has_voted_ = false;
  Candidate voted_for_;
  uint32_t round_ = 0;
  Micros until_;
};

/// The votes that were promised to one process.
class Votes {
 public:
  Votes(size_t voter_count, Micros term) : voter_count_(voter_count), term_(term) {}

  /// Starts a round of requests; only answers to the latest round count.
  uint32_t BeginRound(Micros now);
  void AddVote(uint16_t voter, uint32_t round);
  void Clear();
  /// Until when this process is certain to be the only one with a majority; 0 without one.
  Micros MajorityUntil() const;
  uint32_t round() const { return round_; }
  void Describe(std::ostream& out) const;

 private:
  size_t voter_count_;
  Micros term_;
  uint32_t round_ = 0;
  Micros requested_at_ = 0;
  std::map<uint16_t, Micros> vote_ends_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_ELECTION_H_
