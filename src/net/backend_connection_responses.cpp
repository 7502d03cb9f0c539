// BackendConnection's responses: reading, parsing and passing on.
#include <algorithm>
#include <utility>

#include "net/backend_connection.h"
#include "net/backend_pool.h"
#include "net/message_decoding.h"

namespace lemonchute::net {
namespace {

using policy::AttemptResult;
using Cause = AttemptEndCause;

}  // namespace

// Takes memory for the bytes only once they have arrived.
void BackendConnection::Read() {
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), this](error_code error) { OnReadable(error); });
}

void BackendConnection::OnReadable(error_code error) {
  reading_ = false;
  if (closed_) return;
  if (!busy_) return RemoveAndClose();  // closed by the backend while idle, or unsolicited bytes
  size_t size = 0;
  if (!error) {
    auto target =
        asio::buffer(pool_->read_buffer_, streaming_response_ ? pool_->MaxPieceBytes() : kReadChunk);
    size = RetryOnInterrupt(error, [&](error_code& failed) { return socket_.read_some(target, failed); });
  }
  if (error == asio::error::would_block) return ContinueReading();
  if (error) return OnReadEnd(error);
  AppendReceived(buffer_, pool_->read_buffer_.data(), size);
  Parse();
  ContinueReading();
}

void BackendConnection::OnReadEnd(error_code error) {
  error_code incomplete;
  if (error == asio::error::eof && written_ && parser_->got_some()) parser_->put_eof(incomplete);
  if (error == asio::error::eof && !incomplete && parser_->is_done()) return OnResponse(false);
  Finish(written_ ? AttemptResult::kReset : AttemptResult::kConnectFailed, Cause::kConnectionEnded);
}

void BackendConnection::ContinueReading() {
  if (!closed_ && !reading_ && !awaiting_consumer_) Read();
}

void BackendConnection::CountReceived(size_t size) {
  if (size == 0) return;
  received_bytes_ += size;
  last_received_at_ = Clock::now();
  // Before its deadline a response may come as it likes.
  rate_.CoverUntil(std::min(last_received_at_, deadline_));
  rate_.OnBytes(size);
}

void BackendConnection::Parse() {
  size_t undelivered_bytes = body_.size();
  error_code error = Decode();
  CountReceived(body_.size() - undelivered_bytes);
  // Malformed, or over a size limit.
  if (error)
    return Finish(written_ ? AttemptResult::kReset : AttemptResult::kConnectFailed,
                  Cause::kMalformedResponse);
  if (written_ && parser_->is_header_done() && !streaming_response_ && ShouldStream()) {
    if (response_->status != 200) return OnResponse(false);  // the body is not needed
    if (!BeginStream()) return Finish(AttemptResult::kCancelled, Cause::kCancelled);
  }
  // A response this large can't belong to a request that is not written completely.
  if (!written_ && body_.size() > kMaxBody)
    return Finish(AttemptResult::kConnectFailed, Cause::kEarlyResponse);
  if (streaming_response_ && !body_.empty()) DeliverPiece();
  if (closed_ || awaiting_consumer_ || !parser_->is_done()) return;
  // A response to an incomplete request: the request has not begun, and the framing is unreliable.
  if (!written_) return Finish(AttemptResult::kConnectFailed, Cause::kEarlyResponse);
  OnResponse(parser_->keep_alive() && buffer_.size() == 0);
}

// Feeds the buffered bytes to the parser and appends the decoded body to `body_`. Skips interim responses.
error_code BackendConnection::Decode() {
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    if (!parser_->is_header_done()) error = head_check_.Check(buffer_);
    if (!error) error = DecodeBody(*parser_, buffer_, pool_->decode_buffer_, &body_);
    bool interim = !error && parser_->is_done() && parser_->get().result_int() / 100 == 1;
    if (interim) {
      ResetParser(&parser_, kMaxStreamedBytes);
      head_check_.Reset();
    } else if (!error && parser_->is_header_done() && !response_) {
      response_ = TakeBackendResponse(parser_->get().base());
    }
  }
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  return error == http::error::need_more ? error_code() : error;
}

// Whether to stream the response instead of buffering it. A response of unknown length is streamed early,
// since it may arrive slowly. A small one is buffered completely, so that the request can still be retried.
bool BackendConnection::ShouldStream() const {
  auto length = parser_->content_length();
  size_t max_buffered = pool_->MaxBufferedBytes();
  if (length) return *length > max_buffered;
  return !parser_->is_done() && body_.size() > std::min(max_buffered, kMaxPieceBytes);
}

// Reading pauses until the client's connection has consumed the piece, so that at most one piece is buffered.
void BackendConnection::DeliverPiece() {
  awaiting_consumer_ = delivering_ = true;
  std::string piece = std::exchange(body_, std::string());
  delivered_bytes_ += piece.size();
  stream_.on_piece(std::move(piece), [self = shared_from_this(), this, current = attempt_] {
    if (closed_ || attempt_ != current) return;
    awaiting_consumer_ = false;
    last_progress_at_ = Clock::now();
    if (!delivering_) rate_.CoverUntil(last_progress_at_);
    if (delivering_) return;  // consumed within the call: the caller continues
    Parse();
    ContinueReading();
  });
  delivering_ = false;
}

void BackendConnection::OnResponse(bool keep_alive) {
  AttemptEnd end;
  end.cause = Cause::kResponse;
  end.streamed = streaming_response_;
  unsigned status = response_->status;
  if (status == 200) {
    end.result = AttemptResult::kOk;
    end.actual_units = response_->actual_units;
    end.headers = std::exchange(response_->headers, std::string());
    end.body = std::exchange(body_, std::string());
  } else {
    bool overloaded = (status == 503 || status == 504) && response_->not_started;
    end.result = overloaded ? AttemptResult::kOverloaded : AttemptResult::kError;
  }
  Finish(std::move(end), keep_alive);
}

}  // namespace lemonchute::net
