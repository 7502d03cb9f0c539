// A library for LD_PRELOAD that makes system calls of one process fail in documented ways. What fails, and
// when, is read from LEMONCHUTE_FAULTS. Without that variable every call goes through untouched.
//
//   seed=7;send.short=0.05;accept.ECONNABORTED=#2;fsync.EIO=1@5-8;clock.step=3600@4;send.hold=#3
//
// Each rule is CALL.KIND=WHEN[@FROM-TO]: WHEN is a probability or #N[-M], the numbers of the calls counted
// from 1; FROM and TO are seconds since the start of the process. A failure never changes what the kernel
// would have done, but for those that end a connection (ETIMEDOUT, EHOSTUNREACH, ECONNRESET on send and
// recv): there the real one is reset too.
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr long kHoldNs = 150'000'000;  // how long a held-up process stands still
constexpr size_t kLongestShortTransfer = 7;

enum class Effect { kError, kShort, kHold, kStep, kRaise, kKill };

struct Rule {
  std::string call;
  Effect effect = Effect::kError;
  int error = 0;
  double probability = 0;
  uint64_t first_call = 0, last_call = 0;  // 0: by probability
  double from_s = 0, to_s = 1e18;
  double step_s = 0;
  uint64_t calls = 0;
};

struct NamedError {
  const char* name;
  int number;
};
constexpr NamedError kErrors[] = {
    {"ECONNABORTED", ECONNABORTED},
    {"ENFILE", ENFILE},
    {"EMFILE", EMFILE},
    {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"EADDRINUSE", EADDRINUSE},
    {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH},
    {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNRESET", ECONNRESET},
    {"ECONNREFUSED", ECONNREFUSED},
    {"EINTR", EINTR},
    {"EPROTO", EPROTO},
    {"ENOSPC", ENOSPC},
    {"EIO", EIO},
    {"EPERM", EPERM},
};

template <typename Function>
Function Next(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

double RealSeconds(clockid_t clock) {
  static const auto next = Next<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  next(clock, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

class Faults {
 public:
  static Faults& Get() {
    static Faults faults;
    return faults;
  }

  // The rule that applies to this call of `name`, if any.
  const Rule* Hit(std::string_view name) {
    const Rule* hit = nullptr;
    for (Rule& rule : rules_) {
      if (rule.call != name || rule.effect == Effect::kStep) continue;
      double at = RealSeconds(CLOCK_MONOTONIC) - start_s_;
      if (at < rule.from_s || at >= rule.to_s) continue;
      ++rule.calls;
      bool numbered = rule.first_call > 0;
      bool applies = numbered ? rule.calls >= rule.first_call && rule.calls <= rule.last_call
                              : Random() < rule.probability;
      if (applies && hit == nullptr) hit = &rule;
    }
    return hit;
  }

  double ClockStep() const {
    double step = 0;
    for (const Rule& rule : rules_) {
      if (rule.effect == Effect::kStep && RealSeconds(CLOCK_MONOTONIC) - start_s_ >= rule.from_s)
        step += rule.step_s;
    }
    return step;
  }

  uint64_t Below(uint64_t limit) { return static_cast<uint64_t>(Random() * static_cast<double>(limit)); }

 private:
  Faults() : start_s_(RealSeconds(CLOCK_MONOTONIC)) {
    const char* text = std::getenv("LEMONCHUTE_FAULTS");
    if (text == nullptr) return;
    std::string_view rest = text;
    while (!rest.empty()) {
      size_t end = std::min(rest.find(';'), rest.size());
      Add(std::string(rest.substr(0, end)));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }

  void Add(const std::string& text) {
    size_t equals = text.find('='), dot = text.find('.');
    if (equals == std::string::npos) return Refuse(text);
    if (text.substr(0, equals) == "seed") {
      state_ = std::strtoull(text.c_str() + equals + 1, nullptr, 10) * 0x9e3779b97f4a7c15ULL + 1;
      return;
    }
    if (dot == std::string::npos || dot > equals) return Refuse(text);
    Rule rule;
    rule.call = text.substr(0, dot);
    std::string kind = text.substr(dot + 1, equals - dot - 1), when = text.substr(equals + 1);
    if (size_t at = when.find('@'); at != std::string::npos) {
      char* after = nullptr;
      rule.from_s = std::strtod(when.c_str() + at + 1, &after);
      if (*after == '-') rule.to_s = std::strtod(after + 1, nullptr);
      when.resize(at);
    }
    if (!SetEffect(&rule, kind)) return Refuse(text);
    if (rule.effect == Effect::kStep) {
      rule.step_s = std::strtod(when.c_str(), nullptr);
    } else if (when.rfind('#', 0) == 0) {
      char* after = nullptr;
      rule.first_call = rule.last_call = std::strtoull(when.c_str() + 1, &after, 10);
      if (*after == '-') rule.last_call = std::strtoull(after + 1, nullptr, 10);
    } else {
      rule.probability = std::strtod(when.c_str(), nullptr);
    }
    rules_.push_back(rule);
  }

  static bool SetEffect(Rule* rule, const std::string& kind) {
    if (kind == "short") return rule->effect = Effect::kShort, true;
    if (kind == "hold") return rule->effect = Effect::kHold, true;
    if (kind == "step") return rule->effect = Effect::kStep, true;
    if (kind == "kill") return rule->effect = Effect::kKill, true;
    if (kind == "raise-hup") return rule->effect = Effect::kRaise, rule->error = SIGHUP, true;
    for (const NamedError& error : kErrors) {
      if (kind == error.name) return rule->error = error.number, true;
    }
    return false;
  }

  static void Refuse(const std::string& text) {
    std::fprintf(stderr, "system call faults: no such rule: %s\n", text.c_str());
    std::abort();
  }

  double Random() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(state_ >> 11) * 0x1.0p-53;
  }

  const double start_s_;
  uint64_t state_ = 1;
  std::vector<Rule> rules_;
};

void Hold() {
  timespec left{0, kHoldNs};
  while (nanosleep(&left, &left) != 0) {
  }
}

// Disconnecting a TCP socket resets it, as the kernel does with one that has timed out.
void ResetConnection(int fd) {
  static const auto next = Next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  next(fd, &none, sizeof(none));
}

bool EndsConnection(int error) { return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET; }

bool IsTcp(int fd) {
  int type = 0;
  socklen_t size = sizeof(type);
  return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

bool kill_after_write = false;

// Descriptors on which this process has called connect: rules for `send-out` and `recv-out` are for these
// alone.
constexpr int kMostDescriptors = 4096;
bool outgoing[kMostDescriptors];

bool IsOutgoing(int fd) { return fd >= 0 && fd < kMostDescriptors && outgoing[fd]; }
void SetOutgoing(int fd, bool is) {
  if (fd >= 0 && fd < kMostDescriptors) outgoing[fd] = is;
}

// Applies the rules for one call. True: it fails with errno set. `bytes`, where given, may be cut.
bool Fails(std::string_view call, int fd = -1, size_t* bytes = nullptr) {
  Faults& faults = Faults::Get();
  const Rule* rule = faults.Hit(call);
  if (rule == nullptr) return false;
  switch (rule->effect) {
    case Effect::kError:
      if (bytes != nullptr && fd >= 0 && EndsConnection(rule->error)) ResetConnection(fd);
      errno = rule->error;
      return true;
    case Effect::kShort:
      if (bytes != nullptr && *bytes > 1)
        *bytes = 1 + faults.Below(std::min(*bytes - 1, kLongestShortTransfer));
      return false;
    case Effect::kHold: Hold(); return false;
    case Effect::kRaise: raise(rule->error); return false;
    case Effect::kKill:
      if (bytes == nullptr) kill(getpid(), SIGKILL);
      if (bytes != nullptr) *bytes /= 2;  // the caller ends the process once that part is written
      kill_after_write = true;
      return false;
    case Effect::kStep: return false;
  }
  return false;
}

// The same for a transfer, which has rules of its own where this process has made the connection.
bool TransferFails(std::string_view call, std::string_view outgoing_call, int fd, size_t* bytes) {
  return Fails(call, fd, bytes) || (IsOutgoing(fd) && Fails(outgoing_call, fd, bytes));
}

size_t Total(const msghdr* message) {
  size_t total = 0;
  for (size_t i = 0; i < message->msg_iovlen; ++i) total += message->msg_iov[i].iov_len;
  return total;
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* address, socklen_t* size) {
  static const auto next = Next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (Fails("accept")) return -1;
  int accepted = next(fd, address, size);
  SetOutgoing(accepted, false);
  return accepted;
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = Next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (Fails("accept")) return -1;
  int accepted = next(fd, address, size, flags);
  SetOutgoing(accepted, false);
  return accepted;
}

int socket(int domain, int type, int protocol) {
  static const auto next = Next<int (*)(int, int, int)>("socket");
  return Fails("socket") ? -1 : next(domain, type, protocol);
}

int bind(int fd, const sockaddr* address, socklen_t size) {
  static const auto next = Next<int (*)(int, const sockaddr*, socklen_t)>("bind");
  return Fails("bind") ? -1 : next(fd, address, size);
}

int listen(int fd, int backlog) {
  static const auto next = Next<int (*)(int, int)>("listen");
  return Fails("listen") ? -1 : next(fd, backlog);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto next = Next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  SetOutgoing(fd, true);
  return Fails("connect") ? -1 : next(fd, address, size);
}

ssize_t send(int fd, const void* data, size_t bytes, int flags) {
  static const auto next = Next<ssize_t (*)(int, const void*, size_t, int)>("send");
  if (TransferFails("send", "send-out", fd, &bytes)) return -1;
  return next(fd, data, bytes, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto next = Next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (!IsTcp(fd)) return next(fd, message, flags);
  size_t total = Total(message), bytes = total;
  if (TransferFails("send", "send-out", fd, &bytes)) return -1;
  if (bytes == total || message->msg_iovlen == 0) return next(fd, message, flags);
  return send(fd, message->msg_iov[0].iov_base, std::min(bytes, message->msg_iov[0].iov_len), flags);
}

ssize_t recv(int fd, void* data, size_t bytes, int flags) {
  static const auto next = Next<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (TransferFails("recv", "recv-out", fd, &bytes)) return -1;
  return next(fd, data, bytes, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto next = Next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  if (!IsTcp(fd) || message->msg_iovlen == 0) return next(fd, message, flags);
  size_t bytes = message->msg_iov[0].iov_len;
  if (TransferFails("recv", "recv-out", fd, &bytes)) return -1;
  if (bytes == message->msg_iov[0].iov_len) return next(fd, message, flags);
  static const auto plain = Next<ssize_t (*)(int, void*, size_t, int)>("recv");
  return plain(fd, message->msg_iov[0].iov_base, bytes, flags);
}

int open(const char* path, int flags, ...) {
  static const auto next = Next<int (*)(const char*, int, ...)>("open");
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if (Fails((flags & O_ACCMODE) == O_RDONLY ? "open-read" : "open-write")) return -1;
  return next(path, flags, mode);
}

// libstdc++ opens its file streams by these.
FILE* fopen(const char* path, const char* mode) {
  static const auto next = Next<FILE* (*)(const char*, const char*)>("fopen");
  return Fails(mode[0] == 'r' ? "open-read" : "open-write") ? nullptr : next(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto next = Next<FILE* (*)(const char*, const char*)>("fopen64");
  return Fails(mode[0] == 'r' ? "open-read" : "open-write") ? nullptr : next(path, mode);
}

ssize_t read(int fd, void* data, size_t bytes) {
  static const auto next = Next<ssize_t (*)(int, void*, size_t)>("read");
  return Fails("read") ? -1 : next(fd, data, bytes);
}

ssize_t write(int fd, const void* data, size_t bytes) {
  static const auto next = Next<ssize_t (*)(int, const void*, size_t)>("write");
  if (fd <= STDERR_FILENO) return next(fd, data, bytes);
  if (Fails("write", -1, &bytes)) return -1;
  ssize_t written = next(fd, data, bytes);
  if (kill_after_write) kill(getpid(), SIGKILL);
  return written;
}

ssize_t writev(int fd, const iovec* parts, int count) {
  static const auto next = Next<ssize_t (*)(int, const iovec*, int)>("writev");
  if (fd <= STDERR_FILENO) return next(fd, parts, count);
  return Fails("write") ? -1 : next(fd, parts, count);
}

int fsync(int fd) {
  static const auto next = Next<int (*)(int)>("fsync");
  return Fails("fsync") ? -1 : next(fd);
}

int rename(const char* from, const char* to) {
  static const auto next = Next<int (*)(const char*, const char*)>("rename");
  return Fails("rename") ? -1 : next(from, to);
}

int clock_gettime(clockid_t clock, timespec* now) {
  static const auto next = Next<int (*)(clockid_t, timespec*)>("clock_gettime");
  int result = next(clock, now);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  now->tv_sec += static_cast<time_t>(Faults::Get().ClockStep());
  return result;
}

int gettimeofday(timeval* now, void* zone) {
  static const auto next = Next<int (*)(timeval*, void*)>("gettimeofday");
  int result = next(now, zone);
  if (result == 0) now->tv_sec += static_cast<time_t>(Faults::Get().ClockStep());
  return result;
}

}  // extern "C"
