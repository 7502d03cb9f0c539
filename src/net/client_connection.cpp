#include "net/client_connection.h"

#include <poll.h>

#include <algorithm>
#include <span>
#include <utility>

#include "net/client_server.h"
#include "net/message_decoding.h"

namespace lemonchute::net {
namespace {

// Upper bound of the buffered bytes that a client pipelines behind a request: one complete further request.
// Bytes beyond it are read and discarded, because otherwise a close by the client behind them would go
// unnoticed. The next response then ends the connection. If memory is short, reading pauses earlier.
constexpr size_t kMaxPipelinedBytes = kMaxHeader + kMaxBody;
constexpr size_t kMaxLingerBytes = kMaxStreamedBytes;  // read and discarded, per connection

// Time for the header of the first request. The protocol requires that a client that connects and sends
// nothing, or never completes a request, is closed within 3 s (PROTOCOL).
constexpr auto kFirstHeaderTimeout = std::chrono::milliseconds(2500);
// Time for the header of a later request, from its first byte; the same rule applies.
constexpr auto kHeaderTimeout = kFirstHeaderTimeout;
// Time for a small body to be complete.
constexpr auto kBodyTimeout = UploadRate::kWindow;
// How long a request is left unread for want of memory before it is refused.
constexpr auto kMaxMemoryWait = std::chrono::milliseconds(150);

}  // namespace

ClientConnection::ClientConnection(ClientServer* server, uint64_t id, tcp::socket socket)
    : server_(server), id_(id), socket_(std::move(socket)), timer_(server->io_) {}

void ClientConnection::Start() {
  AwaitRequest();
  StartReadTimer(kFirstHeaderTimeout, CloseReason::kNeverAsked);
  Read();
}

// Bytes that have already arrived belong to a request that must be served. Bytes that arrive after the
// shutdown don't: the client sees the end of the connection without a response and retries elsewhere. An
// immediate close would cause a reset, which also destroys a last response that the client has not read yet.
bool ClientConnection::CloseIfIdle(std::chrono::milliseconds linger) {
  if (!idle()) return false;
  error_code error;
  if (PeekByte(socket_, error) > 0) return false;
  LeaveIdleOrder();
  Linger(linger, CloseReason::kDrained);
  return true;
}

// The client's close may still be in the socket's buffer, even behind bytes that were not read.
bool ClientConnection::IsClientConnected() {
  error_code error;
  if (PeekByte(socket_, error) == 0) return error == asio::error::would_block;
  pollfd events{socket_.native_handle(), POLLRDHUP, 0};
  return poll(&events, 1, 0) <= 0 || (events.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

void ClientConnection::Close(CloseReason reason) {
  if (state_ == State::kClosed) return;
  auto self = shared_from_this();
  bool in_flight = state_ == State::kAwaitingResponse || state_ == State::kStreaming;
  if (state_ == State::kLingering) --server_->lingering_connections_;
  state_ = State::kClosed;
  LeaveIdleOrder();
  timer_.Cancel();
  on_consumed_ = nullptr;
  on_piece_ = nullptr;
  CloseNow(socket_);
  server_->OnConnectionClosed(id_, in_flight, reason);
}

// The caller may be executing actions of the policy, which must not see the end of the connection before all
// of them are executed.
void ClientConnection::PostClose(CloseReason reason) {
  asio::post(server_->io_, [self = shared_from_this(), this, reason] { Close(reason); });
}

// Reads the bytes that the client has sent before closing. Otherwise the close would reset the connection
// before the client has read what was written to it.
void ClientConnection::Detach() {
  state_ = State::kClosed;
  timer_.Cancel();
  on_consumed_ = nullptr;
  on_piece_ = nullptr;
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  for (size_t total = 0, size = 1; size > 0 && total < kMaxLingerBytes; total += size)
    size = RetryOnInterrupt(error, [&](error_code& failed) {
      return socket_.receive(asio::buffer(server_->read_buffer_), 0, failed);
    });
  CloseNow(socket_);
}

void ClientConnection::LeaveIdleOrder() {
  if (idle_position_.has_value()) server_->idle_order_.erase(*idle_position_);
  idle_position_.reset();
}

// Bytes of the next request may be in the buffer already.
void ClientConnection::AwaitRequest() {
  state_ = State::kReading;
  request_begun_ = continue_sent_ = expects_continue_ = body_timer_started_ = streaming_request_ = false;
  body_.clear();
  ResetParser(&parser_, kMaxStreamedBytes);
  head_check_.Reset();
  idle_position_ = server_->idle_order_.insert(server_->idle_order_.end(), id_);
}

bool ClientConnection::IsBufferFull() const {
  if (!streaming_request_) return buffer_.size() >= kMaxPipelinedBytes;
  // While a piece is requested, the buffer holds only an element that is not complete.
  return buffer_.size() >= (on_piece_ ? kMaxHeader + kReadChunk : MaxPieceBytes());
}

size_t ClientConnection::MaxPieceBytes() const { return server_->memory_.MaxPieceBytes(); }

// Bytes of a request that has not begun to be served are read only while memory is free, and so are those
// that follow it.
bool ClientConnection::WaitsForMemory() const {
  if (state_ == State::kLingering || streaming_request_) return false;
  if (state_ == State::kReading) return server_->memory_.IsExhausted();
  return buffer_.size() >= kMaxHeader + server_->MaxBufferedBytes() && buffer_.size() < kMaxPipelinedBytes;
}

size_t ClientConnection::MaxReadBytes() const {
  if (IsBufferFull()) return server_->read_buffer_.size();  // to be discarded
  if (streaming_request_)
    return std::max(kReadChunk, MaxPieceBytes() - std::min(MaxPieceBytes(), buffer_.size()));
  return request_begun_ ? server_->read_buffer_.size() : kReadChunk;
}

// The bytes of an upload are never discarded; they wait until they are requested.
bool ClientConnection::CanRead() const {
  return !IsBufferFull() || (!streaming_request_ && discarded_bytes_ < kMaxLingerBytes);
}

// Takes memory for the bytes only once they have arrived.
void ClientConnection::Read() {
  if (reading_ || state_ == State::kClosed) return;
  if (!CanRead()) {
    socket_drained_ = false;
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), this](error_code error) { OnReadable(error); });
}

void ClientConnection::OnReadable(error_code error) {
  reading_ = false;
  if (state_ == State::kClosed) return;
  if (!error && !CanRead()) {
    socket_drained_ = false;
    return;
  }
  if (!error && WaitsForMemory()) return PauseReading();
  paused_at_.reset();
  if (streaming_request_ && !MayBeComplete(socket_drained_)) incomplete_until_ = Clock::now();
  bool discard = IsBufferFull();
  size_t size = 0;
  if (!error) {
    auto target = asio::buffer(server_->read_buffer_, MaxReadBytes());
    size = RetryOnInterrupt(error, [&](error_code& failed) { return socket_.read_some(target, failed); });
    socket_drained_ = size < asio::buffer_size(target);
  }
  if (error == asio::error::would_block) return Read();
  // The client has disconnected. Without a request in flight this only ends the connection.
  if (error) return Close(CloseReason::kClientEnded);
  discard ? Discard(size) : OnBytes(server_->read_buffer_.data(), size);
  Read();
}

void ClientConnection::PauseReading() {
  if (!paused_at_) paused_at_ = Clock::now();
  socket_drained_ = false;
  server_->PauseReading(id_);
}

void ClientConnection::ResumeReading() {
  if (state_ == State::kClosed || reading_ || !paused_at_) return;
  if (!IsClientConnected()) return Close(CloseReason::kClientEnded);
  if (!WaitsForMemory()) return Read();
  if (state_ != State::kReading || Clock::now() < *paused_at_ + kMaxMemoryWait) return PauseReading();
  LeaveIdleOrder();
  if (read_timer_running_) timer_.Cancel();
  RefuseForMemory(false);
}

void ClientConnection::RefuseForMemory(bool keep_alive) {
  server_->CountMemoryRefusal();
  ClientResponse response;
  response.status = 503;
  Write(response, keep_alive);
}

void ClientConnection::Discard(size_t size) {
  keep_alive_ = false;
  discarded_bytes_ += size;
}

void ClientConnection::OnBytes(const char* bytes, size_t size) {
  if (state_ == State::kLingering) {
    lingered_bytes_ += size;
    if (lingered_bytes_ > kMaxLingerBytes) Close(CloseReason::kAnsweredLast);
    return;
  }
  AppendReceived(buffer_, bytes, size);
  if (state_ == State::kReading) {
    pipelined_at_.reset();
    Parse();
  } else {
    pipelined_at_ = Clock::now();
    if (!streaming_request_) return;
    upload_rate_.OnBytes(*pipelined_at_, size);
    DeliverUpload();
  }
}

void ClientConnection::Parse() {
  // Empty lines before a request are ignored (RFC 9112, 2.2).
  while (!request_begun_ && buffer_.size() > 0 && (FirstByte() == '\r' || FirstByte() == '\n')) {
    buffer_.consume(1);
  }
  if (buffer_.size() == 0) return;
  if (!request_begun_) {
    request_begun_ = true;
    LeaveIdleOrder();
  }
  size_t max_buffered = server_->MaxBufferedBytes();
  error_code error = Decode(max_buffered + 1);
  if (error) return RejectMalformed(error);
  if (parser_->is_done() && body_.size() <= max_buffered) return DispatchRequest(std::nullopt);
  if (parser_->is_header_done()) {
    expects_continue_ = boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
    auto length = parser_->content_length();
    if (body_.size() > max_buffered || (length && *length > max_buffered)) {
      return DispatchRequest(Upload{length ? std::optional<uint64_t>(*length) : std::nullopt});
    }
    SendContinue();
    if (!body_timer_started_) StartReadTimer(kBodyTimeout, CloseReason::kSlowBody);
    body_timer_started_ = true;
  } else if (!read_timer_running_) {
    StartReadTimer(kHeaderTimeout, CloseReason::kSlowHead);
  }
}

// Parses the buffered bytes until `max_body` bytes of the body are decoded. After an error the framing is
// unreliable, and the connection must end.
error_code ClientConnection::Decode(size_t max_body) {
  error_code error;
  if (!parser_->is_header_done()) error = head_check_.Check(buffer_);
  std::span<char> scratch = server_->decode_buffer_;
  while (buffer_.size() > 0 && !parser_->is_done() && body_.size() < max_body && !error) {
    size_t capacity = std::min(scratch.size(), max_body - body_.size());
    error = DecodeBody(*parser_, buffer_, scratch.first(capacity), &body_);
  }
  return error == http::error::need_more ? error_code() : error;
}

// Sends 100 Continue, once, if the client waits for it.
void ClientConnection::SendContinue() {
  if (continue_sent_ || parser_->is_done() || !expects_continue_) return;
  continue_sent_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;  // reported by the pending read
  size_t sent = SendAvailable(socket_, kContinue, ignored);
  if (sent > 0) unsent_interim_ = kContinue.substr(sent);
}

void ClientConnection::DispatchRequest(std::optional<Upload> upload) {
  timer_.Cancel();
  read_timer_running_ = false;
  keep_alive_ = parser_->keep_alive();
  version_ = parser_->get().version();
  state_ = State::kAwaitingResponse;
  streaming_request_ = upload.has_value();
  incomplete_until_ = pipelined_at_.value_or(Clock::now());
  pipelined_at_ = incomplete_until_;  // of bytes that follow in the buffer
  if (streaming_request_) {
    upload_rate_.Begin(Clock::now(), on_piece_ != nullptr);
    ScheduleUploadCheck();
  }
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  // The client may have left behind the bytes that are not read for want of memory.
  if (paused_at_ && !upload) return RefuseForMemory(keep_alive_ && !server_->close_after_response_);
  ClientMessage message{std::move(parser_->get().base())};
  message.body() = std::exchange(body_, std::string());
  server_->on_request_(id_, std::move(message), upload);
}

void ClientConnection::RejectMalformed(error_code error) {
  if (read_timer_running_) timer_.Cancel();
  ClientResponse response;
  response.status = error == http::error::header_limit ? 431 : error == http::error::body_limit ? 413 : 400;
  Write(response, false);
}

void ClientConnection::StartReadTimer(std::chrono::milliseconds timeout, CloseReason reason) {
  read_timer_running_ = true;
  timer_.Start(timeout, [self = shared_from_this(), this, reason] {
    if (state_ == State::kReading) Close(reason);
  });
}

}  // namespace lemonchute::net
