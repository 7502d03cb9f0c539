// Late notifications stay in order: a gateway is never notified of a version before an earlier one.
#include "model/discovery.h"

#include <algorithm>
#include <map>

namespace lemonchute::lab {
namespace {

// From the end of a silence to the first notification: a gateway's watch is back within 0.1 s.
constexpr Micros kAfterSilence = 100'000;

}  // namespace

Discovery::Discovery(const RunSpec& spec)
    : spec_(&spec), random_(spec.seed, Stream::kNetwork, 2), cut_(static_cast<size_t>(spec.gateways), 0) {}

int Discovery::Publish(Micros now, const Entry& entry, std::vector<Micros>* notified_at) {
  bool start = entry.state == ListState::kActive;
  double lo = start ? spec_->discovery_start_notice_lo : spec_->discovery_notice_lo;
  double hi = start ? spec_->discovery_start_notice_hi : spec_->discovery_notice_hi;
  changes_.push_back({now, entry});
  // The list picks up the change once for all; each gateway is notified a little later.
  double notice = random_.Uniform(lo, hi);
  std::vector<Micros> row;
  bool withheld = false;
  for (size_t g = 0; g < cut_.size(); ++g) {
    // Nothing is drawn during a silence. This keeps the random stream, and so the results of runs without a
    // cut path, unchanged.
    Micros at = silent_ ? kNever : now + FromSeconds(notice + random_.Uniform(0, spec_->discovery_agent_s));
    if (IsWithheldFrom(g)) at = kNever, withheld = true;
    if (!notified_at_.empty()) at = std::max(at, notified_at_.back()[g]);
    row.push_back(at);
  }
  withheld_.push_back(withheld ? 1 : 0);
  notified_at_.push_back(row);
  if (notified_at != nullptr) *notified_at = row;
  return static_cast<int>(changes_.size());
}

// Pending notifications wait for the end of the silence.
void Discovery::Withhold(size_t gateway, Micros now) {
  for (size_t v = 0; v < notified_at_.size(); ++v) {
    if (notified_at_[v][gateway] > now) notified_at_[v][gateway] = kNever, withheld_[v] = 1;
  }
}

void Discovery::Release(size_t gateway, Micros now) {
  for (std::vector<Micros>& row : notified_at_) {
    if (row[gateway] == kNever && !IsWithheldFrom(gateway)) row[gateway] = now + kAfterSilence;
  }
}

void Discovery::SetSilent(bool silent, Micros now, std::vector<Micros>* notified_at) {
  silent_ = silent;
  for (size_t g = 0; g < cut_.size(); ++g) silent ? Withhold(g, now) : Release(g, now);
  if (notified_at != nullptr && !notified_at_.empty()) *notified_at = notified_at_.back();
}

void Discovery::SetCut(int gateway, bool cut, Micros now) {
  auto g = static_cast<size_t>(gateway);
  cut_[g] = cut ? 1 : 0;
  cut ? Withhold(g, now) : Release(g, now);
}

int Discovery::VersionAt(int gateway, Micros now) const {
  auto later = std::partition_point(
      notified_at_.begin(), notified_at_.end(),
      [&](const std::vector<Micros>& row) { return row[static_cast<size_t>(gateway)] <= now; });
  return static_cast<int>(later - notified_at_.begin());
}

std::vector<Discovery::Entry> Discovery::ListAt(int version) const {
  std::map<int, Entry> list;
  for (size_t b = 0; b < spec_->backends.size(); ++b) {
    if (spec_->backends[b].starts_at == 0)
      list[static_cast<int>(b)] = {static_cast<int>(b), ListState::kActive, 0};
  }
  for (int v = 0; v < version; ++v) {
    const Entry& entry = changes_[static_cast<size_t>(v)].entry;
    if (entry.state == ListState::kLeft)
      list.erase(entry.backend);
    else
      list[entry.backend] = entry;
  }
  std::vector<Entry> entries;
  entries.reserve(list.size());
  for (const auto& [backend, entry] : list) entries.push_back(entry);
  return entries;
}

}  // namespace lemonchute::lab
