// Draws what goes wrong between a gateway process and its own machine: system calls that fail in documented
// ways, short transfers, a process that is held up, a wall clock that is stepped. The rules are those of the
// preloaded library lab/shim/system_call_faults.cpp.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_SYSTEM_FAULTS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_SYSTEM_FAULTS_H_

#include <cstdint>
#include <string>

namespace lemonchute::lab {

struct SystemFaultsWish {
  uint64_t seed = 0;  // of the day
  int gateway = 0;
  int launch = 0;        // which process of that gateway
  double length_s = 0;   // of the day
  double started_s = 0;  // this process, since the day's start
};

// The value of LEMONCHUTE_FAULTS for one process. The wall clock's step is the whole machine's: every process
// of a day has it at the same moment of the day.
std::string DrawSystemFaults(const SystemFaultsWish& wish);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_SYSTEM_FAULTS_H_
