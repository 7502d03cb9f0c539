// Operations on non-blocking TCP sockets that every connection of the gateway uses. They go by what the
// system calls say and assume nothing beyond: a call that a signal interrupts is made again, and a short
// write is followed by the next one until the kernel says that there is no room.
#ifndef LEMONCHUTE_NET_SOCKET_IO_H_
#define LEMONCHUTE_NET_SOCKET_IO_H_

#include <boost/asio.hpp>
#include <cerrno>
#include <string>
#include <string_view>
#include <utility>

namespace lemonchute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Whether socket, bind or connect has failed for want of something of this machine's, which may be over in a
// moment, and not on account of another side (socket(2), connect(2)).
inline bool IsShortage(int error) {
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

// Makes `call(error)` again for as long as a signal interrupts it.
template <typename Call>
auto Uninterrupted(error_code& error, Call call) {
  for (;;) {
    error = {};
    auto result = call(error);
    if (error != asio::error::interrupted) return result;
  }
}

// Sends as much of `bytes` as the socket takes now and returns how much that was. Without room there is no
// error.
inline size_t SendAvailable(tcp::socket& socket, std::string_view bytes, error_code& error) {
  size_t sent = 0;
  error = {};
  while (sent < bytes.size() && !error) {
    sent += Uninterrupted(error, [&](error_code& failed) {
      return socket.send(asio::buffer(bytes.data() + sent, bytes.size() - sent), 0, failed);
    });
  }
  if (error == asio::error::would_block) error = {};
  return sent;
}

// Sends at once what the socket takes, which is nearly always the whole message in one system call, and the
// rest as it drains. Calls done(error) at once or later; `text` lives until then in the caller's hands, and
// unchanged while `current()` is true: where it is not any more, nothing further is sent and done is not
// called.
//
// The wait for room arms epoll anew each time. asio's own composed write takes a short write for a full
// buffer and waits for an edge, which never comes where there was room left. That the last byte is out is
// known within the same call that sent it, so no other event can come between the two.
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

template <typename Done>
void WriteAll(tcp::socket& socket, const std::string& text, Done done) {
  WriteWhileCurrent(socket, text, 0, std::move(done), [] { return true; });
}

// Looks at the next byte without taking it: how many there are (0 or 1), or the error in the way.
inline size_t PeekByte(tcp::socket& socket, error_code& error) {
  char byte;
  return Uninterrupted(error, [&](error_code& failed) {
    return socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
  });
}

// Whether the peer has closed a kept connection, or sent bytes that nobody asked for.
inline bool Stale(tcp::socket& socket) {
  error_code error;
  PeekByte(socket, error);
  return error != asio::error::would_block;
}

// Non-blocking and without delay, as every socket here is.
inline error_code Prepare(tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  return error;
}

inline error_code Open(tcp::socket& socket, const tcp::endpoint& address) {
  error_code error;
  socket.open(address.protocol(), error);
  return error ? error : Prepare(socket);
}

inline void CloseNow(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_SOCKET_IO_H_
