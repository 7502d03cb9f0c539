// Clients that take long answers steadily, at 96 kB a second. An answer must not be cut off while the backend
// still gives it and the client still takes it.
#include "rig.h"

int main(int, char** argv) {
  using namespace rig;
  constexpr int kTryMs = 1500, kClients = 3;
  constexpr size_t kAnswerBytes = 6000000;  // answers reach 32 MB
  constexpr double kBytesPerS = 96000;      // no slower than the 64 kB a second that the page names
  constexpr size_t kPieceBytes = 4800;      // each 50 ms
  Record record(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 3; ++i) {
    std::string name = "s-0000000" + std::to_string(i);
    servers.push_back(std::make_unique<Server>([&record, name](Connection& connection) {
      for (;;) {
        Message request = ReadMessage(connection);
        if (!request.complete) return;
        std::string id = request.Header("Request-Id");
        record.Line("%s runs %s", name.c_str(), id.c_str());
        Sleep(0.1);
        bool open = connection.Write(Ok(std::string(kAnswerBytes, 'a')));
        record.Line(open ? "%s has given all of %s" : "%s: the gateway has closed the connection of %s",
                    name.c_str(), id.c_str());
        if (!open) return;
      }
    }));
    endpoints.push_back({name, servers.back()->port()});
  }
  Server discovery(Discovery(endpoints)), counter(Counter());
  Gateway gateway(Site{}, endpoints, discovery.port(), counter.port());
  if (!gateway.WaitUntilReady(30)) return kCouldNotRun;
  record.Line("the gateway is ready");

  std::atomic<int> whole{0}, cut{0}, other{0};
  auto client = [&](int number) {
    std::string id = RequestId(number);
    Connection connection = Connection::To(gateway.port());
    if (!connection.open() || !connection.Write(RequestHead("GET", id, kTryMs))) return void(++other);
    record.Line("client sends %s", id.c_str());
    double sent_at = Now(), first_at = 0, longest_pause_s = 0, last_at = sent_at;
    std::string head;
    size_t total = 0, wanted = 0;
    std::vector<char> piece(Trouble() ? kPieceBytes : 1 << 20);
    bool failed = false;
    while (wanted == 0 || total < wanted) {
      ssize_t n = recv(connection.fd(), piece.data(), piece.size(), 0);
      if (n <= 0) {
        failed = true;
        break;
      }
      if (first_at == 0) first_at = last_at = Now();
      longest_pause_s = std::max(longest_pause_s, Now() - last_at);
      last_at = Now();
      total += static_cast<size_t>(n);
      if (wanted == 0) {
        head.append(piece.data(), static_cast<size_t>(n));
        size_t end = head.find("\r\n\r\n");
        if (end != std::string::npos) {
          Message answer;
          answer.head = head.substr(0, end + 2);
          wanted = end + 4 + static_cast<size_t>(std::atol(answer.Header("Content-Length").c_str()));
        }
      }
      if (Trouble()) Sleep(first_at + static_cast<double>(total) / kBytesPerS - Now());
    }
    record.Line(
        "client: %s: %zu of %zu bytes in %.1f s, the first after %.3f s; it never paused for more than %.2f "
        "s",
        id.c_str(), total, wanted, Now() - sent_at, first_at - sent_at, longest_pause_s);
    bool good = head.compare(0, 12, "HTTP/1.1 200") == 0;
    if (good && !failed) return void(++whole);
    // Its first bytes came in time, and the client took it all the while.
    if (good && first_at - sent_at <= kTryMs / 1000.0 && longest_pause_s < 2) {
      record.Line("LOST: %s was cut off", id.c_str());
      return void(++cut);
    }
    ++other;
  };
  std::vector<std::thread> threads;
  for (int number = 1; number <= kClients; ++number, Sleep(0.2)) threads.emplace_back(client, number);
  for (std::thread& thread : threads) thread.join();
  bool alive = gateway.Alive();
  record.Line("whole %d, CUT OFF %d, other %d; gateway %s", whole.load(), cut.load(), other.load(),
              alive ? "runs" : "HAS ENDED");
  gateway.Stop();
  if (whole + cut == 0) return kCouldNotRun;
  return cut > 0 || !alive ? kBroken : kHeld;
}
