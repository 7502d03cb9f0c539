// A listening socket from which connections are accepted.
#ifndef LEMONCHUTE_NET_LISTENER_H_
#define LEMONCHUTE_NET_LISTENER_H_

#include <boost/asio.hpp>
#include <functional>

#include "net/socket_io.h"

namespace lemonchute::net {

/// Accepts connections and continues after failures. It distinguishes failures of a single connection from
/// local resource shortages. Must outlive every handler that it has queued on `io`.
///
/// Order of calls: Listen or Adopt, then Accept once for each connection.
class Listener {
 public:
  using OnConnection = std::function<void(tcp::socket)>;

  explicit Listener(asio::io_context& io) : acceptor_(io), retry_timer_(io) {}

  /// Blocks and retries for some seconds if the address is in use or a local resource is exhausted.
  /// @throws boost::system::system_error
  void Listen(const tcp::endpoint& address, int backlog);
  /// Takes over a listening socket that other processes may share.
  /// @return false if the descriptor is not a listening socket
  bool Adopt(int descriptor);
  /// Closes this process's descriptor and leaves the socket, with the connections in its queue, to the other
  /// processes that share it.
  void Release();
  /// Passes the next connection to `on_connection`, which is called once.
  void Accept(OnConnection on_connection);

  bool is_open() const { return acceptor_.is_open(); }
  /// Whether a connection is waiting to be accepted.
  bool HasPendingConnection();
  tcp::endpoint local() const { return local_; }

 private:
  void RetryAccept(error_code error, OnConnection on_connection);

  tcp::acceptor acceptor_;
  tcp::endpoint local_;
  asio::steady_timer retry_timer_;
  int consecutive_failures_ = 0;            // of single connections
  asio::steady_timer::duration backoff_{};  // before the latest retry
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_LISTENER_H_
