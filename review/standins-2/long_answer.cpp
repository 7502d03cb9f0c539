// A backend's long answer of no stated length, whose first bytes come in time and whose rest follows in
// bursts. It must not be cut off while the backend still gives it.
#include "rig.h"

int main(int, char** argv) {
  using namespace rig;
  constexpr int kTryMs = 1500, kRequests = 5, kBursts = 10;
  constexpr size_t kBurstBytes = 40000;  // beyond 64 KiB with the second burst, 400,000 bytes in all
  constexpr double kPauseS = 0.4;  // so 100 kB a second; and beyond 64 KiB within 0.5 s of the request's time
  Record record(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  std::mutex mutex;
  std::map<std::string, int> given;  // bursts written for each id
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 3; ++i) {
    std::string name = "s-0000000" + std::to_string(i);
    servers.push_back(std::make_unique<Server>([&, name](Connection& connection) {
      for (;;) {
        Message request = ReadMessage(connection);
        if (!request.complete) return;
        std::string id = request.Header("Request-Id");
        double first_s = 1.30 + 0.02 * (std::strtoul(id.c_str(), nullptr, 16) % 7);  // up to 1.42 s, of 1.5 s
        record.Line("%s runs %s, first bytes in %.2f s", name.c_str(), id.c_str(), first_s);
        Sleep(first_s);
        if (!connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
        for (int burst = 0; burst < kBursts; ++burst) {
          bool open = true;
          for (size_t done = 0; open && done < kBurstBytes; done += 2000)  // in small pieces
            open = connection.Write("7d0\r\n" + std::string(2000, static_cast<char>('a' + burst)) + "\r\n");
          if (!open) {
            record.Line("%s: the gateway has closed the connection of %s before burst %d", name.c_str(),
                        id.c_str(), burst + 1);
            return;
          }
          {
            std::lock_guard lock(mutex);
            given[id] = burst + 1;
          }
          if (Trouble() && burst + 1 < kBursts) Sleep(kPauseS);
        }
        if (!connection.Write("0\r\n\r\n")) return;
        record.Line("%s has given all of %s", name.c_str(), id.c_str());
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
    double sent_at = Now(), first_at = 0;
    if (!connection.open() || !connection.Write(RequestHead("GET", id, kTryMs))) return void(++other);
    record.Line("client sends %s", id.c_str());
    bool ended = false, complete = false;
    while (!ended && !complete && Now() < sent_at + 12) {
      ended = connection.ReadMore(sent_at + 12) <= 0;
      if (first_at == 0 && connection.unread.find("\r\n\r\n") != std::string::npos)
        first_at = Now() - sent_at;
      size_t size = connection.unread.size();
      complete = size > 5 && connection.unread.compare(size - 5, 5, "0\r\n\r\n") == 0;
    }
    bool good = connection.unread.compare(0, 12, "HTTP/1.1 200") == 0;
    record.Line("client: %s: %zu bytes, the first after %.3f s, %s after %.3f s", id.c_str(),
                connection.unread.size(), first_at, complete ? "whole" : "ended without the last chunk",
                Now() - sent_at);
    if (good && complete) return void(++whole);
    // Its first bytes came in time, and the backend was still giving it.
    if (good && ended && first_at <= kTryMs / 1000.0) {
      record.Line("LOST: %s was cut off", id.c_str());
      return void(++cut);
    }
    ++other;
  };
  std::vector<std::thread> threads;
  for (int number = 1; number <= kRequests; ++number, Sleep(0.3)) threads.emplace_back(client, number);
  for (std::thread& thread : threads) thread.join();
  bool alive = gateway.Alive();
  record.Line("whole %d, CUT OFF %d, other %d; gateway %s", whole.load(), cut.load(), other.load(),
              alive ? "runs" : "HAS ENDED");
  gateway.Stop();
  if (whole + cut == 0) return kCouldNotRun;
  return cut > 0 || !alive ? kBroken : kHeld;
}
