// Some answers of a backend come twice, the second some milliseconds after the first. No client may get the
// answer to somebody else's request.
#include "rig.h"

int main(int, char** argv) {
  using namespace rig;
  constexpr int kRequests = 400, kTryMs = 1500, kSpoilt = 10;  // one answer in ten comes twice
  constexpr double kWorkS = 0.03, kThinkS = 0.012;
  constexpr int kSecondAfterMs[] = {3, 6, 9, 12, 15};  // in turn
  Record record(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Endpoint> endpoints;
  std::atomic<int> ran{0}, twice{0}, turn{0};
  for (int i = 0; i < 3; ++i) {
    std::string name = "s-0000000" + std::to_string(i);
    servers.push_back(std::make_unique<Server>([&, name](Connection& connection) {
      for (;;) {
        Message request = ReadMessage(connection);
        if (!request.complete) return;
        std::string id = request.Header("Request-Id");
        std::string answer = Ok("timetable of " + id);
        record.Line("%s runs %s", name.c_str(), id.c_str());
        Sleep(kWorkS);
        if (!connection.Write(answer)) return;
        if (++ran % kSpoilt != 0 || !Trouble()) continue;
        int after_ms = kSecondAfterMs[turn++ % 5];
        Sleep(after_ms / 1000.0);
        if (!connection.Write(answer)) return;
        ++twice;
        record.Line("%s has answered %s a second time, %d ms later", name.c_str(), id.c_str(), after_ms);
      }
    }));
    endpoints.push_back({name, servers.back()->port()});
  }
  Server discovery(Discovery(endpoints)), counter(Counter());
  Gateway gateway(Site{}, endpoints, discovery.port(), counter.port());
  if (!gateway.WaitUntilReady(30)) return kCouldNotRun;
  record.Line("the gateway is ready");

  std::atomic<int> own{0}, foreign{0}, other{0}, numbers{0};
  auto client = [&] {
    Connection connection = Connection::To(gateway.port());
    for (int number; (number = ++numbers) <= kRequests; Sleep(kThinkS)) {
      std::string id = RequestId(number);
      if (!connection.open()) connection = Connection::To(gateway.port());
      if (!connection.Write(RequestHead("GET", id, kTryMs))) return;
      Message answer = ReadMessage(connection, Now() + 3);
      bool good = answer.Status() == 200;
      if (!good) {
        ++other;
      } else if (answer.body == "timetable of " + id) {
        ++own;
      } else {
        ++foreign;
        record.Line("FOREIGN: the client of %s gets \"%s\"", id.c_str(), answer.body.c_str());
      }
      if (!answer.complete) return;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 2; ++i) threads.emplace_back(client);
  for (std::thread& thread : threads) thread.join();
  bool alive = gateway.Alive();
  record.Line("own answers %d, FOREIGN %d, other %d; second answers sent %d; gateway %s", own.load(),
              foreign.load(), other.load(), twice.load(), alive ? "runs" : "HAS ENDED");
  gateway.Stop();
  if (own == 0) return kCouldNotRun;
  return foreign > 0 || !alive ? kBroken : kHeld;
}
