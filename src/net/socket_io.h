// Operations on non-blocking TCP sockets, shared by all connections of the gateway. They rely only on the
// results of the system calls: an interrupted call is repeated, and a short write is followed by another
// until the kernel reports a full buffer.
#ifndef LEMONCHUTE_NET_SOCKET_IO_H_
#define LEMONCHUTE_NET_SOCKET_IO_H_

#include <boost/asio.hpp>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace lemonchute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Whether socket, bind or connect failed because a local resource is exhausted and not because of the peer
/// (socket(2), connect(2)). Such a failure may be over within moments.
inline bool IsResourceShortage(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM: return true;
    default: return false;
  }
}

/// Repeats `call(error)` while a signal interrupts it.
template <typename Call>
auto RetryOnInterrupt(error_code& error, Call call) {
  for (;;) {
    error = {};
    auto result = call(error);
    if (error != asio::error::interrupted) return result;
  }
}

/// Sends as many of `bytes` as the socket accepts now. A full socket buffer is not an error.
/// @return the number of bytes sent
inline size_t SendAvailable(tcp::socket& socket, std::string_view bytes, error_code& error) {
  size_t sent = 0;
  error = {};
  while (sent < bytes.size() && !error) {
    sent += RetryOnInterrupt(error, [&](error_code& failed) {
      return socket.send(asio::buffer(bytes.data() + sent, bytes.size() - sent), 0, failed);
    });
  }
  if (error == asio::error::would_block) error = {};
  return sent;
}

/// Sends what the socket accepts at once, nearly always the whole message in one system call, and the rest as
/// the buffer drains.
///
/// Each wait for a writable socket re-arms epoll. asio's own composed write takes a short write as a sign of
/// a full buffer and waits for an edge, which never comes if the buffer was not full. No other event can
/// occur between sending the last byte and `done`, since both happen in the same call.
///
/// @param text must stay alive until `done` is called, and unchanged while `current()` is true
/// @param from offset of the first byte to send
/// @param done called once with the error, within this call or later; not called if `current()` is false
/// @param current returns whether the write is still wanted; if not, nothing further is sent
template <typename Done, typename Current>
void WriteWhileCurrent(tcp::socket& socket, const std::string& text, size_t from, Done done,
                       Current current) {
  error_code error;
  size_t sent = from + SendAvailable(socket, std::string_view(text).substr(from), error);
  if (error || sent == text.size()) return done(error);
  socket.async_wait(tcp::socket::wait_write, [&socket, &text, sent, done = std::move(done),
                                              current = std::move(current)](error_code failed) mutable {
    if (!current()) return;
    if (failed) return done(failed);
    WriteWhileCurrent(socket, text, sent, std::move(done), std::move(current));
  });
}

/// Sends the whole of `text`, like WriteWhileCurrent without a condition.
template <typename Done>
void WriteAll(tcp::socket& socket, const std::string& text, Done done) {
  WriteWhileCurrent(socket, text, 0, std::move(done), [] { return true; });
}

/// Peeks at the next byte.
/// @return 1 if there is one, otherwise 0 with `error` set: would_block, eof or a failure
inline size_t PeekByte(tcp::socket& socket, error_code& error) {
  char byte;
  return RetryOnInterrupt(error, [&](error_code& failed) {
    return socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
  });
}

/// Whether the peer has closed an idle connection or sent unsolicited bytes.
inline bool IsStale(tcp::socket& socket) {
  error_code error;
  PeekByte(socket, error);
  return error != asio::error::would_block;
}

/// @return the size of the kernel's receive buffer, which grows with the peer's rate; the largest number if
/// unknown
inline uint64_t ReceiveBufferBytes(const tcp::socket& socket) {
  tcp::socket::receive_buffer_size size;
  error_code error;
  socket.get_option(size, error);
  return error || size.value() < 0 ? std::numeric_limits<uint32_t>::max()
                                   : static_cast<uint64_t>(size.value());
}

/// Makes the socket non-blocking and disables Nagle's algorithm.
inline error_code ConfigureSocket(tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  return error;
}

/// Opens and prepares a socket of the address's family.
inline error_code OpenSocket(tcp::socket& socket, const tcp::endpoint& address) {
  error_code error;
  socket.open(address.protocol(), error);
  return error ? error : ConfigureSocket(socket);
}

/// Closes the socket and ignores errors.
inline void CloseNow(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SOCKET_IO_H_
