// Test support for soaks: a small fleet of gateway processes whose clients use their connections until the
// kill, with rules that are checked for each request.
#ifndef LEMONCHUTE_TESTS_SOAK_SITE_H_
#define LEMONCHUTE_TESTS_SOAK_SITE_H_

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "client_crowd.h"
#include "gateway_site.h"

namespace rig {

using SoakClock = std::chrono::steady_clock;

// What was seen of the rules being broken, and figures of the run.
class SoakRecord {
 public:
  void Break(const std::string& rule) {
    std::lock_guard lock(mutex_);
    breaks_.push_back(rule);
  }
  void Count(const std::string& what) {
    std::lock_guard lock(mutex_);
    ++counts_[what];
  }
  std::vector<std::string> breaks() const {
    std::lock_guard lock(mutex_);
    return breaks_;
  }
  std::string Summary() const {
    std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [what, count] : counts_) text += what + "=" + std::to_string(count) + " ";
    return text;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> breaks_;
  std::map<std::string, int> counts_;
};

// A backend whose behaviour is drawn for each request.
class SoakBackend {
 public:
  SoakBackend(uint32_t seed, SoakRecord* record)
      : record_(record), random_(seed), server_([this](Connection& connection) { Serve(connection); }) {}
  ~SoakBackend() { stopping_ = true; }
  int port() const { return server_.port(); }

 private:
  static constexpr size_t kLumpBytes = 50000;

  int Draw(int below) {
    std::lock_guard lock(mutex_);
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  void Sleep(int ms) {
    auto end = SoakClock::now() + std::chrono::milliseconds(ms);
    while (!stopping_ && SoakClock::now() < end) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  void Serve(Connection& connection) {
    while (!stopping_) {
      Message request = connection.Read();
      if (!request.complete) return;
      NoteRun(request);
      int kind = Draw(100);
      if (kind < 4) return;  // reset, or the end without a response
      if (kind < 6) {
        Sleep(1000 + Draw(1500));  // hangs
        return;
      }
      if (kind < 10) {
        connection.Write("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
      } else if (kind < 16) {
        WriteLumps(connection);
      } else {
        Sleep(Draw(10) == 0 ? Draw(250) : Draw(10));
        connection.Write(OkResponse(NumberedText(static_cast<size_t>(Draw(kind < 25 ? 400000 : 2000)) + 1)));
      }
    }
  }
  // A long response of unknown length, with pauses.
  void WriteLumps(Connection& connection) {
    const std::string body = NumberedText(3 * kLumpBytes);
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (size_t offset = 0; offset < body.size(); offset += kLumpBytes) {
      if (offset > 0) Sleep(300 + Draw(500));
      connection.Write(ChunkedBody(body.substr(offset, kLumpBytes), kLumpBytes));
    }
    connection.Write("0\r\n\r\n");
  }
  void NoteRun(const Message& request) {
    if (request.head.compare(0, 15, "POST /send-lead") != 0) return;
    std::string id = request.Header("Request-Id");
    static std::mutex mutex;
    static std::set<std::string> runs;
    std::lock_guard lock(mutex);
    if (!runs.insert(id).second) record_->Break("a non-idempotent request ran twice: " + id);
  }

  SoakRecord* record_;
  std::mutex mutex_;
  std::mt19937 random_;
  std::atomic<bool> stopping_{false};
  Server server_;
};

// One gateway's address and its process, which is killed and started again.
class SoakGateway {
 public:
  SoakGateway(json config, SoakRecord* record) : config_(std::move(config)), record_(record) {
    ListeningSocket free_port = ListenOnLoopback(1);
    port_ = free_port.port;
    close(free_port.fd);
    config_["listen"] = "127.0.0.1:" + std::to_string(port_);
    Start();
  }
  ~SoakGateway() {
    CheckAlive();
    process_->Signal(SIGKILL);
    process_->WaitForExit();
  }
  int port() const { return port_; }
  // The start of the latest process, and whether the address had a kill at or after `time`.
  bool WasKilledSince(SoakClock::time_point time) const {
    std::lock_guard lock(mutex_);
    return down_ || (killed_at_ && *killed_at_ >= time);
  }
  // New connections stop some time after SIGTERM.
  bool TakesNewConnections() const {
    std::lock_guard lock(mutex_);
    return !down_ && (!terminated_at_ || SoakClock::now() < *terminated_at_ + kLateConnections);
  }
  // SIGTERM, and SIGKILL as early as the platform sends it.
  void Restart(std::chrono::milliseconds longest_deadline) {
    CheckAlive();
    {
      std::lock_guard lock(mutex_);
      terminated_at_ = SoakClock::now();
    }
    process_->Signal(SIGTERM);
    std::this_thread::sleep_for(longest_deadline + std::chrono::milliseconds(700));
    KillAndStart();
  }
  void KillAndStart() {
    CheckMemory();
    {
      std::lock_guard lock(mutex_);
      down_ = true;
      killed_at_ = SoakClock::now();
    }
    process_->Signal(SIGKILL);
    int status = process_->WaitForExit();
    if (status != 0 && status != -SIGKILL)
      record_->Break("a process ended by itself with " + std::to_string(status));
    Start();
  }
  void CheckAlive() {
    CheckMemory();
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(process_->pid()), &info, WEXITED | WNOHANG | WNOWAIT);
    if (info.si_pid != 0) record_->Break("a process ended by itself");
  }

 private:
  static constexpr auto kLateConnections = std::chrono::milliseconds(400);

  void CheckMemory() {
    long limit_kb = config_["limits"]["memory_mb"].get<long>() << 10, peak_kb = process_->PeakMemoryKb();
    if (peak_kb > limit_kb) record_->Break("memory: " + std::to_string(peak_kb) + " kB");
  }
  void Start() {
    process_ = std::make_unique<GatewayProcess>(config_);
    if (process_->port == 0) record_->Break("a process did not start: " + process_->listen_line);
    std::lock_guard lock(mutex_);
    down_ = false;
    terminated_at_.reset();
    killed_at_ = SoakClock::now();
  }

  json config_;
  SoakRecord* record_;
  int port_ = 0;
  mutable std::mutex mutex_;
  bool down_ = false;
  std::optional<SoakClock::time_point> terminated_at_;
  std::optional<SoakClock::time_point> killed_at_;  // the latest time at which no process served
  std::unique_ptr<GatewayProcess> process_;
};

// A client that keeps one connection and judges the answer to each of its requests.
class SoakClient {
 public:
  SoakClient(uint32_t seed, const SoakGateway* gateway, SoakRecord* record)
      : gateway_(gateway), record_(record), random_(seed), thread_([this] { Run(); }) {}
  ~SoakClient() {
    stopping_ = true;
    thread_.join();
  }

 private:
  static constexpr auto kGrace = std::chrono::milliseconds(550);  // half a second late, and 50 ms

  void Run() {
    while (!stopping_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 40));
      if (connection_ == nullptr && !Connect()) continue;
      Exchange();
    }
  }
  bool Connect() {
    if (!gateway_->TakesNewConnections()) return false;
    sockaddr_in address;
    int fd = MakeLoopbackSocket(&address, gateway_->port());
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return false;
    }
    connection_ = std::make_unique<Connection>(fd);
    first_ = true;
    return true;
  }
  void Exchange() {
    int timeout_ms = 400 + static_cast<int>(random_() % 800);
    bool post = random_() % 4 == 0;
    std::string body(post ? random_() % 4 == 0 ? 300000 : 1 + random_() % 3000 : 0, 'b');
    std::string request = RequestOfNewCustomer(post ? "send-lead" : "quote");
    size_t at = request.find("Request-Timeout-Ms: ") + 20;
    request.replace(at, request.find("\r\n", at) - at, std::to_string(timeout_ms));
    if (post) request.insert(request.size() - 2, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    bool was_open = connection_->IsOpen();
    connection_->Write(request + body);
    auto written_at = SoakClock::now();
    Judge(request, written_at, written_at + std::chrono::milliseconds(timeout_ms) + kGrace, was_open);
  }
  // Reads the whole answer. A long one only has to begin in time.
  void Judge(const std::string& request, SoakClock::time_point written_at, SoakClock::time_point due_at,
             bool was_open) {
    std::string head = connection_->ReadUntil("\r\n\r\n");
    auto begun_at = SoakClock::now();
    bool first = std::exchange(first_, false);
    if (head.empty()) {
      // The close may have crossed the request, and the first request of a connection may fail unforwarded.
      bool crossed = connection_->unread.empty() && (first || !was_open || begun_at - written_at < kCrossing);
      if (!crossed && !gateway_->WasKilledSince(written_at)) Lost("no answer", request, written_at);
      record_->Count("unanswered");
      connection_.reset();
      return;
    }
    record_->Count("status_" + head.substr(9, 3));
    std::string body = ReadBody(head);
    bool complete = !body.empty() || head.find("Content-Length: 0\r\n") != std::string::npos;
    auto ended_at = SoakClock::now();
    bool is_long = body.size() > 65536;
    if (!complete && !gateway_->WasKilledSince(written_at)) Lost("cut off", request, written_at);
    if ((is_long ? begun_at : ended_at) > due_at && !gateway_->WasKilledSince(written_at))
      Lost("late", request, written_at);
    if (complete && head.compare(9, 3, "200") == 0 && body != NumberedText(body.size()))
      record_->Break("a wrong body");
    if (!complete || head.find("Connection: close") != std::string::npos) connection_.reset();
  }
  std::string ReadBody(const std::string& head) {
    if (head.find("chunked") != std::string::npos) {
      std::string body = ReadChunkedBody(*connection_);
      return body.size() < 100 || connection_->ReadUntil("\r\n").empty() ? "" : body;
    }
    size_t position = head.find("Content-Length: ");
    size_t length =
        position == std::string::npos ? 0 : std::strtoul(head.c_str() + position + 16, nullptr, 10);
    if (!connection_->ReadUntil(length)) return "";
    std::string body = connection_->unread.substr(0, length);
    connection_->unread.erase(0, length);
    return body;
  }
  void Lost(const std::string& how, const std::string& request, SoakClock::time_point written_at) {
    auto after = std::chrono::duration_cast<std::chrono::milliseconds>(SoakClock::now() - written_at).count();
    size_t at = request.find("Request-Id: ");
    record_->Break(how + ": " + request.substr(0, request.find(' ', 5)) + " " +
                   request.substr(at, request.find("\r\n", at) - at) + " after " + std::to_string(after) +
                   " ms, first on its connection " + std::to_string(first_));
  }

  // Within this time a close and a request are taken to have crossed.
  static constexpr auto kCrossing = std::chrono::milliseconds(20);

  const SoakGateway* gateway_;
  SoakRecord* record_;
  std::mt19937 random_;
  std::unique_ptr<Connection> connection_;
  bool first_ = true;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_SOAK_SITE_H_
