// ClientConnection's uploads: pieces of large bodies, their rate, and when their last byte may have arrived.
#include <algorithm>
#include <utility>

#include "net/client_connection.h"
#include "net/client_server.h"

namespace lemonchute::net {
namespace {

constexpr auto kUploadCheckInterval = std::chrono::milliseconds(250);
// Upper bound of the bytes in the client's send buffer: twice the kernel's default limit (tcp(7), tcp_wmem).
constexpr uint64_t kMaxSendBufferBytes = uint64_t{8} << 20;

}  // namespace

void ClientConnection::Pull(OnPiece on_piece) {
  if (!streaming_request_) return;
  on_piece_ = std::move(on_piece);
  upload_rate_.OnRequested(Clock::now());
  SendContinue();
  DeliverUpload();
  Read();
}

Clock::time_point ClientConnection::IncompleteUntil() {
  if (!streaming_request_) return incomplete_until_;
  error_code error;
  bool drained = PeekByte(socket_, error) == 0 && error == asio::error::would_block;
  if (!MayBeComplete(drained)) incomplete_until_ = Clock::now();
  return incomplete_until_;
}

// Passes the next piece of an upload to the callback that requested it. At most one piece is decoded ahead.
void ClientConnection::DeliverUpload() {
  if (upload_broken_) return;
  // There is no response to a framing error once a part of the request was forwarded.
  upload_broken_ = Decode(MaxPieceBytes()).failed();
  if (upload_broken_) return PostClose(CloseReason::kBrokenBody);
  if (!on_piece_ || (body_.empty() && !parser_->is_done())) return;
  bool last = parser_->is_done();
  if (last) {
    streaming_request_ = false;
    parser_->get().base().clear();  // trailers
    timer_.Cancel();
  }
  std::string piece = std::exchange(body_, std::string());
  std::exchange(on_piece_, nullptr)(std::move(piece), last);
}

// Whether the last byte of an upload may have arrived: it may lie in the buffer here, or, unless the socket
// is drained, in the buffers of the two sockets.
bool ClientConnection::MayBeComplete(bool socket_drained) const {
  if (parser_->is_done()) return true;
  auto remaining = parser_->content_length_remaining();
  // While a piece is requested, the buffer holds only what can't be decoded without further bytes.
  if (!remaining) return !socket_drained || (!on_piece_ && buffer_.size() > 0);
  uint64_t unread_bytes = *remaining - std::min<uint64_t>(*remaining, buffer_.size());
  if (unread_bytes == 0 || socket_drained) return unread_bytes == 0;
  return unread_bytes <= kMaxSendBufferBytes ||
         unread_bytes <= kMaxSendBufferBytes + ReceiveBufferBytes(socket_);
}

void ClientConnection::ScheduleUploadCheck() {
  timer_.Start(kUploadCheckInterval, [self = shared_from_this(), this] { CheckUpload(); });
}

void ClientConnection::CheckUpload() {
  if (state_ != State::kAwaitingResponse || !streaming_request_) return;
  if (upload_rate_.Check(Clock::now(), on_piece_ != nullptr)) return Close(CloseReason::kSlowBody);
  ScheduleUploadCheck();
}

}  // namespace lemonchute::net
