#include "net/response_text.h"

#include <cstdio>

namespace lemonchute::net {
namespace {

constexpr size_t kHeaderReserve = 160;  // bytes of the lines that AppendResponse adds

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    case 413: return "Payload Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Error";
  }
}

}  // namespace

// An HTTP/1.0 client keeps a connection open only if the response says so.
const char* ConnectionHeader(unsigned version, bool keep_alive) {
  if (!keep_alive) return "Connection: close\r\n";
  return version < 11 ? "Connection: keep-alive\r\n" : "";
}

void AppendResponse(const ClientResponse& response, const char* connection_header, std::string* out) {
  out->reserve(out->size() + response.headers.size() + response.body.size() + kHeaderReserve);
  char line[96];
  int length = std::snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", response.status,
                             ReasonPhrase(response.status), response.body.size());
  out->append(line, static_cast<size_t>(length));
  if (response.retry_after_s > 0) {
    length = std::snprintf(line, sizeof(line), "Retry-After: %.3f\r\n", response.retry_after_s);
    out->append(line, static_cast<size_t>(length));
  }
  out->append(response.headers).append(connection_header).append("\r\n").append(response.body);
}

}  // namespace lemonchute::net
