#include "net/listener.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <thread>

namespace lemonchute::net {
namespace {

// After a shortage of descriptors or memory: rests that double from the first to the last. Requests with
// little time wait meanwhile; the rests guard against a spinning loop.
constexpr auto kFirstRest = std::chrono::milliseconds(2), kLastRest = std::chrono::milliseconds(10);
// Connections that failed by themselves, one after the other, until accept is given a rest as well.
constexpr int kMostFailedAtOnce = 16;

// Whether accept has failed on account of the connection that it took from the queue. The next one may be
// sound (accept(2): errors already pending on the new socket).
bool OfOneConnection(int error) {
  switch (error) {
    case ECONNABORTED:
    case EPROTO:
    case ECONNRESET:
    case ETIMEDOUT:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case EINTR: return true;
    default: return false;
  }
}

// Without this option asio takes an aborted connection for an empty queue, and what waits behind it is
// accepted only once a further connection comes.
void ReportAborted(tcp::acceptor& acceptor) {
  acceptor.set_option(asio::socket_base::enable_connection_aborted(true));
}

// At a start: how long, and how often, a listener is tried for. A new process is to be ready within 10 s in
// nine of ten cases and within 30 s in any; the process before it may still hold the address for some
// seconds.
constexpr auto kListenFor = std::chrono::seconds(10);
constexpr auto kListenEvery = std::chrono::milliseconds(50);

// A shortage of the machine's, or an address that another process is about to leave.
bool MayPass(int error) { return IsShortage(error) || error == EADDRINUSE; }

void TryListen(tcp::acceptor& acceptor, const tcp::endpoint& address, int backlog) {
  acceptor.open(address.protocol());
  ReportAborted(acceptor);
  acceptor.set_option(tcp::acceptor::reuse_address(true));  // started again under the same address
  acceptor.bind(address);
  acceptor.listen(backlog);
}

}  // namespace

void Listener::Listen(const tcp::endpoint& address, int backlog) {
  auto give_up = std::chrono::steady_clock::now() + kListenFor;
  for (bool told = false;;) {
    try {
      TryListen(acceptor_, address, backlog);
      local_ = acceptor_.local_endpoint();
      return;
    } catch (const boost::system::system_error& failed) {
      error_code ignored;
      acceptor_.close(ignored);
      if (!MayPass(failed.code().value()) || std::chrono::steady_clock::now() >= give_up) throw;
      if (!told) std::fprintf(stderr, "cannot listen yet: %s\n", failed.what());
      told = true;
    }
    std::this_thread::sleep_for(kListenEvery);
  }
}

bool Listener::Adopt(int descriptor) {
  sockaddr_storage at{};
  socklen_t size = sizeof(at);
  int listens = 0;
  socklen_t listens_size = sizeof(listens);
  if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size) != 0 || listens == 0)
    return false;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size) != 0) return false;
  error_code error;
  acceptor_.assign(at.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), descriptor, error);
  if (error) return false;
  ReportAborted(acceptor_);
  local_ = acceptor_.local_endpoint(error);
  return !error;
}

// Released and not closed by the acceptor: where another process holds the same socket, closing it here would
// leave it in this process's epoll set, which it must leave first.
void Listener::Release() {
  if (!acceptor_.is_open()) return;
  retry_.cancel();
  error_code error;
  int descriptor = acceptor_.release(error);
  if (!error) close(descriptor);
}

void Listener::Accept(OnConnection on_connection) {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this, on_connection = std::move(on_connection)](error_code error, tcp::socket socket) mutable {
        if (error == asio::error::operation_aborted) return;
        if (error) return Retry(error, std::move(on_connection));
        failed_connections_ = 0;
        rest_ = {};
        on_connection(std::move(socket));
      });
}

void Listener::Retry(error_code error, OnConnection on_connection) {
  if (OfOneConnection(error.value()) && ++failed_connections_ <= kMostFailedAtOnce)
    return Accept(std::move(on_connection));
  failed_connections_ = 0;
  rest_ = std::clamp<asio::steady_timer::duration>(2 * rest_, kFirstRest, kLastRest);
  retry_.expires_after(rest_);
  retry_.async_wait([this, on_connection = std::move(on_connection)](error_code cancelled) mutable {
    if (!cancelled) Accept(std::move(on_connection));
  });
}

bool Listener::Waiting() {
  if (!acceptor_.is_open()) return false;
  pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
  return poll(&waiting, 1, 0) != 0;
}

}  // namespace lemonchute::net
