// How far the view can be trusted.
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
  Micros last_received = started_;
  for (size_t m = 0; m < peer_records_.size(); ++m) {
    if (m != settings_.self) last_received = std::max(last_received, peer_records_[m].received_at);
  }
  return {ComputeVerdict(now), now - last_received, Agreement(now),
          view_.Count(State::kAlive) + view_.Count(State::kSuspect)};
}

double Membership::Agreement(Micros now) const {
  size_t recent = 0, matching = 0;
  for (size_t m = 0; m < peer_records_.size(); ++m) {
    const PeerRecord& record = peer_records_[m];
    if (m == settings_.self || record.received_at < 0 || record.received_at + kRecentPeriods * period_ < now)
      continue;
    ++recent;
    matching += record.digest == view_.digest() ? 1 : 0;
  }
  return recent == 0 ? 0 : static_cast<double>(matching) / static_cast<double>(recent);
}

Verdict Membership::ComputeVerdict(Micros now) const {
  size_t known = 1, expected = 0;
  bool heard_recently = settings_.member_count == 1;
  for (size_t m = 0; m < settings_.member_count; ++m) {
    const Entry& entry = view_.At(m);
    expected += entry.state != State::kLeft ? 1 : 0;
    if (m == settings_.self) continue;
    known += entry.state <= State::kSuspect && entry.incarnation > 0 ? 1 : 0;
    heard_recently |=
        peer_records_[m].received_at >= 0 && peer_records_[m].received_at + kRecentPeriods * period_ >= now;
  }
  // Another process uses this member's number, so the others hear that process instead.
  if (impersonated_at_ >= 0 && impersonated_at_ + kRecentPeriods * period_ >= now) return Verdict::kCutOff;
  if (expected <= 1) return Verdict::kConverged;
  bool minority = known * 2 <= expected || !heard_recently;
  if (minority) return now - started_ < kRecentPeriods * period_ ? Verdict::kUnknown : Verdict::kCutOff;
  return Agreement(now) >= kConvergedShare ? Verdict::kConverged : Verdict::kDiverged;
}

}  // namespace lemonchute::membership
