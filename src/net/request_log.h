// A line in the log for each state that a request goes through, by its Request-Id. Off unless
// LEMONCHUTE_TRACE is set: it is for following one request through the gateways that it touched, and too much
// for every day.
#ifndef LEMONCHUTE_NET_REQUEST_LOG_H_
#define LEMONCHUTE_NET_REQUEST_LOG_H_

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace lemonchute::net {

class RequestLog {
 public:
  RequestLog() : on_(std::getenv("LEMONCHUTE_TRACE") != nullptr) {}

  // `state` is one word; `detail` holds key=value pairs. Times are of the monotonic clock, in seconds.
  template <typename... Arguments>
  void Note(const std::string& request, const char* state, const char* detail, Arguments... arguments) const {
    if (!on_) return;
    char text[256];
    std::snprintf(text, sizeof(text), detail, arguments...);
    double now = std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    std::fprintf(stderr, "%.6f request=%s %s %s\n", now, request.c_str(), state, text);
  }

 private:
  const bool on_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_REQUEST_LOG_H_
