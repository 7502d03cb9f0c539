// A listening socket and how connections are taken from it. Knows which failures of accept are one
// connection's and which are a shortage of the machine's, and goes on after both.
#ifndef LEMONCHUTE_NET_LISTENER_H_
#define LEMONCHUTE_NET_LISTENER_H_

#include <boost/asio.hpp>
#include <functional>

#include "net/socket_io.h"

namespace lemonchute::net {

class Listener {
 public:
  using OnConnection = std::function<void(tcp::socket)>;

  explicit Listener(asio::io_context& io) : acceptor_(io), retry_(io) {}

  // Waits for some seconds where the address or a socket can't be had at once; then throws system_error.
  void Listen(const tcp::endpoint& address, int backlog);
  // Takes over a socket that listens already and that other processes hold as well. False if it does not.
  bool Adopt(int descriptor);
  // Leaves the socket, with what waits in its queue, to the other processes that hold it.
  void Release();
  // Hands over the next connection, once.
  void Accept(OnConnection on_connection);

  bool is_open() const { return acceptor_.is_open(); }
  bool Waiting();  // whether a connection waits to be accepted
  tcp::endpoint local() const { return local_; }

 private:
  void Retry(error_code error, OnConnection on_connection);

  tcp::acceptor acceptor_;
  tcp::endpoint local_;
  asio::steady_timer retry_;
  int failed_connections_ = 0;           // in a row
  asio::steady_timer::duration rest_{};  // the last one, while accept goes on failing
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_LISTENER_H_
