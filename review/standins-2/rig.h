// Stand-ins for the cases of the second review: discovery, counter, backends and clients on loopback
// addresses, and a gateway that is started with the `run` command of the deploy file. Only the C++ and POSIX
// libraries are needed.
#ifndef LEMONCHUTE_REVIEW_STANDINS_2_RIG_H_
#define LEMONCHUTE_REVIEW_STANDINS_2_RIG_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

enum Exit { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Writes lines with the time in seconds since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    va_list arguments;
    va_start(arguments, format);
    std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%9.4f ", Now());
      std::vfprintf(file_, format, arguments);
      std::fputc('\n', file_);
      std::fflush(file_);
    }
    va_end(arguments);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A free port, for the gateway to listen on.
inline int FreePort() {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  int port = PortOf(fd);
  close(fd);
  return port;
}

// One TCP connection; all calls end at a deadline.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  Connection(Connection&& other) noexcept
      : unread(std::move(other.unread)), fd_(std::exchange(other.fd_, -1)) {}
  Connection& operator=(Connection&& other) noexcept {
    Close();
    unread = std::move(other.unread);
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Connection() { Close(); }

  static Connection To(int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      fd = -1;
    }
    return Connection(fd);
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  // Returns whether all bytes were taken by the kernel before `until`.
  bool Write(const std::string& text, double until = 1e9) {
    for (size_t sent = 0; sent < text.size();) {
      if (!Wait(POLLOUT, until)) return false;
      ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN && errno != EINTR) return false;
      if (n > 0) sent += static_cast<size_t>(n);
    }
    return true;
  }
  // 1: bytes were added to `unread`; 0: the connection has ended; -1: nothing came before `until`.
  int ReadMore(double until = 1e9) {
    if (!Wait(POLLIN, until)) return -1;
    char part[65536];
    ssize_t n = recv(fd_, part, sizeof(part), 0);
    if (n <= 0) return 0;
    unread.append(part, static_cast<size_t>(n));
    return 1;
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  std::string unread;

 private:
  bool Wait(short events, double until) {
    for (;;) {
      double left = until - Now();
      if (left <= 0) return false;
      pollfd waiting{fd_, events, 0};
      int ready = poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1);
      if (ready > 0) return true;
      if (ready < 0 && errno != EINTR) return false;
    }
  }

  int fd_;
};

struct Message {
  std::string head, body;
  bool complete = false;
  std::string Header(const std::string& name) const {
    std::string text = Lower(head), key = "\r\n" + Lower(name) + ":";
    size_t at = text.find(key);
    if (at == std::string::npos) return "";
    at += key.size();
    std::string value = head.substr(at, head.find("\r\n", at) - at);
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    return value;
  }
  std::string StartLine() const { return head.substr(0, head.find("\r\n")); }
  int Status() const { return complete && head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
  static std::string Lower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
  }
};

// Reads one message with a Content-Length or without a body.
// @param ended set if the connection ended first
inline Message ReadMessage(Connection& connection, double until = 1e9, bool* ended = nullptr) {
  Message message;
  auto more = [&] {
    int read = connection.ReadMore(until);
    if (read == 0 && ended != nullptr) *ended = true;
    return read > 0;
  };
  size_t end;
  while ((end = connection.unread.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return message;
  }
  message.head = connection.unread.substr(0, end + 2);
  size_t length = static_cast<size_t>(std::atol(message.Header("Content-Length").c_str()));
  while (connection.unread.size() < end + 4 + length) {
    if (!more()) return message;
  }
  message.body = connection.unread.substr(end + 4, length);
  connection.unread.erase(0, end + 4 + length);
  message.complete = true;
  return message;
}

// Accepts connections and runs `handler` on a thread for each, until the process ends.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit Server(Handler handler) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0)
      std::_Exit(kCouldNotRun);
    port_ = PortOf(fd);
    std::thread([fd, handler = std::move(handler)] {
      for (;;) {
        int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) continue;
        std::thread([peer, handler] {
          Connection connection(peer);
          handler(connection);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  int port_ = 0;
};

struct Endpoint {
  std::string name;
  int port = 0;
};

inline std::string ListJson(const std::vector<Endpoint>& endpoints, bool whole) {
  std::string text =
      std::string("{\"index\":1,\"snapshot\":") + (whole ? "true" : "false") + ",\"endpoints\":[";
  for (size_t i = 0; whole && i < endpoints.size(); ++i) {
    text += std::string(i > 0 ? "," : "") + "{\"name\":\"" + endpoints[i].name +
            "\",\"address\":\"127.0.0.1:" + std::to_string(endpoints[i].port) +
            "\",\"zone\":\"corp-a\",\"type\":\"std-2c\",\"group\":1,\"status\":\"active\",\"weight\":1.0,"
            "\"since_ms\":0}";
  }
  return text + "]}";
}

inline std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The agent of discovery: tells the whole list, and answers each watch at the end of its wait, since nothing
// changes.
inline Server::Handler Discovery(const std::vector<Endpoint>& endpoints) {
  return [endpoints](Connection& connection) {
    for (;;) {
      Message call = ReadMessage(connection);
      if (!call.complete) return;
      std::string line = call.StartLine();
      bool watch = line.find("after=") != std::string::npos;
      size_t wait = line.find("wait_ms=");
      if (watch && wait != std::string::npos)
        Sleep(std::min(60000, std::atoi(line.c_str() + wait + 8)) / 1000.0);
      if (!connection.Write(Ok(ListJson(endpoints, !watch)))) return;
    }
  };
}

// The counter: TALLY adds and tells the total.
inline Server::Handler Counter() {
  return [](Connection& connection) {
    static std::mutex mutex;
    static std::map<std::string, double> totals;
    auto line = [&connection](std::string* text) {
      size_t end;
      while ((end = connection.unread.find("\r\n")) == std::string::npos) {
        if (connection.ReadMore() <= 0) return false;
      }
      *text = connection.unread.substr(0, end);
      connection.unread.erase(0, end + 2);
      return true;
    };
    for (std::string text; line(&text);) {
      std::vector<std::string> words;
      for (int n = std::atoi(text.c_str() + 1); n > 0; --n) {
        std::string size, word;
        if (!line(&size) || !line(&word)) return;
        words.push_back(word);
      }
      if (words.size() != 4) return;
      std::lock_guard lock(mutex);
      char total[64];
      std::snprintf(total, sizeof(total), "%.6f", totals[words[1]] += std::atof(words[2].c_str()));
      if (!connection.Write("$" + std::to_string(std::strlen(total)) + "\r\n" + total + "\r\n")) return;
    }
  };
}

struct Site {
  int sockets = 256, memory_mb = 64;
  std::string effect = "free";  // of the class view-orar
  double deadline_s = 3.0;
};

// One gateway, started with the deploy file's `run` from the repository's root.
class Gateway {
 public:
  // Environment: CASE_ROOT, the root of the repository; CASE_TMP, an empty folder.
  Gateway(const Site& site, const std::vector<Endpoint>& endpoints, int discovery_port, int counter_port)
      : port_(FreePort()) {
    const std::string folder = std::getenv("CASE_TMP"), root = std::getenv("CASE_ROOT");
    const std::string config = folder + "/config.json", state = folder + "/state";
    std::ofstream(config) << Config(site, endpoints, discovery_port, counter_port);
    std::string command = RunCommand(root + "/deploy/balancer.toml");
    if (command.empty()) return;
    std::vector<std::string> set = {"LB_CONFIG=" + config,
                                    "LB_NAME=n0",
                                    "LB_LISTEN=127.0.0.1:" + std::to_string(port_),
                                    "LB_DISCOVERY=127.0.0.1:" + std::to_string(discovery_port),
                                    "TMPDIR=" + state,
                                    "PATH=/usr/bin:/bin"};
    std::vector<char*> environment;
    for (std::string& variable : set) environment.push_back(variable.data());
    environment.push_back(nullptr);
    const std::string log = folder + "/gateway.log";
    pid_ = fork();
    if (pid_ == 0) {
      FILE* ignored = std::freopen(log.c_str(), "w", stderr);
      if (ignored == nullptr || chdir(root.c_str()) != 0) _exit(127);
      execle("/bin/sh", "sh", "-c", command.c_str(), nullptr, environment.data());
      _exit(127);
    }
  }
  ~Gateway() { Stop(); }

  int port() const { return port_; }

  bool WaitUntilReady(double within_s) {
    for (double until = Now() + within_s; Now() < until; Sleep(0.05)) {
      if (!Alive()) return false;
      Connection connection = Connection::To(port_);
      if (!connection.open()) continue;
      connection.Write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
      if (ReadMessage(connection, Now() + 1).Status() == 200) return true;
    }
    return false;
  }
  bool Alive() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
  void Stop() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  static std::string RunCommand(const std::string& deploy_file) {
    std::ifstream in(deploy_file);
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
    }
    return "";
  }

  std::string Config(const Site& site, const std::vector<Endpoint>& endpoints, int discovery_port,
                     int counter_port) const {
    auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::string deadline = std::to_string(site.deadline_s);
    return "{\"name\":\"n0\",\"listen\":" + address(port_) + ",\"discovery\":" + address(discovery_port) +
           ",\"counter\":" + address(counter_port) +
           ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
           std::to_string(site.memory_mb) + ",\"sockets\":" + std::to_string(site.sockets) +
           "},\"known\":" + ListJson(endpoints, true) + R"(,"settings":{"me":0,"peers-total":1,"zone":0,
"zones":["corp-a"],"kinds":["std-2c"],"layers":["orar-view"],"tier":0,"weights":"none","workload":"gate",
"resolution-s":0.004,"discovery":"pushed","client-habits":{"marks-retry":true},
"specifics":{"units-top":6,"may-count":true,"counter-timeout-s":0.03,"counter-price":0.02,"meter-period-s":0.0,
"peer-in-per-s":60.0,"trued-up":true},
"prices":{"cross-zone":0.005,"waste":0.08,"probe":0.01,"peer":0.02,"late-fail":0.03},
"limits":{"cancel":true,"parallel-tries":true,"retry-after":true,"max-retry-after-s":2.0,"try-limit":3,
"conn-idle-s":30.0,"connect-timeout-s":0.25,"max-open":20000,"may-tell":true,"probes":true,"streams-per-conn":32},
"invariants":{"ask-within-s":10.0,"cold-from":0.24,"drain-grace-s":1.0,"grace-to-answer-s":0.016,"tip-after-s":1.5,
"tip-multiple":2.5,"warm-after-s":18.0},
"request-classes":[{"name":"view-orar","aim-s":1.2,"hard-limit-s":)" +
           deadline + R"(,"effect":")" + site.effect + R"(","dedup-scope":"all",
"window-s":5.0,"importance":1.0,"late-share":0.0,"streamed":false}],
"tiers-of-service":[{"name":"extins","units-per-s":600.0,"store-size":3000.0,"never-over-rate":0.0,
"ceiling-burst":0.0,"cap-slack":0.0,"excess-worth":0.0,"over-cost":0.8,"value-factor":1.2,"parallel":0}]}})";
  }

  int port_;
  pid_t pid_ = -1;
};

// The head of a client's request, as the protocol page shows it.
inline std::string RequestHead(const std::string& method, const std::string& id, int timeout_ms,
                               const std::string& more = "") {
  return method + " /view-orar?of=" + id + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
         "\r\nX-Tier: extins\r\nCookie: client=00000000b4d65521\r\nRequest-Timeout-Ms: " +
         std::to_string(timeout_ms) + "\r\n" + more + "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n";
}

inline std::string RequestId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0x5a000000u + static_cast<unsigned>(number));
  return id;
}

}  // namespace rig

#endif  // LEMONCHUTE_REVIEW_STANDINS_2_RIG_H_
