#include "budget/budgets.h"

#include <algorithm>

namespace lemonchute::budget {
namespace {

// An asker that has been silent for so many asks wants nothing any more.
constexpr int kLatelyAsks = 4;
// A want that moves by no more than an eighth stays as it was: everybody's share would move with it.
constexpr uint32_t kHysteresis = 8;

}  // namespace

Budgets::Budgets(const Settings& settings, Micros now)
    : settings_(settings),
      votes_(settings.voters.size(), settings.vote_term),
      random_(static_cast<uint32_t>(settings.seed ^ (settings.seed >> 32))),
      next_ask_(now) {
  for (const Spec& spec : settings.budgets) {
    Holding holding;
    holding.spec = spec;
    holdings_[spec.id] = holding;
    divisions_.emplace(spec.id, Division(spec.Sound() ? spec.Pool() : 0));
  }
  if (IsVoter(settings.self)) voter_.emplace(now, settings.vote_term);
  campaign_at_ = now + settings.vote_term + Some(settings.RenewEvery());
  if (!settings.voters.empty()) ask_at_ = SomeVoter();
}

bool Budgets::IsVoter(uint16_t number) const {
  return std::find(settings_.voters.begin(), settings_.voters.end(), number) != settings_.voters.end();
}

Micros Budgets::Some(Micros most) {
  return most <= 0 ? 0 : static_cast<Micros>(random_() % static_cast<uint64_t>(most));
}

uint32_t Budgets::Usable(Micros now, uint32_t budget) const {
  auto it = holdings_.find(budget);
  if (it == holdings_.end() || left_ || !it->second.spec.Sound()) return 0;
  const Holding& h = it->second;
  return h.spec.floor + (now < h.until ? h.amount : 0);
}

void Budgets::Want(uint32_t budget, uint32_t grains) {
  auto it = holdings_.find(budget);
  if (it == holdings_.end()) return;
  const Spec& spec = it->second.spec;
  uint32_t wanted = grains > spec.floor ? std::min(grains - spec.floor, spec.whole) : 0;
  uint32_t& was = it->second.wanted;
  uint32_t moved = wanted > was ? wanted - was : was - wanted;
  if (wanted == 0 || moved > was / kHysteresis) was = wanted;
}

void Budgets::SetPool(uint32_t budget, uint32_t pool, Micros until) {
  auto it = divisions_.find(budget);
  if (it == divisions_.end()) return;
  it->second.SetPool(pool);
  pool_until_[budget] = until;
}

void Budgets::SetLentOn(uint32_t budget, uint64_t grains) {
  if (auto it = holdings_.find(budget); it != holdings_.end()) it->second.lent_on = grains;
}

Budgets::Lease Budgets::Held(Micros now, uint32_t budget) const {
  auto it = holdings_.find(budget);
  if (it == holdings_.end() || left_ || now >= it->second.until) return {};
  return {std::min(it->second.amount, it->second.pressed), it->second.until};
}

uint64_t Budgets::Wanted(uint32_t budget) const {
  auto it = divisions_.find(budget);
  return it == divisions_.end() ? 0 : it->second.Wanted();
}

uint64_t Budgets::GivenOut(Micros now, uint32_t budget) const {
  auto it = divisions_.find(budget);
  return it == divisions_.end() ? 0 : it->second.Out(now);
}

// What nobody uses costs nothing: no ask for it.
bool Budgets::Needs(const Holding& h, Micros now) const {
  return h.wanted > 0 || (h.amount > 0 && now < h.until);
}

Micros Budgets::NextAt() const {
  Micros next = voter_ && !left_ ? campaign_at_ : INT64_MAX;
  bool needs = std::any_of(holdings_.begin(), holdings_.end(),
                           [&](const auto& one) { return one.second.wanted > 0 || one.second.amount > 0; });
  return needs && !left_ ? std::min(next, next_ask_) : next;
}

void Budgets::Tick(Micros now, Out* out) {
  if (left_) return;
  if (voter_ && now >= campaign_at_) {
    bool arbiter = Arbiter(now);
    bool free = now >= voter_->until() || voter_->given_to() == Candidate{settings_.self, settings_.life};
    if (arbiter || (free && !campaigning_)) {
      Campaign(now, out);
    } else if (campaigning_) {
      GiveUp(now, out);  // asked, and no majority came
    } else {
      campaign_at_ = voter_->until() + Some(settings_.RenewEvery());
    }
  }
  if (now >= next_ask_) AskForParts(now, out);
}

void Budgets::Campaign(Micros now, Out* out) {
  if (!voter_ || left_) return;
  campaigning_ = !Arbiter(now);
  refused_ = 0;
  ++counts_.campaigns;
  campaign_at_ = now + settings_.RenewEvery();
  Message ask;
  ask.kind = Kind::kAskVote, ask.life = settings_.life, ask.round = votes_.Begin(now);
  for (uint16_t voter : settings_.voters) Send(now, voter, ask, out);
}

void Budgets::GiveUp(Micros now, Out* out) {
  if (campaigning_ && !Arbiter(now)) StandBack(now, settings_.RenewEvery(), out);
}

// Whoever fails gives back what it was promised, so that another need not wait for it to run out.
void Budgets::StandBack(Micros now, Micros wait, Out* out) {
  Message release;
  release.kind = Kind::kRelease, release.life = settings_.life, release.round = votes_.round();
  votes_.Drop();
  campaigning_ = false;
  campaign_at_ = now + wait / 2 + Some(wait);
  for (uint16_t voter : settings_.voters) Send(now, voter, release, out);
}

void Budgets::AskForParts(Micros now, Out* out, std::optional<uint16_t> at) {
  // Early or late by a tenth, so that a fleet that begins in one instant does not ask in one.
  next_ask_ = now + settings_.ask_every - settings_.ask_every / 10 + Some(settings_.ask_every / 5);
  if (ask_at_ == kNobody || left_) return;
  if (!answered_) ask_at_ = SomeVoter();
  if (at) ask_at_ = *at;
  Message ask;
  ask.kind = Kind::kAsk, ask.life = settings_.life;
  uint32_t arbiter = 0;
  for (auto& [id, h] : holdings_) {
    if (now >= h.until) h.amount = 0;
    if (!Needs(h, now)) continue;
    // Of another arbiter nothing is held as far as this one knows: it is over once this one may give.
    if (now < h.until) arbiter = h.arbiter;
    ask.parts.push_back({id, h.wanted, now < h.until ? h.number : 0});
  }
  if (ask.parts.empty()) return;
  ++counts_.asks;
  answered_ = false;
  ask.round = ++ask_round_, asked_at_ = now, ask.answerer = arbiter;
  std::vector<Part> all = std::move(ask.parts);
  for (size_t from = 0; from < all.size(); from += kMostParts) {
    ask.parts.assign(all.begin() + static_cast<std::ptrdiff_t>(from),
                     all.begin() + static_cast<std::ptrdiff_t>(std::min(all.size(), from + kMostParts)));
    Send(now, ask_at_, ask, out);
  }
}

void Budgets::Send(Micros now, uint16_t to, Message message, Out* out) {
  if (to == settings_.self) return Heard(now, to, message, out);
  out->push_back({to, std::move(message)});
}

void Budgets::Heard(Micros now, uint16_t from, const Message& m, Out* out) {
  if (left_) return;
  bool ours = m.life == settings_.life;
  switch (m.kind) {
    case Kind::kAskVote: return OnAskVote(now, from, m, out);
    case Kind::kVote:
      if (!ours || !IsVoter(from)) return;
      votes_.Take(from, m.round);
      if (Arbiter(now)) campaigning_ = false;
      return;
    case Kind::kNoVote: return OnNo(now, m, out);
    case Kind::kRelease:
      if (voter_) voter_->Release(now, {from, m.life}, m.round);
      return;
    case Kind::kAsk: return OnAsk(now, from, m, out);
    case Kind::kGrant: return ours ? OnGrant(now, m) : void();
    case Kind::kElsewhere:
      if (!ours || m.round != ask_round_ || answered_) return;
      // Not there: the next ask goes to who may be, or to another voter.
      ask_at_ = m.hint != kNobody ? m.hint : SomeVoter();
      answered_ = true;
      next_ask_ = std::min(next_ask_, now + settings_.ask_every / 10);
      return;
  }
}

void Budgets::OnAskVote(Micros now, uint16_t from, const Message& m, Out* out) {
  if (!voter_) return;
  Message answer;
  answer.life = m.life, answer.round = m.round;
  if (voter_->Ask(now, {from, m.life}, m.round)) {
    answer.kind = Kind::kVote, answer.term = settings_.vote_term;
  } else {
    answer.kind = Kind::kNoVote, answer.term = voter_->until() - now;
    answer.hint = voter_->given() ? voter_->given_to().number : kNobody;
  }
  Send(now, from, std::move(answer), out);
}

void Budgets::OnNo(Micros now, const Message& m, Out* out) {
  if (m.life != settings_.life || m.round != votes_.round() || !campaigning_) return;
  // As many as leave no majority: it waits for what it was told of.
  if (static_cast<size_t>(++refused_) * 2 < settings_.voters.size()) return;
  StandBack(now, std::min(m.term, settings_.vote_term), out);
}

void Budgets::OnAsk(Micros now, uint16_t from, const Message& m, Out* out) {
  if (!Arbiter(now)) {
    if (!voter_) return;
    Message answer;
    answer.kind = Kind::kElsewhere, answer.life = m.life, answer.round = m.round;
    bool known = voter_->given() && now < voter_->until() && voter_->given_to().number != settings_.self;
    answer.hint = known ? voter_->given_to().number : kNobody;
    return Send(now, from, std::move(answer), out);
  }
  Message answer;
  answer.kind = Kind::kGrant, answer.life = m.life, answer.round = m.round, answer.answerer = settings_.life;
  answer.term = settings_.PartTerm();
  for (const Part& part : m.parts) {
    auto it = divisions_.find(part.budget);
    if (it == divisions_.end()) {
      ++counts_.unknown;
      continue;
    }
    auto holder = static_cast<uint16_t>(from / settings_.numbers_a_holder);
    Ask ask{holder, m.life, m.round, part.amount, m.answerer == settings_.life ? part.number : 0};
    Micros until = votes_.Until();
    if (auto ends = pool_until_.find(part.budget); ends != pool_until_.end())
      until = std::min(until, ends->second);
    auto grant = it->second.Answer(now, ask, settings_.PartTerm(), until, kLatelyAsks * settings_.ask_every);
    if (!grant) {
      ++counts_.stale;
      continue;
    }
    if (grant->amount > 0) answer.term = std::min(answer.term, grant->term);
    answer.parts.push_back({part.budget, grant->amount, grant->number});
  }
  counts_.grants += answer.parts.size();
  if (!answer.parts.empty()) Send(now, from, std::move(answer), out);
}

void Budgets::OnGrant(Micros now, const Message& m) {
  // An answer to an older ask is one that the arbiter counts no more.
  if (m.round != ask_round_) return void(++counts_.stale);
  answered_ = true;
  ++counts_.answers;
  Micros until = asked_at_ + Surely(std::min(m.term, settings_.PartTerm()));
  if (until <= now) return void(++counts_.stale);
  for (const Part& part : m.parts) {
    auto it = holdings_.find(part.budget);
    if (it == holdings_.end() || part.amount > it->second.spec.Pool()) {
      ++counts_.unknown;
      continue;
    }
    Holding& h = it->second;
    if (now < h.until && h.lent_on > part.amount) {
      // Lent on already: the part that it stands on stays named, and nothing more is lent than will be left.
      h.pressed = part.amount;
      continue;
    }
    h.pressed = UINT32_MAX;
    h.amount = part.amount, h.number = part.number, h.arbiter = m.answerer, h.until = until;
  }
}

void Budgets::Leave(Micros now, Out* out) {
  if (left_) return;
  // The parts go back at once: nothing is wanted, and nothing is held any more.
  for (auto& [id, h] : holdings_) h.wanted = 0;
  bool any = std::any_of(holdings_.begin(), holdings_.end(),
                         [&](const auto& one) { return one.second.amount > 0 && now < one.second.until; });
  for (auto& [id, h] : holdings_) h.number = h.lent_on == 0 ? 0 : h.number;
  if (any && ask_at_ != kNobody) AskForParts(now, out);
  // An arbiter's votes run out by themselves while anything that it gave is still in use.
  bool out_there = std::any_of(divisions_.begin(), divisions_.end(),
                               [&](const auto& one) { return one.second.Out(now) > 0; });
  if (voter_ && !(Arbiter(now) && out_there)) StandBack(now, settings_.vote_term, out);
  left_ = true;
}

void Budgets::Describe(std::ostream& out) const {
  out << settings_.life << ' ' << campaigning_ << left_ << refused_ << ' ' << ask_round_ << ' ' << asked_at_;
  if (voter_) voter_->Describe(out);
  votes_.Describe(out);
  for (const auto& [id, h] : holdings_)
    out << 'H' << id << ' ' << h.wanted << ' ' << h.amount << ' ' << h.number << ' ' << h.arbiter << ' '
        << h.until;
  for (const auto& [id, division] : divisions_) division.Describe(out);
}

}  // namespace lemonchute::budget
