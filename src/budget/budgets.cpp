#include "budget/budgets.h"

#include <algorithm>

namespace lemonchute::budget {
namespace {

// The demand of a holder expires after so many request intervals without a request.
constexpr int kDemandIntervals = 4;
// A demand that changes by at most 1/8 keeps its old value, since every change alters all shares.
constexpr uint32_t kHysteresis = 8;

}  // namespace

Budgets::Budgets(const Settings& settings, Micros now)
    : settings_(settings),
      votes_(settings.voters.size(), settings.vote_term),
      random_(static_cast<uint32_t>(settings.seed ^ (settings.seed >> 32))),
      next_request_(now) {
  for (const BudgetSpec& spec : settings.budgets) {
    Holding holding;
    holding.spec = spec;
    holdings_[spec.id] = holding;
    divisions_.emplace(spec.id, Division(spec.IsValid() ? spec.Pool() : 0));
  }
  if (IsVoter(settings.self)) voter_.emplace(now, settings.vote_term);
  campaign_at_ = now + settings.vote_term + RandomDelay(settings.VoteRenewalInterval());
  if (!settings.voters.empty()) request_target_ = RandomVoter();
}

bool Budgets::IsVoter(uint16_t member) const {
  return std::find(settings_.voters.begin(), settings_.voters.end(), member) != settings_.voters.end();
}

Micros Budgets::RandomDelay(Micros max_delay) {
  return max_delay <= 0 ? 0 : static_cast<Micros>(random_() % static_cast<uint64_t>(max_delay));
}

uint32_t Budgets::Usable(Micros now, uint32_t budget) const {
  auto it = holdings_.find(budget);
  if (it == holdings_.end() || has_left_ || !it->second.spec.IsValid()) return 0;
  const Holding& holding = it->second;
  return holding.spec.floor + (now < holding.until ? holding.amount : 0);
}

void Budgets::SetDemand(uint32_t budget, uint32_t grains) {
  auto it = holdings_.find(budget);
  if (it == holdings_.end()) return;
  const BudgetSpec& spec = it->second.spec;
  uint32_t demand = grains > spec.floor ? std::min(grains - spec.floor, spec.total) : 0;
  uint32_t& previous = it->second.demand;
  uint32_t change = demand > previous ? demand - previous : previous - demand;
  if (demand == 0 || change > previous / kHysteresis) previous = demand;
}

void Budgets::SetPool(uint32_t budget, uint32_t pool, Micros until) {
  auto it = divisions_.find(budget);
  if (it == divisions_.end()) return;
  it->second.SetPool(pool);
  pool_until_[budget] = until;
}

void Budgets::SetSublet(uint32_t budget, uint64_t grains) {
  if (auto it = holdings_.find(budget); it != holdings_.end()) it->second.sublet = grains;
}

Budgets::Lease Budgets::HeldLease(Micros now, uint32_t budget) const {
  auto it = holdings_.find(budget);
  if (it == holdings_.end() || has_left_ || now >= it->second.until) return {};
  return {std::min(it->second.amount, it->second.recall_limit), it->second.until};
}

uint64_t Budgets::Demand(uint32_t budget) const {
  auto it = divisions_.find(budget);
  return it == divisions_.end() ? 0 : it->second.Demand();
}

uint64_t Budgets::Outstanding(Micros now, uint32_t budget) const {
  auto it = divisions_.find(budget);
  return it == divisions_.end() ? 0 : it->second.Outstanding(now);
}

// A budget without demand and lease needs no request.
bool Budgets::NeedsRequest(const Holding& holding, Micros now) const {
  return holding.demand > 0 || (holding.amount > 0 && now < holding.until);
}

Micros Budgets::NextTickAt() const {
  Micros next = voter_ && !has_left_ ? campaign_at_ : INT64_MAX;
  bool needs_request = std::any_of(holdings_.begin(), holdings_.end(), [&](const auto& one) {
    return one.second.demand > 0 || one.second.amount > 0;
  });
  return needs_request && !has_left_ ? std::min(next, next_request_) : next;
}

void Budgets::Tick(Micros now, OutgoingMessages* out) {
  if (has_left_) return;
  if (voter_ && now >= campaign_at_) {
    bool is_leader = IsLeader(now);
    bool vote_available =
        now >= voter_->until() || voter_->voted_for() == Candidate{settings_.self, settings_.incarnation};
    if (is_leader || (vote_available && !campaigning_)) {
      Campaign(now, out);
    } else if (campaigning_) {
      AbandonCampaign(now, out);  // no majority in time
    } else {
      campaign_at_ = voter_->until() + RandomDelay(settings_.VoteRenewalInterval());
    }
  }
  if (now >= next_request_) RequestLeases(now, out);
}

void Budgets::Campaign(Micros now, OutgoingMessages* out) {
  if (!voter_ || has_left_) return;
  campaigning_ = !IsLeader(now);
  denials_ = 0;
  ++counts_.campaigns;
  campaign_at_ = now + settings_.VoteRenewalInterval();
  Message request;
  request.kind = Kind::kVoteRequest, request.incarnation = settings_.incarnation,
  request.round = votes_.BeginRound(now);
  for (uint16_t voter : settings_.voters) Send(now, voter, request, out);
}

void Budgets::AbandonCampaign(Micros now, OutgoingMessages* out) {
  if (campaigning_ && !IsLeader(now)) BackOff(now, settings_.VoteRenewalInterval(), out);
}

// Releases the votes, so that another candidate does not have to wait until they expire.
void Budgets::BackOff(Micros now, Micros wait, OutgoingMessages* out) {
  Message release;
  release.kind = Kind::kRelease, release.incarnation = settings_.incarnation, release.round = votes_.round();
  votes_.Clear();
  campaigning_ = false;
  campaign_at_ = now + wait / 2 + RandomDelay(wait);
  for (uint16_t voter : settings_.voters) Send(now, voter, release, out);
}

void Budgets::RequestLeases(Micros now, OutgoingMessages* out, std::optional<uint16_t> target) {
  // Jitter of 10% spreads the requests of members that start at the same time.
  next_request_ = now + settings_.request_interval - settings_.request_interval / 10 +
                  RandomDelay(settings_.request_interval / 5);
  if (request_target_ == kNoMember || has_left_) return;
  if (!answered_) request_target_ = RandomVoter();
  if (target) request_target_ = *target;
  Message request;
  request.kind = Kind::kLeaseRequest, request.incarnation = settings_.incarnation;
  uint32_t leader_incarnation = 0;
  for (auto& [id, holding] : holdings_) {
    if (now >= holding.until) holding.amount = 0;
    if (!NeedsRequest(holding, now)) continue;
    // All unexpired leases are of one leader: leases of an earlier one expire before the next may grant any.
    if (now < holding.until) leader_incarnation = holding.leader_incarnation;
    request.entries.push_back({id, holding.demand, now < holding.until ? holding.grant_number : 0});
  }
  if (request.entries.empty()) return;
  ++counts_.lease_requests;
  answered_ = false;
  request.round = ++request_round_, requested_at_ = now, request.leader_incarnation = leader_incarnation;
  std::vector<BudgetEntry> all_entries = std::move(request.entries);
  for (size_t from = 0; from < all_entries.size(); from += kMaxEntries) {
    request.entries.assign(
        all_entries.begin() + static_cast<std::ptrdiff_t>(from),
        all_entries.begin() + static_cast<std::ptrdiff_t>(std::min(all_entries.size(), from + kMaxEntries)));
    Send(now, request_target_, request, out);
  }
}

void Budgets::Send(Micros now, uint16_t to, Message message, OutgoingMessages* out) {
  if (to == settings_.self) return OnMessage(now, to, message, out);
  out->push_back({to, std::move(message)});
}

void Budgets::OnMessage(Micros now, uint16_t from, const Message& message, OutgoingMessages* out) {
  if (has_left_) return;
  bool addressed_to_us = message.incarnation == settings_.incarnation;
  switch (message.kind) {
    case Kind::kVoteRequest: return OnVoteRequest(now, from, message, out);
    case Kind::kVote:
      if (!addressed_to_us || !IsVoter(from)) return;
      votes_.AddVote(from, message.round);
      if (IsLeader(now)) campaigning_ = false;
      return;
    case Kind::kVoteDenied: return OnVoteDenied(now, message, out);
    case Kind::kRelease:
      if (voter_) voter_->Release(now, {from, message.incarnation}, message.round);
      return;
    case Kind::kLeaseRequest: return OnLeaseRequest(now, from, message, out);
    case Kind::kGrant: return addressed_to_us ? OnGrant(now, message) : void();
    case Kind::kNotLeader:
      if (!addressed_to_us || message.round != request_round_ || answered_) return;
      // The next request goes to the hinted leader, or to another voter.
      request_target_ = message.hint != kNoMember ? message.hint : RandomVoter();
      answered_ = true;
      next_request_ = std::min(next_request_, now + settings_.request_interval / 10);
      return;
  }
}

void Budgets::OnVoteRequest(Micros now, uint16_t from, const Message& message, OutgoingMessages* out) {
  if (!voter_) return;
  Message answer;
  answer.incarnation = message.incarnation, answer.round = message.round;
  if (voter_->RequestVote(now, {from, message.incarnation}, message.round)) {
    answer.kind = Kind::kVote, answer.term = settings_.vote_term;
  } else {
    answer.kind = Kind::kVoteDenied, answer.term = voter_->until() - now;
    answer.hint = voter_->has_voted() ? voter_->voted_for().member : kNoMember;
  }
  Send(now, from, std::move(answer), out);
}

void Budgets::OnVoteDenied(Micros now, const Message& message, OutgoingMessages* out) {
  if (message.incarnation != settings_.incarnation || message.round != votes_.round() || !campaigning_)
    return;
  // With this many denials no majority is left: backs off for the term that the voter named.
  if (static_cast<size_t>(++denials_) * 2 < settings_.voters.size()) return;
  BackOff(now, std::min(message.term, settings_.vote_term), out);
}

void Budgets::OnLeaseRequest(Micros now, uint16_t from, const Message& message, OutgoingMessages* out) {
  if (!IsLeader(now)) {
    if (!voter_) return;
    Message answer;
    answer.kind = Kind::kNotLeader, answer.incarnation = message.incarnation, answer.round = message.round;
    bool leader_known =
        voter_->has_voted() && now < voter_->until() && voter_->voted_for().member != settings_.self;
    answer.hint = leader_known ? voter_->voted_for().member : kNoMember;
    return Send(now, from, std::move(answer), out);
  }
  Message answer;
  answer.kind = Kind::kGrant, answer.incarnation = message.incarnation, answer.round = message.round,
  answer.leader_incarnation = settings_.incarnation;
  answer.term = settings_.LeaseTerm();
  for (const BudgetEntry& entry : message.entries) {
    auto it = divisions_.find(entry.budget);
    if (it == divisions_.end()) {
      ++counts_.rejected_entries;
      continue;
    }
    auto holder = static_cast<uint16_t>(from / settings_.members_per_holder);
    LeaseRequest request{holder, message.incarnation, message.round, entry.amount,
                         message.leader_incarnation == settings_.incarnation ? entry.grant_number : 0};
    Micros until = votes_.MajorityUntil();
    if (auto pool_end = pool_until_.find(entry.budget); pool_end != pool_until_.end())
      until = std::min(until, pool_end->second);
    auto grant = it->second.Answer(now, request, settings_.LeaseTerm(), until,
                                   kDemandIntervals * settings_.request_interval);
    if (!grant) {
      ++counts_.stale_messages;
      continue;
    }
    if (grant->amount > 0) answer.term = std::min(answer.term, grant->term);
    answer.entries.push_back({entry.budget, grant->amount, grant->number});
  }
  counts_.grants += answer.entries.size();
  if (!answer.entries.empty()) Send(now, from, std::move(answer), out);
}

void Budgets::OnGrant(Micros now, const Message& message) {
  // The leader no longer accounts for its answers to older requests.
  if (message.round != request_round_) return void(++counts_.stale_messages);
  answered_ = true;
  ++counts_.grants_received;
  Micros until = requested_at_ + GuaranteedTerm(std::min(message.term, settings_.LeaseTerm()));
  if (until <= now) return void(++counts_.stale_messages);
  for (const BudgetEntry& entry : message.entries) {
    auto it = holdings_.find(entry.budget);
    if (it == holdings_.end() || entry.amount > it->second.spec.Pool()) {
      ++counts_.rejected_entries;
      continue;
    }
    Holding& holding = it->second;
    if (now < holding.until && holding.sublet > entry.amount) {
      // More is sublet than the new grant covers: keeps the old grant, but limits further subletting to the
      // new amount.
      holding.recall_limit = entry.amount;
      continue;
    }
    holding.recall_limit = UINT32_MAX;
    holding.amount = entry.amount, holding.grant_number = entry.grant_number,
    holding.leader_incarnation = message.leader_incarnation, holding.until = until;
  }
}

void Budgets::Leave(Micros now, OutgoingMessages* out) {
  if (has_left_) return;
  // A request without demand returns the leases at once.
  for (auto& [id, holding] : holdings_) holding.demand = 0;
  bool holds_lease = std::any_of(holdings_.begin(), holdings_.end(), [&](const auto& one) {
    return one.second.amount > 0 && now < one.second.until;
  });
  for (auto& [id, holding] : holdings_) holding.grant_number = holding.sublet == 0 ? 0 : holding.grant_number;
  if (holds_lease && request_target_ != kNoMember) RequestLeases(now, out);
  // A leader with outstanding leases keeps its votes until they expire.
  bool has_outstanding = std::any_of(divisions_.begin(), divisions_.end(),
                                     [&](const auto& one) { return one.second.Outstanding(now) > 0; });
  if (voter_ && !(IsLeader(now) && has_outstanding)) BackOff(now, settings_.vote_term, out);
  has_left_ = true;
}

void Budgets::Describe(std::ostream& out) const {
  out << settings_.incarnation << ' ' << campaigning_ << has_left_ << denials_ << ' ' << request_round_ << ' '
      << requested_at_;
  if (voter_) voter_->Describe(out);
  votes_.Describe(out);
  for (const auto& [id, holding] : holdings_)
    out << 'H' << id << ' ' << holding.demand << ' ' << holding.amount << ' ' << holding.grant_number << ' '
        << holding.leader_incarnation << ' ' << holding.until;
  for (const auto& [id, division] : divisions_) division.Describe(out);
}

}  // namespace lemonchute::budget
