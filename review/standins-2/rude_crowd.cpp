// Resting clients fill the descriptors, and now and then a peer sends something that is not a request and
// stays. Clients that open a connection meanwhile have to get their final answer.
#include "rig.h"

int main(int, char** argv) {
  using namespace rig;
  constexpr int kResting = 150;  // the gateway has 256 descriptors
  constexpr int kTryMs = 1000;   // a try is given up after 50 to 100% of the deadline
  constexpr double kDeadlineS = 2.0, kLateS = 0.5 + 0.05;
  constexpr double kCrowdS = 2.0, kEndS = 16.0, kEveryS = 0.125, kRudeEveryS = 0.25;

  Record record(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  const char* only =
      std::getenv("ONLY");  // "crowd" or "rude": one half of the disruption, to tell them apart
  bool with_crowd = Trouble() && (only == nullptr || std::string(only) == "crowd");
  bool with_rude = Trouble() && (only == nullptr || std::string(only) == "rude");
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
        Sleep(0.1);
        if (!connection.Write(Ok("timetable of " + request.Header("Request-Id")))) return;
      }
    }));
    endpoints.push_back({name, servers.back()->port()});
  }
  Server discovery(Discovery(endpoints)), counter(Counter());
  Site site;
  site.deadline_s = kDeadlineS;
  Gateway gateway(site, endpoints, discovery.port(), counter.port());
  if (!gateway.WaitUntilReady(30)) return kCouldNotRun;
  double start = Now();
  record.Line("the gateway is ready");

  std::atomic<bool> stop{false};
  std::atomic<int> sent{0}, answered{0}, shut{0}, lost{0}, unsent{0}, rude{0}, numbers{0};
  // Rests until the gateway ends its connection, then connects anew.
  auto resting = [&] {
    while (!stop) {
      Connection connection = Connection::To(gateway.port());
      int read = connection.open() ? 1 : 0;
      while (read != 0 && !stop) read = connection.ReadMore(Now() + 0.5);
      connection.Close();
      Sleep(0.1);
    }
  };
  // Is owed an error or a close within 3 s; ends its own side a second after that.
  auto rude_peer = [&] {
    Connection connection = Connection::To(gateway.port());
    if (!connection.open() || !connection.Write("EHLO timetable\r\n\r\n", Now() + 3)) return;
    ++rude;
    for (double until = Now() + 4; !stop && Now() < until;) Sleep(0.1);
  };
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
      Sleep(3);          // keeps its connection for a while
    } else if (ended) {  // a new connection may be shut unread
      ++shut;
      record.Line("connection of %s is shut after %.3f s", id.c_str(), Now() - sent_at);
    } else {
      ++lost;
      record.Line("LOST: %s has no answer %.3f s after it was sent, with a time of %.3f s", id.c_str(),
                  Now() - sent_at, kTryMs / 1000.0);
    }
  };

  std::vector<std::thread> threads;
  double next_rude = start + kCrowdS;
  for (int i = 0; with_crowd && i < kResting; ++i) threads.emplace_back(resting);
  for (double next = start + kCrowdS; Now() < start + kEndS; next += kEveryS) {
    Sleep(next - Now());
    threads.emplace_back(client, ++numbers);
    if (!with_rude || Now() < next_rude) continue;
    next_rude += kRudeEveryS;
    threads.emplace_back(rude_peer);
  }
  Sleep(kTryMs / 1000.0 + kLateS);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  bool alive = gateway.Alive();
  record.Line(
      "sent %d, answered %d, shut %d, not sent %d, LOST %d; rude peers %d; attempts at backends %d; gateway "
      "%s",
      sent.load(), answered.load(), shut.load(), unsent.load(), lost.load(), rude.load(), ran.load(),
      alive ? "runs" : "HAS ENDED");
  gateway.Stop();
  if (sent == 0 || answered == 0) return kCouldNotRun;
  return lost > 0 || !alive ? kBroken : kHeld;
}
