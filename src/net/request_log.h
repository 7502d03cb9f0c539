// Trace log of individual requests.
#ifndef LEMONCHUTE_NET_REQUEST_LOG_H_
#define LEMONCHUTE_NET_REQUEST_LOG_H_

#include <time.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lemonchute::net {

/// Logs one line for each state of each request, with its Request-Id. Off unless LEMONCHUTE_TRACE is set,
/// since the volume is too high for regular operation.
class RequestLog {
 public:
  RequestLog() : enabled_(std::getenv("LEMONCHUTE_TRACE") != nullptr) {}

  /// The line begins with the monotonic time and the CPU time of this process, both in seconds: where only
  /// the former advances, the process waited for the CPU or for events.
  /// @param request the Request-Id
  /// @param state one word
  /// @param detail key=value pairs as a printf format for `arguments`
  template <typename... Arguments>
  void Log(const std::string& request, const char* state, const char* detail, Arguments... arguments) const {
    if (!enabled_) return;
    char text[256];
    std::snprintf(text, sizeof(text), detail, arguments...);
    double now = std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    std::fprintf(stderr, "%.6f cpu_s=%.6f request=%s %s %s\n", now, ProcessorTimeS(), request.c_str(), state,
                 text);
  }

 private:
  static double ProcessorTimeS() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
  }

  const bool enabled_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_REQUEST_LOG_H_
