// ClientConnection's responses: writing, streaming, and the end of the connection behind them.
#include <cstdio>
#include <utility>

#include "net/client_connection.h"
#include "net/client_server.h"

namespace lemonchute::net {
namespace {

constexpr size_t kMaxIdleBufferBytes = 1024;  // that an idle connection keeps

}  // namespace

void ClientConnection::Reply(const ClientResponse& response) {
  if (state_ == State::kStreaming) return EndStream(response.status == 200);
  if (state_ != State::kAwaitingResponse) return;
  // The rest of an upload will not be read, so the response ends the connection.
  bool keep_alive = keep_alive_ && !streaming_request_ && !server_->close_after_response_;
  Write(response, keep_alive);
}

void ClientConnection::BeginStream(const std::string& headers, std::optional<uint64_t> length) {
  if (state_ != State::kAwaitingResponse) return;
  state_ = State::kStreaming;
  send_watch_.Reset();
  stream_ended_ = false;
  chunked_ = !length && version_ >= 11;
  close_delimited_ = !length && !chunked_;
  if (server_->close_after_response_ || close_delimited_) keep_alive_ = false;
  constexpr size_t kOwnHeaderBytes = 128;
  pending_ = std::exchange(unsent_interim_, std::string());
  pending_.reserve(pending_.size() + headers.size() + kOwnHeaderBytes);
  pending_ += "HTTP/1.1 200 OK\r\n";
  if (length) pending_ += "Content-Length: " + std::to_string(*length) + "\r\n";
  if (chunked_) pending_ += "Transfer-Encoding: chunked\r\n";
  pending_.append(headers).append(ConnectionHeader(version_, keep_alive_)).append("\r\n");
  FlushStream();
}

void ClientConnection::SendPiece(const std::string& piece, std::function<void()> on_consumed) {
  if (state_ != State::kStreaming) return;
  if (chunked_) {
    char chunk_size[24];
    int length = std::snprintf(chunk_size, sizeof(chunk_size), "%zx\r\n", piece.size());
    pending_.append(chunk_size, static_cast<size_t>(length));
  }
  pending_.append(piece);
  if (chunked_) pending_ += "\r\n";
  on_consumed_ = std::move(on_consumed);
  FlushStream();
}

void ClientConnection::Write(const ClientResponse& response, bool keep_alive) {
  state_ = State::kWriting;
  send_watch_.Reset();
  streaming_request_ = false;
  on_piece_ = nullptr;
  writing_ = std::exchange(unsent_interim_, std::string());
  AppendResponse(response, ConnectionHeader(version_, keep_alive), &writing_);
  WriteAll(socket_, writing_, [self = shared_from_this(), this, keep_alive](error_code error) {
    if (state_ == State::kClosed) return;
    timer_.Cancel();
    if (error) return PostClose(CloseReason::kClientEnded);
    OnResponseSent(keep_alive);
  });
  WatchWrite();
}

void ClientConnection::OnResponseSent(bool keep_alive) {
  if (writing_.capacity() > kMaxIdleBufferBytes) writing_ = std::string();
  if (!keep_alive || discarded_bytes_ > 0) return Linger();
  AwaitRequest();
  if (buffer_.size() == 0) return Read();
  // Pipelined bytes are the next request. Posted, since the caller may be executing actions of the policy.
  asio::post(server_->io_, [self = shared_from_this(), this] {
    if (state_ == State::kReading) Parse();
    Read();
  });
}

// Writes the pending part of a stream. At most one piece waits, since the next one follows on_consumed_.
void ClientConnection::FlushStream() {
  if (stream_write_pending_ || state_ == State::kClosed) return;
  if (pending_.empty()) {
    if (stream_ended_) OnStreamEnded();
    return;
  }
  stream_write_pending_ = true;
  writing_ = std::exchange(pending_, std::string());
  WriteAll(socket_, writing_, [self = shared_from_this(), this](error_code error) {
    stream_write_pending_ = false;
    if (state_ == State::kClosed) return;
    timer_.Cancel();
    send_watch_.Pause(Clock::now());
    if (error) return PostClose(CloseReason::kClientEnded);
    if (!pending_.empty()) return FlushStream();
    if (auto on_consumed = std::exchange(on_consumed_, nullptr)) on_consumed();
    FlushStream();
  });
  if (stream_write_pending_) WatchWrite();
}

void ClientConnection::EndStream(bool complete) {
  stream_ended_ = true;
  stream_complete_ = complete;
  state_ = State::kWriting;
  if (complete && chunked_) pending_ += "0\r\n\r\n";
  FlushStream();
}

void ClientConnection::OnStreamEnded() {
  stream_ended_ = false;
  pending_ = std::string();
  // The server may have begun to close connections since the stream began.
  if (stream_complete_) return OnResponseSent(keep_alive_ && !server_->close_after_response_);
  // The client detects the missing bytes or the missing last chunk. If the body is delimited by the end of
  // the connection, only a reset shows that it was cut off.
  error_code ignored;
  if (close_delimited_) socket_.set_option(tcp::socket::linger(true, 0), ignored);
  PostClose(CloseReason::kCutShort);
}

// Closes the connection of a client that does not take its response, from when a write waits for it.
void ClientConnection::WatchWrite() {
  if (!IsWriting()) return;
  send_watch_.Resume(socket_, Clock::now());
  ScheduleWriteCheck();
}

void ClientConnection::ScheduleWriteCheck() {
  timer_.Start(kSendCheckInterval, [self = shared_from_this(), this] { CheckWrite(); });
}

void ClientConnection::CheckWrite() {
  if (!IsWriting()) return;
  if (!send_watch_.IsTooSlow(socket_, Clock::now())) return ScheduleWriteCheck();
  server_->LogSlowReader(id_, send_watch_);
  Close(CloseReason::kSlowReader);
}

// Shuts the connection down for writing and keeps reading, so that the last response reaches a client that is
// still sending: a close with unread bytes would reset the connection before the client has read it.
void ClientConnection::Linger(std::chrono::milliseconds timeout, CloseReason reason) {
  state_ = State::kLingering;
  ++server_->lingering_connections_;
  buffer_.clear();
  buffer_.shrink_to_fit();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  timer_.Start(timeout, [self = shared_from_this(), this, reason] { Close(reason); });
  Read();
}

}  // namespace lemonchute::net
