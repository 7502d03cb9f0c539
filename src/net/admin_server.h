// HTTP/1.1 server of the admin endpoint, on an address of its own, with one request per connection.
// Connections, bytes and time are bounded, so that neither clients nor slow callers delay a response.
#ifndef LEMONCHUTE_NET_ADMIN_SERVER_H_
#define LEMONCHUTE_NET_ADMIN_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/http.h"
#include "net/listener.h"

namespace lemonchute::net {

/// A request of an operator.
struct AdminRequest {
  std::string method, path, body;
  bool declares_body = false;  // has a Content-Length or is chunked
};
/// The response to an operator.
struct AdminResponse {
  int status = 200;
  std::string body;
  const char* content_type = "text/plain";
};

/// Accepts connections to the admin endpoint and passes each complete request to a handler.
class AdminServer {
 public:
  static constexpr size_t kMaxConnections = 12;
  /// Ten times the size of a typical configuration. All connections together buffer 1.5 MB at most.
  static constexpr size_t kMaxBodyBytes = 128 * 1024;
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// Listens at once. Throws boost::system::system_error if the address can't be bound.
  /// @param handler called for each complete request.
  AdminServer(asio::io_context& io, const tcp::endpoint& address, Handler handler);
  ~AdminServer();

  tcp::endpoint local() const { return listener_.local(); }

 private:
  class Connection;

  void Accept();

  asio::io_context& io_;
  Listener listener_;
  const Handler handler_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_ADMIN_SERVER_H_
