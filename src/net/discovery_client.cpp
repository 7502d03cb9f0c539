#include "net/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/message_decoding.h"

namespace lemonchute::net {
namespace {

constexpr size_t kMaxListBytes = size_t{8} << 20;
// A change must be known here within this time after discovery has it and is reachable, whatever calls failed
// before. If a silent watch misses the change, the time counts from the watch's last response.
constexpr auto kUpdateDeadline = std::chrono::milliseconds(6000);
// Detecting a silent watch takes its wait and kCallTimeout, which is half of kUpdateDeadline. The other half
// remains for the calls that replace it.
constexpr int kWatchWaitMs = 1000;
constexpr int kResumeWaitMs = 1;  // of the first watch after Resume(): returns earlier changes at once
constexpr auto kCallTimeout = std::chrono::milliseconds(2000);  // as long as discovery may queue a call
constexpr auto kMinBackoff = std::chrono::milliseconds(50);
// Leaves time for one more call to time out within kUpdateDeadline. The mean pause is half of this, about as
// long as a watch: gateways that are refused send no more calls than those that are served.
constexpr auto kMaxBackoff = kUpdateDeadline - 2 * kCallTimeout;
// Where lists are pushed, the backoff is limited to this share of the drain grace: the agent runs on this
// machine and knows of a drain as soon as discovery is back. The rest of the grace is left for the call and
// for a stalled process.
constexpr double kMaxBackoffGraceShare = 0.5;
// After a change of address the fleet's snapshots are spread over the longest wait that the protocol allows a
// watch, since the cost of a list to discovery grows with its length.
constexpr auto kSnapshotSpread = std::chrono::milliseconds(60000);

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 std::shared_ptr<const policy::SocketSettings> socket_settings,
                                 BackendIds* ids, OnList on_list, OnFailed on_failed, uint64_t seed)
    : io_(io),
      address_(address),
      socket_settings_(std::move(socket_settings)),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      socket_(io),
      timer_(io),
      rng_(seed) {}

void DiscoveryClient::SetSocketSettings(std::shared_ptr<const policy::SocketSettings> socket_settings) {
  bool names_changed =
      socket_settings->zones != socket_settings_->zones || socket_settings->kinds != socket_settings_->kinds;
  socket_settings_ = std::move(socket_settings);
  if (!names_changed) return;
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

void DiscoveryClient::SetAddress(const tcp::endpoint& address) {
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
  if (!socket_settings_->discovery_pushes) return kMaxBackoff;
  return std::clamp<Clock::duration>(Seconds(kMaxBackoffGraceShare * socket_settings_->drain_grace_s),
                                     kMinBackoff, kMaxBackoff);
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
    backoff_ = {};  // no further pause after a timeout
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
  if (!malformed) malformed = ParseMessage(*parser_, buffer_, kMaxHeader);
  if (malformed) return OnFailure();
  if (parser_->is_done()) return OnResponse();
  if (error) return OnFailure();
  Read();
}

void DiscoveryClient::OnResponse() {
  if (parser_->get().result_int() != 200) return OnFailure(true);
  BackendList list;
  try {
    list = ParseBackendList(nlohmann::json::parse(parser_->get().body()), *socket_settings_, ids_);
  } catch (const std::exception&) {
    return OnFailure();  // a malformed list changes nothing
  }
  if (snapshot_next_ && !list.is_snapshot) return OnFailure();
  if (!parser_->keep_alive() || buffer_.size() > 0) CloseNow(socket_);
  if (list.is_snapshot) snapshot_due_.reset();
  snapshot_next_ = resuming_ = false;
  index_ = list.index;
  backoff_ = {};
  Poll();  // before the list is handled: discovery keeps a watch for only 200 ms between calls
  on_list_(std::move(list));
}

void DiscoveryClient::OnFailure(bool refused) {
  uint64_t call = ++call_;
  CloseNow(socket_);
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kMinBackoff, MaxBackoff());
  // A watch that broke continues from the same version. After a longer gap a snapshot is requested, so that
  // no change is missed whatever discovery still has. An agent that refuses a call is up and still has the
  // changes: snapshots for every gateway would only add to its overload.
  if (!refused && backoff_ > 2 * kMinBackoff) snapshot_next_ = true;
  timer_.expires_after(RandomUpTo(backoff_));
  timer_.async_wait([this, call](error_code cancelled) {
    if (!cancelled && call == call_) Poll();
  });
  on_failed_();
}

}  // namespace lemonchute::net
