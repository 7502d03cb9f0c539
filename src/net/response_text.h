// Formatting of responses to clients.
#ifndef LEMONCHUTE_NET_RESPONSE_TEXT_H_
#define LEMONCHUTE_NET_RESPONSE_TEXT_H_

#include <string>

namespace lemonchute::net {

/// A complete response to a client.
struct ClientResponse {
  int status = 500;
  double retry_after_s = 0;  ///< Value of Retry-After; 0: no such header.
  std::string headers;       ///< Further header lines.
  std::string body;
};

/// @return the Connection header line, empty if the default of the HTTP version applies
/// @param version HTTP version of the request: 10 for HTTP/1.0, 11 for HTTP/1.1
const char* ConnectionHeader(unsigned version, bool keep_alive);

/// Appends the response to `out`.
void AppendResponse(const ClientResponse& response, const char* connection_header, std::string* out);

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_RESPONSE_TEXT_H_
