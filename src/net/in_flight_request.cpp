#include "net/in_flight_request.h"

#include <cstdio>
#include <utility>

#include "net/peer_rate.h"

namespace lemonchute::net {
namespace {

// The response is decided this long before the client's timeout; the smaller of the two values applies.
constexpr double kResponseMarginS = 0.01;
constexpr double kResponseMarginShare = 0.1;  // of the client's timeout
constexpr size_t kTypicalHeadBytes = 512;

void AppendBody(ClientMessage& message, const std::optional<Upload>& upload, InFlightRequest* request) {
  if (request->chunked) {
    request->head += "Transfer-Encoding: chunked\r\n";
    request->body = EncodeChunk(message.body());
    return;
  }
  uint64_t length = upload ? *upload->length : message.body().size();
  if (length > 0 || message.method() == http::verb::post) {
    request->head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  request->body = std::move(message.body());
}

}  // namespace

RequestTimeLimits ComputeTimeLimits(double client_timeout_s, const ClientMessage& message,
                                    const std::optional<Upload>& upload, double remaining_lifetime_s) {
  RequestTimeLimits limits;
  limits.timeout_s = client_timeout_s;
  limits.margin_s = std::min(kResponseMarginS, kResponseMarginShare * client_timeout_s);
  if (upload) {
    // The client's timeout counts from the last byte of the request. The upload before it has its own limit.
    uint64_t missing_bytes = upload->length ? *upload->length - message.body().size() : kMaxStreamedBytes;
    limits.timeout_s =
        std::min(kMaxTimeoutS, client_timeout_s + static_cast<double>(missing_bytes) / kMinPeerBytesPerS);
  }
  limits.timeout_s = std::min(limits.timeout_s, remaining_lifetime_s);
  return limits;
}

InFlightRequest MakeInFlightRequest(uint64_t connection, ClientMessage& message, std::string_view target,
                                    const std::optional<Upload>& upload) {
  InFlightRequest request;
  request.connection = connection;
  request.request_id = ToStringView(message["Request-Id"]);
  request.body_streamed = request.uploading = upload.has_value();
  request.chunked = upload && !upload->length;
  request.head.reserve(kTypicalHeadBytes);
  request.head.append(ToStringView(message.method_string()))
      .append(" ")
      .append(target)
      .append(" HTTP/1.1\r\n");
  AppendEndToEnd(message, &request.head, [](const auto& field) {
    return boost::beast::iequals(field.name_string(), "Request-Timeout-Ms");
  });
  if (message.find(http::field::host) == message.end()) request.head += "Host: app.svc\r\n";
  AppendBody(message, upload, &request);
  request.head.shrink_to_fit();
  return request;
}

std::string EncodeChunk(const std::string& piece) {
  char size[24];
  int length = std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
  return std::string(size, static_cast<size_t>(length)).append(piece).append("\r\n");
}

}  // namespace lemonchute::net
