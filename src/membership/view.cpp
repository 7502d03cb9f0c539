// Digests are sums of a hash of each entry, so that one entry's change is two additions.
#include "membership/view.h"

#include <algorithm>

namespace lemonchute::membership {
namespace {

// The finalizer of splitmix64 (Steele, Lea, Flood 2014): every bit of the input moves every bit of the
// result.
uint64_t Mix(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

uint64_t HashOf(size_t member, const Entry& e) {
  State state = e.state == State::kSuspect ? State::kAlive : e.state;
  uint64_t who = Mix((static_cast<uint64_t>(member) << 8) ^ static_cast<uint64_t>(state));
  return Mix(who ^ (static_cast<uint64_t>(e.version.program) << 32) ^ e.version.config);
}

}  // namespace

View::View(size_t members, uint16_t self, Micros now) : self_(self) { Resize(members, now); }

void View::Resize(size_t members, Micros now) {
  size_t had = entries_.size();
  for (size_t m = members; m < had; ++m) Count(m, -1);
  std::erase_if(rumours_, [&](const Rumour& r) { return r.member >= members; });
  entries_.resize(members);
  for (size_t m = had; m < members; ++m) {
    entries_[m].reporter = self_, entries_[m].since = now;
    Count(m, 1);
  }
}

void View::Count(size_t member, int sign) {
  const Entry& e = entries_[member];
  uint64_t hash = HashOf(member, e);
  counts_[static_cast<size_t>(e.state)] += static_cast<size_t>(sign);
  digest_ += sign > 0 ? hash : 0 - hash;
  uint32_t& part = parts_[PartOf(member)];
  auto low = static_cast<uint32_t>(hash);
  part += sign > 0 ? low : 0 - low;
}

bool View::Take(const Update& u, Micros now) {
  Entry& e = entries_[u.member];
  bool newer = u.incarnation != e.incarnation ? u.incarnation > e.incarnation
               : u.state != e.state           ? u.state > e.state
                                              : u.version > e.version;
  if (!newer) return false;
  Count(u.member, -1);
  if (u.state != e.state) e.since = now;
  e.state = u.state, e.incarnation = u.incarnation, e.reporter = u.reporter;
  e.version = u.version;
  Count(u.member, 1);
  Spread(u.member);
  return true;
}

Update View::WordOn(size_t member) const {
  const Entry& e = entries_[member];
  return {static_cast<uint16_t>(member), e.state, e.reporter, e.incarnation, e.version};
}

void View::Confirm(size_t member, uint16_t reporter) {
  entries_[member].reporter = reporter;
  Spread(member);
}

void View::Spread(size_t member) {
  std::erase_if(rumours_, [&](const Rumour& r) { return r.member == member; });
  rumours_.push_back({static_cast<uint16_t>(member), 0});
}

std::vector<Update> View::ToSpread(size_t most, int times) {
  size_t n = std::min(most, rumours_.size());
  std::partial_sort(rumours_.begin(), rumours_.begin() + static_cast<std::ptrdiff_t>(n), rumours_.end(),
                    [](const Rumour& a, const Rumour& b) {
                      return a.told != b.told ? a.told < b.told : a.member < b.member;
                    });
  std::vector<Update> words;
  for (size_t i = 0; i < n; ++i) {
    words.push_back(WordOn(rumours_[i].member));
    ++rumours_[i].told;
  }
  std::erase_if(rumours_, [&](const Rumour& r) { return r.told >= times; });
  return words;
}

}  // namespace lemonchute::membership
