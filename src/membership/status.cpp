// How far the view may be trusted.
#include <algorithm>

#include "membership/membership.h"

namespace lemonchute::membership {
namespace {

constexpr int kRecentPeriods = 12;  // longer than an update takes to reach 3,000 members
constexpr double kConvergedShare = 0.95;

}  // namespace

const char* Name(Verdict verdict) {
  switch (verdict) {
    case Verdict::kUnknown: return "unknown";
    case Verdict::kCutOff: return "cut off";
    case Verdict::kDiverged: return "diverged";
    case Verdict::kConverged: return "converged";
  }
  return "";
}

FleetStatus Membership::Status(Micros now) const {
  Micros heard = started_;
  for (size_t m = 0; m < peer_records_.size(); ++m) {
    if (m != settings_.self) heard = std::max(heard, peer_records_[m].at);
  }
  return {Judge(now), now - heard, Agreement(now), view_.Count(State::kAlive) + view_.Count(State::kSuspect)};
}

double Membership::Agreement(Micros now) const {
  size_t lately = 0, same = 0;
  for (size_t m = 0; m < peer_records_.size(); ++m) {
    const PeerRecord& last = peer_records_[m];
    if (m == settings_.self || last.at < 0 || last.at + kRecentPeriods * period_ < now) continue;
    ++lately;
    same += last.digest == view_.digest() ? 1 : 0;
  }
  return lately == 0 ? 0 : static_cast<double>(same) / static_cast<double>(lately);
}

Verdict Membership::Judge(Micros now) const {
  size_t heard_of = 1, expected = 0;
  bool lately = settings_.member_count == 1;
  for (size_t m = 0; m < settings_.member_count; ++m) {
    const Entry& e = view_.At(m);
    expected += e.state != State::kLeft ? 1 : 0;
    if (m == settings_.self) continue;
    heard_of += e.state <= State::kSuspect && e.incarnation > 0 ? 1 : 0;
    lately |= peer_records_[m].at >= 0 && peer_records_[m].at + kRecentPeriods * period_ >= now;
  }
  // Another process uses this member's number, so the others listen to that one.
  if (impersonated_at_ >= 0 && impersonated_at_ + kRecentPeriods * period_ >= now) return Verdict::kCutOff;
  if (expected <= 1) return Verdict::kConverged;
  bool few = heard_of * 2 <= expected || !lately;
  if (few) return now - started_ < kRecentPeriods * period_ ? Verdict::kUnknown : Verdict::kCutOff;
  return Agreement(now) >= kConvergedShare ? Verdict::kConverged : Verdict::kDiverged;
}

}  // namespace lemonchute::membership
