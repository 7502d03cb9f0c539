#include "play/real/system_faults.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "model/random.h"

namespace lemonchute::lab {
namespace {

constexpr int kMostRules = 4;
constexpr double kLongestS = 6;        // of one rule
constexpr double kQuietAtTheEndS = 6;  // as with the other drawn faults, so that what is owed can still come

// A call that may fail, and the largest share of calls that does while the rule holds.
struct Template {
  const char* call;
  double most;
};
constexpr Template kTemplates[] = {
    {"send.short", 0.5},
    {"recv.short", 0.5},
    {"send.EINTR", 0.2},
    {"recv.EINTR", 0.2},
    {"accept.ECONNABORTED", 0.6},
    {"accept.ENFILE", 0.9},
    {"accept.EINTR", 0.5},
    {"socket.ENFILE", 0.8},
    {"socket.ENOBUFS", 0.8},
    {"connect.EADDRNOTAVAIL", 0.8},
    {"connect.ENETUNREACH", 0.6},
    {"connect.EINTR", 0.3},
    {"connect.ETIMEDOUT", 0.4},
    {"recv-out.ETIMEDOUT", 0.02},
    {"recv-out.EHOSTUNREACH", 0.02},
    {"send-out.ETIMEDOUT", 0.02},
    {"send.hold", 0.01},
    {"recv.hold", 0.01},
    {"fsync.EIO", 0.9},
    {"write.ENOSPC", 0.9},
    {"open-read.EIO", 0.5},
    {"open-write.ENOSPC", 0.9},
    {"rename.EIO", 0.9},
};
// Seconds by which the wall clock is stepped, once on every second day.
constexpr double kSteps[] = {-3600, -30, -5, 5, 30, 3600};

std::string Written(const char* rule, double value, double from_s, double to_s) {
  char text[96];
  std::snprintf(text, sizeof(text), ";%s=%.3f@%.2f-%.2f", rule, value, from_s, to_s);
  return text;
}

}  // namespace

std::string DrawSystemFaults(const SystemFaultsWish& wish) {
  std::string rules = "seed=" + std::to_string(wish.seed * 1000 + static_cast<uint64_t>(wish.gateway));
  Random day(wish.seed, Stream::kFaults, 2);
  bool steps = day.Chance(0.5);
  double step_s = kSteps[day.UniformInt(static_cast<int>(std::size(kSteps)))];
  double step_at_s = day.Uniform(2, std::max(2.0, wish.length_s - kQuietAtTheEndS)) - wish.started_s;
  if (steps) rules += Written("clock.step", step_s, std::max(0.0, step_at_s), 1e6);
  auto part = static_cast<uint64_t>(100 + wish.gateway * 64 + wish.launch);
  Random own(wish.seed, Stream::kFaults, part);
  double last_s = wish.length_s - kQuietAtTheEndS - wish.started_s;
  for (int left = own.UniformInt(kMostRules + 1); left > 0 && last_s > 0; --left) {
    const Template& drawn = kTemplates[own.UniformInt(static_cast<int>(std::size(kTemplates)))];
    double from_s = own.Chance(0.25) ? 0 : own.Uniform(0, last_s);  // often from the very start
    double to_s = std::min(last_s, from_s + own.Uniform(0.2, kLongestS));
    rules += Written(drawn.call, own.Uniform(drawn.most / 10, drawn.most), from_s, to_s);
  }
  return rules;
}

}  // namespace lemonchute::lab
