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

// After a shortage of descriptors or memory, accept is retried with an exponential backoff to keep the event
// loop from spinning. The backoff is short, because requests with little time left are waiting.
constexpr auto kMinAcceptBackoff = std::chrono::milliseconds(2);
constexpr auto kMaxAcceptBackoff = std::chrono::milliseconds(10);
// How many consecutive connections may fail individually before accept backs off as well.
constexpr int kMaxConsecutiveFailures = 16;

// Whether accept failed because of the connection that it took from the queue, so that the next one may
// succeed (accept(2): errors already pending on the new socket).
bool IsConnectionError(int error) {
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

// Without this option asio treats an aborted connection like an empty queue, and the connections behind it
// are accepted only when a further connection arrives.
void ReportAborted(tcp::acceptor& acceptor) {
  acceptor.set_option(asio::socket_base::enable_connection_aborted(true));
}

// How long and how often Listen retries. A new process has to be ready within 10 s in nine of ten cases and
// within 30 s in all cases; its predecessor may still use the address for some seconds.
constexpr auto kListenTimeout = std::chrono::seconds(10);
constexpr auto kListenRetryInterval = std::chrono::milliseconds(50);

// Whether a local resource is exhausted, or another process still uses the address.
bool IsTransient(int error) { return IsResourceShortage(error) || error == EADDRINUSE; }

void TryListen(tcp::acceptor& acceptor, const tcp::endpoint& address, int backlog) {
  acceptor.open(address.protocol());
  ReportAborted(acceptor);
  acceptor.set_option(tcp::acceptor::reuse_address(true));  // for a restart on the same address
  acceptor.bind(address);
  acceptor.listen(backlog);
}

}  // namespace

void Listener::Listen(const tcp::endpoint& address, int backlog) {
  auto deadline = std::chrono::steady_clock::now() + kListenTimeout;
  bool reported = false;
  for (;;) {
    try {
      TryListen(acceptor_, address, backlog);
      local_ = acceptor_.local_endpoint();
      return;
    } catch (const boost::system::system_error& failed) {
      error_code ignored;
      acceptor_.close(ignored);
      if (!IsTransient(failed.code().value()) || std::chrono::steady_clock::now() >= deadline) throw;
      if (!reported) std::fprintf(stderr, "cannot listen yet, retrying: %s\n", failed.what());
      reported = true;
    }
    std::this_thread::sleep_for(kListenRetryInterval);
  }
}

bool Listener::Adopt(int descriptor) {
  sockaddr_storage address{};
  socklen_t address_size = sizeof(address);
  int listens = 0;
  socklen_t listens_size = sizeof(listens);
  if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size) != 0 || listens == 0)
    return false;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &address_size) != 0) return false;
  error_code error;
  acceptor_.assign(address.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), descriptor, error);
  if (error) return false;
  ReportAborted(acceptor_);
  local_ = acceptor_.local_endpoint(error);
  return !error;
}

// The socket is released instead of closed by the acceptor: if another process shares it, closing the
// descriptor does not remove it from this process's epoll set, so it must be removed first.
void Listener::Release() {
  if (!acceptor_.is_open()) return;
  retry_timer_.cancel();
  error_code error;
  int descriptor = acceptor_.release(error);
  if (!error) close(descriptor);
}

void Listener::Accept(OnConnection on_connection) {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this, on_connection = std::move(on_connection)](error_code error, tcp::socket socket) mutable {
        if (error == asio::error::operation_aborted) return;
        if (error) return RetryAccept(error, std::move(on_connection));
        consecutive_failures_ = 0;
        backoff_ = {};
        on_connection(std::move(socket));
      });
}

void Listener::RetryAccept(error_code error, OnConnection on_connection) {
  if (IsConnectionError(error.value()) && ++consecutive_failures_ <= kMaxConsecutiveFailures)
    return Accept(std::move(on_connection));
  consecutive_failures_ = 0;
  backoff_ = std::clamp<asio::steady_timer::duration>(2 * backoff_, kMinAcceptBackoff, kMaxAcceptBackoff);
  retry_timer_.expires_after(backoff_);
  retry_timer_.async_wait([this, on_connection = std::move(on_connection)](error_code cancelled) mutable {
    if (!cancelled) Accept(std::move(on_connection));
  });
}

bool Listener::HasPendingConnection() {
  if (!acceptor_.is_open()) return false;
  pollfd queue{acceptor_.native_handle(), POLLIN, 0};
  return poll(&queue, 1, 0) != 0;
}

}  // namespace lemonchute::net
