// Helpers for all HTTP connections of the gateway: size limits, header copying and parser setup.
#ifndef LEMONCHUTE_NET_HTTP_H_
#define LEMONCHUTE_NET_HTTP_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/socket_io.h"

namespace lemonchute::net {

namespace http = boost::beast::http;

inline constexpr size_t kMaxBody = 64 * 1024;        ///< Maximum size of a buffered body.
inline constexpr size_t kMaxHeader = 16 * 1024;      ///< Maximum size of a message's header.
inline constexpr size_t kReadChunk = 4096;           ///< Maximum size of one read of a small message.
inline constexpr size_t kMaxPieceBytes = 16 * 1024;  ///< Maximum size of one piece of a streamed body.
inline constexpr uint64_t kMaxStreamedBytes = uint64_t{48} << 20;  ///< Maximum size of a streamed body.

inline std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Appends received bytes to a buffer, which grows no further than necessary.
inline void AppendReceived(boost::beast::flat_buffer& buffer, const char* bytes, size_t size) {
  constexpr size_t kGrowthBytes = 1024;
  buffer.max_size((buffer.size() + size + kGrowthBytes - 1) / kGrowthBytes * kGrowthBytes);
  auto target = buffer.prepare(size);
  std::memcpy(target.data(), bytes, size);
  buffer.commit(size);
}

/// Whether a header applies to one hop only (RFC 9110, 7.6.1) or is written by the gateway itself.
inline bool IsHopByHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length: return true;
    default: return false;
  }
}

/// Appends the end-to-end header lines of a message to `out`, without those for which `skip(field)` is true.
template <typename Fields, typename Skip>
void AppendEndToEnd(const Fields& fields, std::string* out, Skip skip) {
  http::token_list connection_options(fields[http::field::connection]);
  for (const auto& field : fields) {
    if (IsHopByHop(field.name()) || connection_options.exists(field.name_string()) || skip(field)) continue;
    out->append(ToStringView(field.name_string()))
        .append(": ")
        .append(ToStringView(field.value()))
        .append("\r\n");
  }
}

/// Whether the framing of a message's body is unambiguous: a length, or chunked without a further coding. A
/// coding that is ignored here might be applied by the next hop, which would then see a different end of the
/// body (RFC 9112, 6.1).
template <typename Message>
bool HasUnambiguousFraming(const Message& message) {
  size_t codings = message.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  return codings == 1 && message.version() == 11 && message.count(http::field::content_length) == 0 &&
         boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

/// Replaces the parser with one for the next message and sets its size limits. The parser is not eager: an
/// eager parser continues into the body in the same call and thereby loses the error for a Content-Length
/// above the limit.
template <typename Parser>
void ResetParser(std::optional<Parser>* parser, uint64_t max_body) {
  parser->emplace();
  (*parser)->header_limit(kMaxHeader);
  (*parser)->body_limit(max_body);
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_HTTP_H_
