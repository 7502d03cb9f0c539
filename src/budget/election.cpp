#include "budget/election.h"

#include <algorithm>
#include <functional>

namespace lemonchute::budget {

bool Voter::RequestVote(Micros now, Candidate candidate, uint32_t round) {
  bool is_renewal = has_voted_ && voted_for_ == candidate;
  if (now < until_ && !is_renewal) return false;
  // A late request of an older round must not lower the round that a release is compared with.
  round_ = is_renewal ? std::max(round_, round) : round;
  has_voted_ = true, voted_for_ = candidate;
  until_ = std::max(until_, now + term_);
  return true;
}

void Voter::Release(Micros now, Candidate candidate, uint32_t round) {
  if (has_voted_ && voted_for_ == candidate && round >= round_) until_ = std::min(until_, now);
}

uint32_t Votes::BeginRound(Micros now) {
  requested_at_ = now;
  return ++round_;
}

void Votes::AddVote(uint16_t voter, uint32_t round) {
  if (round == round_) vote_ends_[voter] = std::max(vote_ends_[voter], requested_at_ + GuaranteedTerm(term_));
}

void Votes::Clear() {
  vote_ends_.clear();
  ++round_;  // answers still in flight no longer count
}

Micros Votes::MajorityUntil() const {
  size_t majority = voter_count_ / 2 + 1;
  if (vote_ends_.size() < majority) return 0;
  std::vector<Micros> ends;
  for (const auto& [voter, end] : vote_ends_) ends.push_back(end);
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[majority - 1];
}

void Voter::Describe(std::ostream& out) const {
  out << 'V' << has_voted_ << ' ' << voted_for_.member << ' ' << voted_for_.incarnation << ' ' << round_
      << ' ' << until_;
}

void Votes::Describe(std::ostream& out) const {
  out << 'C' << round_ << ' ' << requested_at_;
  for (const auto& [voter, end] : vote_ends_) out << ' ' << voter << ':' << end;
}

}  // namespace lemonchute::budget
