// The side towards the clients: accepts their connections, limits their number and finds the connection of a
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

#include "net/backend_pool.h"
#include "net/client_connection.h"
#include "net/listener.h"
#include "net/reasons.h"

namespace lemonchute::net {

/// Owns the clients' connections, by id. Calls for a connection that has ended do nothing.
///
/// Order of calls: Listen or Adopt, then Accept. For each request either Reply, or BeginStream, SendPiece for
/// each piece and Reply; Pull asks for the pieces of an upload meanwhile.
class ClientServer {
 public:
  /// Receives a request, to be answered by one Reply, within this call or later. With an Upload its body has
  /// only begun, and the rest is to be pulled.
  using OnRequest = std::function<void(uint64_t connection, ClientMessage, std::optional<Upload>)>;
  using OnPiece = lemonchute::net::OnPiece;
  /// A connection has ended; `in_flight`: with a request on it that was not answered.
  using OnClosed = std::function<void(uint64_t connection, bool in_flight, CloseReason reason)>;

  ClientServer(asio::io_context& io, size_t max_connections, OnRequest on_request, OnClosed on_closed);
  ~ClientServer();

  /// @throws boost::system::system_error if the address can't be listened on
  void Listen(const tcp::endpoint& address) { listener_.Listen(address, kBacklog); }
  /// Takes over a listening socket that other processes may share.
  /// @return false if the descriptor is no listening socket
  bool Adopt(int descriptor) { return listener_.Adopt(descriptor); }
  /// Starts accepting connections.
  void Accept();
  /// Stops accepting. Connections in the queue of a shared socket are left to the other processes.
  void StopAccepting() { listener_.Release(); }
  void SetMaxConnections(size_t connections);
  /// Limits the bytes of request bodies that all connections together may buffer.
  void SetBufferBudget(size_t bytes) { buffer_budget_bytes_ = bytes; }
  tcp::endpoint local() const { return listener_.local(); }

  /// Sends the final response. Ends a streamed response: complete with status 200, otherwise cut short.
  void Reply(uint64_t connection, ClientResponse response);
  /// Asks for the next piece of an upload. `on_piece` is not called if the connection ends before.
  void Pull(uint64_t connection, OnPiece on_piece);
  /// Begins a streamed response; `length` in bytes, if known.
  void BeginStream(uint64_t connection, const std::string& headers, std::optional<uint64_t> length);
  /// Sends a piece of the streamed response; the next one may follow once `on_consumed` was called.
  void SendPiece(uint64_t connection, const std::string& piece, std::function<void()> on_consumed);
  /// Whether the client has not closed its end, neither read here nor still in the socket's buffer.
  bool IsClientConnected(uint64_t connection) const;
  /// Closes a connection whose client is not present any more.
  void CloseDisconnected(uint64_t connection);

  /// While true each response ends its connection.
  void SetCloseAfterResponse(bool ask) { close_after_response_ = ask; }
  /// Closes the connections on which no request has begun.
  void CloseIdle();
  /// Whether no connection is open and none waits to be accepted.
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

  asio::io_context& io_;
  Listener listener_;
  size_t max_connections_, buffer_budget_bytes_ = 0;
  OnRequest on_request_;
  OnClosed on_closed_;
  uint64_t last_id_ = 0;
  size_t lingering_connections_ = 0;  // shut down for writing, not closed yet
  bool close_after_response_ = false;
  bool accept_paused_ = false;  // the limit of connections is reached
  std::unordered_map<uint64_t, std::shared_ptr<ClientConnection>> connections_;
  std::list<uint64_t> idle_order_;                  // longest idle first
  std::array<char, kMaxPieceBytes> decode_buffer_;  // a parser's output, valid within one call
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_CLIENT_SERVER_H_
