// Owns who may divide: one arbiter at a time, by votes of a small fixed quorum, each a lease. A voter
// promises its vote for a term by its own clock; the candidate counts it for surely less, from before it
// asked. So two never count a majority at one moment. Nothing is written to disk: a voter that starts votes
// for nobody until all that an earlier life of it may have promised is over.
//
// After: Lamport's part-time parliament by way of Chubby's master leases (Burrows 2006). Departures: no log
// is replicated, since parts expire before the lease that they stand on, and a new arbiter begins with
// nothing out.
#ifndef LEMONCHUTE_BUDGET_ELECTION_H_
#define LEMONCHUTE_BUDGET_ELECTION_H_

#include <cstddef>
#include <map>
#include <ostream>

#include "budget/terms.h"

namespace lemonchute::budget {

struct Candidate {
  uint16_t number = 0;
  uint32_t life = 0;
  bool operator==(const Candidate&) const = default;
};

class Voter {
 public:
  Voter(Micros now, Micros term) : term_(term), until_(now + term) {}

  // Whether `who` has the vote now, for a term from now on.
  bool Ask(Micros now, Candidate who, uint32_t round);
  // Gives the vote back, where none was given in a later round.
  void Release(Micros now, Candidate who, uint32_t round);
  // Until when nobody else gets it.
  Micros until() const { return until_; }
  Candidate given_to() const { return given_to_; }
  bool given() const { return given_; }
  // All of the state, for comparing two.
  void Describe(std::ostream& out) const;

 private:
  Micros term_;
  bool given_ = false;
  Candidate given_to_;
  uint32_t round_ = 0;
  Micros until_;
};

// The votes that one process has been promised.
class Votes {
 public:
  Votes(size_t voters, Micros term) : voters_(voters), term_(term) {}

  // A new round of asking; only answers to the latest count.
  uint32_t Begin(Micros now);
  void Take(uint16_t voter, uint32_t round);
  // Gives all of them up.
  void Drop();
  // Until when this process is surely the only one that has a majority; nought: it has none.
  Micros Until() const;
  uint32_t round() const { return round_; }
  void Describe(std::ostream& out) const;

 private:
  size_t voters_;
  Micros term_;
  uint32_t round_ = 0;
  Micros asked_at_ = 0;
  std::map<uint16_t, Micros> ends_;
};

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_ELECTION_H_
