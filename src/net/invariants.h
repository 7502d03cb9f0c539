// Run-time checks of the rules that a gateway may never break. A violation is counted for the operators' door
// and told in the log with the ids by which it can be followed; nothing else comes of it.
#ifndef LEMONCHUTE_NET_INVARIANTS_H_
#define LEMONCHUTE_NET_INVARIANTS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lemonchute::net {

enum class Invariant {
  kAnsweredBeforeClose,  // a request that was read is not left without its final answer by a close of this
                         // side
  kAnsweredInTime,       // the final answer is decided at most half a second after the request's time
  kSentInTime,           // an attempt's first byte goes out by its time, its window and its backend's grace
  kTimeTold,             // an attempt tells at most what is left, with the slack of the protocol
  kSafeRepeat,           // what may have run and may not run twice is not decided to go out again
  kReadyInTime,          // a process takes clients within 10 s of its start
  kCount,
};
const char* Name(Invariant invariant);

class Invariants {
 public:
  // `what` names the request, connection, attempt and backend.
  void Violated(Invariant invariant, const std::string& what);
  uint64_t violations(Invariant invariant) const { return violations_[static_cast<size_t>(invariant)]; }

 private:
  bool MayLog();

  std::array<uint64_t, static_cast<size_t>(Invariant::kCount)> violations_{};
  std::chrono::steady_clock::time_point logged_from_{};
  int logged_ = 0;  // lines since then
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_INVARIANTS_H_
