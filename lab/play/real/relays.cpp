// What a cut holds back waits in the relay and flows on after the heal, as it does when a kernel sends again.
#include "play/real/relays.h"

#include <boost/asio/write.hpp>

namespace lemonchute::lab {
namespace {

constexpr size_t kMostHeld = 64 * 1024;  // bytes one way, as a socket's buffer would hold
constexpr double kPieceS = 0.05;         // a trickle comes in pieces of so much time

}  // namespace

Relay::Relay(World& world, int gateway, RemoteParty far, int other, const tcp::endpoint& at,
             const tcp::endpoint& to)
    : world_(world), gateway_(gateway), other_(other), far_(far), at_(at), to_(to) {}

void Relay::Open() {
  if (acceptor_) return;
  acceptor_.emplace(world_.io, at_, true);
  boost::system::error_code ignored;
  acceptor_->set_option(ReceiveTimestamps(true), ignored);
  Accept();
}

void Relay::Close() {
  acceptor_.reset();
  while (!links_.empty()) Reset(*links_.begin());
}

void Relay::Accept() {
  acceptor_->async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) Take(std::move(socket));
    Accept();
  });
}

void Relay::Take(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto link = std::make_shared<Link>(std::move(socket), world_.io);
  links_.insert(link);
  PathState out = State(true), in = State(false);
  if (out.resets || in.resets) return Reset(link);
  if (!out.Passes() || !in.Passes()) {
    link->mute = true;
    return Read(link, true);
  }
  link->far.async_connect(to_, [this, link](boost::system::error_code error) {
    if (link->gone) return;
    if (error) return Reset(link);
    boost::system::error_code none;
    link->far.set_option(tcp::no_delay(true), none);
    link->far_end = link->far.local_endpoint(none);
    link->joined = true;
    Read(link, true);
    Read(link, false);
  });
}

void Relay::Read(const LinkPtr& link, bool out) {
  Half& half = out ? link->out : link->in;
  if (half.reading || half.ended || half.bytes >= kMostHeld) return;
  half.reading = true;
  (out ? link->near : link->far)
      .async_wait(tcp::socket::wait_read, [this, link, out](boost::system::error_code error) {
        if (link->gone) return;
        if (error) return Reset(link);
        OnReadable(link, out);
      });
}

void Relay::OnReadable(const LinkPtr& link, bool out) {
  Half& half = out ? link->out : link->in;
  half.reading = false;
  Received received =
      Receive((out ? link->near : link->far).native_handle(), half.part.data(), half.part.size());
  if (received.WouldBlock()) return Read(link, out);
  if (received.size < 0) return Reset(link);
  if (received.size == 0) {
    if (link->mute) return Reset(link);
    half.ended = true;
    return Pump(link, out);
  }
  if (!link->mute) Keep(link, out, received);
  Read(link, out);
}

void Relay::Keep(const LinkPtr& link, bool out, const Received& received) {
  auto bytes = static_cast<size_t>(received.size);
  Half& half = out ? link->out : link->in;
  PathState state = State(out);
  if (state.black_hole) {
    link->holed = true;
    return;
  }
  // A message's time is that of its first byte, however long the path keeps it.
  if (out && half.held.empty()) {
    world_.written_at[{link->far_end, to_}] =
        world_.schedule.MomentOf(received.arrived_at.value_or(Schedule::Clock::now()));
  }
  auto due = std::max(half.last,
                      Schedule::Clock::now() + std::chrono::microseconds(world_.paths.StreamDelay(state, 0)));
  size_t piece = bytes;
  if (state.bytes_per_s > 0) piece = std::max<size_t>(1, static_cast<size_t>(state.bytes_per_s * kPieceS));
  for (size_t at = 0; at < bytes; at += piece) {
    size_t length = std::min(piece, bytes - at);
    if (state.bytes_per_s > 0)
      due += std::chrono::microseconds(FromSeconds(static_cast<double>(length) / state.bytes_per_s));
    half.held.push_back({due, std::string(half.part.data() + at, length)});
  }
  half.last = due;
  half.bytes += bytes;
  Pump(link, out);
}

void Relay::Pump(const LinkPtr& link, bool out) {
  Half& half = out ? link->out : link->in;
  if (link->gone || half.writing || half.armed) return;
  if (State(out).cut) return;  // Changed() goes on
  tcp::socket& to = out ? link->far : link->near;
  if (half.held.empty()) {
    boost::system::error_code ignored;
    if (half.ended) to.shutdown(tcp::socket::shutdown_send, ignored);
    if (link->out.ended && link->in.ended && link->out.held.empty() && link->in.held.empty()) {
      link->near.close(ignored), link->far.close(ignored);
      Forget(link);
    }
    return;
  }
  auto now = Schedule::Clock::now();
  if (half.held.front().due > now) {
    half.armed = true;
    auto wait = std::chrono::duration_cast<std::chrono::microseconds>(half.held.front().due - now).count();
    return world_.schedule.After(wait, [this, weak = std::weak_ptr<Link>(link), out] {
      LinkPtr later = weak.lock();
      if (!later || later->gone) return;
      (out ? later->out : later->in).armed = false;
      Pump(later, out);
    });
  }
  half.writing = true;
  asio::async_write(to, asio::buffer(half.held.front().bytes),
                    [this, link, out](boost::system::error_code error, size_t) {
                      if (link->gone) return;
                      if (error) return Reset(link);
                      Half& written = out ? link->out : link->in;
                      written.writing = false;
                      written.bytes -= written.held.front().bytes.size();
                      written.held.pop_front();
                      Read(link, out);
                      Pump(link, out);
                    });
}

void Relay::Forget(const LinkPtr& link) {
  link->gone = true;
  // What its party has not read yet is still looked up.
  world_.schedule.After(kSecond,
                        [this, ends = World::Ends(link->far_end, to_)] { world_.written_at.erase(ends); });
  if (far_ == RemoteParty::kBackends && (!link->joined || link->holed || !link->out.held.empty()))
    ++world_.swallowed[static_cast<size_t>(gateway_)];
  links_.erase(link);
}

void Relay::Reset(const LinkPtr& link) {
  boost::system::error_code ignored;
  for (tcp::socket* socket : {&link->near, &link->far}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  Forget(link);
}

void Relay::Changed() {
  if (links_.empty()) return;
  PathState out = State(true), in = State(false);
  std::vector<LinkPtr> links(links_.begin(), links_.end());
  for (const LinkPtr& link : links) {
    bool healed = out.Passes() && in.Passes();
    if (out.resets || in.resets || (healed && (link->mute || link->holed))) {
      Reset(link);
      continue;
    }
    Pump(link, true);
    Pump(link, false);
  }
}

Relays::Relays(World& world) : to_backend_(world.day.backends.size()) {
  if (!world.relayed) return;
  auto add = [&](int g, RemoteParty far, int other, const tcp::endpoint& at, const tcp::endpoint& to) {
    relays_.push_back(std::make_unique<Relay>(world, g, far, other, at, to));
    return relays_.back().get();
  };
  for (int g = 0; g < world.day.gateways; ++g) {
    add(g, RemoteParty::kCounter, 0, world.CounterAt(g), world.slice.Counter(g))->Open();
    add(g, RemoteParty::kDiscovery, 0, world.AgentAt(g), world.slice.Agent(g))->Open();
    for (size_t b = 0; b < world.day.backends.size(); ++b) {
      auto backend = static_cast<int>(b);
      Relay* relay =
          add(g, RemoteParty::kBackends, backend, world.BackendAt(g, backend), world.slice.Backend(backend));
      to_backend_[b].push_back(relay);
      if (world.day.backends[b].starts_at == 0) relay->Open();
    }
  }
}

void Relays::Changed() {
  for (auto& relay : relays_) relay->Changed();
}

void Relays::Backend(int backend, bool up) {
  for (Relay* relay : to_backend_[static_cast<size_t>(backend)]) up ? relay->Open() : relay->Close();
}

}  // namespace lemonchute::lab
