#include "net/metrics.h"

#include <algorithm>

namespace lemonchute::net {

Metrics::ClassCountsByName Metrics::CountsForClasses(const std::vector<std::string>& names) const {
  ClassCountsByName counts = classes;
  std::map<uint64_t, std::string> removed;  // by removal order
  uint64_t last_removal = 0;
  for (const auto& [name, count] : counts) last_removal = std::max(last_removal, count.removal_order);
  for (auto& [name, count] : counts) {
    if (count.removal_order == 0) count.removal_order = ++last_removal;
    removed[count.removal_order] = name;
  }
  for (const std::string& name : names) {
    if (name.empty()) continue;
    ClassCounts& count = counts[name];
    removed.erase(count.removal_order);
    count.removal_order = 0;
  }
  for (; removed.size() > kMaxRemovedClasses; removed.erase(removed.begin()))
    counts.erase(removed.begin()->second);
  return counts;
}

void AppendMetrics(const Metrics& metrics, const WriteMetric& write) {
  for (const auto& [name, count] : metrics.classes) {
    write("ok." + name, count.ok);
    write("shed." + name, count.shed);
    write("errors." + name, count.errors);
  }
  auto write_each = [&](const std::string& prefix, const auto& counts) {
    counts.ForEach([&](const char* name, uint64_t count) { write(prefix + "." + name, count); });
  };
  write_each("attempts", metrics.attempts);
  write_each("ended", metrics.ended);
  write_each("retried", metrics.retried);
  write_each("refused", metrics.refused);
  write_each("held_back", metrics.held_back);
  write_each("closed", metrics.closed);
  for (size_t i = 0; i < static_cast<size_t>(Invariant::kCount); ++i) {
    auto invariant = static_cast<Invariant>(i);
    write(std::string("violations.") + Name(invariant), metrics.invariants.violations(invariant));
  }
  write("repeats_refused", metrics.repeats_refused);
  write("clock_steps", metrics.clock_steps);
  write("tries", metrics.requests_written);
}

}  // namespace lemonchute::net
