#include "net/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace lemonchute::net {
namespace {

constexpr size_t kMaxListBytes = size_t{8} << 20;
// A change must be known here so long after discovery had it and was reachable, whatever calls failed before;
// what a silent watch misses, so long after its last response.
constexpr auto kUpdateDeadline = std::chrono::milliseconds(6000);
// Half of that is spent on noticing the silence, which takes the watch's wait and kCallTimeout. The other
// half remains for the calls that make up for it.
constexpr int kWatchWaitMs = 1000;
constexpr int kResumeWaitMs = 1;  // of the first watch after Resume: reports earlier changes at once
constexpr auto kCallTimeout = std::chrono::milliseconds(2000);  // as long as discovery may queue a call
constexpr auto kMinBackoff = std::chrono::milliseconds(50);
// Leaves time for one more call to time out within kUpdateDeadline. The mean pause is half of this, about as
// long as a watch: gateways that are refused send no more calls than those that are served.
constexpr auto kMaxBackoff = kUpdateDeadline - 2 * kCallTimeout;
// Where lists are pushed: the share of the drain grace. The agent is on this machine and has a drain at the
// moment discovery returns; the rest of the grace remains for the call and for a process that is held up.
constexpr double kMaxBackoffGraceShare = 0.5;
// The snapshots after a move are spread over the longest wait that the protocol allows a watch, since
// discovery's cost grows with each line of a list.
constexpr auto kSnapshotSpread = std::chrono::milliseconds(60000);

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 std::shared_ptr<const policy::SocketSettings> site, BackendIds* ids,
                                 OnList on_list, OnFailed on_failed, uint64_t seed)
    : io_(io),
      address_(address),
      site_(std::move(site)),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      socket_(io),
      timer_(io),
      rng_(seed) {}

void DiscoveryClient::SetSite(std::shared_ptr<const policy::SocketSettings> site) {
  bool renamed = site->zones != site_->zones || site->kinds != site_->kinds;
  site_ = std::move(site);
  if (!renamed) return;
  snapshot_next_ = true;  // earlier lists were parsed with the old names
  Restart();
}

void DiscoveryClient::Resume(uint64_t index) {
  index_ = index;
  snapshot_next_ = false;
  resuming_ = true;
}

void DiscoveryClient::Start() {
  if (running_) return;
  running_ = true;
  Poll();
}

void DiscoveryClient::Stop() {
  running_ = false;
  ++call_;
  timer_.cancel();
  CloseNow(socket_);
}

void DiscoveryClient::Move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  snapshot_due_ = Clock::now() + RandomUpTo(kSnapshotSpread);
  Restart();
}

// Drops the current call and polls at once.
void DiscoveryClient::Restart() {
  CloseNow(socket_);
  backoff_ = {};
  Poll();
}

// Random, so that gateways of a fleet whose calls coincide once do not stay synchronized.
Clock::duration DiscoveryClient::RandomUpTo(Clock::duration limit) {
  std::uniform_real_distribution<double> fraction(0, 1);
  return std::chrono::duration_cast<Clock::duration>(limit * fraction(rng_));
}

Clock::duration DiscoveryClient::MaxBackoff() const {
  if (!site_->discovery_pushes) return kMaxBackoff;
  return std::clamp<Clock::duration>(Seconds(kMaxBackoffGraceShare * site_->drain_grace_s), kMinBackoff,
                                     kMaxBackoff);
}

void DiscoveryClient::Poll() {
  if (!running_) return;
  uint64_t call = ++call_;
  if (snapshot_due_ && Clock::now() >= *snapshot_due_) snapshot_next_ = true;
  bool watch = index_.has_value() && !snapshot_next_;
  int wait_ms = !watch ? 0 : resuming_ ? kResumeWaitMs : kWatchWaitMs;
  request_ = "GET /api/targets";
  if (watch) request_ += "?after=" + std::to_string(*index_) + "&wait_ms=" + std::to_string(wait_ms);
  request_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
  ResetParser(&parser_, kMaxListBytes);
  timer_.expires_after(kCallTimeout + std::chrono::milliseconds(wait_ms));
  timer_.async_wait([this, call](error_code cancelled) {
    if (cancelled || call != call_) return;
    backoff_ = {};  // the timeout was pause enough
    OnFailure();
  });
  if (socket_.is_open() && !IsStale(socket_)) {
    Send();
  } else {
    CloseNow(socket_);
    Connect();
  }
}

void DiscoveryClient::Connect() {
  buffer_.clear();
  error_code error = OpenSocket(socket_, address_);
  if (error) return OnFailure();
  socket_.async_connect(address_, [this, call = call_](error_code failed) {
    if (call != call_) return;
    if (failed) return OnFailure();
    Send();
  });
}

void DiscoveryClient::Send() {
  auto current = [this, call = call_] { return call == call_; };
  auto done = [this](error_code error) { error ? OnFailure() : Read(); };
  WriteWhileCurrent(socket_, request_, 0, done, current);
}

void DiscoveryClient::Read() {
  auto on_read = [this, call = call_](error_code error, size_t size) {
    if (call == call_) OnRead(error, size);
  };
  socket_.async_read_some(buffer_.prepare(kReadChunk), on_read);
}

void DiscoveryClient::OnRead(error_code error, size_t size) {
  buffer_.commit(size);
  error_code malformed;
  if (error == asio::error::eof && parser_->got_some()) {
    parser_->put_eof(malformed);
  } else if (error) {
    return OnFailure();
  }
  while (buffer_.size() > 0 && !parser_->is_done() && !malformed) {
    buffer_.consume(parser_->put(buffer_.data(), malformed));
  }
  if (malformed == http::error::need_more) malformed = {};
  if (malformed) return OnFailure();
  if (parser_->is_done()) return OnResponse();
  if (error) return OnFailure();
  Read();
}

void DiscoveryClient::OnResponse() {
  if (parser_->get().result_int() != 200) return OnFailure(true);
  BackendList list;
  try {
    list = ParseList(nlohmann::json::parse(parser_->get().body()), *site_, ids_);
  } catch (const std::exception&) {
    return OnFailure();  // a malformed list changes nothing
  }
  if (snapshot_next_ && !list.full) return OnFailure();
  if (!parser_->keep_alive() || buffer_.size() > 0) CloseNow(socket_);
  if (list.full) snapshot_due_.reset();
  snapshot_next_ = resuming_ = false;
  index_ = list.index;
  backoff_ = {};
  Poll();  // before the list is handled: discovery keeps a watch only for 200 ms between its calls
  on_list_(std::move(list));
}

void DiscoveryClient::OnFailure(bool refused) {
  uint64_t call = ++call_;
  CloseNow(socket_);
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kMinBackoff, MaxBackoff());
  // A watch that broke continues from the same version. After a longer gap a snapshot is requested, so that
  // no change is missed whatever discovery still has. An agent that refuses is up and has it: snapshots for
  // every gateway would only add to its overload.
  if (!refused && backoff_ > 2 * kMinBackoff) snapshot_next_ = true;
  timer_.expires_after(RandomUpTo(backoff_));
  timer_.async_wait([this, call](error_code cancelled) {
    if (!cancelled && call == call_) Poll();
  });
  on_failed_();
}

}  // namespace lemonchute::net
