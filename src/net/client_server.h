// The client side of the gateway: accepts connections, limits their number and looks up the connection of a
// request.
#ifndef LEMONCHUTE_NET_CLIENT_SERVER_H_
#define LEMONCHUTE_NET_CLIENT_SERVER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/backend_pool.h"
#include "net/client_connection.h"
#include "net/listener.h"
#include "net/memory_budget.h"
#include "net/one_shot_timer.h"
#include "net/reasons.h"
#include "net/send_watch.h"

namespace lemonchute::net {

/// Owns the connections of clients, by id. Calls for a connection that has ended do nothing.
///
/// Order of calls: Listen or Adopt, then Accept. For each request either Reply, or BeginStream, SendPiece for
/// each piece and Reply. Pull requests the pieces of an upload before or in between.
class ClientServer {
 public:
  /// Receives a request, which must get one Reply, within this call or later. With an Upload the message
  /// holds only the beginning of the body, and the rest has to be requested with Pull.
  using OnRequest = std::function<void(uint64_t connection, ClientMessage, std::optional<Upload>)>;
  using OnPiece = lemonchute::net::OnPiece;
  /// A connection has ended. `in_flight`: a request on it had no response yet.
  using OnClosed = std::function<void(uint64_t connection, bool in_flight, CloseReason reason)>;

  /// @param memory limits what the connections buffer; must outlive the server
  ClientServer(asio::io_context& io, size_t max_connections, MemoryBudget& memory, OnRequest on_request,
               OnClosed on_closed);
  ~ClientServer();

  /// @throws boost::system::system_error if the address can't be listened on
  void Listen(const tcp::endpoint& address) { listener_.Listen(address, kBacklog); }
  /// Takes over a listening socket that other processes may share.
  /// @return false if the descriptor is not a listening socket
  bool Adopt(int descriptor) { return listener_.Adopt(descriptor); }
  /// Starts accepting connections.
  void Accept();
  /// Stops accepting. Connections that wait on a shared socket are left to the other processes.
  void StopAccepting() { listener_.Release(); }
  void SetMaxConnections(size_t connections);
  /// Limits the total bytes of request bodies that the connections may buffer.
  void SetBufferBudget(size_t bytes) { buffer_budget_bytes_ = bytes; }
  tcp::endpoint local() const { return listener_.local(); }

  /// Sends the final response. A streamed response is completed if the status is 200 and cut off otherwise.
  void Reply(uint64_t connection, ClientResponse response);
  /// Requests the next piece of an upload. `on_piece` is not called if the connection ends first.
  void Pull(uint64_t connection, OnPiece on_piece);
  /// The latest time at which the connection's request was known to be incomplete (ClientConnection).
  Clock::time_point IncompleteUntil(uint64_t connection) const;
  /// Begins a streamed response; `length` in bytes, if known.
  void BeginStream(uint64_t connection, const std::string& headers, std::optional<uint64_t> length);
  /// Sends a piece of the streamed response; the next one may follow once `on_consumed` was called.
  void SendPiece(uint64_t connection, const std::string& piece, std::function<void()> on_consumed);
  /// Whether the client is still connected. Also detects a close that is still unread in the socket's buffer.
  bool IsClientConnected(uint64_t connection) const;
  /// Closes a connection whose client has disconnected.
  void CloseDisconnected(uint64_t connection);

  /// @return the number of requests that were refused for want of memory
  uint64_t memory_refusals() const { return memory_refusals_; }
  size_t connections() const { return connections_.size(); }

  /// While true, each connection is closed after its current response.
  void SetCloseAfterResponse(bool ask) { close_after_response_ = ask; }
  /// Closes the connections on which no request has begun.
  void CloseIdle();
  /// Whether a response is not handed to the kernel completely, which goes on sending at the end of the
  /// process.
  bool IsWriting() const;
  /// Whether no connection is open and none is waiting to be accepted.
  bool HasNoConnections() { return connections_.empty() && !listener_.HasPendingConnection(); }

 private:
  friend class ClientConnection;
  static constexpr int kBacklog = 1024;

  void EvictIdle();
  std::shared_ptr<ClientConnection> Find(uint64_t id) const;
  void OnAccepted(tcp::socket socket);
  void ResumeAccepting();

  // For ClientConnection.
  void OnConnectionClosed(uint64_t id, bool in_flight, CloseReason reason);
  size_t MaxBufferedBytes() const;  // one connection's share of the buffer budget
  // Reads from the connection later, when memory may be free.
  void PauseReading(uint64_t id);
  void ResumeReading();
  // Counts a request that is refused for want of memory, and logs it at times.
  void CountMemoryRefusal();
  // Logs at times that a connection is closed because its client takes too little of a response.
  void LogSlowReader(uint64_t id, const SendWatch& watch);

  asio::io_context& io_;
  Listener listener_;
  size_t max_connections_, buffer_budget_bytes_ = 0;
  OnRequest on_request_;
  OnClosed on_closed_;
  MemoryBudget& memory_;
  uint64_t memory_refusals_ = 0;
  Clock::time_point memory_refusal_logged_at_{}, slow_reader_logged_at_{};
  std::vector<uint64_t> paused_;  // connections that are not read from for want of memory
  OneShotTimer resume_timer_;
  uint64_t last_id_ = 0;
  size_t lingering_connections_ = 0;  // shut down for writing, not closed yet
  bool close_after_response_ = false;
  bool accept_paused_ = false;  // the limit of connections is reached
  std::unordered_map<uint64_t, std::shared_ptr<ClientConnection>> connections_;
  std::list<uint64_t> idle_order_;  // longest idle first
  // Valid within one call: bytes of one read, and the output of a parser.
  std::array<char, kMaxPieceBytes> read_buffer_, decode_buffer_;
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CLIENT_SERVER_H_
