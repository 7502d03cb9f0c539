// Connections are kept and used again, the one used last first; one is opened where all are busy.
#include "play/real/clients.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lemonchute::lab {
namespace {

constexpr HttpConnection::Clock::time_point kNoMoment{};
// How often a request is looked at that the lab has yet to write, or whose answer it has yet to read.
constexpr Micros kLagCheckEach = 10'000;

}  // namespace

Clients::Clients(World& world, StubBackends& backends, bool null_run,
                 std::function<bool(int, Micros)> answers)
    : world_(world),
      backends_(backends),
      null_run_(null_run),
      answers_(std::move(answers)),
      idle_(std::max(static_cast<size_t>(world.day.gateways), world.day.backends.size())) {}

void Clients::Begin() { Next(0); }

size_t Clients::Connections(int gateway) const {
  size_t held = idle_[static_cast<size_t>(gateway)].size();
  for (const auto& [id, open] : open_) held += world_.judge.GetTry(id).gateway == gateway ? 1 : 0;
  return held;
}

void Clients::Next(uint32_t arrival) {
  if (arrival >= world_.day.arrivals.size()) return;
  Micros at = world_.day.arrivals[arrival].at;
  world_.schedule.At(at, [this, arrival, at] {
    Next(arrival + 1);
    Send(arrival, 0, at);
  });
}

// After SIGTERM clients send on every connection that stays open (STANDING).
int Clients::Pick(uint32_t arrival, int number, Micros at) const {
  if (world_.client_router.KeepsConnectionUntilEnd(arrival, number)) {
    const Customer& customer = world_.day.customers[world_.day.arrivals[arrival].customer];
    for (int i = 0; i < customer.gateway_count; ++i) {
      int gateway = (customer.first_gateway + i) % world_.day.gateways;
      auto index = static_cast<size_t>(gateway);
      if (world_.told_to_end_at[index] != kNever && !idle_[index].empty()) return gateway;
    }
  }
  return world_.client_router.PickGateway(arrival, number, at);
}

void Clients::Send(uint32_t arrival, int number, Micros at) {
  int gateway = Pick(arrival, number, at);
  const Customer& customer = world_.day.customers[world_.day.arrivals[arrival].customer];
  Micros patience = world_.client_router.TryTimeout(arrival, at);
  uint32_t id =
      world_.judge.OnTrySent(at, arrival, number, gateway < 0 ? customer.first_gateway : gateway, patience);
  if (gateway < 0) {
    world_.judge.OnTryUndelivered(at, id);
    return Again(id, 0);
  }
  Micros write_due = at + world_.network.ClientDelay();
  world_.schedule.At(write_due, [this, id, write_due] { Ask(id, false, write_due); });
  world_.schedule.At(at + patience, [this, id] {
    if (world_.judge.GetTry(id).closed) return;
    world_.judge.OnClientLeft(world_.Now(), id);
    Again(id, 0);
  });
  world_.schedule.At(at + patience + FromSeconds(world_.day.answer_grace_s),
                     [this, id] { CheckAnswered(id); });
  if (auto leaves = world_.client_router.LeavesAfter(arrival, number, patience)) {
    world_.schedule.At(at + *leaves, [this, id] {
      auto open = open_.find(id);
      if (open == open_.end() || world_.judge.GetTry(id).closed) return;
      world_.judge.OnClientLeft(world_.Now(), id);
      std::shared_ptr<HttpConnection> connection = open->second.connection;
      open_.erase(open);
      connection->Close();
    });
  }
}

std::string Clients::Text(uint32_t id) const {
  const Try& t = world_.judge.GetTry(id);
  const Arrival& a = world_.day.arrivals[t.arrival];
  const Customer& c = world_.day.customers[a.customer];
  char cookie[17];
  std::snprintf(cookie, sizeof(cookie), "%016llx", static_cast<unsigned long long>(c.key));
  return "GET /" + world_.day.classes[static_cast<size_t>(a.class_index)].name +
         " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + RequestId(world_.day, id) +
         "\r\nX-Tier: " + world_.day.plans[static_cast<size_t>(c.plan)].name +
         "\r\nCookie: client=" + cookie + "\r\nRequest-Timeout-Ms: " + std::to_string(t.timeout / 1000) +
         "\r\nX-Call-Terms: units=" + std::to_string(static_cast<int>(a.estimated_units)) +
         ",spread=" + std::to_string(c.gateway_count) + ",first=" + std::to_string(c.first_gateway) + "\r\n" +
         (t.number > 0 ? "Client-Retry: 1\r\n" : "") + "\r\n";
}

std::optional<Micros> Clients::LastAnswerAt(uint32_t id, const Open& open) const {
  const Try& t = world_.judge.GetTry(id);
  const HttpConnection::Exchange& exchange = open.connection->exchange();
  if (exchange.written_at == kNoMoment) return std::nullopt;
  Micros written_late = std::max<Micros>(0, world_.schedule.MomentOf(exchange.written_at) - open.write_due);
  return t.sent_at + written_late + t.timeout + FromSeconds(world_.day.answer_grace_s);
}

void Clients::CheckAnswered(uint32_t id) {
  auto found = open_.find(id);
  if (found == open_.end()) return;
  Open open = found->second;
  const HttpConnection::Exchange& exchange = open.connection->exchange();
  auto last = LastAnswerAt(id, open);
  auto unread = open.connection->UnreadSince();
  bool write_pending = !last && open.connection->IsConnected();
  bool read_pending = last && unread && world_.schedule.MomentOf(*unread) <= *last;
  if (write_pending || read_pending || (last && world_.Now() < *last)) {
    if (!std::exchange(found->second.delayed_by_lab, true)) {
      ++delayed_by_lab_;
      world_.log->info("at_s={:.4f} delayed_by_lab {}", ToSeconds(world_.Now()), Steps(id, open, exchange));
    }
    Micros soon = world_.Now() + kLagCheckEach;
    return world_.schedule.At(last ? std::max(*last, soon) : soon, [this, id] { CheckAnswered(id); });
  }
  open_.erase(found);
  const Try& t = world_.judge.GetTry(id);
  if (answers_(t.gateway, t.sent_at)) {
    world_.judge.OnTryLost(
        world_.Now(), id,
        "no final answer by the end of its time and the grace (" + Steps(id, open, exchange) + ")");
  }
  open.connection->Close();
}

bool Clients::CameTooLate(uint32_t id, const Open& open, const HttpConnection::Exchange& exchange) const {
  const Try& t = world_.judge.GetTry(id);
  auto last = LastAnswerAt(id, open);
  return last && exchange.arrived_at != kNoMoment && answers_(t.gateway, t.sent_at) &&
         world_.schedule.MomentOf(exchange.arrived_at) > *last;
}

std::string Clients::Steps(uint32_t id, const Open& open, const HttpConnection::Exchange& exchange) const {
  const Try& t = world_.judge.GetTry(id);
  std::string text = "request=" + RequestId(world_.day, id) + " gateway=" + std::to_string(t.gateway);
  auto add = [&](const char* step, Micros at) {
    char part[64];
    std::snprintf(part, sizeof(part), " %s_s=%.4f", step, ToSeconds(at));
    text += part;
  };
  auto add_moment = [&](const char* step, HttpConnection::Clock::time_point at) {
    if (at != kNoMoment) add(step, world_.schedule.MomentOf(at));
  };
  add("sent", t.sent_at);
  add("patience", t.timeout);
  add("write_due", open.write_due);
  add_moment("asked", exchange.asked_at);
  add_moment("written", exchange.written_at);
  add_moment("arrived", exchange.arrived_at);
  add_moment("read", exchange.read_at);
  return text;
}

void Clients::Ask(uint32_t id, bool fresh, Micros write_due) {
  const Try& t = world_.judge.GetTry(id);
  tcp::endpoint to = world_.slice.Gateway(t.gateway);
  auto pool = static_cast<size_t>(t.gateway);
  if (null_run_) {
    null_backend_.resize(std::max<size_t>(null_backend_.size(), id + 1), 0);
    null_backend_[id] = backends_.Best(world_.day.arrivals[t.arrival].work_s);
    pool = static_cast<size_t>(null_backend_[id]);
    to = world_.slice.Backend(null_backend_[id]);
  }
  std::shared_ptr<HttpConnection> connection;
  if (!fresh && !idle_[pool].empty()) {
    connection = idle_[pool].back();
    idle_[pool].pop_back();
  } else {
    connection = std::make_shared<HttpConnection>(world_.io);
  }
  if (!fresh) world_.judge.OnTryReceived(world_.Now(), id);
  open_[id] = {connection, fresh, false, write_due};
  connection->Ask(to, Text(id), [this, id](const HttpConnection::Answer& answer) { Done(id, answer); });
}

void Clients::Done(uint32_t id, const HttpConnection::Answer& answer) {
  auto open = open_.find(id);
  if (open == open_.end()) return;
  Open was = open->second;
  open_.erase(open);
  const Try& t = world_.judge.GetTry(id);
  if (answer.failed == HttpConnection::Failed::kClosedUnheard && was.connection->used() && !was.again &&
      t.attempts == 0)
    return Ask(id, true, was.write_due);
  if (CameTooLate(id, was, answer.exchange)) {
    const char* what =
        answer.failed == HttpConnection::Failed::kNo ? "its final answer" : "the end of its connection";
    world_.judge.OnTryLost(
        world_.Now(), id,
        std::string(what) + " came past its time and the grace (" + Steps(id, was, answer.exchange) + ")");
  }
  if (answer.failed == HttpConnection::Failed::kNo && answer.keeps) {
    idle_[static_cast<size_t>(null_run_ ? null_backend_[id] : t.gateway)].push_back(was.connection);
  }
  bool stamped = answer.exchange.arrived_at != kNoMoment;
  Micros arrived = stamped ? world_.schedule.MomentOf(answer.exchange.arrived_at) : world_.Now();
  Micros at = arrived + world_.network.ClientDelay();
  world_.schedule.At(at, [this, id, answer, at] { Judge(id, answer, at); });
}

// `now`: when the client has the answer, however late the lab was to read it.
void Clients::Judge(uint32_t id, const HttpConnection::Answer& answer, Micros now) {
  const Try& t = world_.judge.GetTry(id);
  if (t.closed) return;  // its client had gone
  switch (answer.failed) {
    case HttpConnection::Failed::kRefused: world_.judge.OnTryUndelivered(now, id); return Again(id, 0);
    case HttpConnection::Failed::kClosedUnheard:
      // A connection's first request may be turned away so as long as nothing of it was sent on.
      if (t.attempts == 0 || !answers_(t.gateway, t.sent_at))
        world_.judge.OnTryUndelivered(now, id);
      else
        world_.judge.OnTryLost(now, id, "its connection was closed without an answer");
      return Again(id, 0);
    case HttpConnection::Failed::kBroken:
      world_.judge.OnTryAnswered(now, id, TryOutcome::kFailed, false);
      return Again(id, 0);
    case HttpConnection::Failed::kNo: break;
  }
  if (answer.status == 200) {
    if (answer.body != BodyOf(id))
      world_.judge.AddViolation("one answer", now, id,
                                "served with what no backend made for it: " + answer.body.substr(0, 80));
    if (Micros backend = backends_.TimeOf(id); backend > 0)
      world_.beside.push_back(now - t.sent_at - backend);
    return world_.judge.OnTryAnswered(now, id, TryOutcome::kServed, false);
  }
  bool refused = answer.status == 429 || answer.status == 503;
  bool room = refused && t.attempts == 0 && backends_.Room(t.gateway);
  world_.judge.OnTryAnswered(now, id, refused ? TryOutcome::kRefused : TryOutcome::kFailed, room);
  Again(id, refused ? std::strtod(answer.retry_after.c_str(), nullptr) : 0);
}

void Clients::Again(uint32_t id, double retry_after_s) {
  const Try& t = world_.judge.GetTry(id);
  auto at = world_.client_router.RetryAt(t.arrival, t.number, world_.Now(), retry_after_s);
  if (!at) return;
  world_.schedule.At(
      *at, [this, arrival = t.arrival, number = t.number + 1, when = *at] { Send(arrival, number, when); });
}

}  // namespace lemonchute::lab
