#include "net/counter_client.h"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>

namespace lemonchute::net {

using policy::AttemptResult;
using policy::CounterResponse;

namespace {

// Several, because a slow call delays only those behind it on the same connection.
constexpr size_t kMaxConnections = 8;
constexpr size_t kMaxInFlight = 64;             // calls per connection; further ones fail at once
constexpr size_t kMaxPartialReplyBytes = 8192;  // of a reply that is not complete
// A connection that receives nothing for this long while calls are in flight is closed: the machine at its
// other end may be gone, which TCP keep-alive would detect much later.
constexpr auto kSilenceTimeout = std::chrono::milliseconds(1000);
constexpr auto kMinBackoff = std::chrono::milliseconds(20);
constexpr auto kMaxBackoff = std::chrono::milliseconds(500);
// Limits of the counter's protocol.
constexpr double kMaxAmount = 1e9;
constexpr double kMinRetentionMs = 1;
constexpr double kMaxRetentionMs = 60000;

struct FreeReply {
  void operator()(void* reply) const { freeReplyObject(reply); }
};
struct FreeReader {
  void operator()(redisReader* reader) const { redisReaderFree(reader); }
};

// A reader that rejects arrays. The counter sends none, and hiredis allocates as many elements as a reply
// declares, which takes seconds for a large number.
redisReader* CreateReader() {
  redisReader* reader = redisReaderCreate();
  static redisReplyObjectFunctions functions = [reader] {
    redisReplyObjectFunctions result = *reader->fn;
    result.createArray = [](const redisReadTask*, auto) -> void* { return nullptr; };
    return result;
  }();
  reader->fn = &functions;
  return reader;
}

// TALLY with its key, amount and retention in milliseconds, as a RESP2 array of bulk strings.
std::string FormatCall(uint64_t counter, double amount, double retention_s) {
  char key[17], sum[64], retention[16];
  double bounded = std::isfinite(amount) ? std::clamp(amount, -kMaxAmount, kMaxAmount) : 0;
  double retention_ms = std::clamp(std::ceil(retention_s * 1000), kMinRetentionMs, kMaxRetentionMs);
  int key_size = std::snprintf(key, sizeof(key), "%016llx", static_cast<unsigned long long>(counter));
  int sum_size = std::snprintf(sum, sizeof(sum), "%.6f", bounded);
  int retention_size = std::snprintf(retention, sizeof(retention), "%d", static_cast<int>(retention_ms));
  std::string text = "*4\r\n$5\r\nTALLY\r\n";
  for (auto [part, size] :
       {std::pair{key, key_size}, std::pair{sum, sum_size}, std::pair{retention, retention_size}}) {
    text += "$" + std::to_string(size) + "\r\n";
    text.append(part, static_cast<size_t>(size)).append("\r\n");
  }
  return text;
}

}  // namespace

// One pipelined connection. Replies come in the order of the calls. Owned by CounterClient; pending I/O
// handlers keep it alive until they have run and do nothing once it is closed.
class CounterClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(CounterClient* client)
      : client_(client), socket_(client->io_), timer_(client->io_), reader_(CreateReader()) {}

  bool open() const { return open_; }
  size_t in_flight() const { return calls_.size(); }
  // Accepts no further calls and closes once those in flight have ended.
  void Retire() {
    retired_ = true;
    if (!open_ || calls_.empty()) Close(false);
  }
  bool retired() const { return retired_; }
  bool Usable() { return open_ && (!calls_.empty() || !IsStale(socket_)); }

  void Connect() {
    error_code error = OpenSocket(socket_, client_->address_);
    if (error) return asio::post(client_->io_, [self = shared_from_this(), this] { Close(true); });
    timer_.expires_after(client_->connect_timeout_);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && !open_) Close(true);
    });
    socket_.async_connect(client_->address_, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return Close(true);
      OnConnected();
    });
  }

  void Enqueue(std::shared_ptr<PendingCall> call, std::string text) {
    calls_.push_back(std::move(call));
    if (!open_) return pending_texts_.push_back(std::move(text));
    if (calls_.size() == 1) {
      last_read_at_ = Clock::now();
      StartSilenceTimer();
    }
    unsent_ += text;
    Write();
  }

  void Close(bool failed) {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    auto self = shared_from_this();
    timer_.cancel();
    CloseNow(socket_);
    client_->OnConnectionClosed(this, failed && !retired_ && !has_replied_);
    auto calls = std::move(calls_);
    calls_.clear();
    for (auto& call : calls)
      client_->Complete(call, call->written ? AttemptResult::kTimeout : AttemptResult::kConnectFailed);
  }
  void Detach() {
    closed_ = true;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  void OnConnected() {
    open_ = true;
    timer_.cancel();
    client_->backoff_ = {};
    Read();
    // Calls that have timed out were reported as not added, so they must not be sent any more.
    size_t remaining = 0;
    std::string text;
    for (size_t i = 0; i < calls_.size(); ++i) {
      if (calls_[i]->completed) continue;
      text += pending_texts_[i];
      calls_[remaining++] = calls_[i];
    }
    calls_.resize(remaining);
    pending_texts_.clear();
    unsent_ = std::move(text);
    last_read_at_ = Clock::now();
    if (!calls_.empty()) StartSilenceTimer();
    Write();
  }

  void Write() {
    if (write_pending_ || unsent_.empty()) return;
    write_pending_ = true;
    writing_.swap(unsent_);
    unsent_.clear();
    // From here on any of these calls may reach the counter. Only a call that was not handed to the socket is
    // known not to have been added.
    for (auto& call : calls_) call->written = true;
    WriteAll(socket_, writing_, [self = shared_from_this(), this](error_code error) {
      write_pending_ = false;
      if (closed_) return;
      if (error) return asio::post(client_->io_, [self, this] { Close(true); });
      Write();
    });
  }

  // Runs while calls are in flight. Replies update `last_read_at_` and don't restart the timer.
  void StartSilenceTimer() {
    timer_.expires_at(last_read_at_ + kSilenceTimeout);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (cancelled || closed_ || calls_.empty()) return;
      if (Clock::now() >= last_read_at_ + kSilenceTimeout) return Close(true);
      StartSilenceTimer();
    });
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this(), this](error_code error, size_t size) { OnRead(error, size); });
  }

  void OnRead(error_code error, size_t size) {
    if (closed_) return;
    if (error) return Close(!calls_.empty());
    last_read_at_ = Clock::now();
    partial_reply_bytes_ += size;
    if (redisReaderFeed(reader_.get(), buffer_, size) != REDIS_OK) return Close(true);
    while (!closed_) {
      void* raw = nullptr;
      if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) return Close(true);
      if (raw == nullptr) break;
      partial_reply_bytes_ = 0;
      std::unique_ptr<void, FreeReply> reply(raw);
      if (!HandleReply(*static_cast<redisReply*>(raw))) return Close(true);
    }
    if (closed_) return;
    if (partial_reply_bytes_ > kMaxPartialReplyBytes) return Close(true);
    if (calls_.empty() && retired_) return Close(false);
    if (calls_.empty()) timer_.cancel();
    Read();
  }

  // Completes the oldest call, which may have timed out before. False if the reply is malformed.
  bool HandleReply(const redisReply& reply) {
    if (calls_.empty()) return false;
    AttemptResult result = AttemptResult::kOk;
    double total = 0;
    if (reply.type == REDIS_REPLY_STRING) {
      const char* end = reply.str + reply.len;
      auto [parsed_to, failure] = std::from_chars(reply.str, end, total);
      if (failure != std::errc() || parsed_to != end || !std::isfinite(total)) return false;
    } else if (reply.type == REDIS_REPLY_ERROR) {
      result = AttemptResult::kOverloaded;  // -BUSY or -ERR: nothing was added
    } else {
      return false;
    }
    auto call = std::move(calls_.front());
    calls_.pop_front();
    has_replied_ = true;
    client_->Complete(call, result, total);
    return true;
  }

  CounterClient* client_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // connecting, then silence
  std::unique_ptr<redisReader, FreeReader> reader_;
  std::deque<std::shared_ptr<PendingCall>> calls_;
  std::deque<std::string> pending_texts_;  // texts of `calls_`, until the connection is open
  std::string unsent_, writing_;
  char buffer_[1024];
  size_t partial_reply_bytes_ = 0;
  Clock::time_point last_read_at_{};
  bool open_ = false, closed_ = false, write_pending_ = false, retired_ = false;
  bool has_replied_ = false;  // the counter is reachable, whatever ends the connection
};

CounterClient::CounterClient(asio::io_context& io, tcp::endpoint address, double timeout_s,
                             double connect_timeout_s, Done done)
    : io_(io),
      address_(address),
      timeout_(Seconds(timeout_s)),
      connect_timeout_(Seconds(connect_timeout_s)),
      done_(std::move(done)),
      timer_(io) {}

CounterClient::~CounterClient() {
  for (auto& connection : connections_) connection->Detach();
}

void CounterClient::Start() { SelectConnection(); }

// An idle connection, else a new one if the limit allows, else the one with the fewest calls in flight.
CounterClient::Connection* CounterClient::SelectConnection() {
  Connection *idle = nullptr, *open = nullptr, *connecting = nullptr;
  size_t usable = 0;
  std::vector<std::shared_ptr<Connection>> all = connections_;
  for (auto& connection : all) {
    if (connection->retired()) continue;
    ++usable;
    if (!connection->open()) {
      connecting = connection.get();
    } else if (!connection->Usable()) {
      connection->Close(false);
      --usable;
    } else if (connection->in_flight() == 0) {
      if (idle == nullptr) idle = connection.get();
    } else if (open == nullptr || connection->in_flight() < open->in_flight()) {
      open = connection.get();
    }
  }
  if (idle != nullptr) return idle;
  if (connecting == nullptr && usable < kMaxConnections && Clock::now() >= connect_after_) {
    auto created = std::make_shared<Connection>(this);
    connections_.push_back(created);
    created->Connect();
    connecting = created.get();
  }
  return open != nullptr ? open : connecting;
}

void CounterClient::SetAddress(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  backoff_ = {};
  connect_after_ = {};
  std::vector<std::shared_ptr<Connection>> old = connections_;
  for (auto& connection : old) connection->Retire();
  Start();
}

void CounterClient::SetLimits(double timeout_s, double connect_timeout_s) {
  timeout_ = Seconds(timeout_s);
  connect_timeout_ = Seconds(connect_timeout_s);
}

void CounterClient::Call(uint64_t counter, double amount, double retention_s) {
  auto call = std::make_shared<PendingCall>();
  call->counter = counter;
  call->deadline = Clock::now() + timeout_;
  Connection* connection = SelectConnection();
  if (connection == nullptr || connection->in_flight() >= kMaxInFlight) {
    return asio::post(io_, [this, call] { Complete(call, AttemptResult::kConnectFailed); });
  }
  std::string text = FormatCall(counter, amount, retention_s);
  timeout_queue_.push_back(call);
  connection->Enqueue(std::move(call), std::move(text));
  ArmTimeouts();
}

void CounterClient::Complete(const std::shared_ptr<PendingCall>& call, AttemptResult result, double total) {
  if (call->completed) return;
  call->completed = true;
  CounterResponse response;
  response.counter_name = call->counter;
  response.total = total;
  response.result = result;
  done_(response);
}

void CounterClient::ArmTimeouts() {
  while (!timeout_queue_.empty() && timeout_queue_.front()->completed) timeout_queue_.pop_front();
  if (timeout_armed_ || timeout_queue_.empty()) return;
  timeout_armed_ = true;
  timer_.expires_at(timeout_queue_.front()->deadline);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    timeout_armed_ = false;
    while (!timeout_queue_.empty() &&
           (timeout_queue_.front()->completed || Clock::now() >= timeout_queue_.front()->deadline)) {
      auto call = std::move(timeout_queue_.front());
      timeout_queue_.pop_front();
      Complete(call, call->written ? AttemptResult::kTimeout : AttemptResult::kConnectFailed);
    }
    ArmTimeouts();
  });
}

void CounterClient::OnConnectionClosed(Connection* connection, bool failed) {
  std::erase_if(connections_, [connection](const auto& candidate) { return candidate.get() == connection; });
  if (!failed) return;
  // Backoff keeps an unreachable counter from being flooded with connects.
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kMinBackoff, kMaxBackoff);
  connect_after_ = Clock::now() + backoff_;
}

}  // namespace lemonchute::net
