// Test support for tests over real sockets: a gateway process and its peers, on ephemeral loopback ports.
// Everything waits for events, with timeouts far above the time that any event takes.
#ifndef LEMONCHUTE_TESTS_GATEWAY_RIG_H_
#define LEMONCHUTE_TESTS_GATEWAY_RIG_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
inline constexpr int kEventTimeoutS = 60;  // an event that has not occurred by then counts as missing

inline int MakeLoopbackSocket(sockaddr_in* address, int port) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address->sin_port = htons(static_cast<uint16_t>(port));
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

// A listening socket on a loopback port that was chosen by the kernel.
struct ListeningSocket {
  int fd = -1;
  int port = 0;
};

inline ListeningSocket ListenOnLoopback(int backlog) {
  sockaddr_in address;
  ListeningSocket listening;
  listening.fd = MakeLoopbackSocket(&address, 0);
  EXPECT_EQ(bind(listening.fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  EXPECT_EQ(listen(listening.fd, backlog), 0);
  socklen_t size = sizeof(address);
  getsockname(listening.fd, reinterpret_cast<sockaddr*>(&address), &size);
  listening.port = ntohs(address.sin_port);
  return listening;
}

// A parsed HTTP message. `head` holds the start line and the header lines.
struct Message {
  std::string head, body;
  bool complete = false;
  std::string Header(const std::string& name) const {
    std::string lower_head = ToLower(head), prefix = "\r\n" + ToLower(name) + ": ";
    size_t position = lower_head.find(prefix);
    if (position == std::string::npos) return "";
    position += prefix.size();
    return head.substr(position, head.find("\r\n", position) - position);
  }
  static std::string ToLower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
  }
  int status() const { return complete && head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
};

// A blocking TCP connection, for clients and for servers.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    timeval limit{kEventTimeoutS, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  static std::unique_ptr<Connection> ConnectTo(int port) {
    sockaddr_in address;
    int fd = MakeLoopbackSocket(&address, port);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0) << std::strerror(errno);
    return std::make_unique<Connection>(fd);
  }
  void Write(const std::string& text) { (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Reads more bytes into `unread`. Returns false at the end of the connection.
  bool ReadMore() {
    char part[65536];
    ssize_t n = recv(fd_, part, sizeof(part), 0);
    if (n > 0) unread.append(part, static_cast<size_t>(n));
    return n > 0;
  }
  // Reads and drops at most `max` bytes. Returns their number; 0 at the end of the connection.
  size_t Discard(size_t max) {
    char part[65536];
    ssize_t n = recv(fd_, part, std::min(max, sizeof(part)), 0);
    return n > 0 ? static_cast<size_t>(n) : 0;
  }
  Message Read() {
    Message message;
    size_t end;
    while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore()) return message;
    }
    message.head = unread.substr(0, end + 2);
    size_t length = static_cast<size_t>(std::atol(message.Header("Content-Length").c_str()));
    while (unread.size() < end + 4 + length) {
      if (!ReadMore()) return message;
    }
    message.body = unread.substr(end + 4, length);
    unread.erase(0, end + 4 + length);
    message.complete = true;
    return message;
  }
  // Reads until `text` has arrived, then removes and returns everything up to its end. Empty if the
  // connection ends first.
  std::string ReadUntil(const std::string& text) {
    size_t position;
    while ((position = unread.find(text)) == std::string::npos) {
      if (!ReadMore()) return "";
    }
    std::string text_read = unread.substr(0, position + text.size());
    unread.erase(0, position + text.size());
    return text_read;
  }
  bool ReadUntil(size_t bytes) {
    while (unread.size() < bytes) {
      if (!ReadMore()) return false;
    }
    return true;
  }
  // Waits until the peer closes the connection. Returns false if data arrives first.
  bool WaitForClose() { return !ReadMore(); }
  bool IsOpen() const {
    char byte;
    ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && errno == EAGAIN);
  }
  // The pending socket error: ECONNRESET if the peer has reset the connection.
  int SocketError() const {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  // Waits until the peer's kernel has acknowledged everything that was written.
  bool WaitUntilDelivered() const {
    for (int i = 0, unacknowledged = 1; i < kEventTimeoutS * 1000; ++i) {
      if (ioctl(fd_, SIOCOUTQ, &unacknowledged) != 0) return false;
      if (unacknowledged == 0) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  std::string unread;

 private:
  int fd_;
};

// A server that runs `handler` on a thread per connection.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)), listening_(ListenOnLoopback(kBacklog)) {
    accept_thread_ = std::thread([this] {
      for (;;) {
        int fd = accept(listening_.fd, nullptr, nullptr);
        if (fd < 0) return;
        std::lock_guard lock(mutex_);
        if (stopping_) return void(close(fd));
        ++connections;
        open_connections_.push_back(std::make_unique<Connection>(fd));
        threads_.emplace_back([this, connection = open_connections_.back().get()] {
          handler_(*connection);
          connection->Shutdown();
        });
      }
    });
  }
  ~Server() { Stop(); }
  void Stop() {
    if (listening_.fd < 0) return;
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
      for (auto& connection : open_connections_) connection->Shutdown();
    }
    shutdown(listening_.fd, SHUT_RDWR);
    accept_thread_.join();
    for (auto& thread : threads_) thread.join();
    close(listening_.fd);
    listening_.fd = -1;
  }
  int port() const { return listening_.port; }
  std::atomic<int> connections{0};

 private:
  static constexpr int kBacklog = 256;
  Handler handler_;
  ListeningSocket listening_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<std::unique_ptr<Connection>> open_connections_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

// A listener whose accept queue is full, so that connects stay pending and are repeated by the kernel until
// Unblock is called.
class BlockedListener {
 public:
  BlockedListener() : filler_(Connection::ConnectTo(listening_.port)) {}
  ~BlockedListener() { close(listening_.fd); }
  int port() const { return listening_.port; }
  void Unblock() {
    Connection filler(accept(listening_.fd, nullptr, nullptr));
    filler_->Close();
  }
  std::unique_ptr<Connection> Accept() {
    return std::make_unique<Connection>(accept(listening_.fd, nullptr, nullptr));
  }
  // All bytes received on the pending connections. Complete once the peer process has ended.
  std::string ReceivedBytes() {
    std::string bytes;
    pollfd queue{listening_.fd, POLLIN, 0};
    while (poll(&queue, 1, 0) > 0) {
      Connection connection(accept(listening_.fd, nullptr, nullptr));
      while (connection.ReadMore()) {
      }
      bytes += connection.unread;
    }
    return bytes;
  }

 private:
  ListeningSocket listening_ = ListenOnLoopback(/*backlog=*/0);
  std::unique_ptr<Connection> filler_;
};

// A thread-safe counter that tests can wait for.
class Event {
 public:
  void Notify() {
    std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }
  bool Wait(int at_least = 1) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(kEventTimeoutS), [&] { return count_ >= at_least; });
  }
  int count() {
    std::lock_guard lock(mutex_);
    return count_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int count_ = 0;
};

inline std::string OkResponse(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A backend that records requests and responds with `handler(request, connection)`. An empty response closes
// the connection.
class Backend {
 public:
  using Handler = std::function<std::string(const Message&, Connection&)>;
  explicit Backend(Handler handler)
      : server_([this, handler = std::move(handler)](Connection& connection) {
          for (;;) {
            Message request = connection.Read();
            if (!request.complete) return;
            {
              std::lock_guard lock(mutex_);
              requests_.push_back(request);
            }
            requests.Notify();
            std::string response = handler(request, connection);
            if (response.empty()) return;
            connection.Write(response);
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  Message request(size_t i) {
    std::lock_guard lock(mutex_);
    return requests_.at(i);
  }
  Event requests;

 private:
  std::mutex mutex_;
  std::vector<Message> requests_;
  Server server_;
};

// One entry of an endpoint list from discovery.
inline json EndpointEntry(const std::string& name, int port, const std::string& status = "active") {
  return {{"name", name},  {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "a"},   {"type", "std"},
          {"group", 0},    {"status", status},
          {"weight", 1.0}, {"since_ms", 0}};
}

// A discovery agent: sends the full endpoint list first and then responds to watches.
class Discovery {
 public:
  Discovery()
      : server_([this](Connection& connection) {
          for (bool full_list_sent = false;;) {
            Message request = connection.Read();
            if (!request.complete) return;
            size_t position = request.head.find("after=");
            if (full_list_sent) full_lists_applied.Notify();
            full_list_sent = position == std::string::npos;
            long after = position == std::string::npos ? -1 : std::atol(request.head.c_str() + position + 6);
            std::unique_lock lock(mutex_);
            if (after >= 0) watches_[after].Notify();
            position = request.head.find("wait_ms=");
            auto deadline = std::chrono::steady_clock::now() +
                            std::chrono::milliseconds(position == std::string::npos
                                                          ? 0
                                                          : std::atol(request.head.c_str() + position + 8));
            changed_.wait_until(lock, deadline, [&] { return stopping_ || (!silent_ && index_ > after); });
            changed_.wait(lock, [&] { return stopping_ || !silent_; });
            if (stopping_) return;
            bool changed = index_ > after;
            std::string text = json{{"index", index_},
                                    {"snapshot", changed && (snapshot_ || after < 0)},
                                    {"endpoints", !changed    ? json::array()
                                                  : after < 0 ? full_list_
                                                              : entries_}}
                                   .dump();
            if (!malformed_body_.empty()) text = std::exchange(malformed_body_, "");
            connection.Write(OkResponse(text));
          }
        }) {}
  ~Discovery() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
      changed_.notify_all();
    }
    server_.Stop();
  }
  void SetList(json entries, bool snapshot = true, json full_list = {}, std::string malformed_body = "") {
    std::lock_guard lock(mutex_);
    full_list_ = snapshot ? entries : full_list;
    entries_ = std::move(entries);
    snapshot_ = snapshot;
    malformed_body_ = std::move(malformed_body);
    ++index_;
    changed_.notify_all();
  }
  void SetSilent(bool silent) {
    std::lock_guard lock(mutex_);
    silent_ = silent;
    changed_.notify_all();
  }
  // Waits until the gateway has applied the list that was set last, as its next watch shows.
  bool AwaitListApplied() {
    std::unique_lock lock(mutex_);
    Event& event = watches_[index_];
    lock.unlock();
    return event.Wait();
  }
  int port() const { return server_.port(); }
  Event full_lists_applied;  // full lists that a gateway has applied, as its next watch shows

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false, silent_ = false, snapshot_ = true;
  long index_ = 0;
  json entries_ = json::array(), full_list_ = json::array();
  std::string malformed_body_;
  std::map<long, Event> watches_;
  Server server_;
};

// A temporary folder for the stored files of a gateway, removed at the end of the test.
class TempFolder {
 public:
  TempFolder() {
    char path[] = "/tmp/lemonchute-folder-XXXXXX";
    EXPECT_NE(mkdtemp(path), nullptr);
    path_ = path;
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline json DefaultSettings() {
  auto request_class = [](const char* name, const char* effect, double aim_s, double hard_limit_s) {
    return json{{"name", name},     {"effect", effect},  {"aim-s", aim_s},    {"hard-limit-s", hard_limit_s},
                {"window-s", 3.0},  {"importance", 1.0}, {"late-share", 0.0}, {"dedup-scope", "all"},
                {"streamed", false}};
  };
  auto plan = [](const char* name, double units_per_s, double store_size, int parallel) {
    return json{{"name", name},           {"units-per-s", units_per_s}, {"store-size", store_size},
                {"never-over-rate", 0.0}, {"ceiling-burst", 0.0},       {"cap-slack", 0.0},
                {"excess-worth", 0.0},    {"over-cost", 0.8},           {"value-factor", 1.0},
                {"parallel", parallel}};
  };
  return {{"me", 0},
          {"peers-total", 2},
          {"zone", 0},
          {"zones", {"a", "b"}},
          {"kinds", {"std", "slow"}},
          {"resolution-s", 0.002},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", 8}, {"may-count", true}, {"counter-timeout-s", 0.03}, {"counter-price", 0.005}}},
          {"prices", {{"cross-zone", 0.02}}},
          {"limits",
           {{"cancel", true},
            {"parallel-tries", false},
            {"retry-after", true},
            {"max-retry-after-s", 2.0},
            {"try-limit", 6},
            {"conn-idle-s", 30.0},
            {"connect-timeout-s", 0.25}}},
          {"invariants",
           {{"cold-from", 0.18},
            {"warm-after-s", 17.0},
            {"tip-multiple", 2.0},
            {"tip-after-s", 1.0},
            {"ask-within-s", 10.0},
            {"drain-grace-s", 0.5}}},
          {"request-classes",
           {request_class("quote", "free", 1.2, 3.0), request_class("save-scenario", "guarded", 0.4, 1.5),
            request_class("send-lead", "single_shot", 0.8, 2.5)}},
          {"tiers-of-service", {plan("business", 12, 32, 0), plan("small", 1, 2, 0)}}};
}

inline json DefaultConfig(int discovery_port, int counter_port, json known_endpoints = {}) {
  auto loopback_address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  return {{"name", "n0"},
          {"listen", loopback_address(0)},
          {"discovery", loopback_address(discovery_port)},
          {"counter", loopback_address(counter_port)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known",
           {{"index", 0},
            {"snapshot", true},
            {"endpoints", known_endpoints.is_array() ? known_endpoints : json::array()}}},
          {"settings", DefaultSettings()}};
}

// A gateway process. `environment` is set for this process only.
class GatewayProcess {
 public:
  using Environment = std::map<std::string, std::string>;
  explicit GatewayProcess(const json& config, const char* program = LEMONCHUTE_GATEWAY,
                          rlim_t descriptors = 0, const Environment& environment = {}, int passed_socket = -1)
      : GatewayProcess(config.dump(), program, descriptors, environment, passed_socket) {}
  // `passed_socket`: a listening socket that the process inherits as descriptor 4.
  GatewayProcess(const std::string& config, const char* program, rlim_t descriptors,
                 const Environment& environment = {}, int passed_socket = -1) {
    char path[] = "/tmp/lemonchute-test-XXXXXX";
    int file = mkstemp(path);
    EXPECT_GE(file, 0);
    path_ = path;
    EXPECT_EQ(write(file, config.data(), config.size()), static_cast<ssize_t>(config.size()));
    close(file);
    int pipe_fds[2];
    EXPECT_EQ(pipe(pipe_fds), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_fds[1], 2);
      if (passed_socket >= 0) dup2(passed_socket, 4);
      for (int fd = 3; fd < 1024; ++fd) {
        if (fd != 4 || passed_socket < 0) close(fd);
      }
      if (passed_socket >= 0) setenv("LB_PASSED_SOCKET", "4", 1);
      setenv("LB_CONFIG", path, 1);
      unsetenv("TMPDIR");
      for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
      rlimit limit{descriptors, descriptors};
      if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execl(program, program, static_cast<char*>(nullptr));
      _exit(127);
    }
    close(pipe_fds[1]);
    log_fd_ = pipe_fds[0];
    // Reads the log up to a line with `prefix` and returns the port at its end; 0 if the log ends first.
    auto await_port = [&](const char* prefix) {
      for (;;) {
        char c = 0;
        std::string next;
        while (read(log_fd_, &c, 1) == 1 && c != '\n') next += c;
        if (next.empty() && c != '\n') return 0;
        if (!listen_line.empty()) early_log += listen_line + "\n";
        listen_line = next;
        if (listen_line.find(prefix) != std::string::npos)
          return std::atoi(listen_line.c_str() + listen_line.rfind(':') + 1);
      }
    };
    if (environment.count("LB_OPS") != 0) admin_port = await_port("operators at ");
    port = await_port(" listens on ");
    log_reader_ = std::thread([this] {  // keeps the pipe of the log from filling up
      char part[4096];
      ssize_t n;
      while ((n = read(log_fd_, part, sizeof(part))) > 0) late_log.append(part, static_cast<size_t>(n));
    });
  }
  ~GatewayProcess() {
    if (pid_ > 0) {
      Signal(SIGTERM);
      EXPECT_EQ(WaitForExit(), 0);
    }
    unlink(path_.c_str());
  }
  void Signal(int signal) { kill(pid_, signal); }
  // Atomically replaces the configuration file, then sends SIGHUP.
  void Reconfigure(const json& config) { Reconfigure(config.dump()); }
  void Reconfigure(const std::string& config) {
    std::string new_path = path_ + ".new";
    std::ofstream(new_path) << config;
    EXPECT_EQ(std::rename(new_path.c_str(), path_.c_str()), 0);
    Signal(SIGHUP);
  }
  int WaitForExit() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    log_reader_.join();
    close(log_fd_);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // The peak resident memory in kB; -1 if it is unknown.
  long PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string text; std::getline(status, text);) {
      if (text.rfind("VmHWM:", 0) == 0) return std::atol(text.c_str() + 6);
    }
    return -1;
  }
  size_t CountDescriptors() const {
    size_t n = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
      n += entry.path().empty() ? 0 : 1;
    }
    return n;
  }
  pid_t pid() const { return pid_; }
  std::unique_ptr<Connection> Connect() const { return Connection::ConnectTo(port); }
  int port = 0, admin_port = 0;
  // The log: before the line that names the port, that line, and, after WaitForExit, the rest.
  std::string early_log, listen_line, late_log;

 private:
  pid_t pid_ = -1;
  int log_fd_ = -1;
  std::string path_;
  std::thread log_reader_;
};

// The text of a valid request of the given class.
inline std::string Request(const std::string& class_name, int spread = 1, int timeout_ms = 3000,
                           const std::string& extra_headers = "", const std::string& body = "") {
  static std::atomic<int> last{0};
  std::string id = std::to_string(1000 + ++last);
  std::string text = (class_name.substr(0, 5) == "quote" ? "GET /" : "POST /") + class_name +
                     " HTTP/1.1\r\nHost: app.svc\r\n";
  text += "Request-Id: " + id + "\r\nX-Tier: business\r\nCookie: client=00000000b4d65521\r\n";
  text += "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  text += "X-Call-Terms: units=1,spread=" + std::to_string(spread) + ",first=0\r\n";
  if (class_name == "save-scenario") text += "Idempotency-Key: k" + id + "\r\n";
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + extra_headers + "\r\n" + body;
}

// Sends the request and reads the response.
inline Message SendRequest(Connection& connection, const std::string& request) {
  connection.Write(request);
  return connection.Read();
}

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_GATEWAY_RIG_H_
