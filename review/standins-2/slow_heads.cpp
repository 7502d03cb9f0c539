// Peers that stop in the middle of a request's head and stay, more than the gateway has room for. Clients
// that open a connection meanwhile have to get their final answer.
#include "rig.h"

int main(int, char** argv) {
  using namespace rig;
  constexpr int kPeers = 150;   // the gateway has 256 descriptors
  constexpr int kTryMs = 1500;  // a try is given up after 50 to 100% of the deadline of 3 s
  constexpr double kLateS =
      0.5 + 0.05;  // later than this after its time, a request is lost; with the slack of sockets
  constexpr double kPeersAtS = 1.0, kEndS = 5.0, kEveryS = 0.1;

  Record record(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  std::atomic<int> ran{0};
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 3; ++i) {
    std::string name = "s-0000000" + std::to_string(i);
    servers.push_back(std::make_unique<Server>([&record, &ran, name](Connection& connection) {
      for (;;) {
        Message request = ReadMessage(connection);
        if (!request.complete) return;
        ++ran;
        record.Line("%s runs %s", name.c_str(), request.Header("Request-Id").c_str());
        Sleep(0.1);
        if (!connection.Write(Ok("timetable of " + request.Header("Request-Id")))) return;
      }
    }));
    endpoints.push_back({name, servers.back()->port()});
  }
  Server discovery(Discovery(endpoints)), counter(Counter());
  Gateway gateway(Site{}, endpoints, discovery.port(), counter.port());
  if (!gateway.WaitUntilReady(30)) return kCouldNotRun;
  double start = Now();
  record.Line("the gateway is ready");

  std::atomic<int> sent{0}, answered{0}, shut{0}, lost{0}, unsent{0};
  auto client = [&](int number) {
    std::string id = RequestId(number);
    Connection connection = Connection::To(gateway.port());
    double sent_at = Now(), due = sent_at + kTryMs / 1000.0 + kLateS;
    if (!connection.open() || !connection.Write(RequestHead("GET", id, kTryMs), due)) return void(++unsent);
    ++sent;
    record.Line("client sends %s", id.c_str());
    bool ended = false;
    Message answer = ReadMessage(connection, due, &ended);
    if (answer.complete) {
      ++answered;
      record.Line("client gets %d for %s after %.3f s", answer.Status(), id.c_str(), Now() - sent_at);
    } else if (ended) {  // a new connection may be shut unread
      ++shut;
      record.Line("connection of %s is shut after %.3f s", id.c_str(), Now() - sent_at);
    } else {
      ++lost;
      record.Line("LOST: %s has no answer %.3f s after it was sent, with a time of %.3f s", id.c_str(),
                  Now() - sent_at, kTryMs / 1000.0);
      answer = ReadMessage(connection, Now() + 3);
      if (answer.complete)
        record.Line("(%s: its answer %d comes after %.3f s)", id.c_str(), answer.Status(), Now() - sent_at);
    }
  };

  std::vector<std::thread> threads;
  std::vector<Connection> peers;
  int number = 0;
  for (double next = start; Now() < start + kEndS; Sleep((next += kEveryS) - Now())) {
    threads.emplace_back(client, ++number);
    if (!Trouble() || !peers.empty() || Now() < start + kPeersAtS) continue;
    for (int i = 0; i < kPeers; ++i) {
      peers.push_back(Connection::To(gateway.port()));
      if (peers.back().open()) peers.back().Write("GET /view-orar HTTP/1.1\r\nHost: app.s");
    }
    record.Line("%d peers have connected and stop in the middle of a head", kPeers);
  }
  for (std::thread& thread : threads) thread.join();
  bool alive = gateway.Alive();
  record.Line("sent %d, answered %d, shut %d, not sent %d, LOST %d; attempts at backends %d; gateway %s",
              sent.load(), answered.load(), shut.load(), unsent.load(), lost.load(), ran.load(),
              alive ? "runs" : "HAS ENDED");
  gateway.Stop();
  if (sent == 0 || answered == 0) return kCouldNotRun;
  return lost > 0 || !alive ? kBroken : kHeld;
}
