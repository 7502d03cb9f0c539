// Feeds received bytes to Beast's parsers, with a limit on what may stay unparsed.
#ifndef LEMONCHUTE_NET_MESSAGE_DECODING_H_
#define LEMONCHUTE_NET_MESSAGE_DECODING_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "net/http.h"

namespace lemonchute::net {

/// Keeps the head of a message from the parser until it is complete. Beast parses each field as it arrives,
/// and a parsed field takes far more memory than its text.
template <typename Parser>
class HeadCheck {
 public:
  void Reset() { checked_bytes_ = 0; }

  /// @return need_more while the head is incomplete, no error once the buffer holds all of it, header_limit
  /// if
  ///     it is too large, or the error of a parser that is given what has arrived
  error_code Check(const boost::beast::flat_buffer& buffer) {
    std::string_view text(static_cast<const char*>(buffer.data().data()), buffer.size());
    if (text.find("\r\n\r\n") != std::string_view::npos) return {};
    if (text.size() > kMaxHeader) return http::error::header_limit;
    if (checked_bytes_ > 0 && text.size() < checked_bytes_ + kCheckIntervalBytes)
      return http::error::need_more;
    checked_bytes_ = text.size();
    std::optional<Parser> trial;
    ResetParser(&trial, kMaxStreamedBytes);
    error_code error;
    trial->put(buffer.data(), error);
    return error ? error : error_code(http::error::need_more);
  }

 private:
  // How much has to arrive until an incomplete head is checked again.
  static constexpr size_t kCheckIntervalBytes = 1024;

  size_t checked_bytes_ = 0;
};

/// Passes the buffered bytes to the parser once and removes those that it has parsed.
///
/// The parser consumes an element of a message (a header, the size line of a chunk with its extensions, the
/// trailer section) only as a whole, and asks for more bytes until it has all of it. Beast limits the header
/// alone, so the size of an incomplete element is limited here.
/// @param max_unparsed maximum size of an incomplete element
/// @return need_more while an element is incomplete, header_limit if it is too large, or the parser's error
template <typename Parser>
error_code ParseBuffered(Parser& parser, boost::beast::flat_buffer& buffer, size_t max_unparsed) {
  error_code error;
  buffer.consume(parser.put(buffer.data(), error));
  if (error == http::error::need_more && buffer.size() > max_unparsed) error = http::error::header_limit;
  return error;
}

/// Parses the buffered bytes up to the end of the message. The parser stores the body itself.
/// @return an error if the message is malformed or exceeds a limit
template <typename Parser>
error_code ParseMessage(Parser& parser, boost::beast::flat_buffer& buffer, size_t max_unparsed) {
  error_code error;
  while (buffer.size() > 0 && !parser.is_done() && !error)
    error = ParseBuffered(parser, buffer, max_unparsed);
  return error == http::error::need_more ? error_code() : error;
}

/// Parses the buffered bytes once and appends the decoded part of the body, at most `scratch.size()` bytes,
/// to `body`. The parser has to have a buffer_body.
/// @return need_more while an element is incomplete; an error if the message is malformed, exceeds a limit or
///     has ambiguous framing
template <typename Parser>
error_code DecodeBody(Parser& parser, boost::beast::flat_buffer& buffer, std::span<char> scratch,
                      std::string* body) {
  auto& piece = parser.get().body();
  piece.data = scratch.data();
  piece.size = scratch.size();
  bool had_header = parser.is_header_done();
  error_code error = ParseBuffered(parser, buffer, kMaxHeader);
  if (!parser.is_header_done()) return error;
  body->append(scratch.data(), scratch.size() - piece.size);
  if (error == http::error::need_buffer) error = {};
  if (!error && !had_header && !HasUnambiguousFraming(parser.get()))
    error = http::error::bad_transfer_encoding;
  return error;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_MESSAGE_DECODING_H_
