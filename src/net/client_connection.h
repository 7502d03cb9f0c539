// One HTTP/1.1 connection of a client: request parsing, flow control of uploads and streamed responses,
// timeouts and closing.
#ifndef LEMONCHUTE_NET_CLIENT_CONNECTION_H_
#define LEMONCHUTE_NET_CLIENT_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/http.h"
#include "net/message_decoding.h"
#include "net/one_shot_timer.h"
#include "net/reasons.h"
#include "net/response_text.h"
#include "net/send_watch.h"
#include "net/steady_clock.h"
#include "net/upload_rate.h"

namespace lemonchute::net {

class ClientServer;

using ClientMessage = http::request<http::string_body>;

/// A request whose body is too large to be buffered and is forwarded piece by piece.
struct Upload {
  std::optional<uint64_t> length;  ///< Length of the whole body in bytes; none if it is chunked.
};

/// Called with the next piece of an upload.
using OnPiece = std::function<void(std::string piece, bool last)>;

/// How long a connection that was shut down for writing waits for its client to close it as well.
inline constexpr auto kLingerTimeout = std::chrono::milliseconds(1000);
/// The same for an idle connection that is evicted because the connection limit is reached.
inline constexpr auto kEvictionLinger = std::chrono::milliseconds(100);

/// A connection that serves one request at a time. Owned by ClientServer, which outlives it; pending I/O
/// handlers keep it alive until they have run and do nothing once it is closed.
///
/// Order of calls: Start; then, for each request that is passed to the server's OnRequest, either Reply, or
/// BeginStream, SendPiece for each piece and Reply. Pull may be called at any time before the end of an
/// upload. The connection reports its end once, through the server's OnClosed.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ClientServer* server, uint64_t id, tcp::socket socket);

  /// Whether no request has begun.
  bool idle() const { return state_ == State::kReading && !request_begun_ && buffer_.size() == 0; }

  /// Whether a part of a response is still to be handed to the socket.
  bool IsWriting() const { return state_ == State::kStreaming || state_ == State::kWriting; }

  void Start();
  /// Sends the response. A streamed response is completed if the status is 200 and cut off otherwise.
  void Reply(const ClientResponse& response);
  /// Requests the next piece of the upload.
  void Pull(OnPiece on_piece);
  /// Begins a streamed response, which is chunked if `length` is not known.
  void BeginStream(const std::string& headers, std::optional<uint64_t> length);
  /// Sends a piece of the streamed response and calls `on_consumed` when the next one may follow.
  void SendPiece(const std::string& piece, std::function<void()> on_consumed);

  /// Shuts an idle connection down, unless bytes of a request have arrived.
  /// @param linger how long to wait for the client to close as well
  /// @return whether the connection is being closed
  bool CloseIfIdle(std::chrono::milliseconds linger);
  /// The latest time at which the current request was known to be incomplete. Its last byte may have arrived
  /// since: a pipelined request waits in the buffer, and while no piece of an upload is pulled, the rest of
  /// it may lie unread in the socket's buffers.
  Clock::time_point IncompleteUntil();
  /// Whether the client is still connected. Also detects a close that is still unread in the socket's buffer.
  bool IsClientConnected();
  /// Reads again, or refuses the request if memory has been short for long.
  void ResumeReading();
  /// Closes the socket and reports the end of the connection. Idempotent.
  void Close(CloseReason reason);
  /// Closes the socket at the end of the process without reporting it.
  void Detach();

 private:
  enum class State {
    kReading,           // waits for a request, or reads one
    kAwaitingResponse,  // a request was passed to the server
    kStreaming,         // a streamed response has begun
    kWriting,           // the last part of a response is being written
    kLingering,         // shut down for writing, waits for the client's close
    kClosed
  };

  void PostClose(CloseReason reason);

  // Reading of requests.
  void AwaitRequest();
  void LeaveIdleOrder();
  bool IsBufferFull() const;
  bool CanRead() const;
  bool WaitsForMemory() const;
  void PauseReading();
  void RefuseForMemory(bool keep_alive);
  size_t MaxReadBytes() const;
  size_t MaxPieceBytes() const;
  void Read();
  void OnReadable(error_code error);
  void Discard(size_t size);
  void OnBytes(const char* bytes, size_t size);
  void Parse();
  error_code Decode(size_t max_body);
  void SendContinue();
  void DispatchRequest(std::optional<Upload> upload);
  void RejectMalformed(error_code error);
  void StartReadTimer(std::chrono::milliseconds timeout, CloseReason reason);
  char FirstByte() const { return *static_cast<const char*>(buffer_.data().data()); }

  // Uploads.
  void DeliverUpload();
  bool MayBeComplete(bool socket_drained) const;
  void ScheduleUploadCheck();
  void CheckUpload();

  // Responses.
  void Write(const ClientResponse& response, bool keep_alive);
  void OnResponseSent(bool keep_alive);
  void FlushStream();
  void EndStream(bool complete);
  void OnStreamEnded();
  void WatchWrite();
  void ScheduleWriteCheck();
  void CheckWrite();
  void Linger(std::chrono::milliseconds timeout = kLingerTimeout,
              CloseReason reason = CloseReason::kAnsweredLast);

  ClientServer* server_;
  const uint64_t id_;
  tcp::socket socket_;
  OneShotTimer timer_;  // limits reading a request, then writing a response, then lingering
  State state_ = State::kReading;
  bool keep_alive_ = true;
  std::optional<std::list<uint64_t>::iterator> idle_position_;  // in the server's idle order

  // The request.
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  HeadCheck<http::request_parser<http::buffer_body>> head_check_;
  std::string body_;  // decoded, not yet passed on
  unsigned version_ = 11;
  bool reading_ = false;                        // a wait for bytes is pending
  std::optional<Clock::time_point> paused_at_;  // not read from for want of memory
  bool expects_continue_ = false;               // the client waits for 100 Continue
  bool socket_drained_ = false;      // the latest read left none, and a wait has been pending since
  bool request_begun_ = false;       // its first byte has arrived
  bool read_timer_running_ = false;  // for its header or body
  bool body_timer_started_ = false;
  Clock::time_point incomplete_until_;             // the latest time at which its last byte had not arrived
  std::optional<Clock::time_point> pipelined_at_;  // when the latest bytes behind another request were read
  bool continue_sent_ = false;
  size_t discarded_bytes_ = 0;  // pipelined beyond the buffer; if any, the next response is the last
  size_t lingered_bytes_ = 0;   // read and ignored while lingering

  // Its upload.
  bool streaming_request_ = false;
  bool upload_broken_ = false;  // its framing is invalid; the connection is about to be closed
  OnPiece on_piece_;            // set while a piece is requested
  UploadRate upload_rate_;

  // The response.
  SendWatch send_watch_;
  std::string writing_;         // referred to by the pending write
  std::string pending_;         // part of a stream to be written next
  std::string unsent_interim_;  // rest of a 100 Continue response, written before the next response
  std::function<void()> on_consumed_;
  bool chunked_ = false;
  bool close_delimited_ = false;  // the end of the connection marks the end of the body
  bool stream_ended_ = false;     // the last piece was added
  bool stream_complete_ = false;  // false: to be cut off
  bool stream_write_pending_ = false;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CLIENT_CONNECTION_H_
