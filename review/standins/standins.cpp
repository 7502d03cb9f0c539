// Stand-ins for what stands round a gateway: discovery, the counter, a backend and the clients of the cases.
// Each is a process of its own, started by run.sh. All of them append lines to one record:
//   milliseconds since the start, who, what.
//
//   standins now | standins ports N
//   standins discovery --list FILE
//   standins counter
//   standins backend --name NAME [--work-ms N] [--spoil-at-ms N] [--slow-answer-bytes N --first-byte-ms N]
//   standins steady|upload|download ...    the clients; see the functions of these names
//
// Options of all: --t0 NS (start, monotonic clock), --record FILE, --port-file FILE (of those that listen).
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

std::map<std::string, std::string> options;

std::string Option(const std::string& name, const std::string& fallback = "") {
  auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}
long Number(const std::string& name, long fallback = 0) {
  std::string text = Option(name);
  return text.empty() ? fallback : std::atol(text.c_str());
}

long t0_ns = 0;

long NowNs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000000000L + now.tv_nsec;
}
double NowMs() { return static_cast<double>(NowNs() - t0_ns) / 1e6; }
void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// One write per line, so that the lines of several processes don't mix.
void Record(const std::string& text) {
  static int file = open(Option("record", "/dev/stdout").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.1f ", NowMs());
  std::string line = time + text + "\n";
  if (write(file, line.data(), line.size()) < 0) std::perror("record");
}
std::string Ms(double ms) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.0f", ms);
  return text;
}

// --- sockets ---------------------------------------------------------------------------------------------

struct Listening {
  int fd;
  int port;
};
Listening Listen(int port = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return {fd, ntohs(address.sin_port)};
}

// Accepts connections for ever, each served by a thread. The port is written to the port file first.
[[noreturn]] void Serve(const std::function<void(int)>& handler) {
  Listening listening = Listen();
  std::string path = Option("port-file");
  std::ofstream(path + ".new") << listening.port << "\n";
  std::rename((path + ".new").c_str(), path.c_str());
  for (;;) {
    int fd = accept4(listening.fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      SleepMs(5);
      continue;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([fd, &handler] {
      handler(fd);
      close(fd);
    }).detach();
  }
}

int ConnectTo(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

// Writes all of `text` by `until_ms`. Returns the number of bytes written.
size_t WriteAll(int fd, const std::string& text, double until_ms = 1e12) {
  size_t sent = 0;
  while (sent < text.size()) {
    ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN) break;
    double left_ms = until_ms - NowMs();
    if (left_ms <= 0) break;
    pollfd wait{fd, POLLOUT, 0};
    poll(&wait, 1, static_cast<int>(std::min(left_ms + 1, 1000.0)));
  }
  return sent;
}

// Reads a message in HTTP/1.1 from a connection.
class Reader {
 public:
  enum class Result { kOk, kClosed, kTimeout, kMalformed };
  explicit Reader(int fd) : fd_(fd) {}

  // Reads the next head; its fields' names are in lower case.
  Result ReadHead(double until_ms) {
    fields.clear();
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      Result result = More(until_ms);
      if (result != Result::kOk) return result;
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(lines, first_line);
    if (!first_line.empty() && first_line.back() == '\r') first_line.pop_back();
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      size_t colon = line.find(':');
      if (colon == std::string::npos) return Result::kMalformed;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      size_t value = line.find_first_not_of(" \t", colon + 1);
      fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return Result::kOk;
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  bool has(const std::string& name) const { return fields.count(name) != 0; }

  // Reads the body that the head announces. `body_bytes` counts what came, also if the body is not whole.
  Result ReadBody(double until_ms, std::string* text = nullptr) {
    body_bytes = 0;
    if (has("transfer-encoding")) return ReadChunks(until_ms, text);
    return Take(has("content-length") ? std::stoul(fields["content-length"]) : 0, until_ms, text);
  }
  bool AtStart() const { return buffer_.empty(); }

  std::string first_line;
  std::map<std::string, std::string> fields;
  size_t body_bytes = 0;

 private:
  Result More(double until_ms) {
    for (;;) {
      double left_ms = until_ms - NowMs();
      if (left_ms <= 0) return Result::kTimeout;
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, static_cast<int>(std::min(left_ms + 1, 1000.0))) <= 0) continue;
      char chunk[65536];
      ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return Result::kClosed;
      buffer_.append(chunk, static_cast<size_t>(n));
      return Result::kOk;
    }
  }
  Result Take(size_t bytes, double until_ms, std::string* text) {
    while (bytes > 0) {
      if (buffer_.empty()) {
        Result result = More(until_ms);
        if (result != Result::kOk) return result;
      }
      size_t part = std::min(bytes, buffer_.size());
      if (text != nullptr) text->append(buffer_, 0, part);
      buffer_.erase(0, part);
      body_bytes += part;
      bytes -= part;
    }
    return Result::kOk;
  }
  Result ReadLine(double until_ms, std::string* line) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      Result result = More(until_ms);
      if (result != Result::kOk) return result;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return Result::kOk;
  }
  Result ReadChunks(double until_ms, std::string* text) {
    for (;;) {
      std::string line;
      Result result = ReadLine(until_ms, &line);
      if (result != Result::kOk) return result;
      size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        while (!line.empty()) {
          if ((result = ReadLine(until_ms, &line)) != Result::kOk) return result;
        }
        return Result::kOk;
      }
      if ((result = Take(size, until_ms, text)) != Result::kOk) return result;
      if ((result = ReadLine(until_ms, &line)) != Result::kOk) return result;
    }
  }

  int fd_;
  std::string buffer_;
};
using Result = Reader::Result;

const char* Name(Result result) {
  switch (result) {
    case Result::kOk: return "whole";
    case Result::kClosed: return "connection ended";
    case Result::kTimeout: return "not in time";
    case Result::kMalformed: return "malformed";
  }
  return "";
}

std::string Ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// --- discovery -------------------------------------------------------------------------------------------

// One fixed list of version 1. A watch waits until its time is up and gets an empty change.
[[noreturn]] void Discovery() {
  std::ifstream in(Option("list"));
  const std::string entries((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  Serve([&entries](int fd) {
    Reader reader(fd);
    while (reader.ReadHead(1e12) == Result::kOk) {
      const std::string& line = reader.first_line;
      size_t after = line.find("after="), wait = line.find("wait_ms=");
      bool watch = after != std::string::npos && std::atol(line.c_str() + after + 6) >= 1;
      if (watch && wait != std::string::npos)
        SleepMs(static_cast<double>(std::min(60000L, std::atol(line.c_str() + wait + 8))));
      std::string body = watch ? R"({"index":1,"snapshot":false,"endpoints":[]})"
                               : R"({"index":1,"snapshot":true,"endpoints":)" + entries + "}";
      std::string text = Ok(body, "Content-Type: application/json\r\n");
      if (WriteAll(fd, text) < text.size()) return;
    }
  });
}

// --- counter ---------------------------------------------------------------------------------------------

[[noreturn]] void Counter() {
  struct Sum {
    double total = 0, ends_ms = 0;
  };
  static std::mutex lock;
  static std::map<std::string, Sum> sums;
  Serve([](int fd) {
    FILE* in = fdopen(dup(fd), "r");
    char line[256];
    while (std::fgets(line, sizeof(line), in) != nullptr) {
      std::vector<std::string> words;
      for (int left = std::atoi(line + 1); left > 0; --left) {
        if (std::fgets(line, sizeof(line), in) == nullptr || std::fgets(line, sizeof(line), in) == nullptr)
          break;
        words.emplace_back(line, std::strcspn(line, "\r\n"));
      }
      std::string reply = "-ERR no such call\r\n";
      if (words.size() == 1 && words[0] == "PING") reply = "+PONG\r\n";
      if (!words.empty() && (words[0] == "CLIENT" || words[0] == "SELECT")) reply = "+OK\r\n";
      if (words.size() == 4 && words[0] == "TALLY") {
        std::lock_guard<std::mutex> hold(lock);
        Sum& sum = sums[words[1]];
        if (NowMs() >= sum.ends_ms) sum = {0, NowMs() + std::min(60000.0, std::atof(words[3].c_str()))};
        sum.total += std::atof(words[2].c_str());
        char text[32];
        int size = std::snprintf(text, sizeof(text), "%.7g", sum.total);
        reply = "$" + std::to_string(size) + "\r\n" + text + "\r\n";
      }
      if (WriteAll(fd, reply) < reply.size()) break;
    }
    std::fclose(in);
  });
}

// --- backend ---------------------------------------------------------------------------------------------

std::atomic<bool> spoilt{false};

// A chunked answer whose last chunk has come, and whose trailer section has no end: one field after the other
// until the gateway ends the connection, 4 s or 4 MB have passed.
void SendEndlessTrailer(int fd, const std::string& who, const std::string& id) {
  Record(who + " spoils its answer to " + id + ": trailer fields without an end");
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
  double until_ms = NowMs() + 4000;
  size_t total = 0;
  for (int i = 0; NowMs() < until_ms && total < (4U << 20); ++i) {
    text += "X-Note-" + std::to_string(i) + ": " + std::string(200, 'x') + "\r\n";
    if (text.size() < 4000) continue;
    size_t sent = WriteAll(fd, text, until_ms);
    total += sent;
    if (sent < text.size()) break;
    text.clear();
    SleepMs(10);
  }
  Record(who + " stopped spoiling its answer to " + id + " after " + std::to_string(total) + " bytes");
}

// A chunked answer that begins after --first-byte-ms and comes in small pieces at --bytes-per-s.
void SendSlowAnswer(int fd, const std::string& who, const std::string& id) {
  SleepMs(static_cast<double>(Number("first-byte-ms")));
  const size_t total = static_cast<size_t>(Number("slow-answer-bytes"));
  const long bytes_per_s = Number("bytes-per-s");  // 0: as fast as it goes
  const size_t piece = 3200;
  Record(who + " begins its answer to " + id + ", " + std::to_string(total) + " bytes");
  std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  bool whole = WriteAll(fd, head) == head.size();
  size_t sent = 0;
  while (whole && sent < total) {
    std::string bytes(std::min(piece, total - sent), 'a');
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    std::string chunk = size + bytes + "\r\n";
    whole = WriteAll(fd, chunk, NowMs() + 10000) == chunk.size();
    if (!whole) break;
    sent += bytes.size();
    if (bytes_per_s > 0)
      SleepMs(1000.0 * static_cast<double>(bytes.size()) / static_cast<double>(bytes_per_s));
  }
  whole = whole && WriteAll(fd, "0\r\n\r\n") == 5;
  Record(who + (whole ? " gave its whole answer to " : " could not go on with its answer to ") + id +
         (whole ? "" : ": the gateway ended the connection after " + std::to_string(sent) + " bytes"));
}

[[noreturn]] void Backend() {
  static const std::string who = Option("name");
  Serve([](int fd) {
    Reader reader(fd);
    while (reader.ReadHead(1e12) == Result::kOk) {
      if (reader.ReadBody(1e12) != Result::kOk) return;
      std::string id = reader.fields["request-id"], text;
      if (reader.first_line.find(" /-/") != std::string::npos) {
        text = Ok(R"({"queue":0,"inflight":0,"qps":0})");
      } else if (id.empty()) {
        text = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
      } else {
        Record(who + " runs " + id + " with " + std::to_string(reader.body_bytes) + " bytes");
        if (Number("spoil-at-ms") > 0 && NowMs() >= static_cast<double>(Number("spoil-at-ms")) &&
            !spoilt.exchange(true))
          return SendEndlessTrailer(fd, who, id);
        if (Number("slow-answer-bytes") > 0) {
          SendSlowAnswer(fd, who, id);
          continue;
        }
        SleepMs(static_cast<double>(Number("work-ms", 40)));
        text = Ok("answer to " + id, "X-Cost-Units: 1\r\n");
      }
      if (WriteAll(fd, text) < text.size()) return;
    }
  });
}

// --- clients ---------------------------------------------------------------------------------------------

std::string Request(const std::string& method, const std::string& request_class, const std::string& id,
                    unsigned customer, long timeout_ms, const std::string& body) {
  char cookie[32];
  std::snprintf(cookie, sizeof(cookie), "%016x", customer);
  std::string text = method + " /" + request_class + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
                     "\r\nX-Tier: standard\r\nCookie: client=" + cookie +
                     "\r\nRequest-Timeout-Ms: " + std::to_string(timeout_ms) +
                     "\r\nX-Call-Terms: units=1,spread=" + Option("spread", "1") + ",first=0\r\n";
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

std::vector<int> GatewayPorts() {
  std::vector<int> ports;
  std::istringstream in(Option("gateways"));
  for (int port; in >> port;) ports.push_back(port);
  return ports;
}

// Half a second after its time a request may still get its answer, and each limit on sockets is 50 ms longer.
constexpr double kAnswerGraceMs = 550;

void Summary(const std::string& text) {
  Record("clients: " + text);
  std::printf("%s\n", text.c_str());
}

// Clients that keep their connections and send one small request after the other, for --seconds.
// Prints the number of requests, of answers, and of those that a backend ran or a gateway took, and that got
// no whole answer.
int Steady() {
  const std::vector<int> ports = GatewayPorts();
  const long timeout_ms = Number("timeout-ms", 2000);
  const double end_ms = NowMs() + 1000.0 * static_cast<double>(Number("seconds"));
  std::atomic<int> sent{0}, served{0}, other{0}, lost{0}, unreachable{0}, wrong{0};
  std::vector<std::thread> threads;
  for (long client = 0; client < Number("clients"); ++client) {
    threads.emplace_back([&, client] {
      int port = ports[static_cast<size_t>(client) % ports.size()];
      int fd = -1, used = 0;
      for (int count = 0; NowMs() < end_ms; ++count) {
        std::string id = "c" + std::to_string(client) + "-" + std::to_string(count);
        bool answered = false;
        // A request on a kept connection that ends unanswered may have crossed its closing. The client sends
        // it once more, on a new connection.
        for (int tries = 0; tries < 2 && !answered; ++tries) {
          if (fd < 0) {
            fd = ConnectTo(port);
            used = 0;
          }
          if (fd < 0) {
            if (tries == 0) {
              ++unreachable;
            } else {
              ++lost;
              Record("client: " + id + " got no answer, and its gateway is not there any more");
            }
            SleepMs(100);
            break;
          }
          std::string text = Request("GET", "view", id, static_cast<unsigned>(1000 + client), timeout_ms, "");
          if (tries == 0) ++sent;
          bool whole = WriteAll(fd, text) == text.size();
          Reader reader(fd);
          double until_ms = NowMs() + static_cast<double>(timeout_ms) + kAnswerGraceMs;
          Result result = whole ? reader.ReadHead(until_ms) : Result::kClosed;
          std::string body;
          if (result == Result::kOk) result = reader.ReadBody(until_ms, &body);
          ++used;
          if (result == Result::kOk) {
            answered = true;
            ++(reader.status() == 200 ? served : other);
            if (reader.status() == 200 && body != "answer to " + id) {
              ++wrong;
              Record("client: " + id + " got a wrong answer");
            }
            Record("client: " + id + " answered " + std::to_string(reader.status()));
            if (reader.fields["connection"] != "close") continue;
          }
          close(fd);
          fd = -1;
          if (answered) continue;
          Record("client: " + id + " " + Name(result) + ", request " + std::to_string(used) +
                 " on its connection");
          if (result == Result::kClosed && used > 1) continue;
          ++lost;
          break;
        }
        SleepMs(60);
      }
      if (fd >= 0) close(fd);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Summary("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", refused or failed " +
          std::to_string(other) + ", no whole answer " + std::to_string(lost) + ", wrong answer " +
          std::to_string(wrong) + ", gateway not reachable " + std::to_string(unreachable));
  return lost + wrong > 0 ? 1 : 0;
}

// Clients that come one after the other, --every-ms apart. Each sends one request with a body of --from-kb to
// --to-kb and waits for its answer.
// Exit status 1: a gateway took a request and did not answer it in its time and half a second.
int Upload() {
  const std::vector<int> ports = GatewayPorts();
  const long timeout_ms = Number("timeout-ms"), clients = Number("clients");
  const double give_up_ms = 1000.0 * static_cast<double>(Number("give-up-s", 20));
  std::atomic<int> in_time{0}, late{0}, never{0}, not_taken{0}, acknowledged{0};
  std::vector<std::thread> threads;
  for (long client = 0; client < clients; ++client) {
    threads.emplace_back([&, client] {
      long step = client * 37 % std::max(1L, clients);  // the sizes in no order
      long kb = Number("from-kb") + (Number("to-kb") - Number("from-kb")) * step / std::max(1L, clients);
      std::string id = "u" + std::to_string(client);
      SleepMs(static_cast<double>(Number("every-ms") * client));
      int fd = ConnectTo(ports[static_cast<size_t>(client) % ports.size()]);
      if (fd < 0) {
        Record("client: " + id + " could not connect");
        ++not_taken;
        return;
      }
      std::string text = Request("POST", "post", id, static_cast<unsigned>(1000 + client), timeout_ms,
                                 std::string(static_cast<size_t>(kb) * 1024, 'b'));
      double begun_ms = NowMs();
      // A client that gets its answer while it still sends stops sending.
      size_t sent = WriteAll(fd, text, begun_ms + static_cast<double>(timeout_ms));
      double written_ms = NowMs();
      bool taken = sent == text.size();
      Record("client: " + id + (taken ? " wrote all of its " : " could not write all of its ") +
             std::to_string(kb) + " KB in " + Ms(written_ms - begun_ms) + " ms");
      Reader reader(fd);
      double due_ms = written_ms + static_cast<double>(timeout_ms) + kAnswerGraceMs;
      Result result = reader.ReadHead(due_ms);
      int unacknowledged = 0;
      ioctl(fd, SIOCOUTQ, &unacknowledged);
      if (result == Result::kTimeout) {
        Record("client: " + id + " has no answer " + Ms(NowMs() - written_ms) + " ms after its last byte, " +
               std::to_string(unacknowledged) + " bytes are not yet acknowledged by the gateway's machine");
        result = reader.ReadHead(written_ms + give_up_ms);
      }
      if (result == Result::kOk) result = reader.ReadBody(NowMs() + 2000);
      double took_ms = NowMs() - written_ms;
      Record("client: " + id + " " +
             (result == Result::kOk ? "answered " + std::to_string(reader.status()) : Name(result)) + " " +
             Ms(took_ms) + " ms after its last byte");
      if (!taken) {
        ++not_taken;
      } else if (result != Result::kOk) {
        ++never;
        acknowledged += unacknowledged == 0;
      } else if (took_ms > static_cast<double>(timeout_ms) + kAnswerGraceMs) {
        ++late;
        acknowledged += unacknowledged == 0;
      } else {
        ++in_time;
      }
      close(fd);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Summary("uploads taken and answered in time " + std::to_string(in_time) + ", answered later " +
          std::to_string(late) + ", not answered " + std::to_string(never) +
          " (of these two, wholly on the gateway's machine " + std::to_string(acknowledged) +
          "), not taken " + std::to_string(not_taken));
  if (in_time + late + never == 0) return 2;
  return late + never > 0 ? 1 : 0;
}

// Clients that each ask for one answer of --bytes, which is over 64 KiB.
// Exit status 1: a gateway passed on the first bytes in time, and then cut the answer off.
int Download() {
  const std::vector<int> ports = GatewayPorts();
  const long timeout_ms = Number("timeout-ms");
  const size_t bytes = static_cast<size_t>(Number("bytes"));
  std::atomic<int> whole{0}, cut{0}, refused{0}, none{0};
  std::vector<std::thread> threads;
  for (long client = 0; client < Number("clients"); ++client) {
    threads.emplace_back([&, client] {
      std::string id = "d" + std::to_string(client);
      SleepMs(30.0 * static_cast<double>(client));
      int fd = ConnectTo(ports[static_cast<size_t>(client) % ports.size()]);
      std::string text = Request("GET", "view", id, static_cast<unsigned>(1000 + client), timeout_ms, "");
      if (fd < 0 || WriteAll(fd, text) < text.size()) {
        ++none;
        Record("client: " + id + " could not send");
        return;
      }
      double sent_ms = NowMs();
      Record("client: " + id + " sent");
      Reader reader(fd);
      Result result = reader.ReadHead(sent_ms + static_cast<double>(timeout_ms) + kAnswerGraceMs);
      if (result != Result::kOk) {
        ++none;
        Record("client: " + id + " " + Name(result));
        return;
      }
      double head_ms = NowMs() - sent_ms;
      if (reader.status() != 200) {
        ++refused;
        Record("client: " + id + " answered " + std::to_string(reader.status()) + " after " + Ms(head_ms) +
               " ms");
        return;
      }
      result = reader.ReadBody(NowMs() + 20000);
      bool complete = result == Result::kOk && reader.body_bytes == bytes;
      Record("client: " + id + " got its first bytes after " + Ms(head_ms) + " ms, then " +
             std::to_string(reader.body_bytes) + " of " + std::to_string(bytes) + " bytes until " +
             Ms(NowMs() - sent_ms) + " ms: " + (complete ? "whole" : Name(result)));
      ++(complete ? whole : cut);
      close(fd);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Summary("answers whole " + std::to_string(whole) + ", begun in time and cut off " + std::to_string(cut) +
          ", refused or failed " + std::to_string(refused) + ", none " + std::to_string(none));
  if (whole + cut == 0) return 2;
  return cut > 0 ? 1 : 0;
}

int Ports(int count) {
  std::vector<Listening> all;
  for (int i = 0; i < count; ++i) all.push_back(Listen());
  for (const Listening& one : all) std::printf("%d\n", one.port);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string what = argc > 1 ? argv[1] : "";
  if (what == "now") return std::printf("%ld\n", NowNs()) > 0 ? 0 : 2;
  if (what == "ports" && argc == 3) return Ports(std::atoi(argv[2]));
  for (int i = 2; i + 1 < argc; i += 2) options[argv[i] + 2] = argv[i + 1];
  t0_ns = Number("t0");
  if (what == "discovery") Discovery();
  if (what == "counter") Counter();
  if (what == "backend") Backend();
  if (what == "steady") return Steady();
  if (what == "upload") return Upload();
  if (what == "download") return Download();
  std::fprintf(stderr, "usage: see the head of standins.cpp\n");
  return 2;
}
